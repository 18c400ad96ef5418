"""The reducer of one Raft member."""

import datetime
import random

from sedgepin._consensus import _bootstrap
from sedgepin._consensus import _core
from sedgepin._consensus import _effects
from sedgepin._consensus import _election
from sedgepin._consensus import _events
from sedgepin._consensus import _failures
from sedgepin._consensus import _follower
from sedgepin._consensus import _leadership
from sedgepin._consensus import _messages
from sedgepin._consensus import _settings
from sedgepin._consensus import _suspension
from sedgepin import _model as model
from sedgepin import _storage as storage

_ANY_DISK = 0
_InitiatingMessage = (
    _messages.VoteRequest | _messages.AppendRequest | _messages.SnapshotChunk
)


class RaftNode:
    """One member of the Raft group: events in, effects out.

    >>> vm = model.VmId("vm-1")
    >>> cfg = _settings.RaftSettings(vm, (vm,))
    >>> start = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    >>> recovered = storage.LogStore(storage.MemoryDisk()).open().unwrap()
    >>> node = RaftNode(cfg, recovered, random.Random(1), start)
    >>> effects = node.handle(_events.TimerFired(), start)
    >>> effects = node.handle(_events.TimerFired(), start)
    >>> node.is_leader, node.holds_lease(start)
    (True, True)
    """

    __slots__ = (
        "_bootstrap",
        "_core",
        "_election",
        "_follower",
        "_has_started",
        "_leadership",
        "_suspension",
    )

    def __init__(
        self,
        cfg: _settings.RaftSettings,
        recovered: storage.RecoveredState,
        rng: random.Random,
        now: datetime.datetime,
        started_at: datetime.datetime | None = None,
    ) -> None:
        """Create a member, whose voter's wait counts from ``started_at``.

        Each earlier process of this member must have ended by then.
        """
        self._core = _core.Core(cfg, recovered, rng, now, started_at)
        self._election = _election.Election(self._core)
        self._follower = _follower.Follower(self._core)
        self._bootstrap = _bootstrap.Bootstrap(self._core)
        self._leadership: _leadership.Leadership | None = None
        self._suspension = _suspension.Suspension(self._core)
        self._has_started = False

    @property
    def member_id(self) -> storage.MemberId:
        """Return the identity of this member: its VM and disk."""
        return self._core.member_id

    @property
    def is_leader(self) -> bool:
        """Return whether this member believes that it is the leader."""
        return self._core.role is _core.Role.LEADER

    @property
    def leader_id(self) -> model.VmId | None:
        """Return the VM of the current leader, or ``None`` if unknown."""
        leader = self._core.leader
        return leader.vm_id if leader else None

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._core.term

    @property
    def is_suspended(self) -> bool:
        """Return whether this member waits for space on its disk."""
        return self._suspension.is_active

    @property
    def may_lose_applied(self) -> bool:
        """Return whether a restart may lose entries that were applied.

        An only voter commits an entry together with the write of it, which
        waits if the disk is full.
        """
        return self.is_suspended and len(self.members.voters) == 1

    @property
    def commit_index(self) -> int:
        """Return the last index that this member knows to be committed."""
        return self._core.commit_index

    @property
    def last_index(self) -> int:
        """Return the last index of the log."""
        return self._core.log.last_index

    @property
    def members(self) -> storage.Configuration:
        """Return the voters and learners in effect."""
        return self._core.configuration

    def holds_lease(self, now: datetime.datetime) -> bool:
        """Return whether this member may give orders and answer reads.

        True only for a leader that has committed an entry of its term and
        whose lease, by its own clock, a quorum has renewed.
        """
        leadership = self._current_leadership()
        return leadership is not None and leadership.holds_lease(now)

    def handle(
        self, event: _events.Event, now: datetime.datetime
    ) -> list[_effects.Effect]:
        """Handle an event and return the effects, in order.

        ``now`` must be read after the event was received, because leases
        count from it.  The shell must carry out all effects before the next
        event and end the process if an effect fails.  If a write fails for
        lack of space, it and the effects after it may wait instead, between
        ``StorageFilled`` and ``StorageFreed``.  The effects of the first call
        include the snapshot recovered from disk.
        """
        if not self._has_started:
            self._has_started = True
            self._core.restore()
        leadership = self._current_leadership()
        if leadership is not None:
            leadership.check_quorum(now)
        if self._suspension.is_active:
            self._dispatch_suspended(event, now)
        else:
            self._dispatch(event, now)
        return self._core.outbox.drain()

    def _dispatch_suspended(
        self, event: _events.Event, now: datetime.datetime
    ) -> None:
        if isinstance(event, _events.StorageFreed):
            self._suspension.finish()
        elif isinstance(event, _events.TimerFired):
            self._suspension.tick(now)
        elif isinstance(event, _events.PeerMessageReceived):
            self._suspension.handle_message(event.sender, event.message, now)
        elif isinstance(event, _events.SnapshotTaken):
            self._core.cancel_snapshot_request()
        elif not isinstance(event, _events.StorageFilled):
            self._handle_request(event, now)

    def _dispatch(self, event: _events.Event, now: datetime.datetime) -> None:
        if isinstance(event, _events.PeerMessageReceived):
            self._handle_message(event.sender, event.message, now)
        elif isinstance(event, _events.TimerFired):
            self._tick(now)
        elif isinstance(event, _events.SnapshotTaken):
            self._core.compact(event.index, event.state)
        elif isinstance(event, _events.StorageFilled):
            self._suspension.start(self._current_leadership(), now)
        elif not isinstance(event, _events.StorageFreed):
            self._handle_request(event, now)

    def _tick(self, now: datetime.datetime) -> None:
        leadership = self._current_leadership()
        if leadership is not None:
            leadership.tick(now)
            return
        self._bootstrap.tick(now)
        core = self._core
        if now >= core.election_due_at and core.is_voter:
            self._become_leader_if(self._election.start_pre_vote(now), now)

    def _handle_request(
        self,
        event: _events.CommandsProposed
        | _events.MemberChangeProposed
        | _events.LeadershipTransferRequested,
        now: datetime.datetime,
    ) -> None:
        leadership = self._current_leadership()
        if leadership is None:
            self._reject_proposals(event)
        elif isinstance(event, _events.CommandsProposed):
            leadership.propose(event.proposals, now)
        elif isinstance(event, _events.MemberChangeProposed):
            leadership.propose_member_change(event, now)
        else:
            leadership.transfer_leadership(event.target, now)

    def _reject_proposals(
        self,
        event: _events.CommandsProposed
        | _events.MemberChangeProposed
        | _events.LeadershipTransferRequested,
    ) -> None:
        proposal_ids: list[int] = []
        if isinstance(event, _events.CommandsProposed):
            proposal_ids = [
                proposal.proposal_id for proposal in event.proposals
            ]
        elif isinstance(event, _events.MemberChangeProposed):
            proposal_ids = [event.proposal_id]
        failure = _failures.NotLeader(self.leader_id)
        for proposal_id in proposal_ids:
            self._core.outbox.add(
                _effects.RejectProposal(proposal_id, failure)
            )

    def _handle_message(
        self,
        sender_vm: model.VmId,
        message: _messages.RaftMessage,
        now: datetime.datetime,
    ) -> None:
        header = message.header
        sender = storage.MemberId(sender_vm, header.sender_disk)
        if isinstance(message, _messages.JoinRequest):
            self._handle_join_request(sender, now)
            return
        if header.recipient_disk != self._core.member_id.disk_id:
            return
        if isinstance(message, _messages.JoinReply):
            self._bootstrap.handle_join_reply(sender, message, now)
            return
        if not self._is_same_cluster(message):
            return
        if isinstance(message, _messages.VoteRequest):
            self._election.handle_request(sender, message, now)
        elif isinstance(message, _messages.VoteReply):
            self._become_leader_if(
                self._election.handle_reply(sender, message, now), now
            )
        else:
            self._handle_log_message(sender, message, now)

    def _handle_log_message(
        self,
        sender: storage.MemberId,
        message: _messages.AppendRequest
        | _messages.AppendReply
        | _messages.SnapshotChunk
        | _messages.SnapshotReply
        | _messages.TimeoutNow,
        now: datetime.datetime,
    ) -> None:
        """Handle a message that only a leader sends or receives."""
        core = self._core
        term = message.header.term
        if term < core.term:
            self._reject_stale_leader(sender, message)
            return
        if term > core.term:
            core.become_follower(now, term, None)
        leadership = self._current_leadership()
        if isinstance(message, _messages.AppendReply):
            if leadership is not None:
                leadership.handle_append_reply(sender, message, now)
        elif isinstance(message, _messages.SnapshotReply):
            if leadership is not None:
                leadership.handle_snapshot_reply(sender, message, now)
        elif leadership is not None:
            raise AssertionError(
                f"{sender.vm_id} and this member both lead term {term}"
            )
        elif isinstance(message, _messages.AppendRequest):
            self._follower.handle_append(sender, message, now)
        elif isinstance(message, _messages.SnapshotChunk):
            self._follower.handle_chunk(sender, message, now)
        elif core.is_voter:
            self._become_leader_if(
                self._election.start(now, is_transfer=True), now
            )

    def _reject_stale_leader(
        self, sender: storage.MemberId, message: _messages.RaftMessage
    ) -> None:
        """Reply to a leader of an earlier term with the current term."""
        core = self._core
        if isinstance(
            message, (_messages.AppendRequest, _messages.SnapshotChunk)
        ):
            reply = _messages.AppendReply(
                core.header(sender), False, 0, message.stamp_microseconds
            )
            core.send(sender.vm_id, reply)

    def _handle_join_request(
        self, joiner: storage.MemberId, now: datetime.datetime
    ) -> None:
        self._bootstrap.handle_join_request(joiner)
        leadership = self._current_leadership()
        if leadership is not None:
            leadership.record_join_request(joiner, now)

    def _is_same_cluster(self, message: _messages.RaftMessage) -> bool:
        """Return whether a message belongs to this member's cluster.

        A member with an empty log adopts the cluster id of any request that
        it receives.
        """
        core = self._core
        cluster_id = message.header.cluster_id
        if cluster_id == core.hard_state.cluster_id:
            return True
        if not core.log.is_empty or not isinstance(
            message, _InitiatingMessage
        ):
            return False
        core.change_hard_state(cluster_id=cluster_id)
        return True

    def _become_leader_if(self, is_won: bool, now: datetime.datetime) -> None:
        if is_won:
            self._leadership = _leadership.Leadership(self._core, now)

    def _current_leadership(self) -> _leadership.Leadership | None:
        return self._leadership if self.is_leader else None
