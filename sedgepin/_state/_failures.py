"""Why the control VMs' state refused a VM or a snapshot."""

import dataclasses
import typing

from sedgepin import _model as model
from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class VmIncarnationStale(errors.Failure):
    """A VM came under an incarnation that is over."""

    code: typing.ClassVar[str] = "vm_incarnation_stale"
    title: typing.ClassVar[str] = "The VM's incarnation is over"
    http_status: typing.ClassVar[int] = 409

    vm_id: model.VmId
    incarnation: model.Incarnation
    current_incarnation: model.Incarnation

    def detail(self) -> str:
        """Return which incarnation came and which is the latest."""
        return (
            f"VM {self.vm_id}: incarnation {self.incarnation} is over, "
            f"the latest is {self.current_incarnation}"
        )


@dataclasses.dataclass(slots=True, frozen=True)
class SnapshotVersionUnknown(errors.Failure):
    """A snapshot in a format that this release does not read."""

    code: typing.ClassVar[str] = "snapshot_version_unknown"
    title: typing.ClassVar[str] = "The snapshot's format is not known"

    version: int
    supported_version: int

    def detail(self) -> str:
        """Return both versions."""
        return (
            f"the snapshot has format {self.version}, "
            f"this release reads {self.supported_version}"
        )


@dataclasses.dataclass(slots=True, frozen=True)
class SnapshotDamaged(errors.Failure):
    """A snapshot whose contents are not what was written."""

    code: typing.ClassVar[str] = "snapshot_damaged"
    title: typing.ClassVar[str] = "The snapshot is damaged"

    problem: str

    def detail(self) -> str:
        """Return what is wrong."""
        return f"the snapshot is damaged: {self.problem}"
