"""Chooses the cheaper of the paths with and without prefix cache hits."""

import collections.abc
import dataclasses
import datetime
import itertools
import random

from sedgepin import _model as model
from sedgepin._routing import _cost_model
from sedgepin._routing import _graph
from sedgepin._routing import _load_statistics
from sedgepin._routing import _search
from sedgepin._routing import _settings

_MAX_CACHE_CANDIDATES = 16


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """The tokens of one request and the cached tokens on each engine."""

    prompt_tokens: int
    generated_tokens: float
    excluded_endpoints: frozenset[model.EndpointId]
    not_first: frozenset[model.EndpointId]
    cached_tokens: dict[model.EndpointId, int]

    def prefill_tokens(
        self, path: collections.abc.Sequence[_search.PathStage]
    ) -> list[int]:
        """Return the prompt tokens that each stage has to run.

        A stage skips a cached token only if all later stages have it cached
        too, because a later stage without it needs its activations.
        """
        skippable = self.prompt_tokens
        remaining = []
        for stage in reversed(path):
            cached = self.cached_tokens.get(stage.engine.endpoint_id, 0)
            skippable = min(skippable, cached)
            remaining.append(self.prompt_tokens - skippable)
        remaining.reverse()
        return remaining


class PathChooser:
    """Samples candidate engines and finds the cheapest path over them."""

    __slots__ = ("_cost_model", "_data_centre", "_rng", "_settings")

    def __init__(
        self, settings: _settings.RoutingSettings, rng: random.Random
    ) -> None:
        self._settings = settings
        self._data_centre = settings.data_centre
        self._cost_model = _cost_model.CostModel(settings, rng)
        self._rng = rng

    def choose(
        self,
        graph: _graph.LayerGraph,
        demand: Demand,
        load_statistics: _load_statistics.LoadStatistics,
        now: datetime.datetime,
    ) -> list[_search.PathStage] | None:
        """Return the cheapest path found, or None if layers are missing.

        If the sampled engines leave a gap once the excluded ones are
        removed, or none of them may be the first, all engines of the graph
        are searched.
        """
        sampled = graph.sample(self._settings.choices_per_segment, self._rng)
        path = self._search(graph, sampled, demand, load_statistics, now)
        if path is None and (demand.excluded_endpoints or demand.not_first):
            path = self._search(
                graph, graph.engines, demand, load_statistics, now
            )
        return path

    def _search(
        self,
        graph: _graph.LayerGraph,
        sampled: collections.abc.Iterable[_graph.Engine],
        demand: Demand,
        load_statistics: _load_statistics.LoadStatistics,
        now: datetime.datetime,
    ) -> list[_search.PathStage] | None:
        engines_with_prefix = _engines_with_longest_prefix(graph, demand)
        excluded_endpoints = demand.excluded_endpoints
        candidates = (
            dict.fromkeys([*sampled, *engines_with_prefix])
            if engines_with_prefix
            else sampled
        )
        nodes = [
            self._cost_model.search_node(engine, load_statistics, now)
            for engine in candidates
            if engine.endpoint_id not in excluded_endpoints
        ]
        tokens = demand.prompt_tokens + demand.generated_tokens
        for node in nodes:
            node.layer_cost = node.layer_token_cost * tokens
        passes = demand.generated_tokens
        uncached_path = _search.cheapest_path(
            graph, nodes, self._data_centre, passes, demand.not_first
        )
        if uncached_path is None or not engines_with_prefix:
            return uncached_path
        for node in nodes:
            cached = demand.cached_tokens.get(node.engine.endpoint_id, 0)
            node.layer_cost = node.layer_token_cost * (tokens - cached)
        cached_path = _search.cheapest_path(
            graph, nodes, self._data_centre, passes, demand.not_first
        )
        if cached_path is None or cached_path == uncached_path:
            return uncached_path
        nodes_by_engine = {node.engine: node for node in nodes}
        if _cost(graph, cached_path, nodes_by_engine, demand) < _cost(
            graph, uncached_path, nodes_by_engine, demand
        ):
            return cached_path
        return uncached_path


def _engines_with_longest_prefix(
    graph: _graph.LayerGraph, demand: Demand
) -> list[_graph.Engine]:
    """Return the engines that have most tokens of the prompt cached."""
    cached = demand.cached_tokens
    if not cached:
        return []
    ordered = sorted(
        cached, key=lambda endpoint_id: (-cached[endpoint_id], endpoint_id)
    )
    engines = (graph.by_endpoint.get(endpoint_id) for endpoint_id in ordered)
    in_graph = (engine for engine in engines if engine is not None)
    return list(itertools.islice(in_graph, _MAX_CACHE_CANDIDATES))


def _cost(
    graph: _graph.LayerGraph,
    path: list[_search.PathStage],
    nodes: dict[_graph.Engine, _search.SearchNode],
    demand: Demand,
) -> float:
    """Return the cost of a path, given the tokens each stage has to run."""
    total = 0.0
    previous = path[-1].engine
    prefill = demand.prefill_tokens(path)
    for stage, tokens in zip(path, prefill, strict=True):
        node = nodes[stage.engine]
        layers = stage.end - stage.first
        total += (
            node.layer_token_cost * layers * (tokens + demand.generated_tokens)
        )
        total += demand.generated_tokens * graph.one_way_seconds(
            previous, stage.engine
        )
        previous = stage.engine
    return total
