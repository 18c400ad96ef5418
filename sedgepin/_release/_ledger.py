"""Accepts release notes, in the order of the Raft log."""

import datetime

import msgspec
import result

from sedgepin._release import _acceptance
from sedgepin._release import _failures
from sedgepin._release import _fleet
from sedgepin._release import _note
from sedgepin import errors

# Three days of notes in the largest system supported.
MAX_ACCEPTED_NOTES = 4096


class LedgerContents(msgspec.Struct, frozen=True):
    """The state of a note ledger, as snapshots store it."""

    fleet: _fleet.Fleet
    accepted: tuple[_acceptance.AcceptedNote, ...]


class NoteLedger:
    """The fleet in force and the latest accepted notes.

    Of the notes with one number, the first in the log is accepted.
    Publishing the same note again returns the first acceptance; any other
    note of that number is a conflict that names the accepted one.
    """

    __slots__ = ("_by_id", "_by_number", "_fleet")

    def __init__(self, contents: LedgerContents | None = None) -> None:
        self._fleet = contents.fleet if contents else _fleet.Fleet()
        self._by_number: dict[int, _acceptance.AcceptedNote] = {}
        self._by_id: dict[str, _acceptance.AcceptedNote] = {}
        for accepted in contents.accepted if contents else ():
            self._add_accepted(accepted)

    @property
    def fleet(self) -> _fleet.Fleet:
        """Return the fleet in force."""
        return self._fleet

    def contents(self) -> LedgerContents:
        """Return the state from which a new ledger can be built."""
        return LedgerContents(self._fleet, tuple(self._by_number.values()))

    def publish(
        self, note: _note.ReleaseNote, log_index: int, at: datetime.datetime
    ) -> result.Result[
        _acceptance.AcceptedNote,
        errors.DocumentRefused | _failures.NoteConflict,
    ]:
        """Accept ``note``, or return its conflict or all its faults."""
        digest = note.digest
        same_id = self._by_id.get(note.note_id)
        if same_id is not None and same_id.digest == digest:
            return result.Ok(same_id)
        conflict = self._find_conflict(note, same_id)
        if conflict is not None:
            return result.Err(conflict)
        applied = self._fleet.with_note(note)
        if isinstance(applied, result.Err):
            return applied
        accepted = _acceptance.AcceptedNote(
            number=note.number,
            note_id=note.note_id,
            author=note.author,
            title=note.title,
            digest=digest,
            log_index=log_index,
            accepted_at=at,
        )
        self._fleet = applied.ok_value
        self._add_accepted(accepted)
        return result.Ok(accepted)

    def accepted(self, number: int) -> _acceptance.AcceptedNote | None:
        """Return the accepted note of a number.

        Only the latest ``MAX_ACCEPTED_NOTES`` are kept.
        """
        return self._by_number.get(number)

    def _find_conflict(
        self,
        note: _note.ReleaseNote,
        same_id: _acceptance.AcceptedNote | None,
    ) -> _failures.NoteConflict | None:
        kinds = _failures.NoteConflictKind
        next_number = self._fleet.note_number + 1
        winner = self._by_number.get(note.number)
        if same_id is not None:
            kind = kinds.ID_REUSED
            winner = same_id
        elif note.number == next_number:
            return None
        elif note.number > next_number:
            kind = kinds.NUMBER_AHEAD
        elif winner is None:
            kind = kinds.NUMBER_PASSED
        else:
            kind = kinds.NUMBER_TAKEN
        return _failures.NoteConflict(kind, note.number, next_number, winner)

    def _add_accepted(self, accepted: _acceptance.AcceptedNote) -> None:
        self._by_number[accepted.number] = accepted
        self._by_id[accepted.note_id] = accepted
        if len(self._by_number) <= MAX_ACCEPTED_NOTES:
            return
        oldest = self._by_number.pop(next(iter(self._by_number)))
        if self._by_id.get(oldest.note_id) is oldest:
            del self._by_id[oldest.note_id]
