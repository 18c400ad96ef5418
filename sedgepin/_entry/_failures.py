"""Failures that an entry VM returns to its callers."""

import dataclasses
import datetime
import typing

from sedgepin import _model as model
from sedgepin import errors

_RETRY_AFTER = datetime.timedelta(seconds=1)
_MIN_DELAY = datetime.timedelta(milliseconds=250)


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceUnknown(errors.Failure):
    """The release note in force has no such service."""

    code: typing.ClassVar[str] = "service_unknown"
    title: typing.ClassVar[str] = "No such service is in force"
    http_status: typing.ClassVar[int] = 404

    service: model.ServiceName

    def detail(self) -> str:
        """Return a message with the name of the service."""
        return f"the release note in force has no service {self.service!r}"


@dataclasses.dataclass(slots=True, frozen=True)
class WrongKindOfService(errors.Failure):
    """A plain service got a completions request, or a model service a call."""

    code: typing.ClassVar[str] = "wrong_kind_of_service"
    title: typing.ClassVar[str] = "The service does not take such requests"
    http_status: typing.ClassVar[int] = 400


@dataclasses.dataclass(slots=True, frozen=True)
class IdempotencyKeyMissing(errors.Failure):
    """A call that may not be repeated has no idempotency key."""

    code: typing.ClassVar[str] = "idempotency_key_missing"
    title: typing.ClassVar[str] = "This call needs an Idempotency-Key header"
    http_status: typing.ClassVar[int] = 400


@dataclasses.dataclass(slots=True, frozen=True)
class NotReady(errors.Failure):
    """The VM has no release note in force yet."""

    code: typing.ClassVar[str] = "not_ready"
    title: typing.ClassVar[str] = "This VM holds no release note yet"
    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long the caller should wait before a retry."""
        return _RETRY_AFTER


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointsLimited(errors.Failure):
    """The endpoints have named limits, and take no more requests now.

    ``retry_delay`` is the time until the first of them is expected to.
    """

    code: typing.ClassVar[str] = "endpoints_limited"
    title: typing.ClassVar[str] = "The endpoints take no more requests now"
    http_status: typing.ClassVar[int] = 503

    endpoints: tuple[model.EndpointId, ...]
    retry_delay: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long the caller should wait before a retry."""
        return self.retry_delay

    def detail(self) -> str:
        """Return the title and the endpoints with limits."""
        return f"{self.title}: {', '.join(self.endpoints)}"


def endpoints_limited(
    free_at: dict[model.EndpointId, datetime.datetime],
    now: datetime.datetime,
) -> EndpointsLimited:
    """Return the failure of a request that fits on none of the endpoints."""
    return EndpointsLimited(
        tuple(sorted(free_at)), max(min(free_at.values()) - now, _MIN_DELAY)
    )


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointFailed(errors.Failure):
    """An endpoint could not be reached, or failed during the request."""

    code: typing.ClassVar[str] = "endpoint_failed"
    title: typing.ClassVar[str] = "An endpoint failed"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    reason: str

    def detail(self) -> str:
        """Return why the endpoint counts as failed."""
        return self.reason


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointRefused(errors.Failure):
    """An engine rejected the request with a client-error status."""

    code: typing.ClassVar[str] = "endpoint_refused"
    title: typing.ClassVar[str] = "An engine does not take the request"
    http_status: typing.ClassVar[int] = 422
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    status: int

    def detail(self) -> str:
        """Return a message with the engine's HTTP status."""
        return f"the engine answered {self.status}"


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointBusy(errors.Failure):
    """An engine is alive but accepts no further requests at present."""

    code: typing.ClassVar[str] = "endpoint_busy"
    title: typing.ClassVar[str] = "An engine takes nothing more at present"
    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long the caller should wait before a retry."""
        return _RETRY_AFTER


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointUnreachable(errors.Failure):
    """No connection to the endpoint could be made; nothing was sent."""

    code: typing.ClassVar[str] = "endpoint_unreachable"
    title: typing.ClassVar[str] = "The endpoint cannot be reached"
    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long the caller should wait before a retry."""
        return _RETRY_AFTER


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerInterrupted(errors.Failure):
    """An answer was started and could not be completed."""

    code: typing.ClassVar[str] = "answer_interrupted"
    title: typing.ClassVar[str] = "The answer could not be finished"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.RAN

    cause: str

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long the caller should wait before a retry."""
        return _RETRY_AFTER

    def detail(self) -> str:
        """Return why the answer could not be completed."""
        return self.cause


@dataclasses.dataclass(slots=True, frozen=True)
class RequestTimedOut(errors.Failure):
    """A request that was running exceeded its deadline."""

    code: typing.ClassVar[str] = "request_timed_out"
    title: typing.ClassVar[str] = "The time allowed is over"
    http_status: typing.ClassVar[int] = 504
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.RAN


@dataclasses.dataclass(slots=True, frozen=True)
class DrainEnded(errors.Failure):
    """This VM stops at the end of its grace period, and an endpoint works."""

    code: typing.ClassVar[str] = "drain_ended"
    title: typing.ClassVar[str] = "This VM stops before the answer is ready"
    http_status: typing.ClassVar[int] = 503
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long the caller should wait before a retry."""
        return _RETRY_AFTER


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointTooSlow(errors.Failure):
    """A plain service did not answer before the call's deadline."""

    code: typing.ClassVar[str] = "endpoint_too_slow"
    title: typing.ClassVar[str] = "The endpoint did not answer in time"
    http_status: typing.ClassVar[int] = 504
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN
