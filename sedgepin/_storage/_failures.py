"""Failures to open the data folder or the log."""

import dataclasses
import typing

from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class FolderLocked(errors.Failure):
    """Another process has locked the data folder."""

    code: typing.ClassVar[str] = "folder_locked"
    title: typing.ClassVar[str] = "Another process uses the data folder"

    path: str

    def detail(self) -> str:
        """Return the path of the folder."""
        return f"{self.path} is locked by another process"


@dataclasses.dataclass(slots=True, frozen=True)
class LogDamaged(errors.Failure):
    """Synced bytes of the log or snapshot are corrupt.

    The member must not start: entries that it has acknowledged may be
    missing.  Once its data folder is emptied, the VM rejoins as a new member.
    """

    code: typing.ClassVar[str] = "log_damaged"
    title: typing.ClassVar[str] = "The log is damaged"

    file: str
    offset_bytes: int
    problem: str

    def detail(self) -> str:
        """Return the file, the offset of the damage and the problem."""
        return f"{self.file} at byte {self.offset_bytes}: {self.problem}"


@dataclasses.dataclass(slots=True, frozen=True)
class LogVersionUnknown(errors.Failure):
    """The log or snapshot has a format version that is not supported."""

    code: typing.ClassVar[str] = "log_version_unknown"
    title: typing.ClassVar[str] = "The log has an unknown format version"

    file: str
    offset_bytes: int
    version: int
    supported_version: int

    def detail(self) -> str:
        """Return the file, the offset and both versions."""
        return (
            f"{self.file} at byte {self.offset_bytes}: format version "
            f"{self.version}, expected {self.supported_version}"
        )


OpenFailure: typing.TypeAlias = LogDamaged | LogVersionUnknown
