"""The in-memory log: a snapshot and the entries around and after it."""

import collections.abc
import dataclasses

from sedgepin import _storage as storage

_ENTRY_OVERHEAD_BYTES = 32


def entry_bytes(entry: storage.LogEntry) -> int:
    """Return the approximate size of an entry in a message."""
    return len(entry.command) + _ENTRY_OVERHEAD_BYTES


@dataclasses.dataclass(slots=True, frozen=True)
class _IndexedConfiguration:
    """A configuration and the index from which it is in effect."""

    index: int
    configuration: storage.Configuration


class ReplicatedLog:
    """The log entries of one member and the configurations they set.

    >>> empty = storage.EntryKind.EMPTY
    >>> log = ReplicatedLog(None, [storage.LogEntry(1, 3, empty)])
    >>> log.last_index, log.last_term, log.term_at(2)
    (1, 3, None)
    """

    __slots__ = ("_configurations", "_entries", "snapshot")

    def __init__(
        self,
        snapshot: storage.Snapshot | None,
        entries: collections.abc.Iterable[storage.LogEntry],
    ) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)
        self._configurations: list[_IndexedConfiguration] = []
        self._rebuild_configurations()

    @property
    def snapshot_index(self) -> int:
        """Return the last index covered by the snapshot, or 0."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def is_empty(self) -> bool:
        """Return whether there is neither an entry nor a snapshot."""
        return self.last_index == 0

    @property
    def entries(self) -> tuple[storage.LogEntry, ...]:
        """Return all entries in the log."""
        return tuple(self._entries)

    @property
    def first_index(self) -> int:
        """Return the index of the first entry, or of the next to append."""
        if self._entries:
            return self._entries[0].index
        return self.snapshot_index + 1

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or 0."""
        if self._entries:
            return self._entries[-1].index
        return self.snapshot_index

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or 0."""
        return self.term_at(self.last_index) or 0

    @property
    def configuration(self) -> storage.Configuration:
        """Return the configuration in effect."""
        return self._configurations[-1].configuration

    @property
    def configuration_index(self) -> int:
        """Return the index of the entry that set the configuration."""
        return self._configurations[-1].index

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or ``None`` if it is not in the log."""
        if self._entries and self._entries[0].index <= index:
            position = index - self._entries[0].index
            if position < len(self._entries):
                return self._entries[position].term
            return None
        if self.snapshot and index == self.snapshot.index:
            return self.snapshot.term
        return 0 if index == 0 and self.first_index == 1 else None

    def between(
        self, first_index: int, last_index: int
    ) -> list[storage.LogEntry]:
        """Return the entries from ``first_index`` to ``last_index``.

        Both ends are included.  Indices that are not in the log are skipped.
        """
        if not self._entries:
            return []
        offset = self._entries[0].index
        start = max(0, first_index - offset)
        return self._entries[start : max(0, last_index + 1 - offset)]

    def batch(
        self, first_index: int, limit_entries: int, limit_bytes: int
    ) -> tuple[storage.LogEntry, ...]:
        """Return entries from ``first_index`` within both limits.

        The first entry is returned even if it exceeds ``limit_bytes``.
        """
        chosen: list[storage.LogEntry] = []
        size_bytes = 0
        last_index = first_index + limit_entries - 1
        for entry in self.between(first_index, last_index):
            size_bytes += entry_bytes(entry)
            if chosen and size_bytes > limit_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def append(
        self, entries: collections.abc.Iterable[storage.LogEntry]
    ) -> None:
        """Append entries; their configurations take effect at once."""
        for entry in entries:
            self._entries.append(entry)
            self._track_configuration(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entry at ``index`` and all later ones.

        The configuration reverts to the last one that remains.
        """
        if not self._entries:
            return
        del self._entries[max(0, index - self._entries[0].index) :]
        while self._configurations[-1].index >= index:
            self._configurations.pop()

    def configuration_at(self, index: int) -> storage.Configuration:
        """Return the configuration in effect at ``index``.

        Raises ``LookupError`` if ``index`` is before the snapshot.
        """
        for indexed in reversed(self._configurations):
            if indexed.index <= index:
                return indexed.configuration
        raise LookupError(index)

    def compact(
        self, snapshot: storage.Snapshot, trailing_entries: int
    ) -> None:
        """Replace the prefix of the log by a snapshot of applied state.

        The last ``trailing_entries`` that the snapshot covers are kept, so
        that slightly lagging members need no snapshot.
        """
        self.snapshot = snapshot
        first_kept = snapshot.index + 1 - trailing_entries
        self._entries = self.between(first_kept, self.last_index)
        self._rebuild_configurations()

    def install(self, snapshot: storage.Snapshot) -> None:
        """Install a leader's snapshot, keeping entries that follow from it."""
        is_in_log = self.term_at(snapshot.index) == snapshot.term
        last_index = self.last_index if is_in_log else 0
        kept = self.between(snapshot.index + 1, last_index)
        self.snapshot = snapshot
        self._entries = kept
        self._rebuild_configurations()

    def _rebuild_configurations(self) -> None:
        base = _IndexedConfiguration(0, storage.Configuration())
        if self.snapshot:
            base = _IndexedConfiguration(
                self.snapshot.index, self.snapshot.configuration
            )
        self._configurations = [base]
        for entry in self._entries:
            self._track_configuration(entry)

    def _track_configuration(self, entry: storage.LogEntry) -> None:
        if entry.configuration is None or entry.index <= self.snapshot_index:
            return
        self._configurations.append(
            _IndexedConfiguration(entry.index, entry.configuration)
        )
