"""Token buckets that limit loads from the weight stores."""

import collections.abc
import datetime

from sedgepin import _model


class TokenBucket:
    """A token bucket of size ``burst``, refilled at ``rate_per_second``.

    It starts empty, because the loads that a former leader ordered from the
    same store are unknown.  In any ``t`` seconds it grants at most
    ``burst + rate_per_second * t`` tokens.
    """

    __slots__ = ("_burst", "_refilled_at", "_rate_per_second", "_tokens")

    def __init__(
        self, rate_per_second: float, burst: int, now: datetime.datetime
    ) -> None:
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._tokens = 0.0
        self._refilled_at = now

    def try_acquire(self, now: datetime.datetime) -> bool:
        """Take a token; return whether there was one."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def next_token_at(self, now: datetime.datetime) -> datetime.datetime:
        """Return when the next token will be available."""
        self._refill(now)
        missing_seconds = max(0.0, 1.0 - self._tokens) / self._rate_per_second
        # A microsecond more, so that rounding does not make the timer fire
        # before the token is there.
        return now + datetime.timedelta(
            seconds=missing_seconds, microseconds=1 if missing_seconds else 0
        )

    def _refill(self, now: datetime.datetime) -> None:
        elapsed_seconds = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        refill = elapsed_seconds * self._rate_per_second
        self._tokens = min(float(self._burst), self._tokens + refill)


class WeightStoreLimiter:
    """Limits loads by a token bucket for each data centre's weight store."""

    __slots__ = ("_buckets", "_burst", "_rate_per_second")

    def __init__(self, rate_per_second: float, burst: int) -> None:
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._buckets: dict[_model.DataCentreId, TokenBucket] = {}

    def add_data_centres(
        self,
        data_centres: collections.abc.Iterable[_model.DataCentreId],
        now: datetime.datetime,
    ) -> None:
        """Add an empty bucket for every data centre that has none."""
        for data_centre in data_centres:
            if data_centre not in self._buckets:
                self._buckets[data_centre] = TokenBucket(
                    self._rate_per_second, self._burst, now
                )

    def try_acquire(
        self, data_centre: _model.DataCentreId, now: datetime.datetime
    ) -> bool:
        """Take a token of a data centre; return whether there was one.

        The data centre must have been added.
        """
        return self._buckets[data_centre].try_acquire(now)

    def next_token_at(
        self, data_centre: _model.DataCentreId, now: datetime.datetime
    ) -> datetime.datetime:
        """Return when the next token of a data centre will be available."""
        return self._buckets[data_centre].next_token_at(now)
