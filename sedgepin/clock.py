"""The clock interface that every reducer and shell reads time through.

Instants are aware ``datetime.datetime`` values in UTC.  Within one process
they never go backwards: the system clock is read once, at start, and from
then on only elapsed time is added to it.
"""

import abc
import datetime
import time


class Clock(abc.ABC):
    """A source of instants that never goes backwards."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the current instant, in UTC."""


class SystemClock(Clock):
    """The machine's clock.

    Elapsed time comes from ``CLOCK_BOOTTIME`` (Linux, ``clock_gettime(2)``),
    which also counts the time that a VM spends suspended, so that a lease
    held by a suspended process is over when it wakes.
    """

    __slots__ = ("_booted_at", "_started_at")

    def __init__(self) -> None:
        self._booted_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        self._started_at = datetime.datetime.now(datetime.timezone.utc)

    def now(self) -> datetime.datetime:
        """Return the current instant, in UTC."""
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME) - self._booted_at
        return self._started_at + datetime.timedelta(seconds=elapsed)


class ManualClock(Clock):
    """A clock that moves only when it is told to, for tests and benches.

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
        """Return the instant last set."""
        return self._now

    def advance(self, step: datetime.timedelta) -> None:
        """Move the clock forward by ``step``."""
        self._now += step
