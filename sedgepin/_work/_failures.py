"""Failures of requests that cost more work than they may."""

import dataclasses
import datetime
import typing

from sedgepin import errors

_RETRY_AFTER = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class MessageTooFragmented(errors.Failure):
    """The request arrives in more pieces than its bytes are worth."""

    code: typing.ClassVar[str] = "request_too_fragmented"
    title: typing.ClassVar[str] = "The request arrives in too many pieces"
    http_status: typing.ClassVar[int] = 413


@dataclasses.dataclass(slots=True, frozen=True)
class WorkExhausted(errors.Failure):
    """A request that nobody has run was the costliest of too many."""

    code: typing.ClassVar[str] = "work_exhausted"
    title: typing.ClassVar[str] = "Too many costly requests arrive at once"
    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return the delay before a retry."""
        return _RETRY_AFTER
