"""Everything that can happen to a gateway."""

import dataclasses
import enum
import typing

from sedgepin._gateway import _calls
from sedgepin._gateway import _settings
from sedgepin import _model as model
from sedgepin import _protocol as protocol


class AttemptOutcome(enum.Enum):
    """How an attempt at an answer ended.

    ``NOT_SENT``: no byte reached the endpoint.  ``NOT_RUN``: the endpoint
    said that it did not run the request.  ``FAILED``: it answered with a
    failure of its own.  ``UNKNOWN``: the request may have run.
    ``CANCELLED``: the gateway ended the attempt.
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """A tick passed."""


@dataclasses.dataclass(slots=True, frozen=True)
class RequestArrived:
    """A caller's request was read whole."""

    exchange_id: int
    request: _calls.CallerRequest


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt came to its end.

    ``position`` is the id of the last event that was sent to the caller.
    ``faulty_address`` is the address of the engine that failed, as far as the
    endpoint named one.
    """

    exchange_id: int
    outcome: AttemptOutcome
    detail: str
    position: int | None = None
    faulty_address: str | None = None
    endpoint_id: model.EndpointId | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class OutputStarted:
    """The first event of a stream reached the caller."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLoadReported:
    """An endpoint told its load with an answer."""

    endpoint_id: model.EndpointId
    marks: _calls.AnswerMetadata


@dataclasses.dataclass(slots=True, frozen=True)
class StreamStalled:
    """No event came from the engines for longer than usual."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class StallsInspected:
    """A first engine was asked for stalls, or is gone without a ``report``."""

    endpoint_id: model.EndpointId
    report: _calls.StallReport | None


@dataclasses.dataclass(slots=True, frozen=True)
class Rerouted:
    """The first engine answered an order to use another pipeline.

    ``refused_by`` is the address of the engine that could not take part.
    """

    exchange_id: int
    is_accepted: bool
    refused_by: str | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class CallerDisconnected:
    """The caller closed its connection."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class DeadlineReached:
    """The time of a request is over."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class SettingsReloaded:
    """The settings file has changed and was read."""

    cfg: _settings.GatewaySettings


@dataclasses.dataclass(slots=True, frozen=True)
class DrainRequested:
    """The VM is told to leave."""


GatewayEvent: typing.TypeAlias = (
    TimerFired
    | RequestArrived
    | AttemptEnded
    | OutputStarted
    | EndpointLoadReported
    | StreamStalled
    | StallsInspected
    | SettingsReloaded
    | Rerouted
    | CallerDisconnected
    | DeadlineReached
    | DrainRequested
    | protocol.PeerEvent
)
