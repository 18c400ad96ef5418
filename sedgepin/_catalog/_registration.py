"""What an endpoint says of itself when it registers."""

import enum

import msgspec

from sedgepin import _model as model


class EndpointState(enum.Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Registration(msgspec.Struct, frozen=True):
    """An endpoint's latest word on itself.

    ``incarnation`` is the start of the endpoint; ``sequence`` rises with
    each word of one incarnation.  ``layers`` is empty for a plain service
    and for an engine that holds none.
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
    def ordering_key(self) -> tuple[int, int]:
        """Return what tells a later word from an earlier one."""
        return (self.incarnation, self.sequence)
