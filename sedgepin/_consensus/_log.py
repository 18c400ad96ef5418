"""The log in memory: a snapshot and the entries around and after its end."""

import collections.abc
import dataclasses

from sedgepin import _storage as storage

_ENTRY_OVERHEAD_BYTES = 32


def entry_bytes(entry: storage.LogEntry) -> int:
    """Return about how much of a message an entry takes."""
    return len(entry.command) + _ENTRY_OVERHEAD_BYTES


@dataclasses.dataclass(slots=True, frozen=True)
class _IndexedConfiguration:
    """A configuration and the index from which it is in effect."""

    index: int
    configuration: storage.Configuration


class ReplicatedLog:
    """The entries of one member, and the configuration in effect.

    >>> empty = storage.EntryKind.EMPTY
    >>> log = ReplicatedLog(None, [storage.LogEntry(1, 3, empty)])
    >>> log.last_index, log.last_term, log.term_at(2)
    (1, 3, None)
    """

    __slots__ = ("_entries", "_configurations", "snapshot")

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
        """Return the last index that the snapshot holds, or 0."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing was ever written."""
        return self.last_index == 0

    @property
    def entries(self) -> tuple[storage.LogEntry, ...]:
        """Return all entries that are kept."""
        return tuple(self._entries)

    @property
    def first_index(self) -> int:
        """Return the index of the first entry kept, or of the next one."""
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
        """Return the term of an entry, or ``None`` if it is not known."""
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
        """Return the entries from ``first_index`` to ``last_index``."""
        if not self._entries:
            return []
        offset = self._entries[0].index
        start = max(0, first_index - offset)
        return self._entries[start : max(0, last_index + 1 - offset)]

    def batch(
        self, first_index: int, limit_entries: int, limit_bytes: int
    ) -> tuple[storage.LogEntry, ...]:
        """Return entries from ``first_index`` on, at least one if any."""
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
        """Add entries at the end."""
        for entry in entries:
            self._entries.append(entry)
            self._track_configuration(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entry at ``index`` and all after it.

        The configuration in effect is then the last one that is left.
        """
        if not self._entries:
            return
        del self._entries[max(0, index - self._entries[0].index) :]
        while self._configurations[-1].index >= index:
            self._configurations.pop()

    def configuration_at(self, index: int) -> storage.Configuration:
        """Return the configuration in effect after ``index``."""
        for indexed in reversed(self._configurations):
            if indexed.index <= index:
                return indexed.configuration
        raise LookupError(index)

    def compact(
        self, snapshot: storage.Snapshot, trailing_entries: int
    ) -> None:
        """Take over a snapshot of applied state.

        ``trailing_entries`` before its end stay for members that lag a
        little.
        """
        self.snapshot = snapshot
        first_kept = snapshot.index + 1 - trailing_entries
        self._entries = self.between(first_kept, self.last_index)
        self._rebuild_configurations()

    def install(self, snapshot: storage.Snapshot) -> None:
        """Take over a leader's snapshot, and keep what goes on from it."""
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
