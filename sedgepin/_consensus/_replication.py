"""Sending the log to other members and evaluating their replies."""

import datetime

from sedgepin._consensus import _core
from sedgepin._consensus import _messages
from sedgepin._consensus import _progress
from sedgepin import _storage as storage


class Replication:
    """The leader's replication progress on all other members."""

    __slots__ = ("_core", "progress")

    def __init__(self, core: _core.Core) -> None:
        self._core = core
        self.progress: dict[storage.MemberId, _progress.Progress] = {}

    def update_members(self, now: datetime.datetime) -> None:
        """Track the members of the current configuration."""
        core = self._core
        others = [
            member
            for member in core.configuration.members
            if member != core.member_id
        ]
        next_index = core.log.last_index
        self.progress = {
            member: self.progress.get(member)
            or _progress.Progress(next_index, now)
            for member in others
        }

    def quorum_acked_send_at(
        self, now: datetime.datetime
    ) -> datetime.datetime:
        """Return the latest send time that a quorum has acknowledged.

        The leader itself counts as having acknowledged ``now``.
        """
        send_times = [
            now
            if voter == self._core.member_id
            else self.progress[voter].acked_send_at
            for voter in self._core.configuration.voters
        ]
        send_times.sort(reverse=True)
        return send_times[self._core.configuration.quorum - 1]

    def quorum_match_index(self) -> int:
        """Return the last index that a quorum has stored."""
        core = self._core
        matches = [
            core.log.last_index
            if voter == core.member_id
            else self.progress[voter].match_index
            for voter in core.configuration.voters
        ]
        matches.sort(reverse=True)
        return matches[core.configuration.quorum - 1]

    def send_heartbeats(
        self, now: datetime.datetime, is_forced: bool = False
    ) -> None:
        """Send a heartbeat to members that were sent nothing for an interval.

        With ``is_forced`` all members get one.
        """
        interval = self._core.cfg.heartbeat_interval
        for member, progress in self.progress.items():
            if not is_forced and now - progress.sent_at < interval:
                continue
            if progress.snapshot is not None:
                self._send_chunk(member, progress, now, is_probe=True)
            elif not self._send_batch(
                member, progress, now, is_heartbeat=True
            ):
                self._start_snapshot(member, progress, now)

    def send_all_entries(self, now: datetime.datetime) -> None:
        """Send new entries to all members."""
        for member in self.progress:
            self.send_entries(member, now)

    def send_entries(
        self, member: storage.MemberId, now: datetime.datetime
    ) -> None:
        """Send a member its missing entries, within the in-flight limit."""
        progress = self.progress[member]
        if progress.snapshot is not None:
            return
        if progress.next_index > self._core.log.last_index:
            return
        if not self._send_batch(member, progress, now, is_heartbeat=False):
            self._start_snapshot(member, progress, now)

    def send_next_chunk(
        self,
        member: storage.MemberId,
        snapshot_index: int,
        received_bytes: int,
        now: datetime.datetime,
    ) -> None:
        """Send the snapshot chunk that starts at ``received_bytes``.

        A chunk sent within the last election timeout is not sent again,
        because the reply may be one to a probe.
        """
        progress = self.progress[member]
        if (
            progress.snapshot is None
            or progress.snapshot.index != snapshot_index
        ):
            return
        resend_timeout = self._core.cfg.election_timeout_min
        is_recently_sent = now - progress.chunk_sent_at < resend_timeout
        if (
            received_bytes == progress.snapshot_offset_bytes
            and is_recently_sent
        ):
            return
        progress.snapshot_offset_bytes = received_bytes
        progress.chunk_sent_at = now
        self._send_chunk(member, progress, now, is_probe=False)

    def _send_batch(
        self,
        member: storage.MemberId,
        progress: _progress.Progress,
        now: datetime.datetime,
        is_heartbeat: bool,
    ) -> bool:
        """Send entries; return ``False`` if they have been compacted."""
        core = self._core
        prev_index = progress.next_index - 1
        prev_term = core.log.term_at(prev_index)
        if prev_term is None:
            return False
        entry_budget = core.cfg.in_flight_limit_entries
        entry_budget -= prev_index - progress.match_index
        entries: tuple[storage.LogEntry, ...] = ()
        if entry_budget > 0:
            entries = core.log.batch(
                progress.next_index, entry_budget, core.cfg.batch_limit_bytes
            )
        if not entries and not is_heartbeat:
            return True
        request = _messages.AppendRequest(
            core.header(member),
            prev_index,
            prev_term,
            core.commit_index,
            _progress.to_stamp(now),
            entries,
        )
        progress.next_index += len(entries)
        progress.sent_at = now
        core.send(member.vm_id, request)
        return True

    def _start_snapshot(
        self,
        member: storage.MemberId,
        progress: _progress.Progress,
        now: datetime.datetime,
    ) -> None:
        snapshot = self._core.log.snapshot
        if snapshot is None:
            raise AssertionError(
                f"no snapshot covers the entries before {progress.next_index}"
            )
        progress.start_snapshot(snapshot)
        self._send_chunk(member, progress, now, is_probe=True)

    def _send_chunk(
        self,
        member: storage.MemberId,
        progress: _progress.Progress,
        now: datetime.datetime,
        is_probe: bool,
    ) -> None:
        core = self._core
        snapshot = progress.snapshot
        if snapshot is None:
            return
        start = progress.snapshot_offset_bytes
        end = start if is_probe else start + core.cfg.snapshot_chunk_bytes
        chunk = _messages.SnapshotChunk(
            core.header(member),
            snapshot.index,
            snapshot.term,
            snapshot.configuration,
            len(snapshot.state),
            start,
            _progress.to_stamp(now),
            snapshot.state[start:end],
        )
        progress.sent_at = now
        core.send(member.vm_id, chunk)
