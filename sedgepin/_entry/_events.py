"""The input events of an entry VM's reducer."""

import dataclasses
import datetime
import enum
import typing

from sedgepin import _answers as answers
from sedgepin import _http as http
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import errors


class LinkFailure(enum.Enum):
    """Where a connection to an endpoint could not be made.

    ``DIRECT`` is from this VM, ``FORWARDER`` to or at the forwarder, and
    ``BEYOND`` from the forwarder to the endpoint; ``ENDPOINT`` from one that
    reaches others, and ``UNPROVEN`` from one that may be cut off itself.
    ``UNKNOWN`` is for an endpoint that the forwarder does not follow.
    """

    DIRECT = "direct"
    FORWARDER = "forwarder"
    UNKNOWN = "unknown"
    BEYOND = "beyond"
    ENDPOINT = "endpoint"
    UNPROVEN = "unproven"


@dataclasses.dataclass(slots=True, frozen=True)
class GenerateRequest:
    """A caller's request to generate an answer with a model service.

    ``is_streamed`` tells whether the caller gets each token as it comes.
    """

    request_id: model.RequestId
    customer: model.CustomerId
    service: model.ServiceName
    prompt: str
    limit_tokens: int
    priority: int
    timeout: datetime.timedelta | None
    body_digest: str
    is_streamed: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceRequest:
    """A caller's request to pass a call through to a plain service."""

    request_id: model.RequestId
    customer: model.CustomerId
    service: model.ServiceName
    method: str
    path: str
    headers: tuple[http.HeaderField, ...]
    body: bytes
    body_digest: str
    idempotency_key: str | None
    priority: int
    timeout: datetime.timedelta | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class GenerateRequested:
    """A caller sent a request to a model service."""

    request: GenerateRequest


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceCallRequested:
    """A caller sent a call to a plain service."""

    request: ServiceRequest


@dataclasses.dataclass(slots=True, frozen=True)
class CallerDisconnected:
    """The caller closed its connection before its answer was complete."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class AnnouncementReceived:
    """An endpoint sent its announcement to this VM."""

    exchange_id: int
    announcement: model.Announcement


@dataclasses.dataclass(slots=True, frozen=True)
class PieceReceived:
    """A token arrived on the stream of an attempt.

    ``request_id`` and ``attempt`` identify the stream.  The fields of the
    same names inside the piece are reported by the engine and may differ.
    """

    request_id: model.RequestId
    attempt: int
    piece: model.TokenPiece


@dataclasses.dataclass(slots=True, frozen=True)
class EngineHeartbeatReceived:
    """An engine reported that it is still working on an attempt."""

    request_id: model.RequestId
    attempt: int


@dataclasses.dataclass(slots=True, frozen=True)
class StreamEnded:
    """An engine reported that an attempt's answer is complete.

    ``token_count`` counts the tokens of the whole answer.
    """

    request_id: model.RequestId
    attempt: int
    token_count: int
    finish_reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class StreamFailed:
    """An attempt ended before its answer was complete.

    ``at_fault`` is the endpoint that presumably failed.  ``crashed`` is true
    if it failed while it ran the request, and false if it refused the
    request or could not be reached; ``link_failure`` then tells where.
    """

    request_id: model.RequestId
    attempt: int
    at_fault: model.EndpointId
    failure: errors.Failure
    crashed: bool
    link_failure: LinkFailure | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceAnswered:
    """A plain service sent its whole HTTP response."""

    request_id: model.RequestId
    attempt: int
    status: int
    headers: tuple[http.HeaderField, ...]
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceFailed:
    """A call to a plain service failed.

    ``bytes_were_sent`` is false only if no connection was made, so that the
    service cannot have run the call; ``link_failure`` then tells where.
    """

    request_id: model.RequestId
    attempt: int
    failure: errors.Failure
    bytes_were_sent: bool
    link_failure: LinkFailure | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class StageReport:
    """The state of an attempt that a stage reported on a new connection.

    ``state`` is ``None`` if the stage could not be reached, and
    ``link_failure`` tells where if no connection was made.  ``received``
    counts the tokens of the answer that reached the stage, ``None`` if the
    stage does not report it; ``produced`` counts those that it sent on.
    """

    endpoint_id: model.EndpointId
    state: answers.StreamState | None
    produced: int = 0
    incarnation: model.Incarnation | None = None
    received: int | None = None
    link_failure: LinkFailure | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeAnswered:
    """A probe of all stages of an attempt finished.

    ``probe`` is the number of the probe from its ``ProbeStages`` effect.
    ``reports`` has one report for each stage, in pipeline order.
    """

    request_id: model.RequestId
    attempt: int
    probe: int
    reports: tuple[StageReport, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class PathProbed:
    """A direct connection to an endpoint was made, or could not be made."""

    endpoint_id: model.EndpointId
    is_reached: bool


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The periodic timer of the daemon fired."""


@dataclasses.dataclass(slots=True, frozen=True)
class DrainRequested:
    """The VM received SIGTERM and has to drain and shut down."""


@dataclasses.dataclass(slots=True, frozen=True)
class DrainNoticeEnded:
    """The notice of a drain is over, and all that came in it was submitted.

    Later requests are refused; the server stops once it is idle.
    """


@dataclasses.dataclass(slots=True, frozen=True)
class GracePeriodEnded:
    """The VM must stop now, before its supervisor ends the process.

    ``open_forwards`` requests of other entry VMs are open, and
    ``unread_requests`` of callers have not been read whole.
    """

    open_forwards: int
    unread_requests: int


EntryEvent: typing.TypeAlias = (
    GenerateRequested
    | ServiceCallRequested
    | CallerDisconnected
    | AnnouncementReceived
    | PieceReceived
    | EngineHeartbeatReceived
    | StreamEnded
    | StreamFailed
    | ServiceAnswered
    | ServiceFailed
    | ProbeAnswered
    | PathProbed
    | TimerFired
    | DrainRequested
    | DrainNoticeEnded
    | GracePeriodEnded
    | protocol.PeerEvent
)
