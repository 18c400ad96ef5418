"""Why a log cannot be opened."""

import dataclasses
import typing

from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class FolderLocked(errors.Failure):
    """Another process holds the data folder."""

    code: typing.ClassVar[str] = "folder_locked"
    title: typing.ClassVar[str] = "Another process uses the data folder"

    path: str

    def detail(self) -> str:
        """Return the folder."""
        return f"{self.path} is locked by another process"


@dataclasses.dataclass(slots=True, frozen=True)
class LogDamaged(errors.Failure):
    """Synced bytes of the log or snapshot are not what was written.

    The member must not run on it: what it acknowledged may be gone.  With
    the folder emptied, the VM comes back as a new member.
    """

    code: typing.ClassVar[str] = "log_damaged"
    title: typing.ClassVar[str] = "The log is damaged"

    file: str
    offset_bytes: int
    problem: str

    def detail(self) -> str:
        """Return the file, the offset and what is wrong there."""
        return f"{self.file} at byte {self.offset_bytes}: {self.problem}"


@dataclasses.dataclass(slots=True, frozen=True)
class LogVersionUnknown(errors.Failure):
    """The log was written by a version that this one cannot read."""

    code: typing.ClassVar[str] = "log_version_unknown"
    title: typing.ClassVar[str] = "The log has an unknown format version"

    file: str
    offset_bytes: int
    version: int
    supported_version: int

    def detail(self) -> str:
        """Return the file, the offset and both versions."""
        return (
            f"{self.file} at byte {self.offset_bytes}: version "
            f"{self.version}, this program reads {self.supported_version}"
        )


OpenFailure: typing.TypeAlias = LogDamaged | LogVersionUnknown
