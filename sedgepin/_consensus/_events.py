"""Events: the inputs of a member's reducer."""

import dataclasses
import enum
import typing

from sedgepin._consensus import _messages
from sedgepin import _model as model
from sedgepin import _storage as storage


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The periodic tick, every few hundredths of a second."""


@dataclasses.dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A message from ``sender``, which the shell has authenticated."""

    sender: model.VmId
    message: _messages.RaftMessage


@dataclasses.dataclass(slots=True, frozen=True)
class Proposal:
    """A command for the log.

    The shell chooses ``proposal_id``; effects refer to the proposal by it.
    """

    proposal_id: int
    command: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class CommandsProposed:
    """Commands to append to the log together, with a single sync."""

    proposals: tuple[Proposal, ...]


class MemberAction(enum.Enum):
    """A change of membership that an operator can propose."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"


@dataclasses.dataclass(slots=True, frozen=True)
class MemberChangeProposed:
    """An operator proposes to add, promote or remove one member."""

    proposal_id: int
    action: MemberAction
    member: storage.MemberId


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipTransferRequested:
    """A request to transfer leadership.

    Without a ``target`` the most up-to-date voter is chosen.
    """

    target: model.VmId | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class SnapshotTaken:
    """The encoded state after the entry at ``index`` was applied."""

    index: int
    state: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class StorageFilled:
    """The disk refused writes of the last event; they wait for space.

    All effects of that event from the first refused write on wait too.  Until
    ``StorageFreed`` no effect asks for a write.
    """


@dataclasses.dataclass(slots=True, frozen=True)
class StorageFreed:
    """All effects that had to wait for space have been carried out."""


Event: typing.TypeAlias = (
    TimerFired
    | PeerMessageReceived
    | CommandsProposed
    | MemberChangeProposed
    | LeadershipTransferRequested
    | SnapshotTaken
    | StorageFilled
    | StorageFreed
)
