"""One day: a start, a calm span, faults, a recovery, and a calm span."""

import pathlib
import random

import trio

from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _callers
from sedgepin.platform.tests.soak import _engines
from sedgepin.platform.tests.soak import _faults
from sedgepin.platform.tests.soak import _operator
from sedgepin.platform.tests.soak import _programs
from sedgepin.platform.tests.soak import _proxy
from sedgepin.platform.tests.soak import _record

_COUNTS = {"control": 3, "entry": 3, "engine": 9}
# The engines that run the plain service; the others run the model.
_PLAIN_ENGINES = 3
_START_SECONDS = 30.0
_CALM_SECONDS = 3.0
# ``recoveryS``: calm spans begin this long after the last fault.
_RECOVERY_SECONDS = 8.0
# Requests that were under way at the end of a span are waited for.
_REST_SECONDS = 6.5
_FINAL_READ_SECONDS = 10.0


async def run_seed(
    seed: int, folder: pathlib.Path, fault_seconds: float, lane: int = 90
) -> _record.Record:
    """Play the day of a seed, and return what was seen."""
    rng = random.Random(seed)
    places = _addresses.Addresses(lane, _COUNTS)
    record = _record.Record()
    programs = _programs.Programs(folder, places)
    try:
        await _play(rng, places, record, programs, fault_seconds)
    finally:
        programs.end_all()
        record.own_exits = programs.own_exits
    return record


async def _play(
    rng: random.Random,
    places: _addresses.Addresses,
    record: _record.Record,
    programs: _programs.Programs,
    fault_seconds: float,
) -> None:
    operator = _operator.Operator(places, record, rng)
    callers = _callers.Callers(places, record, rng)
    async with trio.open_nursery() as nursery:
        proxies: dict[str, _proxy.Proxy] = {}
        for name, (known, behind) in places.pairs().items():
            proxies[name] = _proxy.Proxy(known, behind)
            await nursery.start(proxies[name].serve)
        programs.start_all()
        nursery.start_soon(programs.watch)
        engines = _make_engines(places, record, rng)
        for engine in engines:
            nursery.start_soon(engine.live)
        with trio.CancelScope() as changes:
            async with trio.open_nursery() as inner:
                inner.start_soon(operator.run)
                await _until_ready(places)
                with trio.CancelScope() as traffic:
                    async with trio.open_nursery() as sending:
                        sending.start_soon(callers.run)
                        await _calm(record)
                        scene = _faults.Scene(
                            programs, proxies, engines, record, rng
                        )
                        await _faults.run(scene, fault_seconds)
                        await trio.sleep(_RECOVERY_SECONDS)
                        await _calm(record)
                        traffic.cancel()
                changes.cancel()
        await _read_at_the_end(operator)
        nursery.cancel_scope.cancel()


def _make_engines(
    places: _addresses.Addresses,
    record: _record.Record,
    rng: random.Random,
) -> list[_engines.Engine]:
    others: dict[str, _engines.Engine] = {}
    return [
        _engines.Engine(
            number,
            _engines.PLAIN_SERVICE
            if number <= _PLAIN_ENGINES
            else _engines.MODEL_SERVICE,
            places,
            record,
            others,
            rng,
        )
        for number in range(1, places.counts["engine"] + 1)
    ]


async def _until_ready(places: _addresses.Addresses) -> None:
    """Wait until every entry VM is ready and the engines hold layers."""
    with trio.fail_after(_START_SECONDS):
        for number in range(1, places.counts["entry"] + 1):
            while not await _operator.is_ready(places.ready(number)):
                await trio.sleep(0.1)
    await trio.sleep(_RECOVERY_SECONDS / 2)


async def _calm(record: _record.Record) -> None:
    """Note a calm span, and wait until its requests are answered."""
    start = trio.current_time()
    await trio.sleep(_CALM_SECONDS)
    record.calm.append((start, trio.current_time()))
    await trio.sleep(_REST_SECONDS)


async def _read_at_the_end(operator: _operator.Operator) -> None:
    with trio.move_on_after(_FINAL_READ_SECONDS):
        while not await operator.read():
            await trio.sleep(0.2)
