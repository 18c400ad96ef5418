"""Failures of HTTP connections, as server and as client."""

import dataclasses
import typing

from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class RequestUnreadable(errors.Failure):
    """The caller sent bytes that are not a valid HTTP request."""

    code: typing.ClassVar[str] = "request_unreadable"
    title: typing.ClassVar[str] = "The request cannot be read"
    http_status: typing.ClassVar[int] = 400

    reason: str

    def detail(self) -> str:
        """Return the parser's error."""
        return f"{self.title}: {self.reason}"


@dataclasses.dataclass(slots=True, frozen=True)
class MethodUnsupported(errors.Failure):
    """The caller asks for a tunnel; a success would have no body."""

    code: typing.ClassVar[str] = "method_unsupported"
    title: typing.ClassVar[str] = "CONNECT is not supported"
    http_status: typing.ClassVar[int] = 501


@dataclasses.dataclass(slots=True, frozen=True)
class HeadTooLarge(errors.Failure):
    """The request's header section is over the configured limit."""

    code: typing.ClassVar[str] = "head_too_large"
    title: typing.ClassVar[str] = "The request head is too large"
    http_status: typing.ClassVar[int] = 431


@dataclasses.dataclass(slots=True, frozen=True)
class BodyTooLarge(errors.Failure):
    """The request's body is over the configured limit."""

    code: typing.ClassVar[str] = "body_too_large"
    title: typing.ClassVar[str] = "The request body is too large"
    http_status: typing.ClassVar[int] = 413


@dataclasses.dataclass(slots=True, frozen=True)
class RequestTooSlow(errors.Failure):
    """The header section or the body arrived too slowly."""

    code: typing.ClassVar[str] = "request_too_slow"
    title: typing.ClassVar[str] = "The request did not arrive in time"
    http_status: typing.ClassVar[int] = 408


@dataclasses.dataclass(slots=True, frozen=True)
class RequestTooFragmented(errors.Failure):
    """The request arrives in more pieces than are worth their time."""

    code: typing.ClassVar[str] = "request_too_fragmented"
    title: typing.ClassVar[str] = "The request arrives in too many pieces"
    http_status: typing.ClassVar[int] = 413


@dataclasses.dataclass(slots=True, frozen=True)
class HandlerFailed(errors.Failure):
    """An exception that nobody expected ended the request.

    It may have run.
    """

    code: typing.ClassVar[str] = "handler_failed"
    title: typing.ClassVar[str] = "The request failed unexpectedly"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


@dataclasses.dataclass(slots=True, frozen=True)
class ConnectFailed(errors.Failure):
    """No connection to the endpoint; nothing was sent."""

    code: typing.ClassVar[str] = "connect_failed"
    title: typing.ClassVar[str] = "The endpoint cannot be reached"
    http_status: typing.ClassVar[int] = 503

    address: str
    reason: str

    @property
    def is_refused(self) -> bool:
        """Whether no process serves at the address.

        Any other failure may be one of the network or of this process.
        """
        return self.reason == ConnectionRefusedError.__name__

    @property
    def is_reset(self) -> bool:
        """Whether a process accepted the connection and reset it at once."""
        return self.reason == ConnectionResetError.__name__

    def detail(self) -> str:
        """Return the address and the class name of the exception."""
        return f"{self.address}: {self.reason}"


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerBroken(errors.Failure):
    """The endpoint's answer is incomplete or not valid HTTP.

    The endpoint may have run the request.  ``has_data`` is set if any byte of
    an answer has arrived.  ``is_invalid`` tells that it sent bytes that are
    no answer, rather than too few.
    """

    code: typing.ClassVar[str] = "answer_broken"
    title: typing.ClassVar[str] = "The endpoint's answer broke off"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    address: str
    reason: str
    is_timeout: bool = False
    has_data: bool = False
    is_invalid: bool = False

    @property
    def is_reset(self) -> bool:
        """Whether the connection was closed or reset without an answer."""
        return not self.is_timeout and not self.has_data

    def detail(self) -> str:
        """Return the address and the reason."""
        return f"{self.address}: {self.reason}"
