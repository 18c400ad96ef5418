"""Replies to committed commands."""

import msgspec
import result

from sedgepin import _release as release
from sedgepin._state import _failures
from sedgepin import _writes as writes
from sedgepin import errors


class _Reply(msgspec.Struct, frozen=True, tag=True):
    """The base of all replies."""


class Recorded(_Reply, frozen=True):
    """The command was applied at this log index."""

    index: int


class NoteAccepted(_Reply, frozen=True):
    """The note is accepted; for a repeated note, its first acceptance."""

    accepted: release.AcceptedNote


class NoteFaulty(_Reply, frozen=True):
    """The note is invalid."""

    failure: errors.DocumentRefused


class NoteConflicted(_Reply, frozen=True):
    """The note conflicts with an accepted one."""

    failure: release.NoteConflict


class VmRefused(_Reply, frozen=True):
    """The VM must restart under a higher incarnation."""

    failure: _failures.VmIncarnationStale


Reply = (
    Recorded
    | NoteAccepted
    | NoteFaulty
    | NoteConflicted
    | VmRefused
    | writes.WriteReply
)


def encode_reply(reply: Reply) -> bytes:
    """Return the reply as MessagePack."""
    return msgspec.msgpack.encode(reply)


def decode_reply(raw: bytes) -> result.Result[Reply, errors.DocumentRefused]:
    """Decode the output of ``encode_reply``, or report why it is invalid."""
    try:
        return result.Ok(msgspec.msgpack.decode(raw, type=Reply))
    except (msgspec.MsgspecError, RecursionError) as exc:
        fault = errors.FieldFault("reply", str(exc))
        return result.Err(errors.DocumentRefused("reply", (fault,)))
