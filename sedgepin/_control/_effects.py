"""Everything that a control VM can be told to do."""

import dataclasses
import typing

from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _release as release
from sedgepin import _state as state
from sedgepin import errors
from sedgepin import events


@dataclasses.dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to a peer; it may be lost."""

    recipient: model.VmId
    message: protocol.PeerMessage


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerOperator:
    """Tell an operator what came of a command."""

    exchange_id: int
    answer: state.Reply | errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class SendOrder:
    """Send an order to an endpoint, if the lease is held at that instant."""

    order: release.Order


@dataclasses.dataclass(slots=True, frozen=True)
class WriteLog:
    """Log one event."""

    line: events.LogLine


@dataclasses.dataclass(slots=True, frozen=True)
class CountMetric:
    """Add to a counter."""

    name: str
    count: int = 1


ControlEffect: typing.TypeAlias = (
    consensus.Persist
    | consensus.PersistSnapshot
    | SendMessage
    | AnswerOperator
    | SendOrder
    | WriteLog
    | CountMetric
)
