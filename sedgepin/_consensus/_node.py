"""The reducer of one member of the replicated log."""

import datetime
import random

from sedgepin._consensus import _core
from sedgepin._consensus import _effects
from sedgepin._consensus import _election
from sedgepin._consensus import _events
from sedgepin._consensus import _failures
from sedgepin._consensus import _following
from sedgepin._consensus import _founding
from sedgepin._consensus import _leadership
from sedgepin._consensus import _messages
from sedgepin._consensus import _settings
from sedgepin import _model as model
from sedgepin import _storage as storage

_ANY_DISK = 0
_Asking = (
    _messages.VoteRequest | _messages.AppendRequest | _messages.SnapshotChunk
)


class RaftNode:
    """One member: events in, effects out.

    >>> vm = model.VmId("vm-1")
    >>> cfg = _settings.RaftSettings(vm, (vm,))
    >>> start = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    >>> found = storage.LogStore(storage.MemoryDisk()).open().unwrap()
    >>> node = RaftNode(cfg, found, random.Random(1), start)
    >>> effects = node.handle(_events.TimerFired(), start)
    >>> effects = node.handle(_events.TimerFired(), start)
    >>> node.is_leader, node.lease_holds(start)
    (True, True)
    """

    __slots__ = (
        "_core",
        "_election",
        "_following",
        "_founding",
        "_has_started",
        "_leadership",
    )

    def __init__(
        self,
        cfg: _settings.RaftSettings,
        recovered: storage.Recovered,
        rng: random.Random,
        now: datetime.datetime,
    ) -> None:
        self._core = _core.Core(cfg, recovered, rng, now)
        self._election = _election.Election(self._core)
        self._following = _following.Following(self._core)
        self._founding = _founding.Founding(self._core)
        self._leadership: _leadership.Leadership | None = None
        self._has_started = False

    @property
    def member_id(self) -> storage.MemberId:
        """Return this member's own identity."""
        return self._core.me

    @property
    def is_leader(self) -> bool:
        """Tell whether this member leads, as far as it knows."""
        return self._core.role is _core.Role.LEADER

    @property
    def leader_id(self) -> model.VmId | None:
        """Return the VM that leads, where it is known."""
        leader = self._core.leader
        return leader.vm_id if leader else None

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._core.term

    @property
    def commit_index(self) -> int:
        """Return the last index known to be committed."""
        return self._core.commit_index

    @property
    def last_index(self) -> int:
        """Return the last index of the log."""
        return self._core.log.last_index

    @property
    def members(self) -> storage.Configuration:
        """Return the voters and learners in effect."""
        return self._core.configuration

    def lease_holds(self, now: datetime.datetime) -> bool:
        """Tell whether this member may give orders and answer reads.

        True only for a leader that has committed an entry of its term and
        that a quorum has answered within the lease, by its own clock.
        """
        leadership = self._current_leadership()
        return leadership is not None and leadership.lease_holds(now)

    def handle(
        self, event: _events.Event, now: datetime.datetime
    ) -> list[_effects.Effect]:
        """Take an event and return what is to be done, in order.

        ``now`` must be read after the event was received: leases count from
        it.  The effects must be carried out before the next event is
        handled, and the process must end if one cannot be.  The first call
        also returns the snapshot that was found on disk.
        """
        if not self._has_started:
            self._has_started = True
            self._core.restore()
        leadership = self._current_leadership()
        if leadership is not None:
            leadership.check_quorum(now)
        self._dispatch(event, now)
        return self._core.outbox.take()

    def _dispatch(self, event: _events.Event, now: datetime.datetime) -> None:
        if isinstance(event, _events.PeerMessageReceived):
            self._take_message(event.sender, event.message, now)
        elif isinstance(event, _events.TimerFired):
            self._tick(now)
        elif isinstance(event, _events.SnapshotTaken):
            self._core.compact(event.index, event.state)
        else:
            self._take_request(event, now)

    def _tick(self, now: datetime.datetime) -> None:
        leadership = self._current_leadership()
        if leadership is not None:
            leadership.tick(now)
            return
        self._founding.tick(now)
        core = self._core
        if now >= core.election_at and core.is_voter:
            self._lead_if(self._election.start_pre_vote(now), now)

    def _take_request(
        self,
        event: _events.CommandsProposed
        | _events.MemberChangeProposed
        | _events.LeadershipTransferRequested,
        now: datetime.datetime,
    ) -> None:
        leadership = self._current_leadership()
        if leadership is None:
            self._refuse(event)
        elif isinstance(event, _events.CommandsProposed):
            leadership.propose(event.proposals, now)
        elif isinstance(event, _events.MemberChangeProposed):
            leadership.propose_change(event, now)
        else:
            leadership.hand_over(event.target, now)

    def _refuse(
        self,
        event: _events.CommandsProposed
        | _events.MemberChangeProposed
        | _events.LeadershipTransferRequested,
    ) -> None:
        proposal_ids: list[int] = []
        if isinstance(event, _events.CommandsProposed):
            proposal_ids = [one.proposal_id for one in event.proposals]
        elif isinstance(event, _events.MemberChangeProposed):
            proposal_ids = [event.proposal_id]
        failure = _failures.NotLeader(self.leader_id)
        for proposal_id in proposal_ids:
            self._core.outbox.add(
                _effects.RejectProposal(proposal_id, failure)
            )

    def _take_message(
        self,
        sender_vm: model.VmId,
        message: _messages.RaftMessage,
        now: datetime.datetime,
    ) -> None:
        header = message.header
        sender = storage.MemberId(sender_vm, header.sender_disk)
        if isinstance(message, _messages.JoinRequest):
            self._take_joiner(sender, now)
            return
        if header.recipient_disk != self._core.me.disk_id:
            return
        if isinstance(message, _messages.JoinReply):
            self._founding.take_reply(sender, message, now)
            return
        if not self._is_same_cluster(message):
            return
        if isinstance(message, _messages.VoteRequest):
            self._election.answer(sender, message, now)
        elif isinstance(message, _messages.VoteReply):
            self._lead_if(self._election.count(sender, message, now), now)
        else:
            self._take_log_message(sender, message, now)

    def _take_log_message(
        self,
        sender: storage.MemberId,
        message: _messages.AppendRequest
        | _messages.AppendReply
        | _messages.SnapshotChunk
        | _messages.SnapshotReply
        | _messages.TimeoutNow,
        now: datetime.datetime,
    ) -> None:
        """Take a message that only the leader of a term sends or gets."""
        core = self._core
        term = message.header.term
        if term < core.term:
            self._refuse_stale(sender, message)
            return
        if term > core.term:
            core.follow(now, term, None)
        leadership = self._current_leadership()
        if isinstance(message, _messages.AppendReply):
            if leadership is not None:
                leadership.take_append_reply(sender, message, now)
        elif isinstance(message, _messages.SnapshotReply):
            if leadership is not None:
                leadership.take_snapshot_reply(sender, message, now)
        elif leadership is not None:
            raise AssertionError("two leaders in one term")
        elif isinstance(message, _messages.AppendRequest):
            self._following.append(sender, message, now)
        elif isinstance(message, _messages.SnapshotChunk):
            self._following.take_chunk(sender, message, now)
        elif core.is_voter:
            self._lead_if(self._election.start(now, is_transfer=True), now)

    def _refuse_stale(
        self, sender: storage.MemberId, message: _messages.RaftMessage
    ) -> None:
        """Tell a leader of an earlier term that it leads no more."""
        core = self._core
        if isinstance(
            message, (_messages.AppendRequest, _messages.SnapshotChunk)
        ):
            reply = _messages.AppendReply(
                core.header(sender), False, 0, message.stamp_microseconds
            )
            core.send(sender.vm_id, reply)

    def _take_joiner(
        self, joiner: storage.MemberId, now: datetime.datetime
    ) -> None:
        self._founding.answer(joiner)
        leadership = self._current_leadership()
        if leadership is not None:
            leadership.note_joiner(joiner, now)

    def _is_same_cluster(self, message: _messages.RaftMessage) -> bool:
        """Tell whether a message is of this cluster.

        A member whose log is empty belongs to the cluster that last asked
        something of it.
        """
        core = self._core
        cluster_id = message.header.cluster_id
        if cluster_id == core.hard_state.cluster_id:
            return True
        if not core.log.is_empty or not isinstance(message, _Asking):
            return False
        core.change_hard_state(cluster_id=cluster_id)
        return True

    def _lead_if(self, is_won: bool, now: datetime.datetime) -> None:
        if is_won:
            self._leadership = _leadership.Leadership(self._core, now)

    def _current_leadership(self) -> _leadership.Leadership | None:
        return self._leadership if self.is_leader else None
