"""Real gateways and registrars before emulated engines, on a fake clock.

A day is a subclass that schedules what callers and engines do.
"""

import abc
import dataclasses
import datetime
import random

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _effects as gateway_effects
from sedgepin._gateway import _events as gateway_events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import events
from sedgepin.tests import timed_deployment

SETTLE_SECONDS = 3.0
_RESTART_SECONDS = 5.0
# How long an entry VM waits for the answer to a call.
_GATEWAY_CALL_SECONDS = 0.25

_Outcome = gateway_events.AttemptOutcome


@dataclasses.dataclass(slots=True)
class Engine:
    """The process at an address; ``boots`` counts its starts.

    Its calls are answered from ``silent_until`` on, if that is set.  If it
    was lost with its machine, nothing refuses connections in its place.
    """

    registration: catalog.Registration
    is_up: bool = True
    is_machine_lost: bool = False
    boots: int = 1
    silent_until: datetime.datetime | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """An attempt of an entry VM at an engine."""

    vm_id: model.VmId
    exchange_id: int
    dispatch: _calls.Dispatch
    engines: list[Engine]
    events: int = 0
    is_over: bool = False


class EngineDay(timed_deployment.TimedDeployment):
    """Passes effects on requests and engines to emulated engines."""

    def __init__(
        self,
        entry_count: int,
        control_count: int,
        data_centre_count: int,
        engine_pairs: int,
        seed: int,
    ) -> None:
        self._rng = random.Random(seed)
        self._engines: dict[str, Engine] = {}
        self._runs: dict[tuple[model.VmId, int], Run] = {}
        super().__init__(entry_count, control_count, data_centre_count)
        for number in range(2 * engine_pairs):
            self._add_engine(number)
        self._tick()

    # What a day adds.

    def _accelerator(self, number: int) -> str:
        return "fast"

    @abc.abstractmethod
    def _start_run(
        self, vm_id: model.VmId, effect: gateway_effects.StartAttempt
    ) -> None:
        """Send a request to an engine."""

    @abc.abstractmethod
    def _fail(
        self, vm_id: model.VmId, effect: gateway_effects.FailExchange
    ) -> None:
        """Give a caller a failure."""

    @abc.abstractmethod
    def _finish(self, run: Run) -> None:
        """Give a caller the end of its answer."""

    def _record_log(self, vm_id: model.VmId, line: events.LogLine) -> None:
        """Record a log line of an entry VM."""

    def _record_message(self, message: protocol.PeerMessage) -> None:
        """Record a message between VMs."""

    @abc.abstractmethod
    def _stalls_of(self, engine: Engine) -> list[_calls.Stall]:
        """Return what a first engine reports of its stalled requests."""

    # Entry VMs.

    def _handle_entry(
        self, vm_id: model.VmId, event: gateway_events.GatewayEvent
    ) -> None:
        if vm_id in self.stopped:
            return
        for effect in self._carry_out_entry(vm_id, event):
            self._apply(vm_id, effect)

    def _apply(
        self, vm_id: model.VmId, effect: gateway_effects.GatewayEffect
    ) -> None:
        match effect:
            case gateway_effects.StartAttempt():
                self._start_run(vm_id, effect)
            case gateway_effects.CancelAttempt(exchange_id):
                self._end_run(vm_id, exchange_id, _Outcome.CANCELLED)
            case gateway_effects.FailExchange():
                self._fail(vm_id, effect)
            case gateway_effects.WriteLog(line):
                self._record_log(vm_id, line)
            case gateway_effects.InspectStalls():
                self._inspect_stalls(vm_id, effect)
            case gateway_effects.Reroute():
                self._reroute(vm_id, effect)

    def _add_run(self, run: Run) -> bool:
        """Add an attempt; return whether its first engine accepts it."""
        self._runs[run.vm_id, run.exchange_id] = run
        if self._is_first_up(run):
            return True
        seconds = timed_deployment.ENGINE_SECONDS
        if run.engines[0].is_machine_lost:
            seconds = _GATEWAY_CALL_SECONDS
        self._after(
            seconds,
            self._end_run,
            run.vm_id,
            run.exchange_id,
            _Outcome.NOT_SENT,
            run,
        )
        return False

    def _is_first_up(self, run: Run) -> bool:
        """Return whether the process that a run is sent to is there."""
        first = run.engines[0]
        return (
            first.is_up
            and first.registration.endpoint_id == run.dispatch.endpoint_id
        )

    def _end_run(
        self,
        vm_id: model.VmId,
        exchange_id: int,
        outcome: gateway_events.AttemptOutcome,
        expected: Run | None = None,
    ) -> None:
        run = self._runs.get((vm_id, exchange_id))
        if run is None or (expected is not None and run is not expected):
            return
        del self._runs[vm_id, exchange_id]
        run.is_over = True
        if outcome is _Outcome.ANSWERED:
            self._finish(run)
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

    # Engines.

    def _add_engine(self, number: int) -> None:
        self._add(
            parts.make_registration(
                f"engine-{number}",
                "model",
                parts.HIGH if number % 2 else parts.LOW,
                self.data_centre(number // 2),
                address=f"10.1.0.{number}:80",
                accelerator=self._accelerator(number),
            )
        )

    def _add(self, registration: catalog.Registration) -> None:
        self._engines[registration.address] = Engine(registration)
        self.endpoints.append(registration)

    def _stages(self, pipeline: model.Pipeline | None) -> list[Engine]:
        """Return the engines of a pipeline."""
        assert pipeline is not None
        return [self._engines[stage.address] for stage in pipeline.stages]

    def _lose(self, engine: Engine, with_machine: bool = False) -> None:
        """End an engine; it starts again later under another id.

        If its machine is lost too, nothing closes its connections.
        """
        engine.is_up = False
        engine.is_machine_lost = with_machine
        engine.silent_until = None
        self.endpoints.remove(engine.registration)
        for run in list(self._runs.values()):
            if run.engines[0] is engine and not with_machine:
                self._end_run(run.vm_id, run.exchange_id, _Outcome.UNKNOWN)
        self._after(_RESTART_SECONDS, self._restart, engine)

    def _restart(self, engine: Engine) -> None:
        engine.is_up = True
        engine.is_machine_lost = False
        engine.boots += 1
        before = engine.registration
        name = before.endpoint_id.partition("+")[0]
        engine.registration = parts.make_registration(
            f"{name}+{engine.boots}",
            before.service,
            before.layers,
            before.data_centre,
            address=before.address,
            incarnation=engine.boots,
            accelerator=before.accelerator,
        )
        self.endpoints.append(engine.registration)
        self.register(self._rng.choice(self.seeds), engine.registration)

    def _find_running(self, address: str) -> catalog.Registration | None:
        engine = self._engines[address]
        return engine.registration if engine.is_up else None

    def _call(
        self, address: str, limit_seconds: float
    ) -> timed_deployment.Call:
        engine = self._engines[address]
        if engine.is_machine_lost:
            return timed_deployment.Call(limit_seconds, None, is_silent=True)
        if engine.silent_until is None or engine.silent_until <= self.now:
            return super()._call(address, limit_seconds)
        seconds = (engine.silent_until - self.now).total_seconds()
        if seconds < limit_seconds:
            return timed_deployment.Call(
                seconds + timed_deployment.ENGINE_SECONDS, engine.registration
            )
        return timed_deployment.Call(limit_seconds, None, is_silent=True)

    def _inspect_stalls(
        self, vm_id: model.VmId, effect: gateway_effects.InspectStalls
    ) -> None:
        engine = self._engines[effect.address]
        call = self._call(effect.address, _GATEWAY_CALL_SECONDS)
        report = None
        has_answered = call.answered_by is not None
        if has_answered:
            report = _calls.StallReport(tuple(self._stalls_of(engine)))
        inspected = gateway_events.StallsInspected(
            effect.endpoint_id, report, has_answered
        )
        self._after(call.seconds, self._handle_entry, vm_id, inspected)

    def _reroute(
        self, vm_id: model.VmId, effect: gateway_effects.Reroute
    ) -> None:
        run = self._runs.get((vm_id, effect.exchange_id))
        call = self._call(effect.address, _GATEWAY_CALL_SECONDS)
        is_accepted = run is not None and not call.is_silent
        if run is not None and is_accepted:
            run.engines = self._stages(effect.pipeline)
        rerouted = gateway_events.Rerouted(
            effect.exchange_id, is_accepted, attempt=effect.attempt
        )
        self._after(call.seconds, self._handle_entry, vm_id, rerouted)
