"""Everything that can happen to an entry VM."""

import dataclasses
import datetime
import typing

from sedgepin import _answers as answers
from sedgepin import _http as http
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class GenerateRequest:
    """A caller wants an answer from a model service."""

    request_id: model.RequestId
    customer: model.CustomerId
    service: model.ServiceName
    prompt: str
    limit_tokens: int
    priority: int
    timeout: datetime.timedelta | None
    body_digest: str


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceRequest:
    """A caller wants a call passed through to a plain service."""

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
    """A request for an answer came in."""

    request: GenerateRequest


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceCallRequested:
    """A request for a plain service came in."""

    request: ServiceRequest


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLeft:
    """The caller closed its connection before its answer was whole."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class AnnouncementArrived:
    """An endpoint announced itself to this VM."""

    exchange_id: int
    announcement: model.Announcement


@dataclasses.dataclass(slots=True, frozen=True)
class PieceArrived:
    """A token came on the stream of an attempt.

    The stamp in the piece is the engine's word; ``request_id`` and
    ``attempt`` say which stream it came on.
    """

    request_id: model.RequestId
    attempt: int
    piece: model.TokenPiece


@dataclasses.dataclass(slots=True, frozen=True)
class EngineHeartbeatArrived:
    """An engine says that it still works on an attempt."""

    request_id: model.RequestId
    attempt: int


@dataclasses.dataclass(slots=True, frozen=True)
class StreamEnded:
    """An engine says that an attempt's answer is whole."""

    request_id: model.RequestId
    attempt: int
    token_count: int
    finish_reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class StreamFailed:
    """An attempt ended early.

    ``at_fault`` names the endpoint that is held to have failed.  ``crashed``
    tells that it died while it ran the request, as opposed to refusing it or
    not being reached at all.
    """

    request_id: model.RequestId
    attempt: int
    at_fault: model.EndpointId
    failure: errors.Failure
    crashed: bool


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceAnswered:
    """A plain service answered."""

    request_id: model.RequestId
    attempt: int
    status: int
    headers: tuple[http.HeaderField, ...]
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceFailed:
    """A call to a plain service failed; ``bytes_were_sent`` tells how far."""

    request_id: model.RequestId
    attempt: int
    failure: errors.Failure
    bytes_were_sent: bool


@dataclasses.dataclass(slots=True, frozen=True)
class StageReport:
    """What a stage said of an attempt on a fresh connection.

    ``state`` is ``None`` where the stage could not be reached.  Of the
    answer's tokens, ``received`` have come to the stage, where it says so,
    and ``produced`` have left it.
    """

    endpoint_id: model.EndpointId
    state: answers.StreamState | None
    produced: int = 0
    incarnation: model.Incarnation | None = None
    received: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeAnswered:
    """All stages of an attempt were asked on fresh connections."""

    request_id: model.RequestId
    attempt: int
    probe: int
    reports: tuple[StageReport, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """A tick passed."""


@dataclasses.dataclass(slots=True, frozen=True)
class DrainRequested:
    """The VM is told to leave (SIGTERM)."""


EntryEvent: typing.TypeAlias = (
    GenerateRequested
    | ServiceCallRequested
    | CallerLeft
    | AnnouncementArrived
    | PieceArrived
    | EngineHeartbeatArrived
    | StreamEnded
    | StreamFailed
    | ServiceAnswered
    | ServiceFailed
    | ProbeAnswered
    | TimerFired
    | DrainRequested
    | protocol.PeerEvent
)
