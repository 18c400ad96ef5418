"""Measures when the machine does not run programs that are ready to run."""

import collections.abc
import dataclasses
import pathlib

import trio

from sedgepin.platform.tests.soak import _record

_SAMPLE_SECONDS = 0.01
_MIN_HOLD_SECONDS = 0.002


@dataclasses.dataclass(slots=True, frozen=True)
class _Sample:
    process_id: int
    at: float
    seconds_waited: float


def seconds_waited(process_id: int) -> float | None:
    """Return how long a main thread has waited for a processor.

    Linux counts it from the start of the process.  What a program computes,
    sleeps or waits for a disk is not in it.  ``None`` where it isn't counted.
    """
    path = pathlib.Path(f"/proc/{process_id}/schedstat")
    try:
        return int(path.read_text().split()[1]) / 1_000_000_000
    except (OSError, IndexError, ValueError):
        return None


async def record_holds(
    process_ids: collections.abc.Callable[[], dict[str, int]],
    record: _record.Record,
) -> None:
    """Record the holds of all programs, by name, until cancelled."""
    samples: dict[str, _Sample] = {}
    while True:
        for name, process_id in process_ids().items():
            seconds = seconds_waited(process_id)
            if seconds is None:
                samples.pop(name, None)
                continue
            sample = _Sample(process_id, trio.current_time(), seconds)
            before = samples.get(name)
            samples[name] = sample
            if before is None or before.process_id != process_id:
                continue
            seconds_held = sample.seconds_waited - before.seconds_waited
            if seconds_held >= _MIN_HOLD_SECONDS:
                record.holds.append(
                    _record.Hold(name, before.at, sample.at, seconds_held)
                )
        await trio.sleep(_SAMPLE_SECONDS)
