"""The effects that the gateway's reducer requests from the daemon."""

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
    """Send a message to a peer, without a delivery guarantee."""

    recipient: model.VmId
    message: protocol.PeerMessage


@dataclasses.dataclass(slots=True, frozen=True)
class DialPeer:
    """Connect to a peer, and reconnect whenever the stream breaks."""

    vm_id: model.VmId


@dataclasses.dataclass(slots=True, frozen=True)
class HangUpPeer:
    """Disconnect from a peer, and do not connect to it again."""

    vm_id: model.VmId


@dataclasses.dataclass(slots=True, frozen=True)
class SetDeadline:
    """Set the time after which ``DeadlineReached`` follows."""

    exchange_id: int
    time_left: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to an endpoint and forward its answer to the caller.

    ``is_stream`` tells whether the answer is a stream of events.
    ``AnswerHeadLate`` follows if no answer head arrives within
    ``answer_timeout``, and ``PauseLate`` once a stream that has begun sends
    nothing for longer than ``pause_target``.
    """

    exchange_id: int
    dispatch: _calls.Dispatch
    is_stream: bool
    answer_timeout: datetime.timedelta | None = None
    pause_target: datetime.timedelta | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel the attempt in progress."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class FailExchange:
    """Send a failure to the caller, or abort an answer that has started."""

    exchange_id: int
    failure: errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class DeliverHeldAnswer:
    """Send the endpoint's server error, which was held back, to the caller."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class FinishExchange:
    """End an exchange whose answer is complete."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class InspectStalls:
    """Request a stall report from a first engine."""

    endpoint_id: model.EndpointId
    address: str
    incarnation: int | None = None
    forwarder: protocol.Forwarder | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeEndpoint:
    """Call an endpoint; ``EndpointProbed`` follows.

    Without a ``forwarder`` it is called directly.
    """

    endpoint_id: model.EndpointId
    address: str
    incarnation: int | None = None
    forwarder: protocol.Forwarder | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Reroute:
    """Order the first engine to continue a request on another pipeline.

    ``attempt`` is the number of the attempt, which ``Rerouted`` repeats.
    """

    exchange_id: int
    request_id: str
    address: str
    pipeline: model.Pipeline
    attempt: int = 1
    incarnation: int | None = None
    forwarder: protocol.Forwarder | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class WriteLog:
    """Write one log line."""

    line: events.LogLine


@dataclasses.dataclass(slots=True, frozen=True)
class RecordDuration:
    """Add a duration to the histogram ``name``."""

    name: str
    duration: datetime.timedelta


GatewayEffect: typing.TypeAlias = (
    SendMessage
    | DialPeer
    | HangUpPeer
    | SetDeadline
    | StartAttempt
    | CancelAttempt
    | FailExchange
    | DeliverHeldAnswer
    | FinishExchange
    | InspectStalls
    | ProbeEndpoint
    | Reroute
    | WriteLog
    | RecordDuration
)
