"""A request as the router sees it."""

import dataclasses

from sedgepin import _model


@dataclasses.dataclass(slots=True, frozen=True)
class Work:
    """What one attempt at a request needs, and what bears on its cost.

    ``prefix_hashes`` names the prompt's blocks in order; each hash covers
    its block and all before it, so holding one implies the earlier ones.
    ``avoid`` is never chosen.  ``prefer`` names engines that served an
    earlier attempt and still hold its cache.
    """

    request_id: _model.RequestId
    model: _model.ModelName
    service: _model.ServiceName
    prompt_tokens: int
    expected_tokens: int
    prefix_hashes: tuple[str, ...] = ()
    avoid: frozenset[_model.EndpointId] = frozenset()
    prefer: frozenset[_model.EndpointId] = frozenset()
    model_version: str = ""
    adapter: str = ""
