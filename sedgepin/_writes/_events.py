"""What the write coordinator is told, and what it wants done."""

import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin._writes import _failures
from sedgepin._writes import _messages
from sedgepin._writes import _record


@dataclasses.dataclass(slots=True, frozen=True)
class WriteRequested:
    """A caller sent a call that may not repeat.

    ``digest`` is that of the call's method, path and body; ``deadline`` is
    the instant by which the caller must have heard.
    """

    request_id: model.RequestId
    customer: model.CustomerId
    key: str
    digest: bytes
    deadline: datetime.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class ControlAnswered:
    """The control VMs committed the request's command and replied."""

    request_id: model.RequestId
    reply: _messages.WriteReply


@dataclasses.dataclass(slots=True, frozen=True)
class ControlUnreachable:
    """No control VM took the request's command, as far as is known.

    The command may have been committed all the same.
    """

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointAnswered:
    """The endpoint answered.

    ``refused_before_running`` is set where the endpoint itself says, by the
    status and header agreed for it, that it did not run the call.
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
    """The call failed, or fell silent, after its first byte was written."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class CallerDisconnected:
    """The caller closed its connection."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The instant last asked for by ``StartTimer`` has come."""


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
    """Propose ``command``; the leader stamps its ``at``."""

    request_id: model.RequestId
    command: _messages.WriteCommand


@dataclasses.dataclass(slots=True, frozen=True)
class DispatchWrite:
    """Send the call to one endpoint, once."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerCaller:
    """Tell the caller how its call ended."""

    request_id: model.RequestId
    answer: _record.StoredAnswer | _failures.WriteFailure


@dataclasses.dataclass(slots=True, frozen=True)
class StartTimer:
    """Send ``TimerFired`` at ``due``, in place of any timer started before."""

    due: datetime.datetime


Effect = ProposeCommand | DispatchWrite | AnswerCaller | StartTimer
