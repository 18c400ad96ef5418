"""The audit trail: who changed what, when, and at which log index."""

import collections
import datetime

import msgspec

from sedgepin._state import _command

MAX_ENTRIES = 8192
MAX_TEXT_CHARACTERS = 256


class AuditEntry(msgspec.Struct, frozen=True):
    """A change, with the log index and time of its command."""

    index: int
    at: datetime.datetime
    actor: str
    kind: _command.AuditKind
    subject: str
    detail: str = ""


class AuditTrail:
    """The latest ``MAX_ENTRIES`` entries, oldest first."""

    __slots__ = ("_entries",)

    def __init__(self, entries: tuple[AuditEntry, ...] = ()) -> None:
        self._entries = collections.deque(entries, maxlen=MAX_ENTRIES)

    def contents(self) -> tuple[AuditEntry, ...]:
        """Return all entries, oldest first."""
        return tuple(self._entries)

    def add(
        self,
        index: int,
        command: _command.Command,
        kind: _command.AuditKind,
        subject: str,
        detail: str = "",
    ) -> None:
        """Add an entry for a change that ``command`` made.

        Longer texts are cut to ``MAX_TEXT_CHARACTERS``.
        """
        entry = AuditEntry(
            index=index,
            at=command.at,
            actor=command.actor[:MAX_TEXT_CHARACTERS],
            kind=kind,
            subject=subject[:MAX_TEXT_CHARACTERS],
            detail=detail[:MAX_TEXT_CHARACTERS],
        )
        self._entries.append(entry)

    def after(self, index: int, limit: int) -> tuple[AuditEntry, ...]:
        """Return up to ``limit`` entries after ``index``, oldest first.

        Exceeds ``limit`` only to return all entries of the last index, so
        that a caller can continue after that index.
        """
        selected: list[AuditEntry] = []
        for entry in self._entries:
            if entry.index <= index:
                continue
            if len(selected) >= limit and entry.index != selected[-1].index:
                break
            selected.append(entry)
        return tuple(selected)
