"""Failures of requests that were not admitted, and so were not run."""

import dataclasses
import datetime
import typing

from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class NotAdmitted(errors.Failure):
    """Base class of all refusals.

    ``retry_delay`` is the time after which the caller should retry.
    """

    http_status: typing.ClassVar[int] = 503
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.NOT_RUN

    retry_delay: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return the time after which the caller should retry."""
        return self.retry_delay

    def detail(self) -> str:
        """Return the title and the delay before a retry, in seconds."""
        seconds = self.retry_delay.total_seconds()
        return f"{self.title}; retry after {seconds:.1f} s"


@dataclasses.dataclass(slots=True, frozen=True)
class TooManyOpenRequests(NotAdmitted):
    """The customer has reached its limit of open requests."""

    code: typing.ClassVar[str] = "too_many_open_requests"
    title: typing.ClassVar[str] = "Too many requests of this customer are open"
    http_status: typing.ClassVar[int] = 429


@dataclasses.dataclass(slots=True, frozen=True)
class RateExceeded(NotAdmitted):
    """The customer has exceeded its limit of tokens per second."""

    code: typing.ClassVar[str] = "rate_exceeded"
    title: typing.ClassVar[str] = "The customer's rate of tokens is used up"
    http_status: typing.ClassVar[int] = 429


@dataclasses.dataclass(slots=True, frozen=True)
class QueueFull(NotAdmitted):
    """A queue limit was reached; this request was the one to drop.

    When the whole queue is full, the last request of the customer with the
    longest queue relative to its weight is dropped.
    """

    code: typing.ClassVar[str] = "queue_full"
    title: typing.ClassVar[str] = "The queue is full"
    http_status: typing.ClassVar[int] = 429


@dataclasses.dataclass(slots=True, frozen=True)
class DeadlineCannotBeMet(NotAdmitted):
    """The request is predicted to finish after its deadline."""

    code: typing.ClassVar[str] = "deadline_cannot_be_met"
    title: typing.ClassVar[str] = "The request cannot be finished in time"


@dataclasses.dataclass(slots=True, frozen=True)
class NoCapacity(NotAdmitted):
    """No endpoint has capacity for the request."""

    code: typing.ClassVar[str] = "no_capacity"
    title: typing.ClassVar[str] = "No endpoint can take work"


@dataclasses.dataclass(slots=True, frozen=True)
class Draining(NotAdmitted):
    """This VM is shutting down; another VM can serve the request."""

    code: typing.ClassVar[str] = "draining"
    title: typing.ClassVar[str] = "This VM is shutting down"
