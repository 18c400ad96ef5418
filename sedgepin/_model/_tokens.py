"""One token of an answer, stamped so that it can belong nowhere else."""

import msgspec

from sedgepin._model import _identity
from sedgepin._model import _layers


class StageMark(msgspec.Struct, frozen=True):
    """What a stage writes on a token that it has worked on."""

    endpoint_id: _identity.EndpointId
    layers: _layers.LayerRange


class TokenPiece(msgspec.Struct, frozen=True):
    """One token, the attempt that made it and the layers it went through.

    ``position`` counts the answer's tokens from 0.  ``lineage`` lists the
    stages in the order in which they ran; it must equal the pipeline that
    the attempt was given.
    """

    request_id: _identity.RequestId
    attempt: int
    position: int
    text: str
    lineage: tuple[StageMark, ...]
