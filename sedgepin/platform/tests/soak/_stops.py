"""Planned stops of entry VMs, in series that overlap, beside slow engines."""

import random
import re
import time

import trio

from sedgepin import _web as web
from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _engines
from sedgepin.platform.tests.soak import _operator
from sedgepin.platform.tests.soak import _programs
from sedgepin.platform.tests.soak import _record

# Between the stops of a series; several VMs drain at once.
_MAX_GAP_SECONDS = 3.0
_RESTART_SECONDS = 0.3
_START_TIMEOUT_SECONDS = 30.0
_READY_POLL_SECONDS = 0.1
# Share of the stops that follow at once, as soon as the VM has started.
_SECOND_STOP_SHARE = 0.4
_SECOND_STOP_SECONDS = (0.0, 1.0)
# Share of the series in whose middle the service turns slow.
_SLOW_SHARE = 0.75
_SLOW_AFTER_SHARES = (0.1, 0.7)
_SLOW_FACTORS = (3.0, 8.0)
_SLOW_SECONDS = (2.0, 8.0)
_SCRAPE_INTERVAL_SECONDS = 0.25
_SCRAPE_TIMEOUT_SECONDS = 0.5
_END_COUNT = re.compile(
    rb'sedgepin_request_ends_total{closed_by="(\w+)",end="(\w+)"} (\S+)'
)


class Stops:
    """Stops the entry VMs of a run and records what they count meanwhile."""

    def __init__(
        self,
        addresses: _addresses.Addresses,
        record: _record.Record,
        programs: _programs.Programs,
        engines: list[_engines.Engine],
        rng: random.Random,
    ) -> None:
        self._addresses = addresses
        self._record = record
        self._programs = programs
        self._engines = engines
        self._rng = rng

    async def run_series(self) -> None:
        """Stop all entry VMs once or twice; wait until they are ready."""
        entries = self._programs.with_role("entry")
        self._rng.shuffle(entries)
        async with trio.open_nursery() as nursery:
            if self._rng.random() < _SLOW_SHARE:
                nursery.start_soon(self._slow_down)
            for program in entries:
                nursery.start_soon(self._stop, program)
                await trio.sleep(self._rng.uniform(0, _MAX_GAP_SECONDS))

    async def _stop(self, program: _programs.Program) -> None:
        is_repeated = self._rng.random() < _SECOND_STOP_SHARE
        await self._stop_once(program)
        if is_repeated:
            await trio.sleep(self._rng.uniform(*_SECOND_STOP_SECONDS))
            await self._stop_once(program)

    async def _stop_once(self, program: _programs.Program) -> None:
        """Stop a VM, start it again, and wait until it is ready."""
        self._note(f"planned stop of {program.name}")
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_counts, program)
                await self._programs.stop(program)
                scope.cancel()
        await trio.sleep(_RESTART_SECONDS)
        self._programs.restart(program)
        address = self._addresses.readiness_address(program.number)
        with trio.fail_after(_START_TIMEOUT_SECONDS):
            while not await _operator.is_ready(address):
                await trio.sleep(_READY_POLL_SECONDS)

    async def _slow_down(self) -> None:
        """Let the engines of the model turn slow in the middle of a stop."""
        await trio.sleep(
            _programs.GRACE_PERIOD_SECONDS
            * self._rng.uniform(*_SLOW_AFTER_SHARES)
        )
        factor = self._rng.uniform(*_SLOW_FACTORS)
        seconds = self._rng.uniform(*_SLOW_SECONDS)
        self._note(f"the model is {factor:.1f} times slower, {seconds:.1f} s")
        start = trio.current_time()
        for engine in self._engines:
            engine.slowdown = factor
        await trio.sleep(seconds)
        for engine in self._engines:
            engine.slowdown = 1.0
        self._record.slow_spans.append((start, trio.current_time()))

    async def _watch_counts(self, program: _programs.Program) -> None:
        """Read what a VM that stops counts, until cancelled."""
        while True:
            counts = await read_counts(
                self._addresses, program, _SCRAPE_TIMEOUT_SECONDS
            )
            if counts is not None:
                self._record.stop_counts.append(counts)
            await trio.sleep(_SCRAPE_INTERVAL_SECONDS)

    def _note(self, text: str) -> None:
        self._record.faults.append(f"{trio.current_time():.2f} {text}")


async def read_counts(
    addresses: _addresses.Addresses,
    program: _programs.Program,
    timeout_seconds: float,
) -> _record.StopCounts | None:
    """Return what an entry VM has counted of requests' ends, if it answers."""
    request = web.Request(b"GET", b"/metrics", ((b"Host", b"metrics"),))
    age = time.monotonic() - program.started_at
    asked_at = trio.current_time()
    result = await web.send_request(
        addresses.metrics_address(program.number), request, timeout_seconds
    )
    if result.is_err():
        return None
    counts = {
        (end.decode(), closed_by.decode()): round(float(count))
        for closed_by, end, count in _END_COUNT.findall(result.unwrap()[1])
    }
    return _record.StopCounts(
        program.name, asked_at - age, asked_at, trio.current_time(), counts
    )
