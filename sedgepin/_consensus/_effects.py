"""What a member asks its shell to do.

Effects are carried out in the order given.  ``Persist`` and
``PersistSnapshot`` return only after the sync, so that nothing is sent or
applied that rests on what the disk may lose.
"""

import dataclasses
import typing

from sedgepin._consensus import _messages
from sedgepin import _model as model
from sedgepin import _storage as storage
from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class Persist:
    """Write one group commit: ``LogStore.append`` with the same fields."""

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
    """Send to a peer; the message may be lost."""

    recipient: model.VmId
    message: _messages.RaftMessage


@dataclasses.dataclass(slots=True, frozen=True)
class ApplyEntry:
    """Apply a committed command.

    ``proposal_id`` is set where this member proposed it and still leads.
    """

    index: int
    term: int
    command: bytes
    proposal_id: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class RestoreSnapshot:
    """Replace the applied state by this one."""

    index: int
    state: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class RejectProposal:
    """Tell whoever proposed that this is what became of it."""

    proposal_id: int
    failure: errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class NotifyLeaderChange:
    """The leader known here has changed."""

    leader_id: model.VmId | None
    term: int
    is_self: bool


@dataclasses.dataclass(slots=True, frozen=True)
class NotifyMemberChange:
    """A change of members is committed."""

    index: int
    configuration: storage.Configuration
    proposal_id: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class RequestSnapshot:
    """Answer with ``SnapshotTaken`` at ``index`` when convenient."""

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
