"""The effects that an entry VM's reducer returns for the daemon to run."""

import dataclasses
import datetime
import typing

from sedgepin._entry import _events
from sedgepin import _http as http
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import errors
from sedgepin import events


@dataclasses.dataclass(slots=True, frozen=True)
class StartStream:
    """Run an attempt on a pipeline.

    ``delivered`` holds the tokens that the caller already has.  The engines
    prefill them after the prompt and continue at ``position``.  A
    ``forwarder`` connects to the first engine instead of this VM.
    """

    request_id: model.RequestId
    attempt: int
    pipeline: model.Pipeline
    model: model.ModelName
    version: str
    prompt: str
    delivered: tuple[str, ...]
    position: int
    limit_tokens: int
    priority: int
    forwarder: protocol.Forwarder | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class CancelStream:
    """Cancel an attempt; its tokens that still arrive are dropped."""

    request_id: model.RequestId
    attempt: int


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeStages:
    """Request the state of an attempt from each stage on a new connection.

    ``probe`` numbers the probes of a request; ``timeout`` applies to each
    stage.  A ``forwarder`` connects to the stages instead of this VM.
    """

    request_id: model.RequestId
    attempt: int
    probe: int
    stages: tuple[model.Stage, ...]
    timeout: datetime.timedelta
    forwarder: protocol.Forwarder | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class CallService:
    """Send a call to a plain service, on a separate connection.

    ``timeout`` covers the connection, the request and the whole response.
    A ``forwarder`` makes the connection instead of this VM.
    """

    request: _events.ServiceRequest
    attempt: int
    endpoint_id: model.EndpointId
    address: str
    timeout: datetime.timedelta
    forwarder: protocol.Forwarder | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class CancelCall:
    """Cancel a call to a plain service; it may run there to its end."""

    request_id: model.RequestId
    attempt: int


@dataclasses.dataclass(slots=True, frozen=True)
class ProbePath:
    """Find out whether this VM can connect to an endpoint."""

    endpoint_id: model.EndpointId
    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class DeliverPieces:
    """Send tokens to the caller, in order."""

    request_id: model.RequestId
    texts: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class EndAnswer:
    """End the caller's answer, which is complete."""

    request_id: model.RequestId
    finish_reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerCall:
    """Send the caller the response of a plain service."""

    request_id: model.RequestId
    status: int
    headers: tuple[http.HeaderField, ...]
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class RefuseCaller:
    """Send the caller its final failure at once."""

    request_id: model.RequestId
    failure: errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyAnnouncement:
    """Accept an endpoint's announcement and tell it when to send the next."""

    exchange_id: int
    echo: str
    next_announcement_delay: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class RefuseAnnouncement:
    """Reject an endpoint's announcement."""

    exchange_id: int
    failure: errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to a peer; delivery is not guaranteed."""

    recipient: model.VmId
    message: protocol.PeerMessage


@dataclasses.dataclass(slots=True, frozen=True)
class WriteLog:
    """Write one line to the log."""

    line: events.LogLine


@dataclasses.dataclass(slots=True, frozen=True)
class CountMetric:
    """Add ``count`` to the counter ``name``."""

    name: str
    count: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class RecordDuration:
    """Record ``duration`` in the timer metric ``name``."""

    name: str
    duration: datetime.timedelta


EntryEffect: typing.TypeAlias = (
    StartStream
    | CancelStream
    | ProbeStages
    | CallService
    | CancelCall
    | ProbePath
    | DeliverPieces
    | EndAnswer
    | AnswerCall
    | RefuseCaller
    | ReplyAnnouncement
    | RefuseAnnouncement
    | SendMessage
    | WriteLog
    | CountMetric
    | RecordDuration
)
