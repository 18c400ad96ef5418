"""Effects: what a member asks its shell to do.

The shell carries them out in order.  ``Persist`` and ``PersistSnapshot``
complete only after the sync, so that no message is sent and no entry applied
that depends on state that a crash could lose.
"""

import dataclasses
import typing

from sedgepin._consensus import _messages
from sedgepin import _model as model
from sedgepin import _storage as storage
from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class Persist:
    """Call ``LogStore.append`` with the same fields: one group commit."""

    hard_state: storage.HardState | None
    truncate_from: int | None
    entries: tuple[storage.LogEntry, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class PersistSnapshot:
    """Call ``LogStore.save_snapshot`` with the same fields."""

    snapshot: storage.Snapshot
    entries: tuple[storage.LogEntry, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to a peer; delivery is not guaranteed."""

    recipient: model.VmId
    message: _messages.RaftMessage


@dataclasses.dataclass(slots=True, frozen=True)
class ApplyEntry:
    """Apply a committed command.

    ``proposal_id`` is set if this member proposed the command and has led
    ever since.
    """

    index: int
    term: int
    command: bytes
    proposal_id: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class RestoreSnapshot:
    """Replace the applied state by ``state``, taken at ``index``."""

    index: int
    state: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class RejectProposal:
    """Answer a proposal with ``failure``."""

    proposal_id: int
    failure: errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class NotifyLeaderChange:
    """Report that the leader known to this member has changed.

    ``leader_id`` is ``None`` while no leader is known.
    """

    leader_id: model.VmId | None
    term: int
    is_self: bool


@dataclasses.dataclass(slots=True, frozen=True)
class NotifyMemberChange:
    """Report a committed configuration of voters and learners.

    ``proposal_id`` is set if an operator proposed it on this member.
    """

    index: int
    configuration: storage.Configuration
    proposal_id: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class RequestSnapshot:
    """Ask for a ``SnapshotTaken`` event at ``index``; it may come late."""

    index: int


Effect: typing.TypeAlias = (
    Persist
    | PersistSnapshot
    | SendMessage
    | ApplyEntry
    | RestoreSnapshot
    | RejectProposal
    | NotifyLeaderChange
    | NotifyMemberChange
    | RequestSnapshot
)
