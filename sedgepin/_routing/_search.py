"""Finds the cheapest path through a model's layers by dynamic programming."""

import collections.abc
import dataclasses
import itertools
import math

from sedgepin import _model as model
from sedgepin._routing import _graph


class SearchNode:
    """An engine with its costs for one search.

    ``layer_token_cost`` is the cost, in seconds, of one token through one
    layer, and ``layer_cost`` that of the whole request through one layer.
    """

    __slots__ = ("engine", "label", "layer_cost", "layer_token_cost")

    def __init__(self, engine: _graph.Engine, layer_token_cost: float) -> None:
        self.engine = engine
        self.layer_token_cost = layer_token_cost
        self.layer_cost = 0.0
        self.label: _Label | None = None


class _Label:
    """The cheapest partial path that ends on a node at a boundary.

    ``first`` is the first layer that the node runs, ``parent`` the label of
    the node before it.
    """

    __slots__ = ("cost", "first", "node", "parent")

    def __init__(
        self,
        cost: float,
        first: int,
        node: SearchNode,
        parent: "_Label | None",
    ) -> None:
        self.cost = cost
        self.first = first
        self.node = node
        self.parent = parent


@dataclasses.dataclass(slots=True, frozen=True)
class PathStage:
    """An engine and the layers ``first`` up to ``end`` that it runs."""

    engine: _graph.Engine
    first: int
    end: int


def cheapest_path(
    graph: _graph.LayerGraph,
    nodes: collections.abc.Sequence[SearchNode],
    entry_data_centre: model.DataCentreId,
    passes: float,
    not_first: frozenset[model.EndpointId] = frozenset(),
) -> list[PathStage] | None:
    """Return the path of least cost, or None if the nodes leave a gap.

    It begins on no engine of ``not_first``.

    ``passes`` is the number of times that the request crosses each link; a
    link costs its one-way time for each pass.  The cost of an engine is
    proportional to the layers it runs, so a cheapest path changes engines
    only at a boundary of the graph, where the layers of some engine begin
    or end.  The running time is proportional to the number of boundaries
    times the number of nodes at each boundary.
    """
    starting: dict[int, list[SearchNode]] = {}
    points = set()
    for node in nodes:
        node.label = None
        engine = node.engine
        starting.setdefault(engine.first_index, []).append(node)
        points.add(engine.first_index)
        points.add(engine.end_index)
    indices = sorted(points)
    if not indices or indices[0] != 0:
        return None
    active = starting[0]
    links = graph.link_seconds
    labels = []
    for node in active:
        if node.engine.endpoint_id in not_first:
            continue
        cost = links[node.engine.data_centre][entry_data_centre]
        node.label = _Label(cost, 0, node, None)
        labels.append(node.label)
    for index, following in itertools.pairwise(indices):
        first = graph.boundaries[index]
        if index:
            active = [node for node in active if node.engine.end_index > index]
            active += starting.get(index, ())
            labels = _advance(graph, active, labels, first, passes)
        layers = graph.boundaries[following] - first
        for label in labels:
            label.cost += layers * label.node.layer_cost
    if not labels or graph.boundaries[indices[-1]] != graph.layer_count:
        return None
    return _trace(graph, labels, passes)


def _advance(
    graph: _graph.LayerGraph,
    active: list[SearchNode],
    labels: list[_Label],
    first: int,
    passes: float,
) -> list[_Label]:
    """Extend the labels over a boundary.

    For each active node, keep the path that stays on its engine or the
    cheapest one that changes to it, whichever costs less.
    """
    best: dict[model.DataCentreId, _Label] = {}
    for label in labels:
        data_centre = label.node.engine.data_centre
        current = best.get(data_centre)
        if current is None or label.cost < current.cost:
            best[data_centre] = label
    if not best:
        return []
    entering = {
        data_centre: _cheapest_entry(links, best, passes)
        for data_centre, links in graph.link_seconds.items()
    }
    advanced = []
    for node in active:
        if node.engine.endpoint_id in graph.measured_targets:
            cost, parent = _cheapest_measured(graph, labels, node, passes)
        else:
            cost, parent = entering[node.engine.data_centre]
        if node.label is None or node.label.cost > cost:
            node.label = _Label(cost, first, node, parent)
        advanced.append(node.label)
    return advanced


def _cheapest_entry(
    links: dict[model.DataCentreId, float],
    best: dict[model.DataCentreId, _Label],
    passes: float,
) -> tuple[float, _Label | None]:
    cheapest = math.inf
    parent = None
    for data_centre, label in best.items():
        cost = label.cost + passes * links[data_centre]
        if cost < cheapest:
            cheapest = cost
            parent = label
    return cheapest, parent


def _cheapest_measured(
    graph: _graph.LayerGraph,
    labels: list[_Label],
    node: SearchNode,
    passes: float,
) -> tuple[float, _Label | None]:
    cheapest = math.inf
    parent = None
    for label in labels:
        one_way_seconds = graph.one_way_seconds(label.node.engine, node.engine)
        cost = label.cost + passes * one_way_seconds
        if cost < cheapest:
            cheapest = cost
            parent = label
    return cheapest, parent


def _trace(
    graph: _graph.LayerGraph, labels: list[_Label], passes: float
) -> list[PathStage]:
    """Return the cheapest path, including the link back to its start.

    Each generated token is sent from the last engine to the first.
    """
    cheapest = math.inf
    chosen = labels[0]
    for label in labels:
        first_label = label
        while first_label.parent is not None:
            first_label = first_label.parent
        return_seconds = graph.one_way_seconds(
            label.node.engine, first_label.node.engine
        )
        cost = label.cost + passes * return_seconds
        if cost < cheapest:
            cheapest = cost
            chosen = label
    path = []
    end = graph.layer_count
    current: _Label | None = chosen
    while current is not None:
        path.append(PathStage(current.node.engine, current.first, end))
        end = current.first
        current = current.parent
    path.reverse()
    return path
