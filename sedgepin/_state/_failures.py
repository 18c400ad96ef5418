"""Failures to register a VM or to load a snapshot."""

import dataclasses
import typing

from sedgepin import _model as model
from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class VmIncarnationStale(errors.Failure):
    """A VM tried to register under an incarnation that has ended."""

    code: typing.ClassVar[str] = "vm_incarnation_stale"
    title: typing.ClassVar[str] = "The VM's incarnation is over"
    http_status: typing.ClassVar[int] = 409

    vm_id: model.VmId
    incarnation: model.Incarnation
    current_incarnation: model.Incarnation

    def detail(self) -> str:
        """Return the refused incarnation and the latest one."""
        return (
            f"VM {self.vm_id}: incarnation {self.incarnation} has ended, "
            f"the latest is {self.current_incarnation}"
        )


@dataclasses.dataclass(slots=True, frozen=True)
class SnapshotVersionUnknown(errors.Failure):
    """A snapshot with a format version that is not supported."""

    code: typing.ClassVar[str] = "snapshot_version_unknown"
    title: typing.ClassVar[str] = "The snapshot's format is not known"

    version: int
    supported_version: int

    def detail(self) -> str:
        """Return both versions."""
        return (
            f"the snapshot has format version {self.version}, "
            f"expected {self.supported_version}"
        )


@dataclasses.dataclass(slots=True, frozen=True)
class SnapshotDamaged(errors.Failure):
    """A snapshot with corrupt contents."""

    code: typing.ClassVar[str] = "snapshot_damaged"
    title: typing.ClassVar[str] = "The snapshot is damaged"

    problem: str

    def detail(self) -> str:
        """Return the problem."""
        return f"the snapshot is damaged: {self.problem}"
