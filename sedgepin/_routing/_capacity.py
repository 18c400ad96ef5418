"""The maximum token throughput of a set of engines."""

import collections.abc

from sedgepin import _model as model
from sedgepin._routing import _graph

_BISECTION_STEPS = 40


def capacity_tokens_per_second(
    engines: collections.abc.Sequence[_graph.Engine], layer_count: int
) -> float:
    """Return the maximum tokens per second that every layer can run.

    An engine may divide its layer-token rate over its layers in any way.  A
    rate is feasible if a greedy scan from the first layer covers every
    layer, where each layer first uses the capacity of the engine whose
    range ends first: Glover's rule for convex bipartite graphs (1967).
    The maximum rate is found by bisection.  It is 0 if layers are missing.
    """
    if _graph.missing_layers(engines, layer_count):
        return 0.0
    total = sum(1.0 / engine.seconds_per_layer_token() for engine in engines)
    low, high = 0.0, total / layer_count
    if _feasible(engines, layer_count, high):
        return high
    for _ in range(_BISECTION_STEPS):
        middle = (low + high) / 2
        if _feasible(engines, layer_count, middle):
            low = middle
        else:
            high = middle
    return low


def _feasible(
    engines: collections.abc.Sequence[_graph.Engine],
    layer_count: int,
    tokens_per_second: float,
) -> bool:
    """Return whether the engines can run every layer at this rate."""
    unscanned = sorted(
        engines, key=lambda engine: engine.layers.first, reverse=True
    )
    points = {0, layer_count}
    for engine in engines:
        points.add(min(engine.layers.first, layer_count))
        points.add(min(engine.layers.end, layer_count))
    boundaries = sorted(points)
    spare: list[tuple[model.LayerRange, float]] = []
    for first, end in zip(boundaries, boundaries[1:], strict=False):
        while unscanned and unscanned[-1].layers.first <= first:
            engine = unscanned.pop()
            rate = 1.0 / engine.seconds_per_layer_token()
            spare.append((engine.layers, rate))
        demand = tokens_per_second * (end - first)
        remaining: list[tuple[model.LayerRange, float]] = []
        for layers, rate in sorted(spare, key=lambda item: item[0].end):
            if layers.end <= first:
                continue
            used = min(rate, demand)
            demand -= used
            if rate > used:
                remaining.append((layers, rate - used))
        # Allows for rounding errors in the subtractions.
        if demand > tokens_per_second * 1e-9:
            return False
        spare = remaining
    return True
