"""Failures that a control VM gives its peers."""

import dataclasses
import typing

from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class CommandNotAllowed(errors.Failure):
    """A peer asked for a command that is not its to ask for."""

    code: typing.ClassVar[str] = "command_not_allowed"
    title: typing.ClassVar[str] = "The peer may not ask for this command"
    http_status: typing.ClassVar[int] = 403

    command: str

    def detail(self) -> str:
        """Return the command."""
        return self.command
