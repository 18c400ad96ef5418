"""Handling of ended attempts: answer, retry or failure."""

import datetime

from sedgepin._gateway import _calls
from sedgepin._gateway import _dispatcher
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _exchange
from sedgepin._gateway import _failures
from sedgepin._gateway import _paths
from sedgepin._gateway import _shared_state
from sedgepin import events

_Outcome = _events.AttemptOutcome

# Limits the attempts of a request that the last endpoint did not run.
# ``max_attempts`` limits only the attempts that may have run it.
_MAX_SENDS = 4
# A stream that has started and was refused as often goes on after a pause.
_REFUSAL_PAUSE = datetime.timedelta(milliseconds=250)
# Within this time since its arrival a request goes on to the next endpoint
# as long as none receives it; later on up to this number of attempts.
_MAX_SENDS_IF_UNSENT = 6
_UNSENT_TIME = datetime.timedelta(milliseconds=1500)
# A VM's share of the retry budget is renewed several times within this time.
# If it is spent all the same, the caller does better elsewhere.
_MAX_BUDGET_WAIT = datetime.timedelta(milliseconds=600)
# An engine that refuses a request above this cache utilization is overloaded,
# not broken.
_FULL_CACHE_UTILIZATION = 0.6


class AttemptHandler:
    """Finishes a request, retries it or fails it after an attempt.

    A request that must run at most once is retried only if no byte was sent
    or the endpoint stated that it did not run the request.
    """

    __slots__ = ("_dispatcher", "_paths", "_state")

    def __init__(
        self,
        state: _shared_state.SharedState,
        dispatcher: _dispatcher.RequestDispatcher,
        paths: _paths.PathFollower,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._paths = paths

    def handle_attempt_end(
        self, event: _events.AttemptEnded, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Finish the request, retry it on another endpoint, or fail it."""
        exchange = self._state.exchanges.get(event.exchange_id)
        if exchange is None or exchange.dispatch is None:
            return []
        dispatch = exchange.dispatch
        if event.position is not None:
            exchange.position = event.position
        queue = self._state.queues.for_service(exchange.service.name)
        queue.record_departure(now)
        if event.outcome is _Outcome.ANSWERED:
            self._state.record_begun(exchange, now)
            self._state.level_counts.count_served(exchange, now)
            self._dispatcher.remove(exchange)
            self._state.drain.record_end(exchange, True, now)
            self._state.fleet.record_valid_answer(dispatch.endpoint_id)
            duration = _effects.RecordDuration(
                "answer", now - exchange.arrived_at
            )
            return [_log_answered(exchange, dispatch, now), duration]
        line = events.ATTEMPT_ENDED.line(
            request=exchange.request.request_id,
            attempt=exchange.send_count,
            endpoint=dispatch.endpoint_id,
            outcome=event.outcome.value,
            detail=event.detail,
            at_fault=event.faulty_address,
            position=exchange.position,
        )
        effects: _shared_state.Effects = [_shared_state.log(line)]
        is_to_blame, link_effects = self._record_link_failure(
            event, dispatch, now
        )
        effects += link_effects
        if is_to_blame:
            effects += self._mark_failed_endpoint(
                event, exchange, dispatch, now
            )
            exchange.tried_endpoints.add(dispatch.endpoint_id)
        if event.outcome not in (_Outcome.NOT_SENT, _Outcome.NOT_RUN):
            exchange.runs.append(
                _exchange.Run(dispatch.endpoint_id, dispatch.incarnation)
            )
            exchange.given_up.discard(dispatch.endpoint_id)
        if event.outcome is _Outcome.CANCELLED:
            exchange.given_up.add(dispatch.endpoint_id)
        self._state.release(exchange)
        return effects + self._retry_or_fail(exchange, event, now)

    def _record_link_failure(
        self,
        event: _events.AttemptEnded,
        dispatch: _calls.Dispatch,
        now: datetime.datetime,
    ) -> tuple[bool, _shared_state.Effects]:
        """Record a broken path.

        Return whether the endpoint may be to blame, and the effects.
        """
        failure = event.link_failure
        if failure is None and event.outcome is _Outcome.NOT_SENT:
            failure = _events.LinkFailure.DIRECT
        if failure is None:
            return True, []
        return self._paths.record_failure(
            dispatch.endpoint_id, failure, dispatch.forwarder, now
        )

    def _mark_failed_endpoint(
        self,
        event: _events.AttemptEnded,
        exchange: _exchange.Exchange,
        dispatch: _calls.Dispatch,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Record a refusal or a suspicion of the endpoint that failed."""
        failed_id = dispatch.endpoint_id
        if event.faulty_address is not None:
            record = self._state.fleet.registry.at_address(
                event.faulty_address
            )
            if record is not None:
                failed_id = record.registration.endpoint_id
        if (
            event.outcome is _Outcome.NOT_RUN
            and failed_id == dispatch.endpoint_id
            and dispatch.incarnation is not None
        ):
            self._state.fleet.pace.record_refused(
                failed_id, dispatch.incarnation
            )
        if event.outcome in (_Outcome.NOT_SENT, _Outcome.UNKNOWN):
            self._state.unreachable_endpoints.append(failed_id)
        if event.outcome is _Outcome.NOT_RUN and (
            self._state.fleet.is_restricted(failed_id, now)
        ):
            # It has said itself when it wants requests again, if at all.
            return []
        if event.outcome is _Outcome.NOT_RUN and dispatch.pipeline is not None:
            utilization = self._state.fleet.cache_utilization(
                exchange.service, failed_id
            )
            # A first engine that refuses without naming a faulty one is alive.
            if (
                utilization > _FULL_CACHE_UTILIZATION
                or failed_id == dispatch.endpoint_id
            ):
                self._state.fleet.record_refusal(failed_id, now)
                return []
        if event.outcome in (_Outcome.NOT_SENT, _Outcome.NOT_RUN):
            is_unreached = event.outcome is _Outcome.NOT_SENT
            return self._state.suspect(
                failed_id, event.detail, now, is_unreached
            )
        if event.is_invalid_answer and (
            self._state.fleet.record_invalid_answer(failed_id, now)
        ):
            return self._state.suspect(failed_id, event.detail, now)
        # A lost answer does not prove that the endpoint failed.  The leader
        # checks whether it did; if so, the next attempt to connect to it fails
        # as well and makes it suspected.
        return []

    def _retry_or_fail(
        self,
        exchange: _exchange.Exchange,
        event: _events.AttemptEnded,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Retry if the route and the retry budget allow it, else fail."""
        match event.outcome:
            case _Outcome.NOT_SENT:
                self._state.return_retry(exchange)
                exchange.unsent_count += 1
                if self._may_try_another(exchange, now):
                    return self._dispatcher.dispatch_or_queue(exchange, now)
                failure = _failures.NoEndpoint(exchange.service.name)
                return self._dispatcher.fail(
                    exchange,
                    self._dispatcher.adjust_outcome(exchange, failure),
                    now,
                )
            case _Outcome.NOT_RUN:
                return self._retry_refused(exchange, now)
        may_retry = exchange.has_reserved_retry or (
            self._state.may_run_again(exchange)
            and self._state.reserve_retry(exchange, now)
        )
        if may_retry:
            return self._dispatcher.dispatch_or_queue(exchange, now)
        if self._state.engines_to_return_to(exchange):
            exchange.needs_retry = True
            return self._dispatcher.dispatch_or_queue(exchange, now)
        if exchange.has_output and self._state.may_run_again(exchange):
            exchange.needs_retry = True
            exchange.retry_by = now + _MAX_BUDGET_WAIT
            return self._dispatcher.dispatch_or_queue(exchange, now)
        if event.outcome is _Outcome.FAILED:
            self._state.level_counts.count_endpoint_failure(exchange, now)
            self._dispatcher.remove(exchange)
            return [_effects.DeliverHeldAnswer(exchange.exchange_id)]
        outcome_unknown = _failures.OutcomeUnknown(event.detail)
        return self._dispatcher.fail(
            exchange,
            outcome_unknown,
            now,
            self._state.retry_obstacle(exchange),
        )

    def _may_try_another(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> bool:
        """Return whether a request that nobody received has a path left.

        Attempts that reached an engine do not use up those of a stream that
        has started.
        """
        is_early = now - exchange.arrived_at < _UNSENT_TIME
        sends = exchange.send_count
        if exchange.has_output:
            sends = exchange.unsent_count
        if not is_early and sends >= _MAX_SENDS_IF_UNSENT:
            return False
        return not self._state.links.is_surely_cut_off(
            now
        ) or self._state.has_forwarder_soon(now)

    def _retry_refused(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Retry a request that an endpoint did not run, or fail it.

        If the retry budget is spent, it waits a moment for the next share.  A
        stream that has started waits for a retry instead of failing.
        """
        may_send = exchange.send_count < _MAX_SENDS
        if exchange.has_output:
            exchange.needs_retry = True
            if not may_send:
                exchange.retry_at = now + _REFUSAL_PAUSE
            return self._dispatcher.dispatch_or_queue(exchange, now)
        if not may_send:
            return self._dispatcher.fail_refused(exchange, now)
        if not self._state.reserve_retry(exchange, now):
            exchange.needs_retry = True
            exchange.retry_by = now + _MAX_BUDGET_WAIT
        return self._dispatcher.dispatch_or_queue(exchange, now)


def _log_answered(
    exchange: _exchange.Exchange,
    dispatch: _calls.Dispatch,
    now: datetime.datetime,
) -> _effects.WriteLog:
    line = events.REQUEST_ANSWERED.line(
        request=exchange.request.request_id,
        endpoint=dispatch.endpoint_id,
        attempts=exchange.send_count,
        milliseconds=_shared_state.milliseconds(now - exchange.arrived_at),
    )
    return _shared_state.log(line)
