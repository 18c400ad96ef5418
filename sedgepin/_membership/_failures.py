"""Failures of membership."""

import dataclasses
import datetime
import typing

from sedgepin import errors

_FULL_RETRY = datetime.timedelta(seconds=5)


@dataclasses.dataclass(slots=True, frozen=True)
class NumberTooLarge(errors.Failure):
    """An announcement holds a number that no peer message can carry."""

    code: typing.ClassVar[str] = "number_too_large"
    title: typing.ClassVar[str] = "A number in the announcement is too large"
    http_status: typing.ClassVar[int] = 422

    field: str
    limit: int

    def detail(self) -> str:
        """Return the field and what is accepted."""
        return f"{self.field}: accepted up to {self.limit}"


@dataclasses.dataclass(slots=True, frozen=True)
class DirectoryFull(errors.Failure):
    """The directory holds as many endpoints as it may."""

    code: typing.ClassVar[str] = "directory_full"
    title: typing.ClassVar[str] = "No more endpoints can be taken in"
    http_status: typing.ClassVar[int] = 503

    limit: int

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return how long the endpoint should wait before it tries again."""
        return _FULL_RETRY

    def detail(self) -> str:
        """Return the limit that is reached."""
        return f"the limit of {self.limit} endpoints is reached"
