"""Failures that an entry VM gives its callers."""

import dataclasses
import datetime
import typing

from sedgepin import _model as model
from sedgepin import errors

_COME_BACK_SOON = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceUnknown(errors.Failure):
    """The release note in force has no such service."""

    code: typing.ClassVar[str] = "service_unknown"
    title: typing.ClassVar[str] = "No such service is in force"
    http_status: typing.ClassVar[int] = 404

    service: model.ServiceName

    def detail(self) -> str:
        """Return the service that was asked for."""
        return f"the release note in force has no service {self.service!r}"


@dataclasses.dataclass(slots=True, frozen=True)
class WrongKindOfService(errors.Failure):
    """A plain service was asked to generate, or a model to take a call."""

    code: typing.ClassVar[str] = "wrong_kind_of_service"
    title: typing.ClassVar[str] = "The service does not take such requests"
    http_status: typing.ClassVar[int] = 400


@dataclasses.dataclass(slots=True, frozen=True)
class IdempotencyKeyMissing(errors.Failure):
    """A call that may not repeat came without an idempotency key."""

    code: typing.ClassVar[str] = "idempotency_key_missing"
    title: typing.ClassVar[str] = "This call needs an Idempotency-Key header"
    http_status: typing.ClassVar[int] = 400


@dataclasses.dataclass(slots=True, frozen=True)
class NotReady(errors.Failure):
    """The VM holds no release note yet."""

    code: typing.ClassVar[str] = "not_ready"
    title: typing.ClassVar[str] = "This VM holds no release note yet"
    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long to wait before asking again."""
        return _COME_BACK_SOON


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointFailed(errors.Failure):
    """An endpoint could not be reached, or failed while it ran."""

    code: typing.ClassVar[str] = "endpoint_failed"
    title: typing.ClassVar[str] = "An endpoint failed"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    reason: str

    def detail(self) -> str:
        """Return what the endpoint did."""
        return self.reason


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointRefused(errors.Failure):
    """An engine answered that it does not take such a request."""

    code: typing.ClassVar[str] = "endpoint_refused"
    title: typing.ClassVar[str] = "An engine does not take the request"
    http_status: typing.ClassVar[int] = 422
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    status: int

    def detail(self) -> str:
        """Return the engine's HTTP status."""
        return f"the engine answered {self.status}"


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointBusy(errors.Failure):
    """An engine is alive and takes nothing more at present."""

    code: typing.ClassVar[str] = "endpoint_busy"
    title: typing.ClassVar[str] = "An engine takes nothing more at present"
    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long to wait before asking again."""
        return _COME_BACK_SOON


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointUnreachable(errors.Failure):
    """No connection to the endpoint came about; nothing was sent."""

    code: typing.ClassVar[str] = "endpoint_unreachable"
    title: typing.ClassVar[str] = "The endpoint cannot be reached"
    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long to wait before asking again."""
        return _COME_BACK_SOON


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerInterrupted(errors.Failure):
    """An answer had begun and could not be brought to its end."""

    code: typing.ClassVar[str] = "answer_interrupted"
    title: typing.ClassVar[str] = "The answer could not be finished"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.RAN

    cause: str

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long to wait before asking again."""
        return _COME_BACK_SOON

    def detail(self) -> str:
        """Return what stood in the way."""
        return self.cause


@dataclasses.dataclass(slots=True, frozen=True)
class RequestTimedOut(errors.Failure):
    """The time allowed for a request that was running is over."""

    code: typing.ClassVar[str] = "request_timed_out"
    title: typing.ClassVar[str] = "The time allowed is over"
    http_status: typing.ClassVar[int] = 504
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.RAN


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointTooSlow(errors.Failure):
    """A plain service did not answer in the time allowed."""

    code: typing.ClassVar[str] = "endpoint_too_slow"
    title: typing.ClassVar[str] = "The endpoint did not answer in time"
    http_status: typing.ClassVar[int] = 504
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN
