"""The log file and the snapshot file of one member."""

import collections.abc
import random

import msgspec
import result

from sedgepin._storage import _disk
from sedgepin._storage import _failures
from sedgepin._storage import _frames
from sedgepin._storage import _records
from sedgepin._storage import _retrying_disk

LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
_DISK_ID_BITS = 63


class _Identity(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first record of a log file: the identity of the disk."""

    disk_id: _records.DiskId


class _Append(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A record of one group commit."""

    hard_state: _records.HardState | None = None
    truncate_from: int | None = None
    entries: tuple[_records.LogEntry, ...] = ()


_RECORD_DECODER = msgspec.msgpack.Decoder(_Identity | _Append)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(_records.Snapshot)
_encode = msgspec.msgpack.encode


class LogStore:
    """Durable storage of entries, hard state and snapshot.

    The log file holds a frame with the identity of the disk, followed by one
    frame per group commit.  ``save_snapshot`` replaces the snapshot file
    before the log file.  A crash between the two leaves log entries that the
    snapshot already covers, which is harmless.

    >>> from sedgepin import _storage as storage
    >>> disk = storage.MemoryDisk()
    >>> first = LogStore(disk).open().unwrap()
    >>> LogStore(disk).open().unwrap().disk_id == first.disk_id
    True
    """

    __slots__ = (
        "_checksum",
        "_disk",
        "_disk_id",
        "_hard_state",
        "_has_torn_end",
        "_rng",
        "_size_bytes",
    )

    def __init__(
        self, disk: _disk.Disk, rng: random.Random | None = None
    ) -> None:
        self._disk = disk
        self._rng = rng or random.SystemRandom()
        self._checksum = 0
        self._size_bytes = 0
        self._has_torn_end = False
        self._disk_id = _records.DiskId(0)
        self._hard_state = _records.HardState()

    def open(
        self,
    ) -> result.Result[_records.RecoveredState, _failures.OpenFailure]:
        """Read both files, truncate a torn end and return the state.

        Must be called once, before any other method.  An empty disk gets a
        new identity.
        """
        names = self._disk.names()
        if LOG_FILE not in names:
            return self._create(SNAPSHOT_FILE in names)
        data = self._disk.read(LOG_FILE)
        scanned = _frames.scan(LOG_FILE, data)
        if isinstance(scanned, result.Err):
            return scanned
        scan = scanned.ok_value
        snapshot = self._read_snapshot(SNAPSHOT_FILE in names)
        if isinstance(snapshot, result.Err):
            return snapshot
        replay = _Replay()
        replayed = replay.run(scan, snapshot.ok_value)
        if isinstance(replayed, result.Err):
            return replayed
        self._disk_id = replayed.ok_value.disk_id
        self._hard_state = replayed.ok_value.hard_state
        if replay.has_dropped_entries:
            self._rewrite_log(replayed.ok_value.entries)
        else:
            self._resume(data, scan, replayed.ok_value.entries)
        return replayed

    def append(
        self,
        hard_state: _records.HardState | None = None,
        truncate_from: int | None = None,
        entries: collections.abc.Sequence[_records.LogEntry] = (),
    ) -> None:
        """Write one group commit and sync it; it is durable on return.

        Entries from index ``truncate_from`` on are dropped before the new
        entries are added.  After ``DiskFull`` the call must be repeated
        before any other.
        """
        record = _Append(hard_state, truncate_from, tuple(entries))
        frame, checksum = _frames.encode(_encode(record), self._checksum)
        if self._has_torn_end:
            self._disk.truncate(LOG_FILE, self._size_bytes)
        self._has_torn_end = True
        self._disk.append(LOG_FILE, frame)
        self._disk.sync(LOG_FILE)
        self._has_torn_end = False
        self._size_bytes += len(frame)
        self._checksum = checksum
        if hard_state is not None:
            self._hard_state = hard_state

    def save_snapshot(
        self,
        snapshot: _records.Snapshot,
        entries: collections.abc.Sequence[_records.LogEntry] = (),
    ) -> None:
        """Replace the whole log by ``snapshot`` and ``entries``, durably.

        After ``DiskFull`` the call must be repeated before any other.
        """
        framed, _ = _frames.encode(_encode(snapshot), 0)
        self._disk.replace(SNAPSHOT_FILE, framed)
        self._rewrite_log(entries)

    def _resume(
        self,
        data: bytes,
        scan: _frames.Scan,
        entries: collections.abc.Sequence[_records.LogEntry],
    ) -> None:
        """Continue the log after the last valid frame.

        If only the process died, the last frame may still be unsynced in the
        page cache, so it is synced before the member relies on it.  It is
        written again first: if an earlier sync failed, the kernel no longer
        counts it as unsynced.
        """
        if scan.torn_bytes:
            self._disk.truncate(LOG_FILE, scan.valid_bytes)
        start = scan.frames[-1].offset_bytes
        frame = data[start : scan.valid_bytes]
        self._disk.overwrite(LOG_FILE, start, frame)
        try:
            self._disk.sync(LOG_FILE)
        except _retrying_disk.DiskFull:
            self._rewrite_log(entries)
            return
        self._checksum = scan.checksum
        self._size_bytes = scan.valid_bytes

    def _create(
        self, has_snapshot: bool
    ) -> result.Result[_records.RecoveredState, _failures.OpenFailure]:
        if has_snapshot:
            return result.Err(
                _failures.LogDamaged(
                    LOG_FILE, 0, "there is a snapshot but no log file"
                )
            )
        number = self._rng.getrandbits(_DISK_ID_BITS) + 1
        self._disk_id = _records.DiskId(number)
        self._rewrite_log(())
        return result.Ok(_records.RecoveredState(self._disk_id))

    def _rewrite_log(
        self, entries: collections.abc.Sequence[_records.LogEntry]
    ) -> None:
        identity, seed = _frames.encode(_encode(_Identity(self._disk_id)), 0)
        record = _Append(self._hard_state, None, tuple(entries))
        frame, checksum = _frames.encode(_encode(record), seed)
        self._disk.replace(LOG_FILE, identity + frame)
        self._checksum = checksum
        self._size_bytes = len(identity) + len(frame)
        self._has_torn_end = False

    def _read_snapshot(
        self, has_snapshot: bool
    ) -> result.Result[_records.Snapshot | None, _failures.OpenFailure]:
        if not has_snapshot:
            return result.Ok(None)
        scanned = _frames.scan(SNAPSHOT_FILE, self._disk.read(SNAPSHOT_FILE))
        if isinstance(scanned, result.Err):
            return scanned
        scan = scanned.ok_value
        # The file is replaced atomically, so it is never torn.
        if len(scan.frames) != 1 or scan.torn_bytes:
            return _damaged(
                SNAPSHOT_FILE,
                scan.valid_bytes,
                f"{len(scan.frames)} records and {scan.torn_bytes} more "
                "bytes instead of a single record",
            )
        try:
            return result.Ok(_SNAPSHOT_DECODER.decode(scan.frames[0].payload))
        except msgspec.MsgspecError as exc:
            return _damaged(SNAPSHOT_FILE, 0, str(exc))


class _Replay:
    """Rebuilds entries and hard state from the records of a log file."""

    __slots__ = ("_entries", "_hard_state", "has_dropped_entries")

    def __init__(self) -> None:
        self.has_dropped_entries = False
        self._hard_state = _records.HardState()
        self._entries: list[_records.LogEntry] = []

    def run(
        self, scan: _frames.Scan, snapshot: _records.Snapshot | None
    ) -> result.Result[_records.RecoveredState, _failures.OpenFailure]:
        if not scan.frames:
            return _damaged(LOG_FILE, 0, "the identity record is missing")
        disk_id = _records.DiskId(0)
        for frame in scan.frames:
            try:
                record = _RECORD_DECODER.decode(frame.payload)
            except msgspec.MsgspecError as exc:
                return _damaged(LOG_FILE, frame.offset_bytes, str(exc))
            is_first = frame.offset_bytes == 0
            if isinstance(record, _Identity) != is_first:
                problem = "the identity record is missing or not the first"
                return _damaged(LOG_FILE, frame.offset_bytes, problem)
            if isinstance(record, _Identity):
                disk_id = record.disk_id
            elif not self._apply(record):
                problem = "the indices of the entries are not contiguous"
                return _damaged(LOG_FILE, frame.offset_bytes, problem)
        if not self._reconcile_snapshot(snapshot):
            problem = (
                f"entries before index {self._entries[0].index}, the first in "
                "the log, are missing"
            )
            return _damaged(LOG_FILE, scan.valid_bytes, problem)
        return result.Ok(
            _records.RecoveredState(
                disk_id,
                self._hard_state,
                snapshot,
                tuple(self._entries),
                scan.torn_bytes,
            )
        )

    def _apply(self, record: _Append) -> bool:
        if record.hard_state is not None:
            self._hard_state = record.hard_state
        if record.truncate_from is not None and self._entries:
            kept_count = max(0, record.truncate_from - self._entries[0].index)
            del self._entries[kept_count:]
        for entry in record.entries:
            if self._entries and entry.index != self._entries[-1].index + 1:
                return False
            self._entries.append(entry)
        return True

    def _reconcile_snapshot(self, snapshot: _records.Snapshot | None) -> bool:
        """Drop superseded entries; return whether the log has no gap.

        There is a gap if entries between the snapshot and the first entry of
        the log are missing.
        """
        if not self._entries:
            return True
        first_index = self._entries[0].index
        if snapshot is None:
            return first_index == 1
        if first_index > snapshot.index + 1:
            return False
        self._drop_superseded(snapshot)
        return True

    def _drop_superseded(self, snapshot: _records.Snapshot) -> None:
        """Drop all entries if the snapshot goes beyond or contradicts them."""
        position = snapshot.index - self._entries[0].index
        if position < 0:
            return
        if (
            position >= len(self._entries)
            or self._entries[position].term != snapshot.term
        ):
            self._entries.clear()
            self.has_dropped_entries = True


def _damaged(
    file: str, offset: int, problem: str
) -> result.Err[_failures.OpenFailure]:
    return result.Err(_failures.LogDamaged(file, offset, problem))
