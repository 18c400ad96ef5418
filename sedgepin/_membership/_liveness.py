"""Which VMs are alive, as the control leader sees it.

Each VM sends a heartbeat with what the leader has to know of it.  A VM that
stays silent for a lease, by the leader's clock, is declared lost under its
incarnation; the same process never counts as alive again, another life of
the VM does.
"""

import collections.abc
import dataclasses
import datetime
import typing

import msgspec

from sedgepin import _model as model

_LARGEST_NUMBER = 2**63 - 1
_LARGEST_MILLISECONDS = 2**40
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_LARGEST_NUMBER)]
_Milliseconds = typing.Annotated[
    int, msgspec.Meta(ge=0, le=_LARGEST_MILLISECONDS)
]

_LEASE = datetime.timedelta(seconds=3)
_REMEMBER_LOST = datetime.timedelta(hours=1)


class VmHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="vm"):
    """What a VM says of itself, once a second and at each change.

    ``age_milliseconds`` is how long a relay held it.  ``sequence`` rises
    with each heartbeat of one incarnation.
    """

    vm_id: model.VmId
    incarnation: _Count
    sequence: int
    note_in_force: _Count = 0
    is_ready: bool = False
    is_draining: bool = False
    age_milliseconds: _Milliseconds = 0


class HeartbeatBatch(
    msgspec.Struct, frozen=True, array_like=True, tag="heartbeats"
):
    """The heartbeats that a relay gathered since it last sent."""

    heartbeats: tuple[VmHeartbeat, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class HeartbeatsReceived:
    """Heartbeats came in, from a VM itself or from a relay."""

    batch: HeartbeatBatch


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipGained:
    """This control VM began to lead; these VMs belong to the system."""

    members: tuple["VmIncarnation", ...]


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipLost:
    """This control VM leads no more and declares nothing from now on."""


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseTimerFired:
    """Time passed: see whose lease is over."""


LivenessEvent = (
    HeartbeatsReceived | LeadershipGained | LeadershipLost | LeaseTimerFired
)


@dataclasses.dataclass(slots=True, frozen=True)
class VmIncarnation:
    """One incarnation of a VM."""

    vm_id: model.VmId
    incarnation: model.Incarnation


@dataclasses.dataclass(slots=True, frozen=True)
class DeclareLost:
    """Commit that an incarnation of a VM is lost for good."""

    vm_id: model.VmId
    incarnation: model.Incarnation


@dataclasses.dataclass(slots=True, frozen=True)
class DeclareJoined:
    """Commit that an incarnation of a VM belongs to the system."""

    vm_id: model.VmId
    incarnation: model.Incarnation


@dataclasses.dataclass(slots=True, frozen=True)
class NotifyLost:
    """Tell a VM that this incarnation of it counts as lost.

    It goes on with what it has in flight and takes a new incarnation for
    what comes.
    """

    vm_id: model.VmId
    incarnation: model.Incarnation


LivenessEffect = DeclareLost | DeclareJoined | NotifyLost


@dataclasses.dataclass(slots=True, frozen=True)
class NoteCoverage:
    """On how many live VMs a note is in force, and which lag."""

    in_force_count: int
    live_count: int
    lagging: tuple[model.VmId, ...]


@dataclasses.dataclass(slots=True)
class _Member:
    """The newest heartbeat of a VM, and when its lease is over."""

    heartbeat: VmHeartbeat
    lease_until: datetime.datetime
    is_lost: bool = False


class VmLiveness:
    """The VMs of the system and their leases.

    >>> liveness = VmLiveness()
    >>> now = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    >>> life = VmIncarnation(model.VmId("e1"), model.Incarnation(1))
    >>> liveness.handle(LeadershipGained((life,)), now)
    []
    >>> later = now + datetime.timedelta(seconds=3)
    >>> liveness.handle(LeaseTimerFired(), later)
    [DeclareLost(vm_id='e1', incarnation=1)]
    """

    __slots__ = ("_is_leading", "_lease", "_members")

    def __init__(self, lease: datetime.timedelta = _LEASE) -> None:
        self._lease = lease
        self._is_leading = False
        self._members: dict[model.VmId, _Member] = {}

    def handle(
        self, event: LivenessEvent, now: datetime.datetime
    ) -> list[LivenessEffect]:
        """Take in one event; return what is to be committed."""
        match event:
            case LeadershipGained(members):
                self._visit(members, now)
            case LeadershipLost():
                self._is_leading = False
                self._members.clear()
            case HeartbeatsReceived(batch) if self._is_leading:
                return self._renew(batch.heartbeats, now)
            case LeaseTimerFired() if self._is_leading:
                return self._expire(now)
        return []

    def note_coverage(self, note_number: int) -> NoteCoverage:
        """Return on which live VMs a note is in force."""
        live = [
            member.heartbeat
            for member in self._members.values()
            if not member.is_lost
        ]
        lagging = tuple(
            heartbeat.vm_id
            for heartbeat in live
            if heartbeat.note_in_force < note_number
        )
        return NoteCoverage(len(live) - len(lagging), len(live), lagging)

    def find(self, vm_id: model.VmId) -> VmHeartbeat | None:
        """Return the newest heartbeat of a VM that is not lost."""
        member = self._members.get(vm_id)
        if member is None or member.is_lost:
            return None
        return member.heartbeat

    def _visit(
        self,
        members: collections.abc.Iterable[VmIncarnation],
        now: datetime.datetime,
    ) -> None:
        """Begin every lease anew: an earlier leader's view is not known."""
        self._is_leading = True
        self._members = {
            life.vm_id: _Member(
                VmHeartbeat(life.vm_id, life.incarnation, -1),
                now + self._lease,
            )
            for life in members
        }

    def _renew(
        self,
        heartbeats: collections.abc.Iterable[VmHeartbeat],
        now: datetime.datetime,
    ) -> list[LivenessEffect]:
        effects: list[LivenessEffect] = []
        for heartbeat in heartbeats:
            member = self._members.get(heartbeat.vm_id)
            if member is None:
                effects += self._join(heartbeat, now)
                continue
            if heartbeat.incarnation > member.heartbeat.incarnation:
                effects += _lose(member)
                effects += self._join(heartbeat, now)
                continue
            effects += self._refresh(member, heartbeat, now)
        return effects

    def _refresh(
        self,
        member: _Member,
        heartbeat: VmHeartbeat,
        now: datetime.datetime,
    ) -> list[LivenessEffect]:
        known = member.heartbeat
        if member.is_lost or heartbeat.incarnation < known.incarnation:
            incarnation = model.Incarnation(heartbeat.incarnation)
            return [NotifyLost(heartbeat.vm_id, incarnation)]
        if heartbeat.sequence > known.sequence:
            member.heartbeat = heartbeat
            lease_until = self._lease_until(heartbeat, now)
            member.lease_until = max(member.lease_until, lease_until)
        return []

    def _join(
        self, heartbeat: VmHeartbeat, now: datetime.datetime
    ) -> list[LivenessEffect]:
        lease_until = self._lease_until(heartbeat, now)
        if lease_until <= now:
            return []
        self._members[heartbeat.vm_id] = _Member(heartbeat, lease_until)
        incarnation = model.Incarnation(heartbeat.incarnation)
        return [DeclareJoined(heartbeat.vm_id, incarnation)]

    def _lease_until(
        self, heartbeat: VmHeartbeat, now: datetime.datetime
    ) -> datetime.datetime:
        held = datetime.timedelta(milliseconds=heartbeat.age_milliseconds)
        return now - held + self._lease

    def _expire(self, now: datetime.datetime) -> list[LivenessEffect]:
        effects: list[LivenessEffect] = []
        for vm_id, member in list(self._members.items()):
            if now >= member.lease_until:
                effects += _lose(member)
            if now >= member.lease_until + _REMEMBER_LOST:
                del self._members[vm_id]
        return effects


def _lose(member: _Member) -> list[LivenessEffect]:
    if member.is_lost:
        return []
    member.is_lost = True
    heartbeat = member.heartbeat
    incarnation = model.Incarnation(heartbeat.incarnation)
    return [DeclareLost(heartbeat.vm_id, incarnation)]


class HeartbeatRelay:
    """Gathers the heartbeats of one data centre for the leader.

    Of each VM it keeps the newest only, so that what it sends is bounded by
    the number of VMs.
    """

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending: dict[
            model.VmId, tuple[VmHeartbeat, datetime.datetime]
        ] = {}

    def record_heartbeat(
        self, heartbeat: VmHeartbeat, now: datetime.datetime
    ) -> None:
        """Keep a heartbeat, unless a newer one of the VM is held."""
        pending = self._pending.get(heartbeat.vm_id)
        if pending is None or _order(pending[0]) < _order(heartbeat):
            self._pending[heartbeat.vm_id] = (heartbeat, now)

    def flush(self, now: datetime.datetime) -> HeartbeatBatch:
        """Return what was gathered, with how long each was held."""
        batch = HeartbeatBatch(
            tuple(
                _held(heartbeat, now - heard_at)
                for heartbeat, heard_at in self._pending.values()
            )
        )
        self._pending.clear()
        return batch


def _order(heartbeat: VmHeartbeat) -> tuple[int, int]:
    return (heartbeat.incarnation, heartbeat.sequence)


def _held(heartbeat: VmHeartbeat, held: datetime.timedelta) -> VmHeartbeat:
    milliseconds = held // datetime.timedelta(milliseconds=1)
    return msgspec.structs.replace(
        heartbeat, age_milliseconds=heartbeat.age_milliseconds + milliseconds
    )
