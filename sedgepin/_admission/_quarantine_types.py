"""What goes into the quarantine reducer and what comes out of it."""

import dataclasses
import datetime
import typing

import msgspec

from sedgepin._admission import _rumour
from sedgepin import _model as model
from sedgepin import errors


# A request on trial has survived when it has delivered this many tokens past
# the point of its death, or has ended.
TRIAL_MARGIN_TOKENS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class RequestQuarantined(errors.Failure):
    """A request that two endpoints died running.

    Its earlier copies were run, so nothing is claimed of the outcome.
    """

    code: typing.ClassVar[str] = "request_quarantined"
    title: typing.ClassVar[str] = "Endpoints died running this request"
    http_status: typing.ClassVar[int] = 422
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    remaining: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long the request stays quarantined."""
        return self.remaining


@dataclasses.dataclass(slots=True, frozen=True)
class RequestOnTrial(errors.Failure):
    """A copy of a request that is being run alone after a death.

    This copy was not dispatched; the one on trial was.
    """

    code: typing.ClassVar[str] = "request_on_trial"
    title: typing.ClassVar[str] = "A copy of this request is being run alone"
    http_status: typing.ClassVar[int] = 409
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    remaining: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return when the trial is expected to be over."""
        return self.remaining


class QuarantineSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """How long suspicion and quarantine last.

    ``settle_period`` is what a claim to a trial is given to reach the other
    VMs before the trial starts.  ``judgement_period`` is how long after a
    second death the verdict waits for signs of a larger loss.
    """

    suspicion_period: datetime.timedelta = datetime.timedelta(minutes=1)
    quarantine_period: datetime.timedelta = datetime.timedelta(minutes=10)
    trial_period: datetime.timedelta = datetime.timedelta(seconds=10)
    settle_period: datetime.timedelta = datetime.timedelta(milliseconds=20)
    judgement_period: datetime.timedelta = datetime.timedelta(seconds=1)
    retry_after_trial: datetime.timedelta = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class InFlightRequest:
    """One request that an endpoint was running as it died.

    ``endpoint_seen_alive`` tells that the endpoint gave a sign of life
    after it was given the request: a byte, or a fresh connection accepted.
    """

    request_id: model.RequestId
    fingerprint: _rumour.Fingerprint
    endpoint_seen_alive: bool


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointDied:
    """An endpoint died; ``in_flight`` lists this VM's requests on it."""

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation
    in_flight: tuple[InFlightRequest, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class BroadcastRumour:
    """Push the rumour to the other VMs at once, and gossip it."""

    rumour: _rumour.Rumour


@dataclasses.dataclass(slots=True, frozen=True)
class ResumeAnywhere:
    """Resume the request on any endpoint."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class StartTrial:
    """Resume the request away from ``Quarantine.trial_endpoints``.

    Use a fresh connection for each stage that is new to the request, and
    call ``trial_placed`` with those endpoints, or ``postpone_trial``.
    """

    request_id: model.RequestId
    fingerprint: _rumour.Fingerprint


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerQuarantined:
    """Give the request its final answer now."""

    request_id: model.RequestId
    failure: RequestQuarantined


@dataclasses.dataclass(slots=True, frozen=True)
class CancelCopies:
    """Cancel this VM's running copies of the request, but not its trial.

    Pass each to ``Quarantine.hold_for_trial``, where it waits for the outcome.
    """

    fingerprint: _rumour.Fingerprint


QuarantineEffect = (
    BroadcastRumour
    | ResumeAnywhere
    | StartTrial
    | AnswerQuarantined
    | CancelCopies
)


@dataclasses.dataclass(slots=True, frozen=True)
class RunNormally:
    """Nothing is held against the request."""


@dataclasses.dataclass(slots=True, frozen=True)
class RunOnTrial:
    """Hand the request to ``hold_for_trial`` in place of dispatching it."""


QuarantineVerdict = RunNormally | RunOnTrial
QuarantineRefusal = RequestQuarantined | RequestOnTrial
