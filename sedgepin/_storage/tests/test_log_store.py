"""Tests of ``LogStore``: recovery from crashes, torn writes and damage."""

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
    def test_group_commit_needs_one_sync(self) -> None:
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
        recovered = _open(disk)
        assert recovered.snapshot == snapshot
        assert [entry.term for entry in recovered.entries] == [8, 20, 21]
        assert recovered.term == 21

    def test_crash_between_snapshot_and_log_replacement(self) -> None:
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
    def test_torn_write_keeps_synced_entries(
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
        position = data.draw(strategies.integers(0, len(log) - 1))
        log[position] ^= data.draw(strategies.integers(1, 255))
        disk.replace("log", bytes(log))
        recovered = storage.LogStore(disk).open()
        if isinstance(recovered, result.Ok):
            # Only a last frame that ends in zeros passes as never synced.
            assert (position, log[position]) == (len(log) - 1, 0)
            return
        assert recovered.err_value.file == "log"
        assert recovered.err_value.offset_bytes <= position

    def test_damage_in_the_middle_reports_frame_offset(self) -> None:
        disk = _filled(5)
        log = disk.read("log")
        position = log.index(b"command 3")
        disk.replace("log", log.replace(b"command 3", b"command 4"))
        failure = storage.LogStore(disk).open().unwrap_err()
        assert isinstance(failure, storage.LogDamaged)
        assert position - 64 < failure.offset_bytes < position

    def test_duplicated_frame_is_refused(self) -> None:
        disk = _filled(1)
        store = storage.LogStore(disk)
        store.open()
        start = len(disk.read("log"))
        store.append(storage.HardState(term=8))
        frame = disk.read("log")[start:]
        disk.append("log", frame)
        assert storage.LogStore(disk).open().is_err()

    @hypothesis.given(strategies.binary(max_size=200), strategies.booleans())
    def test_arbitrary_bytes_add_no_entries(
        self, data: bytes, is_appended: bool
    ) -> None:
        disk = _filled(3)
        sound = disk.read("log") if is_appended else b""
        disk.replace("log", sound + data)
        recovered = storage.LogStore(disk).open()
        if isinstance(recovered, result.Ok):
            assert recovered.ok_value.entries == _open(_filled(3)).entries
            assert _open(disk).torn_bytes == 0
