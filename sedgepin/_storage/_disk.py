"""The disk interface: named files that last once they are synced."""

import abc


class Disk(abc.ABC):
    """A flat folder of files.

    Bytes that were appended or cut off survive a crash only after ``sync``
    of the same name.  ``replace`` and ``remove`` are durable on return.  An
    I/O error is raised as ``OSError``.  A write that found no room may be
    tried again; after any other error the process must end, as nobody knows
    what the disk holds.
    """

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Add ``data`` to the end of a file, creating it where needed."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Return once all that was written to the file is durable."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes:
        """Return the whole file; ``FileNotFoundError`` where there is none."""

    @abc.abstractmethod
    def replace(self, name: str, data: bytes) -> None:
        """Make ``data`` the whole content, all of it or none of it."""

    @abc.abstractmethod
    def truncate(self, name: str, size_bytes: int) -> None:
        """Cut the file down to ``size_bytes``."""

    @abc.abstractmethod
    def names(self) -> list[str]:
        """Return the names of all files, in order."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file; nothing happens where there is none."""
