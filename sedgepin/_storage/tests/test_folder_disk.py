"""Tests of ``FolderDisk`` on a real folder."""

import pathlib

from sedgepin import _storage as storage


class TestFolderDisk:
    def test_second_open_is_refused_until_close(
        self, tmp_path: pathlib.Path
    ) -> None:
        disk = storage.FolderDisk.open(tmp_path).unwrap()
        failure = storage.FolderDisk.open(tmp_path).unwrap_err()
        assert failure == storage.FolderLocked(str(tmp_path))
        disk.close()
        storage.FolderDisk.open(tmp_path).unwrap().close()

    def test_log_survives_reopening(self, tmp_path: pathlib.Path) -> None:
        disk = storage.FolderDisk.open(tmp_path / "data").unwrap()
        store = storage.LogStore(disk)
        first = store.open().unwrap()
        store.save_snapshot(
            storage.Snapshot(3, 1, storage.Configuration(), b"state")
        )
        store.append(storage.HardState(term=4))
        disk.append("log", b"torn")
        disk.close()
        disk = storage.FolderDisk.open(tmp_path / "data").unwrap()
        recovered = storage.LogStore(disk).open().unwrap()
        disk.close()
        assert (recovered.disk_id, recovered.term) == (first.disk_id, 4)
        assert recovered.torn_bytes == 4
        assert disk.names() == ["log", "snapshot"]
