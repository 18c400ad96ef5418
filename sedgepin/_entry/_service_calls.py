"""Calls passed through to plain services: repeatable calls and writes."""

import collections.abc
import datetime

import result

from sedgepin import _admission as admission
from sedgepin._entry import _admission_controllers
from sedgepin._entry import _command_client
from sedgepin._entry import _context
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin._entry import _open_call
from sedgepin._entry import _paths
from sedgepin._entry import _permits
from sedgepin._entry import _refusals
from sedgepin._entry import _write_calls
from sedgepin import _http as http
from sedgepin import _model as model
from sedgepin import _rate_limits as rate_limits
from sedgepin import _release as release
from sedgepin import _writes as writes
from sedgepin import errors

Effects = list[_effects.EntryEffect]

# A service that refuses a call before it ran anything sets this header on
# its response, whatever the status.
NOT_RUN_HEADER = b"sedgepin-not-run"


class ServiceCalls(_write_calls.WriteCallHandler):
    """Manages all open calls of this VM.

    A repeatable call is retried on another endpoint, within the retry
    budget.  A call that may not be repeated goes through a write coordinator.
    """

    __slots__ = (
        "_admission_controllers",
        "_context",
        "_open_calls",
        "_waiting_calls",
        "_write_calls",
    )

    def __init__(
        self,
        context: _context.ReducerContext,
        controllers: _admission_controllers.AdmissionControllers,
        command_client: _command_client.CommandClient,
        incarnation: model.Incarnation,
    ) -> None:
        self._context = context
        self._admission_controllers = controllers
        self._open_calls: dict[model.RequestId, _open_call.OpenCall] = {}
        # Those that have a target, and wait for a forwarder to it.
        self._waiting_calls: list[model.RequestId] = []
        self._write_calls = _write_calls.WriteCalls(
            model.VmId(context.cfg.id), incarnation, command_client, self
        )

    @property
    def write_calls(self) -> _write_calls.WriteCalls:
        """Return the write coordinators of these calls."""
        return self._write_calls

    @property
    def is_idle(self) -> bool:
        """Return whether no call is open and all write records are settled."""
        return not self._open_calls and self._write_calls.are_settled

    @property
    def count(self) -> int:
        """Return how many calls are open."""
        return len(self._open_calls)

    def waiting(self) -> collections.abc.Iterator[tuple[str, str]]:
        """Yield customer and service of each call that is at no endpoint."""
        for call in self._open_calls.values():
            if not call.is_sent:
                yield call.request.customer, call.request.service

    def end_all(self, now: datetime.datetime) -> Effects:
        """End all calls, as this VM stops.

        Those that wait come first, so that none takes a place that is freed.
        A write that was not sent is abandoned; the control VMs mark the record
        of one that was as unknown once this VM is gone.
        """
        calls = sorted(
            self._open_calls.values(), key=lambda call: call.is_admitted
        )
        effects: Effects = []
        for call in calls:
            request_id = call.request.request_id
            if call.attempt:
                effects.append(_effects.CancelCall(request_id, call.attempt))
            # The one that holds the key of a write may be another request.
            is_begun_write = call.is_write and call.is_admitted
            if is_begun_write:
                effects += self._write_calls.handle(
                    writes.CallerDisconnected(request_id), now
                )
            failure = _refusals.at_end_of_grace(
                bool(call.attempt) or is_begun_write
            )
            effects += self._refuse(call.request, failure, now)
            effects += self._close(call, False, now)
        return effects

    def handle_request(
        self, request: _events.ServiceRequest, now: datetime.datetime
    ) -> Effects:
        """Submit a caller's call to admission, or refuse it."""
        service = self._check_service(request)
        if isinstance(service, result.Err):
            return self._refuse(request, service.err_value, now)
        path = request.path.partition("?")[0]
        may_repeat = service.ok_value.is_idempotent(request.method, path)
        if not may_repeat and request.idempotency_key is None:
            return self._refuse(
                request, _failures.IdempotencyKeyMissing(), now
            )
        timeout = _refusals.effective_timeout(
            self._context, service.ok_value, request.timeout
        )
        call = _open_call.OpenCall(request, not may_repeat, now + timeout)
        self._open_calls[request.request_id] = call
        admission_request = admission.AdmissionRequest(
            request_id=request.request_id,
            customer=request.customer,
            priority=request.priority,
            cost_tokens=1,
            deadline=call.deadline,
            predicted_service=datetime.timedelta(),
        )
        return self.apply_decisions(
            self._admission_controllers.calls.submit(admission_request, now),
            now,
        )

    def apply_decisions(
        self,
        decisions: collections.abc.Iterable[admission.Decision],
        now: datetime.datetime,
    ) -> Effects:
        """Carry out the decisions of the admission controller."""
        effects: Effects = []
        for decision in decisions:
            call = self._open_calls.get(decision.request_id)
            if call is None:
                continue
            if isinstance(decision, admission.Refuse):
                del self._open_calls[decision.request_id]
                effects += self._refuse(call.request, decision.failure, now)
                continue
            call.is_admitted = True
            effects += self._start(call, now)
        return effects

    def handle_answer(
        self, event: _events.ServiceAnswered, now: datetime.datetime
    ) -> Effects:
        """Pass a service's response on to the caller or the coordinator."""
        call = self._find_call(event.request_id, event.attempt)
        if call is None:
            return []
        effects: Effects = []
        if call.target is not None:
            endpoint_id = call.target.endpoint_id
            self._context.gossip.endpoints.mark_reached(endpoint_id)
            effects = self._context.paths.record_reached(
                endpoint_id, call.forwarder, now
            )
        if not call.is_write:
            self._context.retries.record_success(call.request.service, now)
            self._count_served(call.request, now)
            answer = _effects.AnswerCall(
                event.request_id, event.status, event.headers, event.body
            )
            return [*effects, answer, *self._close(call, True, now)]
        not_run = any(
            header.name == NOT_RUN_HEADER for header in event.headers
        )
        stored = writes.StoredAnswer(
            event.status, _open_call.stored_headers(event.headers), event.body
        )
        answered = writes.EndpointAnswered(event.request_id, stored, not_run)
        return effects + self._write_calls.handle(answered, now)

    def handle_failure(
        self, event: _events.ServiceFailed, now: datetime.datetime
    ) -> Effects:
        """Retry or refuse a failed call.

        The failure of a write is passed to its coordinator.  A call of which
        nothing was sent, and that may reach its endpoint through another
        entry VM, has not failed yet.
        """
        call = self._find_call(event.request_id, event.attempt)
        if call is None:
            return []
        is_blamed, effects = self._record_link_failure(call, event, now)
        if not is_blamed and call.target is not None:
            address = call.target.address
            can_detour = self._context.paths.has_detour(address, now)
            if can_detour and call.detours < _paths.MAX_DETOURS:
                call.detours += 1
                return effects + self._send_to_endpoint(call, call.target, now)
        if call.is_write:
            ended: writes.AttemptEvent = writes.EndpointConnectFailed(
                event.request_id
            )
            if event.bytes_were_sent:
                ended = writes.EndpointFailedAfterSend(event.request_id)
            return effects + self._write_calls.handle(ended, now)
        call.may_have_run = call.may_have_run or event.bytes_were_sent
        if is_blamed and call.target is not None:
            self._context.gossip.endpoints.mark_failed(
                call.target.endpoint_id, now
            )
        return effects + self._retry(call, event.failure, now)

    def resume_waiting(self, now: datetime.datetime) -> Effects:
        """Send the calls whose wait for a forwarder is over."""
        waiting, self._waiting_calls = self._waiting_calls, []
        effects: Effects = []
        for request_id in waiting:
            call = self._open_calls.get(request_id)
            if call is not None and call.target is not None:
                effects += self._send_to_endpoint(call, call.target, now)
        return effects

    def handle_caller_disconnected(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> Effects:
        """Cancel the caller's call, unless it is an admitted write.

        The coordinator of an admitted write abandons it if it has not been
        dispatched, and lets it run to its end otherwise.
        """
        call = self._open_calls.get(request_id)
        if call is None:
            return []
        if call.is_write and call.is_admitted:
            return self._write_calls.handle(
                writes.CallerDisconnected(request_id), now
            )
        cancel = _effects.CancelCall(request_id, call.attempt)
        return [cancel, *self._close(call, False, now)]

    def tick(self, now: datetime.datetime) -> Effects:
        """Decide on waiting calls, run write timers and enforce deadlines.

        The deadline of a write is checked by its coordinator.
        """
        effects = self.apply_decisions(
            self._admission_controllers.tick_calls(now), now
        )
        effects += self.resume_waiting(now)
        effects += self._write_calls.tick(now)
        for call in list(self._open_calls.values()):
            if not call.is_write and now >= call.deadline:
                effects += self._time_out(call, now)
        return effects

    def _check_service(
        self, request: _events.ServiceRequest
    ) -> result.Result[release.Service, errors.Failure]:
        fleet = self._context.follower.fleet
        if fleet is None:
            return result.Err(_failures.NotReady())
        service = fleet.find_service(request.service)
        if service is None:
            return result.Err(_failures.ServiceUnknown(request.service))
        if service.kind is not release.ServiceKind.PLAIN:
            return result.Err(_failures.WrongKindOfService())
        return result.Ok(service)

    def _start(
        self, call: _open_call.OpenCall, now: datetime.datetime
    ) -> Effects:
        if not call.is_write:
            return self._dispatch(call, now)
        request = call.request
        write_requested = writes.WriteRequested(
            request_id=request.request_id,
            customer=request.customer,
            key=request.idempotency_key or "",
            digest=bytes.fromhex(request.body_digest),
            deadline=call.deadline,
        )
        return self._write_calls.handle(write_requested, now)

    def dispatch_write(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> Effects:
        """Send the call to one endpoint; called at most once per write."""
        call = self._open_calls.get(request_id)
        if call is None:
            # The call was closed before the write was granted, so nothing
            # was sent.
            return self._write_calls.handle(
                writes.EndpointConnectFailed(request_id), now
            )
        chosen = self._choose_endpoint(call, now)
        if isinstance(chosen, result.Err):
            return self._write_calls.handle(
                writes.EndpointConnectFailed(request_id), now
            )
        return self._send_to_endpoint(call, chosen.ok_value, now)

    def answer_write(
        self,
        request_id: model.RequestId,
        answer: writes.StoredAnswer | writes.WriteFailure,
        now: datetime.datetime,
    ) -> Effects:
        """Send the caller the outcome of its call and close the call."""
        call = self._open_calls.get(request_id)
        if call is None:
            return []
        if isinstance(answer, writes.WriteFailure):
            refusal = self._refuse(call.request, answer, now)
            return [*refusal, *self._close(call, False, now)]
        headers = tuple(
            http.HeaderField(header.name.encode(), header.value.encode())
            for header in answer.headers
        )
        self._count_served(call.request, now)
        answer_call = _effects.AnswerCall(
            request_id, answer.status, headers, answer.body
        )
        return [answer_call, *self._close(call, True, now)]

    def _dispatch(
        self, call: _open_call.OpenCall, now: datetime.datetime
    ) -> Effects:
        # A call can leave the queue late, between two checks of deadlines.
        if now >= call.deadline:
            return self._time_out(call, now)
        chosen = self._choose_endpoint(call, now)
        if isinstance(chosen, result.Err):
            failure: errors.Failure = chosen.err_value
            if call.may_have_run:
                failure = _failures.EndpointFailed(failure.detail())
            refusal = self._refuse(call.request, failure, now)
            return [*refusal, *self._close(call, False, now)]
        return self._send_to_endpoint(call, chosen.ok_value, now)

    def _choose_endpoint(
        self, call: _open_call.OpenCall, now: datetime.datetime
    ) -> result.Result[model.Announcement, errors.Failure]:
        """Choose an endpoint; one without a permit only if there is no other.

        In that case the call waits for the permit.
        """
        permits = self._context.permits
        eligible = self._context.eligible(now)
        longest_wait = permits.max_wait(call.deadline, now)
        waits: list[datetime.timedelta | None] = [None]
        if call.denied_permits < _permits.MAX_DENIED:
            waits = [datetime.timedelta(), longest_wait]
        failure: errors.Failure | None = None
        for wait in waits:
            call.permit_wait = wait
            blocked = permits.blocked(eligible, wait, now)
            chosen = self._context.router.choose_service_endpoint(
                call.request.service,
                eligible,
                call.excluded_endpoints.union(blocked),
                now,
            )
            if isinstance(chosen, result.Ok):
                return result.Ok(chosen.ok_value)
            failure = chosen.err_value
        assert failure is not None
        offering = tuple(
            announcement
            for announcement in eligible
            if call.request.service in announcement.services
        )
        blocked = permits.blocked(offering, longest_wait, now)
        if blocked:
            failure = _failures.endpoints_limited(blocked, now)
        return result.Err(failure)

    def _send_to_endpoint(
        self,
        call: _open_call.OpenCall,
        endpoint: model.Announcement,
        now: datetime.datetime,
        has_permit: bool = False,
    ) -> Effects:
        """Send the call, or let it wait for a forwarder or a permit."""
        request_id = call.request.request_id
        path = (endpoint.endpoint_id, endpoint.address, call.detours > 0, now)
        call.target = endpoint
        call.is_sent = False
        if not has_permit:
            permission = self._context.permits.obtain(
                request_id,
                endpoint.endpoint_id,
                endpoint.incarnation,
                call.permit_wait or datetime.timedelta(),
                call.request.priority,
                now,
            )
            if permission is rate_limits.Permission.ASKED:
                return []
            if permission is rate_limits.Permission.DENIED:
                return self._send_elsewhere(call, now)
        if self._context.paths.must_wait(*path):
            self._waiting_calls.append(request_id)
            return []
        call.attempt += 1
        call.is_sent = True
        call.denied_permits = 0
        call.forwarder = self._context.paths.choose_forwarder(*path)
        self._context.router.record_service_dispatch(
            request_id, endpoint.endpoint_id, now
        )
        effect = _effects.CallService(
            call.request,
            call.attempt,
            endpoint.endpoint_id,
            endpoint.address,
            max(call.deadline - now, datetime.timedelta()),
            call.forwarder,
        )
        return [
            effect,
            *_paths.log_forwarded(
                request_id, call.attempt, endpoint.endpoint_id, call.forwarder
            ),
        ]

    def _send_elsewhere(
        self, call: _open_call.OpenCall, now: datetime.datetime
    ) -> Effects:
        """Look for another endpoint for a call that got no permit."""
        call.denied_permits += 1
        if not call.is_write:
            return self._dispatch(call, now)
        return self.dispatch_write(call.request.request_id, now)

    def handle_permit(
        self,
        request_id: model.RequestId,
        endpoint_id: model.EndpointId,
        is_granted: bool,
        now: datetime.datetime,
    ) -> Effects | None:
        """Send the call that waits for a permit, or look elsewhere.

        Return ``None`` if a permit is not used.
        """
        call = self._open_calls.get(request_id)
        if (
            call is None
            or call.target is None
            or call.target.endpoint_id != endpoint_id
        ):
            return None if is_granted else []
        if not is_granted:
            return self._send_elsewhere(call, now)
        return self._send_to_endpoint(call, call.target, now, has_permit=True)

    def retry_permit(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> Effects:
        """Go on with a call whose question for a permit got no answer."""
        call = self._open_calls.get(request_id)
        return [] if call is None else self._send_elsewhere(call, now)

    def _retry(
        self,
        call: _open_call.OpenCall,
        failure: errors.Failure,
        now: datetime.datetime,
    ) -> Effects:
        effects: Effects = []
        if call.target is not None:
            call.excluded_endpoints |= {call.target.endpoint_id}
        call.detours = 0
        chosen = self._choose_endpoint(call, now)
        # Silence shows itself at the deadline, often before the timer fires.
        if now < call.deadline and isinstance(chosen, result.Ok):
            retry = admission.RetryRequest(
                service=call.request.service,
                idempotent=True,
                may_have_run=call.may_have_run,
                failed_endpoints=call.excluded_endpoints,
                target=chosen.ok_value.endpoint_id,
            )
            if self._context.retries.may_retry(retry, now).is_ok():
                return effects + self._send_to_endpoint(
                    call, chosen.ok_value, now
                )
        final_failure = failure
        if call.may_have_run and failure.outcome is errors.Outcome.NOT_RUN:
            final_failure = _failures.EndpointFailed(failure.detail())
        effects += self._refuse(call.request, final_failure, now)
        return effects + self._close(call, False, now)

    def _record_link_failure(
        self,
        call: _open_call.OpenCall,
        event: _events.ServiceFailed,
        now: datetime.datetime,
    ) -> tuple[bool, Effects]:
        """Return whether the endpoint is to blame, and the effects."""
        if event.link_failure is None or call.target is None:
            return True, []
        return self._context.paths.record_failure(
            call.target.endpoint_id,
            call.target.address,
            event.link_failure,
            call.forwarder,
            now,
        )

    def _time_out(
        self, call: _open_call.OpenCall, now: datetime.datetime
    ) -> Effects:
        failure: errors.Failure = _failures.EndpointTooSlow()
        if not call.attempt:
            failure = _refusals.deadline_before_start()
        cancel = _effects.CancelCall(call.request.request_id, call.attempt)
        refusal = self._refuse(call.request, failure, now)
        return [cancel, *refusal, *self._close(call, False, now)]

    def _close(
        self,
        call: _open_call.OpenCall,
        succeeded: bool,
        now: datetime.datetime,
    ) -> Effects:
        request_id = call.request.request_id
        del self._open_calls[request_id]
        self._context.permits.cancel(request_id)
        self._context.router.finish_dispatch(request_id, 1, succeeded, now)
        if call.is_admitted:
            return self.apply_decisions(
                self._admission_controllers.calls.finish(request_id, 1, now),
                now,
            )
        return self.apply_decisions(
            self._admission_controllers.calls.cancel(request_id, now), now
        )

    def _find_call(
        self, request_id: model.RequestId, attempt: int
    ) -> _open_call.OpenCall | None:
        call = self._open_calls.get(request_id)
        if call is None or call.attempt != attempt:
            return None
        return call

    def _refuse(
        self,
        request: _events.ServiceRequest,
        failure: errors.Failure,
        now: datetime.datetime,
    ) -> Effects:
        return _refusals.refuse_and_log(self._context, request, failure, now)

    def _count_served(
        self, request: _events.ServiceRequest, now: datetime.datetime
    ) -> None:
        self._context.levels.count_served(
            request.customer, request.service, now
        )
