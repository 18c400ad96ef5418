"""The VMs that a registrar talks to."""

import collections.abc

from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects

Effects = list[_effects.RegistrarEffect]


class Peers:
    """The entry VMs that are connected, and the control VMs that are known."""

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

    def is_near(self, entry: model.VmId) -> bool:
        """Tell whether an entry VM is in this VM's data centre.

        Only there is everything pushed that other control VMs hold as well;
        links between data centres cost more.
        """
        return self.entries.get(entry) == self._data_centre

    def tell_all(self, message: protocol.PeerMessage) -> Effects:
        """Send a message to every peer."""
        return _send(self.entries.keys() | self.controls, message)

    def tell_entries(
        self,
        message: protocol.PeerMessage,
        but: model.VmId | None = None,
    ) -> Effects:
        """Send a message to every entry VM that is connected."""
        return _send((one for one in self.entries if one != but), message)

    def pass_on(self, message: protocol.PeerMessage) -> Effects:
        """Send what another control VM told to the entry VMs near this one.

        The other one tells every entry VM that it reaches by itself.
        """
        return _send(filter(self.is_near, self.entries), message)

    def meet(self, controls: tuple[model.VmId, ...]) -> Effects:
        """Note control VMs, and dial those that are new."""
        new = set(controls) - self.controls - {self._vm_id}
        if not new:
            return []
        self.controls |= new
        made: Effects = [_effects.DialPeer(one) for one in sorted(new)]
        return made + self.tell_controls()

    def tell_controls(self) -> Effects:
        """Tell every peer which control VMs there are."""
        known = tuple(sorted(self.controls | {self._vm_id}))
        message = protocol.ControlsKnown(known, len(self.entries))
        return self.tell_all(message)


def _send(
    peers: collections.abc.Iterable[model.VmId], message: protocol.PeerMessage
) -> Effects:
    return [_effects.SendMessage(peer, message) for peer in sorted(peers)]
