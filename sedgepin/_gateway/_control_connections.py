"""Which control VMs an entry VM is connected to.

If every entry VM were connected to every control VM, each would receive every
change and every heartbeat of an endpoint from each control VM, and the cost of
a control VM would grow with the size of the whole fleet.  So an entry VM is
connected to two: the one that it reports its load to, in its own data centre
if that has one, and a spare, which can take over at once.
"""

import collections.abc
import dataclasses
import datetime
import hashlib

from sedgepin import _model as model

_CONNECTION_COUNT = 2
# A control VM in reach accepts a connection within milliseconds; one that is
# just starting takes about a second.
_CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
# A control VM that could not be reached is passed over for this long, and
# twice as long after each further failure.
_MIN_BACKOFF = datetime.timedelta(seconds=5)
_MAX_BACKOFF = datetime.timedelta(seconds=40)
# All control VMs have met each other by this time after the start, so that
# their data centres are known.
_SETTLING_TIME = datetime.timedelta(seconds=2)


@dataclasses.dataclass(slots=True)
class _Control:
    """What is known of a control VM.

    ``dialled_at`` is set while the transport maintains a connection to it.
    """

    data_centre: model.DataCentreId | None = None
    dialled_at: datetime.datetime | None = None
    is_connected: bool = False
    failure_count: int = 0
    failed_until: datetime.datetime | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Changes:
    """The control VMs to connect to, and those to disconnect from."""

    dialled: tuple[model.VmId, ...] = ()
    hung_up: tuple[model.VmId, ...] = ()


class ControlConnections:
    """Chooses two control VMs and replaces those that fail.

    An entry VM disconnects from the others only while it is connected to both
    that it has chosen, so a fleet in trouble is connected to all of them.

    >>> connections = ControlConnections(vm_id, data_centre, seeds, now)
    >>> connections.add({"control:4": "mateur"})
    >>> connections.plan(lambda vm_id: False, now)
    Changes(dialled=('control:4',), hung_up=())
    """

    __slots__ = ("_controls", "_data_centre", "_started_at", "_vm_id")

    def __init__(
        self,
        vm_id: model.VmId,
        data_centre: model.DataCentreId,
        dialled: collections.abc.Iterable[model.VmId],
        now: datetime.datetime,
    ) -> None:
        """Start with control VMs that the transport connects to already."""
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._started_at = now
        self._controls = {
            control: _Control(dialled_at=now) for control in dialled
        }

    @property
    def connected(self) -> set[model.VmId]:
        """Return the control VMs with a connection."""
        return {
            vm_id
            for vm_id, control in self._controls.items()
            if control.is_connected
        }

    def rank(self, vm_id: model.VmId) -> tuple[bool, str]:
        """Return the key that orders control VMs by preference.

        Those in the same data centre come first.  Otherwise each entry VM has
        an order of its own, so that the entry VMs are spread evenly.
        """
        control = self._controls.get(vm_id)
        is_remote = control is None or control.data_centre != self._data_centre
        digest = hashlib.blake2b(
            f"{self._vm_id} {vm_id}".encode(), digest_size=8
        )
        return (is_remote, digest.hexdigest())

    def add(
        self,
        controls: collections.abc.Mapping[
            model.VmId, model.DataCentreId | None
        ],
    ) -> None:
        """Add control VMs, and learn their data centres where known."""
        for vm_id, data_centre in controls.items():
            control = self._controls.setdefault(vm_id, _Control())
            if data_centre:
                control.data_centre = data_centre

    def record_connected(
        self, vm_id: model.VmId, data_centre: model.DataCentreId
    ) -> None:
        """Record a new connection, which ends the backoff of its peer."""
        control = self._controls.setdefault(vm_id, _Control())
        control.data_centre = data_centre
        control.is_connected = True
        control.failure_count = 0
        control.failed_until = None

    def record_disconnected(
        self, vm_id: model.VmId, now: datetime.datetime
    ) -> None:
        """Record the end of a connection.

        It counts as a failure unless this VM has hung up.
        """
        control = self._controls.get(vm_id)
        if control is None:
            return
        control.is_connected = False
        if control.dialled_at is not None:
            self._record_failure(control, now)

    def plan(
        self,
        is_unresponsive: collections.abc.Callable[[model.VmId], bool],
        now: datetime.datetime,
    ) -> Changes:
        """Return the connections to make and to end now.

        ``is_unresponsive`` tells which control VMs to pass over even though
        they are connected.
        """
        for control in self._controls.values():
            if (
                control.dialled_at is not None
                and not control.is_connected
                and now - control.dialled_at > _CONNECT_TIMEOUT
            ):
                self._record_failure(control, now)
                control.dialled_at = now
        if now - self._started_at < _SETTLING_TIME:
            return Changes()
        ordered = sorted(
            self._controls,
            key=lambda vm_id: (
                self._is_failed(self._controls[vm_id], now)
                or is_unresponsive(vm_id),
                self.rank(vm_id),
            ),
        )
        wanted = ordered[:_CONNECTION_COUNT]
        dialled = [
            vm_id
            for vm_id in wanted
            if self._controls[vm_id].dialled_at is None
        ]
        for vm_id in dialled:
            self._controls[vm_id].dialled_at = now
        hung_up: list[model.VmId] = []
        if all(self._controls[vm_id].is_connected for vm_id in wanted):
            for vm_id in ordered[_CONNECTION_COUNT:]:
                control = self._controls[vm_id]
                if control.dialled_at is not None:
                    control.dialled_at = None
                    hung_up.append(vm_id)
        return Changes(tuple(dialled), tuple(hung_up))

    @staticmethod
    def _record_failure(control: _Control, now: datetime.datetime) -> None:
        if control.failed_until is not None and now < control.failed_until:
            return
        backoff = min(_MAX_BACKOFF, _MIN_BACKOFF * 2**control.failure_count)
        control.failure_count += 1
        control.failed_until = now + backoff

    @staticmethod
    def _is_failed(control: _Control, now: datetime.datetime) -> bool:
        return control.failed_until is not None and now < control.failed_until
