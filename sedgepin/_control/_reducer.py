"""The reducer of a control VM: every event in, every effect out."""

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
from sedgepin import _release as release
from sedgepin import _state as state
from sedgepin import _storage as storage
from sedgepin import errors
from sedgepin import events
from sedgepin import settings

Effects = list[_effects.ControlEffect]

_PLAN_INTERVAL = datetime.timedelta(milliseconds=200)


class ControlReducer:
    """All decisions of one control VM.

    >>> reducer = ControlReducer(cfg, recovered, random.Random(1), now)
    >>> reducer.handle(TimerFired(), now)
    [Persist(...), SendMessage(...), ...]
    """

    __slots__ = (
        "_cfg",
        "_entries",
        "_batch",
        "_ordering",
        "_plan_at",
        "_proposals",
        "_raft",
        "_roster",
        "state",
    )

    def __init__(
        self,
        cfg: settings.ControlSettings,
        recovered: storage.RecoveredState,
        generator: random.Random,
        now: datetime.datetime,
    ) -> None:
        self._cfg = cfg
        raft_settings = consensus.RaftSettings(
            model.VmId(cfg.id),
            tuple(model.VmId(peer.id) for peer in cfg.controls),
        )
        self._raft = consensus.RaftNode(
            raft_settings, recovered, generator, now
        )
        self._roster = _membership_view.Roster()
        self._proposals = _proposals.Proposals()
        self._ordering = _planner_adapter.Ordering(cfg)
        self._plan_at = now
        self._entries: set[model.VmId] = set()
        self._batch: list[consensus.Proposal] = []
        self.state = state.ControlState()

    @property
    def raft(self) -> consensus.RaftNode:
        """Return the log's member, to read its state."""
        return self._raft

    @property
    def roster(self) -> _membership_view.Roster:
        """Return the VMs and endpoints heard of, to read them."""
        return self._roster

    def handle(
        self, event: _events.ControlEvent, now: datetime.datetime
    ) -> Effects:
        """Take in one event and return what is to be done, in order."""
        made = self._handle(event, now)
        while self._batch:
            proposed = consensus.CommandsProposed(tuple(self._batch))
            self._batch.clear()
            made += self._drive(proposed, now)
        return made

    def _handle(
        self, event: _events.ControlEvent, now: datetime.datetime
    ) -> Effects:
        match event:
            case _events.TimerFired():
                return self._tick(now)
            case protocol.PeerMessageReceived(sender, message):
                return self._message(sender, message, now)
            case _events.OperatorProposed(exchange_id, command):
                waiter = _proposals.OperatorWaits(exchange_id)
                self._propose(command, waiter, now)
                return []
            case _events.OrderAnswered(order, verdict):
                answered = release.OrderAnswered(order, verdict)
                return self._plan(answered, now)
            case protocol.PeerConnected(hello):
                return self._peer_connected(hello, now)
            case protocol.PeerDisconnected(peer_id):
                self._entries.discard(peer_id)
                line = events.PEER_DISCONNECTED.line(peer=peer_id)
                return [_effects.WriteLog(line)]
            case protocol.PeerRefused(address, failure):
                line = events.PEER_REFUSED.line(
                    address=address, failure=failure.detail()
                )
                return [_effects.WriteLog(line)]
            case _events.DrainRequested():
                return self._visit_drain(now)

    def _message(
        self,
        sender: model.VmId,
        message: protocol.PeerMessage,
        now: datetime.datetime,
    ) -> Effects:
        match message:
            case protocol.RaftCarried(carried):
                arrived = consensus.PeerMessageReceived(sender, carried)
                return self._drive(arrived, now)
            case protocol.HeartbeatsCarried(batch):
                return self._watch(self._roster.heartbeats(batch, now), now)
            case protocol.CommandAsked():
                return self._asked(sender, message, now)
            case protocol.FleetWanted(have):
                return self._fleet_for(sender, have, now)
            case protocol.EndpointsSeen():
                self._roster.seen(message, now)
        return []

    def _tick(self, now: datetime.datetime) -> Effects:
        made = self._drive(consensus.TimerFired(), now)
        made += self._watch(self._roster.tick(now), now)
        if now >= self._plan_at:
            self._plan_at = now + _PLAN_INTERVAL
            seen = self._roster.endpoints(now)
            made += self._plan(release.EndpointsObserved(seen), now)
        return made

    def _asked(
        self,
        sender: model.VmId,
        message: protocol.CommandAsked,
        now: datetime.datetime,
    ) -> Effects:
        decoded = state.decode_command(message.command)
        if decoded.is_err():
            failure = decoded.unwrap_err()
            refusal = _proposals.refusal_to_peer(
                sender, message.ask_id, failure
            )
            return [refusal]
        command = decoded.unwrap()
        if not _authorization.may_ask(sender, command):
            not_allowed = _failures.CommandNotAllowed(type(command).__name__)
            refusal = _proposals.refusal_to_peer(
                sender, message.ask_id, not_allowed
            )
            return [refusal]
        waiter = _proposals.PeerWaits(sender, message.ask_id)
        self._propose(command, waiter, now)
        return []

    def _propose(
        self,
        command: state.Command,
        waiter: _proposals.Waiter,
        now: datetime.datetime,
    ) -> None:
        """Put a command into the batch that this event ends with."""
        stamped = state.stamp(command, now)
        self._batch.append(self._proposals.visit(stamped, waiter))

    def _record(
        self,
        kind: state.AuditKind,
        subject: str,
        detail: str,
        now: datetime.datetime,
    ) -> None:
        """Put something that happened here into the audit trail."""
        command = state.RecordEvent(
            at=now,
            actor=self._cfg.id,
            kind=kind,
            subject=subject,
            detail=detail,
        )
        self._propose(command, _proposals.NobodyWaits(), now)

    def _drive(
        self, event: consensus.Event, now: datetime.datetime
    ) -> Effects:
        """Give the log an event and carry out what follows."""
        made: Effects = []
        pending: list[consensus.Event] = [event]
        while pending:
            for effect in self._raft.handle(pending.pop(0), now):
                made += self._carry_out(effect, pending, now)
        return made

    def _carry_out(
        self,
        effect: consensus.Effect,
        pending: list[consensus.Event],
        now: datetime.datetime,
    ) -> Effects:
        match effect:
            case consensus.Persist() | consensus.PersistSnapshot():
                return [effect]
            case consensus.SendMessage(recipient, message):
                carried = protocol.RaftCarried(message)
                return [_effects.SendMessage(recipient, carried)]
            case consensus.ApplyEntry():
                return self._apply(effect, now)
            case consensus.RestoreSnapshot(state=raw):
                self.state = state.ControlState.load(raw).unwrap()
                return self._publish_fleet(now)
            case consensus.RejectProposal(proposal_id, failure):
                return self._proposals.reject(proposal_id, failure)
            case consensus.NotifyLeaderChange():
                return self._change_leadership(effect, now)
            case consensus.RequestSnapshot(index):
                dumped = self.state.dump()
                pending.append(consensus.SnapshotTaken(index, dumped))
                return []
            case consensus.NotifyMemberChange():
                if self._raft.is_leader:
                    self._record(
                        state.AuditKind.MEMBER_CHANGED,
                        "log",
                        _authorization.describe_members(effect.configuration),
                        now,
                    )
                return []

    def _apply(
        self, effect: consensus.ApplyEntry, now: datetime.datetime
    ) -> Effects:
        decoded = state.decode_command(effect.command)
        if isinstance(decoded, result.Err):
            # A command of a later version: passing over it would let this
            # replica's state part from the others'.
            raise errors.FailureRaised(decoded.err_value)
        command = decoded.ok_value
        before = self.state.fleet.note_number
        reply = self.state.apply(effect.index, command)
        made = self._proposals.leave(effect.proposal_id, reply)
        if self.state.fleet.note_number != before:
            fleet = self.state.fleet
            line = events.NOTE_ACCEPTED.line(
                number=fleet.note_number, author=fleet.author
            )
            made.append(_effects.WriteLog(line))
            made.append(_effects.CountMetric("notes_accepted"))
            made += self._publish_fleet(now)
        return made

    def _publish_fleet(self, now: datetime.datetime) -> Effects:
        """Push the fleet to every entry VM that is connected."""
        made: Effects = []
        for entry in sorted(self._entries):
            made += self._fleet_for(entry, -1, now)
        return made + self._plan(release.FleetChanged(self.state.fleet), now)

    def _fleet_for(
        self, peer_id: model.VmId, have: int, now: datetime.datetime
    ) -> Effects:
        fleet = self.state.fleet
        confirmed = self._raft.holds_lease(now)
        raw = b""
        if fleet.note_number > have:
            raw = release.encode_fleet(fleet)
        message = protocol.FleetPublished(fleet.note_number, confirmed, raw)
        return [_effects.SendMessage(peer_id, message)]

    def _peer_connected(
        self, hello: protocol.Hello, now: datetime.datetime
    ) -> Effects:
        self._roster.greeted(hello)
        line = events.PEER_CONNECTED.line(peer=hello.id)
        made: Effects = [_effects.WriteLog(line)]
        if hello.role == "entry":
            self._entries.add(hello.id)
            made += self._fleet_for(hello.id, -1, now)
        return made

    def _change_leadership(
        self, effect: consensus.NotifyLeaderChange, now: datetime.datetime
    ) -> Effects:
        line = events.LEADER_CHANGED.line(
            leader=effect.leader_id, term=effect.term
        )
        made: Effects = [_effects.WriteLog(line)]
        if not effect.is_self:
            self._roster.leave_leadership(now)
            return made + self._plan(release.LeadershipLost(), now)
        made.append(_effects.CountMetric("elections_won"))
        self._roster.visit_leadership(self.state.vms(), now)
        self._configure_writes(now)
        self._record(
            state.AuditKind.LEADER_ELECTED,
            self._cfg.id,
            f"term {effect.term}",
            now,
        )
        made += self._plan(release.FleetChanged(self.state.fleet), now)
        return made + self._plan(release.LeadershipGained(effect.term), now)

    def _configure_writes(self, now: datetime.datetime) -> None:
        """Put this VM's retention of write records in force."""
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
        self._propose(command, _proposals.NobodyWaits(), now)

    def _watch(
        self,
        effects: collections.abc.Iterable[membership.LivenessEffect],
        now: datetime.datetime,
    ) -> Effects:
        made: Effects = []
        nobody = _proposals.NobodyWaits()
        for effect in effects:
            match effect:
                case membership.DeclareJoined():
                    command = self._roster.registration(effect, now)
                    self._propose(command, nobody, now)
                case membership.DeclareLost(vm_id, incarnation):
                    lost = state.DeclareVmLost(
                        at=now,
                        actor=self._cfg.id,
                        vm_id=vm_id,
                        incarnation=incarnation,
                    )
                    self._propose(lost, nobody, now)
                    line = events.VM_LOST.line(vm=vm_id)
                    made.append(_effects.WriteLog(line))
                case membership.NotifyLost(vm_id, incarnation):
                    told = protocol.DeclaredLost(incarnation)
                    made.append(_effects.SendMessage(vm_id, told))
        return made

    def _plan(
        self, event: release.PlannerEvent, now: datetime.datetime
    ) -> Effects:
        """Give the order planner an event and carry out what follows."""
        holds = self._raft.holds_lease(now)
        planned = self._ordering.handle(event, holds, now)
        for command in planned.records:
            self._propose(command, _proposals.NobodyWaits(), now)
        return planned.effects

    def _visit_drain(self, now: datetime.datetime) -> Effects:
        line = _effects.WriteLog(events.PROCESS_DRAINING.line())
        handed = self._drive(consensus.LeadershipTransferRequested(), now)
        return [line, *handed]
