"""A day on which sound engines fall silent for a while and then go on.

A silent engine sends nothing and handles nothing.  Its connections stay
open, it accepts new ones, and calls of it time out.  Callers and engines are
emulated; see ``engine_day``.
"""

import collections.abc
import dataclasses
import datetime
import itertools
import typing

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _effects as gateway_effects
from sedgepin._gateway import _events as gateway_events
from sedgepin import _model as model
from sedgepin import errors
from sedgepin.tests import engine_day
from sedgepin.tests import silence_plan
from sedgepin.tests import silence_routes

_Outcome = gateway_events.AttemptOutcome
_EVENT_SECONDS = 0.05
_POLL_SECONDS = 0.05
# Engines' reports are this old.
_REPORT_LAG = datetime.timedelta(seconds=0.2)
# As the relay counts the next bytes as late.
_FIRST_EVENT_TIMEOUT = datetime.timedelta(seconds=0.4)
_NEXT_EVENT_TIMEOUT = datetime.timedelta(seconds=0.15)
_SUSTAINED_EVENTS = 16
_STREAM_EVENTS = 24
_CALLER_RETRY_SECONDS = 0.1
_MICROSECOND = 1e-6


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class _Run(engine_day.Run):
    """An attempt; ``late_at`` is when its next bytes count as late."""

    attempt: silence_plan.CallerAttempt
    late_at: datetime.datetime
    produced: int = 0


class SilenceDay(engine_day.EngineDay):
    """Plays a plan and records what callers and engines saw."""

    def __init__(self, plan: silence_plan.Plan) -> None:
        self.plan = plan
        self.record = silence_plan.DayRecord(plan)
        self._numbers = itertools.count(1)
        self._attempts: dict[
            tuple[model.VmId, int], silence_plan.CallerAttempt
        ] = {}
        self._silent_since: dict[str, datetime.datetime] = {}
        # When an engine of a run crashed, until the run is moved.
        self._crashed: dict[tuple[model.VmId, int], datetime.datetime] = {}
        super().__init__(
            plan.entry_count,
            plan.control_count,
            plan.data_centre_count,
            plan.engine_pairs,
            plan.seed,
        )

    def play(self) -> None:
        """Play the whole plan, until each request has had its time."""
        plan = self.plan
        for number in range(plan.plain_endpoints):
            data_centre = self.data_centre(number)
            self._add(silence_routes.make_plain_endpoint(number, data_centre))
        self._start_day(engine_day.SETTLE_SECONDS)
        at = 0.0
        while (at := at + self._rng.expovariate(plan.per_second)) < (
            plan.seconds
        ):
            vm_id = self._rng.choice(list(self.entries))
            self._after(
                at, self._send, self._rng.choice(plan.kinds), vm_id, None
            )
        for silence in plan.silences:
            self._after(silence.at, self._silence, silence)
        for crash in plan.crashes:
            self._after(crash.at, self._crash, crash)
        self.run(plan.seconds)
        for _ in range(int(3 * silence_routes.TIME_LEFT_SECONDS)):
            if all(item.answer_count for item in self.record.attempts):
                break
            self.run(1.0)
        # Silent engines go on, and callers' second attempts follow.
        self.run(engine_day.SETTLE_SECONDS)

    def register(
        self, control: model.VmId, registration: catalog.Registration
    ) -> None:
        """Send a registration, once its engine is not silent any more."""
        engine = self._engines[registration.address]
        if registration is not engine.registration:
            return
        if self._put_off(engine, self.register, control, registration):
            return
        super().register(control, registration)

    def _make_configuration(self) -> catalog.Configuration:
        return silence_routes.make_configuration(self.plan.max_attempts)

    def _accelerator(self, number: int) -> str:
        return silence_routes.accelerator(number)

    # Callers.

    def _send(
        self,
        kind: silence_routes.Kind,
        vm_id: model.VmId,
        first: int | None,
    ) -> None:
        number = next(self._numbers)
        attempt = silence_plan.CallerAttempt(
            number,
            number if first is None else first,
            kind,
            self.elapsed(),
            self.plan.request_tokens,
        )
        self.record.attempts.append(attempt)
        self._attempts[vm_id, number] = attempt
        self._handle_entry(
            vm_id,
            gateway_events.RequestArrived(number, attempt.make_request()),
        )

    def _fail(
        self, vm_id: model.VmId, effect: gateway_effects.FailExchange
    ) -> None:
        attempt = self._attempts[vm_id, effect.exchange_id]
        attempt.failure_code = effect.failure.code
        self._record_answer(vm_id, attempt)
        may_retry = (
            attempt.kind.is_repeatable
            or effect.failure.outcome is errors.Outcome.NOT_RUN
        )
        if attempt.is_first and may_retry:
            other = self._rng.choice(list(self.entries))
            self._after(
                _CALLER_RETRY_SECONDS,
                self._send,
                attempt.kind,
                other,
                attempt.number,
            )

    def _finish(self, run: engine_day.Run) -> None:
        self._record_answer(
            run.vm_id, self._attempts[run.vm_id, run.exchange_id]
        )

    def _record_answer(
        self, vm_id: model.VmId, attempt: silence_plan.CallerAttempt
    ) -> None:
        attempt.answer_count += 1
        attempt.answered_at = self.elapsed()
        self._record_found(vm_id, attempt.number)

    # Entry VMs.

    def _apply(
        self, vm_id: model.VmId, effect: gateway_effects.GatewayEffect
    ) -> None:
        if isinstance(effect, gateway_effects.SetDeadline):
            seconds = effect.time_left.total_seconds()
            attempt = self._attempts[vm_id, effect.exchange_id]
            attempt.deadline = self.elapsed() + seconds
            self._after(
                seconds, self._reach_deadline, vm_id, effect.exchange_id
            )
        super()._apply(vm_id, effect)

    def _reach_deadline(self, vm_id: model.VmId, exchange_id: int) -> None:
        attempt = self._attempts[vm_id, exchange_id]
        if attempt.answer_count:
            return
        self._drop_run(vm_id, exchange_id)
        self._handle_entry(vm_id, gateway_events.DeadlineReached(exchange_id))

    def _start_run(
        self, vm_id: model.VmId, effect: gateway_effects.StartAttempt
    ) -> None:
        exchange_id, dispatch = effect.exchange_id, effect.dispatch
        attempt = self._attempts[vm_id, exchange_id]
        engines = [self._engines[dispatch.address]]
        if dispatch.pipeline is not None:
            engines = self._stages(dispatch.pipeline)
        run = _Run(
            vm_id,
            exchange_id,
            dispatch,
            engines,
            events=dispatch.resume_after or 0,
            attempt=attempt,
            late_at=self.now + _FIRST_EVENT_TIMEOUT,
        )
        self._record_found(vm_id, exchange_id)
        if not self._add_run(run):
            return
        attempt.reached.add(dispatch.endpoint_id)
        if dispatch.pipeline is not None:
            self._watch(run)
        if effect.answer_timeout is not None:
            seconds = effect.answer_timeout.total_seconds()
            self._after(seconds, self._time_out, run)
        self._accept(run)

    def _time_out(self, run: _Run) -> None:
        """End an attempt whose answer's head has not come in time."""
        if not run.produced:
            self._end_run(run.vm_id, run.exchange_id, _Outcome.UNKNOWN, run)

    def _watch(self, run: _Run) -> None:
        """Report a stall whenever the next bytes are late."""
        if run.is_over:
            return
        is_late = self.now >= run.late_at
        if is_late:
            run.late_at = self.now + _NEXT_EVENT_TIMEOUT
        seconds = (run.late_at - self.now).total_seconds()
        self._after(seconds, self._watch, run)
        if is_late:
            self._handle_entry(
                run.vm_id, gateway_events.StreamStalled(run.exchange_id)
            )

    def _reroute(
        self, vm_id: model.VmId, effect: gateway_effects.Reroute
    ) -> None:
        self._record_found(vm_id, effect.exchange_id)
        super()._reroute(vm_id, effect)

    # Engines.

    def _is_silent(self, engine: engine_day.Engine) -> bool:
        until = engine.silent_until
        return until is not None and self.now < until

    def _put_off(
        self,
        engine: engine_day.Engine,
        action: collections.abc.Callable[..., None],
        *arguments: typing.Any,
    ) -> bool:
        """Do something after an engine's silence; return whether it is on."""
        if engine.silent_until is None or not self._is_silent(engine):
            return False
        seconds = (engine.silent_until - self.now).total_seconds()
        self._after(seconds, action, *arguments)
        return True

    def _accept(self, run: _Run) -> None:
        """Begin a request, once its engine is not silent any more.

        Whether an engine notices that a connection was closed during its
        silence is a matter of chance.
        """
        if not self._is_first_up(run):
            return
        if self._put_off(run.engines[0], self._accept, run):
            return
        if self._is_full(run.engines[0]) and not run.is_over:
            run.attempt.reached.discard(run.dispatch.endpoint_id)
            self._end_run(run.vm_id, run.exchange_id, _Outcome.NOT_RUN, run)
            return
        if run.is_over and self._rng.random() >= self.plan.begun_share:
            return
        engines = self.record.runs.setdefault(run.attempt.request, [])
        engines.append(run.dispatch.endpoint_id)
        if not run.is_over:
            self._after(0.1 + 0.15 * self._rng.random(), self._produce, run)

    def _is_full(self, engine: engine_day.Engine) -> bool:
        """Return whether an engine has more requests than it has slots."""
        slots = self.plan.slots
        if slots is None:
            return False
        count = sum(run.engines[0] is engine for run in self._runs.values())
        return count > slots

    def _produce(self, run: _Run) -> None:
        """Produce the next event, if no engine of the pipeline is missing."""
        if run.is_over:
            return
        if any(
            not engine.is_up or self._is_silent(engine)
            for engine in run.engines
        ):
            self._after(_POLL_SECONDS, self._produce, run)
            return
        run.produced += 1
        kind = run.attempt.kind
        self._record_output(run)
        if kind.is_stream:
            run.late_at = self.now + _NEXT_EVENT_TIMEOUT
            self._send_event(run)
        is_last = run.produced >= self.plan.whole_answer_events
        if kind.is_stream:
            is_last = run.events >= _STREAM_EVENTS
        if is_last:
            self._end_run(run.vm_id, run.exchange_id, _Outcome.ANSWERED, run)
            return
        self._after(_EVENT_SECONDS, self._produce, run)

    def _record_output(self, run: _Run) -> None:
        attempt, patience = run.attempt, self.plan.patience_seconds
        attempt.last_output_at = self.elapsed()
        if attempt.first_output_at is not None:
            return
        attempt.first_output_at = attempt.last_output_at
        if patience is not None and attempt.kind.is_stream:
            self._after(
                patience, self._lose_patience, run.vm_id, attempt, patience
            )

    def _lose_patience(
        self,
        vm_id: model.VmId,
        attempt: silence_plan.CallerAttempt,
        patience: float,
    ) -> None:
        """Let a caller leave, unless an event has come meanwhile."""
        assert attempt.last_output_at is not None
        seconds = attempt.last_output_at + patience - self.elapsed()
        if attempt.answer_count:
            return
        # The clock counts whole microseconds.
        if seconds > _MICROSECOND:
            self._after(seconds, self._lose_patience, vm_id, attempt, patience)
            return
        attempt.failure_code = silence_plan.LEFT
        self._record_answer(vm_id, attempt)
        self._drop_run(vm_id, attempt.number)
        self._handle_entry(
            vm_id, gateway_events.CallerDisconnected(attempt.number)
        )

    def _drop_run(self, vm_id: model.VmId, exchange_id: int) -> None:
        run = self._runs.pop((vm_id, exchange_id), None)
        if run is not None:
            run.is_over = True

    def _send_event(self, run: _Run) -> None:
        """Send an event to the caller of a stream."""
        run.events += 1
        attempt = run.attempt
        if run.events != attempt.position + 1:
            attempt.is_in_order = False
        attempt.position = run.events
        if run.events == 1:
            started = gateway_events.OutputStarted(run.exchange_id)
            self._handle_entry(run.vm_id, started)
        if run.produced == _SUSTAINED_EVENTS:
            sustained = gateway_events.OutputSustained(run.exchange_id)
            self._handle_entry(run.vm_id, sustained)

    def _stalls_of(self, engine: engine_day.Engine) -> list[_calls.Stall]:
        return [
            _calls.Stall(f"r{run.exchange_id}", stage.registration.address)
            for run in self._runs.values()
            if run.engines[0] is engine
            for stage in run.engines[1:]
            if not stage.is_up or self._has_been_silent(stage)
        ]

    def _has_been_silent(self, engine: engine_day.Engine) -> bool:
        """Return whether an engine's silence shows in reports."""
        since = self._silent_since.get(engine.registration.address)
        return (
            since is not None
            and self._is_silent(engine)
            and self.now - since >= _REPORT_LAG
        )

    def _silence(self, silence: silence_plan.Silence) -> None:
        until = self.now + datetime.timedelta(seconds=silence.seconds)
        engines = list(self._engines.values())
        for number in silence.engines:
            engine = engines[number]
            if not engine.is_up:
                continue
            if not self._is_silent(engine):
                address = engine.registration.address
                self._silent_since[address] = self.now
                engine.silent_until = until
            elif engine.silent_until is not None:
                engine.silent_until = max(engine.silent_until, until)

    def _crash(self, crash: silence_plan.Crash) -> None:
        engine = list(self._engines.values())[crash.engine]
        if not engine.is_up:
            return
        self.record.ended_at[engine.registration.endpoint_id] = self.elapsed()
        for key, run in self._runs.items():
            # How soon another engine goes on is not a matter of the crash.
            is_held_up = any(
                other is not engine and self._is_silent(other)
                for other in run.engines
            )
            if engine in run.engines and not is_held_up:
                self._crashed[key] = self.now
        self._lose(engine, crash.with_machine)

    def _record_found(self, vm_id: model.VmId, exchange_id: int) -> None:
        """Record that a request on a crashed engine was moved or ended."""
        crashed_at = self._crashed.pop((vm_id, exchange_id), None)
        if crashed_at is not None:
            seconds = (self.now - crashed_at).total_seconds()
            kind = self._attempts[vm_id, exchange_id].kind
            self.record.found_by_kind[kind].append(seconds)
