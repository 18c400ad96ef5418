"""Noticing that a settings file has changed, with or without a signal."""

import collections.abc
import pathlib
import signal
import typing

import result
import trio

from sedgepin import errors
from sedgepin import events
from sedgepin import logs

# A change without a signal is noticed within this time.
_POLL_SECONDS = 1.0

_Settings = typing.TypeVar("_Settings")


class SettingsSource(typing.Generic[_Settings]):
    """A settings file: what was read from it, and how to read it again."""

    __slots__ = ("_path", "_read", "current")

    def __init__(
        self,
        path: pathlib.Path,
        current: _Settings,
        read: collections.abc.Callable[
            [pathlib.Path], result.Result[_Settings, errors.DocumentRefused]
        ],
    ) -> None:
        self._path = path
        self._read = read
        self.current = current

    def read(self) -> result.Result[_Settings, errors.DocumentRefused]:
        """Read the file again."""
        return self._read(self._path)

    def stamp(self) -> tuple[int, int, int] | None:
        """Return what changes with the file; nothing while there is none."""
        try:
            status = self._path.stat()
        except FileNotFoundError:
            return None
        return (status.st_ino, status.st_mtime_ns, status.st_size)


async def watch_settings(
    source: SettingsSource[_Settings],
    apply: collections.abc.Callable[[_Settings], None],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Read the settings again after SIGHUP or when the file has changed.

    A file with faults is refused whole: the settings in force stay.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        seen = source.stamp()
        task_status.started()
        while True:
            is_signalled = False
            with trio.move_on_after(_POLL_SECONDS):
                await signals.__anext__()
                is_signalled = True
            stamp = source.stamp()
            if stamp == seen and not is_signalled:
                continue
            seen = stamp
            found = source.read()
            if isinstance(found, result.Err):
                failure = found.err_value.detail()
                logs.write(events.SETTINGS_REFUSED.line(failure=failure))
                continue
            reason = "signal" if is_signalled else "file"
            logs.write(events.SETTINGS_RELOADED.line(reason=reason))
            source.current = found.ok_value
            apply(found.ok_value)
