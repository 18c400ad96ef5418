"""Which entry VMs may forward requests of others to endpoints."""

import datetime
import hashlib

from sedgepin import _model as model
from sedgepin import _protocol as protocol

# Enough for the load of one entry VM, also if some of them fail.
_MAX_OFFERED = 8
# An entry VM repeats its question each second while its paths are broken.
_ASKER_TTL = datetime.timedelta(seconds=3)


class ForwarderDirectory:
    """The entry VMs connected to this control VM that forward for others.

    Those that look for forwarders themselves are not offered.
    """

    __slots__ = ("_asked_at", "_data_centres", "_forwarders")

    def __init__(self) -> None:
        self._forwarders: dict[model.VmId, protocol.Forwarder] = {}
        self._data_centres: dict[model.VmId, model.DataCentreId] = {}
        self._asked_at: dict[model.VmId, datetime.datetime] = {}

    def add(self, hello: protocol.Hello) -> None:
        """Add an entry VM that has connected, if it forwards."""
        if not hello.forward_address:
            return
        self._data_centres[hello.id] = hello.data_centre
        self._forwarders[hello.id] = protocol.Forwarder(
            hello.id, hello.forward_address, hello.forward_key
        )

    def remove(self, vm_id: model.VmId) -> None:
        """Remove an entry VM whose connection has ended."""
        self._forwarders.pop(vm_id, None)
        self._data_centres.pop(vm_id, None)
        self._asked_at.pop(vm_id, None)

    def offer(
        self, asker: model.VmId, now: datetime.datetime
    ) -> protocol.ForwardersOffered:
        """Return forwarders for an entry VM that asks for some.

        Those of its data centre come first; otherwise the order differs by
        asker, so that they share the load.
        """
        self._asked_at[asker] = now
        data_centre = self._data_centres.get(asker)
        candidates = [
            vm_id
            for vm_id in self._forwarders
            if vm_id != asker and not self._has_asked(vm_id, now)
        ]
        candidates.sort(
            key=lambda vm_id: (
                self._data_centres[vm_id] != data_centre,
                hashlib.blake2b(
                    f"{asker} {vm_id}".encode(), digest_size=8
                ).digest(),
            )
        )
        return protocol.ForwardersOffered(
            tuple(self._forwarders[vm_id] for vm_id in candidates)[
                :_MAX_OFFERED
            ]
        )

    def _has_asked(self, vm_id: model.VmId, now: datetime.datetime) -> bool:
        asked_at = self._asked_at.get(vm_id)
        return asked_at is not None and now - asked_at < _ASKER_TTL
