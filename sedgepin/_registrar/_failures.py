"""Failures of calls to a control VM."""

import dataclasses
import datetime
import typing

from sedgepin import errors

# About the duration of an election, after which another VM may lead.
_ELECTION_RETRY_AFTER = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(slots=True, frozen=True)
class NoQuorum(errors.Failure):
    """No leader is known to this VM, so it can neither write nor read."""

    code: typing.ClassVar[str] = "no_quorum"
    title: typing.ClassVar[str] = "No leader with a quorum is known here"
    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Time after which an election is probably over."""
        return _ELECTION_RETRY_AFTER


@dataclasses.dataclass(slots=True, frozen=True)
class Draining(errors.Failure):
    """This VM stops; another control VM can answer the call."""

    code: typing.ClassVar[str] = "draining"
    title: typing.ClassVar[str] = "This VM is shutting down"
    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Time after which another VM probably leads."""
        return _ELECTION_RETRY_AFTER


@dataclasses.dataclass(slots=True, frozen=True)
class CommitUnknown(errors.Failure):
    """The change was proposed; whether it was committed is not known."""

    code: typing.ClassVar[str] = "fate_unknown"
    title: typing.ClassVar[str] = "The change may or may not be accepted"
    http_status: typing.ClassVar[int] = 504
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


@dataclasses.dataclass(slots=True, frozen=True)
class NothingPublished(errors.Failure):
    """No configuration has been published yet."""

    code: typing.ClassVar[str] = "nothing_published"
    title: typing.ClassVar[str] = "No configuration was published yet"
    http_status: typing.ClassVar[int] = 503


@dataclasses.dataclass(slots=True, frozen=True)
class NotFound(errors.Failure):
    """The control API has no resource at this path."""

    code: typing.ClassVar[str] = "not_found"
    title: typing.ClassVar[str] = "There is nothing under this path"
    http_status: typing.ClassVar[int] = 404
