"""Effects that the reducer of a control VM returns."""

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
    """Send a message to a peer, without any guarantee of delivery."""

    recipient: model.VmId
    message: protocol.PeerMessage


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerOperator:
    """Answer an operator's command with its reply or failure."""

    exchange_id: int
    answer: state.Reply | errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class SendOrder:
    """Send an order to an engine, unless the lease has expired by then."""

    order: release.Order


@dataclasses.dataclass(slots=True, frozen=True)
class WriteLog:
    """Write an event to the log of the process."""

    line: events.LogLine


@dataclasses.dataclass(slots=True, frozen=True)
class CountMetric:
    """Add ``count`` to the counter ``name``."""

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
