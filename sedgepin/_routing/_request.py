"""The properties of a request that routing depends on."""

import dataclasses

from sedgepin import _model


@dataclasses.dataclass(slots=True, frozen=True)
class RoutingRequest:
    """One attempt at a request, with the inputs of its cost estimate.

    ``expected_tokens`` is the expected number of generated tokens.
    ``prefix_hashes`` lists one hash for each block of the prompt, in order.
    A hash covers its block and all blocks before it, so an engine that
    caches one also caches the earlier ones.
    ``excluded_endpoints`` are never chosen, and ``not_first`` not as the
    first of a pipeline.  ``preferred_endpoints`` served an earlier attempt
    and still hold its KV cache.
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
    not_first: frozenset[_model.EndpointId] = frozenset()
