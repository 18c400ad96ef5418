"""The failure of a request whose bytes are not held any longer."""

import dataclasses
import datetime
import typing

from sedgepin import errors

_RETRY_AFTER = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class MemoryExhausted(errors.Failure):
    """A request that nobody has run was the largest holder at the bound."""

    code: typing.ClassVar[str] = "memory_exhausted"
    title: typing.ClassVar[str] = "The memory for open requests is used up"
    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return the delay before a retry."""
        return _RETRY_AFTER
