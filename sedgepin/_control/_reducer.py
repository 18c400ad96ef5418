"""The reducer of a control VM: events in, effects out."""

import collections.abc
import datetime
import random

import msgspec
import result

from sedgepin import _consensus as consensus
from sedgepin._control import _authorization
from sedgepin._control import _effects
from sedgepin._control import _events
from sedgepin._control import _failures
from sedgepin._control import _membership_view
from sedgepin._control import _planner_adapter
from sedgepin._control import _proposals
from sedgepin import _membership as membership
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _rate_limits as rate_limits
from sedgepin import _release as release
from sedgepin import _state as state
from sedgepin import _storage as storage
from sedgepin import errors
from sedgepin import events
from sedgepin import settings

Effects = list[_effects.ControlEffect]

_PLAN_INTERVAL = datetime.timedelta(milliseconds=200)


class ControlReducer:
    """All decisions of one control VM, without any input or output.

    >>> reducer = ControlReducer(cfg, recovered, random.Random(1), now)
    >>> reducer.handle(TimerFired(), now)
    [Persist(...), SendMessage(...), ...]
    """

    __slots__ = (
        "_cfg",
        "_disk_filled_at",
        "_entry_vms",
        "_proposal_batch",
        "_planner_adapter",
        "_next_plan_at",
        "_permits",
        "_request_limits",
        "_proposals",
        "_raft",
        "_membership_view",
        "state",
    )

    def __init__(
        self,
        cfg: settings.ControlSettings,
        recovered: storage.RecoveredState,
        rng: random.Random,
        now: datetime.datetime,
    ) -> None:
        self._cfg = cfg
        raft_settings = consensus.RaftSettings(
            model.VmId(cfg.id),
            tuple(model.VmId(peer.id) for peer in cfg.controls),
        )
        self._raft = consensus.RaftNode(raft_settings, recovered, rng, now)
        self._membership_view = _membership_view.MembershipView()
        self._proposals = _proposals.Proposals()
        self._planner_adapter = _planner_adapter.PlannerAdapter(cfg)
        self._next_plan_at = now
        self._disk_filled_at = now
        self._entry_vms: set[model.VmId] = set()
        self._request_limits = rate_limits.RequestLimits()
        self._permits = rate_limits.PermitCoordinator(
            self._request_limits, self._entry_vms
        )
        self._proposal_batch: list[consensus.Proposal] = []
        self.state = state.ControlState()

    @property
    def raft(self) -> consensus.RaftNode:
        """Return the Raft node; callers only read its state."""
        return self._raft

    @property
    def membership_view(self) -> _membership_view.MembershipView:
        """Return the view of VMs and endpoints; callers only read it."""
        return self._membership_view

    def handle(
        self, event: _events.ControlEvent, now: datetime.datetime
    ) -> Effects:
        """Apply an event and return the effects to carry out, in order.

        Commands that the event leads to are proposed as one batch.
        """
        effects = self._dispatch(event, now)
        while self._proposal_batch:
            proposed = consensus.CommandsProposed(tuple(self._proposal_batch))
            self._proposal_batch.clear()
            effects += self._handle_raft_event(proposed, now)
        return effects

    def _dispatch(
        self, event: _events.ControlEvent, now: datetime.datetime
    ) -> Effects:
        match event:
            case _events.TimerFired():
                return self._tick(now)
            case protocol.PeerMessageReceived(sender, message):
                return self._handle_message(sender, message, now)
            case _events.OperatorProposed(exchange_id, command):
                origin = _proposals.OperatorOrigin(exchange_id)
                self._propose(command, origin, now)
                return []
            case _events.OrderCompleted(order, outcome):
                completed = release.OrderCompleted(order, outcome)
                return self._plan(completed, now)
            case protocol.PeerConnected(hello):
                return self._peer_connected(hello, now)
            case protocol.PeerDisconnected(peer_id):
                self._entry_vms.discard(peer_id)
                line = events.PEER_DISCONNECTED.line(peer=peer_id)
                return [_effects.WriteLog(line)]
            case protocol.PeerRefused(address, failure):
                line = events.PEER_REFUSED.line(
                    address=address, failure=failure.detail()
                )
                return [_effects.WriteLog(line)]
            case _events.DiskFilled(failure):
                return self._suspend_log(failure, now)
            case _events.DiskFreed():
                return self._resume_log(now)
            case _events.DrainRequested():
                return self._start_draining(now)

    def _handle_message(
        self,
        sender: model.VmId,
        message: protocol.PeerMessage,
        now: datetime.datetime,
    ) -> Effects:
        match message:
            case protocol.RaftCarried(raft_message):
                received = consensus.PeerMessageReceived(sender, raft_message)
                return self._handle_raft_event(received, now)
            case protocol.HeartbeatsCarried(batch):
                return self._handle_liveness(
                    self._membership_view.record_heartbeats(batch, now), now
                )
            case protocol.CommandAsked():
                return self._handle_command(sender, message, now)
            case protocol.FleetWanted(peer_note_number):
                return self._fleet_effects(sender, peer_note_number, now)
            case protocol.EndpointsSeen():
                self._membership_view.record_endpoints(message, now)
                self._heed_limits(message, now)
            case protocol.PermitAsked():
                return _send_all(
                    self._permits.ask(
                        sender, message, self._leadership(now), now
                    )
                )
            case protocol.PermitAnswered():
                return _send_all(
                    self._permits.pass_on(message, self._leadership(now))
                )
            case protocol.PermitReturned():
                return _send_all(
                    self._permits.take_back(
                        message, self._leadership(now), now
                    )
                )
        return []

    def _leadership(self, now: datetime.datetime) -> rate_limits.Leadership:
        return rate_limits.Leadership(
            self._raft.holds_lease(now), self._raft.leader_id
        )

    def _heed_limits(
        self, message: protocol.EndpointsSeen, now: datetime.datetime
    ) -> None:
        """Heed the limits that endpoints name, by their latest word."""
        for announcement in message.announcements:
            latest = self._membership_view.find(announcement.endpoint_id)
            if latest is not None:
                self._request_limits.merge(
                    latest.endpoint_id,
                    latest.incarnation,
                    latest.requests_per_second,
                    now,
                )

    def _tick(self, now: datetime.datetime) -> Effects:
        raft_effects = self._handle_raft_event(consensus.TimerFired(), now)
        effects = self._handle_liveness(self._membership_view.tick(now), now)
        effects += _send_all(self._permits.tick(self._leadership(now), now))
        if now >= self._next_plan_at:
            self._next_plan_at = now + _PLAN_INTERVAL
            announcements = self._membership_view.endpoints(now)
            rate_limits.remove_ended(
                self._request_limits, self._membership_view.is_past
            )
            effects += self._plan(
                release.EndpointsObserved(announcements), now
            )
        # A write may have to wait, with all effects after it.
        return effects + raft_effects

    def _suspend_log(self, failure: str, now: datetime.datetime) -> Effects:
        self._disk_filled_at = now
        line = events.LOG_SUSPENDED.line(
            was_leader=self._raft.is_leader,
            term=self._raft.term,
            commit_index=self._raft.commit_index,
            last_index=self._raft.last_index,
        )
        effects: Effects = [
            _effects.WriteLog(events.DISK_FULL.line(failure=failure)),
            _effects.WriteLog(line),
        ]
        return effects + self._handle_raft_event(
            consensus.StorageFilled(), now
        )

    def _resume_log(self, now: datetime.datetime) -> Effects:
        seconds = (now - self._disk_filled_at).total_seconds()
        line = events.LOG_RESUMED.line(
            leader=self._raft.leader_id,
            term=self._raft.term,
            commit_index=self._raft.commit_index,
            last_index=self._raft.last_index,
        )
        has_room = events.DISK_HAS_ROOM.line(seconds=round(seconds, 1))
        effects: Effects = [
            _effects.WriteLog(has_room),
            _effects.WriteLog(line),
        ]
        return effects + self._handle_raft_event(consensus.StorageFreed(), now)

    def _handle_command(
        self,
        sender: model.VmId,
        message: protocol.CommandAsked,
        now: datetime.datetime,
    ) -> Effects:
        decoded = state.decode_command(message.command)
        if decoded.is_err():
            failure = decoded.unwrap_err()
            refusal = _proposals.error_reply(sender, message.ask_id, failure)
            return [refusal]
        command = decoded.unwrap()
        if not _authorization.may_propose(sender, command):
            not_allowed = _failures.CommandNotAllowed(type(command).__name__)
            refusal = _proposals.error_reply(
                sender, message.ask_id, not_allowed
            )
            return [refusal]
        origin = _proposals.PeerOrigin(sender, message.ask_id)
        self._propose(command, origin, now)
        return []

    def _propose(
        self,
        command: state.Command,
        origin: _proposals.ProposalOrigin,
        now: datetime.datetime,
    ) -> None:
        """Add a command to the batch proposed at the end of this event."""
        stamped = state.stamp(command, now)
        self._proposal_batch.append(self._proposals.add(stamped, origin))

    def _record_event(
        self,
        audit_kind: state.AuditKind,
        subject: str,
        detail: str,
        now: datetime.datetime,
    ) -> None:
        """Propose an audit record of an event at this VM."""
        command = state.RecordEvent(
            at=now,
            actor=self._cfg.id,
            kind=audit_kind,
            subject=subject,
            detail=detail,
        )
        self._propose(command, _proposals.InternalOrigin(), now)

    def _handle_raft_event(
        self, event: consensus.Event, now: datetime.datetime
    ) -> Effects:
        """Pass an event to the Raft node and carry out its effects."""
        effects: Effects = []
        pending: list[consensus.Event] = [event]
        while pending:
            for effect in self._raft.handle(pending.pop(0), now):
                effects += self._apply_effect(effect, pending, now)
        return effects

    def _apply_effect(
        self,
        effect: consensus.Effect,
        pending: list[consensus.Event],
        now: datetime.datetime,
    ) -> Effects:
        match effect:
            case consensus.Persist() | consensus.PersistSnapshot():
                return [effect]
            case consensus.SendMessage(recipient, message):
                peer_message = protocol.RaftCarried(message)
                return [_effects.SendMessage(recipient, peer_message)]
            case consensus.ApplyEntry():
                return self._apply_entry(effect, now)
            case consensus.RestoreSnapshot(state=raw):
                self.state = state.ControlState.load(raw).unwrap()
                return self._publish_fleet(now)
            case consensus.RejectProposal(proposal_id, failure):
                return self._proposals.reject(proposal_id, failure)
            case consensus.NotifyLeaderChange():
                return self._handle_leadership_change(effect, now)
            case consensus.RequestSnapshot(index):
                dumped = self.state.dump()
                pending.append(consensus.SnapshotTaken(index, dumped))
                return []
            case consensus.NotifyMemberChange():
                if self._raft.is_leader:
                    self._record_event(
                        state.AuditKind.MEMBER_CHANGED,
                        "log",
                        _authorization.describe_members(effect.configuration),
                        now,
                    )
                return []

    def _apply_entry(
        self, effect: consensus.ApplyEntry, now: datetime.datetime
    ) -> Effects:
        decoded = state.decode_command(effect.command)
        if isinstance(decoded, result.Err):
            # A command of a later version: skipping it would let the state of
            # this replica diverge from that of the others.
            raise errors.FailureRaised(decoded.err_value)
        command = decoded.ok_value
        previous_note_number = self.state.fleet.note_number
        reply = self.state.apply(effect.index, command)
        effects = self._proposals.complete(effect.proposal_id, reply)
        if self.state.fleet.note_number != previous_note_number:
            fleet = self.state.fleet
            line = events.NOTE_ACCEPTED.line(
                number=fleet.note_number, author=fleet.author
            )
            effects.append(_effects.WriteLog(line))
            effects.append(_effects.CountMetric("notes_accepted"))
            effects += self._publish_fleet(now)
        return effects

    def _publish_fleet(self, now: datetime.datetime) -> Effects:
        """Send the fleet to every connected entry VM and to the planner."""
        effects: Effects = []
        for entry in sorted(self._entry_vms):
            effects += self._fleet_effects(entry, -1, now)
        return effects + self._plan(
            release.FleetChanged(self.state.fleet), now
        )

    def _fleet_effects(
        self,
        peer_id: model.VmId,
        peer_note_number: int,
        now: datetime.datetime,
    ) -> Effects:
        fleet = self.state.fleet
        is_confirmed = self._raft.holds_lease(now)
        raw = b""
        if fleet.note_number > peer_note_number:
            raw = release.encode_fleet(fleet)
        message = protocol.FleetPublished(fleet.note_number, is_confirmed, raw)
        return [_effects.SendMessage(peer_id, message)]

    def _peer_connected(
        self, hello: protocol.Hello, now: datetime.datetime
    ) -> Effects:
        self._membership_view.record_hello(hello)
        line = events.PEER_CONNECTED.line(peer=hello.id)
        effects: Effects = [_effects.WriteLog(line)]
        if hello.role == "entry":
            self._entry_vms.add(hello.id)
            effects += self._fleet_effects(hello.id, -1, now)
        return effects

    def _handle_leadership_change(
        self, effect: consensus.NotifyLeaderChange, now: datetime.datetime
    ) -> Effects:
        line = events.LEADER_CHANGED.line(
            leader=effect.leader_id, term=effect.term
        )
        effects: Effects = [_effects.WriteLog(line)]
        if not effect.is_self:
            self._membership_view.lose_leadership(now)
            return effects + self._plan(release.LeadershipLost(), now)
        effects.append(_effects.CountMetric("elections_won"))
        self._membership_view.gain_leadership(self.state.vms(), now)
        self._configure_write_retention(now)
        self._record_event(
            state.AuditKind.LEADER_ELECTED,
            self._cfg.id,
            f"term {effect.term}",
            now,
        )
        effects += self._plan(release.FleetChanged(self.state.fleet), now)
        return effects + self._plan(release.LeadershipGained(effect.term), now)

    def _configure_write_retention(self, now: datetime.datetime) -> None:
        """Propose this VM's retention of write records, if it differs."""
        policy = self.state.write_policy
        hours = self._cfg.write_retention_hours
        retention = datetime.timedelta(hours=hours)
        if policy.retention == retention:
            return
        command = state.ConfigureWrites(
            at=now,
            actor=self._cfg.id,
            policy=msgspec.structs.replace(policy, retention=retention),
        )
        self._propose(command, _proposals.InternalOrigin(), now)

    def _handle_liveness(
        self,
        liveness_effects: collections.abc.Iterable[membership.LivenessEffect],
        now: datetime.datetime,
    ) -> Effects:
        effects: Effects = []
        internal = _proposals.InternalOrigin()
        for effect in liveness_effects:
            match effect:
                case membership.DeclareJoined():
                    command = self._membership_view.registration_command(
                        effect, now
                    )
                    self._propose(command, internal, now)
                case membership.DeclareLost(vm_id, incarnation):
                    lost = state.DeclareVmLost(
                        at=now,
                        actor=self._cfg.id,
                        vm_id=vm_id,
                        incarnation=incarnation,
                    )
                    self._propose(lost, internal, now)
                    line = events.VM_LOST.line(vm=vm_id)
                    effects.append(_effects.WriteLog(line))
                case membership.NotifyLost(vm_id, incarnation):
                    notice = protocol.DeclaredLost(incarnation)
                    effects.append(_effects.SendMessage(vm_id, notice))
        return effects

    def _plan(
        self, event: release.PlannerEvent, now: datetime.datetime
    ) -> Effects:
        """Pass an event to the order planner and propose its commands."""
        holds_lease = self._raft.holds_lease(now)
        planner_result = self._planner_adapter.handle(event, holds_lease, now)
        for command in planner_result.commands:
            self._propose(command, _proposals.InternalOrigin(), now)
        return planner_result.effects

    def _start_draining(self, now: datetime.datetime) -> Effects:
        line = _effects.WriteLog(events.PROCESS_DRAINING.line())
        transfer = self._handle_raft_event(
            consensus.LeadershipTransferRequested(), now
        )
        return [line, *transfer]


def _send_all(messages: list[rate_limits.PermitMessage]) -> Effects:
    return [
        _effects.SendMessage(item.recipient, item.message) for item in messages
    ]
