"""The audit trail: who changed what, when, and where in the log."""

import collections
import datetime

import msgspec

from sedgepin._state import _command

MAX_ENTRIES = 8192
MAX_TEXT_CHARACTERS = 256


class AuditEntry(msgspec.Struct, frozen=True):
    """One change."""

    index: int
    at: datetime.datetime
    actor: str
    kind: _command.AuditKind
    subject: str
    detail: str = ""


class AuditTrail:
    """The latest entries, oldest first."""

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
        """Add what ``command`` brought about."""
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
        """Return about ``limit`` entries after ``index``, oldest first.

        Entries of one index are never torn apart, so that the index of the
        last one is where to go on from.
        """
        selected: list[AuditEntry] = []
        for entry in self._entries:
            if entry.index <= index:
                continue
            if len(selected) >= limit and entry.index != selected[-1].index:
                break
            selected.append(entry)
        return tuple(selected)
