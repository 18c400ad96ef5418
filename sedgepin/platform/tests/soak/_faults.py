"""Random faults: which, where and when, also several at the same time."""

import collections.abc
import dataclasses
import math
import random
import signal

import trio

from sedgepin.platform.tests.soak import _engines
from sedgepin.platform.tests.soak import _odd_writers
from sedgepin.platform.tests.soak import _programs
from sedgepin.platform.tests.soak import _proxy
from sedgepin.platform.tests.soak import _record

# Shorter than most faults, so that several are active at the same time.
_MEAN_INTERVAL_SECONDS = 0.4
_MIN_DURATION_SECONDS = 0.3
_MAX_DURATION_SECONDS = 4.0
_MEAN_DEPARTURE_SECONDS = 2.0
_MEAN_SILENCE_GAP_SECONDS = 1.0
_SILENCE_SECONDS = (0.3, 3.0)
_LIMITED_ENGINES = 2
_LIMITS = (0.0, 0.5, 1.0, 2.0, 5.0)
# ``catchUpS``: a restarted control VM has caught up after this time.
_CATCH_UP_SECONDS = 4.0
_CLOCK_SKEWS_MS = (-300_000, -3000, 3000, 300_000)


@dataclasses.dataclass(slots=True)
class FaultContext:
    """Targets of faults, and the record of injected ones."""

    programs: _programs.Programs
    proxies: dict[str, _proxy.Proxy]
    engines: list[_engines.Engine]
    record: _record.Record
    rng: random.Random
    odd_writers: _odd_writers.OddWriters
    # Only one control VM at a time may lose its disk or be down for long.
    is_control_down: bool = False

    def record_fault(self, fault: str) -> None:
        """Record a fault with the current time, for the report."""
        self.record.faults.append(f"{trio.current_time():.2f} {fault}")


_Fault = collections.abc.Callable[
    [FaultContext], collections.abc.Awaitable[None]
]


async def run(context: FaultContext, seconds: float) -> None:
    """Start faults for ``seconds``, then wait until all have ended."""
    limit_rng = random.Random(context.rng.getstate()[1][0])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_limit_engines, context, limit_rng, seconds)
        nursery.start_soon(_let_engines_leave, context, limit_rng, seconds)
        nursery.start_soon(_silence_engines, context, limit_rng, seconds)
        nursery.start_soon(_fill_engines, context, limit_rng, seconds)
        nursery.start_soon(context.odd_writers.run, seconds)
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            pause = context.rng.expovariate(1 / _MEAN_INTERVAL_SECONDS)
            await trio.sleep(min(pause, _MAX_DURATION_SECONDS))
            fault = context.rng.choice(FAULTS)
            nursery.start_soon(fault, context)


def _draw_duration_seconds(context: FaultContext) -> float:
    return context.rng.uniform(_MIN_DURATION_SECONDS, _MAX_DURATION_SECONDS)


async def _kill_entry(context: FaultContext) -> None:
    program = context.rng.choice(context.programs.with_role("entry"))
    if not program.should_run:
        return
    context.record_fault(f"kill {program.name}")
    context.programs.kill(program)
    await trio.sleep(_draw_duration_seconds(context) / 2)
    context.programs.restart(program)


async def _kill_control(context: FaultContext) -> None:
    """Kill a control VM and restart it.

    It may lose its disk, find a torn write, or get a wrong clock.
    """
    program = context.rng.choice(context.programs.with_role("control"))
    if context.is_control_down or not program.should_run:
        return
    context.is_control_down = True
    variant = context.rng.choice(
        ("", " lost disk", " torn disk", " wrong clock")
    )
    context.record_fault(f"kill {program.name}{variant}")
    context.programs.kill(program)
    skew_ms = 0
    if variant == " lost disk":
        context.programs.delete_data(program)
    elif variant == " torn disk":
        context.programs.append_torn_write(program, context.rng)
    elif variant == " wrong clock":
        skew_ms = context.rng.choice(_CLOCK_SKEWS_MS)
    await trio.sleep(_draw_duration_seconds(context) / 2)
    context.programs.restart(program, skew_ms)
    await trio.sleep(_CATCH_UP_SECONDS)
    context.is_control_down = False


async def _kill_all_controls(context: FaultContext) -> None:
    """Kill all control VMs at once and restart them within a second."""
    controls = context.programs.with_role("control")
    if context.is_control_down:
        return
    if not all(program.should_run for program in controls):
        return
    context.is_control_down = True
    context.record_fault("kill all control VMs")
    for program in controls:
        context.programs.kill(program)
    await trio.sleep(_MIN_DURATION_SECONDS)
    for program in controls:
        context.programs.restart(program)
    await trio.sleep(_CATCH_UP_SECONDS)
    context.is_control_down = False


async def _pause(context: FaultContext) -> None:
    program = context.rng.choice(context.programs.programs)
    if not program.should_run or program.is_paused:
        return
    context.record_fault(f"pause {program.name}")
    context.programs.signal(program, signal.SIGSTOP)
    await trio.sleep(_draw_duration_seconds(context))
    context.programs.signal(program, signal.SIGCONT)


async def _restart_gracefully(context: FaultContext) -> None:
    """Stop a program with SIGTERM and restart it."""
    program = context.rng.choice(context.programs.programs)
    if not program.should_run or program.is_paused:
        return
    context.record_fault(f"stop {program.name}")
    await context.programs.stop(program)
    await trio.sleep(_MIN_DURATION_SECONDS)
    context.programs.restart(program)


async def _reload(context: FaultContext) -> None:
    program = context.rng.choice(context.programs.programs)
    if not program.should_run:
        return
    context.record_fault(f"reload {program.name}")
    context.programs.rewrite_settings(program)
    if context.rng.random() < 0.5:
        context.programs.signal(program, signal.SIGHUP)


async def _disturb_link(context: FaultContext) -> None:
    """Inject a fault into the connections through one proxy."""
    name = context.rng.choice(sorted(context.proxies))
    link_fault = context.rng.choice(
        [
            fault
            for fault in _proxy.LinkFault
            if fault is not _proxy.LinkFault.NONE
        ]
    )
    seconds = _draw_duration_seconds(context)
    context.record_fault(f"{link_fault.value} {name} for {seconds:.1f} s")
    delay_seconds = context.rng.uniform(0.02, 0.5)
    if link_fault is _proxy.LinkFault.RESET:
        ending = _record.Ending(name, trio.current_time())
        context.record.endings.append(ending)
    await context.proxies[name].inject(link_fault, seconds, delay_seconds)


async def _crash_engine(context: FaultContext) -> None:
    engine = context.rng.choice(context.engines)
    context.record_fault(f"crash the engine at {engine.address}")
    engine.crash()


async def _drain_engine(context: FaultContext) -> None:
    engine = context.rng.choice(context.engines)
    context.record_fault(f"drain the engine at {engine.address}")
    await engine.drain()


async def _slow_engine(context: FaultContext) -> None:
    engine = context.rng.choice(context.engines)
    context.record_fault(f"slow down the engine at {engine.address}")
    engine.slowdown = context.rng.uniform(2, 10)
    await trio.sleep(_draw_duration_seconds(context))
    engine.slowdown = 1.0


async def _fail_engine(context: FaultContext) -> None:
    engine = context.rng.choice(context.engines)
    context.record_fault(f"fail requests at {engine.address}")
    engine.failure_rate = context.rng.uniform(0.1, 0.6)
    await trio.sleep(_draw_duration_seconds(context))
    engine.failure_rate = 0.0


async def _limit_engines(
    context: FaultContext, rng: random.Random, seconds: float
) -> None:
    """Let some engines name limits, beside the other faults.

    Its own draws leave those of a seed that once failed as they were.
    """
    engines = rng.sample(context.engines, _LIMITED_ENGINES)
    for engine in engines:
        requests_per_second = rng.choice(_LIMITS)
        context.record_fault(
            f"limit the engine at {engine.address} to {requests_per_second}"
        )
        engine.name_limit(requests_per_second)
    await trio.sleep(seconds)
    for engine in engines:
        engine.drop_limit()


async def _let_engines_leave(
    context: FaultContext, rng: random.Random, seconds: float
) -> None:
    """Let engines deregister without a drain, beside the other faults."""
    async with trio.open_nursery() as nursery:
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(rng.uniform(0, 2 * _MEAN_DEPARTURE_SECONDS))
            engine = rng.choice(context.engines)
            context.record_fault(f"the engine at {engine.address} leaves")
            nursery.start_soon(engine.leave)


async def _silence_engines(
    context: FaultContext, rng: random.Random, seconds: float
) -> None:
    """Let sound engines say nothing for a while, beside the other faults."""
    async with trio.open_nursery() as nursery:
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(rng.uniform(0, 2 * _MEAN_SILENCE_GAP_SECONDS))
            silence_seconds = rng.uniform(*_SILENCE_SECONDS)
            for engine in rng.sample(context.engines, rng.choice((1, 1, 3))):
                context.record_fault(
                    f"the engine at {engine.address} falls silent for"
                    f" {silence_seconds:.1f} s"
                )
                nursery.start_soon(engine.fall_silent, silence_seconds)


async def _fill_engines(
    context: FaultContext, rng: random.Random, seconds: float
) -> None:
    """Let engines refuse what exceeds a few requests at once."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        await trio.sleep(rng.uniform(0, 2 * _MEAN_DEPARTURE_SECONDS))
        engine = rng.choice(context.engines)
        context.record_fault(f"the engine at {engine.address} is full")
        engine.max_open = rng.randint(0, 2)
        await trio.sleep(rng.uniform(_MIN_DURATION_SECONDS, 2.0))
        engine.max_open = math.inf


# Repeated entries are drawn more often.
FAULTS: tuple[_Fault, ...] = (
    _kill_entry,
    _kill_control,
    _kill_all_controls,
    _pause,
    _pause,
    _restart_gracefully,
    _restart_gracefully,
    _reload,
    _disturb_link,
    _disturb_link,
    _disturb_link,
    _disturb_link,
    _crash_engine,
    _crash_engine,
    _drain_engine,
    _slow_engine,
    _fail_engine,
)
