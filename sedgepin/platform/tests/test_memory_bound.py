"""Tests that an entry program with many bad engines fits into its VM."""

import collections
import collections.abc
import contextlib
import json
import os
import pathlib
import subprocess
import sys
import typing

import trio

from sedgepin.platform.tests import running_system
from sedgepin.tests import memory

_MEMORY_MB = 200
_VM_BYTES = 200_000_000
_OPEN_REQUESTS = 1000
# Some are always between two requests.
_MIN_OPEN_REQUESTS = 900
_SLOTS = 96
_SPAN_SECONDS = 5.0
_CALL_SECONDS = 0.05
_MIN_SERVED_SHARE = 0.95
_SIGNATURE = b"X-Response-Seal: s\r\n"
_TRICKLE_SECONDS = 0.5
# What each engine sends, and the time between its pieces.
_ENGINES: tuple[tuple[str, float | None], ...] = (
    ("one piece", None),
    ("one piece", None),
    ("one piece", None),
    ("one piece", None),
    ("one chunk", None),
    ("one chunk", None),
    ("one header line", None),
    ("headers", _TRICKLE_SECONDS),
    ("one chunk length", _TRICKLE_SECONDS),
    ("trailers", _TRICKLE_SECONDS),
    ("tiny chunks", _TRICKLE_SECONDS),
    ("body without length", None),
)
_FLOOD_ROUTES: list[dict[str, object]] = [
    {
        "host": "one.example",
        "pathPrefix": "/flood/",
        "kind": "idempotent",
        "timeoutMs": 8000,
        "service": "t",
        "public": True,
    },
    {
        "host": "one.example",
        "pathPrefix": "/stream/",
        "kind": "streaming",
        "timeoutMs": 8000,
        "service": "t",
        "public": True,
    },
]


class _Calls:
    """Sound requests at a steady rate, whatever the others take."""

    def __init__(self) -> None:
        self.statuses: collections.Counter[int] = collections.Counter()

    @property
    def served_share(self) -> float:
        return self.statuses[200] / self.statuses.total()

    async def run(self) -> None:
        """Send requests for a span, and await the answers."""
        end = trio.current_time() + _SPAN_SECONDS
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                nursery.start_soon(self._call)
                await trio.sleep(_CALL_SECONDS)

    async def _call(self) -> None:
        status, _body = await running_system.send(
            running_system.ENTRY,
            running_system.CALL_PORT,
            b"POST",
            b"/post/x",
        )
        self.statuses[status] += 1


class _Flood:
    """Callers of the bad engines, in a process."""

    def __init__(self, process: subprocess.Popen[str]) -> None:
        self._process = process
        self.ends: dict[str, int] = {}
        self.open_count = 0
        self.most_open = 0

    async def read(self) -> None:
        stdout = self._process.stdout
        assert stdout is not None
        while line := await trio.to_thread.run_sync(
            stdout.readline, abandon_on_cancel=True
        ):
            counts: dict[str, typing.Any] = json.loads(line)
            self.ends = counts["ends"]
            self.open_count = counts["open"]
            self.most_open = max(self.most_open, self.open_count)


def _open_count(floods: list["_Flood"]) -> int:
    return sum(flood.open_count for flood in floods)


def _flood(
    target: str, count: int
) -> contextlib.AbstractContextManager[_Flood]:
    """Run callers of one target in a process."""
    return _run_callers("many_callers", target, str(count))


@contextlib.contextmanager
def _run_callers(
    module: str, *arguments: str
) -> collections.abc.Iterator[_Flood]:
    address = f"{running_system.ENTRY}:{running_system.CALL_PORT}"
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    with subprocess.Popen(
        [sys.executable, "-m", f"sedgepin.platform.tests.{module}", address]
        + list(arguments),
        stdout=subprocess.PIPE,
        text=True,
        env=environment,
    ) as process:
        try:
            yield _Flood(process)
        finally:
            process.kill()


def _peak_bytes(process: subprocess.Popen[bytes]) -> int:
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise ValueError("the process has no VmHWM")


async def _publish() -> None:
    await running_system.poll_until(
        200,
        running_system.CONTROL,
        running_system.CALL_PORT,
        b"PUT",
        b"/v1/config",
        body={
            **running_system.CONFIGURATION,
            "version": 2,
            "routes": [*running_system.ROUTES, *_FLOOD_ROUTES],
            "services": [{"name": "s"}, {"name": "t"}],
        },
    )
    await trio.sleep(1.0)


class _Play:
    """Sound requests before and beside callers of the bad engines."""

    def __init__(self, system: running_system.System) -> None:
        self._system = system
        self.calm = _Calls()
        self.beside = _Calls()
        self.peak_bytes = 0
        self.ended_holders = 0

    async def run(self, nursery: trio.Nursery) -> None:
        self._system.memory_mb = _MEMORY_MB
        await running_system.start_system(self._system, nursery)
        await _publish()
        entry = self._system.processes["entry"]
        await self.calm.run()
        start_bytes = _peak_bytes(entry)
        with contextlib.ExitStack() as stack:
            for number, (kind, pause) in enumerate(_ENGINES):
                address = stack.enter_context(
                    memory.endless_engine_process(kind, _SIGNATURE, pause)
                )
                nursery.start_soon(
                    running_system.renew_registration,
                    _check_in(address),
                    b"bad%d" % number,
                )
            await trio.sleep(1.0)
            floods = [
                stack.enter_context(_flood(target, _OPEN_REQUESTS // 2))
                for target in ("/flood/x", "/stream/x")
            ]
            for flood in floods:
                nursery.start_soon(flood.read)
            with trio.move_on_after(20):
                while _open_count(floods) < _MIN_OPEN_REQUESTS:
                    await trio.sleep(0.1)
            assert _open_count(floods) >= _MIN_OPEN_REQUESTS
            await self.beside.run()
            assert entry.poll() is None
            self.peak_bytes = _peak_bytes(entry)
        log = self._system.log_text("entry")
        self.ended_holders = log.count('"event":"holder_ended"')
        print(
            f"{start_bytes / 1e6:.1f} MB before,"
            f" {self.peak_bytes / 1e6:.1f} MB at most, {self.ended_holders}"
            f" holders ended; sound requests {dict(self.calm.statuses)}"
            f" before, {dict(self.beside.statuses)} beside; flood:"
            f" {sum(flood.most_open for flood in floods)} open at most,"
            f" {[flood.ends for flood in floods]}"
        )


def _check_in(address: str) -> dict[str, object]:
    return {
        "service": "t",
        "address": address,
        "zone": "one",
        "state": "ready",
        "slots": _SLOTS,
        "born": 1,
    }


class TestEnginesThatSendWithoutEnd:
    async def test_entry_program_fits_into_its_vm(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        """200 open attempts once took the whole VM (issue 46)."""
        play = _Play(system)
        await play.run(nursery)
        assert play.peak_bytes < _VM_BYTES
        assert play.ended_holders
        nursery.cancel_scope.cancel()

    async def test_sound_requests_are_served_beside_them(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        play = _Play(system)
        await play.run(nursery)
        served_share = play.beside.served_share
        assert served_share >= _MIN_SERVED_SHARE * play.calm.served_share
        nursery.cancel_scope.cancel()


class TestCallersThatSendWithoutEnd:
    async def test_entry_program_fits_into_its_vm_and_serves(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        """One caller once took the whole VM (issue 46)."""
        system.memory_mb = _MEMORY_MB
        await running_system.start_system(system, nursery)
        await _publish()
        entry = system.processes["entry"]
        calm, beside = _Calls(), _Calls()
        await calm.run()
        with _run_callers("endless_callers", str(_OPEN_REQUESTS)) as callers:
            nursery.start_soon(callers.read)
            with trio.move_on_after(20):
                while callers.open_count < _MIN_OPEN_REQUESTS:
                    await trio.sleep(0.1)
            await beside.run()
            assert entry.poll() is None
            peak_bytes = _peak_bytes(entry)
        print(
            f"{peak_bytes / 1e6:.1f} MB at most; sound requests"
            f" {dict(calm.statuses)} before, {dict(beside.statuses)} beside;"
            f" {callers.most_open} callers open at most"
        )
        assert callers.most_open >= _MIN_OPEN_REQUESTS
        assert peak_bytes < _VM_BYTES
        assert beside.served_share >= _MIN_SERVED_SHARE * calm.served_share
        nursery.cancel_scope.cancel()
