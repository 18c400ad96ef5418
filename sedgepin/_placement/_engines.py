"""What the placement of layers needs to know of an engine."""

import dataclasses

from sedgepin import _catalog as catalog
from sedgepin import _model as model

_BYTES_PER_MEGABYTE = 1_000_000.0


@dataclasses.dataclass(slots=True, frozen=True)
class Engine:
    """An engine that can hold layers, and those that it is to hold."""

    endpoint_id: model.EndpointId
    data_centre: model.DataCentreId
    accelerator: catalog.AcceleratorProfile
    layers: model.LayerRange | None = None


def max_layer_count(
    profile: catalog.EngineProfile,
    accelerator: catalog.AcceleratorProfile,
    cache_tokens: float,
) -> int:
    """Return how many layers fit beside a cache of so many tokens."""
    cache = cache_bytes_per_layer(profile) * cache_tokens
    layer = profile.layer_megabytes * _BYTES_PER_MEGABYTE
    memory = accelerator.memory_megabytes * _BYTES_PER_MEGABYTE
    return min(profile.layer_count, int(memory / (layer + cache)))


def cache_capacity_tokens(
    profile: catalog.EngineProfile,
    accelerator: catalog.AcceleratorProfile,
    layer_count: int,
) -> float:
    """Return how many tokens of all held layers the cache can hold."""
    free = accelerator.memory_megabytes - layer_count * profile.layer_megabytes
    per_token = cache_bytes_per_layer(profile) * layer_count
    return max(0.0, free * _BYTES_PER_MEGABYTE / per_token)


def cache_bytes_per_layer(profile: catalog.EngineProfile) -> float:
    """Return what one token takes in the cache of one layer."""
    return profile.cache_bytes_per_token / profile.layer_count
