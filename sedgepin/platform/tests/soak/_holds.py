"""Measures when the machine does not run programs that are ready to run."""

import collections.abc
import dataclasses
import pathlib

import trio

from sedgepin.platform.tests.soak import _record

_SAMPLE_SECONDS = 0.01
_MIN_HOLD_SECONDS = 0.002
_NANOSECONDS = 1_000_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class Times:
    """What Linux says of the main thread of a process."""

    # Whether it runs or is ready to run.
    is_runnable: bool
    seconds_run: float
    # How long it waited for a processor before it got one.
    seconds_waited: float


def read_times(process_id: int) -> Times | None:
    """Return the times of a process; ``None`` where they are not counted."""
    folder = pathlib.Path(f"/proc/{process_id}")
    try:
        state = (folder / "stat").read_text().rpartition(")")[2].split()[0]
        run, waited = (folder / "schedstat").read_text().split()[:2]
    except (OSError, IndexError, ValueError):
        return None
    return Times(
        state == "R", int(run) / _NANOSECONDS, int(waited) / _NANOSECONDS
    )


@dataclasses.dataclass(slots=True)
class _Progress:
    process_id: int
    at: float
    times: Times
    # A wait that goes on at the last sample began no earlier than the first,
    # and no later than the second.
    waits_since: float
    still_since: float
    # Since which sample it has been ready and has not run, if it is ready.
    ready_since: float | None
    seconds_held: float = 0.0


class HoldMeter:
    """The holds of programs: ready to run, and not run by the machine.

    What a program computes, sleeps or waits for a disk is no hold, nor is the
    time in which it is stopped by a signal.

    >>> meter = HoldMeter()
    >>> nursery.start_soon(meter.run, programs.process_ids)
    >>> meter.holds
    """

    def __init__(self) -> None:
        self.holds: list[_record.Hold] = []
        self._progress: dict[str, _Progress] = {}

    async def run(
        self, process_ids: collections.abc.Callable[[], dict[str, int]]
    ) -> None:
        """Sample the processes, by the names of programs, until cancelled."""
        while True:
            for name, process_id in process_ids().items():
                now = trio.current_time()
                self.add(name, process_id, now, read_times(process_id))
            await trio.sleep(_SAMPLE_SECONDS)

    def add(
        self, name: str, process_id: int, now: float, times: Times | None
    ) -> None:
        """Add a sample; it is the first if the process is another one."""
        if times is None:
            self._progress.pop(name, None)
            return
        before = self._progress.get(name)
        if before is None or before.process_id != process_id:
            ready_since = now if times.is_runnable else None
            progress = _Progress(process_id, now, times, now, now, ready_since)
            self._progress[name] = progress
            return
        seconds = times.seconds_waited - before.times.seconds_waited
        if seconds >= _MIN_HOLD_SECONDS:
            hold = _record.Hold(name, before.waits_since, now, seconds)
            since = before.ready_since
            # Linux counts what runs a little late.
            if since is not None and before.at - since <= seconds:
                hold = dataclasses.replace(
                    hold, surely_since=since, surely_until=before.at
                )
            self.holds.append(hold)
            before.seconds_held += seconds
        if not times.is_runnable:
            before.waits_since = before.still_since = now
            before.ready_since = None
        elif (times.seconds_run, times.seconds_waited) != (
            before.times.seconds_run,
            before.times.seconds_waited,
        ):
            # It has run since the last sample, and may wait again.
            before.waits_since = before.at
            before.still_since = before.ready_since = now
        elif before.ready_since is None:
            before.ready_since = now
        before.at = now
        before.times = times

    def seconds_held(self, name: str, process_id: int) -> float:
        """Return for how long a process was held until its last sample.

        The wait that goes on counts, as it does not run meanwhile.
        """
        progress = self._progress.get(name)
        if progress is None or progress.process_id != process_id:
            return 0.0
        if not progress.times.is_runnable:
            return progress.seconds_held
        return progress.seconds_held + progress.at - progress.still_since
