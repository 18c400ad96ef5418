"""A day on which engines name how many requests a second they take.

Each engine that does so says it in the head of every answer: to a request,
also one that it turns away, and to a check.  Callers and engines are
emulated; see ``engine_day``.
"""

import dataclasses
import datetime
import itertools

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _effects as gateway_effects
from sedgepin._gateway import _events as gateway_events
from sedgepin import _model as model
from sedgepin._registrar import _effects as registrar_effects
from sedgepin._registrar import _events as registrar_events
from sedgepin import _web as web
from sedgepin import errors
from sedgepin.tests import engine_day
from sedgepin.tests import limit_plan
from sedgepin.tests import silence_routes
from sedgepin.tests import timed_deployment

_Outcome = gateway_events.AttemptOutcome
_HEAD_SECONDS = 0.03
_CALLER_RETRY_SECONDS = 0.1
_TIME_LEFT = datetime.timedelta(seconds=silence_routes.TIME_LEFT_SECONDS)


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class _Run(engine_day.Run):
    attempt: limit_plan.CallerAttempt


class LimitDay(engine_day.EngineDay):
    """Plays a plan and records what engines and callers got."""

    def __init__(self, plan: limit_plan.Plan) -> None:
        self.plan = plan
        self.record = limit_plan.DayRecord(plan)
        self._numbers = itertools.count(1)
        self._open: dict[tuple[model.VmId, int], limit_plan.CallerAttempt] = {}
        # The limits that ended with the boot of their engine.
        self._ended: set[tuple[int, limit_plan.Limit]] = set()
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
            kind = self._rng.choice(plan.kinds)
            self._after(at, self._send, kind, self._choose_vm(at), True)
        for second, number in plan.restarts:
            self._after(second, self._restart_entry, number)
        for second, number in plan.engine_restarts:
            self._after(second, self._end_engine, number)
        for fault in plan.frozen:
            self._after(fault.start, self.stop, fault.vm_id)
            self._after(fault.end, self.stopped.discard, fault.vm_id)
        for fault in plan.isolated:
            self._after(fault.start, self._isolate, fault.vm_id)
            self._after(fault.end, self._rejoin, fault.vm_id)
        self.run(plan.seconds + silence_routes.TIME_LEFT_SECONDS)

    def _make_configuration(self) -> catalog.Configuration:
        return silence_routes.make_configuration(2)

    # Callers.

    def _choose_vm(self, at: float) -> model.VmId:
        names = list(self.entries)
        if self._rng.random() < self.plan.busy_share:
            turn = int(at / self.plan.turn_seconds)
            return names[turn % len(names)]
        return self._rng.choice(names)

    def _send(
        self, kind: silence_routes.Kind, vm_id: model.VmId, is_first: bool
    ) -> None:
        if vm_id in self.stopped:
            return
        number = next(self._numbers)
        attempt = limit_plan.CallerAttempt(
            number, kind, vm_id, self.elapsed(), is_first
        )
        self.record.attempts.append(attempt)
        path = f"/{kind.value}/{number}"
        self._open[vm_id, number] = attempt
        request = _calls.CallerRequest(
            request_id=f"r{number}",
            host="one.example",
            path=path,
            message=web.Request(b"POST", path.encode(), ()),
            time_left=_TIME_LEFT,
            api_key="key",
            usage=None if kind.is_plain else _calls.TokenUsage(5, 5),
        )
        self._handle_entry(
            vm_id, gateway_events.RequestArrived(number, request)
        )

    def _fail(
        self, vm_id: model.VmId, effect: gateway_effects.FailExchange
    ) -> None:
        attempt = self._open.pop((vm_id, effect.exchange_id), None)
        if attempt is None:
            return
        failure = effect.failure
        attempt.answered_at = self.elapsed()
        attempt.failure_code = failure.code
        seconds = _CALLER_RETRY_SECONDS
        if failure.retry_after is not None:
            seconds = failure.retry_after.total_seconds()
            attempt.retry_after = seconds
        if attempt.is_first and failure.outcome is errors.Outcome.NOT_RUN:
            other = self._rng.choice(list(self.entries))
            self._after(seconds, self._send, attempt.kind, other, False)

    def _finish(self, run: engine_day.Run) -> None:
        attempt = self._open.pop((run.vm_id, run.exchange_id), None)
        if attempt is not None:
            attempt.answered_at = self.elapsed()

    def _apply(
        self, vm_id: model.VmId, effect: gateway_effects.GatewayEffect
    ) -> None:
        if isinstance(effect, gateway_effects.SetDeadline):
            seconds = effect.time_left.total_seconds()
            self._after(
                seconds, self._reach_deadline, vm_id, effect.exchange_id
            )
        super()._apply(vm_id, effect)

    def _reach_deadline(self, vm_id: model.VmId, exchange_id: int) -> None:
        if (vm_id, exchange_id) in self._open:
            self._handle_entry(
                vm_id, gateway_events.DeadlineReached(exchange_id)
            )

    # Engines.

    def _start_run(
        self, vm_id: model.VmId, effect: gateway_effects.StartAttempt
    ) -> None:
        attempt = self._open.get((vm_id, effect.exchange_id))
        if attempt is None:
            return
        if attempt.first_dispatched_at is None:
            attempt.first_dispatched_at = self.elapsed()
        dispatch = effect.dispatch
        engines = [self._engines[dispatch.address]]
        if dispatch.pipeline is not None:
            engines = self._stages(dispatch.pipeline)
        run = _Run(
            vm_id, effect.exchange_id, dispatch, engines, attempt=attempt
        )
        if self._add_run(run):
            self._after(timed_deployment.ENGINE_SECONDS, self._arrive, run)

    def _arrive(self, run: _Run) -> None:
        """Let a request reach its engine, which may turn it away."""
        if not self._is_first_up(run):
            return
        engine = run.engines[0]
        self.record.arrivals.append(
            limit_plan.Arrival(
                self.elapsed(),
                run.vm_id,
                self._number(engine),
                run.dispatch.endpoint_id,
            )
        )
        if run.is_over:
            return
        if self._rng.random() < self.plan.refused_share:
            self._send_head(run, is_refused=True)
            self._end_run(run.vm_id, run.exchange_id, _Outcome.NOT_RUN, run)
            return
        self._after(_HEAD_SECONDS, self._send_head, run, False)
        seconds = self.plan.answer_seconds * (0.5 + self._rng.random())
        self._after(
            seconds,
            self._end_run,
            run.vm_id,
            run.exchange_id,
            _Outcome.ANSWERED,
            run,
        )

    def _send_head(self, run: _Run, is_refused: bool) -> None:
        if run.is_over or not self._is_first_up(run):
            return
        metadata = _calls.AnswerMetadata(
            f"r{run.exchange_id}",
            True,
            is_refused,
            notice=self._notice(run.engines[0]),
        )
        head = gateway_events.AnswerHeadReceived(
            run.dispatch.endpoint_id, metadata, run.dispatch.incarnation
        )
        if run.vm_id not in self.stopped:
            self._note_heard(run.engines[0])
        self._handle_entry(run.vm_id, head)
        if not is_refused and run.attempt.kind.is_stream:
            started = gateway_events.OutputStarted(run.exchange_id)
            self._handle_entry(run.vm_id, started)

    def _inspect_engine(
        self, vm_id: model.VmId, effect: registrar_effects.InspectEngine
    ) -> None:
        engine = self._engines[effect.address]
        call = self._call(effect.address, 1.0)
        if call.answered_by is not None:
            self._after(call.seconds, self._send_check_head, vm_id, engine)
        super()._inspect_engine(vm_id, effect)

    def _send_check_head(
        self, vm_id: model.VmId, engine: engine_day.Engine
    ) -> None:
        if vm_id in self.stopped:
            return
        self._note_heard(engine)
        registration = engine.registration
        notice = registrar_events.NoticeReceived(
            registration.endpoint_id,
            registration.incarnation,
            self._notice(engine),
        )
        self._handle_control(vm_id, notice)

    def _notice(self, engine: engine_day.Engine) -> catalog.EndpointNotice:
        limit = self._limit(engine)
        if limit is None:
            return catalog.EndpointNotice()
        return catalog.EndpointNotice(request_limit=limit.per_second)

    def _limit(self, engine: engine_day.Engine) -> limit_plan.Limit | None:
        number = self._number(engine)
        for limit in self.plan.limits:
            if number in limit.engines and (
                limit.start <= self.elapsed() < limit.end
                and (number, limit) not in self._ended
            ):
                return limit
        return None

    def _note_heard(self, engine: engine_day.Engine) -> None:
        limit = self._limit(engine)
        if limit is not None:
            key = (self._number(engine), limit)
            self.record.heard_at.setdefault(key, self.elapsed())

    def _number(self, engine: engine_day.Engine) -> int:
        return list(self._engines.values()).index(engine)

    def _stalls_of(self, engine: engine_day.Engine) -> list[_calls.Stall]:
        return []

    # Faults.

    def _end_engine(self, number: int) -> None:
        """End an engine; its next boot has named no limit."""
        engine = list(self._engines.values())[number]
        for limit in self.plan.limits:
            if number in limit.engines and limit.start <= self.elapsed():
                self._ended.add((number, limit))
                heard_at = self.record.heard_at.pop((number, limit), None)
                if heard_at is not None:
                    until = dataclasses.replace(limit, end=self.elapsed())
                    self.record.heard_at[number, until] = heard_at
        self._lose(engine)

    def _restart_entry(self, number: int) -> None:
        vm_id = model.VmId(f"entry:{number:03}")
        for key in [key for key in self._runs if key[0] == vm_id]:
            self._runs.pop(key).is_over = True
        for key in [key for key in self._open if key[0] == vm_id]:
            self._open.pop(key).is_lost = True
        self.start_entry(number)

    def _isolate(self, vm_id: model.VmId) -> None:
        self.cut(vm_id, apart_from={*self.entries, *self.controls})

    def _rejoin(self, vm_id: model.VmId) -> None:
        self.cut_links = {link for link in self.cut_links if vm_id not in link}
