"""State shared by the election, follower and leader parts of a member."""

import collections.abc
import datetime
import enum
import random

import msgspec

from sedgepin._consensus import _effects
from sedgepin._consensus import _failures
from sedgepin._consensus import _log
from sedgepin._consensus import _messages
from sedgepin._consensus import _outbox
from sedgepin._consensus import _settings
from sedgepin import _model as model
from sedgepin import _storage as storage


class Role(enum.Enum):
    """The Raft role of a member."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Core:
    """Term, vote, log and commit index of one member.

    Every change that must be durable is added to the outbox, where it comes
    before the messages that depend on it.
    """

    __slots__ = (
        "_bytes_since_snapshot",
        "_is_snapshot_requested",
        "_leader_term",
        "applied_index",
        "cfg",
        "commit_index",
        "election_due_at",
        "hard_state",
        "leader",
        "leader_contact_at",
        "log",
        "member_id",
        "outbox",
        "pending_proposals",
        "rng",
        "role",
    )

    def __init__(
        self,
        cfg: _settings.RaftSettings,
        recovered: storage.RecoveredState,
        rng: random.Random,
        now: datetime.datetime,
        started_at: datetime.datetime | None = None,
    ) -> None:
        self.cfg = cfg
        self.rng = rng
        self.member_id = storage.MemberId(cfg.vm_id, recovered.disk_id)
        self.log = _log.ReplicatedLog(recovered.snapshot, recovered.entries)
        self.hard_state = recovered.hard_state
        self.commit_index = self.log.snapshot_index
        self.applied_index = self.log.snapshot_index
        self.role = Role.FOLLOWER
        self.leader: storage.MemberId | None = None
        self._leader_term = 0
        self.outbox = _outbox.Outbox()
        self.pending_proposals: dict[int, int] = {}
        self._is_snapshot_requested = False
        self._bytes_since_snapshot = 0
        # Start as if a leader had just been in contact: an earlier process of
        # this member may have answered one shortly before it ended, and that
        # leader's lease depends on the answer.
        since = now if started_at is None else started_at
        self.leader_contact_at: datetime.datetime | None = since
        self.restart_election_timer(since)
        if self.log.is_empty:
            self.leader_contact_at = None
            self.election_due_at = now

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def configuration(self) -> storage.Configuration:
        """Return the voters and learners in effect."""
        return self.log.configuration

    @property
    def is_voter(self) -> bool:
        """Return whether this member counts towards the quorum."""
        return self.member_id in self.configuration.voters

    def may_support_lease(self, now: datetime.datetime) -> bool:
        """Return whether a lease may depend on this member's last reply."""
        if self.leader_contact_at is None:
            return False
        return now < self.leader_contact_at + self.cfg.election_timeout_min

    def record_leader_contact(self, now: datetime.datetime) -> None:
        """Record leader contact now and restart the election timer."""
        self.leader_contact_at = now
        self.restart_election_timer(now)

    def restart_election_timer(self, now: datetime.datetime) -> None:
        """Draw a random election timeout that starts now."""
        shortest = self.cfg.election_timeout_min
        spread = self.cfg.election_timeout_max - shortest
        self.election_due_at = now + shortest + spread * self.rng.random()

    def change_hard_state(
        self,
        term: int | None = None,
        voted_for: storage.MemberId | None = None,
        cluster_id: int | None = None,
    ) -> None:
        """Change term, vote or cluster id; a new term clears the vote."""
        old = self.hard_state
        is_new_term = term is not None and term != old.term
        kept_vote = None if is_new_term else old.voted_for
        self.hard_state = msgspec.structs.replace(
            old,
            term=old.term if term is None else term,
            voted_for=voted_for or kept_vote,
            cluster_id=old.cluster_id if cluster_id is None else cluster_id,
        )
        if self.hard_state != old:
            self.outbox.persist_hard_state(self.hard_state)

    def become_follower(
        self,
        now: datetime.datetime,
        term: int,
        leader: storage.MemberId | None,
    ) -> None:
        """Become a follower in ``term``.

        Pending proposals are rejected with ``LeaseLost``.  ``leader`` is
        ``None`` while the leader of the term is unknown.
        """
        if self.role is not Role.FOLLOWER:
            self.restart_election_timer(now)
        self.role = Role.FOLLOWER
        self._reject_pending()
        self.change_hard_state(term=term)
        self.set_leader(leader)

    def set_leader(self, leader: storage.MemberId | None) -> None:
        """Record the leader and notify the shell of a change."""
        is_same_term = leader is None or self._leader_term == self.term
        if leader == self.leader and is_same_term:
            return
        self.leader = leader
        self._leader_term = self.term
        self.outbox.add(
            _effects.NotifyLeaderChange(
                leader.vm_id if leader else None,
                self.term,
                leader == self.member_id,
            )
        )

    def header(self, recipient: storage.MemberId) -> _messages.Header:
        """Return the header for a message to ``recipient``."""
        return _messages.Header(
            self.term,
            self.hard_state.cluster_id,
            self.member_id.disk_id,
            recipient.disk_id,
        )

    def send(
        self, recipient: model.VmId, message: _messages.RaftMessage
    ) -> None:
        """Send a message once all state changed so far is durable."""
        self.outbox.add(_effects.SendMessage(recipient, message))

    def append(
        self, entries: collections.abc.Sequence[storage.LogEntry]
    ) -> None:
        """Append entries to the log."""
        self.log.append(entries)
        self.outbox.persist_entries(entries)

    def replace_from(
        self, entries: collections.abc.Sequence[storage.LogEntry]
    ) -> None:
        """Write ``entries`` at their indices and drop all later ones.

        Raises ``AssertionError`` if that would replace a committed entry.
        """
        index = entries[0].index
        if index <= self.commit_index:
            raise AssertionError(
                f"entry {index} would replace a committed entry, "
                f"the commit index is {self.commit_index}"
            )
        truncate_from = index if index <= self.log.last_index else None
        if truncate_from is not None:
            self.log.truncate_from(index)
        self.log.append(entries)
        self.outbox.persist_entries(entries, truncate_from)

    def commit_up_to(self, index: int) -> None:
        """Commit and apply entries up to ``index``."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        for entry in self.log.between(self.applied_index + 1, index):
            self._apply(entry)
        self._request_snapshot()

    def compact(self, index: int, state: bytes) -> None:
        """Compact the log with a snapshot of this member's applied state.

        A snapshot older than the current one or newer than the applied
        state is ignored.
        """
        self._is_snapshot_requested = False
        if not self.log.snapshot_index < index <= self.applied_index:
            return
        term = self.log.term_at(index)
        if term is None:
            return
        configuration = self.log.configuration_at(index)
        snapshot = storage.Snapshot(index, term, configuration, state)
        self.log.compact(snapshot, self.cfg.trailing_entries)
        self._bytes_since_snapshot = 0
        self.outbox.persist_snapshot(snapshot, self.log.entries)

    def cancel_snapshot_request(self) -> None:
        """Drop a snapshot that cannot be written; request a later one."""
        self._is_snapshot_requested = False

    def install(self, snapshot: storage.Snapshot) -> None:
        """Replace the applied state by a leader's snapshot.

        Log entries that follow from the snapshot are kept.
        """
        self.log.install(snapshot)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self._bytes_since_snapshot = 0
        self.outbox.persist_snapshot(snapshot, self.log.entries)
        self.restore()

    def restore(self) -> None:
        """Have the shell load the snapshot, if there is one."""
        snapshot = self.log.snapshot
        if snapshot is None:
            return
        self.outbox.add(
            _effects.RestoreSnapshot(snapshot.index, snapshot.state)
        )
        self.outbox.add(
            _effects.NotifyMemberChange(
                snapshot.index, snapshot.configuration, None
            )
        )

    def _apply(self, entry: storage.LogEntry) -> None:
        self.applied_index = entry.index
        self._bytes_since_snapshot += _log.entry_bytes(entry)
        proposal_id = self.pending_proposals.pop(entry.index, None)
        if entry.kind is storage.EntryKind.COMMAND:
            self.outbox.add(
                _effects.ApplyEntry(
                    entry.index, entry.term, entry.command, proposal_id
                )
            )
        elif entry.configuration is not None:
            self.outbox.add(
                _effects.NotifyMemberChange(
                    entry.index, entry.configuration, proposal_id
                )
            )

    def _request_snapshot(self) -> None:
        count = self.applied_index - self.log.snapshot_index
        is_due = (
            count >= self.cfg.snapshot_after_entries
            or self._bytes_since_snapshot >= self.cfg.snapshot_after_bytes
        )
        if is_due and not self._is_snapshot_requested:
            self._is_snapshot_requested = True
            self.outbox.add(_effects.RequestSnapshot(self.applied_index))

    def _reject_pending(self) -> None:
        for proposal_id in self.pending_proposals.values():
            self.outbox.add(
                _effects.RejectProposal(proposal_id, _failures.LeaseLost())
            )
        self.pending_proposals.clear()
