"""Everything that a gateway can be told to do."""

import dataclasses
import datetime
import typing

from sedgepin._gateway import _calls
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import errors
from sedgepin import events


@dataclasses.dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to a peer; it may be lost."""

    recipient: model.VmId
    message: protocol.PeerMessage


@dataclasses.dataclass(slots=True, frozen=True)
class DialPeer:
    """Keep a stream to a peer from now on."""

    vm_id: model.VmId


@dataclasses.dataclass(slots=True, frozen=True)
class SetDeadline:
    """End a request when its time is over."""

    exchange_id: int
    time_left: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to an endpoint and bring its answer back.

    ``is_stream`` says that the answer is a series of events.  Without an
    answer's head in ``answer_within`` the attempt is given up.
    """

    exchange_id: int
    dispatch: _calls.Dispatch
    is_stream: bool
    answer_within: datetime.timedelta | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class CancelAttempt:
    """End the attempt that is under way."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class FailExchange:
    """Tell the caller of a failure, or break off a started answer."""

    exchange_id: int
    failure: errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class DeliverHeldAnswer:
    """Give the caller the endpoint's own failure that is held back."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class FinishExchange:
    """The caller has its whole answer."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class InspectStalls:
    """Ask a first engine which requests wait, and for what."""

    endpoint_id: model.EndpointId
    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class Reroute:
    """Order the first engine to go on with another pipeline."""

    exchange_id: int
    request_id: str
    address: str
    pipeline: model.Pipeline


@dataclasses.dataclass(slots=True, frozen=True)
class WriteLog:
    """Log one event."""

    line: events.LogLine


@dataclasses.dataclass(slots=True, frozen=True)
class RecordDuration:
    """Put a duration into its histogram."""

    name: str
    took: datetime.timedelta


GatewayEffect: typing.TypeAlias = (
    SendMessage
    | DialPeer
    | SetDeadline
    | StartAttempt
    | CancelAttempt
    | FailExchange
    | DeliverHeldAnswer
    | FinishExchange
    | InspectStalls
    | Reroute
    | WriteLog
    | RecordDuration
)
