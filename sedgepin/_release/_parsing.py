"""Reads a release note as operators write it."""

import msgspec
import result

from sedgepin._release import _checking
from sedgepin._release import _note
from sedgepin import errors

_DOCUMENT = "release note"


def parse_note(
    raw: bytes,
) -> result.Result[_note.ReleaseNote, errors.DocumentRefused]:
    """Return the note in the JSON text ``raw``, or every fault it has."""
    if len(raw) > _note.NOTE_LIMIT_BYTES:
        return _refuse(
            errors.FieldFault(
                "note", f"is longer than {_note.NOTE_LIMIT_BYTES} bytes"
            )
        )
    try:
        decoded = msgspec.json.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return _refuse(errors.FieldFault("note", f"is not JSON: {exc}"))
    except RecursionError:
        return _refuse(errors.FieldFault("note", "is nested too deeply"))
    if not isinstance(decoded, dict):
        return _refuse(errors.FieldFault("note", "is not an object"))
    faults = _checking.check(decoded, _note.ReleaseNote, "")
    if faults:
        return _refuse(*faults)
    return result.Ok(msgspec.convert(decoded, _note.ReleaseNote))


def _refuse(
    *faults: errors.FieldFault,
) -> result.Err[errors.DocumentRefused]:
    return result.Err(errors.DocumentRefused(_DOCUMENT, faults))
