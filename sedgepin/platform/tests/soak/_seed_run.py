"""Runs one seed: start, calm span, faults, recovery, calm span."""

import collections.abc
import dataclasses
import functools
import os
import pathlib
import random
import re

import trio

from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _callers
from sedgepin.platform.tests.soak import _engines
from sedgepin.platform.tests.soak import _faults
from sedgepin.platform.tests.soak import _invariants
from sedgepin.platform.tests.soak import _odd_writers
from sedgepin.platform.tests.soak import _operator
from sedgepin.platform.tests.soak import _programs
from sedgepin.platform.tests.soak import _proxy
from sedgepin.platform.tests.soak import _record
from sedgepin.platform.tests.soak import _stop_callers
from sedgepin.platform.tests.soak import _stops

COUNTS = {"control": 3, "entry": 3, "engine": 9}
# Engines numbered up to this run plain services, the others the model.
_PLAIN_ENGINE_COUNT = 3
_START_TIMEOUT_SECONDS = 30.0
_CALM_SECONDS = 3.0
# Spans in which the machine held callers and engines for this share are not
# calm; how long to wait for a better one.
_MAX_HELD_SHARE = 0.5
_MAX_CALM_WAIT_SECONDS = 30.0
# What callers learn of before the first stop.
_BEFORE_STOPS_SECONDS = 4.0
# ``recoveryS``: a calm span starts this long after the last fault.
_RECOVERY_SECONDS = 8.0
# Longer than twice ``stabilityWindowMs`` and the first crashes.
_CRASHING_SECONDS = 12.0
# When to give up if too few sound streams are sent meanwhile.
_MAX_CRASHING_SECONDS = 45.0
_CRASHING_CHECK_SECONDS = 0.2
# Time for requests in flight at the end of a calm span to finish.
SETTLE_SECONDS = 6.5
_FINAL_READ_TIMEOUT_SECONDS = 10.0
# Requests end within this time after their callers have closed.
_END_SECONDS = 1.0
_SCRAPE_SECONDS = 5.0
_PAUSE_CHECK_SECONDS = 0.005
_MIN_PAUSE_SECONDS = 0.025
_CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: (\d+)\r\n")
_REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id: (\S+)\r\n")


@dataclasses.dataclass(slots=True, frozen=True)
class StopPlan:
    """How many series of stops of how many entries, beside how many callers.

    ``is_alone`` leaves out all that follows the stops.
    """

    rng: random.Random
    series: int = 2
    callers: int = _stop_callers.CALLERS
    entries: int = COUNTS["entry"]
    is_alone: bool = False


async def run_seed(
    seed: int,
    folder: pathlib.Path,
    fault_seconds: float,
    lane: int = 90,
    requests_per_second: float = _callers.REQUESTS_PER_SECOND,
    plan: StopPlan | None = None,
) -> _record.Record:
    """Run the system under the faults of a seed and return the record.

    Planned stops come first.
    """
    rng = random.Random(seed)
    if plan is None:
        plan = StopPlan(random.Random(seed))
    counts = {**COUNTS, "entry": plan.entries}
    addresses = _addresses.Addresses(lane, counts)
    record = _record.Record()
    programs = _programs.Programs(folder, addresses, counts_ends=True)
    record.has_request_ends = True
    record.holds = programs.meter.holds
    try:
        callers = _callers.Callers(addresses, record, rng, requests_per_second)
        await _run(
            rng, addresses, record, programs, fault_seconds, callers, plan
        )
    finally:
        programs.kill_all()
        programs.fill_in(record)
    return record


async def run_beside(
    rng: random.Random,
    addresses: _addresses.Addresses,
    record: _record.Record,
    programs: _programs.Programs,
    act: collections.abc.Callable[
        [list[_engines.Engine]], collections.abc.Awaitable[None]
    ],
) -> None:
    """Run the system with callers and an operator while ``act`` does."""
    # Changes of other kinds would meet known faults of the other build.
    operator = _operator.Operator(addresses, record, rng, ("timeout",))
    callers = _callers.Callers(addresses, record, rng)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_record_pauses, record)
        await _start_proxies(addresses, record, nursery)
        programs.start_all()
        nursery.start_soon(programs.supervise)
        nursery.start_soon(measure_holds, programs)
        engines = _make_engines(addresses, record, rng, 0)
        for engine in engines:
            nursery.start_soon(engine.run)
        async with trio.open_nursery() as traffic_nursery:
            traffic_nursery.start_soon(operator.run)
            await _wait_until_ready(addresses)
            traffic_nursery.start_soon(callers.run)
            await act(engines)
            traffic_nursery.cancel_scope.cancel()
        await _read_final_configuration(operator)
        nursery.cancel_scope.cancel()


async def measure_holds(programs: _programs.Programs) -> None:
    """Measure the holds of the programs, and of callers and engines."""
    own = {_record.CALLERS: os.getpid()}
    await programs.meter.run(lambda: {**programs.process_ids(), **own})


async def _record_pauses(record: _record.Record) -> None:
    """Record when the event loop goes on late."""
    while True:
        start = trio.current_time()
        await trio.sleep(_PAUSE_CHECK_SECONDS)
        end = trio.current_time()
        if end - start > _MIN_PAUSE_SECONDS:
            record.pauses.append((start, end))


def _note_handover(record: _record.Record, program: str, data: bytes) -> None:
    """Note that a request is handed to an entry, from its head."""
    found = _REQUEST_ID.search(data)
    if found is not None:
        request_id = found[1].decode()
        record.handed_over_at.setdefault(request_id, trio.current_time())
        record.handed_over_to.setdefault(request_id, program)
        length = _CONTENT_LENGTH.search(data)
        if length is not None:
            body = data.partition(b"\r\n\r\n")[2]
            if len(body) >= int(length[1]):
                record.handed_over_whole.add(request_id)


async def _start_proxies(
    addresses: _addresses.Addresses,
    record: _record.Record,
    nursery: trio.Nursery,
) -> dict[str, _proxy.Proxy]:
    proxies: dict[str, _proxy.Proxy] = {}
    for name, (
        proxy_address,
        listen_address,
    ) in addresses.proxied_addresses().items():
        observe = None
        if name.startswith("entry-"):
            observe = functools.partial(
                _note_handover, record, name.partition(" ")[0]
            )
        proxies[name] = _proxy.Proxy(proxy_address, listen_address, observe)
        await nursery.start(proxies[name].serve)
    return proxies


async def _run(
    rng: random.Random,
    addresses: _addresses.Addresses,
    record: _record.Record,
    programs: _programs.Programs,
    fault_seconds: float,
    callers: _callers.Callers,
    plan: StopPlan,
) -> None:
    operator = _operator.Operator(addresses, record, rng)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_record_pauses, record)
        proxies = await _start_proxies(addresses, record, nursery)
        programs.start_all()
        nursery.start_soon(programs.supervise)
        nursery.start_soon(measure_holds, programs)
        engines = _make_engines(addresses, record, rng, 1)
        for engine in engines:
            nursery.start_soon(engine.run)
        with trio.CancelScope() as operator_scope:
            async with trio.open_nursery() as operator_nursery:
                operator_nursery.start_soon(operator.run)
                await _wait_until_ready(addresses)
                with trio.CancelScope() as traffic_scope:
                    async with trio.open_nursery() as traffic_nursery:
                        traffic_nursery.start_soon(callers.run)
                        await record_calm_span(record)
                        stops = _stops.Stops(
                            addresses, record, programs, engines, plan.rng
                        )
                        await _record_stop_span(
                            addresses, record, callers, stops, plan
                        )
                        if not plan.is_alone:
                            await trio.sleep(_RECOVERY_SECONDS)
                            await _record_crashing_span(record, callers)
                            context = _faults.FaultContext(
                                programs,
                                proxies,
                                engines,
                                record,
                                rng,
                                _make_odd_writers(addresses, record, rng),
                            )
                            await _faults.run(context, fault_seconds)
                            await trio.sleep(_RECOVERY_SECONDS)
                            await record_calm_span(record)
                        traffic_scope.cancel()
                operator_scope.cancel()
        await _read_final_configuration(operator)
        await _read_end_counts(addresses, record, programs)
        nursery.cancel_scope.cancel()


def _make_odd_writers(
    addresses: _addresses.Addresses,
    record: _record.Record,
    rng: random.Random,
) -> _odd_writers.OddWriters:
    """Return writers with draws of their own, as other faults have theirs."""
    own_rng = random.Random(rng.getstate()[1][1])
    return _odd_writers.OddWriters(addresses, record, own_rng)


def _make_engines(
    addresses: _addresses.Addresses,
    record: _record.Record,
    rng: random.Random,
    other_plain_count: int,
) -> list[_engines.Engine]:
    """Return the engines; the last plain ones run the other service."""
    engines_by_address: dict[str, _engines.Engine] = {}
    engines: list[_engines.Engine] = []
    for number in range(1, addresses.counts["engine"] + 1):
        service = _engines.MODEL_SERVICE
        if number <= _PLAIN_ENGINE_COUNT - other_plain_count:
            service = _engines.PLAIN_SERVICE
        elif number <= _PLAIN_ENGINE_COUNT:
            service = _engines.OTHER_PLAIN_SERVICE
        engines.append(
            _engines.Engine(
                number, service, addresses, record, engines_by_address, rng
            )
        )
    return engines


async def _wait_until_ready(addresses: _addresses.Addresses) -> None:
    """Wait until every entry VM is ready and the engines hold layers."""
    with trio.fail_after(_START_TIMEOUT_SECONDS):
        for number in range(1, addresses.counts["entry"] + 1):
            while not await _operator.is_ready(
                addresses.readiness_address(number)
            ):
                await trio.sleep(0.1)
    await trio.sleep(_RECOVERY_SECONDS / 2)


async def record_calm_span(record: _record.Record) -> None:
    """Record a calm span, then wait until its requests have finished.

    It begins anew while the machine hardly runs callers and engines, for some
    time. After that the requests of the last one are judged as they are.
    """
    first = trio.current_time()
    while True:
        start = trio.current_time()
        await trio.sleep(_CALM_SECONDS)
        end = trio.current_time()
        held = record.seconds_held(_record.CALLERS, start, end)
        if held < _MAX_HELD_SHARE * (end - start):
            break
        if end - first > _MAX_CALM_WAIT_SECONDS:
            break
    record.calm_spans.append((start, end))
    await trio.sleep(SETTLE_SECONDS)


async def _record_stop_span(
    addresses: _addresses.Addresses,
    record: _record.Record,
    callers: _callers.Callers,
    stops: _stops.Stops,
    plan: StopPlan,
) -> None:
    """Stop the entry VMs beside callers that stay, without other faults."""
    stop_callers = _stop_callers.StopCallers(
        addresses, record, callers.ready, plan.rng
    )
    start = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_callers.run, plan.callers)
        await trio.sleep(_BEFORE_STOPS_SECONDS)
        for _number in range(plan.series):
            await stops.run_series()
        await trio.sleep(_END_SECONDS)
        record.stop_spans.append((start, trio.current_time()))
        nursery.cancel_scope.cancel()


async def _record_crashing_span(
    record: _record.Record, callers: _callers.Callers
) -> None:
    """Let a part of some prompts crash engines, without other faults.

    It goes on until enough sound streams were sent to judge them.
    """
    part = "crashing"
    start = trio.current_time()
    callers.crashing_part = part
    await trio.sleep(_CRASHING_SECONDS)
    with trio.move_on_at(start + _MAX_CRASHING_SECONDS):
        while not _has_enough_sound_streams(record, part, start):
            await trio.sleep(_CRASHING_CHECK_SECONDS)
    callers.crashing_part = None
    record.crashing_spans[part] = (start, trio.current_time())
    await trio.sleep(SETTLE_SECONDS)


def _has_enough_sound_streams(
    record: _record.Record, part: str, start: float
) -> bool:
    """Return whether enough were sent by callers that surely stay."""
    end = trio.current_time() - _callers.MAX_DISCONNECT_SECONDS - 1
    sound = _invariants.find_sound_streams(record, part, start, end)
    return len(sound) >= _invariants.MIN_SOUND_STREAMS


async def _read_final_configuration(operator: _operator.Operator) -> None:
    with trio.move_on_after(_FINAL_READ_TIMEOUT_SECONDS):
        while not await operator.read():
            await trio.sleep(0.2)


async def _read_end_counts(
    addresses: _addresses.Addresses,
    record: _record.Record,
    programs: _programs.Programs,
) -> None:
    """Record what each entry has counted, once its requests have ended."""
    await trio.sleep(_END_SECONDS)
    for program in programs.with_role("entry"):
        read = await _stops.read_counts(addresses, program, _SCRAPE_SECONDS)
        if read is None:
            record.contained_failures.append(
                f"{program.name}: its metrics could not be read"
            )
            continue
        record.end_counts.append(
            _record.EndCounts(program.name, read.since, read.at, read.counts)
        )
