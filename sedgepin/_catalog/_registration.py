"""The registration of an endpoint, as sent to control VMs and peers."""

import enum

import msgspec

from sedgepin import _model as model


class EndpointState(enum.Enum):
    """Lifecycle state; only a ``READY`` endpoint gets new requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Registration(msgspec.Struct, frozen=True):
    """State of an endpoint, as of one of its registrations.

    ``incarnation`` identifies one run of the endpoint's process and rises
    with each start; ``sequence`` rises with each registration of one
    incarnation.  ``layers`` is ``None`` for a plain service and for an engine
    that holds no layers.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    sequence: int
    service: model.ServiceName
    address: str
    data_centre: model.DataCentreId
    state: EndpointState
    slots: int = 0
    layers: model.LayerRange | None = None
    accelerator: str = ""
    weights_version: int | None = None

    @property
    def ordering_key(self) -> tuple[int, bool, int]:
        """Key that orders the registrations of one endpoint by recency.

        An endpoint may deregister at a VM that has not received its latest
        registration, and ``GONE`` is final for an incarnation.
        """
        is_gone = self.state is EndpointState.GONE
        return (self.incarnation, is_gone, self.sequence)
