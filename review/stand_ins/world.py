"""A small deployment on loopback addresses, and the record of a run."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
import dataclasses
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import types
import typing

from stand_ins import http1

ZONES = ("beja", "jendouba", "bousalem")
HOST = "office.example"
_REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
_RESTART_S = 0.5
_POLL_S = 0.02
_CONTROL_PORT = 8229
_FRONT_PORT = 8227
_READY_PORT = 8220
_ENGINE_PORT = 8080
_METRICS_PORT = 9464
_PEER_PORTS = (7340, 7355)
BOUNDS = {
    "stabilityWindowMs": 3000,
    "configMs": 2000,
    "drainMs": 2000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetMinRetries": 198,
}


class CannotRun(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """Lines of what was sent, answered and run, with their times."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._start = time.monotonic()
        self._lines: list[str] = []

    @property
    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._start

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now:8.3f} {text}")

    def save(self) -> None:
        """Write all lines to the file of the record."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


@dataclasses.dataclass(slots=True)
class Machine:
    """A machine of the system, with one role."""

    role: str
    number: int
    ip: str
    zone: str
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    should_run: bool = False
    # Times at which the process ended by itself.
    own_ends: list[float] = dataclasses.field(default_factory=list)

    @property
    def name(self) -> str:
        """Return the machine's name."""
        return f"{self.role}-{self.zone}-{self.number}"


class World:
    """The machines, and what the platform does for them."""

    def __init__(
        self, record: Record, entry_count: int = 3, control_count: int = 3
    ) -> None:
        self.record = record
        self._has_ended = False
        self._tasks: list[asyncio.Task[None]] = []
        self.lane = _free_lane()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.machines: list[Machine] = []
        for role, count, octet in (
            ("control", control_count, 1),
            ("entry", entry_count, 2),
        ):
            for number in range(1, count + 1):
                zone = ZONES[(number - 1) % len(ZONES)]
                folder = self.folder / f"{role}-{number}"
                (folder / "data").mkdir(parents=True)
                ip = f"127.{self.lane}.{octet}.{number}"
                self.machines.append(Machine(role, number, ip, zone, folder))

    @property
    def controls(self) -> list[Machine]:
        """Return the machines that serve the control plane."""
        return [one for one in self.machines if one.role == "control"]

    @property
    def entries(self) -> list[Machine]:
        """Return the machines that serve consumers."""
        return [one for one in self.machines if one.role == "entry"]

    @property
    def control_addresses(self) -> list[str]:
        """Return the addresses at which the control plane is called."""
        return [f"{one.ip}:{_CONTROL_PORT}" for one in self.controls]

    def front(self, machine: Machine) -> str:
        """Return the address at which a machine takes consumers."""
        return f"{machine.ip}:{_FRONT_PORT}"

    def engine_address(self, number: int) -> str:
        """Return the address of an engine."""
        return f"127.{self.lane}.3.{number}:{_ENGINE_PORT}"

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a task until the run ends."""
        self._tasks.append(asyncio.create_task(work))

    def start(self, machine: Machine, is_first_start: bool = False) -> None:
        """Start a machine's process with the command of the deploy file."""
        path = machine.folder / "settings.toml"
        path.write_text(self._settings(machine, is_first_start))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(_REPOSITORY / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["SEDGEPIN_NODE_FILE"] = str(path)
        with (
            (machine.folder / "log").open("ab") as log,
            (machine.folder / "errors").open("ab") as errors,
        ):
            machine.process = subprocess.Popen(
                ["python3", "-m", "sedgepin.platform", machine.role]
                + [str(_METRICS_PORT)],
                cwd=_REPOSITORY,
                env=environment,
                stdout=log,
                stderr=errors,
            )
        machine.should_run = True

    def start_all(self) -> None:
        """Start all machines for the first time."""
        for machine in self.machines:
            self.start(machine, is_first_start=True)

    def send_signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a process that this run has started."""
        if machine.process is not None and machine.process.poll() is None:
            machine.process.send_signal(number)
            self.record.add(f"{machine.name}: {number.name}")

    async def supervise(self) -> None:
        """Start processes that end by themselves again, as the pages say."""
        while True:
            await asyncio.sleep(_POLL_S)
            for machine in self.machines:
                process = machine.process
                if not machine.should_run or process is None:
                    continue
                if process.poll() is None:
                    continue
                machine.own_ends.append(self.record.now)
                reason = (machine.folder / "errors").read_text()
                last = reason.strip().splitlines()[-1:] or [""]
                failure = next(
                    (
                        line.strip(" |+-")
                        for line in reversed(reason.splitlines())
                        if "Error" in line and "Group" not in line
                    ),
                    last[0],
                )
                self.record.add(
                    f"{machine.name}: ended by itself with"
                    f" {process.returncode}: {failure}"
                )
                machine.should_run = False
                asyncio.get_running_loop().call_later(
                    _RESTART_S, self._start_again, machine
                )

    def _start_again(self, machine: Machine) -> None:
        if not self._has_ended:
            self.start(machine)

    def end(self) -> None:
        """End every process that this run has started, and its folder."""
        self._has_ended = True
        for machine in self.machines:
            machine.should_run = False
            if machine.process is not None:
                if machine.process.poll() is None:
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def is_ready(self, machine: Machine) -> bool:
        """Ask a machine whether it is ready, as the platform does."""
        address = f"{machine.ip}:{_READY_PORT}"
        try:
            answer = await http1.call(address, "GET", "/v1/ready")
        except http1.Broken:
            return False
        return answer.status == 200

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all entry machines are ready."""
        deadline = self.record.now + timeout_s
        for machine in self.entries:
            while not await self.is_ready(machine):
                if self.record.now > deadline:
                    raise CannotRun(f"{machine.name} does not become ready")
                await asyncio.sleep(0.1)

    async def publish(self, manifest: dict[str, object]) -> float:
        """Send a manifest until it is acknowledged; return when it was."""
        body = json.dumps(manifest).encode()
        deadline = self.record.now + 15.0
        addresses = itertools.cycle(self.control_addresses)
        while self.record.now < deadline:
            address = next(addresses)
            try:
                answer = await http1.call(
                    address, "PUT", "/v1/config", {}, body
                )
            except http1.Broken:
                await asyncio.sleep(0.1)
                continue
            if answer.status == 200:
                self.record.add(f"manifest {manifest['version']} acknowledged")
                return self.record.now
            if answer.status in (400, 409, 412, 413, 422):
                raise CannotRun(f"the manifest is refused: {answer.body!r}")
            await asyncio.sleep(0.1)
        raise CannotRun("the manifest is not acknowledged")

    def _settings(self, machine: Machine, is_first_start: bool) -> str:
        seeds = ", ".join(f'"{one}"' for one in self.control_addresses[:3])
        bounds = "\n".join(f"{name} = {BOUNDS[name]}" for name in BOUNDS)
        listen = f'control = "{machine.ip}:{_CONTROL_PORT}"'
        serves = "control_plane"
        if machine.role == "entry":
            serves = "edge"
            listen = (
                f'front = "{machine.ip}:{_FRONT_PORT}"\n'
                f'ready = "{machine.ip}:{_READY_PORT}"'
            )
        disk = ""
        if machine.role == "control":
            disk = f'dataDir = "{machine.folder / "data"}"'
        return f"""
nodeName = "{machine.name}"
role = "{machine.role}"
machineClass = "{"edge" if machine.role == "entry" else "core"}"
serves = ["{serves}"]
ip = "{machine.ip}"
zone = "{machine.zone}"
region = "nord-ouest"
internalPorts = [{_PEER_PORTS[0]}, {_PEER_PORTS[1]}]
seeds = [{seeds}]
bootstrap = {str(is_first_start).lower()}
lossCounts = {str(machine.role == "control").lower()}
discovery = "registration"
entry = "vip"
heartbeatMs = 1200
configMode = "highest"
{disk}
[listen]
{listen}
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{bounds}
"""


def _free_lane() -> int:
    """Return the second number of loopback addresses that are unused."""
    lanes = list(range(40, 240))
    random.Random(os.getpid()).shuffle(lanes)
    for lane in lanes:
        try:
            for octet, port in ((1, _CONTROL_PORT), (2, _FRONT_PORT)):
                with socket.socket() as probe:
                    probe.bind((f"127.{lane}.{octet}.1", port))
        except OSError:
            continue
        return lane
    raise CannotRun("no loopback addresses are free")


def has_trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


Case = Callable[[World], Awaitable[bool]]


async def _run_case(case: Case, world: World) -> bool:
    others = asyncio.all_tasks()
    world.spawn(world.supervise())
    try:
        async with asyncio.timeout(110):
            return await case(world)
    finally:
        world.end()
        left = asyncio.all_tasks() - others
        for task in left:
            task.cancel()
        await asyncio.wait(left, timeout=2.0)


def _interrupt(_number: int, _frame: types.FrameType | None) -> None:
    """End in good order, with all processes of the run."""
    raise SystemExit(2)


def main(case: Case, file: str, **counts: int) -> typing.NoReturn:
    """Run a case and exit: 0 if the rule held, 10 if it was broken, else 2.

    ``case`` is called with the world and returns whether the rule was kept.
    The record is written beside ``file``.
    """
    record = Record(pathlib.Path(file).resolve().parent / "record.txt")
    record.add(f"trouble: {has_trouble()}")
    signal.signal(signal.SIGTERM, _interrupt)
    world: World | None = None
    code = 2
    try:
        world = World(record, **counts)
        world.start_all()
        code = 0 if asyncio.run(_run_case(case, world)) else 10
    except Exception as exc:
        record.add(f"cannot run: {type(exc).__name__} {exc}")
        traceback.print_exc()
    finally:
        if world is not None:
            world.end()
        record.save()
    # Channels that are still open need no orderly end.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
