"""Endpoints' announcements and this VM's own heartbeats."""

import datetime

from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _surroundings
from sedgepin import _membership as membership
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import events

Effects = list[_effects.EntryEffect]

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=500)
# Endpoints change what they hold seldom; the leader is told the whole list
# as often as this, and of those that changed at every heartbeat.
_FULL_REPORT_INTERVAL = datetime.timedelta(seconds=5)


class MembershipGlue:
    """Carries gossip in and out, and tells the control VMs what is here."""

    __slots__ = (
        "_around",
        "_controls",
        "_full_report_at",
        "_heartbeat_at",
        "_sequence",
        "_told",
        "incarnation",
    )

    def __init__(
        self,
        around: _surroundings.Surroundings,
        controls: tuple[model.VmId, ...],
        incarnation: model.Incarnation,
    ) -> None:
        self._around = around
        self._controls = controls
        self.incarnation = incarnation
        self._sequence = 0
        self._heartbeat_at: datetime.datetime | None = None
        self._full_report_at: datetime.datetime | None = None
        self._told: dict[model.EndpointId, model.Announcement] = {}

    def announced(
        self, event: _events.AnnouncementArrived, now: datetime.datetime
    ) -> Effects:
        """Take in an announcement and answer it."""
        heard = membership.AnnouncementReceived(event.announcement)
        return self.gossip_event(heard, now, event.exchange_id)

    def gossip_event(
        self,
        event: membership.Event,
        now: datetime.datetime,
        exchange_id: int = 0,
    ) -> Effects:
        """Give the directory an event and carry out what follows."""
        made: Effects = []
        for effect in self._around.gossip.handle(event, now):
            made += self._carry_out(effect, exchange_id, now)
        return made

    def tick(
        self, is_ready: bool, is_draining: bool, now: datetime.datetime
    ) -> Effects:
        """Send what is due."""
        made: Effects = []
        if now >= self._around.gossip.wake_at:
            made += self.gossip_event(membership.TimerFired(), now)
        if self._heartbeat_at is None or now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_INTERVAL
            made += self._heartbeat(is_ready, is_draining)
            made += self._report_endpoints(now)
        return made

    def _heartbeat(self, is_ready: bool, is_draining: bool) -> Effects:
        self._sequence += 1
        heartbeat = membership.VmHeartbeat(
            vm_id=model.VmId(self._around.cfg.id),
            incarnation=self.incarnation,
            sequence=self._sequence,
            note_in_force=self._around.follower.number,
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
            self._told.clear()
        changed = []
        known = self._around.gossip.endpoints.live(now)
        for announced in known:
            told = self._told.get(announced.endpoint_id)
            if told is None or _holdings(told) != _holdings(announced):
                self._told[announced.endpoint_id] = announced
                changed.append(announced)
        if not changed:
            return []
        message = protocol.EndpointsSeen(tuple(changed))
        return [
            _effects.SendMessage(control, message)
            for control in self._controls
        ]

    def _carry_out(
        self,
        effect: membership.Effect,
        exchange_id: int,
        now: datetime.datetime,
    ) -> Effects:
        match effect:
            case membership.SendGossip(recipient, frame):
                message = protocol.GossipCarried(frame)
                return [_effects.SendMessage(recipient, message)]
            case membership.ReplyToAnnouncement(echo, again):
                reply = _effects.ReplyAnnouncement(exchange_id, echo, again)
                return [reply]
            case membership.RefuseAnnouncement(failure):
                line = events.ANNOUNCEMENT_REFUSED.line(
                    failure=failure.detail()
                )
                refusal = _effects.RefuseAnnouncement(exchange_id, failure)
                return [refusal, _effects.WriteLog(line)]
            case membership.ApplyAnnouncement(announcement):
                self._around.router.observe_announcement(announcement, now)
                return []
            case _:
                return self._report(effect)

    def _report(self, effect: membership.Effect) -> Effects:
        match effect:
            case membership.ReportEndpointJoined(endpoint, incarnation):
                definition = events.ENDPOINT_JOINED
            case membership.ReportEndpointLeaving(endpoint, incarnation):
                definition = events.ENDPOINT_LEAVING
                self._forget(endpoint)
            case membership.ReportEndpointLost(endpoint, incarnation):
                definition = events.ENDPOINT_LOST
                self._forget(endpoint)
            case _:
                return []
        line = definition.line(endpoint=endpoint, incarnation=incarnation)
        return [_effects.WriteLog(line)]

    def _forget(self, endpoint_id: model.EndpointId) -> None:
        self._around.router.forget_endpoint(endpoint_id)
        self._told.pop(endpoint_id, None)


def _holdings(announced: model.Announcement) -> tuple[object, ...]:
    """Return what matters to the control VMs; load does not."""
    return (
        announced.incarnation,
        announced.model,
        announced.model_version,
        announced.adapters,
        announced.layers,
        announced.role,
        announced.leaving,
        announced.address,
    )
