"""Why a gateway did not answer a request with an endpoint's answer."""

import dataclasses
import datetime
import typing

from sedgepin import errors

# Another entry VM may be better off; asking again at once finds out.
_COME_BACK_SOON = datetime.timedelta(milliseconds=250)
# From the start of a VM, or of all, until the configuration is in force and
# the endpoints are heard: 0.5 to 1 s after a loss of power.
_COME_BACK_AFTER_START = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class NoConfiguration(errors.Failure):
    """This VM has not learned a configuration yet."""

    code: typing.ClassVar[str] = "no_configuration"
    title: typing.ClassVar[str] = "No configuration is known here yet"
    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return when one may be known."""
        return _COME_BACK_AFTER_START


@dataclasses.dataclass(slots=True, frozen=True)
class RouteUnknown(errors.Failure):
    """No route fits the host and the path."""

    code: typing.ClassVar[str] = "route_unknown"
    title: typing.ClassVar[str] = "No route fits this host and path"
    http_status: typing.ClassVar[int] = 404


@dataclasses.dataclass(slots=True, frozen=True)
class KeyUnknown(errors.Failure):
    """The request carries no key of a customer."""

    code: typing.ClassVar[str] = "key_unknown"
    title: typing.ClassVar[str] = "The key is missing or not known"
    http_status: typing.ClassVar[int] = 401


@dataclasses.dataclass(slots=True, frozen=True)
class NoEndpoint(errors.Failure):
    """No endpoint that may run the request can be reached."""

    code: typing.ClassVar[str] = "no_endpoint"
    title: typing.ClassVar[str] = "No endpoint can take the request now"
    http_status: typing.ClassVar[int] = 503

    service: str
    come_back_after: datetime.timedelta = _COME_BACK_AFTER_START

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return when an endpoint may be free."""
        return self.come_back_after

    def detail(self) -> str:
        """Return the service that has no endpoint."""
        return f"{self.title}: {self.service}"


@dataclasses.dataclass(slots=True, frozen=True)
class RefusedByEndpoints(errors.Failure):
    """Every endpoint that was tried said that it did not run the request."""

    code: typing.ClassVar[str] = "refused_by_endpoints"
    title: typing.ClassVar[str] = "The endpoints refused the request"
    http_status: typing.ClassVar[int] = 503

    attempts: int

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return when an endpoint may have room."""
        return _COME_BACK_SOON


@dataclasses.dataclass(slots=True, frozen=True)
class OutcomeUnknown(errors.Failure):
    """The request was sent and may have run, but no answer came."""

    code: typing.ClassVar[str] = "outcome_unknown"
    title: typing.ClassVar[str] = "The request may have run"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    reason: str

    def detail(self) -> str:
        """Return how the last attempt ended."""
        return f"{self.title}: {self.reason}"


@dataclasses.dataclass(slots=True, frozen=True)
class DeadlinePassed(errors.Failure):
    """The request was sent, and its time is over without a whole answer."""

    code: typing.ClassVar[str] = "deadline_passed"
    title: typing.ClassVar[str] = "No answer came in time"
    http_status: typing.ClassVar[int] = 504
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


@dataclasses.dataclass(slots=True, frozen=True)
class RequestQuarantined(errors.Failure):
    """The request crashed the endpoints that ran it and is not run again."""

    code: typing.ClassVar[str] = "request_quarantined"
    title: typing.ClassVar[str] = "The request crashes its endpoints"
    http_status: typing.ClassVar[int] = 500


@dataclasses.dataclass(slots=True, frozen=True)
class RequestRefused(errors.Failure):
    """A request that lacks what every request must say."""

    code: typing.ClassVar[str] = "request_refused"
    title: typing.ClassVar[str] = "The request is not complete"
    http_status: typing.ClassVar[int] = 400

    reason: str

    def detail(self) -> str:
        """Return what is missing or wrong."""
        return f"{self.title}: {self.reason}"
