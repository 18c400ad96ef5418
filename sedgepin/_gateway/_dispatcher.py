"""Letting requests in, choosing their endpoints, and refusing them."""

import datetime

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _exchange
from sedgepin._gateway import _failures
from sedgepin._gateway import _shared_state
from sedgepin import _model as model
from sedgepin import errors
from sedgepin import events


class Requests:
    """Lets requests in, sends them, lets them wait, and ends them."""

    __slots__ = ("_state",)

    def __init__(self, core: _shared_state.Core) -> None:
        self._state = core

    def arrived(
        self, event: _events.RequestArrived, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Let a request in, or turn it away."""
        request = event.request
        table = self._state.table
        if table is None:
            return self._turn_away(event, _failures.NoConfiguration())
        route = table.find(request.host, request.path)
        if route is None:
            return self._turn_away(event, _failures.RouteUnknown())
        customer: catalog.Customer | None = None
        if request.api_key is not None:
            customer = table.customer(request.api_key)
        if table.configuration.customers and not route.is_public:
            if customer is None:
                return self._turn_away(event, _failures.KeyUnknown())
        service = self._choose_service(table, route)
        if service is None:
            return self._turn_away(event, _failures.RouteUnknown())
        if self._state.crashes.is_barred(request.fingerprint, now):
            return self._turn_away(event, _failures.RequestQuarantined())
        time_left = route.timeout
        if request.time_left is not None:
            time_left = min(time_left, request.time_left)
        exchange = _exchange.Exchange(
            event.exchange_id,
            request,
            route,
            service,
            customer,
            now,
            now + time_left,
            position=request.resume_after,
        )
        self._state.exchanges[event.exchange_id] = exchange
        set_time = _effects.SetDeadline(event.exchange_id, time_left)
        return [set_time, *self.try_next(exchange, now)]

    def try_next(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Send a request to the best endpoint, let it wait, or refuse it."""
        line = self._state.lines.line(exchange.service.name)
        if exchange.service.engine is None or exchange.request.size is None:
            return self._try_plain(exchange, now)
        found = self._state.fleet.find_pipeline(
            exchange.service, exchange.request.size, now
        )
        if found is None:
            return self._without_pipeline(exchange, now)
        must_wait = found.cache_utilization > 1.0
        if len(line) and exchange.waits_since is None:
            must_wait = must_wait or not exchange.has_output
        if must_wait:
            return self._wait(exchange, found.cache_utilization, now)
        line.leave(exchange)
        first = found.pipeline.stages[0]
        return self._send(
            exchange, first.endpoint_id, first.address, found.pipeline, now
        )

    def serve_lines(self, now: datetime.datetime) -> _shared_state.Effects:
        """Send what waits and has room now; refuse what waited too long."""
        made: _shared_state.Effects = []
        for line in self._state.lines:
            for exchange in line.in_order():
                sent = self.try_next(exchange, now)
                made += sent
                if not sent:
                    break
            for exchange in line.overdue(now):
                line.leave(exchange)
                failure: errors.Failure = _failures.NoEndpoint(
                    exchange.service.name,
                    line.comes_back_after(exchange, now),
                )
                made += self.fail(
                    exchange, self.honest(exchange, failure), now
                )
        return made

    def output_began(
        self, exchange_id: int, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Note that the caller has the first event."""
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None:
            return []
        exchange.has_output = True
        for endpoint_id in exchange.endpoint_ids:
            self._state.fleet.clear(endpoint_id)
        took = now - exchange.arrived_at
        return [_effects.RecordDuration("first_output", took)]

    def caller_left(
        self, exchange_id: int, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Give up a request whose caller is gone."""
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None:
            return []
        line = events.CALLER_LEFT.line(
            request=exchange.request.request_id,
            position=exchange.position,
            milliseconds=_shared_state.milliseconds(now - exchange.arrived_at),
        )
        self.forget(exchange)
        return [_shared_state.log(line)]

    def deadline_reached(
        self, exchange_id: int, now: datetime.datetime
    ) -> _shared_state.Effects:
        """End a request whose time is over."""
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None:
            # It is over, but its answer could not be sent in time.
            return [_effects.FinishExchange(exchange_id)]
        failure: errors.Failure = _failures.DeadlinePassed()
        if exchange.send_count == 0:
            failure = _failures.NoEndpoint(exchange.service.name)
        return self.fail(exchange, failure, now)

    def fail(
        self,
        exchange: _exchange.Exchange,
        failure: errors.Failure,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Tell the caller of a failure."""
        self.forget(exchange)
        line = events.REQUEST_FAILED.line(
            request=exchange.request.request_id,
            route=exchange.route.name,
            code=failure.code,
            detail=failure.detail(),
            attempts=exchange.send_count,
            may_have_run=exchange.may_have_run,
            position=exchange.position,
            milliseconds=_shared_state.milliseconds(now - exchange.arrived_at),
        )
        return [
            _shared_state.log(line),
            _effects.FailExchange(exchange.exchange_id, failure),
        ]

    def _turn_away(
        self, event: _events.RequestArrived, failure: errors.Failure
    ) -> _shared_state.Effects:
        """Refuse a request that was not let in."""
        table = self._state.table
        version = 0 if table is None else table.configuration.version
        line = events.REQUEST_TURNED_AWAY.line(
            request=event.request.request_id,
            host=event.request.host,
            path=event.request.path,
            code=failure.code,
            configuration=version,
        )
        return [
            _shared_state.log(line),
            _effects.FailExchange(event.exchange_id, failure),
        ]

    def _choose_service(
        self, table: catalog.RouteTable, route: catalog.Route
    ) -> catalog.Service | None:
        """Return a service of the route, as its weights ask."""
        weights = [one.weight for one in route.targets]
        chosen = route.targets[0]
        if len(route.targets) > 1:
            chosen = self._state.rng.choices(route.targets, weights)[0]
        return table.service(chosen.service)

    def _try_plain(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        chosen = self._state.fleet.choose(
            exchange.service.name, exchange.tried, now
        )
        if chosen is None and exchange.has_output:
            # The endpoint that broke the stream off may go on with it.
            chosen = self._state.fleet.choose(
                exchange.service.name, frozenset(), now
            )
        if chosen is None:
            failure = _failures.NoEndpoint(exchange.service.name)
            return self.fail(exchange, self.honest(exchange, failure), now)
        return self._send(
            exchange, chosen.endpoint_id, chosen.address, None, now
        )

    def _without_pipeline(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Let a started stream wait; refuse all else at once."""
        if exchange.has_output:
            return self._wait(exchange, 0.0, now)
        failure = _failures.NoEndpoint(exchange.service.name)
        return self.fail(exchange, self.honest(exchange, failure), now)

    def _wait(
        self,
        exchange: _exchange.Exchange,
        fullness: float,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Let a request wait for room if that can lead to an answer."""
        line = self._state.lines.line(exchange.service.name)
        if exchange.waits_since is not None:
            return []
        if not line.may_join(exchange, now):
            failure = _failures.NoEndpoint(
                exchange.service.name, line.comes_back_after(exchange, now)
            )
            return self.fail(exchange, self.honest(exchange, failure), now)
        entry = events.REQUEST_WAITS.line(
            request=exchange.request.request_id,
            service=exchange.service.name,
            fullness=round(fullness, 2),
            ahead=len(line),
            expected_milliseconds=_shared_state.milliseconds(
                line.expected_wait(exchange, now)
            ),
        )
        line.join(exchange, now)
        return [_shared_state.log(entry)]

    def _send(
        self,
        exchange: _exchange.Exchange,
        endpoint_id: model.EndpointId,
        address: str,
        pipeline: model.Pipeline | None,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        customer = exchange.customer
        time_left: datetime.timedelta | None = None
        if exchange.request.time_left is not None:
            time_left = exchange.time_left(now)
        dispatch = _calls.Dispatch(
            endpoint_id,
            address,
            time_left,
            None if customer is None else customer.name,
            pipeline,
            exchange.position,
        )
        exchange.dispatch = dispatch
        if exchange.send_count == 0:
            self._state.budget.record_first(exchange.service.name, now)
        exchange.send_count += 1
        exchange.reroute_count = 0
        exchange.is_rerouting = False
        self._state.fleet.take(exchange.endpoint_ids, exchange.tokens)
        if pipeline is not None:
            self._state.fleet.unseen.record_sent(now)
        line = events.REQUEST_DISPATCHED.line(
            request=exchange.request.request_id,
            route=exchange.route.name,
            endpoint=endpoint_id,
            pipeline=_shared_state.shown(pipeline),
            attempt=exchange.send_count,
            resume_after=exchange.position,
            milliseconds_left=_shared_state.milliseconds(
                exchange.time_left(now)
            ),
        )
        start = _effects.StartAttempt(
            exchange.exchange_id,
            dispatch,
            exchange.route.kind is catalog.RetrySemantics.STREAM,
            _answer_within(exchange),
        )
        return [_shared_state.log(line), start]

    def forget(self, exchange: _exchange.Exchange) -> None:
        """Count a request no more, whatever became of it."""
        self._state.release(exchange)
        self._state.lines.line(exchange.service.name).leave(exchange)
        self._state.exchanges.pop(exchange.exchange_id, None)

    def honest(
        self, exchange: _exchange.Exchange, failure: errors.Failure
    ) -> errors.Failure:
        """Return a failure that promises nothing once a request may have run.

        An earlier attempt may have run although the last one did not.
        """
        if not exchange.may_have_run and not exchange.has_output:
            return failure
        return _failures.OutcomeUnknown(failure.detail())


def _answer_within(
    exchange: _exchange.Exchange,
) -> datetime.timedelta | None:
    """Return how long an endpoint may be silent before another is asked.

    Only a call that may run again is worth giving up.
    """
    if exchange.route.kind is not catalog.RetrySemantics.IDEMPOTENT:
        return None
    if exchange.run_count + 1 >= exchange.route.max_attempts:
        return None
    return exchange.route.first_output_target
