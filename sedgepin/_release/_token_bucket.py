"""Token buckets, refilled as time passes."""

import collections.abc
import datetime

from sedgepin import _model


class TokenBucket:
    """Lets ``rate_per_second`` through, after a burst.

    It starts empty: what a leader before has taken from the same store is
    not known.  In any span of ``t`` seconds it lets through at most
    ``burst + rate_per_second * t``.
    """

    __slots__ = ("_burst", "_filled_at", "_rate_per_second", "_tokens")

    def __init__(
        self, rate_per_second: float, burst: int, now: datetime.datetime
    ) -> None:
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._tokens = 0.0
        self._filled_at = now

    def take(self, now: datetime.datetime) -> bool:
        """Take one token, if there is one."""
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def next_at(self, now: datetime.datetime) -> datetime.datetime:
        """Return when there will be a token."""
        self._fill(now)
        lacking = max(0.0, 1.0 - self._tokens) / self._rate_per_second
        # Rounded up, so that the token is there when the timer fires.
        return now + datetime.timedelta(
            seconds=lacking, microseconds=1 if lacking else 0
        )

    def _fill(self, now: datetime.datetime) -> None:
        elapsed_seconds = (now - self._filled_at).total_seconds()
        self._filled_at = now
        gained = elapsed_seconds * self._rate_per_second
        self._tokens = min(float(self._burst), self._tokens + gained)


class StoreBuckets:
    """One bucket for the weight store of each data centre."""

    __slots__ = ("_buckets", "_burst", "_rate_per_second")

    def __init__(self, rate_per_second: float, burst: int) -> None:
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._buckets: dict[_model.DataCentreId, TokenBucket] = {}

    def open(
        self,
        data_centres: collections.abc.Iterable[_model.DataCentreId],
        now: datetime.datetime,
    ) -> None:
        """Let the buckets of data centres not seen before fill from now."""
        for data_centre in data_centres:
            if data_centre not in self._buckets:
                self._buckets[data_centre] = TokenBucket(
                    self._rate_per_second, self._burst, now
                )

    def take(
        self, data_centre: _model.DataCentreId, now: datetime.datetime
    ) -> bool:
        """Take one token of an open bucket, if there is one."""
        return self._buckets[data_centre].take(now)

    def next_at(
        self, data_centre: _model.DataCentreId, now: datetime.datetime
    ) -> datetime.datetime:
        """Return when an open bucket will have a token."""
        return self._buckets[data_centre].next_at(now)
