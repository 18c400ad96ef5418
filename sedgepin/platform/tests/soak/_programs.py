"""Starts, signals and restarts the real programs as child processes."""

import dataclasses
import datetime
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import time
import typing

import trio

from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _holds
from sedgepin.platform.tests.soak import _record

# ``graceS`` of the settings.
GRACE_PERIOD_SECONDS = 6.0
# The platform restarts a process this long after its end.
_RESTART_SECONDS = 0.2
_POLL_SECONDS = 0.02
# Shorter than any record of the log.
_MAX_TORN_BYTES = 16
# Until Python has imported a program, SIGTERM kills it without a drain.
_MAX_IMPORT_SECONDS = 3.0
_CLOCK_READINGS = 20
_JUDGED_EVENTS = (
    b'"request_dispatched"',
    b'"configuration_in_force"',
    b'"answer_cut"',
    b'"caller_closed"',
    b'"request_unread"',
    b'"request_failed"',
)


@dataclasses.dataclass(slots=True, frozen=True)
class Start:
    """A start of a program, from another build or (``None``) these sources."""

    program: str
    at: float
    build: pathlib.Path | None


@dataclasses.dataclass(slots=True)
class Program:
    """One process and the state needed to restart it."""

    role: str
    number: int
    folder: pathlib.Path
    process: subprocess.Popen[bytes]
    started_at: float
    should_run: bool = True
    is_paused: bool = False
    is_first_start: bool = True
    # The folder with the sources that it runs from; ``None`` for these.
    build: pathlib.Path | None = None

    @property
    def name(self) -> str:
        """Return a name for reports."""
        return f"{self.role}-{self.number}"


class Programs:
    """All processes of one run."""

    def __init__(
        self,
        folder: pathlib.Path,
        addresses: _addresses.Addresses,
        build: pathlib.Path | None = None,
        counts_ends: bool = False,
    ) -> None:
        self._folder = folder
        self._addresses = addresses
        self._build = build
        self._counts_ends = counts_ends
        self.programs: list[Program] = []
        self.meter = _holds.HoldMeter()
        self.kills: list[_record.Ending] = []
        self.stops: list[_record.Stop] = []
        self.starts: list[Start] = []
        self.unexpected_exits: list[str] = []

    def start_all(self) -> None:
        """Start every program for the first time."""
        for role in ("control", "entry"):
            for number in range(1, self._addresses.counts[role] + 1):
                folder = self._folder / f"{role}-{number}"
                folder.mkdir(parents=True)
                self._write_settings(role, number, folder, True)
                process = self._spawn(role, folder, 0, self._build)
                now = time.monotonic()
                program = Program(
                    role, number, folder, process, now, build=self._build
                )
                self.programs.append(program)
                self._note_start(program)

    def with_role(self, role: str) -> list[Program]:
        """Return the programs of a role."""
        return [program for program in self.programs if program.role == role]

    def process_ids(self) -> dict[str, int]:
        """Return the process id of each program, by its name."""
        return {program.name: program.process.pid for program in self.programs}

    def signal(self, program: Program, signal_number: signal.Signals) -> None:
        """Send a signal to a program if it is running."""
        if program.process.poll() is None:
            program.process.send_signal(signal_number)
            program.is_paused = signal_number is signal.SIGSTOP

    def kill(self, program: Program) -> None:
        """Kill a program with SIGKILL and wait for its exit."""
        self._record_kill(program)
        program.should_run = False
        program.is_paused = False
        program.process.kill()
        program.process.wait()

    def restart(self, program: Program, clock_skew_ms: int = 0) -> None:
        """Start a stopped program again, with a clock off by the skew."""
        program.is_first_start = False
        self._write_settings(
            program.role, program.number, program.folder, False
        )
        program.process = self._spawn(
            program.role, program.folder, clock_skew_ms, program.build
        )
        program.started_at = time.monotonic()
        program.should_run = True
        self._note_start(program)

    def _note_start(self, program: Program) -> None:
        start = Start(program.name, trio.current_time(), program.build)
        self.starts.append(start)

    def _record_kill(self, program: Program) -> None:
        ending = _record.Ending(program.name, trio.current_time())
        self.kills.append(ending)

    def rewrite_settings(self, program: Program) -> None:
        """Replace the settings file by an identical one."""
        self._write_settings(
            program.role,
            program.number,
            program.folder,
            program.is_first_start,
        )

    def delete_data(self, program: Program) -> None:
        """Delete all data that a program has stored."""
        shutil.rmtree(program.folder / "data", ignore_errors=True)

    def append_torn_write(self, program: Program, rng: random.Random) -> None:
        """Append the remains of a torn write to the log.

        Unwritten blocks read as zeros.  The start of a partial write is
        imitated by the first bytes of the log, as all records start alike.
        """
        stored = program.folder / "data" / "log"
        if not stored.is_file():
            return
        size = rng.randint(1, _MAX_TORN_BYTES)
        content = stored.read_bytes()[:size]
        if rng.random() < 0.5:
            content = bytes(size)
        with stored.open("ab") as log:
            log.write(content)

    async def stop(self, program: Program) -> None:
        """Stop a program with SIGTERM; kill it after the grace period."""
        program.should_run = False
        seconds_held = self.meter.seconds_held(
            program.name, program.process.pid
        )
        age = time.monotonic() - program.started_at
        stopped_at = trio.current_time()
        program.process.terminate()
        with trio.move_on_after(GRACE_PERIOD_SECONDS):
            while program.process.poll() is None:
                await trio.sleep(_POLL_SECONDS)
        self.stops.append(
            _record.Stop(program.name, stopped_at, trio.current_time())
        )
        if program.process.poll() is None:
            self._record_kill(program)
            program.process.kill()
            program.process.wait()
        elif program.process.returncode == -signal.SIGTERM:
            # The time in which the machine did not run it is not its own.
            if age - seconds_held >= _MAX_IMPORT_SECONDS:
                self._record_exit(
                    program, f" {age:.1f} s old, held for {seconds_held:.1f} s"
                )
        elif program.process.returncode != 0:
            self._record_exit(program)

    async def supervise(self) -> None:
        """Record programs that exit unexpectedly and restart them."""
        while True:
            await trio.sleep(_POLL_SECONDS)
            for program in self.programs:
                has_exited = program.process.poll() is not None
                if has_exited and program.should_run:
                    self._record_exit(program)
                    program.should_run = False
                    await trio.sleep(_RESTART_SECONDS)
                    self.restart(program)

    def kill_all(self) -> None:
        """Kill every process that is still running."""
        for program in self.programs:
            if program.process.poll() is None:
                program.process.kill()
            program.process.wait()

    def fill_in(self, record: _record.Record) -> None:
        """Add to a record what the programs have logged and how they ended."""
        record.unexpected_exits = self.unexpected_exits
        record.contained_failures = self._lines_with(
            '"task_failed"', '"messages_not_sent"'
        )
        # Requests that ended with their VM.
        record.cut_requests = self._lines_with('"request_cut"')
        record.endings += self.kills
        record.stops = self.stops
        record.holds = self.meter.holds
        # The log has wall time, which ``_skewed`` does not change.
        clock_offset = _measure_clock_offset()
        for program in self.with_role("entry"):
            for line in _read_lines(program, _JUDGED_EVENTS):
                at = _wall_time(line) + clock_offset
                if line["event"] == "request_failed" and (
                    self._is_of_other_build(program, at)
                ):
                    # Other builds have known faults in what they log of it.
                    continue
                _add_line(record, program.name, line, at)

    def _is_of_other_build(self, program: Program, at: float) -> bool:
        """Return whether a program ran from another build at an instant."""
        starts = [
            start
            for start in self.starts
            if start.program == program.name and start.at <= at
        ]
        return bool(starts) and starts[-1].build is not None

    def _lines_with(self, *texts: str) -> list[str]:
        return [
            f"{program.name}: {line}"
            for program in self.programs
            for line in (program.folder / "log").read_text().splitlines()
            if any(text in line for text in texts)
        ]

    def _record_exit(self, program: Program, detail: str = "") -> None:
        stderr = (program.folder / "errors").read_text()[-600:]
        code = program.process.returncode
        self.unexpected_exits.append(
            f"{program.name} with status {code}{detail}: {stderr}"
        )

    def _spawn(
        self,
        role: str,
        folder: pathlib.Path,
        clock_skew_ms: int,
        build: pathlib.Path | None,
    ) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-m", "sedgepin.platform", role]
        if clock_skew_ms:
            skewed_module = "sedgepin.platform.tests.soak._skewed"
            command = [
                sys.executable,
                "-m",
                skewed_module,
                str(clock_skew_ms),
                role,
            ]
        if role == "entry" and self._counts_ends:
            command.append(str(_addresses.METRICS_PORT))
        settings = str(folder / "settings.toml")
        environment = {**os.environ, "SEDGEPIN_NODE_FILE": settings}
        if build is not None:
            environment["PYTHONPATH"] = str(build)
        with (
            (folder / "log").open("ab") as log,
            (folder / "errors").open("ab") as stderr,
        ):
            return subprocess.Popen(
                command,
                cwd=build,
                env=environment,
                stdout=log,
                stderr=stderr,
            )

    def _write_settings(
        self,
        role: str,
        number: int,
        folder: pathlib.Path,
        is_first_start: bool,
    ) -> None:
        text = self._addresses.settings(
            role, number, folder / "data", is_first_start
        )
        path = folder / "settings.toml"
        temporary_path = folder / "settings.new"
        temporary_path.write_text(text)
        temporary_path.replace(path)


def _measure_clock_offset() -> float:
    """Return the soak's time minus wall time, in seconds.

    The process may be held between two readings, so the closest ones count.
    """
    readings: list[tuple[float, float]] = []
    for _number in range(_CLOCK_READINGS):
        before = trio.current_time()
        wall_time = time.time()
        after = trio.current_time()
        readings.append((after - before, (before + after) / 2 - wall_time))
    return min(readings)[1]


def _wall_time(line: dict[str, typing.Any]) -> float:
    return datetime.datetime.fromisoformat(line["time"]).timestamp()


def _add_line(
    record: _record.Record,
    program: str,
    line: dict[str, typing.Any],
    at: float,
) -> None:
    """Add a line of an entry's log to a record."""
    match line["event"]:
        case "request_dispatched":
            dispatch = _record.Dispatch(
                line["request"],
                line["endpoint"],
                at,
                line["milliseconds_left"],
            )
            record.dispatches.append(dispatch)
        case "configuration_in_force":
            following = _record.Following(program, line["version"], at)
            record.followings.append(following)
        case "request_failed":
            failure = _record.Failure(
                program,
                line["request"],
                at,
                line["code"],
                line["may_have_run"],
            )
            record.failures.append(failure)
        case "answer_cut" | "caller_closed" | "request_unread" as event:
            end = _record.VmEnd(
                program,
                event,
                line.get("request", ""),
                at,
                line.get("reason", ""),
                line.get("closed_by", ""),
                line.get("unread_bytes", 0),
            )
            record.vm_ends.append(end)


def _read_lines(
    program: Program, texts: tuple[bytes, ...]
) -> list[dict[str, typing.Any]]:
    """Return the whole lines of a program's log that contain a text."""
    lines = (program.folder / "log").read_bytes().splitlines(keepends=True)
    return [
        json.loads(line)
        for line in lines
        if any(text in line for text in texts) and line.endswith(b"\n")
    ]
