"""Failures of an HTTP request beside those of its processing."""

import dataclasses
import datetime
import typing

from sedgepin import errors

_RETRY_AFTER = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class CredentialRefused(errors.Failure):
    """The request has no credential or an unknown one."""

    code: typing.ClassVar[str] = "credential_refused"
    title: typing.ClassVar[str] = "The credential is missing or not known"
    http_status: typing.ClassVar[int] = 401


@dataclasses.dataclass(slots=True, frozen=True)
class NotFound(errors.Failure):
    """Nothing is served at the request's path and method."""

    code: typing.ClassVar[str] = "not_found"
    title: typing.ClassVar[str] = "Nothing is served there"
    http_status: typing.ClassVar[int] = 404


@dataclasses.dataclass(slots=True, frozen=True)
class BodyTooLarge(errors.Failure):
    """The request body is over the size limit."""

    code: typing.ClassVar[str] = "body_too_large"
    title: typing.ClassVar[str] = "The body is too large"
    http_status: typing.ClassVar[int] = 413

    limit_bytes: int

    def detail(self) -> str:
        """Return the limit."""
        return f"the limit is {self.limit_bytes} bytes"


@dataclasses.dataclass(slots=True, frozen=True)
class BodyTooSlow(errors.Failure):
    """The request body did not arrive in the time for its size."""

    code: typing.ClassVar[str] = "body_too_slow"
    title: typing.ClassVar[str] = "The body did not arrive in time"
    http_status: typing.ClassVar[int] = 408

    received_bytes: int
    limit_seconds: float

    def detail(self) -> str:
        """Return how much came in the time that is allowed for it."""
        return (
            f"{self.received_bytes} bytes came in"
            f" {self.limit_seconds:.1f} seconds"
        )


@dataclasses.dataclass(slots=True, frozen=True)
class HeadersTooLarge(errors.Failure):
    """The header fields are over the limit in the settings."""

    code: typing.ClassVar[str] = "headers_too_large"
    title: typing.ClassVar[str] = "The header fields are too large"
    http_status: typing.ClassVar[int] = 431

    limit_bytes: int

    def detail(self) -> str:
        """Return the limit."""
        return f"the limit is {self.limit_bytes} bytes"


@dataclasses.dataclass(slots=True, frozen=True)
class RequestNotUnderstood(errors.Failure):
    """The request is malformed in a way that the caller can correct."""

    code: typing.ClassVar[str] = "request_not_understood"
    title: typing.ClassVar[str] = "The request cannot be understood"
    http_status: typing.ClassVar[int] = 400

    reason: str

    def detail(self) -> str:
        """Return the reason."""
        return self.reason


@dataclasses.dataclass(slots=True, frozen=True)
class CallerGone(errors.Failure):
    """The caller closed the connection before its request was complete."""

    code: typing.ClassVar[str] = "caller_gone"
    title: typing.ClassVar[str] = "The caller closed the connection"
    http_status: typing.ClassVar[int] = 499


@dataclasses.dataclass(slots=True, frozen=True)
class RequestReleased(errors.Failure):
    """A request that may have run was the largest holder at the bound."""

    code: typing.ClassVar[str] = "request_released"
    title: typing.ClassVar[str] = "The memory for open requests is used up"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return the delay before a retry."""
        return _RETRY_AFTER
