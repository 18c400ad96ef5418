"""The leader's part: replication, commit, lease and membership changes."""

import collections.abc
import datetime

import result

from sedgepin._consensus import _core
from sedgepin._consensus import _effects
from sedgepin._consensus import _events
from sedgepin._consensus import _failures
from sedgepin._consensus import _leadership_transfer
from sedgepin._consensus import _log
from sedgepin._consensus import _messages
from sedgepin._consensus import _reconfiguration
from sedgepin._consensus import _replication
from sedgepin import _model as model
from sedgepin import _storage as storage
from sedgepin import errors


class Leadership:
    """The leader's state and duties in one term.

    Its first entry is empty: only once an entry of its own term is committed
    does a leader know the commit index, hold a lease and change members.
    """

    __slots__ = (
        "_core",
        "_elected_at",
        "_first_index",
        "_leadership_transfer",
        "_reconfiguration",
        "_replication",
        "_uncommitted_bytes",
    )

    def __init__(self, core: _core.Core, now: datetime.datetime) -> None:
        self._core = core
        self._elected_at = now
        self._leadership_transfer = _leadership_transfer.LeadershipTransfer(
            core
        )
        self._replication = _replication.Replication(core)
        self._reconfiguration = _reconfiguration.Reconfiguration(core)
        self._uncommitted_bytes = 0
        core.role = _core.Role.LEADER
        core.set_leader(core.member_id)
        self._first_index = core.log.last_index + 1
        self._append(storage.EntryKind.EMPTY, now)

    def holds_lease(self, now: datetime.datetime) -> bool:
        """Return whether the lease is valid.

        While it is, no other member can have been elected, so the applied
        state is the latest and may answer reads.
        """
        if (
            self._leadership_transfer.has_released_lease
            or not self._has_committed_in_term()
        ):
            return False
        acked_send_at = self._replication.quorum_acked_send_at(now)
        return now < acked_send_at + self._core.cfg.lease

    def check_quorum(self, now: datetime.datetime) -> None:
        """Step down if no quorum has replied for an election timeout.

        Also steps down when a leadership transfer demands it.
        """
        core = self._core
        acked_send_at = self._replication.quorum_acked_send_at(now)
        last_at = max(acked_send_at, self._elected_at)
        is_lost = now - last_at >= core.cfg.election_timeout_min
        if is_lost or self._leadership_transfer.must_step_down(now):
            core.become_follower(now, core.term, None)

    def tick(self, now: datetime.datetime) -> None:
        """Send due heartbeats and propose the next membership change."""
        self._replication.send_heartbeats(now)
        self._change_members(now)

    def propose(
        self,
        proposals: collections.abc.Sequence[_events.Proposal],
        now: datetime.datetime,
    ) -> None:
        """Append commands to the log and send them to the other members.

        Rejects those beyond the limits of uncommitted entries and bytes,
        and all during a leadership transfer.
        """
        core = self._core
        entries: list[storage.LogEntry] = []
        for proposal in proposals:
            failure = self._proposal_failure(len(entries))
            if failure is not None:
                core.outbox.add(
                    _effects.RejectProposal(proposal.proposal_id, failure)
                )
                continue
            entry = storage.LogEntry(
                core.log.last_index + len(entries) + 1,
                core.term,
                storage.EntryKind.COMMAND,
                proposal.command,
            )
            core.pending_proposals[entry.index] = proposal.proposal_id
            self._uncommitted_bytes += _log.entry_bytes(entry)
            entries.append(entry)
        if entries:
            core.append(entries)
            self._replicate(now)

    def propose_member_change(
        self, event: _events.MemberChangeProposed, now: datetime.datetime
    ) -> None:
        """Append a membership change that an operator proposed.

        Rejects it while an earlier change is uncommitted.
        """
        if not self._may_change_members():
            reason = _failures.RefusalReason.CHANGE_PENDING
            self._reject(event, _failures.MemberChangeRefused(reason))
            return
        checked = self._reconfiguration.validate_change(
            event.action, event.member, self._replication.progress
        )
        if isinstance(checked, result.Err):
            self._reject(event, checked.err_value)
            return
        self._core.pending_proposals[self._core.log.last_index + 1] = (
            event.proposal_id
        )
        self._append(storage.EntryKind.CONFIGURATION, now, checked.ok_value)

    def transfer_leadership(
        self, target: model.VmId | None, now: datetime.datetime
    ) -> None:
        """Start a leadership transfer to ``target``.

        Without a ``target`` the most up-to-date voter is chosen.
        """
        self._leadership_transfer.start(
            target, self._replication.progress, now
        )
        self._leadership_transfer.start_election_if_caught_up(
            self._replication.progress, now
        )

    def abandon(self, now: datetime.datetime) -> None:
        """Have another voter stand for election, and step down at once."""
        self._leadership_transfer.start_election_at_once(
            self._replication.progress, now
        )
        self._core.become_follower(now, self._core.term, None)

    def record_join_request(
        self, member: storage.MemberId, now: datetime.datetime
    ) -> None:
        """Record a join request for a later membership change."""
        self._reconfiguration.record_join_request(member, now)

    def handle_append_reply(
        self,
        sender: storage.MemberId,
        reply: _messages.AppendReply,
        now: datetime.datetime,
    ) -> None:
        """Record a member's matching index, commit, and send more entries."""
        progress = self._replication.progress.get(sender)
        if progress is None:
            return
        progress.record_reply(reply.stamp_microseconds, now)
        if not reply.is_accepted:
            progress.record_mismatch(reply.index)
        else:
            progress.record_match(reply.index)
            progress.update_catch_up(
                now,
                self._core.log.last_index,
                self._core.cfg.election_timeout_min,
            )
            self._commit(now)
        if self._core.role is _core.Role.LEADER:
            self._replication.send_entries(sender, now)
            self._leadership_transfer.start_election_if_caught_up(
                self._replication.progress, now
            )

    def handle_snapshot_reply(
        self,
        sender: storage.MemberId,
        reply: _messages.SnapshotReply,
        now: datetime.datetime,
    ) -> None:
        """Record a member's reply and send the next snapshot chunk."""
        progress = self._replication.progress.get(sender)
        if progress is None:
            return
        progress.record_reply(reply.stamp_microseconds, now)
        self._replication.send_next_chunk(
            sender, reply.index, reply.received_bytes, now
        )

    def _append(
        self,
        kind: storage.EntryKind,
        now: datetime.datetime,
        configuration: storage.Configuration | None = None,
    ) -> None:
        core = self._core
        entry = storage.LogEntry(
            core.log.last_index + 1,
            core.term,
            kind,
            configuration=configuration,
        )
        core.append([entry])
        self._replicate(now)

    def _replicate(self, now: datetime.datetime) -> None:
        self._replication.update_members(now)
        self._replication.send_all_entries(now)
        self._commit(now)

    def _commit(self, now: datetime.datetime) -> None:
        """Commit up to the last entry of this term that a quorum holds.

        Entries of earlier terms are committed only along with one of this
        term (Raft's commit rule).
        """
        core = self._core
        index = self._replication.quorum_match_index()
        if index <= core.commit_index or core.log.term_at(index) != core.term:
            return
        for entry in core.log.between(core.commit_index + 1, index):
            if entry.index in core.pending_proposals:
                self._uncommitted_bytes -= _log.entry_bytes(entry)
        had_committed_in_term = self._has_committed_in_term()
        core.commit_up_to(index)
        if not had_committed_in_term:
            # Members that restarted apply their log with this commit index.
            # It happens once a term, so it costs nothing later.
            self._replication.send_heartbeats(now, is_forced=True)
        is_configuration_committed = (
            core.log.configuration_index <= core.commit_index
        )
        if is_configuration_committed and not core.is_voter:
            self._replication.send_heartbeats(now, is_forced=True)
            core.become_follower(now, core.term, None)

    def _proposal_failure(self, accepted_count: int) -> errors.Failure | None:
        core = self._core
        if self._leadership_transfer.target is not None:
            return _failures.NotLeader(self._leadership_transfer.target.vm_id)
        uncommitted_count = (
            core.log.last_index + accepted_count - core.commit_index
        )
        if (
            uncommitted_count >= core.cfg.uncommitted_limit_entries
            or self._uncommitted_bytes >= core.cfg.uncommitted_limit_bytes
        ):
            return _failures.TooManyProposals(uncommitted_count)
        return None

    def _reject(
        self, event: _events.MemberChangeProposed, failure: errors.Failure
    ) -> None:
        self._core.outbox.add(
            _effects.RejectProposal(event.proposal_id, failure)
        )

    def _has_committed_in_term(self) -> bool:
        return self._core.commit_index >= self._first_index

    def _may_change_members(self) -> bool:
        """Return whether a membership change may start.

        Until an entry of this term is committed, the log may still hold an
        uncommitted change of an earlier leader.
        """
        core = self._core
        is_configuration_committed = (
            core.log.configuration_index <= core.commit_index
        )
        return (
            is_configuration_committed
            and self._has_committed_in_term()
            and self._leadership_transfer.target is None
        )

    def _change_members(self, now: datetime.datetime) -> None:
        if not self._may_change_members():
            return
        configuration = self._reconfiguration.next_configuration(
            self._replication.progress, now
        )
        if configuration is not None:
            self._append(storage.EntryKind.CONFIGURATION, now, configuration)
