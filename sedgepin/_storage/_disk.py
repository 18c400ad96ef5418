"""The disk interface: named files that are durable once synced."""

import abc


class Disk(abc.ABC):
    """A flat folder of files.

    ``append``, ``overwrite`` and ``truncate`` are durable only after ``sync``
    of the same file; ``replace`` and ``remove`` are durable on return.  I/O
    errors are raised as ``OSError``.  A failed ``append`` may have written a
    part of the data, and a failed ``sync`` may have lost what was appended
    before it.  If the disk is full, ``replace`` may be repeated, and so may
    ``append`` once the file was truncated to its last synced size.  After any
    other error the state on disk is unknown, so the process must exit.
    """

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to a file, which is created if it does not exist."""

    @abc.abstractmethod
    def overwrite(self, name: str, offset_bytes: int, data: bytes) -> None:
        """Write ``data`` over that part of an existing file."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Make all earlier writes to the file durable."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes:
        """Return the content of a file, or raise ``FileNotFoundError``."""

    @abc.abstractmethod
    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file atomically."""

    @abc.abstractmethod
    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to ``size_bytes``."""

    @abc.abstractmethod
    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
