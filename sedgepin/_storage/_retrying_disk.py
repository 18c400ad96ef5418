"""A disk that waits for room instead of failing."""

import collections.abc
import errno

from sedgepin._storage import _disk

# A full disk gets room when somebody clears it up, which takes seconds.
_RETRY_SECONDS = 0.1
_FULL = frozenset((errno.ENOSPC, errno.EDQUOT))


class RetryingDisk(_disk.Disk):
    """Tries again what finds no room; every other error is raised.

    Nothing may be acknowledged before it is on the disk, so the process
    waits here as it does for a slow disk; its peers take it for frozen. A
    write that found no room has left nothing behind, unlike a sync that
    failed, after which nobody knows what the disk holds.

    >>> disk = RetryingDisk(folder_disk, time.sleep, on_full, on_room)
    """

    __slots__ = ("_disk", "_on_full", "_on_room", "_sleep")

    def __init__(
        self,
        disk: _disk.Disk,
        sleep: collections.abc.Callable[[float], None],
        on_full: collections.abc.Callable[[str], None],
        on_room: collections.abc.Callable[[float], None],
    ) -> None:
        self._disk = disk
        self._sleep = sleep
        self._on_full = on_full
        self._on_room = on_room

    def append(self, name: str, data: bytes) -> None:
        """Add ``data`` to the end of a file once there is room."""
        self._wait_for_room(lambda: self._disk.append(name, data))

    def replace(self, name: str, data: bytes) -> None:
        """Make ``data`` the whole content once there is room."""
        self._wait_for_room(lambda: self._disk.replace(name, data))

    def sync(self, name: str) -> None:
        """Return once all that was written to the file is durable."""
        self._disk.sync(name)

    def read(self, name: str) -> bytes:
        """Return the whole file."""
        return self._disk.read(name)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Cut the file down to ``size_bytes``."""
        self._disk.truncate(name, size_bytes)

    def names(self) -> list[str]:
        """Return the names of all files."""
        return self._disk.names()

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._disk.remove(name)

    def _wait_for_room(
        self, write: collections.abc.Callable[[], None]
    ) -> None:
        waited = 0.0
        while True:
            try:
                write()
            except OSError as exc:
                if exc.errno not in _FULL:
                    raise
                if not waited:
                    self._on_full(str(exc))
                self._sleep(_RETRY_SECONDS)
                waited += _RETRY_SECONDS
                continue
            if waited:
                self._on_room(waited)
            return
