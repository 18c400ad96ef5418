"""A disk that retries writes while it is full."""

import collections.abc
import errno

from sedgepin._storage import _disk

# Space on a full disk is freed within seconds at best, so that more frequent
# retries would gain nothing.
_RETRY_INTERVAL_SECONDS = 0.1
_DISK_FULL_ERRORS = frozenset((errno.ENOSPC, errno.EDQUOT))


class RetryingDisk(_disk.Disk):
    """Retries writes that fail on a full disk; raises all other errors.

    Nothing may be acknowledged before it is on disk, so the process blocks
    here as on a slow disk; to its peers it looks frozen.  A write that failed
    for lack of space has changed nothing and may be repeated.  A failed sync
    may not, because the state on disk is then unknown.

    For each write that finds the disk full, ``on_full`` is called once with
    the text of the error, and ``on_space`` with the seconds waited once the
    write succeeds.

    >>> disk = RetryingDisk(folder_disk, time.sleep, on_full, on_space)
    """

    __slots__ = ("_disk", "_on_full", "_on_space", "_sleep")

    def __init__(
        self,
        disk: _disk.Disk,
        sleep: collections.abc.Callable[[float], None],
        on_full: collections.abc.Callable[[str], None],
        on_space: collections.abc.Callable[[float], None],
    ) -> None:
        self._disk = disk
        self._sleep = sleep
        self._on_full = on_full
        self._on_space = on_space

    def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to a file, waiting for space if needed."""
        self._retry_while_full(lambda: self._disk.append(name, data))

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file, waiting for space if needed."""
        self._retry_while_full(lambda: self._disk.replace(name, data))

    def sync(self, name: str) -> None:
        """Make all earlier writes to the file durable."""
        self._disk.sync(name)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return self._disk.read(name)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to ``size_bytes``."""
        self._disk.truncate(name, size_bytes)

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
                if not waited_seconds:
                    self._on_full(str(exc))
                self._sleep(_RETRY_INTERVAL_SECONDS)
                waited_seconds += _RETRY_INTERVAL_SECONDS
                continue
            if waited_seconds:
                self._on_space(waited_seconds)
            return
