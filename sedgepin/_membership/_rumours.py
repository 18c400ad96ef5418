"""Fingerprints that every entry should know for a time."""

import datetime
import zlib

from sedgepin._membership import _age as age
from sedgepin._membership import _frames as frames


class RumourStore:
    """The rumours that one entry holds, bounded in number and time."""

    __slots__ = ("_limit", "_until", "digest")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._until: dict[str, datetime.datetime] = {}
        self.digest = 0

    def add(
        self,
        fingerprint: str,
        until: datetime.datetime,
        now: datetime.datetime,
    ) -> bool:
        """Hold a rumour until an instant; tell whether it was unknown.

        When the book is full, the rumour that ends first makes room.
        """
        if until <= now:
            return False
        if fingerprint in self._until:
            self._until[fingerprint] = max(until, self._until[fingerprint])
            return False
        if len(self._until) >= self._limit:
            first = min(self._until, key=self._until.__getitem__)
            if self._until[first] >= until:
                return False
            self._drop(first)
        self._until[fingerprint] = until
        self.digest ^= zlib.crc32(fingerprint.encode())
        return True

    def is_active(self, fingerprint: str, now: datetime.datetime) -> bool:
        """Tell whether a rumour holds at ``now``."""
        until = self._until.get(fingerprint)
        return until is not None and now < until

    def active(self, now: datetime.datetime) -> tuple[frames.Rumour, ...]:
        """Return the rumours that hold at ``now``, the longest first."""
        held = [item for item in self._until.items() if now < item[1]]
        held.sort(key=lambda item: item[1], reverse=True)
        return tuple(
            to_rumour(fingerprint, until, now) for fingerprint, until in held
        )

    def remove_expired(self, now: datetime.datetime) -> None:
        """Drop the rumours that are over."""
        for fingerprint, until in list(self._until.items()):
            if until <= now:
                self._drop(fingerprint)

    def _drop(self, fingerprint: str) -> None:
        del self._until[fingerprint]
        self.digest ^= zlib.crc32(fingerprint.encode())


def to_rumour(
    fingerprint: str, until: datetime.datetime, now: datetime.datetime
) -> frames.Rumour:
    """Return a rumour as it goes into a frame at ``now``."""
    remaining = (until - now) // age.MILLISECOND
    return frames.Rumour(fingerprint, max(remaining, 0))
