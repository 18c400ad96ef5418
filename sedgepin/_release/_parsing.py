"""Parses the JSON of a release note."""

import result

from sedgepin._release import _note
from sedgepin import documents
from sedgepin import errors

_DOCUMENT_NAME = "release note"


def parse_note(
    raw: bytes,
) -> result.Result[_note.ReleaseNote, errors.DocumentRefused]:
    """Return the note in the JSON text ``raw``, or all its faults."""
    return documents.decode(
        raw, _note.ReleaseNote, _DOCUMENT_NAME, _note.MAX_NOTE_BYTES
    )
