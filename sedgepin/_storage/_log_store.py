"""The log and snapshot files of one member."""

import collections.abc
import random

import msgspec
import result

from sedgepin._storage import _disk
from sedgepin._storage import _failures
from sedgepin._storage import _frames
from sedgepin._storage import _records

LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
_DISK_ID_BITS = 63


class _Identity(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first record of every log file."""

    disk_id: _records.DiskId


class _Append(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """One group commit."""

    hard_state: _records.HardState | None = None
    truncate_from: int | None = None
    entries: tuple[_records.LogEntry, ...] = ()


_RECORD_DECODER = msgspec.msgpack.Decoder(_Identity | _Append)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(_records.Snapshot)
_encode = msgspec.msgpack.encode


class LogStore:
    """A log that is durable when ``append`` returns.

    The log file starts with the identity of the disk and goes on with one
    frame for each group commit.  ``save_snapshot`` replaces the snapshot
    file first and the log file second; a crash between the two leaves
    entries that the snapshot already holds, which is harmless.

    >>> from sedgepin import _storage as storage
    >>> disk = storage.MemoryDisk()
    >>> first = LogStore(disk).open().unwrap()
    >>> LogStore(disk).open().unwrap().disk_id == first.disk_id
    True
    """

    __slots__ = ("_checksum", "_disk", "_disk_id", "_hard_state", "_rng")

    def __init__(
        self, disk: _disk.Disk, rng: random.Random | None = None
    ) -> None:
        self._disk = disk
        self._rng = rng or random.SystemRandom()
        self._checksum = 0
        self._disk_id = _records.DiskId(0)
        self._hard_state = _records.HardState()

    def open(
        self,
    ) -> result.Result[_records.RecoveredState, _failures.OpenFailure]:
        """Read both files, cut a torn end off and return what they hold.

        An empty disk gets a new identity.
        """
        names = self._disk.names()
        if LOG_FILE not in names:
            return self._create(SNAPSHOT_FILE in names)
        scanned = _frames.scan(LOG_FILE, self._disk.read(LOG_FILE))
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
        if replay.has_dropped:
            self._rewrite_log(replayed.ok_value.entries)
        else:
            self._resume(scan)
        return replayed

    def append(
        self,
        hard_state: _records.HardState | None = None,
        truncate_from: int | None = None,
        entries: collections.abc.Sequence[_records.LogEntry] = (),
    ) -> None:
        """Write one group commit and sync it.

        ``truncate_from`` drops that index and all after it, before the
        entries are added.
        """
        if hard_state is not None:
            self._hard_state = hard_state
        record = _Append(hard_state, truncate_from, tuple(entries))
        frame, self._checksum = _frames.encode(_encode(record), self._checksum)
        self._disk.append(LOG_FILE, frame)
        self._disk.sync(LOG_FILE)

    def save_snapshot(
        self,
        snapshot: _records.Snapshot,
        entries: collections.abc.Sequence[_records.LogEntry] = (),
    ) -> None:
        """Make ``snapshot`` and the entries kept beside it the whole log."""
        framed, _ = _frames.encode(_encode(snapshot), 0)
        self._disk.replace(SNAPSHOT_FILE, framed)
        self._rewrite_log(entries)

    def _resume(self, scan: _frames.Scan) -> None:
        """Go on after the last sound frame.

        What was read may not be on the disk yet if only the process died,
        so it is synced before anyone relies on it.
        """
        if scan.torn_bytes:
            self._disk.truncate(LOG_FILE, scan.sound_bytes)
        self._disk.sync(LOG_FILE)
        self._checksum = scan.checksum

    def _create(
        self, has_snapshot: bool
    ) -> result.Result[_records.RecoveredState, _failures.OpenFailure]:
        if has_snapshot:
            return result.Err(
                _failures.LogDamaged(
                    LOG_FILE, 0, "no log file beside a snapshot"
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
        frame, self._checksum = _frames.encode(_encode(record), seed)
        self._disk.replace(LOG_FILE, identity + frame)

    def _read_snapshot(
        self, has_snapshot: bool
    ) -> result.Result[_records.Snapshot | None, _failures.OpenFailure]:
        if not has_snapshot:
            return result.Ok(None)
        scanned = _frames.scan(SNAPSHOT_FILE, self._disk.read(SNAPSHOT_FILE))
        if isinstance(scanned, result.Err):
            return scanned
        scan = scanned.ok_value
        # The file is replaced as a whole, so it is never torn.
        if len(scan.frames) != 1 or scan.torn_bytes:
            return _refuse(SNAPSHOT_FILE, scan.sound_bytes, "not one record")
        try:
            return result.Ok(_SNAPSHOT_DECODER.decode(scan.frames[0].payload))
        except msgspec.MsgspecError as exc:
            return _refuse(SNAPSHOT_FILE, 0, str(exc))


class _Replay:
    """Puts the records of a log file together again."""

    __slots__ = ("_entries", "_hard_state", "has_dropped")

    def __init__(self) -> None:
        self.has_dropped = False
        self._hard_state = _records.HardState()
        self._entries: list[_records.LogEntry] = []

    def run(
        self, scan: _frames.Scan, snapshot: _records.Snapshot | None
    ) -> result.Result[_records.RecoveredState, _failures.OpenFailure]:
        if not scan.frames:
            return _refuse(LOG_FILE, 0, "no identity record")
        disk_id = _records.DiskId(0)
        for frame in scan.frames:
            try:
                record = _RECORD_DECODER.decode(frame.payload)
            except msgspec.MsgspecError as exc:
                return _refuse(LOG_FILE, frame.offset_bytes, str(exc))
            is_first = frame.offset_bytes == 0
            if isinstance(record, _Identity) != is_first:
                problem = "identity record missing or misplaced"
                return _refuse(LOG_FILE, frame.offset_bytes, problem)
            if isinstance(record, _Identity):
                disk_id = record.disk_id
            elif not self._take(record):
                problem = "entries are not contiguous"
                return _refuse(LOG_FILE, frame.offset_bytes, problem)
        if not self._fits(snapshot):
            problem = "entries are missing after the snapshot"
            return _refuse(LOG_FILE, scan.sound_bytes, problem)
        return result.Ok(
            _records.RecoveredState(
                disk_id,
                self._hard_state,
                snapshot,
                tuple(self._entries),
                scan.torn_bytes,
            )
        )

    def _take(self, record: _Append) -> bool:
        if record.hard_state is not None:
            self._hard_state = record.hard_state
        if record.truncate_from is not None and self._entries:
            kept = max(0, record.truncate_from - self._entries[0].index)
            del self._entries[kept:]
        for entry in record.entries:
            if self._entries and entry.index != self._entries[-1].index + 1:
                return False
            self._entries.append(entry)
        return True

    def _fits(self, snapshot: _records.Snapshot | None) -> bool:
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
        """Drop entries that an installed snapshot has overruled."""
        at = snapshot.index - self._entries[0].index
        if at < 0:
            return
        if at >= len(self._entries) or self._entries[at].term != snapshot.term:
            self._entries.clear()
            self.has_dropped = True


def _refuse(
    file: str, offset: int, problem: str
) -> result.Err[_failures.OpenFailure]:
    return result.Err(_failures.LogDamaged(file, offset, problem))
