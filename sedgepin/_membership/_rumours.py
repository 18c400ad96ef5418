"""Rumours: fingerprints that spread to every entry VM and then expire."""

import datetime
import zlib

from sedgepin._membership import _clocks as clocks
from sedgepin._membership import _frames as frames


class RumourStore:
    """The rumours known to one entry VM, limited in number and time.

    ``digest`` is a checksum of the fingerprints.
    """

    __slots__ = ("_expires_at", "_limit", "digest")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._expires_at: dict[str, datetime.datetime] = {}
        self.digest = 0

    def add(
        self,
        fingerprint: str,
        until: datetime.datetime,
        now: datetime.datetime,
    ) -> bool:
        """Store a rumour until an instant; return whether it is new.

        A known rumour keeps the later of the two instants.  If the store is
        full, the rumour that expires first is evicted, or else the new one
        is ignored if it would expire no later.
        """
        if until <= now:
            return False
        if fingerprint in self._expires_at:
            self._expires_at[fingerprint] = max(
                until, self._expires_at[fingerprint]
            )
            return False
        if len(self._expires_at) >= self._limit:
            first_to_expire = min(
                self._expires_at, key=self._expires_at.__getitem__
            )
            if self._expires_at[first_to_expire] >= until:
                return False
            self._remove(first_to_expire)
        self._expires_at[fingerprint] = until
        self.digest ^= zlib.crc32(fingerprint.encode())
        return True

    def is_active(self, fingerprint: str, now: datetime.datetime) -> bool:
        """Return whether a rumour is stored and not expired at ``now``."""
        until = self._expires_at.get(fingerprint)
        return until is not None and now < until

    def active(self, now: datetime.datetime) -> tuple[frames.Rumour, ...]:
        """Return the unexpired rumours, the last to expire first."""
        active = [item for item in self._expires_at.items() if now < item[1]]
        active.sort(key=lambda item: item[1], reverse=True)
        return tuple(
            to_rumour(fingerprint, until, now) for fingerprint, until in active
        )

    def remove_expired(self, now: datetime.datetime) -> None:
        """Remove the expired rumours."""
        for fingerprint, until in list(self._expires_at.items()):
            if until <= now:
                self._remove(fingerprint)

    def _remove(self, fingerprint: str) -> None:
        del self._expires_at[fingerprint]
        self.digest ^= zlib.crc32(fingerprint.encode())


def to_rumour(
    fingerprint: str, until: datetime.datetime, now: datetime.datetime
) -> frames.Rumour:
    """Return the encoded form of a rumour for a frame sent at ``now``."""
    remaining = (until - now) // clocks.MILLISECOND
    return frames.Rumour(fingerprint, max(remaining, 0))
