"""Failures that a control VM returns to its peers."""

import dataclasses
import typing

from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class CommandNotAllowed(errors.Failure):
    """A peer proposed a command that it may not propose."""

    code: typing.ClassVar[str] = "command_not_allowed"
    title: typing.ClassVar[str] = "The peer may not ask for this command"
    http_status: typing.ClassVar[int] = 403

    command: str

    def detail(self) -> str:
        """Return the type of the command."""
        return self.command
