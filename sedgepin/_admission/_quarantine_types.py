"""Events, effects, failures and settings of the quarantine."""

import dataclasses
import datetime
import typing

import msgspec

from sedgepin._admission import _rumour
from sedgepin import _model as model
from sedgepin import errors


# A request survives its trial when it delivers this many tokens past the
# point at which an endpoint died, or when it ends.
TRIAL_MARGIN_TOKENS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class RequestQuarantined(errors.Failure):
    """The request is quarantined because two endpoints died running it.

    Earlier copies of it may have run, so the outcome is unknown.
    """

    code: typing.ClassVar[str] = "request_quarantined"
    title: typing.ClassVar[str] = "Endpoints died running this request"
    http_status: typing.ClassVar[int] = 422
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    remaining: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return the remaining time of the quarantine."""
        return self.remaining


@dataclasses.dataclass(slots=True, frozen=True)
class PromptHeldBack(errors.Failure):
    """The prompt contains what crashes endpoints; the request has not run.

    ``cause`` names the part that it shares with the requests under which
    endpoints died.
    """

    code: typing.ClassVar[str] = "request_quarantined"
    title: typing.ClassVar[str] = "Endpoints died running such prompts"
    http_status: typing.ClassVar[int] = 422

    cause: str
    remaining: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return the remaining time of the quarantine."""
        return self.remaining

    def detail(self) -> str:
        """Return the title and the part at fault."""
        return f"{self.title}: {self.cause}"


@dataclasses.dataclass(slots=True, frozen=True)
class RequestOnTrial(errors.Failure):
    """Another copy of the request is on trial after an endpoint death.

    This copy was not dispatched, but the one on trial was, so the outcome
    is unknown.
    """

    code: typing.ClassVar[str] = "request_on_trial"
    title: typing.ClassVar[str] = "A copy of this request is being run alone"
    http_status: typing.ClassVar[int] = 409
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    remaining: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return the time until the trial is expected to end."""
        return self.remaining


class QuarantineSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Durations of suspicion, trial and quarantine.

    A request stays a suspect for ``suspicion_period`` after a death and
    quarantined for ``quarantine_period``.  A claim to a trial is valid for
    ``trial_period``; the trial starts ``settle_period`` after the claim, so
    that the claim reaches the other VMs first.  The verdict after a second
    death is delayed by ``judgement_period``, in which further deaths may show
    a correlated failure.  A quarantine waits until ``silence_period`` after
    each death of an endpoint that only fell silent and may go on.  Copies
    refused during a trial are told to retry after ``retry_after_trial``.
    """

    suspicion_period: datetime.timedelta = datetime.timedelta(minutes=1)
    quarantine_period: datetime.timedelta = datetime.timedelta(minutes=10)
    trial_period: datetime.timedelta = datetime.timedelta(seconds=10)
    settle_period: datetime.timedelta = datetime.timedelta(milliseconds=20)
    judgement_period: datetime.timedelta = datetime.timedelta(seconds=1)
    silence_period: datetime.timedelta = datetime.timedelta(seconds=4)
    retry_after_trial: datetime.timedelta = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class InFlightRequest:
    """A request that an endpoint was running when it died.

    ``endpoint_seen_alive`` is set if the endpoint sent a byte or accepted a
    new connection after it received the request.
    """

    request_id: model.RequestId
    fingerprint: _rumour.Fingerprint
    endpoint_seen_alive: bool


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointDied:
    """An endpoint died while running this VM's requests ``in_flight``.

    ``is_silent`` is set if it only stopped answering.  If it goes on, call
    ``Quarantine.death_disproved``.
    """

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation
    in_flight: tuple[InFlightRequest, ...] = ()
    is_silent: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class BroadcastRumour:
    """Send the rumour to all other VMs at once, and gossip it."""

    rumour: _rumour.Rumour


@dataclasses.dataclass(slots=True, frozen=True)
class ResumeAnywhere:
    """Resume the request on any endpoint, without a trial."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class StartTrial:
    """Resume the request on endpoints outside ``Quarantine.trial_endpoints``.

    Open a new connection to each endpoint that has not run the request, and
    pass these endpoints to ``trial_placed``.  Call ``postpone_trial`` if no
    endpoint is free.
    """

    request_id: model.RequestId
    fingerprint: _rumour.Fingerprint


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerQuarantined:
    """Answer the request with its final failure."""

    request_id: model.RequestId
    failure: RequestQuarantined


@dataclasses.dataclass(slots=True, frozen=True)
class CancelCopies:
    """Cancel this VM's running copies of the request except the trial.

    Pass each to ``Quarantine.hold_for_trial``, where it waits for the
    verdict.
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
    """The request is not suspected: dispatch it as usual."""


@dataclasses.dataclass(slots=True, frozen=True)
class RunOnTrial:
    """Pass the request to ``hold_for_trial`` instead of dispatching it."""


QuarantineDecision = RunNormally | RunOnTrial
QuarantineRefusal = RequestQuarantined | RequestOnTrial
