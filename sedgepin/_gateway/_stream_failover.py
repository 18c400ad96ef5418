"""Failover of running requests whose engines fail or stall."""

import dataclasses
import datetime

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _exchange
from sedgepin._gateway import _paths
from sedgepin._gateway import _shared_state
from sedgepin._gateway import _stalls
from sedgepin import _model as model
from sedgepin import events

# Per attempt; after that, the attempt is cancelled and the request retried.
_MAX_REROUTES = 3


class StreamFailover:
    """Detects failed engines and moves their requests to others.

    If the first engine of a pipeline is alive, it keeps the request and
    switches to a failover pipeline.  Otherwise the attempt is cancelled.
    """

    __slots__ = ("_paths", "_stall_inspections", "_state")

    def __init__(
        self,
        state: _shared_state.SharedState,
        paths: _paths.PathFollower,
    ) -> None:
        self._state = state
        self._paths = paths
        self._stall_inspections = _stalls.StallInspections()

    def handle_late_answer(
        self, exchange_id: int, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Move a call of a plain service whose answer head is late."""
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None or exchange.dispatch is None:
            return []
        endpoint_id = exchange.dispatch.endpoint_id
        if not exchange.is_kept:
            self._state.unreachable_endpoints.append(endpoint_id)
        return self._cancel_or_keep(exchange, endpoint_id, now)

    def handle_stall(
        self, exchange_id: int, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Replace a suspected stage, or ask the first engine for the cause."""
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None or exchange.dispatch is None:
            return []
        dispatch = exchange.dispatch
        if dispatch.pipeline is None or exchange.is_rerouting:
            return []
        if self._is_on_broken_path(exchange, now):
            return self._cancel_or_keep(exchange, None, now)
        if any(
            self._state.fleet.is_suspected(stage.endpoint_id, now)
            for stage in dispatch.pipeline.stages[1:]
        ):
            return self._reroute(exchange, now)
        is_stream = exchange.route.kind is catalog.RetrySemantics.STREAM
        if not self._stall_inspections.try_start(
            dispatch.endpoint_id, now, is_stream
        ):
            return []
        return [
            _effects.InspectStalls(
                dispatch.endpoint_id,
                dispatch.address,
                dispatch.incarnation,
                dispatch.forwarder,
            )
        ]

    def handle_stall_report(
        self, event: _events.StallsInspected, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Move the stalled requests of a first engine off the failed engines.

        A first engine that did not answer counts as failed itself.  What it
        says of another one may be due to the link between them, so that only
        its own requests move.
        """
        report = event.report
        stalls = () if report is None else report.stalls
        self._stall_inspections.record_report(
            event.endpoint_id, bool(stalls), now
        )
        faulty_addresses = sorted({stall.faulty_address for stall in stalls})
        line = events.STALLS_INSPECTED.line(
            endpoint=event.endpoint_id,
            answered=not event.is_silent,
            stalls=len(stalls),
            at_fault=",".join(faulty_addresses),
            slowness=None if report is None else report.slowdown,
        )
        effects: _shared_state.Effects = [_shared_state.log(line)]
        if event.is_silent:
            return effects + self._handle_missing_report(event, now)
        for address in faulty_addresses:
            record = self._state.fleet.registry.at_address(address)
            if record is not None:
                effects += self._handle_accusation(
                    record.registration, event.endpoint_id, now
                )
        stalled_ids = {stall.request_id for stall in stalls}
        for exchange in list(self._state.exchanges.values()):
            dispatch = exchange.dispatch
            if dispatch is None or dispatch.endpoint_id != event.endpoint_id:
                continue
            if exchange.request.request_id in stalled_ids:
                effects += self._reroute(exchange, now)
        return effects

    def _handle_accusation(
        self,
        accused: catalog.Registration,
        reporter_id: model.EndpointId,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Replace a stage in all requests of the first engine that says so.

        The accused engine is asked itself if it is the first one of others.
        """
        accused_id = accused.endpoint_id
        effects = self._suspect_unresponsive(accused_id, now)
        is_first = False
        for exchange in list(self._state.exchanges.values()):
            dispatch = exchange.dispatch
            if dispatch is None or dispatch.pipeline is None:
                continue
            if dispatch.endpoint_id == accused_id:
                is_first = accused_id != reporter_id
            elif (
                dispatch.endpoint_id == reporter_id
                and accused_id in exchange.endpoint_ids
            ):
                effects += self._reroute(exchange, now)
        if is_first and self._stall_inspections.try_start(accused_id, now):
            effects.append(
                _effects.InspectStalls(
                    accused_id,
                    accused.address,
                    accused.incarnation,
                    self._state.choose_forwarder(accused_id, now),
                )
            )
        return effects

    def _suspect_unresponsive(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Give an endpoint no new work for a while, and have it checked."""
        self._state.unreachable_endpoints.append(endpoint_id)
        return self._state.suspect(
            endpoint_id, "its requests make no progress", now
        )

    def _handle_missing_report(
        self, event: _events.StallsInspected, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Move the requests of a first engine, unless its path is broken.

        In that case each moves when it stalls the next time.
        """
        effects: _shared_state.Effects = []
        if event.link_failure is not None:
            is_to_blame, effects = self._paths.record_failure(
                event.endpoint_id, event.link_failure, event.forwarder, now
            )
            if not is_to_blame:
                return effects
        return effects + self.handle_endpoint_failure(event.endpoint_id, now)

    def _is_on_broken_path(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> bool:
        """Return whether an attempt's path is broken and another is known."""
        dispatch = exchange.dispatch
        if dispatch is None:
            return False
        links = self._state.links
        has_detour = self._state.has_detour(dispatch.endpoint_id, now)
        if dispatch.forwarder is None:
            return has_detour
        return links.is_doubted(dispatch.forwarder) and (
            has_detour or not links.is_unreachable(dispatch.endpoint_id)
        )

    def handle_endpoint_failure(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Move requests of an endpoint that failed, or fell silent, elsewhere.

        A silent one may go on, so that requests which may run nowhere else
        stay.
        """
        effects = self._suspect_unresponsive(endpoint_id, now)
        for exchange in list(self._state.exchanges.values()):
            if endpoint_id not in exchange.endpoint_ids:
                continue
            dispatch = exchange.dispatch
            if dispatch is None or dispatch.pipeline is None:
                continue
            if dispatch.endpoint_id == endpoint_id:
                effects += self._cancel_or_keep(exchange, endpoint_id, now)
            else:
                effects += self._reroute(exchange, now)
        return effects

    def handle_reroute_result(
        self, event: _events.Rerouted, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Retry a refused reroute without the engine that refused it."""
        exchange = self._state.exchanges.get(event.exchange_id)
        if exchange is None or not exchange.is_rerouting:
            return []
        if event.attempt != exchange.send_count:
            return []
        exchange.is_rerouting = False
        if event.is_accepted or exchange.dispatch is None:
            return []
        if event.refused_by is not None:
            self._undo_reroute(exchange)
            record = self._state.fleet.registry.at_address(event.refused_by)
            if record is not None:
                endpoint_id = record.registration.endpoint_id
                reason = "it refused to join a failover pipeline"
                effects = self._state.suspect(endpoint_id, reason, now)
                return effects + self._reroute(exchange, now)
        return self._cancel_or_keep(exchange, None, now)

    def _reroute(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Replace the failed stages; the others keep their cached tokens."""
        dispatch = exchange.dispatch
        size = exchange.request.size
        if dispatch is None or dispatch.pipeline is None or size is None:
            return []
        if exchange.is_rerouting:
            return []
        failover_pipeline: model.Pipeline | None = None
        may_reroute = (
            exchange.reroute_count < _MAX_REROUTES
            and not self._state.may_crash_another(exchange)
        )
        if may_reroute:
            failover_pipeline = self._state.fleet.find_failover_pipeline(
                exchange.service, size, dispatch.pipeline, now
            )
        if failover_pipeline is None:
            return self._cancel_or_keep(exchange, None, now)
        exchange.is_rerouting = True
        exchange.reroute_count += 1
        exchange.pipeline_before = dispatch.pipeline
        exchange.stages_before = exchange.stages
        self._set_pipeline(exchange, dispatch, failover_pipeline)
        # The first engine is still the one that the request was sent to.
        exchange.stages = (
            exchange.stages[:1]
            + self._state.runs_on(exchange.endpoint_ids)[1:]
        )
        line = events.REQUEST_REROUTED.line(
            request=exchange.request.request_id,
            before=_shared_state.format_pipeline(dispatch.pipeline),
            after=_shared_state.format_pipeline(failover_pipeline),
        )
        reroute = _effects.Reroute(
            exchange.exchange_id,
            exchange.request.request_id,
            dispatch.address,
            failover_pipeline,
            exchange.send_count,
            dispatch.incarnation,
            dispatch.forwarder,
        )
        return [_shared_state.log(line), reroute]

    def _undo_reroute(self, exchange: _exchange.Exchange) -> None:
        """Record that a request is on the pipeline from before a reroute."""
        if exchange.dispatch is None or exchange.pipeline_before is None:
            return
        self._set_pipeline(
            exchange, exchange.dispatch, exchange.pipeline_before
        )
        exchange.stages = exchange.stages_before

    def _set_pipeline(
        self,
        exchange: _exchange.Exchange,
        dispatch: _calls.Dispatch,
        pipeline: model.Pipeline,
    ) -> None:
        self._state.fleet.remove_load(exchange.load)
        exchange.dispatch = dataclasses.replace(dispatch, pipeline=pipeline)
        self._state.fleet.add_load(exchange.load)

    def _cancel_or_keep(
        self,
        exchange: _exchange.Exchange,
        silent_id: model.EndpointId | None,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Cancel an attempt that makes no progress, if that serves the caller.

        It does if the request may run on another endpoint, and one is free.
        Otherwise the attempt goes on, unless one of its endpoints is known to
        have ended.  ``silent_id`` names the first engine if it did not answer.
        """
        if exchange.has_reserved_retry:
            return []
        has_ended = self._has_ended_stage(exchange)
        obstacle = self._reserve_retry(exchange, has_ended, now)
        if has_ended or obstacle is None:
            return [_effects.CancelAttempt(exchange.exchange_id)]
        if exchange.is_kept:
            return []
        exchange.is_kept = True
        line = events.REQUEST_KEPT.line(
            request=exchange.request.request_id,
            endpoint=silent_id or exchange.endpoint_ids[0],
            attempts=exchange.send_count,
            counted=self._state.run_count(exchange) + 1,
            allowed=exchange.route.max_attempts,
            reason=obstacle,
        )
        return [_shared_state.log(line)]

    def _reserve_retry(
        self,
        exchange: _exchange.Exchange,
        has_ended: bool,
        now: datetime.datetime,
    ) -> str | None:
        """Take a retry from the budget, or return what stands against it.

        If the attempt has ended, the retry may wait for an endpoint.
        """
        if not self._state.may_run_again(exchange):
            return "the route allows no further endpoint"
        if self._state.find_cause(exchange.request, now) is not None:
            return "it may crash another endpoint"
        destination = self._find_destination(exchange, now)
        may_wait = has_ended or (
            exchange.dispatch is not None
            and exchange.dispatch.pipeline is None
            and self._is_on_broken_path(exchange, now)
        )
        if destination is None and not may_wait:
            return "no other endpoint is free"
        if not self._state.reserve_retry(exchange, now):
            return "the retry budget is spent"
        if destination is not None:
            self._state.hold(exchange, destination)
        return None

    def _find_destination(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _exchange.Destination | None:
        """Return a pipeline with room that begins with another engine.

        After the last reroute, or on another path, it may begin with the same
        one.  A call of a plain service needs an endpoint on which it has not
        been.
        """
        dispatch = exchange.dispatch
        if dispatch is not None and dispatch.pipeline is None:
            tried = exchange.tried_endpoints.union(exchange.endpoint_ids)
            endpoint = self._state.fleet.choose_endpoint(
                exchange.service, tried, now, permit_wait=None
            )
            if endpoint is None:
                return None
            stages = self._state.runs_on((endpoint.endpoint_id,))
            return _exchange.Destination(endpoint.address, None, stages)
        size = exchange.request.size
        if size is None:
            return None
        candidate = self._state.fleet.find_pipeline(
            exchange.service, size, now, permit_wait=None
        )
        if candidate is None or candidate.cache_utilization > 1.0:
            return None
        first = candidate.pipeline.stages[0]
        if not (
            first.endpoint_id != exchange.endpoint_ids[0]
            or exchange.reroute_count >= _MAX_REROUTES
            or self._is_on_broken_path(exchange, now)
        ):
            return None
        endpoint_ids = tuple(
            stage.endpoint_id for stage in candidate.pipeline.stages
        )
        return _exchange.Destination(
            first.address,
            candidate.pipeline,
            self._state.runs_on(endpoint_ids),
        )

    def _has_ended_stage(self, exchange: _exchange.Exchange) -> bool:
        """Return whether an endpoint of the attempt is known to have ended."""
        return any(map(self._state.has_ended, exchange.stages))
