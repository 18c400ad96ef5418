"""The registry of the system's own VMs."""

import enum

import msgspec
import result

from sedgepin import _model as model
from sedgepin._state import _command
from sedgepin._state import _failures


class VmState(enum.Enum):
    """Whether a VM is part of the system, has left it or was lost."""

    JOINED = "joined"
    LEFT = "left"
    LOST = "lost"


class VmRecord(msgspec.Struct, frozen=True):
    """One VM in its latest incarnation."""

    vm_id: model.VmId
    incarnation: model.Incarnation
    data_centre: model.DataCentreId
    roles: tuple[str, ...]
    address: str
    state: VmState = VmState.JOINED


class VmRegistry:
    """Every VM that ever joined, by id.

    A higher incarnation replaces a lower one.  An incarnation that has left
    or was lost cannot join again.
    """

    __slots__ = ("_vms",)

    def __init__(self, vms: tuple[VmRecord, ...] = ()) -> None:
        self._vms = {vm.vm_id: vm for vm in vms}

    def contents(self) -> tuple[VmRecord, ...]:
        """Return all VMs in the order in which they first joined."""
        return tuple(self._vms.values())

    def get(self, vm_id: model.VmId) -> VmRecord | None:
        """Return a VM, or ``None`` if it has never joined."""
        return self._vms.get(vm_id)

    def register(
        self, command: _command.RegisterVm
    ) -> result.Result[bool, _failures.VmIncarnationStale]:
        """Register a VM; return whether this incarnation is new.

        Repeating the current registration is not an error.
        """
        record = self._vms.get(command.vm_id)
        if record is not None and record.incarnation >= command.incarnation:
            is_same_incarnation = record.incarnation == command.incarnation
            if is_same_incarnation and record.state is VmState.JOINED:
                return result.Ok(False)
            return result.Err(
                _failures.VmIncarnationStale(
                    command.vm_id, command.incarnation, record.incarnation
                )
            )
        self._vms[command.vm_id] = VmRecord(
            vm_id=command.vm_id,
            incarnation=command.incarnation,
            data_centre=command.data_centre,
            roles=command.roles,
            address=command.address,
        )
        return result.Ok(True)

    def end(
        self,
        vm_id: model.VmId,
        incarnation: model.Incarnation,
        state: VmState,
    ) -> bool:
        """End a joined incarnation; return whether its state changed."""
        record = self._vms.get(vm_id)
        if record is None or record.incarnation != incarnation:
            return False
        if record.state is not VmState.JOINED:
            return False
        self._vms[vm_id] = msgspec.structs.replace(record, state=state)
        return True
