"""A day on which requests that share a part of their prompt crash engines.

Gateways and registrars are the real reducers on a simulated clock; callers
and engines are emulated.  Each crashing request comes once, at any entry VM,
and sound requests share its caller, path and other parts.
"""

import dataclasses
import datetime
import itertools
import random

import msgspec

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _effects as gateway_effects
from sedgepin._gateway import _events as gateway_events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _web as web
from sedgepin import events
from sedgepin.tests import crash_plan
from sedgepin.tests import timed_deployment

_Outcome = gateway_events.AttemptOutcome
_EVENT_SECONDS = 0.05
_CRASH_SECONDS = 0.04
_STALL_SECONDS = 0.2
_RESTART_SECONDS = 5.0
_SETTLE_SECONDS = 3.0
_SUSTAINED_EVENTS = 16
_STREAM_EVENTS = 24
_CALLER_RETRY_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class _Engine:
    registration: catalog.Registration
    is_up: bool = True
    boots: int = 1


@dataclasses.dataclass(slots=True)
class _Run:
    """An attempt of an entry VM at an engine."""

    vm_id: model.VmId
    exchange_id: int
    attempt: crash_plan.CallerAttempt
    dispatch: _calls.Dispatch
    engines: list[_Engine]
    events: int = 0
    is_over: bool = False


class CrashDay(timed_deployment.TimedDeployment):
    """Plays a plan and records the attempts and the crashes."""

    def __init__(self, plan: crash_plan.Plan) -> None:
        self.plan = plan
        self.record = crash_plan.DayRecord(plan)
        self._rng = random.Random(plan.seed)
        self._numbers = itertools.count(1)
        self._engines: dict[str, _Engine] = {}
        self._runs: dict[tuple[model.VmId, int], _Run] = {}
        self._open: dict[tuple[model.VmId, int], crash_plan.CallerAttempt] = {}
        super().__init__(
            plan.entry_count,
            plan.control_count,
            plan.data_centre_count,
        )
        for number in range(2 * plan.engine_pairs):
            self._add_engine(number)
        self._tick()

    def play(self) -> None:
        """Play the whole plan."""
        self._start_day(_SETTLE_SECONDS)
        plan = self.plan
        self._schedule_arrivals(plan.sound_per_second, 0, plan.seconds, False)
        self._schedule_arrivals(
            plan.crashing_per_second,
            plan.crashing_from,
            plan.crashing_until,
            True,
        )
        if plan.rack_lost_at is not None:
            self._after(plan.rack_lost_at, self._lose_rack)
        for number, second in enumerate(plan.restarts):
            self._after(second, self._restart_entry, number % plan.entry_count)
        self.run(plan.seconds + _SETTLE_SECONDS)

    def _record_message(self, message: protocol.PeerMessage) -> None:
        if isinstance(message, protocol.CrashesReported):
            self.record.report_bytes += len(msgspec.msgpack.encode(message))

    def _schedule_arrivals(
        self, per_second: float, start: float, end: float, is_crashing: bool
    ) -> None:
        at = start
        while (
            per_second and (at := at + self._rng.expovariate(per_second)) < end
        ):
            part = None
            if is_crashing:
                part = self._rng.choice(self.plan.crashing_parts)
            vm_id = self._rng.choice(list(self.entries))
            self._after(at, self._send, part, vm_id, False)

    # Callers.

    def _send(
        self, crashing_part: str | None, vm_id: model.VmId, is_retry: bool
    ) -> None:
        number = next(self._numbers)
        shared = [crash_plan.SHARED_PART, f"document-{number % 5}"]
        if crashing_part is not None:
            shared.insert(self.plan.place, crashing_part)
        attempt = crash_plan.CallerAttempt(
            self.elapsed(), number, tuple(shared), crashing_part, is_retry
        )
        self.record.attempts.append(attempt)
        path = f"/draft/{number}"
        request = _calls.CallerRequest(
            request_id=f"r{number}",
            host="one.example",
            path=path,
            message=web.Request(b"POST", path.encode(), ()),
            time_left=datetime.timedelta(seconds=20),
            api_key="key",
            usage=_calls.TokenUsage(5, 5),
            shared_parts=attempt.shared_parts,
        )
        self._open[vm_id, number] = attempt
        self._handle_entry(
            vm_id, gateway_events.RequestArrived(number, request)
        )

    def _fail(
        self, vm_id: model.VmId, effect: gateway_effects.FailExchange
    ) -> None:
        attempt = self._open.pop((vm_id, effect.exchange_id), None)
        if attempt is None:
            return
        attempt.failure_code = effect.failure.code
        if not attempt.is_retry:
            other = self._rng.choice(list(self.entries))
            self._after(
                _CALLER_RETRY_SECONDS,
                self._send,
                attempt.crashing_part,
                other,
                True,
            )

    # Entry VMs.

    def _handle_entry(
        self, vm_id: model.VmId, event: gateway_events.GatewayEvent
    ) -> None:
        if vm_id in self.stopped:
            return
        for effect in self._carry_out_entry(vm_id, event):
            match effect:
                case gateway_effects.StartAttempt():
                    self._start_run(vm_id, effect)
                case gateway_effects.CancelAttempt(exchange_id):
                    self._end_run(vm_id, exchange_id, _Outcome.CANCELLED)
                case gateway_effects.FailExchange():
                    self._fail(vm_id, effect)
                case gateway_effects.WriteLog(line):
                    self.record.log_lines.append(line)
                    if line.definition is events.CAUSE_HELD_BACK:
                        held_at = self.record.held_at
                        held_at.setdefault(vm_id, self.elapsed())
                case gateway_effects.InspectStalls():
                    self._inspect_stalls(vm_id, effect)
                case gateway_effects.Reroute():
                    self._reroute(vm_id, effect)

    def _restart_entry(self, number: int) -> None:
        vm_id = model.VmId(f"entry:{number:03}")
        for key in [key for key in self._runs if key[0] == vm_id]:
            self._runs.pop(key).is_over = True
        for key in [key for key in self._open if key[0] == vm_id]:
            del self._open[key]
        self.start_entry(number)

    # Engines.

    def _add_engine(self, number: int) -> None:
        layers = parts.HIGH if number % 2 else parts.LOW
        registration = parts.make_registration(
            f"engine-{number}",
            "model",
            layers,
            self.data_centre(number // 2),
            address=f"10.1.0.{number}:80",
        )
        self._engines[registration.address] = _Engine(registration)
        self.endpoints.append(registration)

    def _start_run(
        self, vm_id: model.VmId, effect: gateway_effects.StartAttempt
    ) -> None:
        dispatch = effect.dispatch
        assert dispatch.pipeline is not None
        key = (vm_id, effect.exchange_id)
        attempt = self._open[key]
        engines = [
            self._engines[stage.address] for stage in dispatch.pipeline.stages
        ]
        run = _Run(vm_id, effect.exchange_id, attempt, dispatch, engines)
        self._runs[key] = run
        first = engines[0]
        if (
            not first.is_up
            or first.registration.endpoint_id != dispatch.endpoint_id
        ):
            self._after(
                timed_deployment.ENGINE_SECONDS,
                self._end_run,
                vm_id,
                effect.exchange_id,
                _Outcome.NOT_SENT,
                run,
            )
            return
        attempt.reached += 1
        self._after(0.1 + 0.15 * self._rng.random(), self._produce, run)

    def _produce(self, run: _Run) -> None:
        """Produce the next event of a stream, or crash the engine."""
        if run.is_over:
            return
        if not all(engine.is_up for engine in run.engines):
            self._after(_STALL_SECONDS, self._stall, run)
            return
        run.attempt.has_begun = True
        part = run.attempt.crashing_part
        if part is not None and run.events >= self.plan.pieces:
            self._after(_CRASH_SECONDS, self._crash, run, part)
            return
        run.events += 1
        if run.events == 1:
            started = gateway_events.OutputStarted(run.exchange_id)
            self._handle_entry(run.vm_id, started)
        if run.events == _SUSTAINED_EVENTS:
            sustained = gateway_events.OutputSustained(run.exchange_id)
            self._handle_entry(run.vm_id, sustained)
        if run.events == _STREAM_EVENTS:
            self._end_run(run.vm_id, run.exchange_id, _Outcome.ANSWERED)
            return
        self._after(_EVENT_SECONDS, self._produce, run)

    def _stall(self, run: _Run) -> None:
        if run.is_over:
            return
        self._handle_entry(
            run.vm_id, gateway_events.StreamStalled(run.exchange_id)
        )
        self._after(_EVENT_SECONDS, self._produce, run)

    def _end_run(
        self,
        vm_id: model.VmId,
        exchange_id: int,
        outcome: gateway_events.AttemptOutcome,
        expected: _Run | None = None,
    ) -> None:
        run = self._runs.get((vm_id, exchange_id))
        if run is None or (expected is not None and run is not expected):
            return
        del self._runs[vm_id, exchange_id]
        run.is_over = True
        if outcome is _Outcome.ANSWERED:
            self._open.pop((vm_id, exchange_id), None)
        ended = gateway_events.AttemptEnded(
            exchange_id,
            outcome,
            outcome.value,
            run.events or None,
            endpoint_id=run.dispatch.endpoint_id,
        )
        self._after(
            timed_deployment.ENGINE_SECONDS, self._handle_entry, vm_id, ended
        )

    def _crash(self, run: _Run, part: str) -> None:
        engine = run.engines[-1 if self.plan.is_last_stage else 0]
        if engine.is_up and not run.is_over:
            self.record.crashed_at[part].append(self.elapsed())
            self._lose(engine)

    def _lose(self, engine: _Engine) -> None:
        """End an engine; it starts again later under another id."""
        engine.is_up = False
        self.endpoints.remove(engine.registration)
        for run in list(self._runs.values()):
            if run.engines[0] is engine:
                self._end_run(run.vm_id, run.exchange_id, _Outcome.UNKNOWN)
        self._after(_RESTART_SECONDS, self._restart, engine)

    def _restart(self, engine: _Engine) -> None:
        engine.is_up = True
        engine.boots += 1
        before = engine.registration
        name = before.endpoint_id.partition("+")[0]
        engine.registration = parts.make_registration(
            f"{name}+{engine.boots}",
            "model",
            before.layers,
            before.data_centre,
            address=before.address,
            incarnation=engine.boots,
        )
        self.endpoints.append(engine.registration)
        self.register(self._rng.choice(self.seeds), engine.registration)

    def _lose_rack(self) -> None:
        engines = [engine for engine in self._engines.values() if engine.is_up]
        for engine in engines[: self.plan.rack_engines]:
            self._lose(engine)

    def _inspect_stalls(
        self, vm_id: model.VmId, effect: gateway_effects.InspectStalls
    ) -> None:
        engine = self._engines[effect.address]
        report = None
        if engine.is_up:
            stalls = [
                _calls.Stall(
                    f"r{run.attempt.number}", stage.registration.address
                )
                for run in self._runs.values()
                if run.engines[0] is engine
                for stage in run.engines
                if not stage.is_up
            ]
            report = _calls.StallReport(tuple(stalls))
        inspected = gateway_events.StallsInspected(effect.endpoint_id, report)
        self._after(
            timed_deployment.ENGINE_SECONDS,
            self._handle_entry,
            vm_id,
            inspected,
        )

    def _reroute(
        self, vm_id: model.VmId, effect: gateway_effects.Reroute
    ) -> None:
        run = self._runs.get((vm_id, effect.exchange_id))
        is_accepted = run is not None
        if run is not None:
            run.engines = [
                self._engines[stage.address]
                for stage in effect.pipeline.stages
            ]
        rerouted = gateway_events.Rerouted(
            effect.exchange_id, is_accepted, attempt=effect.attempt
        )
        self._after(
            timed_deployment.ENGINE_SECONDS,
            self._handle_entry,
            vm_id,
            rerouted,
        )

    def _find_running(self, address: str) -> catalog.Registration | None:
        engine = self._engines[address]
        return engine.registration if engine.is_up else None
