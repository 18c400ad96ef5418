"""The replicated state machine of the control VMs and its commands."""

from sedgepin._state._audit import AuditEntry
from sedgepin._state._audit import AuditTrail
from sedgepin._state._command import AuditKind
from sedgepin._state._command import Command
from sedgepin._state._command import ConfigureWrites
from sedgepin._state._command import DeclareVmLost
from sedgepin._state._command import decode_command
from sedgepin._state._command import encode_command
from sedgepin._state._command import LeaveVm
from sedgepin._state._command import PublishNote
from sedgepin._state._command import RecordEvent
from sedgepin._state._command import RecordOrder
from sedgepin._state._command import RegisterVm
from sedgepin._state._command import stamp
from sedgepin._state._control_state import ControlState
from sedgepin._state._failures import SnapshotDamaged
from sedgepin._state._failures import SnapshotVersionUnknown
from sedgepin._state._failures import VmIncarnationStale
from sedgepin._state._reply import decode_reply
from sedgepin._state._reply import encode_reply
from sedgepin._state._reply import NoteAccepted
from sedgepin._state._reply import NoteConflicted
from sedgepin._state._reply import NoteFaulty
from sedgepin._state._reply import Recorded
from sedgepin._state._reply import Reply
from sedgepin._state._reply import VmRefused
from sedgepin._state._vms import VmRecord
from sedgepin._state._vms import VmState

__all__ = [
    "AuditEntry",
    "AuditKind",
    "AuditTrail",
    "Command",
    "ConfigureWrites",
    "ControlState",
    "DeclareVmLost",
    "LeaveVm",
    "NoteAccepted",
    "NoteConflicted",
    "NoteFaulty",
    "PublishNote",
    "RecordEvent",
    "RecordOrder",
    "Recorded",
    "RegisterVm",
    "Reply",
    "SnapshotDamaged",
    "SnapshotVersionUnknown",
    "VmIncarnationStale",
    "VmRecord",
    "VmRefused",
    "VmState",
    "decode_command",
    "decode_reply",
    "encode_command",
    "encode_reply",
    "stamp",
]
