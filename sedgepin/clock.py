"""The clock that all reducers and shells read the time from.

Instants are timezone-aware ``datetime.datetime`` values in UTC.  Within a
process they never go backwards: the wall clock is read once at start, and
elapsed time is added to it.
"""

import abc
import datetime
import time


class Clock(abc.ABC):
    """A monotonic source of instants."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the current instant, in UTC."""


class SystemClock(Clock):
    """The wall clock at start plus elapsed time from ``CLOCK_BOOTTIME``.

    ``CLOCK_BOOTTIME`` (Linux, ``clock_gettime(2)``) also counts the time that
    a VM is suspended.  A lease can therefore expire while its holder is
    suspended.
    """

    __slots__ = ("_boottime_at_start", "_started_at")

    def __init__(self) -> None:
        self._boottime_at_start = time.clock_gettime(time.CLOCK_BOOTTIME)
        self._started_at = datetime.datetime.now(datetime.timezone.utc)

    def now(self) -> datetime.datetime:
        """Return the current instant, in UTC."""
        elapsed = (
            time.clock_gettime(time.CLOCK_BOOTTIME) - self._boottime_at_start
        )
        return self._started_at + datetime.timedelta(seconds=elapsed)

    def instant_of(self, boottime_seconds: float) -> datetime.datetime:
        """Return the instant of a reading of ``CLOCK_BOOTTIME``."""
        elapsed = boottime_seconds - self._boottime_at_start
        return self._started_at + datetime.timedelta(seconds=elapsed)


class ManualClock(Clock):
    """A clock for tests and benchmarks that only ``advance`` sets forward.

    >>> clock = ManualClock()
    >>> before = clock.now()
    >>> clock.advance(datetime.timedelta(seconds=2))
    >>> (clock.now() - before).total_seconds()
    2.0
    """

    __slots__ = ("_now",)

    def __init__(self, start: datetime.datetime | None = None) -> None:
        self._now = start or datetime.datetime(
            2026, 1, 1, tzinfo=datetime.timezone.utc
        )

    def now(self) -> datetime.datetime:
        """Return the current instant, which only ``advance`` changes."""
        return self._now

    def advance(self, step: datetime.timedelta) -> None:
        """Set the clock forward by ``step``."""
        self._now += step
