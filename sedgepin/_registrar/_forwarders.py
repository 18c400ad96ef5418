"""Which entry VMs may forward requests of others to endpoints."""

import dataclasses
import datetime
import enum
import hashlib

from sedgepin import _model as model
from sedgepin import _protocol as protocol

# Enough for the load of one entry VM, also if some of them fail.
_MAX_OFFERED = 8
# An entry VM repeats its question more often while its paths are broken.
_ASKER_TTL = datetime.timedelta(seconds=3)


class _Doubt(enum.IntEnum):
    """What speaks against a forwarder, from the least on.

    ``PARTIAL``: it misses some endpoints.  ``UNKNOWN``: it misses some, or
    all.  ``CUT``: it misses all.
    """

    NONE = 0
    PARTIAL = 1
    UNKNOWN = 2
    CUT = 3


@dataclasses.dataclass(slots=True, frozen=True)
class _Question:
    """The last question of an entry VM, and what it said of itself."""

    asked_at: datetime.datetime
    is_cut_off: bool | None


class ForwarderDirectory:
    """The entry VMs connected to this control VM that forward for others.

    Those that say that they are cut off themselves are not offered.  One that
    only misses some endpoints is, if there are none better.
    """

    __slots__ = ("_data_centres", "_forwarders", "_questions")

    def __init__(self) -> None:
        self._forwarders: dict[model.VmId, protocol.Forwarder] = {}
        self._data_centres: dict[model.VmId, model.DataCentreId] = {}
        self._questions: dict[model.VmId, _Question] = {}

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
        self._questions.pop(vm_id, None)

    def offer(
        self,
        asker: model.VmId,
        is_cut_off: bool | None,
        now: datetime.datetime,
    ) -> protocol.ForwardersOffered:
        """Return forwarders for an entry VM that asks for some.

        Those that miss no endpoint come first.  Half are of its data centre,
        if there are as many: they are near, but may be cut off with it.
        Otherwise the order differs by asker, so that they share the load.
        ``is_cut_off`` is what the asker says of itself.
        """
        self._questions[asker] = _Question(now, is_cut_off)
        data_centre = self._data_centres.get(asker)
        candidates = [
            vm_id
            for vm_id in self._forwarders
            if vm_id != asker and self._doubt(vm_id, now) is not _Doubt.CUT
        ]
        candidates.sort(
            key=lambda vm_id: (
                self._doubt(vm_id, now).value,
                hashlib.blake2b(
                    f"{asker} {vm_id}".encode(), digest_size=8
                ).digest(),
            )
        )
        near = [
            vm_id
            for vm_id in candidates
            if self._data_centres[vm_id] == data_centre
            and self._doubt(vm_id, now) is _Doubt.NONE
        ]
        chosen = near[: _MAX_OFFERED // 2]
        far = [vm_id for vm_id in candidates if vm_id not in near]
        chosen += far[: _MAX_OFFERED - len(chosen)]
        chosen += near[_MAX_OFFERED // 2 :]
        return protocol.ForwardersOffered(
            tuple(self._forwarders[vm_id] for vm_id in chosen[:_MAX_OFFERED])
        )

    def _doubt(self, vm_id: model.VmId, now: datetime.datetime) -> _Doubt:
        question = self._questions.get(vm_id)
        if question is None or now - question.asked_at >= _ASKER_TTL:
            return _Doubt.NONE
        if question.is_cut_off is None:
            return _Doubt.UNKNOWN
        return _Doubt.CUT if question.is_cut_off else _Doubt.PARTIAL
