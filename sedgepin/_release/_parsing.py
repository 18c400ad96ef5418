"""Reads a release note as operators write it."""

import result

from sedgepin._release import _note
from sedgepin import documents
from sedgepin import errors

_DOCUMENT = "release note"


def parse_note(
    raw: bytes,
) -> result.Result[_note.ReleaseNote, errors.DocumentRefused]:
    """Return the note in the JSON text ``raw``, or every fault it has."""
    return documents.decode(
        raw, _note.ReleaseNote, _DOCUMENT, _note.MAX_NOTE_BYTES
    )
