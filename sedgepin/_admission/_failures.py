"""Why a request was not admitted, and when to come back.

None of these requests was run.
"""

import dataclasses
import datetime
import typing

from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class NotAdmitted(errors.Failure):
    """The base of all refusals; ``retry_delay`` is how long to wait."""

    http_status: typing.ClassVar[int] = 503
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.NOT_RUN

    retry_delay: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long to wait before asking again."""
        return self.retry_delay

    def detail(self) -> str:
        """Return the title and the time to wait."""
        seconds = self.retry_delay.total_seconds()
        return f"{self.title}; come back after {seconds:.1f} s"


@dataclasses.dataclass(slots=True, frozen=True)
class TooManyOpenRequests(NotAdmitted):
    """The customer has as many requests open as it may."""

    code: typing.ClassVar[str] = "too_many_open_requests"
    title: typing.ClassVar[str] = "Too many requests of this customer are open"
    http_status: typing.ClassVar[int] = 429


@dataclasses.dataclass(slots=True, frozen=True)
class RateExceeded(NotAdmitted):
    """The customer has used up its rate of tokens."""

    code: typing.ClassVar[str] = "rate_exceeded"
    title: typing.ClassVar[str] = "The customer's rate of tokens is used up"
    http_status: typing.ClassVar[int] = 429


@dataclasses.dataclass(slots=True, frozen=True)
class QueueFull(NotAdmitted):
    """The queue is full and the customer holds most of it for its weight."""

    code: typing.ClassVar[str] = "queue_full"
    title: typing.ClassVar[str] = "The queue is full"
    http_status: typing.ClassVar[int] = 429


@dataclasses.dataclass(slots=True, frozen=True)
class DeadlineCannotBeMet(NotAdmitted):
    """The request would be finished after its deadline."""

    code: typing.ClassVar[str] = "deadline_cannot_be_met"
    title: typing.ClassVar[str] = "The request cannot be finished in time"


@dataclasses.dataclass(slots=True, frozen=True)
class NoCapacity(NotAdmitted):
    """No endpoint can take work."""

    code: typing.ClassVar[str] = "no_capacity"
    title: typing.ClassVar[str] = "No endpoint can take work"


@dataclasses.dataclass(slots=True, frozen=True)
class Draining(NotAdmitted):
    """The VM is shutting down; another takes the request."""

    code: typing.ClassVar[str] = "draining"
    title: typing.ClassVar[str] = "This VM is shutting down"
