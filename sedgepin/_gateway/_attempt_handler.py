"""What follows from how an attempt at an answer ended."""

import datetime

from sedgepin._gateway import _calls
from sedgepin._gateway import _dispatcher
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _exchange
from sedgepin._gateway import _failures
from sedgepin._gateway import _shared_state
from sedgepin import events

_Outcome = _events.AttemptOutcome

# Endpoints that say they did not run a request are tried this many times.
_SEND_LIMIT = 4
# An engine this full that refuses is short of memory, not broken.
_FULL_SHARE = 0.6


class Attempts:
    """Finishes requests, sends them again, or tells their failure.

    A request that must not repeat is sent again only if nothing was sent, or
    the endpoint said that it did not run it.
    """

    __slots__ = ("_state", "_dispatcher")

    def __init__(
        self, core: _shared_state.Core, requests: _dispatcher.Requests
    ) -> None:
        self._state = core
        self._dispatcher = requests

    def attempt_ended(
        self, event: _events.AttemptEnded, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Finish the request, try another endpoint, or tell the failure."""
        exchange = self._state.exchanges.get(event.exchange_id)
        if exchange is None or exchange.dispatch is None:
            return []
        dispatch = exchange.dispatch
        if event.position is not None:
            exchange.position = event.position
        if exchange.service.engine is not None:
            self._state.lines.line(exchange.service.name).record_departure(now)
        if event.outcome is _Outcome.ANSWERED:
            self._dispatcher.forget(exchange)
            self._state.fleet.clear(dispatch.endpoint_id)
            took = _effects.RecordDuration("answer", now - exchange.arrived_at)
            return [_answered_line(exchange, dispatch, now), took]
        line = events.ATTEMPT_ENDED.line(
            request=exchange.request.request_id,
            attempt=exchange.send_count,
            endpoint=dispatch.endpoint_id,
            outcome=event.outcome.value,
            detail=event.detail,
            at_fault=event.faulty_address,
            position=exchange.position,
        )
        made: _shared_state.Effects = [_shared_state.log(line)]
        made += self._blame(event, exchange, dispatch, now)
        self._state.release(exchange)
        exchange.tried.add(dispatch.endpoint_id)
        if event.outcome not in (_Outcome.NOT_SENT, _Outcome.NOT_RUN):
            exchange.may_have_run = True
        return made + self._after_attempt(exchange, event, now)

    def _blame(
        self,
        event: _events.AttemptEnded,
        exchange: _exchange.Exchange,
        dispatch: _calls.Dispatch,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Leave the endpoint alone that an attempt failed on."""
        blamed = dispatch.endpoint_id
        if event.faulty_address is not None:
            known = self._state.fleet.registry.at_address(event.faulty_address)
            if known is not None:
                blamed = known.registration.endpoint_id
        if event.outcome in (_Outcome.UNKNOWN, _Outcome.CANCELLED):
            self._note_aboard(exchange, now)
        if event.outcome in (_Outcome.NOT_SENT, _Outcome.UNKNOWN):
            self._state.failed.append(blamed)
        if event.outcome is _Outcome.NOT_RUN and dispatch.pipeline is not None:
            full = self._state.fleet.fullness(exchange.service, blamed)
            # A first engine that blames no other one answers, so it lives.
            if full > _FULL_SHARE or blamed == dispatch.endpoint_id:
                self._state.fleet.note_refusal(blamed, now)
                return []
        if event.outcome in (_Outcome.NOT_SENT, _Outcome.NOT_RUN):
            return self._state.suspect(blamed, event.detail, now)
        # A lost answer does not make an endpoint a dead one: the leader
        # looks, and a new connection shows it as well.
        return []

    def _note_aboard(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> None:
        """Remember a broken request in case one of its endpoints has died."""
        fingerprint = exchange.request.fingerprint
        for endpoint_id in exchange.endpoint_ids:
            known = self._state.fleet.registry.find(endpoint_id)
            if known is not None:
                incarnation = known.registration.incarnation
                self._state.crashes.broke_off(
                    fingerprint, endpoint_id, incarnation, now
                )

    def _after_attempt(
        self,
        exchange: _exchange.Exchange,
        event: _events.AttemptEnded,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Try another endpoint if that is safe and the budget allows."""
        match event.outcome:
            case _Outcome.CANCELLED:
                return self._after_cancelled(exchange, event, now)
            case _Outcome.NOT_SENT:
                if exchange.send_count < _SEND_LIMIT:
                    return self._dispatcher.try_next(exchange, now)
                failure = _failures.NoEndpoint(exchange.service.name)
                return self._dispatcher.fail(
                    exchange, self._dispatcher.honest(exchange, failure), now
                )
            case _Outcome.NOT_RUN:
                return self._after_refusal(exchange, now)
        exchange.run_count += 1
        may_retry = exchange.may_run_again and self._state.budget.take(
            exchange.service.name, now
        )
        if may_retry:
            return self._dispatcher.try_next(exchange, now)
        if event.outcome is _Outcome.FAILED:
            self._dispatcher.forget(exchange)
            return [_effects.DeliverHeldAnswer(exchange.exchange_id)]
        unknown = _failures.OutcomeUnknown(event.detail)
        return self._dispatcher.fail(exchange, unknown, now)

    def _after_refusal(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Try again after an endpoint that did not run a request."""
        has_sends = exchange.send_count < _SEND_LIMIT
        if has_sends and self._state.budget.take(exchange.service.name, now):
            return self._dispatcher.try_next(exchange, now)
        refused = _failures.RefusedByEndpoints(exchange.send_count)
        return self._dispatcher.fail(
            exchange, self._dispatcher.honest(exchange, refused), now
        )

    def _after_cancelled(
        self,
        exchange: _exchange.Exchange,
        event: _events.AttemptEnded,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Go on elsewhere with a request whose engines stopped.

        An engine that is gone does not count as one that ran it.
        """
        endpoint_id = event.endpoint_id
        if endpoint_id is None or not self._state.fleet.is_suspected(
            endpoint_id, now
        ):
            exchange.run_count += 1
        if exchange.may_run_again and self._state.budget.take(
            exchange.service.name, now
        ):
            return self._dispatcher.try_next(exchange, now)
        unknown = _failures.OutcomeUnknown(event.detail)
        return self._dispatcher.fail(exchange, unknown, now)


def _answered_line(
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
