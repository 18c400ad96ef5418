"""Tests of ``LogStore``: what a crash, a torn write or damage leaves."""

import random

import hypothesis
from hypothesis import strategies
import result

from sedgepin import _storage as storage


def _entry(index: int, term: int = 1) -> storage.LogEntry:
    kind = storage.EntryKind.COMMAND
    return storage.LogEntry(index, term, kind, b"command %d" % index)


def _filled(count: int) -> storage.MemoryDisk:
    disk = storage.MemoryDisk()
    store = storage.LogStore(disk, random.Random(1))
    store.open()
    for index in range(1, count + 1):
        state = storage.HardState(term=index)
        store.append(state, None, [_entry(index, index)])
    return disk


def _open(disk: storage.Disk) -> storage.RecoveredState:
    return storage.LogStore(disk).open().unwrap()


class TestRecovery:
    def test_group_commit_is_one_sync(self) -> None:
        disk = storage.MemoryDisk()
        store = storage.LogStore(disk)
        store.open()
        before = disk.sync_count
        store.append(None, None, [_entry(index) for index in range(1, 101)])
        assert disk.sync_count == before + 1
        assert len(_open(disk).entries) == 100

    def test_truncation_and_snapshot_are_replayed(self) -> None:
        disk = _filled(10)
        store = storage.LogStore(disk)
        store.open()
        store.append(None, 9, [_entry(9, 20)])
        snapshot = storage.Snapshot(7, 7, storage.Configuration(), b"state")
        store.save_snapshot(snapshot, [_entry(8, 8), _entry(9, 20)])
        store.append(storage.HardState(term=21), None, [_entry(10, 21)])
        found = _open(disk)
        assert found.snapshot == snapshot
        assert [entry.term for entry in found.entries] == [8, 20, 21]
        assert found.term == 21

    def test_crash_between_snapshot_and_log(self) -> None:
        disk = _filled(4)
        other = storage.MemoryDisk()
        store = storage.LogStore(other)
        store.open()
        snapshot = storage.Snapshot(9, 3, storage.Configuration(), b"state")
        store.save_snapshot(snapshot)
        disk.replace("snapshot", other.read("snapshot"))
        store = storage.LogStore(disk)
        assert store.open().unwrap().entries == ()
        store.append(None, None, [_entry(10, 10)])
        assert _open(disk).entries == (_entry(10, 10),)

    @hypothesis.given(
        strategies.integers(0, 2**32), strategies.integers(1, 40)
    )
    def test_torn_write_keeps_what_was_synced(
        self, seed: int, batch: int
    ) -> None:
        disk = _filled(5)
        store = storage.LogStore(disk)
        store.open()
        synced = disk.read("log")
        store.append(
            None, None, [_entry(index) for index in range(6, 6 + batch)]
        )
        unsynced = disk.read("log")[len(synced) :]
        disk.replace("log", synced)
        disk.append("log", unsynced)
        disk.crash(random.Random(seed))
        assert len(_open(disk).entries) in (5, 5 + batch)
        assert _open(disk).torn_bytes == 0


class TestDamage:
    @hypothesis.given(strategies.data())
    def test_flipped_byte_is_refused(
        self, data: strategies.DataObject
    ) -> None:
        disk = _filled(5)
        log = bytearray(disk.read("log"))
        at = data.draw(strategies.integers(0, len(log) - 1))
        log[at] ^= data.draw(strategies.integers(1, 255))
        disk.replace("log", bytes(log))
        found = storage.LogStore(disk).open()
        if isinstance(found, result.Ok):
            # Only a last frame whose end reads as zeros looks never synced.
            assert (at, log[at]) == (len(log) - 1, 0)
            return
        assert found.err_value.file == "log"
        assert found.err_value.offset_bytes <= at

    def test_damaged_middle_names_file_and_offset(self) -> None:
        disk = _filled(5)
        log = disk.read("log")
        at = log.index(b"command 3")
        disk.replace("log", log.replace(b"command 3", b"command 4"))
        failure = storage.LogStore(disk).open().unwrap_err()
        assert isinstance(failure, storage.LogDamaged)
        assert at - 64 < failure.offset_bytes < at

    def test_lost_or_doubled_frame_is_refused(self) -> None:
        disk = _filled(1)
        store = storage.LogStore(disk)
        store.open()
        start = len(disk.read("log"))
        store.append(storage.HardState(term=8))
        frame = disk.read("log")[start:]
        disk.append("log", frame)
        assert storage.LogStore(disk).open().is_err()

    @hypothesis.given(strategies.binary(max_size=200), strategies.booleans())
    def test_any_bytes_end_in_a_verdict(
        self, data: bytes, is_appended: bool
    ) -> None:
        disk = _filled(3)
        sound = disk.read("log") if is_appended else b""
        disk.replace("log", sound + data)
        found = storage.LogStore(disk).open()
        if isinstance(found, result.Ok):
            assert found.ok_value.entries == _open(_filled(3)).entries
            assert _open(disk).torn_bytes == 0
