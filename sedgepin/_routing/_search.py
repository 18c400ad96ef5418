"""The cheapest way through a model's layers, by dynamic programming."""

import collections.abc
import dataclasses
import itertools
import math

from sedgepin import _model as model
from sedgepin._routing import _graph


class Node:
    """An engine with the prices that hold for one search.

    ``price`` is the cost in seconds of one token through one layer and
    ``layer_cost`` that of the whole request through one layer.
    """

    __slots__ = ("holder", "label", "layer_cost", "price")

    def __init__(self, holder: _graph.Holder, price: float) -> None:
        self.holder = holder
        self.price = price
        self.layer_cost = 0.0
        self.label: _Label | None = None


class _Label:
    """The cheapest known way to have a node run up to a boundary."""

    __slots__ = ("cost", "first", "node", "parent")

    def __init__(
        self, cost: float, first: int, node: Node, parent: "_Label | None"
    ) -> None:
        self.cost = cost
        self.first = first
        self.node = node
        self.parent = parent


@dataclasses.dataclass(slots=True, frozen=True)
class Leg:
    """One stage of a path: an engine and the layers it runs."""

    holder: _graph.Holder
    first: int
    end: int


def cheapest_path(
    graph: _graph.LayerGraph,
    nodes: collections.abc.Sequence[Node],
    entry_data_centre: model.DataCentreId,
    passes: float,
) -> list[Leg] | None:
    """Return the path of least cost, or None if the nodes leave a gap.

    ``passes`` is how often the request crosses each link, which turns a
    link's one-way time into cost.  An engine's cost is proportional to the
    layers it runs, so a cheapest path changes engines only where some
    engine's layers begin or end: the graph's boundaries.  The time is
    proportional to boundaries times nodes per boundary.
    """
    starting: dict[int, list[Node]] = {}
    points = set()
    for node in nodes:
        node.label = None
        holder = node.holder
        starting.setdefault(holder.first_index, []).append(node)
        points.add(holder.first_index)
        points.add(holder.end_index)
    indices = sorted(points)
    if not indices or indices[0] != 0:
        return None
    active = starting[0]
    links = graph.link_seconds
    labels = []
    for node in active:
        cost = links[node.holder.data_centre][entry_data_centre]
        node.label = _Label(cost, 0, node, None)
        labels.append(node.label)
    for index, following in itertools.pairwise(indices):
        first = graph.boundaries[index]
        if index:
            active = [node for node in active if node.holder.end_index > index]
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
    active: list[Node],
    labels: list[_Label],
    first: int,
    passes: float,
) -> list[_Label]:
    """Carry labels over one boundary: stay on an engine or change."""
    best: dict[model.DataCentreId, _Label] = {}
    for label in labels:
        place = label.node.holder.data_centre
        known = best.get(place)
        if known is None or label.cost < known.cost:
            best[place] = label
    if not best:
        return []
    entering = {
        place: _cheapest_entry(links, best, passes)
        for place, links in graph.link_seconds.items()
    }
    advanced = []
    for node in active:
        if node.holder.endpoint_id in graph.measured_targets:
            cost, parent = _cheapest_measured(graph, labels, node, passes)
        else:
            cost, parent = entering[node.holder.data_centre]
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
    for place, label in best.items():
        cost = label.cost + passes * links[place]
        if cost < cheapest:
            cheapest = cost
            parent = label
    return cheapest, parent


def _cheapest_measured(
    graph: _graph.LayerGraph,
    labels: list[_Label],
    node: Node,
    passes: float,
) -> tuple[float, _Label | None]:
    cheapest = math.inf
    parent = None
    for label in labels:
        link = graph.link(label.node.holder, node.holder)
        cost = label.cost + passes * link
        if cost < cheapest:
            cheapest = cost
            parent = label
    return cheapest, parent


def _trace(
    graph: _graph.LayerGraph, labels: list[_Label], passes: float
) -> list[Leg]:
    """Return the path whose last engine also returns cheaply to its first.

    Each generated token goes from the last engine back to the first.
    """
    cheapest = math.inf
    chosen = labels[0]
    for label in labels:
        opening = label
        while opening.parent is not None:
            opening = opening.parent
        back = graph.link(label.node.holder, opening.node.holder)
        cost = label.cost + passes * back
        if cost < cheapest:
            cheapest = cost
            chosen = label
    legs = []
    end = graph.layer_count
    step: _Label | None = chosen
    while step is not None:
        legs.append(Leg(step.node.holder, step.first, end))
        end = step.first
        step = step.parent
    legs.reverse()
    return legs
