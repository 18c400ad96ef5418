"""The peers of a control VM, and messages to groups of them."""

import collections.abc
import datetime
import hashlib

from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects

Effects = list[_effects.RegistrarEffect]

# At most one list of control VMs is sent in this time, since at the start of a
# system all VMs connect within a second.
_ANNOUNCEMENT_INTERVAL = datetime.timedelta(milliseconds=500)
# A changed number of entry VMs is announced this often.  It matters to entry
# VMs that get no aggregated load.
_COUNT_INTERVAL = datetime.timedelta(seconds=5)


class Peers:
    """The connected entry VMs, and all known control VMs.

    An entry VM is connected to two control VMs, and homed at the one that it
    reports its load to.  Methods return the effects that send the messages.
    """

    __slots__ = (
        "_announced_at",
        "_announced_count",
        "_data_centre",
        "_is_announcement_due",
        "_vm_id",
        "connected_controls",
        "control_data_centres",
        "controls",
        "entries",
        "homed_entries",
    )

    def __init__(
        self,
        vm_id: model.VmId,
        data_centre: model.DataCentreId,
        controls: tuple[model.VmId, ...],
        now: datetime.datetime,
    ) -> None:
        self._vm_id = vm_id
        self._data_centre = data_centre
        self.entries: dict[model.VmId, model.DataCentreId] = {}
        self.homed_entries: collections.abc.Set[model.VmId] = frozenset()
        self.controls: set[model.VmId] = set(controls) - {vm_id}
        self.connected_controls: set[model.VmId] = set()
        self.control_data_centres: dict[model.VmId, model.DataCentreId] = {
            vm_id: data_centre
        }
        self._is_announcement_due = False
        self._announced_at = now
        self._announced_count = 0

    def connect(self, hello: protocol.Hello) -> Effects:
        """Add a peer that has connected; return the first message to it.

        A control VM that was not known, or not where it is, is announced to
        the others.
        """
        if hello.role == "entry":
            self.entries[hello.id] = hello.data_centre
        else:
            self.connected_controls.add(hello.id)
            if self.control_data_centres.get(hello.id) != hello.data_centre:
                self.control_data_centres[hello.id] = hello.data_centre
                self._is_announcement_due = True
        message = self._controls_message()
        return [_effects.SendMessage(hello.id, message)]

    def disconnect(self, peer_id: model.VmId) -> None:
        """Remove a peer whose connection has ended."""
        self.entries.pop(peer_id, None)
        self.connected_controls.discard(peer_id)

    def is_in_own_data_centre(self, entry: model.VmId) -> bool:
        """Return whether an entry VM is in the data centre of this VM.

        State that all control VMs replicate is sent unrequested to these
        entry VMs only, because traffic between data centres costs more.
        """
        return self.entries.get(entry) == self._data_centre

    def is_responsible(
        self, data_centre: model.DataCentreId, key: str, is_leader: bool
    ) -> bool:
        """Return whether this VM looks after something in a data centre.

        One of the connected control VMs there is responsible, chosen by the
        key; the leader is where there is none.
        """
        candidates = [
            vm_id
            for vm_id in (self._vm_id, *self.connected_controls)
            if self.control_data_centres.get(vm_id) == data_centre
        ]
        if not candidates:
            return is_leader
        if len(candidates) == 1:
            return candidates[0] == self._vm_id
        chosen = min(candidates, key=lambda vm_id: _digest(vm_id, key))
        return chosen == self._vm_id

    def send_to_all(self, message: protocol.PeerMessage) -> Effects:
        """Send a message to every peer."""
        return _send(self.entries.keys() | self.controls, message)

    def send_to_controls(self, message: protocol.PeerMessage) -> Effects:
        """Send a message to every other control VM."""
        return _send(self.controls, message)

    def send_to_entries(
        self,
        message: protocol.PeerMessage,
        excluded: model.VmId | None = None,
    ) -> Effects:
        """Send a message to every connected entry VM except ``excluded``."""
        return _send(
            (entry for entry in self.entries if entry != excluded), message
        )

    def send_to_homed_entries(self, message: protocol.PeerMessage) -> Effects:
        """Send a message to the entry VMs that report their load here."""
        return _send(
            (entry for entry in self.entries if entry in self.homed_entries),
            message,
        )

    def forward_to_own_entries(self, message: protocol.PeerMessage) -> Effects:
        """Forward a control VM's message to the entry VMs of this VM.

        These are the ones in this data centre and those that report their
        load here.  The control VM has sent it to the entry VMs that are
        connected to it, but others may be connected only to this VM.
        """
        return _send(
            (
                entry
                for entry in self.entries
                if self.is_in_own_data_centre(entry)
                or entry in self.homed_entries
            ),
            message,
        )

    def add_controls(self, controls: tuple[model.VmId, ...]) -> Effects:
        """Add control VMs, and connect to those that are new.

        If there are any, every peer is sent the extended list soon.
        """
        new = set(controls) - self.controls - {self._vm_id}
        if not new:
            return []
        self.controls |= new
        self._is_announcement_due = True
        return [_effects.DialPeer(control) for control in sorted(new)]

    def tick(self, entry_count: int, now: datetime.datetime) -> Effects:
        """Send the list of control VMs to every peer if it has changed."""
        elapsed = now - self._announced_at
        if self._is_announcement_due:
            is_due = elapsed >= _ANNOUNCEMENT_INTERVAL
        else:
            has_changed = entry_count != self._announced_count
            is_due = has_changed and elapsed >= _COUNT_INTERVAL
        if not is_due:
            return []
        self._is_announcement_due = False
        self._announced_at = now
        self._announced_count = entry_count
        return self.send_to_all(self._controls_message())

    def _controls_message(self) -> protocol.ControlsKnown:
        controls = tuple(sorted(self.controls | {self._vm_id}))
        unknown = model.DataCentreId("")
        return protocol.ControlsKnown(
            controls,
            max(self._announced_count, len(self.entries)),
            tuple(
                self.control_data_centres.get(control, unknown)
                for control in controls
            ),
        )


def _digest(vm_id: model.VmId, key: str) -> str:
    return hashlib.blake2b(f"{vm_id} {key}".encode()).hexdigest()


def _send(
    peers: collections.abc.Iterable[model.VmId], message: protocol.PeerMessage
) -> Effects:
    return [_effects.SendMessage(peer, message) for peer in sorted(peers)]
