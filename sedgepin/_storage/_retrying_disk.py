"""A disk that waits while it is full, or reports that it is."""

import collections.abc
import errno

from sedgepin._storage import _disk

# Space on a full disk is freed within seconds at best, so that more frequent
# retries would gain nothing.
_RETRY_INTERVAL_SECONDS = 0.1
# ``EFBIG`` is a limit on the size of files, which an operator can raise for a
# running process.
_DISK_FULL_ERRORS = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))


class DiskFull(OSError):
    """A write or sync failed for lack of space; it may be repeated."""


class RetryingDisk(_disk.Disk):
    """Waits for space, or raises ``DiskFull``; raises all other errors.

    While a process starts, writes to a full disk are retried until there is
    space.  Once ``waits`` is false they raise ``DiskFull`` at once, because a
    process that serves must not block.  A sync is never retried: the data may
    have to be written again.

    For each write that waits, ``on_full`` is called once with the text of the
    error, and ``on_space`` with the seconds waited once the write succeeds.

    >>> disk = RetryingDisk(folder_disk, time.sleep, on_full, on_space)
    """

    __slots__ = ("_disk", "_on_full", "_on_space", "_sleep", "waits")

    def __init__(
        self,
        disk: _disk.Disk,
        sleep: collections.abc.Callable[[float], None],
        on_full: collections.abc.Callable[[str], None],
        on_space: collections.abc.Callable[[float], None],
    ) -> None:
        self.waits = True
        self._disk = disk
        self._sleep = sleep
        self._on_full = on_full
        self._on_space = on_space

    def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to a file, which must have no torn end."""
        self._retry_while_full(lambda: self._disk.append(name, data))

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file."""
        self._retry_while_full(lambda: self._disk.replace(name, data))

    def overwrite(self, name: str, offset_bytes: int, data: bytes) -> None:
        """Write ``data`` over that part of an existing file."""
        self._retry_while_full(
            lambda: self._disk.overwrite(name, offset_bytes, data)
        )

    def sync(self, name: str) -> None:
        """Make all earlier writes to the file durable."""
        try:
            self._disk.sync(name)
        except OSError as exc:
            _raise_if_full(exc)
            raise

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return self._disk.read(name)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to ``size_bytes``."""
        self._retry_while_full(lambda: self._disk.truncate(name, size_bytes))

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return self._disk.names()

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._disk.remove(name)

    def _retry_while_full(
        self, write: collections.abc.Callable[[], None]
    ) -> None:
        waited_seconds = 0.0
        while True:
            try:
                write()
            except OSError as exc:
                if exc.errno not in _DISK_FULL_ERRORS:
                    raise
                if not self.waits:
                    _raise_if_full(exc)
                if not waited_seconds:
                    self._on_full(str(exc))
                self._sleep(_RETRY_INTERVAL_SECONDS)
                waited_seconds += _RETRY_INTERVAL_SECONDS
                continue
            if waited_seconds:
                self._on_space(waited_seconds)
            return


def _raise_if_full(exc: OSError) -> None:
    """Raise ``DiskFull`` if an error means that there is no space."""
    if exc.errno in _DISK_FULL_ERRORS:
        raise DiskFull(exc.errno, exc.strerror) from exc
