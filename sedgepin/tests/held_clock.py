"""A clock for tests whose limits are not to count a busy machine's delays.

The time in which the test's thread is ready to run, and gets no processor,
does not pass.  On an idle machine there is none, and each limit is what it is
by the system's clock.
"""

import collections.abc
import os
import pathlib
import time

import trio

_NANOSECONDS = 1_000_000_000
_THREAD_TIMES = pathlib.Path("/proc/thread-self/schedstat")
_MAX_LINE_BYTES = 128


class HeldClock(trio.abc.Clock):
    """The system's clock, less what the thread waited for a processor.

    Linux counts that in a file; where there is none, nothing is deducted.
    ``trio.run`` must be called in the thread that made the clock.

    >>> clock = HeldClock()
    >>> trio.run(main, clock=clock)
    >>> clock.close()
    """

    def __init__(
        self,
        times: pathlib.Path = _THREAD_TIMES,
        wall_time: collections.abc.Callable[[], float] = time.perf_counter,
    ) -> None:
        self._wall_time = wall_time
        self._file: int | None = None
        if times.exists():
            self._file = os.open(times, os.O_RDONLY | os.O_CLOEXEC)

    def start_clock(self) -> None:
        """Do nothing; the clock runs from the start."""

    def current_time(self) -> float:
        """Return the time at which the thread runs now."""
        while True:
            waited = self._waited_nanoseconds()
            now = self._wall_time()
            # The thread may have waited between the two.
            if waited == self._waited_nanoseconds():
                return now - waited / _NANOSECONDS

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to sleep if no wait for a processor follows."""
        return deadline - self.current_time()

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _waited_nanoseconds(self) -> int:
        if self._file is None:
            return 0
        line = os.pread(self._file, _MAX_LINE_BYTES, 0)
        return int(line.split()[1])
