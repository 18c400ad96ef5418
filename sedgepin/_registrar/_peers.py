"""The peers of a control VM, and messages to groups of them."""

import collections.abc

from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects

Effects = list[_effects.RegistrarEffect]


class Peers:
    """The connected entry VMs, and all known control VMs.

    Methods return the effects that send the messages.
    """

    __slots__ = ("_data_centre", "_vm_id", "controls", "entries")

    def __init__(
        self,
        vm_id: model.VmId,
        data_centre: model.DataCentreId,
        controls: tuple[model.VmId, ...],
    ) -> None:
        self._vm_id = vm_id
        self._data_centre = data_centre
        self.entries: dict[model.VmId, model.DataCentreId] = {}
        self.controls: set[model.VmId] = set(controls) - {vm_id}

    def is_in_own_data_centre(self, entry: model.VmId) -> bool:
        """Return whether an entry VM is in the data centre of this VM.

        State that all control VMs replicate is sent unrequested to these
        entry VMs only, because traffic between data centres costs more.
        """
        return self.entries.get(entry) == self._data_centre

    def send_to_all(self, message: protocol.PeerMessage) -> Effects:
        """Send a message to every peer."""
        return _send(self.entries.keys() | self.controls, message)

    def send_to_entries(
        self,
        message: protocol.PeerMessage,
        excluded: model.VmId | None = None,
    ) -> Effects:
        """Send a message to every connected entry VM except ``excluded``."""
        return _send(
            (entry for entry in self.entries if entry != excluded), message
        )

    def forward_to_local_entries(
        self, message: protocol.PeerMessage
    ) -> Effects:
        """Forward a control VM's message to the entry VMs in this data centre.

        The control VM has sent it to the entry VMs that are connected to it,
        but others may be connected only to this VM.
        """
        return _send(filter(self.is_in_own_data_centre, self.entries), message)

    def add_controls(self, controls: tuple[model.VmId, ...]) -> Effects:
        """Add control VMs, and connect to those that are new.

        If there are any, every peer is sent the extended list.
        """
        new = set(controls) - self.controls - {self._vm_id}
        if not new:
            return []
        self.controls |= new
        effects: Effects = [
            _effects.DialPeer(control) for control in sorted(new)
        ]
        return effects + self.announce_controls()

    def announce_controls(self) -> Effects:
        """Send the ids of all known control VMs to every peer."""
        controls = tuple(sorted(self.controls | {self._vm_id}))
        message = protocol.ControlsKnown(controls, len(self.entries))
        return self.send_to_all(message)


def _send(
    peers: collections.abc.Iterable[model.VmId], message: protocol.PeerMessage
) -> Effects:
    return [_effects.SendMessage(peer, message) for peer in sorted(peers)]
