"""Play many seeds and print what each one found."""

import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import time
import types

import defopt
import trio

from sedgepin.platform.tests.soak import _invariants
from sedgepin.platform.tests.soak import _seed_run

_SHOWN_CHARACTERS = 300


def _interrupt(_number: int, _frame: types.FrameType | None) -> None:
    """End as on Control-C, so that every process that runs is ended."""
    raise KeyboardInterrupt


def main(
    *,
    seeds: int = 10,
    first: int | None = None,
    fault_seconds: float = 12.0,
    lane: int = 90,
    keep: pathlib.Path | None = None,
) -> int:
    """Play days of random faults, and tell which promises were broken.

    :param seeds: How many days to play.
    :param first: The first seed; a fresh one if none is given.
    :param fault_seconds: For how long faults begin in each day.
    :param lane: Second byte of the loopback addresses; days of different
        lanes can run side by side.
    :param keep: Where to leave logs and records of days with findings.
    """
    signal.signal(signal.SIGTERM, _interrupt)
    start = first if first is not None else random.randrange(1_000_000)
    failed: list[int] = []
    for seed in range(start, start + seeds):
        began = time.monotonic()
        with tempfile.TemporaryDirectory() as made:
            folder = pathlib.Path(made)
            if keep is not None:
                folder = keep / str(seed)
                folder.mkdir(parents=True)
            record = trio.run(
                _seed_run.run_seed, seed, folder, fault_seconds, lane
            )
        findings = _invariants.find_violations(record)
        took = time.monotonic() - began
        print(
            f"seed {seed}: {len(record.sent)} requests,"
            f" {len(record.runs)} runs, {len(record.faults)} faults,"
            f" {len(findings)} findings, {took:.0f} s",
            flush=True,
        )
        for finding in findings[:20]:
            print(f"  {finding[-_SHOWN_CHARACTERS:]}", flush=True)
        if findings:
            failed.append(seed)
            if keep is not None:
                text = "\n".join([*findings, "", *record.faults])
                (folder / "findings").write_text(text + "\n")
                runs = [repr(dataclasses.astuple(one)) for one in record.runs]
                (folder / "runs").write_text("\n".join(runs))
    print(f"{seeds - len(failed)} of {seeds} seeds without findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
