"""Orders to engines, each under a fencing token."""

import enum

import msgspec

from sedgepin import _model


class OrderAction(enum.Enum):
    """What an engine is told to do.

    ``LOAD_MODEL`` replaces whatever model, version or layers it holds.
    """

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    CHANGE_ROLE = "change_role"


class FencingToken(msgspec.Struct, frozen=True, order=True):
    """What an engine that checks orders compares: higher wins.

    ``epoch`` is that of the leader's election; ``sequence`` counts the
    orders of one epoch.
    """

    epoch: int
    sequence: int


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """One order to one life of one engine."""

    epoch: int
    sequence: int
    endpoint_id: _model.EndpointId
    incarnation: _model.Incarnation
    address: str
    action: OrderAction
    note_number: int = 0
    model: _model.ModelName | None = None
    version: str = ""
    layers: _model.LayerRange | None = None
    adapter: str = ""
    role: str = ""
    weights: str = ""

    @property
    def fencing_token(self) -> FencingToken:
        """Return the fencing token."""
        return FencingToken(self.epoch, self.sequence)

    def __str__(self) -> str:
        parts = [self.action.value, f"to {self.endpoint_id}"]
        parts += [self.model or "", self.version, self.adapter, self.role]
        return " ".join(part for part in parts if part)
