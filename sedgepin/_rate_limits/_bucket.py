"""A token bucket whose tokens are permits to send a request."""

import datetime

# The schedule stays this far below the named rate, so that the requests of no
# 4 s exceed it although a bucket saves some permits.
RATE_SHARE = 0.95
# Permits that may be saved, beside one: those of this time.
_SAVED_SECONDS = 0.1
# The wait that is stated if an endpoint takes no requests at all.
MAX_WAIT = datetime.timedelta(seconds=30)


class PermitBucket:
    """The permits for the requests to one endpoint.

    It is empty at first, since requests without a permit have just been sent,
    or holds ``level`` of a permit.

    >>> bucket = PermitBucket(8.0, now)
    >>> bucket.take(now + datetime.timedelta(seconds=1))
    True
    """

    __slots__ = ("_filled_at", "_level", "_per_second")

    def __init__(
        self,
        requests_per_second: float,
        now: datetime.datetime,
        level: float = 0.0,
    ) -> None:
        self._per_second = requests_per_second * RATE_SHARE
        self._level = level
        self._filled_at = now

    def set_rate(
        self, requests_per_second: float, now: datetime.datetime
    ) -> None:
        """Change the rate; what was saved at another rate is cut to it."""
        self._fill(now)
        self._per_second = requests_per_second * RATE_SHARE
        self._level = min(self._level, self._capacity)

    def take(self, now: datetime.datetime) -> bool:
        """Take a permit, if there is one."""
        self._fill(now)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def put_back(self, now: datetime.datetime) -> None:
        """Put back a permit that was not used."""
        self._fill(now)
        self._level = min(self._capacity, self._level + 1.0)

    def wait(
        self, permits_ahead: int, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return the time until a permit is there, after some others."""
        self._fill(now)
        missing = permits_ahead + 1 - self._level
        if missing <= 0:
            return datetime.timedelta()
        if missing >= self._per_second * MAX_WAIT.total_seconds():
            return MAX_WAIT
        return datetime.timedelta(seconds=missing / self._per_second)

    @property
    def _capacity(self) -> float:
        return 1.0 + self._per_second * _SAVED_SECONDS

    def _fill(self, now: datetime.datetime) -> None:
        seconds = max(0.0, (now - self._filled_at).total_seconds())
        self._filled_at = max(self._filled_at, now)
        self._level = min(
            self._capacity, self._level + seconds * self._per_second
        )
