"""A disk on the file system: one locked folder."""

import contextlib
import dataclasses
import fcntl
import os
import pathlib

import result

from sedgepin._storage import _disk
from sedgepin._storage import _failures

_LOCK_NAME = "lock"
_TEMPORARY_SUFFIX = ".aside"
_FILE_MODE = 0o640


@dataclasses.dataclass(slots=True, frozen=True)
class FolderLock:
    """The lock of a data folder, and ``CLOCK_BOOTTIME`` once it was taken.

    Each earlier process that used the folder had ended by then.
    """

    fd: int
    boottime_seconds: float


class FolderDisk(_disk.Disk):
    """Files in one folder, locked against use by other processes.

    Create it with ``open``, which takes the lock:

    >>> import tempfile
    >>> folder = tempfile.mkdtemp()
    >>> disk = FolderDisk.open(pathlib.Path(folder)).unwrap()
    >>> disk.replace("greeting", b"hello")
    >>> disk.read("greeting")
    b'hello'
    >>> disk.close()
    """

    __slots__ = (
        "_file_fds",
        "_folder_fd",
        "_lock_fd",
        "_sizes_to_restore",
        "path",
    )

    def __init__(self, path: pathlib.Path, lock_fd: int) -> None:
        self.path = path
        self._lock_fd = lock_fd
        self._folder_fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self._file_fds: dict[str, int] = {}
        self._sizes_to_restore: dict[str, int] = {}

    @classmethod
    def open(
        cls, path: pathlib.Path, lock: FolderLock | None = None
    ) -> result.Result["FolderDisk", _failures.FolderLocked]:
        """Create the folder if needed, lock it and return the disk.

        The lock is ``flock(2)``, which the kernel releases when the process
        ends.  ``lock`` is one that this process has taken before.
        """
        path.mkdir(parents=True, exist_ok=True)
        if lock is not None:
            disk = cls(path, lock.fd)
            disk.remove_temporary_files()
            return result.Ok(disk)
        lock_fd = os.open(path / _LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock_fd)
            return result.Err(_failures.FolderLocked(str(path)))
        disk = cls(path, lock_fd)
        disk.remove_temporary_files()
        return result.Ok(disk)

    def close(self) -> None:
        """Close all files and release the lock."""
        for fd in self._file_fds.values():
            os.close(fd)
        self._file_fds.clear()
        os.close(self._folder_fd)
        os.close(self._lock_fd)

    def remove_temporary_files(self) -> None:
        """Remove what replacements that did not complete have left.

        Errors are ignored: some file systems need space to remove a file.
        """
        for entry in self.path.iterdir():
            if entry.name.endswith(_TEMPORARY_SUFFIX):
                with contextlib.suppress(OSError):
                    entry.unlink()

    def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to a file; undo a partial write on an error.

        If that fails too, it is undone before the next append.
        """
        fd = self._open_file(name)
        self._restore_size(name, fd)
        size_bytes = os.fstat(fd).st_size
        try:
            _write_all(fd, data)
        except OSError:
            self._sizes_to_restore[name] = size_bytes
            self._restore_size(name, fd)
            raise

    def overwrite(self, name: str, offset_bytes: int, data: bytes) -> None:
        """Write ``data`` over that part of an existing file."""
        # Linux ignores the offset on a file that is open for appending.
        fd = os.open(self.path / name, os.O_WRONLY)
        try:
            os.lseek(fd, offset_bytes, os.SEEK_SET)
            _write_all(fd, data)
        finally:
            os.close(fd)

    def sync(self, name: str) -> None:
        """Make all earlier writes to the file durable."""
        os.fdatasync(self._open_file(name))

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self.path / name).read_bytes()

    def replace(self, name: str, data: bytes) -> None:
        """Write and sync a temporary file, rename it and sync the folder.

        The temporary file is removed on an error, because it uses space.
        """
        temporary_path = self.path / (name + _TEMPORARY_SUFFIX)
        try:
            self._write_temporary_file(temporary_path, data)
        except OSError:
            with contextlib.suppress(OSError):
                temporary_path.unlink()
            raise
        self._close_file(name)
        os.rename(temporary_path, self.path / name)
        self._sizes_to_restore.pop(name, None)
        os.fsync(self._folder_fd)

    @staticmethod
    def _write_temporary_file(
        temporary_path: pathlib.Path, data: bytes
    ) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        fd = os.open(temporary_path, flags, _FILE_MODE)
        try:
            _write_all(fd, data)
            os.fsync(fd)
        finally:
            os.close(fd)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to ``size_bytes``."""
        os.ftruncate(self._open_file(name), size_bytes)
        self._sizes_to_restore.pop(name, None)

    def names(self) -> list[str]:
        """Return all file names but those of the lock and temporary files."""
        return sorted(
            entry.name
            for entry in self.path.iterdir()
            if entry.name != _LOCK_NAME
            and not entry.name.endswith(_TEMPORARY_SUFFIX)
        )

    def remove(self, name: str) -> None:
        """Remove a file and sync the folder."""
        self._close_file(name)
        (self.path / name).unlink(missing_ok=True)
        os.fsync(self._folder_fd)

    def _open_file(self, name: str) -> int:
        fd = self._file_fds.get(name)
        if fd is not None:
            return fd
        is_new = not (self.path / name).exists()
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        fd = os.open(self.path / name, flags, _FILE_MODE)
        if is_new:
            try:
                os.fsync(self._folder_fd)
            except OSError:
                os.close(fd)
                os.unlink(self.path / name)
                raise
        self._file_fds[name] = fd
        return fd

    def _restore_size(self, name: str, fd: int) -> None:
        """Undo a partial write that was not undone yet."""
        size_bytes = self._sizes_to_restore.get(name)
        if size_bytes is not None:
            os.ftruncate(fd, size_bytes)
            del self._sizes_to_restore[name]

    def _close_file(self, name: str) -> None:
        fd = self._file_fds.pop(name, None)
        if fd is not None:
            os.close(fd)


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        written = os.write(fd, view)
        view = view[written:]
