"""A token of an answer, with the attempt and the stages it came from."""

import msgspec

from sedgepin._model import _identity
from sedgepin._model import _layers


class StageMark(msgspec.Struct, frozen=True):
    """A stage in the lineage of a token: an endpoint and the layers it ran."""

    endpoint_id: _identity.EndpointId
    layers: _layers.LayerRange


class TokenPiece(msgspec.Struct, frozen=True):
    """One token with the attempt and the stages that generated it.

    ``position`` is the index of the token in the answer, from 0.
    ``lineage`` lists the stages in the order in which they ran; it must
    match the pipeline of the attempt.
    """

    request_id: _identity.RequestId
    attempt: int
    position: int
    text: str
    lineage: tuple[StageMark, ...]
