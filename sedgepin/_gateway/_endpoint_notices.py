"""What endpoints tell this VM in the heads of their answers."""

import datetime

from sedgepin._gateway import _control_connections
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _shared_state
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _rate_limits as rate_limits
from sedgepin import events

Effects = list[_effects.GatewayEffect]


class EndpointNotices:
    """Records the load of endpoints, and heeds what they ask for.

    An endpoint that leaves gets no more requests, and one that asks for a
    pause gets none until it ends.
    """

    __slots__ = ("_connections", "_state")

    def __init__(
        self,
        state: _shared_state.SharedState,
        connections: _control_connections.ControlConnections,
    ) -> None:
        self._state = state
        self._connections = connections

    def handle_answer_head(
        self, event: _events.AnswerHeadReceived, now: datetime.datetime
    ) -> Effects:
        """Record the load of an endpoint, and what it asks of this VM."""
        fleet = self._state.fleet
        endpoint_id, metadata = event.endpoint_id, event.metadata
        incarnation = event.incarnation
        fleet.record_reported_load(endpoint_id, metadata, now, incarnation)
        if incarnation is None:
            record = fleet.registry.find(endpoint_id)
            if record is None:
                return []
            incarnation = record.registration.incarnation
        notice = metadata.notice
        effects: Effects = []
        if notice.is_leaving:
            effects += self.record_leaving(endpoint_id, incarnation)
            if effects:
                message = protocol.EndpointLeaving(endpoint_id, incarnation)
                effects += [
                    _effects.SendMessage(vm_id, message)
                    for vm_id in sorted(self._connections.connected)
                ]
        if notice.pause is not None and fleet.restrictions.record_pause(
            endpoint_id, incarnation, notice.pause, now
        ):
            fleet.invalidate_pipelines()
            line = events.ENDPOINT_PAUSED.line(
                endpoint=endpoint_id,
                incarnation=incarnation,
                milliseconds=_shared_state.milliseconds(notice.pause),
            )
            effects.append(_shared_state.log(line))
        if notice.malformed_pause is not None and (
            fleet.restrictions.record_malformed(endpoint_id, incarnation)
        ):
            line = events.PAUSE_UNREADABLE.line(
                endpoint=endpoint_id,
                incarnation=incarnation,
                value=notice.malformed_pause,
            )
            effects.append(_shared_state.log(line))
        return effects + self._heed_limit(event, incarnation, now)

    def _heed_limit(
        self,
        event: _events.AnswerHeadReceived,
        incarnation: int,
        now: datetime.datetime,
    ) -> Effects:
        """Record the limit of requests that an endpoint names, if it does."""
        limits = self._state.permits.limits
        endpoint_id, notice = event.endpoint_id, event.metadata.notice
        malformed = notice.malformed_request_limit
        if malformed is not None and (
            limits.record_malformed(endpoint_id, incarnation)
        ):
            line = events.LIMIT_UNREADABLE.line(
                endpoint=endpoint_id, incarnation=incarnation, value=malformed
            )
            return [_shared_state.log(line)]
        change = limits.record_answer(
            endpoint_id, incarnation, notice, event.is_check, now
        )
        if change is None:
            return []
        message = protocol.EndpointLimited(
            endpoint_id, incarnation, change.requests_per_second
        )
        told_by = "check" if event.is_check else "answer"
        return self._apply_limit(change, told_by) + [
            _effects.SendMessage(vm_id, message)
            for vm_id in sorted(self._connections.connected)
        ]

    def record_limit(
        self,
        message: protocol.EndpointLimited,
        sender: model.VmId,
        now: datetime.datetime,
    ) -> Effects:
        """Take over what a control VM says of an endpoint's limit."""
        change = self._state.permits.limits.merge(
            message.endpoint_id,
            message.incarnation,
            message.requests_per_second,
            now,
        )
        if change is None:
            return []
        return self._apply_limit(change, sender)

    def limits_for(self, recipient: model.VmId) -> Effects:
        """Tell a control VM that has connected which limits are known here."""
        return [
            _effects.SendMessage(
                recipient,
                protocol.EndpointLimited(
                    endpoint_id, incarnation, limit.requests_per_second
                ),
            )
            for endpoint_id, incarnation, limit in (
                self._state.permits.limits.all()
            )
        ]

    def tick(self) -> None:
        """Forget the limits of endpoints that are gone."""
        rate_limits.remove_ended(
            self._state.permits.limits, self._state.fleet.registry.is_past
        )

    def _apply_limit(
        self, change: rate_limits.LimitChange, told_by: str
    ) -> Effects:
        self._state.fleet.invalidate_pipelines()
        return [_shared_state.log(rate_limits.change_line(change, told_by))]

    def record_leaving(
        self, endpoint_id: model.EndpointId, incarnation: int
    ) -> Effects:
        """Give a leaving endpoint no more requests; log it the first time."""
        fleet = self._state.fleet
        fleet.registry.mark_leaving(endpoint_id, incarnation)
        if not fleet.restrictions.record_leaving(endpoint_id, incarnation):
            return []
        fleet.invalidate_pipelines()
        line = events.ENDPOINT_LEAVING.line(
            endpoint=endpoint_id, incarnation=incarnation
        )
        return [_shared_state.log(line)]
