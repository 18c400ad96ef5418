"""Every failure of the system, as a type.

A failure that a caller must decide on travels as ``result.Err`` holding one
of these classes.  ``FailureRaised`` carries one across the edge of a library
that knows only exceptions.  Each class names its code, the HTTP status that
reports it and whether the request that met it was run.
"""

import dataclasses
import datetime
import enum
import typing


class Outcome(enum.Enum):
    """Whether a request was run, as far as it is known."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """The base of all failures."""

    code: typing.ClassVar[str] = "failure"
    title: typing.ClassVar[str] = "The request failed"
    http_status: typing.ClassVar[int] = 500
    outcome: typing.ClassVar[Outcome] = Outcome.NOT_RUN

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return how long to wait before asking again, where that helps."""
        return None

    def detail(self) -> str:
        """Return one sentence for the person who reads the problem."""
        return self.title


class FailureRaised(Exception):
    """Carries a failure through code that knows only exceptions."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.code, failure.detail())
        self.failure = failure


@dataclasses.dataclass(slots=True, frozen=True)
class FieldFault:
    """One fault in a document: the field, the value and what is accepted."""

    field: str
    problem: str

    def __str__(self) -> str:
        return f"{self.field}: {self.problem}"


@dataclasses.dataclass(slots=True, frozen=True)
class DocumentRefused(Failure):
    """A settings file, note or announcement with one or more faults."""

    code: typing.ClassVar[str] = "document_refused"
    title: typing.ClassVar[str] = "The document has faults"
    http_status: typing.ClassVar[int] = 422

    document: str
    faults: tuple[FieldFault, ...]

    def detail(self) -> str:
        """Return all faults in one line."""
        listed = "; ".join(str(fault) for fault in self.faults)
        return f"{self.document}: {listed}"
