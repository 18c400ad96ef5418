"""Calls passed through to plain services, those that may repeat or not."""

import collections.abc
import datetime

import result

from sedgepin import _admission as admission
from sedgepin._entry import _control_asks
from sedgepin._entry import _doors
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin._entry import _refusals
from sedgepin._entry import _surroundings
from sedgepin._entry import _write_calls
from sedgepin import _http as http
from sedgepin import _model as model
from sedgepin import _release as release
from sedgepin import _writes as writes
from sedgepin import errors

Effects = list[_effects.EntryEffect]

# A service that refuses before it ran anything says so with this header,
# whatever the status.
NOT_RUN_HEADER = b"sedgepin-not-run"


class _OpenCall:
    """A call on its way."""

    __slots__ = (
        "attempt",
        "avoid",
        "deadline",
        "is_admitted",
        "is_write",
        "may_have_run",
        "request",
        "target",
    )

    def __init__(
        self,
        request: _events.ServiceRequest,
        is_write: bool,
        deadline: datetime.datetime,
    ) -> None:
        self.request = request
        self.is_write = is_write
        self.deadline = deadline
        self.attempt = 0
        self.is_admitted = False
        self.may_have_run = False
        self.avoid: frozenset[model.EndpointId] = frozenset()
        self.target: model.EndpointId | None = None


class ServiceCalls(_write_calls.WriteHost):
    """All calls under way on this VM.

    A call that may repeat is retried on another endpoint, within the retry
    budget.  A call that may not goes through the write coordinator.
    """

    __slots__ = (
        "_around",
        "_doors",
        "_open",
        "_writes",
    )

    def __init__(
        self,
        around: _surroundings.Surroundings,
        doors: _doors.Doors,
        asks: _control_asks.ControlAsks,
        incarnation: model.Incarnation,
    ) -> None:
        self._around = around
        self._doors = doors
        self._open: dict[model.RequestId, _OpenCall] = {}
        self._writes = _write_calls.WriteCalls(
            model.VmId(around.cfg.id), incarnation, asks, self
        )

    @property
    def write_calls(self) -> _write_calls.WriteCalls:
        """Return the writes under way."""
        return self._writes

    @property
    def is_idle(self) -> bool:
        """Tell whether no call is open and no write record unsettled."""
        return not self._open and self._writes.are_settled

    def request(
        self, request: _events.ServiceRequest, now: datetime.datetime
    ) -> Effects:
        """Take in a caller's call."""
        service = self._service(request)
        if isinstance(service, result.Err):
            return self._refuse(request, service.err_value)
        path = request.path.partition("?")[0]
        may_repeat = service.ok_value.is_idempotent(request.method, path)
        if not may_repeat and request.idempotency_key is None:
            return self._refuse(request, _failures.IdempotencyKeyMissing())
        allowed = _refusals.allowed_time(
            self._around, service.ok_value, request.timeout
        )
        call = _OpenCall(request, not may_repeat, now + allowed)
        self._open[request.request_id] = call
        ticket = admission.AdmissionRequest(
            request_id=request.request_id,
            customer=request.customer,
            priority=request.priority,
            cost_tokens=1,
            deadline=call.deadline,
            predicted_service=datetime.timedelta(),
        )
        return self.decide(self._doors.calls.submit(ticket, now), now)

    def decide(
        self,
        decisions: collections.abc.Iterable[admission.Decision],
        now: datetime.datetime,
    ) -> Effects:
        """Carry out what the door decided."""
        made: Effects = []
        for decision in decisions:
            call = self._open.get(decision.request_id)
            if call is None:
                continue
            if isinstance(decision, admission.Refuse):
                del self._open[decision.request_id]
                made += self._refuse(call.request, decision.failure)
                continue
            call.is_admitted = True
            made += self._begin(call, now)
        return made

    def answered(
        self, event: _events.ServiceAnswered, now: datetime.datetime
    ) -> Effects:
        """Take in what a service answered."""
        call = self._current(event.request_id, event.attempt)
        if call is None:
            return []
        if call.target is not None:
            self._around.gossip.endpoints.mark_reached(call.target)
        if not call.is_write:
            self._around.retries.record_success(call.request.service, now)
            answer = _effects.AnswerCall(
                event.request_id, event.status, event.headers, event.body
            )
            return [answer, *self._close(call, True, now)]
        not_run = any(one.name == NOT_RUN_HEADER for one in event.headers)
        stored = writes.StoredAnswer(
            event.status, _stored_headers(event.headers), event.body
        )
        heard = writes.EndpointAnswered(event.request_id, stored, not_run)
        return self._writes.drive(heard, now)

    def failed(
        self, event: _events.ServiceFailed, now: datetime.datetime
    ) -> Effects:
        """Take in that a call failed."""
        call = self._current(event.request_id, event.attempt)
        if call is None:
            return []
        if call.is_write:
            if event.bytes_were_sent:
                broken = writes.EndpointFailedAfterSend(event.request_id)
                return self._writes.drive(broken, now)
            return self._writes.drive(
                writes.EndpointConnectFailed(event.request_id), now
            )
        call.may_have_run = call.may_have_run or event.bytes_were_sent
        return self._retry(call, event.failure, now)

    def caller_left(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> Effects:
        """Stop what can be stopped; a write under way runs to its end."""
        call = self._open.get(request_id)
        if call is None:
            return []
        if call.is_write and call.is_admitted:
            return self._writes.drive(
                writes.CallerDisconnected(request_id), now
            )
        cancel = _effects.CancelCall(request_id, call.attempt)
        return [cancel, *self._close(call, False, now)]

    def tick(self, now: datetime.datetime) -> Effects:
        """Let in and refuse those who wait; drive writes that are due."""
        made = self.decide(self._doors.tick_calls(now), now)
        made += self._writes.tick(now)
        for call in list(self._open.values()):
            if not call.is_write and now >= call.deadline:
                made += self._time_out(call, now)
        return made

    def _service(
        self, request: _events.ServiceRequest
    ) -> result.Result[release.Service, errors.Failure]:
        fleet = self._around.follower.fleet
        if fleet is None:
            return result.Err(_failures.NotReady())
        service = fleet.find_service(request.service)
        if service is None:
            return result.Err(_failures.ServiceUnknown(request.service))
        if service.kind is not release.ServiceKind.PLAIN:
            return result.Err(_failures.WrongKindOfService())
        return result.Ok(service)

    def _begin(self, call: _OpenCall, now: datetime.datetime) -> Effects:
        if not call.is_write:
            return self._dispatch(call, now)
        request = call.request
        asked = writes.WriteRequested(
            request_id=request.request_id,
            customer=request.customer,
            key=request.idempotency_key or "",
            digest=bytes.fromhex(request.body_digest),
            deadline=call.deadline,
        )
        return self._writes.drive(asked, now)

    def dispatch_write(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> Effects:
        """Send the call to one endpoint, once."""
        call = self._open.get(request_id)
        if call is None:
            # The caller left before the grant: nothing was sent.
            return self._writes.drive(
                writes.EndpointConnectFailed(request_id), now
            )
        chosen = self._choose(call, now)
        if isinstance(chosen, result.Err):
            return self._writes.drive(
                writes.EndpointConnectFailed(request_id), now
            )
        return self._send(call, chosen.ok_value, now)

    def answer_write(
        self,
        request_id: model.RequestId,
        answer: writes.StoredAnswer | writes.WriteFailure,
        now: datetime.datetime,
    ) -> Effects:
        """Tell the caller how its call ended."""
        call = self._open.get(request_id)
        if call is None:
            return []
        if isinstance(answer, writes.WriteFailure):
            refused = self._refuse(call.request, answer)
            return [*refused, *self._close(call, False, now)]
        headers = tuple(
            http.HeaderField(one.name.encode(), one.value.encode())
            for one in answer.headers
        )
        told = _effects.AnswerCall(
            request_id, answer.status, headers, answer.body
        )
        return [told, *self._close(call, True, now)]

    def _dispatch(self, call: _OpenCall, now: datetime.datetime) -> Effects:
        chosen = self._choose(call, now)
        if isinstance(chosen, result.Err):
            failure: errors.Failure = chosen.err_value
            if call.may_have_run:
                failure = _failures.EndpointFailed(failure.detail())
            refused = self._refuse(call.request, failure)
            return [*refused, *self._close(call, False, now)]
        return self._send(call, chosen.ok_value, now)

    def _choose(
        self, call: _OpenCall, now: datetime.datetime
    ) -> result.Result[model.Announcement, errors.Failure]:
        chosen = self._around.router.choose_service_endpoint(
            call.request.service, self._around.eligible(now), call.avoid, now
        )
        if isinstance(chosen, result.Err):
            return result.Err(chosen.err_value)
        return result.Ok(chosen.ok_value)

    def _send(
        self,
        call: _OpenCall,
        endpoint: model.Announcement,
        now: datetime.datetime,
    ) -> Effects:
        call.attempt += 1
        call.target = endpoint.endpoint_id
        self._around.router.record_service_dispatch(
            call.request.request_id, endpoint.endpoint_id, now
        )
        left = call.deadline - now
        return [
            _effects.CallService(
                call.request, call.attempt, endpoint.address, left
            )
        ]

    def _retry(
        self,
        call: _OpenCall,
        failure: errors.Failure,
        now: datetime.datetime,
    ) -> Effects:
        made: Effects = []
        if call.target is not None:
            call.avoid |= {call.target}
            self._around.gossip.endpoints.mark_failed(call.target, now)
        chosen = self._choose(call, now)
        if isinstance(chosen, result.Ok):
            wish = admission.RetryRequest(
                service=call.request.service,
                idempotent=True,
                may_have_run=call.may_have_run,
                failed_endpoints=call.avoid,
                target=chosen.ok_value.endpoint_id,
            )
            if self._around.retries.may_retry(wish, now).is_ok():
                return made + self._send(call, chosen.ok_value, now)
        told = failure
        if call.may_have_run and failure.outcome is errors.Outcome.NOT_RUN:
            told = _failures.EndpointFailed(failure.detail())
        made += self._refuse(call.request, told)
        return made + self._close(call, False, now)

    def _time_out(self, call: _OpenCall, now: datetime.datetime) -> Effects:
        failure: errors.Failure = _failures.EndpointTooSlow()
        if not call.attempt:
            failure = _refusals.never_started()
        cancel = _effects.CancelCall(call.request.request_id, call.attempt)
        refused = self._refuse(call.request, failure)
        return [cancel, *refused, *self._close(call, False, now)]

    def _close(
        self, call: _OpenCall, succeeded: bool, now: datetime.datetime
    ) -> Effects:
        request_id = call.request.request_id
        del self._open[request_id]
        self._around.router.finish_dispatch(request_id, 1, succeeded, now)
        if call.is_admitted:
            return self.decide(
                self._doors.calls.finish(request_id, 1, now), now
            )
        return self.decide(self._doors.calls.cancel(request_id, now), now)

    def _current(
        self, request_id: model.RequestId, attempt: int
    ) -> _OpenCall | None:
        call = self._open.get(request_id)
        if call is None or call.attempt != attempt:
            return None
        return call

    def _refuse(
        self, request: _events.ServiceRequest, failure: errors.Failure
    ) -> Effects:
        return _refusals.refuse_and_log(
            request.request_id, request.customer, failure
        )


def _stored_headers(
    headers: collections.abc.Iterable[http.HeaderField],
) -> tuple[writes.Header, ...]:
    return tuple(
        writes.Header(one.name.decode("latin-1"), one.value.decode("latin-1"))
        for one in headers
    )
