"""Events and effects of the write coordinator."""

import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin._writes import _failures
from sedgepin._writes import _messages
from sedgepin._writes import _record


@dataclasses.dataclass(slots=True, frozen=True)
class WriteRequested:
    """A caller sent a call that must run at most once.

    ``digest`` is the digest of the call's method, path and body.  The caller
    must be answered by ``deadline``.
    """

    request_id: model.RequestId
    customer: model.CustomerId
    key: str
    digest: bytes
    deadline: datetime.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class ControlAnswered:
    """The control VMs committed the command of a request and replied."""

    request_id: model.RequestId
    reply: _messages.WriteReply


@dataclasses.dataclass(slots=True, frozen=True)
class ControlUnreachable:
    """No control VM is known to have accepted the command of a request.

    The command may have been committed nevertheless.
    """

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointAnswered:
    """The endpoint answered the call.

    ``refused_before_running`` is set if a header of the answer reports that
    the endpoint did not run the call.
    """

    request_id: model.RequestId
    answer: _record.StoredAnswer
    refused_before_running: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointConnectFailed:
    """No byte of the call was written to any endpoint."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointFailedAfterSend:
    """The call failed or stalled after its first byte was written."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class CallerDisconnected:
    """The caller closed its connection."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The time set by the last ``StartTimer`` has been reached."""


AttemptEvent = (
    ControlAnswered
    | ControlUnreachable
    | EndpointAnswered
    | EndpointConnectFailed
    | EndpointFailedAfterSend
    | CallerDisconnected
)
Event = WriteRequested | AttemptEvent | TimerFired


@dataclasses.dataclass(slots=True, frozen=True)
class ProposeCommand:
    """Propose ``command`` to the leader, which sets its ``at``."""

    request_id: model.RequestId
    command: _messages.WriteCommand


@dataclasses.dataclass(slots=True, frozen=True)
class DispatchWrite:
    """Send the call to one endpoint, once."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerCaller:
    """Send the caller its answer or failure."""

    request_id: model.RequestId
    answer: _record.StoredAnswer | _failures.WriteFailure


@dataclasses.dataclass(slots=True, frozen=True)
class StartTimer:
    """Send ``TimerFired`` at ``due``; replaces any earlier timer."""

    due: datetime.datetime


Effect = ProposeCommand | DispatchWrite | AnswerCaller | StartTimer
