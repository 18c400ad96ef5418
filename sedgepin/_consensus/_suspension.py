"""A member whose disk is full."""

import datetime

from sedgepin._consensus import _core
from sedgepin._consensus import _leadership
from sedgepin._consensus import _messages
from sedgepin import _model as model
from sedgepin import _storage as storage


class Suspension:
    """What a member does while writes to its disk wait for space.

    Its state is ahead of its disk, so it neither leads nor votes nor
    acknowledges entries.  It still learns who leads, so that its VM can
    forward calls.
    """

    __slots__ = ("_core", "is_active")

    def __init__(self, core: _core.Core) -> None:
        self._core = core
        self.is_active = False

    def start(
        self,
        leadership: _leadership.Leadership | None,
        now: datetime.datetime,
    ) -> None:
        """Stop to take part; a leader hands over and steps down at once."""
        self.is_active = True
        core = self._core
        if leadership is not None:
            leadership.abandon(now)
        elif core.role is not _core.Role.FOLLOWER:
            core.become_follower(now, core.term, None)

    def finish(self) -> None:
        """Take part again; the state is on the disk."""
        self.is_active = False

    def tick(self, now: datetime.datetime) -> None:
        """Forget a leader that has not been heard of for too long."""
        if now >= self._core.election_due_at:
            self._core.set_leader(None)

    def handle_message(
        self,
        sender_vm: model.VmId,
        message: _messages.RaftMessage,
        now: datetime.datetime,
    ) -> None:
        """Note who leads; all else is dropped, as by a faulty network."""
        core = self._core
        if not isinstance(
            message, (_messages.AppendRequest, _messages.SnapshotChunk)
        ):
            return
        header = message.header
        if (
            header.recipient_disk == core.member_id.disk_id
            and header.cluster_id == core.hard_state.cluster_id
            and header.term >= core.term
        ):
            core.set_leader(storage.MemberId(sender_vm, header.sender_disk))
            core.restart_election_timer(now)
