"""Leases of VMs, tracked by the leader of the control VMs.

Each VM renews its lease with heartbeats, which also report its state.  If the
lease expires, by the leader's clock, the incarnation of the VM is declared
lost.  It never counts as alive again; the VM has to rejoin under a new
incarnation.
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

_LEASE_DURATION = datetime.timedelta(seconds=3)
_LOST_RETENTION = datetime.timedelta(hours=1)


class VmHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="vm"):
    """The state that a VM reports periodically to renew its lease.

    ``age_milliseconds`` is how long a relay held it back.  ``sequence``
    increases with each heartbeat of an incarnation.  ``note_in_force`` is the
    number of the latest release note that the VM applied.
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
    """The heartbeats that a relay collected since its previous batch."""

    heartbeats: tuple[VmHeartbeat, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class HeartbeatsReceived:
    """Heartbeats were received, from a VM itself or from a relay."""

    batch: HeartbeatBatch


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipGained:
    """This control VM became the leader; ``members`` are the joined VMs."""

    members: tuple["VmIncarnation", ...]


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipLost:
    """This control VM is no longer the leader and stops declaring losses."""


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseTimerFired:
    """The timer that checks the leases for expiry has fired."""


LivenessEvent = (
    HeartbeatsReceived | LeadershipGained | LeadershipLost | LeaseTimerFired
)


@dataclasses.dataclass(slots=True, frozen=True)
class VmIncarnation:
    """One run of the process of a VM."""

    vm_id: model.VmId
    incarnation: model.Incarnation


@dataclasses.dataclass(slots=True, frozen=True)
class DeclareLost:
    """Commit that an incarnation of a VM is permanently lost."""

    vm_id: model.VmId
    incarnation: model.Incarnation


@dataclasses.dataclass(slots=True, frozen=True)
class DeclareJoined:
    """Commit that an incarnation of a VM joined the system."""

    vm_id: model.VmId
    incarnation: model.Incarnation


@dataclasses.dataclass(slots=True, frozen=True)
class NotifyLost:
    """Notify a VM that its incarnation was declared lost.

    The VM finishes its requests in flight, and takes a new incarnation for
    later ones.
    """

    vm_id: model.VmId
    incarnation: model.Incarnation


LivenessEffect = DeclareLost | DeclareJoined | NotifyLost


@dataclasses.dataclass(slots=True, frozen=True)
class NoteCoverage:
    """On how many live VMs a release note is in force.

    ``lagging`` are the live VMs on which the note is not in force yet.
    """

    in_force_count: int
    live_count: int
    lagging: tuple[model.VmId, ...]


@dataclasses.dataclass(slots=True)
class _Member:
    """The newest heartbeat of a VM, and when its lease expires."""

    heartbeat: VmHeartbeat
    lease_expires_at: datetime.datetime
    is_lost: bool = False


class VmLiveness:
    """The leases of all VMs of the system, at the leader.

    >>> liveness = VmLiveness()
    >>> now = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    >>> member = VmIncarnation(model.VmId("e1"), model.Incarnation(1))
    >>> liveness.handle(LeadershipGained((member,)), now)
    []
    >>> later = now + datetime.timedelta(seconds=3)
    >>> liveness.handle(LeaseTimerFired(), later)
    [DeclareLost(vm_id='e1', incarnation=1)]
    """

    __slots__ = ("_is_leading", "_lease", "_members")

    def __init__(self, lease: datetime.timedelta = _LEASE_DURATION) -> None:
        self._lease = lease
        self._is_leading = False
        self._members: dict[model.VmId, _Member] = {}

    def handle(
        self, event: LivenessEvent, now: datetime.datetime
    ) -> list[LivenessEffect]:
        """Process one event; return commits to make and notices to send."""
        match event:
            case LeadershipGained(members):
                self._start_leading(members, now)
            case LeadershipLost():
                self._is_leading = False
                self._members.clear()
            case HeartbeatsReceived(batch) if self._is_leading:
                return self._apply_heartbeats(batch.heartbeats, now)
            case LeaseTimerFired() if self._is_leading:
                return self._expire_leases(now)
        return []

    def note_coverage(self, note_number: int) -> NoteCoverage:
        """Return on how many live VMs a release note is in force."""
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

    def _start_leading(
        self,
        members: collections.abc.Iterable[VmIncarnation],
        now: datetime.datetime,
    ) -> None:
        """Start a full lease for every VM.

        The heartbeats that an earlier leader received are unknown here.
        """
        self._is_leading = True
        self._members = {
            member.vm_id: _Member(
                VmHeartbeat(member.vm_id, member.incarnation, -1),
                now + self._lease,
            )
            for member in members
        }

    def _apply_heartbeats(
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
                effects += _declare_lost(member)
                effects += self._join(heartbeat, now)
                continue
            effects += self._renew_lease(member, heartbeat, now)
        return effects

    def _renew_lease(
        self,
        member: _Member,
        heartbeat: VmHeartbeat,
        now: datetime.datetime,
    ) -> list[LivenessEffect]:
        latest = member.heartbeat
        if member.is_lost or heartbeat.incarnation < latest.incarnation:
            incarnation = model.Incarnation(heartbeat.incarnation)
            return [NotifyLost(heartbeat.vm_id, incarnation)]
        if heartbeat.sequence > latest.sequence:
            member.heartbeat = heartbeat
            lease_expires_at = self._lease_expiry(heartbeat, now)
            member.lease_expires_at = max(
                member.lease_expires_at, lease_expires_at
            )
        return []

    def _join(
        self, heartbeat: VmHeartbeat, now: datetime.datetime
    ) -> list[LivenessEffect]:
        lease_expires_at = self._lease_expiry(heartbeat, now)
        if lease_expires_at <= now:
            return []
        self._members[heartbeat.vm_id] = _Member(heartbeat, lease_expires_at)
        incarnation = model.Incarnation(heartbeat.incarnation)
        return [DeclareJoined(heartbeat.vm_id, incarnation)]

    def _lease_expiry(
        self, heartbeat: VmHeartbeat, now: datetime.datetime
    ) -> datetime.datetime:
        age = datetime.timedelta(milliseconds=heartbeat.age_milliseconds)
        return now - age + self._lease

    def _expire_leases(self, now: datetime.datetime) -> list[LivenessEffect]:
        effects: list[LivenessEffect] = []
        for vm_id, member in list(self._members.items()):
            if now >= member.lease_expires_at:
                effects += _declare_lost(member)
            if now >= member.lease_expires_at + _LOST_RETENTION:
                del self._members[vm_id]
        return effects


def _declare_lost(member: _Member) -> list[LivenessEffect]:
    if member.is_lost:
        return []
    member.is_lost = True
    heartbeat = member.heartbeat
    incarnation = model.Incarnation(heartbeat.incarnation)
    return [DeclareLost(heartbeat.vm_id, incarnation)]


class HeartbeatRelay:
    """Collects the heartbeats of one data centre for the leader.

    It keeps only the newest heartbeat of each VM, so that the size of a batch
    is bounded by the number of VMs.
    """

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending: dict[
            model.VmId, tuple[VmHeartbeat, datetime.datetime]
        ] = {}

    def record_heartbeat(
        self, heartbeat: VmHeartbeat, now: datetime.datetime
    ) -> None:
        """Keep a heartbeat, unless a newer one of the VM is pending."""
        pending = self._pending.get(heartbeat.vm_id)
        if pending is None or _ordering_key(pending[0]) < _ordering_key(
            heartbeat
        ):
            self._pending[heartbeat.vm_id] = (heartbeat, now)

    def flush(self, now: datetime.datetime) -> HeartbeatBatch:
        """Return and clear the pending heartbeats, with their ages updated."""
        batch = HeartbeatBatch(
            tuple(
                _add_age(heartbeat, now - received_at)
                for heartbeat, received_at in self._pending.values()
            )
        )
        self._pending.clear()
        return batch


def _ordering_key(heartbeat: VmHeartbeat) -> tuple[int, int]:
    return (heartbeat.incarnation, heartbeat.sequence)


def _add_age(heartbeat: VmHeartbeat, age: datetime.timedelta) -> VmHeartbeat:
    milliseconds = age // datetime.timedelta(milliseconds=1)
    return msgspec.structs.replace(
        heartbeat, age_milliseconds=heartbeat.age_milliseconds + milliseconds
    )
