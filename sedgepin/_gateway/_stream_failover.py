"""Streams that make no progress, and the engines that hold them up."""

import datetime

from sedgepin._gateway import _calls
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _exchange
from sedgepin._gateway import _shared_state
from sedgepin._gateway import _stalls
from sedgepin import _model as model
from sedgepin import events

# Pipelines that one attempt may change to before it starts anew.
_REROUTE_LIMIT = 3


class Detours:
    """Finds out which engine is dead and moves its requests elsewhere."""

    __slots__ = ("_state", "_watch")

    def __init__(self, core: _shared_state.Core) -> None:
        self._state = core
        self._watch = _stalls.StallWatch()

    def stalled(
        self, exchange_id: int, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Find out why a stream brings no events."""
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None or exchange.dispatch is None:
            return []
        dispatch = exchange.dispatch
        if dispatch.pipeline is None or exchange.is_rerouting:
            return []
        if any(
            self._state.fleet.is_suspected(one.endpoint_id, now)
            for one in dispatch.pipeline.stages[1:]
        ):
            return self._reroute(exchange, now)
        if not self._watch.may_ask(dispatch.endpoint_id, now):
            return []
        return [_effects.InspectStalls(dispatch.endpoint_id, dispatch.address)]

    def inspected(
        self, event: _events.StallsInspected, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Take in what a first engine says of its streams."""
        report = event.report
        stalls = () if report is None else report.stalls
        self._watch.note_answer(event.endpoint_id, bool(stalls), now)
        faulty_addresses = sorted({one.faulty_address for one in stalls})
        line = events.STALLS_INSPECTED.line(
            endpoint=event.endpoint_id,
            answered=report is not None,
            stalls=len(stalls),
            at_fault=",".join(faulty_addresses),
            slowness=None if report is None else report.slowdown,
        )
        made: _shared_state.Effects = [_shared_state.log(line)]
        if report is None:
            return made + self.endpoint_died(event.endpoint_id, now)
        for address in faulty_addresses:
            known = self._state.fleet.registry.at_address(address)
            if known is not None:
                blamed = known.registration.endpoint_id
                made += self.endpoint_died(blamed, now)
        waiting = {one.request_id for one in stalls}
        for exchange in list(self._state.exchanges.values()):
            dispatch = exchange.dispatch
            if dispatch is None or dispatch.endpoint_id != event.endpoint_id:
                continue
            if exchange.request.request_id in waiting:
                made += self._reroute(exchange, now)
        return made

    def endpoint_died(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Move every request that an endpoint runs to other endpoints."""
        made = self._state.suspect(endpoint_id, "it makes no progress", now)
        self._state.failed.append(endpoint_id)
        for exchange in list(self._state.exchanges.values()):
            if endpoint_id not in exchange.endpoint_ids:
                continue
            dispatch = exchange.dispatch
            if dispatch is None or dispatch.pipeline is None:
                continue
            if dispatch.endpoint_id == endpoint_id:
                made.append(_effects.CancelAttempt(exchange.exchange_id))
            else:
                made += self._reroute(exchange, now)
        return made

    def rerouted(
        self, event: _events.Rerouted, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Take in the answer to an order to use another pipeline."""
        exchange = self._state.exchanges.get(event.exchange_id)
        if exchange is None or not exchange.is_rerouting:
            return []
        exchange.is_rerouting = False
        if event.is_accepted:
            return []
        if event.refused_by is not None:
            known = self._state.fleet.registry.at_address(event.refused_by)
            if known is not None:
                blamed = known.registration.endpoint_id
                reason = "it refused to take part"
                made = self._state.suspect(blamed, reason, now)
                return made + self._reroute(exchange, now)
        return [_effects.CancelAttempt(exchange.exchange_id)]

    def _reroute(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Replace the stages that failed, and keep what the others hold."""
        dispatch = exchange.dispatch
        size = exchange.request.size
        if dispatch is None or dispatch.pipeline is None or size is None:
            return []
        if exchange.is_rerouting:
            return []
        detour: model.Pipeline | None = None
        if exchange.reroute_count < _REROUTE_LIMIT:
            detour = self._state.fleet.find_detour(
                exchange.service, size, dispatch.pipeline, now
            )
        if detour is None:
            return [_effects.CancelAttempt(exchange.exchange_id)]
        exchange.is_rerouting = True
        exchange.reroute_count += 1
        self._state.fleet.give_back(exchange.endpoint_ids, exchange.tokens)
        exchange.dispatch = _calls.Dispatch(
            dispatch.endpoint_id,
            dispatch.address,
            dispatch.time_left,
            dispatch.customer,
            detour,
            dispatch.resume_after,
        )
        self._state.fleet.take(exchange.endpoint_ids, exchange.tokens)
        line = events.REQUEST_REROUTED.line(
            request=exchange.request.request_id,
            before=_shared_state.shown(dispatch.pipeline),
            after=_shared_state.shown(detour),
        )
        reroute = _effects.Reroute(
            exchange.exchange_id,
            exchange.request.request_id,
            dispatch.address,
            detour,
        )
        return [_shared_state.log(line), reroute]
