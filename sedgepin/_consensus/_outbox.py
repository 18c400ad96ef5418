"""The effects of one event, in the order in which they must be done."""

import collections.abc

from sedgepin._consensus import _effects
from sedgepin import _storage as storage


class Outbox:
    """Collects effects and puts writes to disk before all others.

    Messages and applied entries thus never depend on state that a crash could
    lose.
    """

    __slots__ = (
        "_effects",
        "_entries",
        "_hard_state",
        "_snapshot",
        "_truncate_from",
    )

    def __init__(self) -> None:
        self._hard_state: storage.HardState | None = None
        self._truncate_from: int | None = None
        self._entries: list[storage.LogEntry] = []
        self._snapshot: _effects.PersistSnapshot | None = None
        self._effects: list[_effects.Effect] = []

    def persist_hard_state(self, hard_state: storage.HardState) -> None:
        """Add a write of term, vote and cluster id."""
        self._hard_state = hard_state

    def persist_entries(
        self,
        entries: collections.abc.Iterable[storage.LogEntry],
        truncate_from: int | None = None,
    ) -> None:
        """Add a write of entries, after truncation from ``truncate_from``."""
        if truncate_from is not None:
            self._truncate_from = truncate_from
        self._entries.extend(entries)

    def persist_snapshot(
        self,
        snapshot: storage.Snapshot,
        entries: tuple[storage.LogEntry, ...],
    ) -> None:
        """Add a write of a snapshot and of all entries that the log keeps."""
        self._snapshot = _effects.PersistSnapshot(snapshot, entries)

    def add(self, effect: _effects.Effect) -> None:
        """Add an effect to carry out after all writes to disk."""
        self._effects.append(effect)

    def drain(self) -> list[_effects.Effect]:
        """Return all effects in order and clear the outbox."""
        drained: list[_effects.Effect] = []
        if self._has_log_write():
            drained.append(
                _effects.Persist(
                    self._hard_state,
                    self._truncate_from,
                    tuple(self._entries),
                )
            )
        if self._snapshot is not None:
            drained.append(self._snapshot)
        drained.extend(self._effects)
        self._clear()
        return drained

    def _has_log_write(self) -> bool:
        return bool(
            self._hard_state is not None
            or self._truncate_from is not None
            or self._entries
        )

    def _clear(self) -> None:
        self._hard_state = None
        self._truncate_from = None
        self._entries = []
        self._snapshot = None
        self._effects = []
