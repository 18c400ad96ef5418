"""A day on which requests that share a part of their prompt crash engines.

Callers and engines are emulated; see ``engine_day``.  Each crashing request
comes once, at any entry VM, and sound requests share its caller, path and
other parts.
"""

import dataclasses
import datetime
import itertools

import msgspec

from sedgepin._gateway import _calls
from sedgepin._gateway import _effects as gateway_effects
from sedgepin._gateway import _events as gateway_events
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _web as web
from sedgepin import events
from sedgepin.tests import crash_plan
from sedgepin.tests import engine_day

_Outcome = gateway_events.AttemptOutcome
_EVENT_SECONDS = 0.05
_CRASH_SECONDS = 0.04
_STALL_SECONDS = 0.2
_SUSTAINED_EVENTS = 16
_STREAM_EVENTS = 24
_CALLER_RETRY_SECONDS = 0.1


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class _Run(engine_day.Run):
    attempt: crash_plan.CallerAttempt


class CrashDay(engine_day.EngineDay):
    """Plays a plan and records the attempts and the crashes."""

    def __init__(self, plan: crash_plan.Plan) -> None:
        self.plan = plan
        self.record = crash_plan.DayRecord(plan)
        self._numbers = itertools.count(1)
        self._open: dict[tuple[model.VmId, int], crash_plan.CallerAttempt] = {}
        super().__init__(
            plan.entry_count,
            plan.control_count,
            plan.data_centre_count,
            plan.engine_pairs,
            plan.seed,
        )

    def play(self) -> None:
        """Play the whole plan."""
        self._start_day(engine_day.SETTLE_SECONDS)
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
        self.run(plan.seconds + engine_day.SETTLE_SECONDS)

    def _record_message(self, message: protocol.PeerMessage) -> None:
        if isinstance(message, protocol.CrashesReported):
            self.record.report_bytes += len(msgspec.msgpack.encode(message))

    def _record_log(self, vm_id: model.VmId, line: events.LogLine) -> None:
        self.record.log_lines.append(line)
        if line.definition is events.CAUSE_HELD_BACK:
            self.record.held_at.setdefault(vm_id, self.elapsed())

    # Callers.

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

    def _finish(self, run: engine_day.Run) -> None:
        self._open.pop((run.vm_id, run.exchange_id), None)

    def _restart_entry(self, number: int) -> None:
        vm_id = model.VmId(f"entry:{number:03}")
        for key in [key for key in self._runs if key[0] == vm_id]:
            self._runs.pop(key).is_over = True
        for key in [key for key in self._open if key[0] == vm_id]:
            del self._open[key]
        self.start_entry(number)

    # Engines.

    def _start_run(
        self, vm_id: model.VmId, effect: gateway_effects.StartAttempt
    ) -> None:
        attempt = self._open[vm_id, effect.exchange_id]
        run = _Run(
            vm_id,
            effect.exchange_id,
            effect.dispatch,
            self._stages(effect.dispatch.pipeline),
            attempt=attempt,
        )
        if self._add_run(run):
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

    def _crash(self, run: _Run, part: str) -> None:
        engine = run.engines[-1 if self.plan.is_last_stage else 0]
        if engine.is_up and not run.is_over:
            self.record.crashed_at[part].append(self.elapsed())
            self._lose(engine)

    def _lose_rack(self) -> None:
        engines = [engine for engine in self._engines.values() if engine.is_up]
        for engine in engines[: self.plan.rack_engines]:
            self._lose(engine)

    def _stalls_of(self, engine: engine_day.Engine) -> list[_calls.Stall]:
        return [
            _calls.Stall(f"r{run.exchange_id}", stage.registration.address)
            for run in self._runs.values()
            if run.engines[0] is engine
            for stage in run.engines
            if not stage.is_up
        ]
