"""What can go wrong on an HTTP connection."""

import dataclasses
import typing

from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class RequestUnreadable(errors.Failure):
    """Bytes that are not an HTTP request."""

    code: typing.ClassVar[str] = "request_unreadable"
    title: typing.ClassVar[str] = "The request cannot be read"
    http_status: typing.ClassVar[int] = 400

    reason: str

    def detail(self) -> str:
        """Return what the parser found."""
        return f"{self.title}: {self.reason}"


@dataclasses.dataclass(slots=True, frozen=True)
class HeadTooLarge(errors.Failure):
    """A request head over the limit of the configuration."""

    code: typing.ClassVar[str] = "head_too_large"
    title: typing.ClassVar[str] = "The request head is too large"
    http_status: typing.ClassVar[int] = 431


@dataclasses.dataclass(slots=True, frozen=True)
class BodyTooLarge(errors.Failure):
    """A request body over the limit of the configuration."""

    code: typing.ClassVar[str] = "body_too_large"
    title: typing.ClassVar[str] = "The request body is too large"
    http_status: typing.ClassVar[int] = 413


@dataclasses.dataclass(slots=True, frozen=True)
class RequestTooSlow(errors.Failure):
    """A request that stopped arriving."""

    code: typing.ClassVar[str] = "request_too_slow"
    title: typing.ClassVar[str] = "The request did not arrive in time"
    http_status: typing.ClassVar[int] = 408


@dataclasses.dataclass(slots=True, frozen=True)
class ConnectFailed(errors.Failure):
    """A connection that did not come up: nothing was sent."""

    code: typing.ClassVar[str] = "connect_failed"
    title: typing.ClassVar[str] = "The endpoint cannot be reached"
    http_status: typing.ClassVar[int] = 503

    address: str
    reason: str

    def detail(self) -> str:
        """Return the address and what the system said."""
        return f"{self.address}: {self.reason}"


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerBroken(errors.Failure):
    """An answer that ended early or is no HTTP."""

    code: typing.ClassVar[str] = "answer_broken"
    title: typing.ClassVar[str] = "The endpoint's answer broke off"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    address: str
    reason: str

    def detail(self) -> str:
        """Return the address and how the answer ended."""
        return f"{self.address}: {self.reason}"
