"""The cheaper of the paths with and without warm prefix caches."""

import collections.abc
import dataclasses
import datetime
import itertools
import random

from sedgepin import _model as model
from sedgepin._routing import _graph
from sedgepin._routing import _prices
from sedgepin._routing import _scale
from sedgepin._routing import _search
from sedgepin._routing import _settings

_WARM_CANDIDATES = 16


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """The tokens of one request, and which engines hold some already."""

    prompt_tokens: int
    generated_tokens: float
    excluded_endpoints: frozenset[model.EndpointId]
    warm_tokens: dict[model.EndpointId, int]

    def prefill_tokens(
        self, legs: collections.abc.Sequence[_search.Leg]
    ) -> list[int]:
        """Return the prompt tokens that each stage still has to run.

        A stage can skip only those tokens that all later stages hold too,
        because a later stage needs their activations otherwise.
        """
        held = self.prompt_tokens
        remaining = []
        for leg in reversed(legs):
            warm = self.warm_tokens.get(leg.holder.endpoint_id, 0)
            held = min(held, warm)
            remaining.append(self.prompt_tokens - held)
        remaining.reverse()
        return remaining


class PathChooser:
    """Draws candidates, prices them and searches the cheapest path."""

    __slots__ = ("_place", "_pricing", "_rng", "_settings")

    def __init__(
        self, settings: _settings.RoutingSettings, rng: random.Random
    ) -> None:
        self._settings = settings
        self._place = settings.data_centre
        self._pricing = _prices.Pricing(settings, rng)
        self._rng = rng

    def choose(
        self,
        graph: _graph.LayerGraph,
        demand: Demand,
        scale: _scale.LoadScale,
        now: datetime.datetime,
    ) -> list[_search.Leg] | None:
        """Return the path to take, or None if the avoided leave a gap."""
        drawn = graph.draw(self._settings.choices_per_segment, self._rng)
        legs = self._search(graph, drawn, demand, scale, now)
        if legs is None and demand.excluded_endpoints:
            legs = self._search(graph, graph.holders, demand, scale, now)
        return legs

    def _search(
        self,
        graph: _graph.LayerGraph,
        drawn: collections.abc.Iterable[_graph.Holder],
        demand: Demand,
        scale: _scale.LoadScale,
        now: datetime.datetime,
    ) -> list[_search.Leg] | None:
        warm = _warmest(graph, demand)
        excluded_endpoints = demand.excluded_endpoints
        candidates = dict.fromkeys([*drawn, *warm]) if warm else drawn
        nodes = [
            self._pricing.node(holder, scale, now)
            for holder in candidates
            if holder.endpoint_id not in excluded_endpoints
        ]
        tokens = demand.prompt_tokens + demand.generated_tokens
        for node in nodes:
            node.layer_cost = node.price * tokens
        passes = demand.generated_tokens
        cold = _search.cheapest_path(graph, nodes, self._place, passes)
        if cold is None or not warm:
            return cold
        for node in nodes:
            held = demand.warm_tokens.get(node.holder.endpoint_id, 0)
            node.layer_cost = node.price * (tokens - held)
        hopeful = _search.cheapest_path(graph, nodes, self._place, passes)
        if hopeful is None or hopeful == cold:
            return cold
        by_holder = {node.holder: node for node in nodes}
        if _cost(graph, hopeful, by_holder, demand) < _cost(
            graph, cold, by_holder, demand
        ):
            return hopeful
        return cold


def _warmest(graph: _graph.LayerGraph, demand: Demand) -> list[_graph.Holder]:
    """Return the engines that hold most of the prompt."""
    warm = demand.warm_tokens
    if not warm:
        return []
    ordered = sorted(warm, key=lambda one: (-warm[one], one))
    holders = (graph.by_endpoint.get(one) for one in ordered)
    known = (holder for holder in holders if holder is not None)
    return list(itertools.islice(known, _WARM_CANDIDATES))


def _cost(
    graph: _graph.LayerGraph,
    legs: list[_search.Leg],
    nodes: dict[_graph.Holder, _search.Node],
    demand: Demand,
) -> float:
    """Return what a path costs with the tokens it really has to run."""
    total = 0.0
    previous = legs[-1].holder
    prefill = demand.prefill_tokens(legs)
    for leg, tokens in zip(legs, prefill, strict=True):
        node = nodes[leg.holder]
        layers = leg.end - leg.first
        total += node.price * layers * (tokens + demand.generated_tokens)
        total += demand.generated_tokens * graph.link(previous, leg.holder)
        previous = leg.holder
    return total
