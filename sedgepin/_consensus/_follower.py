"""The follower's side of log replication."""

import datetime

from sedgepin._consensus import _core
from sedgepin._consensus import _messages
from sedgepin import _storage as storage


class Follower:
    """Replicates the leader's log and installs its snapshots.

    Snapshot chunks are assembled in memory.  A chunk of another term or
    another snapshot index discards what was received so far.
    """

    __slots__ = ("_buffer", "_buffer_index", "_buffer_term", "_core")

    def __init__(self, core: _core.Core) -> None:
        self._core = core
        self._buffer = bytearray()
        self._buffer_index = 0
        self._buffer_term = 0

    def handle_append(
        self,
        leader: storage.MemberId,
        request: _messages.AppendRequest,
        now: datetime.datetime,
    ) -> None:
        """Append the leader's entries; reply with the last matching index."""
        core = self._core
        core.become_follower(now, request.header.term, leader)
        core.record_leader_contact(now)
        matched_index = self._append_entries(request)
        is_accepted = matched_index is not None
        if matched_index is None:
            matched_index = self._last_possible_match(request)
        self._reply(leader, is_accepted, matched_index, request)

    def handle_chunk(
        self,
        leader: storage.MemberId,
        chunk: _messages.SnapshotChunk,
        now: datetime.datetime,
    ) -> None:
        """Buffer a snapshot chunk; install the snapshot once complete."""
        core = self._core
        core.become_follower(now, chunk.header.term, leader)
        core.record_leader_contact(now)
        if chunk.index <= core.commit_index:
            self._reply(leader, True, core.commit_index, chunk)
            return
        received = self._received_bytes(chunk)
        if chunk.offset_bytes == received:
            self._buffer.extend(chunk.data)
            received = len(self._buffer)
        if received == chunk.total_bytes:
            self._install(chunk)
            self._reply(leader, True, chunk.index, chunk)
            return
        core.send(
            leader.vm_id,
            _messages.SnapshotReply(
                core.header(leader),
                chunk.index,
                received,
                chunk.stamp_microseconds,
            ),
        )

    def _append_entries(self, request: _messages.AppendRequest) -> int | None:
        """Append entries and commit; return the last matching index.

        Return ``None`` if the entry at ``prev_index`` does not match.
        """
        core = self._core
        last_index = request.prev_index + len(request.entries)
        prev_index = max(request.prev_index, core.commit_index)
        entries = request.entries[prev_index - request.prev_index :]
        if request.prev_index >= core.commit_index:
            if core.log.term_at(prev_index) != request.prev_term:
                return None
        elif not entries:
            # The leader has every committed entry, so all of these match.
            return last_index
        for position, entry in enumerate(entries):
            if core.log.term_at(entry.index) != entry.term:
                core.replace_from(entries[position:])
                break
        core.commit_up_to(min(request.commit_index, last_index))
        return last_index

    def _last_possible_match(self, request: _messages.AppendRequest) -> int:
        """Return the last index at which the logs may still match.

        Skips all entries of the conflicting term, so that the leader needs
        one round trip per term instead of one per entry.
        """
        core = self._core
        if request.prev_index > core.log.last_index:
            return core.log.last_index
        index = request.prev_index
        term = core.log.term_at(index)
        while index > core.commit_index and core.log.term_at(index) == term:
            index -= 1
        return index

    def _received_bytes(self, chunk: _messages.SnapshotChunk) -> int:
        key = (chunk.header.term, chunk.index)
        if key != (self._buffer_term, self._buffer_index):
            self._buffer_term, self._buffer_index = key
            self._buffer.clear()
        return len(self._buffer)

    def _install(self, chunk: _messages.SnapshotChunk) -> None:
        state = bytes(self._buffer)
        self._buffer = bytearray()
        self._buffer_index = 0
        self._core.install(
            storage.Snapshot(
                chunk.index, chunk.term, chunk.configuration, state
            )
        )

    def _reply(
        self,
        leader: storage.MemberId,
        is_accepted: bool,
        index: int,
        request: _messages.AppendRequest | _messages.SnapshotChunk,
    ) -> None:
        core = self._core
        core.send(
            leader.vm_id,
            _messages.AppendReply(
                core.header(leader),
                is_accepted,
                index,
                request.stamp_microseconds,
            ),
        )
