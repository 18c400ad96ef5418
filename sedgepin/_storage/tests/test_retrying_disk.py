"""Tests of writes to a disk that is full for a while.

Without retries, a full disk ends the process of a control VM, again after
each restart, until there is space.
"""

import errno
import os
import pathlib
import random

import pytest

from sedgepin import _storage as storage
from sedgepin._storage.tests import full_disk


class _FullDisk(storage.MemoryDisk):
    """Fails the first ``refusals`` writes with an error."""

    def __init__(self, refusals: int, number: int = errno.ENOSPC) -> None:
        super().__init__()
        self._refusals = refusals
        self._number = number

    def append(self, name: str, data: bytes) -> None:
        self._refuse()
        super().append(name, data)

    def replace(self, name: str, data: bytes) -> None:
        self._refuse()
        super().replace(name, data)

    def _refuse(self) -> None:
        if self._refusals:
            self._refusals -= 1
            raise OSError(self._number, os.strerror(self._number))


class _DiskRecorder:
    """A retrying disk that records its sleeps and reports."""

    def __init__(self, disk: storage.Disk) -> None:
        self.sleep_count = 0
        self.full_reports: list[str] = []
        self.space_reports: list[float] = []
        self.disk = storage.RetryingDisk(
            disk,
            self._sleep,
            self.full_reports.append,
            self.space_reports.append,
        )

    def _sleep(self, _seconds: float) -> None:
        self.sleep_count += 1


class TestFullDisk:
    @pytest.mark.parametrize("method", ["append", "replace"])
    @pytest.mark.parametrize("number", [errno.ENOSPC, errno.EDQUOT])
    def test_write_retries_until_space_and_reports_once(
        self, method: str, number: int
    ) -> None:
        recorder = _DiskRecorder(_FullDisk(3, number))
        getattr(recorder.disk, method)("log", b"entry")
        assert recorder.disk.read("log") == b"entry"
        assert recorder.sleep_count == 3
        assert len(recorder.full_reports) == 1
        assert recorder.space_reports == [pytest.approx(0.3)]

    def test_other_errors_are_not_retried(self) -> None:
        recorder = _DiskRecorder(_FullDisk(1, errno.EIO))
        with pytest.raises(OSError, match="Input/output"):
            recorder.disk.append("log", b"entry")
        assert recorder.sleep_count == 0

    def test_log_store_works_on_retrying_disk(self) -> None:
        recorder = _DiskRecorder(_FullDisk(0))
        store = storage.LogStore(recorder.disk)
        store.open()
        store.append(storage.HardState(term=3))
        recovered = storage.LogStore(recorder.disk).open().unwrap()
        assert recovered.term == 3


class _FullStore:
    """A log store on a disk that can run full, as a serving VM has it."""

    def __init__(self) -> None:
        self.disk = full_disk.FullDisk()
        self._waiting = storage.RetryingDisk(
            self.disk, self._end_shortage, lambda _: None, lambda _: None
        )
        self.store = storage.LogStore(self._waiting, random.Random(1))
        self.store.open().unwrap()
        self._waiting.waits = False

    def _end_shortage(self, _seconds: float) -> None:
        self.disk.is_full = False

    def append(self, index: int) -> None:
        state = storage.HardState(term=index)
        self.store.append(state, None, [_entry(index)])

    def append_when_full(self, index: int) -> None:
        """Try twice on a full disk, then once more with space."""
        self.disk.is_full = True
        for _ in range(2):
            with pytest.raises(storage.DiskFull):
                self.append(index)
        self.disk.is_full = False
        self.append(index)

    def reopen(self) -> storage.RecoveredState:
        """Open the log as after the end of the process, with files as is."""
        self._waiting.waits = True
        return storage.LogStore(self._waiting).open().unwrap()

    def recover_after_power_loss(self) -> storage.RecoveredState:
        self.disk.lose_power()
        return storage.LogStore(self.disk).open().unwrap()


def _entry(index: int) -> storage.LogEntry:
    kind = storage.EntryKind.COMMAND
    return storage.LogEntry(index, 1, kind, b"command %d" % index * 20)


class TestLogStoreOnFullDisk:
    @pytest.mark.parametrize("syncs_fail_only", [False, True])
    @pytest.mark.parametrize("truncation_fails", [False, True])
    def test_commits_that_were_refused_at_first_are_kept(
        self, syncs_fail_only: bool, truncation_fails: bool
    ) -> None:
        full = _FullStore()
        full.disk.syncs_fail_only = syncs_fail_only
        full.disk.truncation_fails = truncation_fails
        full.append(1)
        full.append_when_full(2)
        full.append(3)
        recovered = full.recover_after_power_loss()
        assert [entry.index for entry in recovered.entries] == [1, 2, 3]
        assert recovered.term == 3
        assert recovered.torn_bytes == 0

    @pytest.mark.parametrize("syncs_fail_only", [False, True])
    def test_power_loss_while_full_keeps_what_was_synced(
        self, syncs_fail_only: bool
    ) -> None:
        full = _FullStore()
        full.disk.syncs_fail_only = syncs_fail_only
        full.append(1)
        full.disk.is_full = True
        with pytest.raises(storage.DiskFull):
            full.append(2)
        full.disk.is_full = False
        recovered = full.recover_after_power_loss()
        assert [entry.index for entry in recovered.entries] == [1]

    def test_snapshot_that_was_refused_at_first_is_kept(self) -> None:
        full = _FullStore()
        full.append(1)
        snapshot = storage.Snapshot(1, 1, storage.Configuration(), b"state")
        full.disk.is_full = True
        with pytest.raises(storage.DiskFull):
            full.store.save_snapshot(snapshot)
        full.disk.is_full = False
        full.store.save_snapshot(snapshot)
        full.append(2)
        recovered = full.recover_after_power_loss()
        assert recovered.snapshot == snapshot
        assert [entry.index for entry in recovered.entries] == [2]
        assert recovered.term == 2

    @pytest.mark.parametrize("has_space", [False, True])
    def test_start_does_not_trust_a_second_sync(self, has_space: bool) -> None:
        full = _FullStore()
        full.append(1)
        full.disk.is_full = full.disk.syncs_fail_only = True
        with pytest.raises(storage.DiskFull):
            full.append(2)
        full.disk.is_full = not has_space
        read = full.reopen()
        assert [entry.index for entry in read.entries] == [1, 2]
        recovered = full.recover_after_power_loss()
        assert recovered.entries == read.entries

    @pytest.mark.parametrize("number", [errno.ENOSPC, errno.EFBIG])
    def test_serving_process_is_told_instead_of_waiting(
        self, number: int
    ) -> None:
        recorder = _DiskRecorder(_FullDisk(1, number))
        recorder.disk.waits = False
        with pytest.raises(storage.DiskFull):
            recorder.disk.append("log", b"entry")
        assert recorder.sleep_count == 0


class TestFolderDiskWrites:
    def test_partial_write_is_rolled_back(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        disk = storage.FolderDisk.open(tmp_path).unwrap()
        disk.append("log", b"kept")
        real = os.write
        calls: list[int] = []

        def write(fd: int, data: memoryview) -> int:
            calls.append(fd)
            if len(calls) > 1:
                raise OSError(errno.ENOSPC, "full")
            return real(fd, data[:2])

        monkeypatch.setattr(os, "write", write)
        with pytest.raises(OSError, match="full"):
            disk.append("log", b"more")
        monkeypatch.undo()
        assert disk.read("log") == b"kept"
        disk.close()

    def test_partial_write_is_rolled_back_even_if_truncation_failed(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        disk = storage.FolderDisk.open(tmp_path).unwrap()
        disk.append("log", b"kept")

        def write(fd: int, data: memoryview) -> int:
            monkeypatch.setattr(os, "write", refuse)
            return real(fd, data[:2])

        def refuse(*_args: object) -> int:
            raise OSError(errno.ENOSPC, "full")

        real = os.write
        monkeypatch.setattr(os, "write", write)
        monkeypatch.setattr(os, "ftruncate", refuse)
        with pytest.raises(OSError, match="full"):
            disk.append("log", b"more")
        monkeypatch.undo()
        disk.append("log", b"more")
        assert disk.read("log") == b"keptmore"
        disk.close()

    def test_refused_replacement_leaves_no_file_that_takes_up_space(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        disk = storage.FolderDisk.open(tmp_path).unwrap()
        disk.replace("log", b"kept")
        before = sorted(os.listdir(tmp_path))

        def refuse(_fd: int) -> None:
            raise OSError(errno.ENOSPC, "full")

        monkeypatch.setattr(os, "fsync", refuse)
        with pytest.raises(OSError, match="full"):
            disk.replace("log", b"more")
        assert sorted(os.listdir(tmp_path)) == before
        assert disk.read("log") == b"kept"
        disk.close()

    def test_start_removes_what_a_replacement_has_left(
        self, tmp_path: pathlib.Path
    ) -> None:
        storage.FolderDisk.open(tmp_path).unwrap().close()
        (tmp_path / "log.aside").write_bytes(b"half")
        storage.FolderDisk.open(tmp_path).unwrap().close()
        assert not (tmp_path / "log.aside").exists()

    def test_start_goes_on_if_what_was_left_cannot_be_removed(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        storage.FolderDisk.open(tmp_path).unwrap().close()
        (tmp_path / "log.aside").write_bytes(b"half")

        def refuse(_path: pathlib.Path, missing_ok: bool = False) -> None:
            raise OSError(errno.ENOSPC, "full")

        monkeypatch.setattr(pathlib.Path, "unlink", refuse)
        disk = storage.FolderDisk.open(tmp_path).unwrap()
        assert disk.names() == []
        disk.close()
