"""A control VM's view of the VMs and endpoints of the system."""

import collections.abc
import datetime

from sedgepin import _membership as membership
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _state as state

_ENDPOINT_TTL = datetime.timedelta(seconds=30)
_ACTOR = "control"


class MembershipView:
    """Liveness of VMs, and the endpoints that entry VMs report."""

    __slots__ = (
        "_data_centres",
        "_endpoints",
        "_received_at",
        "_is_leading",
        "liveness",
    )

    def __init__(self) -> None:
        self.liveness = membership.VmLiveness()
        self._is_leading = False
        self._data_centres: dict[model.VmId, model.DataCentreId] = {}
        self._endpoints: dict[model.EndpointId, model.Announcement] = {}
        self._received_at: dict[model.EndpointId, datetime.datetime] = {}

    def record_hello(self, hello: protocol.Hello) -> None:
        """Record the data centre of a peer that connected."""
        self._data_centres[hello.id] = hello.data_centre

    def gain_leadership(
        self,
        vms: collections.abc.Iterable[state.VmRecord],
        now: datetime.datetime,
    ) -> None:
        """Start tracking the leases of all joined VMs, as the new leader."""
        self._is_leading = True
        incarnations = tuple(
            membership.VmIncarnation(vm.vm_id, vm.incarnation)
            for vm in vms
            if vm.state is state.VmState.JOINED
        )
        self.liveness.handle(membership.LeadershipGained(incarnations), now)

    def lose_leadership(self, now: datetime.datetime) -> None:
        """Stop tracking leases."""
        self._is_leading = False
        self.liveness.handle(membership.LeadershipLost(), now)

    def record_heartbeats(
        self, batch: membership.HeartbeatBatch, now: datetime.datetime
    ) -> list[membership.LivenessEffect]:
        """Record heartbeats and return the liveness changes."""
        received = membership.HeartbeatsReceived(batch)
        return self.liveness.handle(received, now)

    def tick(self, now: datetime.datetime) -> list[membership.LivenessEffect]:
        """Return the VMs whose lease expired, as liveness changes."""
        return self.liveness.handle(membership.LeaseTimerFired(), now)

    def registration_command(
        self, joined: membership.DeclareJoined, at: datetime.datetime
    ) -> state.RegisterVm:
        """Return the command that registers a VM that joined."""
        unknown_data_centre = model.DataCentreId("")
        return state.RegisterVm(
            at=at,
            actor=_ACTOR,
            vm_id=joined.vm_id,
            incarnation=joined.incarnation,
            data_centre=self._data_centres.get(
                joined.vm_id, unknown_data_centre
            ),
            roles=("entry",),
            address="",
        )

    def record_endpoints(
        self, message: protocol.EndpointsSeen, now: datetime.datetime
    ) -> None:
        """Record the announcements that an entry VM reports.

        An announcement older than the recorded one is ignored.
        """
        for announcement in message.announcements:
            previous = self._endpoints.get(announcement.endpoint_id)
            if previous is None or _ordering_key(previous) <= _ordering_key(
                announcement
            ):
                self._endpoints[announcement.endpoint_id] = announcement
                self._received_at[announcement.endpoint_id] = now

    def find(self, endpoint_id: model.EndpointId) -> model.Announcement | None:
        """Return the latest announcement of an endpoint, if there is one."""
        return self._endpoints.get(endpoint_id)

    def is_past(self, endpoint_id: model.EndpointId, incarnation: int) -> bool:
        """Return whether an incarnation is gone or another has followed."""
        latest = self._endpoints.get(endpoint_id)
        return latest is None or latest.incarnation > incarnation

    def endpoints(
        self, now: datetime.datetime
    ) -> tuple[model.Announcement, ...]:
        """Return the endpoints reported within the last 30 seconds."""
        for endpoint_id, received_at in list(self._received_at.items()):
            if now - received_at >= _ENDPOINT_TTL:
                del self._received_at[endpoint_id]
                del self._endpoints[endpoint_id]
        return tuple(self._endpoints.values())


def _ordering_key(announcement: model.Announcement) -> tuple[int, int]:
    return (announcement.incarnation, announcement.sequence)
