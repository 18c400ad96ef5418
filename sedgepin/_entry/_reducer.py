"""The reducer of an entry VM: takes events and returns effects."""

import datetime
import itertools
import random

import msgspec

from sedgepin import _admission as admission
from sedgepin import _crash_causes as crash_causes
from sedgepin._entry import _admission_controllers
from sedgepin._entry import _command_client
from sedgepin._entry import _context
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _failure_handler
from sedgepin._entry import _fleet
from sedgepin._entry import _generation
from sedgepin._entry import _held_prompts
from sedgepin._entry import _membership_adapter
from sedgepin._entry import _paths
from sedgepin._entry import _permits
from sedgepin._entry import _resumption
from sedgepin._entry import _service_calls
from sedgepin._entry import _trials
from sedgepin import _forwarding as forwarding
from sedgepin import _membership as membership
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _rate_limits as rate_limits
from sedgepin import _routing as routing
from sedgepin import _service_levels as service_levels
from sedgepin import events
from sedgepin import settings

Effects = list[_effects.EntryEffect]


class EntryStatus(msgspec.Struct, frozen=True):
    """The status document of an entry VM, answered on ``/v1/status``."""

    id: str
    note_number: int
    ready: bool
    draining: bool
    open_answers: int
    endpoints: int


class EntryReducer:
    """Makes all decisions of one entry VM.

    ``handle`` takes one event and the current time and returns the effects
    to carry out, in order.  It is deterministic: equal events at equal times
    with equal generators give equal effects.

    >>> reducer = EntryReducer(cfg, incarnation, random.Random(1), now)
    >>> reducer.handle(TimerFired(), now)
    [SendMessage(...), ...]
    """

    __slots__ = (
        "_admission_controllers",
        "_calls",
        "_cfg",
        "_command_client",
        "_connected",
        "_context",
        "_held_prompts",
        "_draining",
        "_failure_handler",
        "_generation",
        "_membership_adapter",
        "_trials",
    )

    def __init__(
        self,
        cfg: settings.EntrySettings,
        incarnation: model.Incarnation,
        generator: random.Random,
        now: datetime.datetime,
        forward_key: str = "",
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
        permits = rate_limits.Permits(own_id, generator)
        permits.entry_count = max(1, len(cfg.entries))
        routing_settings = routing.RoutingSettings(
            data_centre=model.DataCentreId(cfg.data_centre)
        )
        self._context = _context.ReducerContext(
            cfg=cfg,
            follower=follower,
            gossip=gossip,
            router=routing.Router(routing_settings, generator),
            retries=admission.RetryBudget(admission.RetrySettings(), now),
            quarantine=admission.Quarantine(
                own_id, admission.QuarantineSettings()
            ),
            crash_causes=crash_causes.CrashCauseTracker(own_id, now),
            paths=_paths.PathFollower(cfg, gossip, forward_key, generator),
            permits=_permits.PermitClient(permits, controls),
            generator=generator,
            levels=service_levels.ServiceLevels(cfg.id, cfg.data_centre, now),
        )
        self._held_prompts = _held_prompts.HeldPrompts(self._context)
        self._command_client = _command_client.CommandClient(controls)
        self._admission_controllers = (
            _admission_controllers.AdmissionControllers(self._context, now)
        )
        self._generation = _generation.Generation(
            self._context, self._admission_controllers, self._held_prompts
        )
        resumption = _resumption.Resumption(self._context, self._generation)
        self._trials = _trials.TrialRunner(
            self._context, self._generation, resumption, self._command_client
        )
        self._failure_handler = _failure_handler.FailureHandler(
            self._context,
            self._generation,
            resumption,
            self._trials,
            self._held_prompts,
        )
        self._calls = _service_calls.ServiceCalls(
            self._context,
            self._admission_controllers,
            self._command_client,
            incarnation,
        )
        self._membership_adapter = _membership_adapter.MembershipAdapter(
            self._context, controls, incarnation
        )
        self._connected: set[model.VmId] = set()
        self._draining = False

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send requests to this VM."""
        return self._context.follower.fleet is not None and not self._draining

    @property
    def is_idle(self) -> bool:
        """Return whether a shutdown would interrupt no answer or call."""
        return not self._generation.open_answers and self._calls.is_idle

    def knows_endpoint(self, opening: forwarding.OpenForward) -> bool:
        """Return whether another entry VM may have an endpoint connected to.

        Suspicions do not count: the connection shows what is true of them.
        """
        announcement = self._context.gossip.endpoints.find(opening.endpoint_id)
        return announcement is not None and (
            _paths.forwarded_address(announcement.address) == opening.address
        )

    def has_sound_links(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether only an endpoint can be to blame for a failure."""
        return self._context.paths.has_sound_links(endpoint_id, now)

    def status(self, now: datetime.datetime) -> EntryStatus:
        """Return the document for ``/v1/status``."""
        return EntryStatus(
            id=self._cfg.id,
            note_number=self._context.follower.number,
            ready=self.is_ready,
            draining=self._draining,
            open_answers=len(self._generation.open_answers),
            endpoints=len(self._context.gossip.endpoints.live(now)),
        )

    def report_service_levels(
        self, now: datetime.datetime
    ) -> service_levels.Report:
        """Return the document for operators on customers and services."""
        waiting = itertools.chain(
            self._generation.waiting(), self._calls.waiting()
        )
        return self._context.levels.report(waiting, now)

    def handle(
        self, event: _events.EntryEvent, now: datetime.datetime
    ) -> Effects:
        """Handle one event and return the effects to carry out, in order."""
        effects = self._handle_event(event, now)
        if self._generation.quarantine_updates:
            effects += self._trials.apply_quarantine_updates(now)
        return effects + self._context.permits.send_asks()

    def _handle_event(
        self, event: _events.EntryEvent, now: datetime.datetime
    ) -> Effects:
        match event:
            case _events.PieceReceived():
                return self._generation.handle_piece(event, now)
            case _events.EngineHeartbeatReceived():
                return self._generation.handle_heartbeat(event, now)
            case _events.GenerateRequested(request):
                return self._generation.handle_request(request, now)
            case _events.StreamEnded():
                return self._failure_handler.handle_stream_ended(event, now)
            case _events.StreamFailed():
                return self._failure_handler.handle_stream_failed(event, now)
            case _events.ProbeAnswered():
                return self._failure_handler.handle_probe_answered(event, now)
            case _events.ServiceCallRequested(call):
                return self._calls.handle_request(call, now)
            case _events.ServiceAnswered():
                return self._calls.handle_answer(event, now)
            case _events.ServiceFailed():
                return self._calls.handle_failure(event, now)
            case _events.PathProbed():
                return self._context.paths.handle_probed(event, now)
            case _events.CallerDisconnected(request_id):
                return self._handle_caller_disconnected(request_id, now)
            case _events.AnnouncementReceived():
                return self._membership_adapter.handle_announcement(event, now)
            case _events.TimerFired():
                return self._tick(now)
            case _events.DrainRequested():
                return self._start_draining(now)
            case _events.DrainNoticeEnded():
                self._admission_controllers.start_draining(now)
                return []
            case _events.GracePeriodEnded():
                return self._end_open_requests(event, now)
            case _:
                return self._handle_peer_event(event, now)

    def _handle_caller_disconnected(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> Effects:
        answer = self._generation.open_answers.get(request_id)
        if answer is not None:
            return self._generation.handle_caller_disconnected(answer, now)
        return self._calls.handle_caller_disconnected(request_id, now)

    def _handle_peer_event(
        self, event: protocol.PeerEvent, now: datetime.datetime
    ) -> Effects:
        match event:
            case protocol.PeerConnected(hello):
                return self._handle_peer_connected(hello.id, now)
            case protocol.PeerDisconnected(peer_id):
                return self._handle_peer_disconnected(peer_id, now)
            case protocol.PeerMessageReceived(sender, message):
                return self._handle_message(sender, message, now)
            case protocol.PeerRefused(address, failure):
                line = events.PEER_REFUSED.line(
                    address=address, failure=failure.detail()
                )
                return [_effects.WriteLog(line)]

    def _handle_peer_connected(
        self, peer_id: model.VmId, now: datetime.datetime
    ) -> Effects:
        self._connected.add(peer_id)
        self._context.paths.record_connected(peer_id)
        self._command_client.record_connected(peer_id)
        self._context.permits.record_connected(peer_id)
        effects = self._membership_adapter.handle_gossip_event(
            membership.PeerUp(peer_id), now
        )
        for rumour in self._context.quarantine.rumours:
            message = protocol.SuspectRumour(rumour)
            effects.append(_effects.SendMessage(peer_id, message))
        effects += self._held_prompts.snapshot(peer_id)
        line = events.PEER_CONNECTED.line(peer=peer_id)
        return [_effects.WriteLog(line), *effects]

    def _handle_peer_disconnected(
        self, peer_id: model.VmId, now: datetime.datetime
    ) -> Effects:
        self._connected.discard(peer_id)
        self._context.permits.record_disconnected(peer_id)
        self._context.paths.record_disconnected(peer_id)
        effects = self._membership_adapter.handle_gossip_event(
            membership.PeerDown(peer_id), now
        )
        for progress in self._command_client.record_disconnected(peer_id):
            effects += self._calls.write_calls.handle_progress(progress, now)
        line = events.PEER_DISCONNECTED.line(peer=peer_id)
        return [_effects.WriteLog(line), *effects]

    def _handle_message(
        self,
        sender: model.VmId,
        message: protocol.PeerMessage,
        now: datetime.datetime,
    ) -> Effects:
        match message:
            case protocol.GossipCarried(frame):
                gossip_event = membership.GossipReceived(sender, frame)
                return self._membership_adapter.handle_gossip_event(
                    gossip_event, now
                )
            case protocol.CommandAnswered():
                progress = self._command_client.handle_reply(message)
                if progress is None:
                    return []
                return self._calls.write_calls.handle_progress(progress, now)
            case protocol.FleetPublished():
                return self._context.follower.handle_published(message, now)
            case protocol.FleetWanted():
                return self._context.follower.handle_wanted(sender, message)
            case protocol.SuspectRumour(rumour):
                return self._trials.merge_rumour(rumour, now)
            case protocol.CrashesReported(evidence):
                effects = self._held_prompts.merge(evidence, now)
                return effects + self._failure_handler.enforce_causes(now)
            case protocol.ForwardersAsked():
                return self._context.paths.answer_question(sender, now)
            case protocol.ForwardersOffered(forwarders):
                self._context.paths.record_offer(sender, forwarders, now)
                effects = self._failure_handler.resume_waiting(now)
                return effects + self._calls.resume_waiting(now)
            case protocol.PermitAnswered():
                return self._handle_permit(sender, message, now)
            case protocol.DeclaredLost(incarnation):
                self._start_new_incarnation(incarnation)
        return []

    def _handle_permit(
        self,
        sender: model.VmId,
        message: protocol.PermitAnswered,
        now: datetime.datetime,
    ) -> Effects:
        request_id = self._context.permits.take_answer(message, now)
        effects: Effects | None = None
        if request_id is not None:
            effects = self._apply_permit(
                request_id, message.endpoint_id, message.is_granted, now
            )
        if effects is None and message.is_granted:
            return [_permits.returned(message, sender)]
        return effects or []

    def _apply_permit(
        self,
        request_id: model.RequestId,
        endpoint_id: model.EndpointId,
        is_granted: bool,
        now: datetime.datetime,
    ) -> Effects | None:
        """Continue the request that waits; ``None`` if there is none."""
        answer = self._generation.open_answers.get(request_id)
        if answer is not None:
            return self._generation.handle_permit(
                answer, endpoint_id, is_granted, now
            )
        return self._calls.handle_permit(
            request_id, endpoint_id, is_granted, now
        )

    def _resume_unanswered(self, now: datetime.datetime) -> Effects:
        """Go on with requests whose questions for a permit got no answer."""
        effects: Effects = []
        for request_id in self._context.permits.tick(now):
            answer = self._generation.open_answers.get(request_id)
            if answer is None:
                effects += self._calls.retry_permit(request_id, now)
            elif answer.awaited_pipeline is not None:
                effects += self._generation.start_elsewhere(
                    answer, answer.awaited_pipeline, now
                )
        return effects

    def _start_new_incarnation(self, lost: model.Incarnation) -> None:
        """Continue under a new incarnation after one was declared lost.

        Writes under way are settled under the incarnation that they began
        with.
        """
        if lost != self._membership_adapter.incarnation:
            return
        next_incarnation = model.Incarnation(lost + 1)
        self._membership_adapter.incarnation = next_incarnation
        self._calls.write_calls.change_incarnation(next_incarnation)

    def _tick(self, now: datetime.datetime) -> Effects:
        connected = frozenset(self._connected)
        effects = self._context.follower.tick(connected, now)
        effects += self._membership_adapter.tick(
            self.is_ready, self._draining, now
        )
        effects += self._generation.apply_decisions(
            self._admission_controllers.tick(now), now
        )
        effects += self._context.paths.tick(now)
        effects += self._resume_unanswered(now)
        effects += self._failure_handler.tick(now)
        effects += self._held_prompts.tick(now)
        effects += self._calls.tick(now)
        effects += self._generation.check_pauses(now)
        self._context.levels.tick(now)
        return effects

    def _start_draining(self, now: datetime.datetime) -> Effects:
        if self._draining:
            return []
        self._draining = True
        self._context.paths.is_draining = True
        return [_effects.WriteLog(events.PROCESS_DRAINING.line())]

    def _end_open_requests(
        self, event: _events.GracePeriodEnded, now: datetime.datetime
    ) -> Effects:
        """Answer all that is open, which the end of the process would cut."""
        self._admission_controllers.start_draining(now)
        open_count = len(self._generation.open_answers) + self._calls.count
        effects = self._generation.end_all(now) + self._calls.end_all(now)
        line = events.DRAIN_ENDED.line(
            cut_requests=open_count,
            cut_forwards=event.open_forwards,
            unread_requests=event.unread_requests,
        )
        return [*effects, _effects.WriteLog(line)]
