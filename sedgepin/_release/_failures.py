"""Conflicts between a release note and the accepted ones."""

import dataclasses
import enum
import typing

from sedgepin._release import _acceptance
from sedgepin import errors


class NoteConflictKind(enum.Enum):
    """Why a note conflicts with the accepted ones."""

    NUMBER_TAKEN = "number_taken"
    NUMBER_PASSED = "number_passed"
    NUMBER_AHEAD = "number_ahead"
    ID_REUSED = "id_reused"


@dataclasses.dataclass(slots=True, frozen=True)
class NoteConflict(errors.Failure):
    """A note whose number is not the next one or whose id is in use.

    ``winner`` is the accepted note with that number or id, if the ledger
    still keeps it.
    """

    code: typing.ClassVar[str] = "note_conflict"
    title: typing.ClassVar[str] = "The note clashes with an accepted one"
    http_status: typing.ClassVar[int] = 409

    kind: NoteConflictKind
    number: int
    next_number: int
    winner: _acceptance.AcceptedNote | None = None

    def detail(self) -> str:
        """Return the conflict, the next free number and the accepted note."""
        reason = self.kind.value.replace("_", " ")
        text = f"note {self.number}: {reason}; next is {self.next_number}"
        if self.winner is None:
            return text
        winner = self.winner
        return (
            f"{text}; accepted: number {winner.number}, "
            f"id {winner.note_id}, by {winner.author}, "
            f"digest {winner.digest}"
        )
