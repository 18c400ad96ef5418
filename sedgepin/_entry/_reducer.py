"""The reducer of an entry VM: every event in, every effect out."""

import datetime
import random

import msgspec

from sedgepin import _admission as admission
from sedgepin._entry import _control_asks
from sedgepin._entry import _doors
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _fleet
from sedgepin._entry import _generation
from sedgepin._entry import _losses
from sedgepin._entry import _membership_glue
from sedgepin._entry import _resumption
from sedgepin._entry import _service_calls
from sedgepin._entry import _surroundings
from sedgepin._entry import _trials
from sedgepin import _membership as membership
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _routing as routing
from sedgepin import events
from sedgepin import settings

Effects = list[_effects.EntryEffect]


class EntryStatus(msgspec.Struct, frozen=True):
    """What an entry VM tells of itself."""

    id: str
    note_number: int
    ready: bool
    draining: bool
    open_answers: int
    endpoints: int


class EntryReducer:
    """All decisions of one entry VM.

    ``handle`` takes one event at an instant and returns what is to be done,
    in order.  Equal events at equal instants with equal generators give
    equal effects.

    >>> reducer = EntryReducer(cfg, incarnation, random.Random(1), now)
    >>> reducer.handle(TimerFired(), now)
    [SendMessage(...), ...]
    """

    __slots__ = (
        "_asks",
        "_around",
        "_calls",
        "_cfg",
        "_connected",
        "_doors",
        "_drain_ends_at",
        "_draining",
        "_generation",
        "_glue",
        "_losses",
        "_trials",
    )

    def __init__(
        self,
        cfg: settings.EntrySettings,
        incarnation: model.Incarnation,
        generator: random.Random,
        now: datetime.datetime,
    ) -> None:
        self._cfg = cfg
        controls = tuple(model.VmId(peer.id) for peer in cfg.controls)
        entries = {model.VmId(peer.id) for peer in cfg.entries}
        own_id = model.VmId(cfg.id)
        gossip = membership.GossipNode(
            own_id,
            incarnation,
            tuple(sorted(entries | {own_id})),
            membership.MembershipSettings(),
            generator,
            now,
        )
        follower = _fleet.FleetFollower(
            frozenset(controls),
            frozenset(entries - {own_id}),
            generator,
            now,
        )
        routing_settings = routing.RoutingSettings(
            data_centre=model.DataCentreId(cfg.data_centre)
        )
        self._around = _surroundings.Surroundings(
            cfg=cfg,
            follower=follower,
            gossip=gossip,
            router=routing.Router(routing_settings, generator),
            retries=admission.RetryBudget(admission.RetrySettings(), now),
            quarantine=admission.Quarantine(
                own_id, admission.QuarantineSettings()
            ),
            generator=generator,
        )
        self._asks = _control_asks.ControlAsks(controls)
        self._doors = _doors.Doors(self._around, now)
        self._generation = _generation.Generation(self._around, self._doors)
        resumption = _resumption.Resumption(self._around, self._generation)
        self._trials = _trials.Trials(
            self._around, self._generation, resumption, self._asks
        )
        self._losses = _losses.Losses(
            self._around, self._generation, resumption, self._trials
        )
        self._calls = _service_calls.ServiceCalls(
            self._around, self._doors, self._asks, incarnation
        )
        self._glue = _membership_glue.MembershipGlue(
            self._around, controls, incarnation
        )
        self._connected: set[model.VmId] = set()
        self._draining = False
        self._drain_ends_at: datetime.datetime | None = None

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer may send work here."""
        return self._around.follower.fleet is not None and not self._draining

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is under way that a shutdown would cut."""
        return not self._generation.open and self._calls.is_idle

    def status(self, now: datetime.datetime) -> EntryStatus:
        """Return what ``/v1/status`` tells."""
        return EntryStatus(
            id=self._cfg.id,
            note_number=self._around.follower.number,
            ready=self.is_ready,
            draining=self._draining,
            open_answers=len(self._generation.open),
            endpoints=len(self._around.gossip.endpoints.known(now)),
        )

    def handle(
        self, event: _events.EntryEvent, now: datetime.datetime
    ) -> Effects:
        """Take in one event and return what is to be done, in order."""
        made = self._handle(event, now)
        if self._generation.follow_ups:
            made += self._trials.follow_up(now)
        return made

    def _handle(
        self, event: _events.EntryEvent, now: datetime.datetime
    ) -> Effects:
        match event:
            case _events.PieceArrived():
                return self._generation.piece(event, now)
            case _events.EngineHeartbeatArrived():
                return self._generation.heartbeat(event, now)
            case _events.GenerateRequested(request):
                return self._generation.request(request, now)
            case _events.StreamEnded():
                return self._losses.stream_ended(event, now)
            case _events.StreamFailed():
                return self._losses.stream_failed(event, now)
            case _events.ProbeAnswered():
                return self._losses.probe_answered(event, now)
            case _events.ServiceCallRequested(call):
                return self._calls.request(call, now)
            case _events.ServiceAnswered():
                return self._calls.answered(event, now)
            case _events.ServiceFailed():
                return self._calls.failed(event, now)
            case _events.CallerLeft(request_id):
                return self._caller_left(request_id, now)
            case _events.AnnouncementArrived():
                return self._glue.announced(event, now)
            case _events.TimerFired():
                return self._tick(now)
            case _events.DrainRequested():
                return self._visit_drain(now)
            case _:
                return self._peer_event(event, now)

    def _caller_left(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> Effects:
        answer = self._generation.open.get(request_id)
        if answer is not None:
            return self._generation.close(answer, False, now)
        return self._calls.caller_left(request_id, now)

    def _peer_event(
        self, event: protocol.PeerEvent, now: datetime.datetime
    ) -> Effects:
        match event:
            case protocol.PeerConnected(hello):
                return self._peer_connected(hello.id, now)
            case protocol.PeerDisconnected(peer_id):
                return self._peer_disconnected(peer_id, now)
            case protocol.PeerMessageReceived(sender, message):
                return self._message(sender, message, now)
            case protocol.PeerRefused(address, failure):
                line = events.PEER_REFUSED.line(
                    address=address, failure=failure.detail()
                )
                return [_effects.WriteLog(line)]

    def _peer_connected(
        self, peer_id: model.VmId, now: datetime.datetime
    ) -> Effects:
        self._connected.add(peer_id)
        self._asks.connected(peer_id)
        made = self._glue.gossip_event(membership.PeerUp(peer_id), now)
        for rumour in self._around.quarantine.rumours:
            message = protocol.SuspectRumour(rumour)
            made.append(_effects.SendMessage(peer_id, message))
        line = events.PEER_CONNECTED.line(peer=peer_id)
        return [_effects.WriteLog(line), *made]

    def _peer_disconnected(
        self, peer_id: model.VmId, now: datetime.datetime
    ) -> Effects:
        self._connected.discard(peer_id)
        made = self._glue.gossip_event(membership.PeerDown(peer_id), now)
        for progress in self._asks.disconnected(peer_id):
            made += self._calls.write_calls.control_progress(progress, now)
        line = events.PEER_DISCONNECTED.line(peer=peer_id)
        return [_effects.WriteLog(line), *made]

    def _message(
        self,
        sender: model.VmId,
        message: protocol.PeerMessage,
        now: datetime.datetime,
    ) -> Effects:
        match message:
            case protocol.GossipCarried(frame):
                arrived = membership.GossipArrived(sender, frame)
                return self._glue.gossip_event(arrived, now)
            case protocol.CommandAnswered():
                progress = self._asks.answered(message)
                if progress is None:
                    return []
                return self._calls.write_calls.control_progress(progress, now)
            case protocol.FleetPublished():
                return self._around.follower.published(message, now)
            case protocol.FleetWanted():
                return self._around.follower.wanted(sender, message)
            case protocol.SuspectRumour(rumour):
                return self._trials.merge_rumour(rumour, now)
            case protocol.DeclaredLost(incarnation):
                self._declared_lost(incarnation)
        return []

    def _declared_lost(self, incarnation: model.Incarnation) -> None:
        """Begin another life for what comes; what is under way goes on."""
        if incarnation != self._glue.incarnation:
            return
        following = model.Incarnation(incarnation + 1)
        self._glue.incarnation = following
        self._calls.write_calls.change_incarnation(following)

    def _tick(self, now: datetime.datetime) -> Effects:
        connected = frozenset(self._connected)
        made = self._around.follower.tick(connected, now)
        made += self._glue.tick(self.is_ready, self._draining, now)
        made += self._generation.decide(self._doors.tick(now), now)
        made += self._losses.tick(now)
        made += self._calls.tick(now)
        if self._drain_ends_at is not None and now >= self._drain_ends_at:
            self._drain_ends_at = None
            self._doors.visit_drain(now)
        return made

    def _visit_drain(self, now: datetime.datetime) -> Effects:
        if self._draining:
            return []
        self._draining = True
        notice = datetime.timedelta(seconds=self._cfg.drain.notice_seconds)
        self._drain_ends_at = now + notice
        return [_effects.WriteLog(events.PROCESS_DRAINING.line())]
