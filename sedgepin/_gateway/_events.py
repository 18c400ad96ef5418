"""The events that the gateway's reducer handles."""

import dataclasses
import datetime
import enum
import typing

from sedgepin._gateway import _calls
from sedgepin._gateway import _settings
from sedgepin import _model as model
from sedgepin import _protocol as protocol


class AttemptOutcome(enum.Enum):
    """How an attempt to get an answer from an endpoint ended.

    ``NOT_SENT``: no byte reached the endpoint.  ``NOT_RUN``: the endpoint
    stated that it did not run the request.  ``FAILED``: it answered with a
    server error.  ``UNKNOWN``: the request may have run.  ``CANCELLED``: the
    gateway cancelled the attempt.
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class LinkFailure(enum.Enum):
    """Where the path to an endpoint was broken.

    ``DIRECT``: this VM could not connect to the endpoint.  ``FORWARDER``: it
    could not connect to the forwarder, or lost the connection, or was turned
    away.  ``BEYOND``: the forwarder could not connect to the endpoint, and has
    not said what of its own links.  ``ENDPOINT``: it could not, though it
    reaches others.  ``UNPROVEN``: it could not, and its own links may be the
    cause.
    """

    DIRECT = "direct"
    FORWARDER = "forwarder"
    BEYOND = "beyond"
    ENDPOINT = "endpoint"
    UNPROVEN = "unproven"


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardUnreached:
    """No connection to an endpoint could be made for another entry VM."""

    endpoint_id: model.EndpointId


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The periodic tick of the daemon."""


@dataclasses.dataclass(slots=True, frozen=True)
class RequestArrived:
    """A caller's request was received and parsed."""

    exchange_id: int
    request: _calls.CallerRequest


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt to get an answer from ``endpoint_id`` ended.

    ``position`` is the id of the last event that was sent to the caller.
    ``faulty_address`` is the address of the engine that failed, if the
    endpoint named one.  ``is_success`` tells whether an answer reports a
    success, ``is_invalid_answer`` that the endpoint sent what is no answer, or
    more of one than could be held.
    ``link_failure`` is set if the path was broken.
    """

    exchange_id: int
    outcome: AttemptOutcome
    detail: str
    position: int | None = None
    faulty_address: str | None = None
    endpoint_id: model.EndpointId | None = None
    is_success: bool = True
    is_invalid_answer: bool = False
    link_failure: LinkFailure | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class OutputSustained:
    """A stream has sent so many events that it can't crash its engine."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class OutputStarted:
    """The first event of a stream was sent to the caller."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerReady:
    """An answer in one piece is whole and is about to be sent.

    A caller that takes it slowly does not make it late.
    """

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHeadReceived:
    """An endpoint told its state in the head of an answer.

    ``incarnation`` is the one that the request was sent to; ``None`` if it is
    the latest one.  ``is_check`` tells that it answers a call of this VM, not
    the request of a caller.  ``begun_exchange_id`` is set if an answer in one
    piece to a caller's request begins with this head.
    """

    endpoint_id: model.EndpointId
    metadata: _calls.AnswerMetadata
    incarnation: int | None = None
    is_check: bool = False
    begun_exchange_id: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHeadLate:
    """No answer head has come within the attempt's ``answer_timeout``.

    The attempt goes on, and the event comes again after as long.
    """

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class StreamStalled:
    """The engines of a stream have sent nothing for longer than usual."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class PauseLate:
    """A stream that has begun has paused beyond the target of its route."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class StallsInspected:
    """The stall inspection of a first engine ended.

    ``report`` is ``None`` if the engine gave none.  Even so it may have
    answered: ``has_answered`` is set then, and follows ``report`` by default.
    ``link_failure`` is set if the path was broken, through ``forwarder`` if
    there was one.
    """

    endpoint_id: model.EndpointId
    report: _calls.StallReport | None
    has_answered: bool | None = None
    forwarder: protocol.Forwarder | None = None
    link_failure: LinkFailure | None = None

    @property
    def is_silent(self) -> bool:
        """Return whether nothing came from the engine."""
        if self.has_answered is None:
            return self.report is None
        return not self.has_answered


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointReached:
    """A connection to an endpoint was made, directly or by a forwarder."""

    endpoint_id: model.EndpointId
    forwarder: protocol.Forwarder | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointProbed:
    """A probe of an endpoint has ended.

    ``link_failure`` is where the path was broken, if a connection failed.
    """

    endpoint_id: model.EndpointId
    is_reached: bool
    forwarder: protocol.Forwarder | None = None
    link_failure: LinkFailure | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Rerouted:
    """The first engine answered an order to switch to another pipeline.

    ``refused_by`` is the address of the engine that rejected the order, and
    ``attempt`` the number of the attempt that the order was for, from 1.
    """

    exchange_id: int
    is_accepted: bool
    refused_by: str | None = None
    attempt: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class CallerDisconnected:
    """The caller's connection ended before its answer was complete.

    ``is_by_caller`` is unset where this VM closed it.  ``cut_code`` is the
    failure for which it cut an answer that was being sent.
    """

    exchange_id: int
    is_by_caller: bool = True
    cut_code: str | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class DeadlineReached:
    """The deadline of a request passed."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestEvicted:
    """The bytes of a request are not held any longer; it was cancelled."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class SettingsReloaded:
    """The settings file changed and was reloaded."""

    cfg: _settings.GatewaySettings


@dataclasses.dataclass(slots=True, frozen=True)
class DrainRequested:
    """The process received SIGTERM and drains.

    ``time_left`` is the time in which all requests must be answered.
    ``estimated`` is the time in which streams are taken that are only likely
    to end in time.
    """

    time_left: datetime.timedelta
    estimated: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class DrainEnded:
    """The process stops, and cuts what is still open.

    ``open_forwards`` counts the requests that it carries for other entry VMs,
    ``unread_requests`` the requests of callers that it has not read whole.
    """

    open_forwards: int = 0
    unread_requests: int = 0


GatewayEvent: typing.TypeAlias = (
    TimerFired
    | RequestArrived
    | AttemptEnded
    | OutputStarted
    | OutputSustained
    | AnswerReady
    | AnswerHeadReceived
    | AnswerHeadLate
    | StreamStalled
    | PauseLate
    | StallsInspected
    | EndpointReached
    | EndpointProbed
    | ForwardUnreached
    | SettingsReloaded
    | Rerouted
    | CallerDisconnected
    | DeadlineReached
    | RequestEvicted
    | DrainRequested
    | DrainEnded
    | protocol.PeerEvent
)
