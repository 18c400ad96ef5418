"""Failures that a gateway reports to callers."""

import dataclasses
import datetime
import typing

from sedgepin import errors

# Short, since another entry VM may be able to serve the request.
_REFUSED_RETRY_AFTER = datetime.timedelta(milliseconds=250)
# After the start of a VM, the configuration must come into force and endpoints
# must send heartbeats.  This takes 0.5 to 1 s after a power loss of all VMs.
_STARTUP_RETRY_AFTER = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class NoConfiguration(errors.Failure):
    """This VM has not received a configuration yet."""

    code: typing.ClassVar[str] = "no_configuration"
    title: typing.ClassVar[str] = "No configuration is known here yet"
    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return when a configuration is likely to be in force."""
        return _STARTUP_RETRY_AFTER


@dataclasses.dataclass(slots=True, frozen=True)
class RouteUnknown(errors.Failure):
    """No route matches the host and path of the request."""

    code: typing.ClassVar[str] = "route_unknown"
    title: typing.ClassVar[str] = "No route fits this host and path"
    http_status: typing.ClassVar[int] = 404


@dataclasses.dataclass(slots=True, frozen=True)
class KeyUnknown(errors.Failure):
    """The request carries no API key, or one of no customer."""

    code: typing.ClassVar[str] = "key_unknown"
    title: typing.ClassVar[str] = "The key is missing or not known"
    http_status: typing.ClassVar[int] = 401


@dataclasses.dataclass(slots=True, frozen=True)
class NoEndpoint(errors.Failure):
    """No endpoint is available for the request.

    ``retry_delay`` is the estimated time until one has free capacity.
    """

    code: typing.ClassVar[str] = "no_endpoint"
    title: typing.ClassVar[str] = "No endpoint can take the request now"
    http_status: typing.ClassVar[int] = 503

    service: str
    retry_delay: datetime.timedelta = _STARTUP_RETRY_AFTER

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return when an endpoint is likely to have free capacity."""
        return self.retry_delay

    def detail(self) -> str:
        """Return the title and the service that has no endpoint."""
        return f"{self.title}: {self.service}"


@dataclasses.dataclass(slots=True, frozen=True)
class Draining(errors.Failure):
    """This VM stops before the request could be expected to end."""

    code: typing.ClassVar[str] = "draining"
    title: typing.ClassVar[str] = "This VM stops before the request could end"
    http_status: typing.ClassVar[int] = 503

    retry_delay: datetime.timedelta = _REFUSED_RETRY_AFTER

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return when an entry VM is likely to serve the request."""
        return self.retry_delay


@dataclasses.dataclass(slots=True, frozen=True)
class DrainEnded(errors.Failure):
    """This VM stops; the request was sent to an endpoint before."""

    code: typing.ClassVar[str] = "drain_ended"
    title: typing.ClassVar[str] = "No answer came before this VM stopped"
    http_status: typing.ClassVar[int] = 504
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


@dataclasses.dataclass(slots=True, frozen=True)
class RefusedByEndpoints(errors.Failure):
    """Every endpoint that was tried refused the request without running it."""

    code: typing.ClassVar[str] = "refused_by_endpoints"
    title: typing.ClassVar[str] = "The endpoints refused the request"
    http_status: typing.ClassVar[int] = 503

    attempts: int
    retry_delay: datetime.timedelta = _REFUSED_RETRY_AFTER

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return when an endpoint may have free capacity again."""
        return self.retry_delay


@dataclasses.dataclass(slots=True, frozen=True)
class OutcomeUnknown(errors.Failure):
    """The request may have run, but no complete answer was received."""

    code: typing.ClassVar[str] = "outcome_unknown"
    title: typing.ClassVar[str] = "The request may have run"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    reason: str

    def detail(self) -> str:
        """Return the title and how the last attempt ended."""
        return f"{self.title}: {self.reason}"


@dataclasses.dataclass(slots=True, frozen=True)
class DeadlinePassed(errors.Failure):
    """The deadline passed after the request was sent to an endpoint."""

    code: typing.ClassVar[str] = "deadline_passed"
    title: typing.ClassVar[str] = "No answer came in time"
    http_status: typing.ClassVar[int] = 504
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


@dataclasses.dataclass(slots=True, frozen=True)
class RequestQuarantined(errors.Failure):
    """The request contains what crashes endpoints, and has not run.

    Coming back does not help.
    """

    code: typing.ClassVar[str] = "request_quarantined"
    title: typing.ClassVar[str] = "The request crashes its endpoints"
    http_status: typing.ClassVar[int] = 500

    cause: str

    def detail(self) -> str:
        """Return the title and what crashes the endpoints."""
        return f"{self.title}: {self.cause}"


@dataclasses.dataclass(slots=True, frozen=True)
class RequestRefused(errors.Failure):
    """The request lacks a required header or has a malformed one."""

    code: typing.ClassVar[str] = "request_refused"
    title: typing.ClassVar[str] = "The request is not complete"
    http_status: typing.ClassVar[int] = 400

    reason: str

    def detail(self) -> str:
        """Return the title and which header is missing or malformed."""
        return f"{self.title}: {self.reason}"
