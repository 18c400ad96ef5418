"""Tests of a disk that is full for a while.

Day trouble-3 of onrb-reception: a control VM's process ended two or three
times, until its disk had room again.
"""

import errno
import os
import pathlib

import pytest

from sedgepin import _storage as storage


class _FullDisk(storage.MemoryDisk):
    """Refuses some writes, as a full disk does."""

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


class _Patient:
    """A patient disk, and what it said."""

    def __init__(self, disk: storage.Disk) -> None:
        self.slept = 0
        self.full: list[str] = []
        self.room: list[float] = []
        self.disk = storage.RetryingDisk(
            disk, self._sleep, self.full.append, self.room.append
        )

    def _sleep(self, _seconds: float) -> None:
        self.slept += 1


class TestFullDisk:
    @pytest.mark.parametrize("method", ["append", "replace"])
    @pytest.mark.parametrize("number", [errno.ENOSPC, errno.EDQUOT])
    def test_write_waits_and_is_told_of_once(
        self, method: str, number: int
    ) -> None:
        patient = _Patient(_FullDisk(3, number))
        getattr(patient.disk, method)("log", b"entry")
        assert patient.disk.read("log") == b"entry"
        assert patient.slept == 3
        assert len(patient.full) == 1
        assert patient.room == [pytest.approx(0.3)]

    def test_other_errors_are_raised(self) -> None:
        patient = _Patient(_FullDisk(1, errno.EIO))
        with pytest.raises(OSError, match="Input/output"):
            patient.disk.append("log", b"entry")
        assert patient.slept == 0

    def test_store_goes_on_after_a_full_disk(self) -> None:
        patient = _Patient(_FullDisk(0))
        store = storage.LogStore(patient.disk)
        store.open()
        store.append(storage.HardState(term=3))
        found = storage.LogStore(patient.disk).open().unwrap()
        assert found.term == 3


class TestFolder:
    def test_write_that_is_cut_short_leaves_nothing_behind(
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
