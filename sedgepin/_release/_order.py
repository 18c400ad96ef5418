"""Orders to engines, each with a fencing token."""

import enum

import msgspec

from sedgepin import _model


class OrderAction(enum.Enum):
    """The action that an order asks of an engine.

    ``LOAD_MODEL`` replaces the model, version or layers that it holds.
    """

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    CHANGE_ROLE = "change_role"


class FencingToken(msgspec.Struct, frozen=True, order=True):
    """Ranks the orders of all leaders; engines refuse a lower token.

    ``epoch`` is the Raft term of the leader; ``sequence`` counts its orders
    in that term.  Engines may announce that they don't check the token.
    """

    epoch: int
    sequence: int


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """An order to one incarnation of an engine.

    ``weights`` is where the weight store holds the weights of a load.
    """

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
        """Return the token that engines compare to refuse stale orders."""
        return FencingToken(self.epoch, self.sequence)

    def __str__(self) -> str:
        parts = [self.action.value, f"to {self.endpoint_id}"]
        parts += [self.model or "", self.version, self.adapter, self.role]
        return " ".join(part for part in parts if part)
