"""Base types for failures.

A failure that the calling code must handle is returned as a ``result.Err``
with an instance of ``Failure``.  ``FailureRaised`` carries a failure through
interfaces that report errors only by exceptions.  Each failure class defines
a code, an HTTP status and whether the failed request was run.
"""

import dataclasses
import datetime
import enum
import typing


class Outcome(enum.Enum):
    """Whether a failed request was run by an endpoint."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """The base class of all failures.

    ``code`` identifies the failure in problem documents and log lines.
    """

    code: typing.ClassVar[str] = "failure"
    title: typing.ClassVar[str] = "The request failed"
    http_status: typing.ClassVar[int] = 500
    outcome: typing.ClassVar[Outcome] = Outcome.NOT_RUN

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return the delay before a retry, or ``None`` if none would help."""
        return None

    def detail(self) -> str:
        """Return a description of this occurrence for a human reader."""
        return self.title


class FailureRaised(Exception):
    """Carries a failure through interfaces that only pass exceptions."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.code, failure.detail())
        self.failure = failure


@dataclasses.dataclass(slots=True, frozen=True)
class FieldFault:
    """A fault in a document: the field's path and what is wrong with it."""

    field: str
    problem: str

    def __str__(self) -> str:
        return f"{self.field}: {self.problem}"


@dataclasses.dataclass(slots=True, frozen=True)
class DocumentRefused(Failure):
    """A document, such as a settings file or a release note, has faults."""

    code: typing.ClassVar[str] = "document_refused"
    title: typing.ClassVar[str] = "The document has faults"
    http_status: typing.ClassVar[int] = 422

    document: str
    faults: tuple[FieldFault, ...]

    def detail(self) -> str:
        """Return the document's name and all faults in one line."""
        listed = "; ".join(str(fault) for fault in self.faults)
        return f"{self.document}: {listed}"
