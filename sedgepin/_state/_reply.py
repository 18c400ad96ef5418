"""What the proposer of a command is told once it is committed."""

import msgspec
import result

from sedgepin import _release as release
from sedgepin._state import _failures
from sedgepin import _writes as writes
from sedgepin import errors


class _Reply(msgspec.Struct, frozen=True, tag=True):
    """The base of the replies."""


class Recorded(_Reply, frozen=True):
    """The command took effect at this index of the log."""

    index: int


class NoteAccepted(_Reply, frozen=True):
    """The note is accepted; for a resend, its first acceptance."""

    accepted: release.AcceptedNote


class NoteFaulty(_Reply, frozen=True):
    """The note has faults."""

    failure: errors.DocumentRefused


class NoteConflicted(_Reply, frozen=True):
    """The note clashes with an accepted one."""

    failure: release.NoteConflict


class VmRefused(_Reply, frozen=True):
    """The VM must start again under a higher incarnation."""

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
    """Return the reply that ``encode_reply`` made, or why it is none."""
    try:
        return result.Ok(msgspec.msgpack.decode(raw, type=Reply))
    except (msgspec.MsgspecError, RecursionError) as exc:
        fault = errors.FieldFault("reply", str(exc))
        return result.Err(errors.DocumentRefused("reply", (fault,)))
