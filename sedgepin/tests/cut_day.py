"""A day on which entry VMs lose their paths to endpoints.

Gateways and registrars are the real reducers on a simulated clock; callers,
endpoints and the paths to them are emulated.  Callers keep their connections,
so that requests go on arriving at VMs that are cut off.  Endpoints may fail
beside a cut.
"""

import datetime

import msgspec

from sedgepin._gateway import _calls
from sedgepin._gateway import _effects as gateway_effects
from sedgepin._gateway import _events as gateway_events
from sedgepin._gateway import _failures as gateway_failures
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _web as web
from sedgepin import errors
from sedgepin.tests import cut_attempts
from sedgepin.tests import cut_plan
from sedgepin.tests import cut_record

_Kind = cut_record.Kind
_SETTLE_SECONDS = 3.0
# Requests that were sent last end by their deadline.
_LAST_SECONDS = 5.0
_CALLER_RETRY_SECONDS = 0.1
_STREAM_SHARE = 0.8
_READ_SHARE = 0.1


class CutDay(cut_attempts.EmulatedAttempts):
    """Plays a plan and records what callers got."""

    def __init__(self, plan: cut_plan.Plan) -> None:
        self.record = cut_record.DayRecord(plan)
        self._has_begun = False
        super().__init__(plan)
        self._tick()

    def play(self) -> None:
        """Play the whole plan."""
        self._start_day(_SETTLE_SECONDS)
        self._has_begun = True
        plan = self.plan
        cut = [n for n in range(plan.entry_count) if plan.cuts_of(n)]
        others = [n for n in range(plan.entry_count) if n not in cut]
        self._schedule_arrivals(cut, plan.cut_per_second)
        self._schedule_arrivals(others, plan.other_per_second)
        faults: tuple[cut_plan.Cut | cut_plan.EndpointFault, ...] = (
            *plan.cuts,
            *plan.endpoint_faults,
        )
        for one in faults:
            if one.mode is cut_plan.CutMode.RESET:
                self._after(one.start, self._reset_connections)
        for endpoint_fault in plan.endpoint_faults:
            if endpoint_fault.is_crash:
                self._after(
                    endpoint_fault.start, self._crash_endpoints, endpoint_fault
                )
        for fault in plan.faults:
            self._after(fault.start, self._start_fault, fault)
        self.run(plan.seconds + _LAST_SECONDS)

    # Callers.

    def _schedule_arrivals(
        self, numbers: list[int], per_second: float
    ) -> None:
        at = 0.0
        while (
            numbers
            and (at := at + self._rng.expovariate(per_second))
            < self.plan.seconds
        ):
            draw = self._rng.random()
            kind = _Kind.WRITE
            if draw < _STREAM_SHARE:
                kind = _Kind.STREAM
            elif draw < _STREAM_SHARE + _READ_SHARE:
                kind = _Kind.READ
            number = self._rng.choice(numbers)
            operation = cut_record.Operation(kind)
            self._after(at, self._send, operation, number, False)

    def _send(
        self, operation: cut_record.Operation, vm_number: int, is_retry: bool
    ) -> None:
        vm_id = _entry_id(vm_number)
        if vm_id in self.stopped:
            return
        number = len(self.record.requests) + 1
        request = cut_record.Request(
            number, operation, vm_number, self.elapsed(), is_retry
        )
        self.record.requests.append(request)
        path = f"/{operation.kind.value}/{number}"
        is_stream = operation.kind is _Kind.STREAM
        self._open[vm_id, number] = request
        arrived = gateway_events.RequestArrived(
            number,
            _calls.CallerRequest(
                request_id=f"r{number}",
                host="one.example",
                path=path,
                message=web.Request(b"POST", path.encode(), ()),
                time_left=datetime.timedelta(seconds=4),
                api_key="key",
                usage=_calls.TokenUsage(5, 5) if is_stream else None,
            ),
        )
        self._handle_entry(vm_id, arrived)

    def _answer(
        self, vm_id: model.VmId, number: int, failure: errors.Failure | None
    ) -> None:
        """Give the caller its answer; a request that did not run returns.

        What is reported of a request that is over reaches nobody.
        """
        request = self._open.pop((vm_id, number), None)
        if request is None:
            return
        request.answers += 1
        request.failure = failure
        request.is_wrongly_refused = isinstance(
            failure, gateway_failures.NoEndpoint
        ) and self._could_serve(request)
        if failure is None:
            request.is_complete = True
            request.completed_at = self.elapsed()
            return
        if request.is_retry or failure.outcome is not errors.Outcome.NOT_RUN:
            return
        other = self._rng.randrange(self.plan.entry_count)
        self._after(
            _CALLER_RETRY_SECONDS, self._send, request.operation, other, True
        )

    # Entry VMs.

    def _handle_entry(
        self, vm_id: model.VmId, event: gateway_events.GatewayEvent
    ) -> None:
        if vm_id in self._thaws_at:
            if not isinstance(event, gateway_events.TimerFired):
                seconds = self._thaws_at[vm_id] - self.elapsed()
                self._after(seconds, self._handle_entry, vm_id, event)
            return
        if vm_id in self.stopped:
            return
        for effect in self._carry_out_entry(vm_id, event):
            match effect:
                case gateway_effects.SetDeadline(number, time_left):
                    seconds = time_left.total_seconds()
                    self._after(seconds, self._reach_deadline, vm_id, number)
                case gateway_effects.FailExchange(number, failure):
                    self._answer(vm_id, number, failure)
                case _:
                    self._carry_out_attempt(vm_id, effect)

    def _reach_deadline(self, vm_id: model.VmId, number: int) -> None:
        if (vm_id, number) not in self._open or vm_id in self.stopped:
            return
        run = self._runs.pop((vm_id, number), None)
        if run is not None:
            run.is_over = True
        self._handle_entry(vm_id, gateway_events.DeadlineReached(number))

    def _record_message(self, message: protocol.PeerMessage) -> None:
        if not self._has_begun:
            return
        second = self.elapsed()
        name = type(message).__name__
        first = min(cut.start for cut in self.plan.cuts)
        if second < first:
            self.record.calm_messages[name] += 1
        elif any(cut.start <= second < cut.end for cut in self.plan.cuts):
            self.record.cut_messages[name] += 1

    def start_entry(self, number: int) -> model.VmId:
        """Start an entry VM, which makes itself a key as a forwarder."""
        vm_id = _entry_id(number)
        self._keys[vm_id] = f"{vm_id} since {self.now}"
        return super().start_entry(number)

    def _make_hello(self, vm_id: model.VmId) -> protocol.Hello:
        hello = super()._make_hello(vm_id)
        if vm_id not in self.entries:
            return hello
        return msgspec.structs.replace(
            hello,
            forward_address=f"{vm_id}.example:90",
            forward_key=self._keys[vm_id],
        )

    # Faults of forwarders.

    def _start_fault(self, fault: cut_plan.ForwarderFault) -> None:
        vm_id = self._choose_faulty()
        number = _number(vm_id)
        for (owner, _), request in self._open.items():
            request.is_disturbed |= owner == vm_id
        if fault.mode is cut_plan.FaultMode.FREEZES:
            self._thaws_at[vm_id] = fault.end
            self._after(fault.end - fault.start, self._thaw, vm_id)
            self.stop(vm_id)
            return
        for key in [key for key in self._open if key[0] == vm_id]:
            self._open.pop(key).is_lost = True
        for key in [key for key in self._runs if key[0] == vm_id]:
            self._runs.pop(key).is_over = True
        self.stop(vm_id)
        self._lose_forwarder(vm_id)
        self._after(fault.end - fault.start, self._restart, number)

    def _choose_faulty(self) -> model.VmId:
        """Return the VM that carries most requests of others, if any does."""
        carriers = [
            run.forwarder
            for run in self._runs.values()
            if run.forwarder is not None
        ]
        if carriers:
            return max(sorted(set(carriers)), key=carriers.count)
        sound = [
            number
            for number in range(self.plan.entry_count)
            if not self.plan.cuts_of(number)
        ]
        return _entry_id(self._rng.choice(sound))

    def _thaw(self, vm_id: model.VmId) -> None:
        del self._thaws_at[vm_id]
        self.stopped.discard(vm_id)

    def _restart(self, number: int) -> None:
        self.stopped.discard(_entry_id(number))
        self._started_at[_entry_id(number)] = self.elapsed()
        self.start_entry(number)


def _entry_id(number: int) -> model.VmId:
    return model.VmId(f"entry:{number:03}")


def _number(vm_id: model.VmId) -> int:
    return int(vm_id.rpartition(":")[2])
