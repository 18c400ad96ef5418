"""How many tokens a second a set of engines can carry at most."""

import collections.abc

from sedgepin import _model as model
from sedgepin._routing import _graph

_BISECTIONS = 40


def capacity_tokens_per_second(
    holders: collections.abc.Sequence[_graph.Holder], layer_count: int
) -> float:
    """Return the greatest token rate at which every layer is covered.

    Each engine may divide its rate over its layers as it likes.  A rate is
    feasible if a scan from the first layer, which always uses up the engine
    whose range ends soonest, covers each layer: the greedy rule for convex
    bipartite graphs (Glover, 1967).  The greatest rate is found by halving.
    """
    if _graph.missing_layers(holders, layer_count):
        return 0.0
    total = sum(1.0 / holder.seconds_per_layer_token() for holder in holders)
    low, high = 0.0, total / layer_count
    if _feasible(holders, layer_count, high):
        return high
    for _ in range(_BISECTIONS):
        middle = (low + high) / 2
        if _feasible(holders, layer_count, middle):
            low = middle
        else:
            high = middle
    return low


def _feasible(
    holders: collections.abc.Sequence[_graph.Holder],
    layer_count: int,
    tokens_per_second: float,
) -> bool:
    """Tell whether each layer can run this many tokens a second."""
    waiting = sorted(
        holders, key=lambda holder: holder.layers.first, reverse=True
    )
    points = {0, layer_count}
    for holder in holders:
        points.add(min(holder.layers.first, layer_count))
        points.add(min(holder.layers.end, layer_count))
    boundaries = sorted(points)
    spare: list[tuple[model.LayerRange, float]] = []
    for first, end in zip(boundaries, boundaries[1:], strict=False):
        while waiting and waiting[-1].layers.first <= first:
            holder = waiting.pop()
            rate = 1.0 / holder.seconds_per_layer_token()
            spare.append((holder.layers, rate))
        demand = tokens_per_second * (end - first)
        kept: list[tuple[model.LayerRange, float]] = []
        for layers, rate in sorted(spare, key=lambda item: item[0].end):
            if layers.end <= first:
                continue
            used = min(rate, demand)
            demand -= used
            if rate > used:
                kept.append((layers, rate - used))
        if demand > tokens_per_second * 1e-9:
            return False
        spare = kept
    return True
