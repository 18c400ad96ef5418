"""Connects the reducer with gossip, and sends heartbeats and reports."""

import datetime

from sedgepin._entry import _context
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin import _membership as membership
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import events

Effects = list[_effects.EntryEffect]

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=500)
# The model, layers, adapters and role of an endpoint rarely change.  Each
# heartbeat reports the endpoints that changed; the full list is sent at this
# interval.
_FULL_REPORT_INTERVAL = datetime.timedelta(seconds=5)


class MembershipAdapter:
    """Passes gossip in and out, and reports to the control VMs.

    The control VMs get this VM's heartbeats and the endpoints that it knows.
    """

    __slots__ = (
        "_context",
        "_controls",
        "_full_report_at",
        "_heartbeat_at",
        "_reported",
        "_sequence",
        "incarnation",
    )

    def __init__(
        self,
        context: _context.ReducerContext,
        controls: tuple[model.VmId, ...],
        incarnation: model.Incarnation,
    ) -> None:
        self._context = context
        self._controls = controls
        self.incarnation = incarnation
        self._sequence = 0
        self._heartbeat_at: datetime.datetime | None = None
        self._full_report_at: datetime.datetime | None = None
        self._reported: dict[model.EndpointId, model.Announcement] = {}

    def handle_announcement(
        self, event: _events.AnnouncementReceived, now: datetime.datetime
    ) -> Effects:
        """Record an endpoint's announcement and reply to it."""
        gossip_event = membership.AnnouncementReceived(event.announcement)
        return self.handle_gossip_event(gossip_event, now, event.exchange_id)

    def handle_gossip_event(
        self,
        event: membership.Event,
        now: datetime.datetime,
        exchange_id: int = 0,
    ) -> Effects:
        """Pass an event to the gossip node and carry out its effects.

        ``exchange_id`` identifies the announcement to reply to, if any.
        """
        effects: Effects = []
        for effect in self._context.gossip.handle(event, now):
            effects += self._apply_effect(effect, exchange_id, now)
        return effects

    def tick(
        self, is_ready: bool, is_draining: bool, now: datetime.datetime
    ) -> Effects:
        """Send the gossip, the heartbeat and the reports that are due."""
        effects: Effects = []
        if now >= self._context.gossip.wake_at:
            effects += self.handle_gossip_event(membership.TimerFired(), now)
        if self._heartbeat_at is None or now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_INTERVAL
            effects += self._heartbeat(is_ready, is_draining)
            effects += self._report_endpoints(now)
        return effects

    def _heartbeat(self, is_ready: bool, is_draining: bool) -> Effects:
        self._sequence += 1
        heartbeat = membership.VmHeartbeat(
            vm_id=model.VmId(self._context.cfg.id),
            incarnation=self.incarnation,
            sequence=self._sequence,
            note_in_force=self._context.follower.number,
            is_ready=is_ready,
            is_draining=is_draining,
        )
        batch = membership.HeartbeatBatch((heartbeat,))
        message = protocol.HeartbeatsCarried(batch)
        return [
            _effects.SendMessage(control, message)
            for control in self._controls
        ]

    def _report_endpoints(self, now: datetime.datetime) -> Effects:
        if self._full_report_at is None or now >= self._full_report_at:
            self._full_report_at = now + _FULL_REPORT_INTERVAL
            self._reported.clear()
        changed = []
        announcements = self._context.gossip.endpoints.live(now)
        for current in announcements:
            reported = self._reported.get(current.endpoint_id)
            if reported is None or (
                _reported_fields(reported) != _reported_fields(current)
            ):
                self._reported[current.endpoint_id] = current
                changed.append(current)
        if not changed:
            return []
        message = protocol.EndpointsSeen(tuple(changed))
        return [
            _effects.SendMessage(control, message)
            for control in self._controls
        ]

    def _apply_effect(
        self,
        effect: membership.Effect,
        exchange_id: int,
        now: datetime.datetime,
    ) -> Effects:
        match effect:
            case membership.SendGossip(recipient, frame):
                message = protocol.GossipCarried(frame)
                return [_effects.SendMessage(recipient, message)]
            case membership.ReplyToAnnouncement(echo, delay):
                reply = _effects.ReplyAnnouncement(exchange_id, echo, delay)
                return [reply]
            case membership.RefuseAnnouncement(failure):
                line = events.ANNOUNCEMENT_REFUSED.line(
                    failure=failure.detail()
                )
                refusal = _effects.RefuseAnnouncement(exchange_id, failure)
                return [refusal, _effects.WriteLog(line)]
            case membership.ApplyAnnouncement(announcement):
                self._context.router.observe_announcement(announcement, now)
                return self._context.permits.observe(announcement, now)
            case _:
                return self._report(effect)

    def _report(self, effect: membership.Effect) -> Effects:
        match effect:
            case membership.ReportEndpointJoined(endpoint, incarnation):
                definition = events.ENDPOINT_JOINED
            case membership.ReportEndpointLeaving(endpoint, incarnation):
                definition = events.ENDPOINT_LEAVING
                self._forget(endpoint, incarnation)
            case membership.ReportEndpointLost(endpoint, incarnation):
                definition = events.ENDPOINT_LOST
                self._forget(endpoint, incarnation)
            case _:
                return []
        line = definition.line(endpoint=endpoint, incarnation=incarnation)
        return [_effects.WriteLog(line)]

    def _forget(self, endpoint_id: model.EndpointId, incarnation: int) -> None:
        self._context.router.remove_endpoint(endpoint_id)
        self._context.permits.forget(endpoint_id, incarnation)
        self._reported.pop(endpoint_id, None)


def _reported_fields(announcement: model.Announcement) -> tuple[object, ...]:
    """Return the fields whose changes are reported to the control VMs.

    The load is not among them.
    """
    return (
        announcement.incarnation,
        announcement.model,
        announcement.model_version,
        announcement.adapters,
        announcement.layers,
        announcement.role,
        announcement.leaving,
        announcement.address,
        announcement.requests_per_second,
    )
