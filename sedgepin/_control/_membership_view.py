"""The VMs and endpoints of the system, as a control VM hears of them."""

import collections.abc
import datetime

from sedgepin import _membership as membership
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _state as state

_ENDPOINT_FORGET_AFTER = datetime.timedelta(seconds=30)
_ACTOR = "control"


class Roster:
    """Heartbeats of VMs, and the endpoints that VMs report."""

    __slots__ = (
        "_data_centres",
        "_endpoints",
        "_heard_at",
        "_is_leading",
        "liveness",
    )

    def __init__(self) -> None:
        self.liveness = membership.VmLiveness()
        self._is_leading = False
        self._data_centres: dict[model.VmId, model.DataCentreId] = {}
        self._endpoints: dict[model.EndpointId, model.Announcement] = {}
        self._heard_at: dict[model.EndpointId, datetime.datetime] = {}

    def greeted(self, hello: protocol.Hello) -> None:
        """Note which data centre a peer is in."""
        self._data_centres[hello.id] = hello.data_centre

    def visit_leadership(
        self,
        known: collections.abc.Iterable[state.VmRecord],
        now: datetime.datetime,
    ) -> None:
        """Begin to watch the leases of all VMs that have joined."""
        self._is_leading = True
        lives = tuple(
            membership.VmIncarnation(vm.vm_id, vm.incarnation)
            for vm in known
            if vm.state is state.VmState.JOINED
        )
        self.liveness.handle(membership.LeadershipGained(lives), now)

    def leave_leadership(self, now: datetime.datetime) -> None:
        """Watch no lease any more."""
        self._is_leading = False
        self.liveness.handle(membership.LeadershipLost(), now)

    def heartbeats(
        self, batch: membership.HeartbeatBatch, now: datetime.datetime
    ) -> list[membership.LivenessEffect]:
        """Take in heartbeats."""
        arrived = membership.HeartbeatsReceived(batch)
        return self.liveness.handle(arrived, now)

    def tick(self, now: datetime.datetime) -> list[membership.LivenessEffect]:
        """See whose lease is over."""
        return self.liveness.handle(membership.LeaseTimerFired(), now)

    def registration(
        self, joined: membership.DeclareJoined, at: datetime.datetime
    ) -> state.RegisterVm:
        """Return the command that registers a VM."""
        unknown = model.DataCentreId("")
        return state.RegisterVm(
            at=at,
            actor=_ACTOR,
            vm_id=joined.vm_id,
            incarnation=joined.incarnation,
            data_centre=self._data_centres.get(joined.vm_id, unknown),
            roles=("entry",),
            address="",
        )

    def seen(
        self, message: protocol.EndpointsSeen, now: datetime.datetime
    ) -> None:
        """Take in the endpoints that an entry VM reports."""
        for announced in message.announcements:
            known = self._endpoints.get(announced.endpoint_id)
            if known is None or _order(known) <= _order(announced):
                self._endpoints[announced.endpoint_id] = announced
                self._heard_at[announced.endpoint_id] = now

    def endpoints(
        self, now: datetime.datetime
    ) -> tuple[model.Announcement, ...]:
        """Return the endpoints heard of lately."""
        for endpoint_id, heard_at in list(self._heard_at.items()):
            if now - heard_at >= _ENDPOINT_FORGET_AFTER:
                del self._heard_at[endpoint_id]
                del self._endpoints[endpoint_id]
        return tuple(self._endpoints.values())


def _order(announced: model.Announcement) -> tuple[int, int]:
    return (announced.incarnation, announced.sequence)
