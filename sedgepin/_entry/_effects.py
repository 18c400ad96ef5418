"""Everything that an entry VM can be told to do."""

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

    ``delivered`` holds the tokens that the caller has already; the engines
    prefill them after the prompt and go on at ``position``.
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


@dataclasses.dataclass(slots=True, frozen=True)
class CancelStream:
    """Stop an attempt; what still arrives of it is dropped."""

    request_id: model.RequestId
    attempt: int


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeStages:
    """Ask each stage on a fresh connection how an attempt is doing."""

    request_id: model.RequestId
    attempt: int
    probe: int
    stages: tuple[model.Stage, ...]
    timeout: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class CallService:
    """Send a call to a plain service, on a connection of its own."""

    request: _events.ServiceRequest
    attempt: int
    address: str
    timeout: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class CancelCall:
    """Stop waiting for a plain service."""

    request_id: model.RequestId
    attempt: int


@dataclasses.dataclass(slots=True, frozen=True)
class DeliverPieces:
    """Send tokens to the caller, in order."""

    request_id: model.RequestId
    texts: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class EndAnswer:
    """The caller has the whole answer."""

    request_id: model.RequestId
    finish_reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerCall:
    """Give the caller what a plain service answered."""

    request_id: model.RequestId
    status: int
    headers: tuple[http.HeaderField, ...]
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class RefuseCaller:
    """Give the caller a final failure, at once."""

    request_id: model.RequestId
    failure: errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyAnnouncement:
    """Answer an endpoint's announcement."""

    exchange_id: int
    echo: str
    next_announcement_delay: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class RefuseAnnouncement:
    """Answer an announcement that is not taken."""

    exchange_id: int
    failure: errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to a peer; it may be lost."""

    recipient: model.VmId
    message: protocol.PeerMessage


@dataclasses.dataclass(slots=True, frozen=True)
class WriteLog:
    """Log one event."""

    line: events.LogLine


@dataclasses.dataclass(slots=True, frozen=True)
class CountMetric:
    """Add to a counter."""

    name: str
    count: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class TimeMetric:
    """Tell how long something took."""

    name: str
    took: datetime.timedelta


EntryEffect: typing.TypeAlias = (
    StartStream
    | CancelStream
    | ProbeStages
    | CallService
    | CancelCall
    | DeliverPieces
    | EndAnswer
    | AnswerCall
    | RefuseCaller
    | ReplyAnnouncement
    | RefuseAnnouncement
    | SendMessage
    | WriteLog
    | CountMetric
    | TimeMetric
)
