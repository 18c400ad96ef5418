"""Tests of reloading a settings file."""

import os
import pathlib
import signal

import pytest
import result
import trio

from sedgepin import _shell as shell
from sedgepin import errors


def _read(path: pathlib.Path) -> result.Result[str, errors.DocumentRefused]:
    try:
        text = path.read_text()
    except OSError as exc:
        fault = errors.FieldFault(str(path), str(exc))
        return result.Err(errors.DocumentRefused("settings", (fault,)))
    if text.startswith("bad"):
        fault = errors.FieldFault("text", "is bad")
        return result.Err(errors.DocumentRefused("settings", (fault,)))
    return result.Ok(text)


class _WatchedSettings:
    """A settings file and the settings that were applied from it."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / "settings"
        self.path.write_text("one")
        self.source = shell.SettingsSource(self.path, "one", _read)
        self.applied: list[str] = []

    async def wait_for_applied(self, count: int) -> None:
        with trio.fail_after(5):
            while len(self.applied) < count:
                await trio.sleep(0.02)


@pytest.fixture
async def watched(
    tmp_path: pathlib.Path, nursery: trio.Nursery
) -> _WatchedSettings:
    settings = _WatchedSettings(tmp_path)
    await nursery.start(
        shell.watch_settings, settings.source, settings.applied.append
    )
    return settings


class TestWatchSettings:
    async def test_signal_reloads_unchanged_file(
        self, watched: _WatchedSettings
    ) -> None:
        os.kill(os.getpid(), signal.SIGHUP)
        await watched.wait_for_applied(1)
        assert watched.applied == ["one"]

    async def test_changed_file_is_reloaded_without_a_signal(
        self, watched: _WatchedSettings
    ) -> None:
        watched.path.write_text("two and more")
        await watched.wait_for_applied(1)
        assert watched.source.current == "two and more"

    async def test_faulty_file_leaves_settings_in_force(
        self, watched: _WatchedSettings
    ) -> None:
        watched.path.write_text("bad")
        os.kill(os.getpid(), signal.SIGHUP)
        await trio.sleep(0.2)
        assert watched.applied == []
        assert watched.source.current == "one"

    async def test_folder_that_is_no_folder_leaves_settings_in_force(
        self, tmp_path: pathlib.Path, nursery: trio.Nursery
    ) -> None:
        """A file system fails in more ways than by a missing file."""
        folder = tmp_path / "folder"
        folder.mkdir()
        watched = _WatchedSettings(folder)
        await nursery.start(
            shell.watch_settings, watched.source, watched.applied.append
        )
        folder.rename(tmp_path / "moved")
        folder.write_text("no folder")
        with pytest.raises(NotADirectoryError):
            watched.path.stat()
        await trio.sleep(1.2)
        folder.unlink()
        (tmp_path / "moved").rename(folder)
        watched.path.write_text("two and more")
        await watched.wait_for_applied(1)
        assert watched.source.current == "two and more"
