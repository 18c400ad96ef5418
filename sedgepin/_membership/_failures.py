"""Failures reported to an endpoint that announces itself."""

import dataclasses
import datetime
import typing

from sedgepin import errors

_RETRY_DELAY = datetime.timedelta(seconds=5)


@dataclasses.dataclass(slots=True, frozen=True)
class NumberTooLarge(errors.Failure):
    """An announcement contains a number too large for gossip frames."""

    code: typing.ClassVar[str] = "number_too_large"
    title: typing.ClassVar[str] = "A number in the announcement is too large"
    http_status: typing.ClassVar[int] = 422

    field: str
    limit: int

    def detail(self) -> str:
        """Return the field and the largest accepted value."""
        return f"{self.field} is larger than the limit of {self.limit}"


@dataclasses.dataclass(slots=True, frozen=True)
class DirectoryFull(errors.Failure):
    """The directory has reached its limit of endpoints or tombstones."""

    code: typing.ClassVar[str] = "directory_full"
    title: typing.ClassVar[str] = "No more endpoints can be taken in"
    http_status: typing.ClassVar[int] = 503

    limit: int

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return how long the endpoint should wait before it retries."""
        return _RETRY_DELAY

    def detail(self) -> str:
        """Return the limit that was reached."""
        return f"the limit of {self.limit} endpoints or tombstones is reached"
