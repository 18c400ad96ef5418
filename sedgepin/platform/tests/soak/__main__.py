"""Runs the soak for many seeds and prints the violations of each."""

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

from sedgepin import logs
from sedgepin.platform.tests.soak import _invariants
from sedgepin.platform.tests.soak import _losses
from sedgepin.platform.tests.soak import _seed_run
from sedgepin import settings

_MAX_FINDING_CHARACTERS = 300


def _interrupt(_number: int, _frame: types.FrameType | None) -> None:
    """Handle SIGTERM like Control-C, so that all child processes end."""
    raise KeyboardInterrupt


def main(
    *,
    seeds: int = 10,
    first: int | None = None,
    fault_seconds: float = 12.0,
    lane: int = 90,
    requests_per_second: float = 20.0,
    only_stops: bool = False,
    stop_series: int = 2,
    stop_callers: int = 24,
    entries: int = 3,
    keep: pathlib.Path | None = None,
) -> int:
    """Run the system under random faults and print violated invariants.

    :param seeds: Number of seeds to run.
    :param first: First seed; random by default.
    :param fault_seconds: How long faults are started in each run.
    :param lane: Second byte of the loopback addresses; runs with different
        lanes can execute concurrently.
    :param requests_per_second: How much the callers send together.
    :param only_stops: End each run after its planned stops.
    :param stop_series: How often all entry VMs are stopped in a series.
    :param stop_callers: Callers that go on with VMs that stop.
    :param entries: How many entry VMs run.
    :param keep: Folder to keep the programs' files of every run in, and the
        findings and records of runs with violations.
    """
    signal.signal(signal.SIGTERM, _interrupt)
    # The engines' servers log failures that they contain.
    logs.configure(settings.Log(), "soak")
    start = first if first is not None else random.randrange(1_000_000)
    failed: list[int] = []
    for seed in range(start, start + seeds):
        started = time.monotonic()
        plan = _seed_run.StopPlan(
            random.Random(seed), stop_series, stop_callers, entries, only_stops
        )
        with tempfile.TemporaryDirectory() as temporary_folder:
            folder = pathlib.Path(temporary_folder)
            if keep is not None:
                folder = keep / str(seed)
                folder.mkdir(parents=True)
            record = trio.run(
                _seed_run.run_seed,
                seed,
                folder,
                fault_seconds,
                lane,
                requests_per_second,
                plan,
            )
        findings = _invariants.find_violations(record)
        elapsed = time.monotonic() - started
        print(
            f"seed {seed}: {len(record.sent)} requests,"
            f" {len(record.runs)} runs, {len(record.faults)} faults,"
            f" {record.odd_message_count} odd messages,"
            f" {sum(record.configuration_changes.values())} changes,"
            f" {len(findings)} findings, {elapsed:.0f} s;"
            f" {_losses.describe_early_requests(record)}",
            flush=True,
        )
        for finding in findings[:20]:
            print(f"  {finding[-_MAX_FINDING_CHARACTERS:]}", flush=True)
        if findings:
            failed.append(seed)
            if keep is not None:
                text = "\n".join([*findings, "", *record.faults])
                (folder / "findings").write_text(text + "\n")
                runs = [repr(dataclasses.astuple(run)) for run in record.runs]
                (folder / "runs").write_text("\n".join(runs))
    print(f"{seeds - len(failed)} of {seeds} seeds without findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
