"""What the replicated log holds: every change of the control VMs' state."""

import datetime
import enum

import msgspec
import result

from sedgepin import _model as model
from sedgepin import _release as release
from sedgepin import _writes as writes
from sedgepin import errors


class _Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The base: when the leader took it in, and who asked for it."""

    at: datetime.datetime
    actor: str


class PublishNote(_Command, frozen=True, kw_only=True):
    """Asks to accept a release note."""

    note: release.ReleaseNote


class ConfigureWrites(_Command, frozen=True, kw_only=True):
    """Puts another policy for write records in force."""

    policy: writes.WritePolicy


class RegisterVm(_Command, frozen=True, kw_only=True):
    """A VM joins under a new incarnation, which ends its earlier ones."""

    vm_id: model.VmId
    incarnation: model.Incarnation
    data_centre: model.DataCentreId
    roles: tuple[str, ...]
    address: str


class LeaveVm(_Command, frozen=True, kw_only=True):
    """A VM has shut down and holds no write any more."""

    vm_id: model.VmId
    incarnation: model.Incarnation


class DeclareVmLost(_Command, frozen=True, kw_only=True):
    """A VM is given up; what it has begun becomes unknown."""

    vm_id: model.VmId
    incarnation: model.Incarnation


class RecordOrder(_Command, frozen=True, kw_only=True):
    """An order is about to be given."""

    order: release.Order


class AuditKind(enum.Enum):
    """What an entry of the audit trail tells."""

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
    """Something to put in the audit trail that changes no other state."""

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
    """Return the command that ``encode_command`` made, or why it is none."""
    try:
        return result.Ok(msgspec.msgpack.decode(raw, type=Command))
    except (msgspec.MsgspecError, RecursionError) as exc:
        fault = errors.FieldFault("command", str(exc))
        return result.Err(errors.DocumentRefused("command", (fault,)))


def stamp(command: Command, at: datetime.datetime) -> Command:
    """Return the command with the instant at which the leader took it in."""
    return msgspec.structs.replace(command, at=at)
