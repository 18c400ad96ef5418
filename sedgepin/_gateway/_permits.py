"""Permits for requests to endpoints that have named a limit.

What all VMs send to such an endpoint is counted by the leader.
"""

import datetime

from sedgepin._gateway import _control_connections
from sedgepin._gateway import _dispatcher
from sedgepin._gateway import _effects
from sedgepin._gateway import _exchange
from sedgepin._gateway import _shared_state
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import events

Effects = _shared_state.Effects


class PermitClient:
    """Asks control VMs for permits, and sends the requests that get one."""

    __slots__ = ("_connections", "_dispatcher", "_state")

    def __init__(
        self,
        state: _shared_state.SharedState,
        connections: _control_connections.ControlConnections,
        dispatcher: _dispatcher.RequestDispatcher,
    ) -> None:
        self._state = state
        self._connections = connections
        self._dispatcher = dispatcher

    def send_asks(self, aggregator: model.VmId | None) -> Effects:
        """Ask for the permits that requests have come to need."""
        asks = self._state.permits.take_asks()
        if not asks:
            return []
        connected = self._connections.connected
        if aggregator not in connected:
            aggregator = min(
                connected, key=self._connections.rank, default=None
            )
        if aggregator is None:
            return []
        return [
            _effects.SendMessage(aggregator, ask.as_message()) for ask in asks
        ]

    def handle_answer(
        self,
        message: protocol.PermitAnswered,
        sender: model.VmId,
        now: datetime.datetime,
    ) -> Effects:
        """Send the request that got a permit, or look for another endpoint."""
        permits = self._state.permits
        is_expected = permits.record_answer(
            message.ask_id,
            message.endpoint_id,
            message.incarnation,
            message.is_granted,
            datetime.timedelta(milliseconds=message.wait_milliseconds),
            now,
        )
        exchange = self._state.exchanges.get(message.ask_id)
        if not message.is_granted:
            self._state.fleet.invalidate_pipelines()
            if not is_expected or exchange is None:
                return []
            return self._handle_denial(exchange, message.endpoint_id, now)
        effects: Effects = []
        if is_expected and exchange is not None and exchange.dispatch is None:
            effects = self._start(
                exchange, message.endpoint_id, message.incarnation, now
            )
            if effects:
                return effects
            exchange.denied_permits += 1
            effects = self._dispatcher.dispatch_or_queue(exchange, now)
        returned = protocol.PermitReturned(
            message.endpoint_id, message.incarnation
        )
        return [_effects.SendMessage(sender, returned), *effects]

    def tick(self, now: datetime.datetime) -> Effects:
        """Send what has waited too long for the answer of a control VM."""
        permits = self._state.permits
        if len(permits.limits) and not self._connections.connected:
            permits.lose_contact()
        effects: Effects = []
        for ask_id in permits.tick(now):
            exchange = self._state.exchanges.get(ask_id)
            if exchange is not None and exchange.dispatch is None:
                effects += self._dispatcher.dispatch_or_queue(exchange, now)
        return effects

    def _start(
        self,
        exchange: _exchange.Exchange,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> Effects:
        """Send a request with a permit; return no effects if that fails."""
        fleet = self._state.fleet
        record = fleet.registry.find(endpoint_id)
        if record is None or record.registration.incarnation != incarnation:
            return []
        if not fleet.is_usable(endpoint_id, now):
            return []
        if self._state.find_cause(exchange.request, now) is not None:
            return []
        allowed = self._state.allowed_endpoints(exchange)
        if allowed is not None and endpoint_id not in allowed:
            return []
        address = record.registration.address
        size = exchange.request.size
        pipeline: model.Pipeline | None = None
        if exchange.service.engine is not None and size is not None:
            candidate = fleet.find_pipeline_from(
                exchange.service, size, endpoint_id, now
            )
            if candidate is None or candidate.cache_utilization > 1.0:
                return []
            pipeline = candidate.pipeline
        return self._dispatcher.start_attempt(
            exchange, endpoint_id, address, pipeline, now
        )

    def _handle_denial(
        self,
        exchange: _exchange.Exchange,
        endpoint_id: model.EndpointId,
        now: datetime.datetime,
    ) -> Effects:
        """Look for another endpoint for a request that got no permit."""
        exchange.denied_permits += 1
        free_in = datetime.timedelta()
        requests_per_second: float | None = None
        permits = self._state.permits
        record = self._state.fleet.registry.find(endpoint_id)
        if record is not None:
            incarnation = record.registration.incarnation
            free_in = permits.free_at(endpoint_id, incarnation, now) - now
            limit = permits.limits.find(endpoint_id, incarnation)
            if limit is not None:
                requests_per_second = limit.requests_per_second
        line = events.PERMIT_DENIED.line(
            request=exchange.request.request_id,
            endpoint=endpoint_id,
            requests_per_second=requests_per_second,
            free_in_milliseconds=_shared_state.milliseconds(free_in),
        )
        return [
            _shared_state.log(line),
            *self._dispatcher.dispatch_or_queue(exchange, now),
        ]
