"""What can happen to a member."""

import dataclasses
import enum
import typing

from sedgepin._consensus import _messages
from sedgepin import _model as model
from sedgepin import _storage as storage


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """A few hundredths of a second have gone by."""


@dataclasses.dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A message came from ``sender``, whom the shell has authenticated."""

    sender: model.VmId
    message: _messages.RaftMessage


@dataclasses.dataclass(slots=True, frozen=True)
class Proposal:
    """A command for the log; ``proposal_id`` is the shell's own."""

    proposal_id: int
    command: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class CommandsProposed:
    """Commands that go to the log together, with one sync."""

    proposals: tuple[Proposal, ...]


class MemberAction(enum.Enum):
    """What is to be done with a member."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"


@dataclasses.dataclass(slots=True, frozen=True)
class MemberChangeProposed:
    """An operator asks for a change of one member."""

    proposal_id: int
    action: MemberAction
    member: storage.MemberId


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipTransferRequested:
    """The leader is to hand over, to ``target`` or to whom fits best."""

    target: model.VmId | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class SnapshotTaken:
    """The state after applying the entry at ``index``, encoded."""

    index: int
    state: bytes


Event: typing.TypeAlias = (
    TimerFired
    | PeerMessageReceived
    | CommandsProposed
    | MemberChangeProposed
    | LeadershipTransferRequested
    | SnapshotTaken
)
