"""A request as the router sees it."""

import dataclasses

from sedgepin import _model


@dataclasses.dataclass(slots=True, frozen=True)
class RoutingRequest:
    """What one attempt at a request needs, and what bears on its cost.

    ``prefix_hashes`` names the prompt's blocks in order; each hash covers
    its block and all before it, so holding one implies the earlier ones.
    ``excluded_endpoints`` are never chosen.  ``preferred_endpoints`` served
    an earlier attempt and still hold its KV cache.
    """

    request_id: _model.RequestId
    model: _model.ModelName
    service: _model.ServiceName
    prompt_tokens: int
    expected_tokens: int
    prefix_hashes: tuple[str, ...] = ()
    excluded_endpoints: frozenset[_model.EndpointId] = frozenset()
    preferred_endpoints: frozenset[_model.EndpointId] = frozenset()
    model_version: str = ""
    adapter: str = ""
