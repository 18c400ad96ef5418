"""Reloading of a settings file on SIGHUP or when the file changes."""

import collections.abc
import pathlib
import signal
import typing

import result
import trio

from sedgepin import errors
from sedgepin import events
from sedgepin import logs

# The longest time until a change without a signal is detected.
_POLL_INTERVAL_SECONDS = 1.0

_Settings = typing.TypeVar("_Settings")


class SettingsSource(typing.Generic[_Settings]):
    """A settings file and the settings that are in force."""

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
        """Return the settings that are in the file now."""
        return self._read(self._path)

    def fingerprint(self) -> tuple[int, int, int] | None:
        """Return inode, mtime and size; ``None`` if there are none to read."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return (status.st_ino, status.st_mtime_ns, status.st_size)


async def watch_settings(
    source: SettingsSource[_Settings],
    apply: collections.abc.Callable[[_Settings], None],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Reload the settings on SIGHUP and when the file has changed.

    Runs until cancelled and calls ``apply`` with the new settings.  A file
    with faults is logged and ignored as a whole; the settings in force stay.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        last_fingerprint = source.fingerprint()
        task_status.started()
        while True:
            is_signalled = False
            with trio.move_on_after(_POLL_INTERVAL_SECONDS):
                await signals.__anext__()
                is_signalled = True
            fingerprint = source.fingerprint()
            if fingerprint == last_fingerprint and not is_signalled:
                continue
            last_fingerprint = fingerprint
            reloaded = source.read()
            if isinstance(reloaded, result.Err):
                failure = reloaded.err_value.detail()
                logs.write(events.SETTINGS_REFUSED.line(failure=failure))
                continue
            reason = "signal" if is_signalled else "file"
            logs.write(events.SETTINGS_RELOADED.line(reason=reason))
            source.current = reloaded.ok_value
            apply(reloaded.ok_value)
