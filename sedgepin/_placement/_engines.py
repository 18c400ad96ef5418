"""Memory of engines: how many layers and cached tokens fit."""

import dataclasses

from sedgepin import _catalog as catalog
from sedgepin import _model as model

_BYTES_PER_MEGABYTE = 1_000_000.0


@dataclasses.dataclass(slots=True, frozen=True)
class Engine:
    """An engine that can hold layers.

    ``layers`` are those that it holds or has been ordered to hold.
    """

    endpoint_id: model.EndpointId
    data_centre: model.DataCentreId
    accelerator: catalog.AcceleratorProfile
    layers: model.LayerRange | None = None


def max_layer_count(
    profile: catalog.EngineProfile,
    accelerator: catalog.AcceleratorProfile,
    cache_tokens: float,
) -> int:
    """Return how many layers fit in memory, each with its share of the cache.

    ``cache_tokens`` is the number of tokens that the cache must hold for
    every layer.
    """
    cache_bytes = cache_bytes_per_layer(profile) * cache_tokens
    layer_bytes = profile.layer_megabytes * _BYTES_PER_MEGABYTE
    memory_bytes = accelerator.memory_megabytes * _BYTES_PER_MEGABYTE
    return min(
        profile.layer_count, int(memory_bytes / (layer_bytes + cache_bytes))
    )


def cache_capacity_tokens(
    profile: catalog.EngineProfile,
    accelerator: catalog.AcceleratorProfile,
    layer_count: int,
) -> float:
    """Return how many tokens fit in the cache beside the layers themselves.

    A token takes space in the cache of each of the ``layer_count`` layers.
    """
    free_megabytes = (
        accelerator.memory_megabytes - layer_count * profile.layer_megabytes
    )
    bytes_per_token = cache_bytes_per_layer(profile) * layer_count
    return max(0.0, free_megabytes * _BYTES_PER_MEGABYTE / bytes_per_token)


def cache_bytes_per_layer(profile: catalog.EngineProfile) -> float:
    """Return the cache space that one token takes in one layer, in bytes."""
    return profile.cache_bytes_per_token / profile.layer_count
