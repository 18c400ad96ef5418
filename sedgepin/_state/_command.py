"""Commands of the replicated log, which change the control VMs' state."""

import datetime
import enum

import msgspec
import result

from sedgepin import _model as model
from sedgepin import _release as release
from sedgepin import _writes as writes
from sedgepin import errors


class _Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all commands.

    ``at`` is the time at which the leader accepted the command, ``actor``
    names who issued it.
    """

    at: datetime.datetime
    actor: str


class PublishNote(_Command, frozen=True, kw_only=True):
    """Accept a release note."""

    note: release.ReleaseNote


class ConfigureWrites(_Command, frozen=True, kw_only=True):
    """Change the policy for write records."""

    policy: writes.WritePolicy


class RegisterVm(_Command, frozen=True, kw_only=True):
    """Register a VM under a new incarnation, which ends earlier ones."""

    vm_id: model.VmId
    incarnation: model.Incarnation
    data_centre: model.DataCentreId
    roles: tuple[str, ...]
    address: str


class LeaveVm(_Command, frozen=True, kw_only=True):
    """Deregister a VM that has shut down and holds no writes."""

    vm_id: model.VmId
    incarnation: model.Incarnation


class DeclareVmLost(_Command, frozen=True, kw_only=True):
    """Declare a VM lost; the outcome of its pending writes is unknown."""

    vm_id: model.VmId
    incarnation: model.Incarnation


class RecordOrder(_Command, frozen=True, kw_only=True):
    """Record an order in the audit trail before it is sent."""

    order: release.Order


class AuditKind(enum.Enum):
    """The type of an audit trail entry."""

    NOTE_ACCEPTED = "note_accepted"
    ORDER_GIVEN = "order_given"
    LEADER_ELECTED = "leader_elected"
    MEMBER_CHANGED = "member_changed"
    VM_JOINED = "vm_joined"
    VM_LEFT = "vm_left"
    VM_LOST = "vm_lost"
    ENDPOINT_QUARANTINED = "endpoint_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
    WRITES_CONFIGURED = "writes_configured"
    WRITE_CHANGE_REFUSED = "write_change_refused"


class RecordEvent(_Command, frozen=True, kw_only=True):
    """Add an entry to the audit trail without any other change of state."""

    kind: AuditKind
    subject: str
    detail: str = ""


Command = (
    PublishNote
    | ConfigureWrites
    | RegisterVm
    | LeaveVm
    | DeclareVmLost
    | RecordOrder
    | RecordEvent
    | writes.WriteCommand
)


def encode_command(command: Command) -> bytes:
    """Return the command as MessagePack."""
    return msgspec.msgpack.encode(command)


def decode_command(
    raw: bytes,
) -> result.Result[Command, errors.DocumentRefused]:
    """Decode the output of ``encode_command``, or report why it is invalid."""
    try:
        return result.Ok(msgspec.msgpack.decode(raw, type=Command))
    except (msgspec.MsgspecError, RecursionError) as exc:
        fault = errors.FieldFault("command", str(exc))
        return result.Err(errors.DocumentRefused("command", (fault,)))


def stamp(command: Command, at: datetime.datetime) -> Command:
    """Return the command with the time at which the leader accepted it."""
    return msgspec.structs.replace(command, at=at)
