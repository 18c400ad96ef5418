"""The engines that can serve one model, ordered by the layers they hold."""

import bisect
import collections.abc
import random

from sedgepin import _model as model
from sedgepin._routing import _links
from sedgepin._routing import _load


class Holder:
    """One engine as a node of the graph.

    ``first_index`` and ``end_index`` point into the graph's boundaries.
    """

    __slots__ = (
        "address",
        "announcement",
        "data_centre",
        "end_index",
        "endpoint_id",
        "first_index",
        "layers",
        "load",
        "seconds_per_announced_layer_token",
    )

    def __init__(
        self,
        announcement: model.Announcement,
        layers: model.LayerRange,
        load: _load.EndpointLoad,
        layer_tokens_per_second: float,
    ) -> None:
        self.announcement = announcement
        self.endpoint_id = announcement.endpoint_id
        self.address = announcement.address
        self.layers = layers
        self.data_centre = announcement.data_centre
        self.seconds_per_announced_layer_token = 1.0 / layer_tokens_per_second
        self.load = load
        self.first_index = 0
        self.end_index = 0

    def seconds_per_layer_token(self) -> float:
        """Return the compute time at the speed that was learned."""
        return self.seconds_per_announced_layer_token / self.load.speed

    def same_as(self, announcement: model.Announcement) -> bool:
        """Tell whether an announcement changes nothing but its load."""
        known = self.announcement
        return (
            known.incarnation == announcement.incarnation
            and known.layers == announcement.layers
            and known.address == announcement.address
            and known.accelerator == announcement.accelerator
            and known.data_centre == announcement.data_centre
            and known.model == announcement.model
            and known.model_version == announcement.model_version
            and known.adapters == announcement.adapters
            and known.leaving == announcement.leaving
        )


class _Group:
    """Engines with equal layers in one data centre, drawn by their rate."""

    __slots__ = ("_cumulative", "holders")

    def __init__(self, holders: list[Holder]) -> None:
        self.holders = holders
        self._cumulative: list[float] = []
        total = 0.0
        for holder in holders:
            total += 1.0 / holder.seconds_per_announced_layer_token
            self._cumulative.append(total)

    def draw(self, count: int, rng: random.Random) -> list[Holder]:
        """Return up to ``count`` engines, fast ones more often."""
        if len(self.holders) <= count:
            return self.holders
        total = self._cumulative[-1]
        drawn: list[Holder] = []
        for _ in range(count):
            at = bisect.bisect_right(self._cumulative, rng.random() * total)
            holder = self.holders[min(at, len(self.holders) - 1)]
            if holder not in drawn:
                drawn.append(holder)
        return drawn


class LayerGraph:
    """The eligible engines of one model, ready to be searched.

    It stays valid until an engine comes, goes or changes its layers; load
    is read afresh by each search.
    """

    __slots__ = (
        "boundaries",
        "by_endpoint",
        "groups",
        "holders",
        "layer_count",
        "link_seconds",
        "missing",
        "pair_seconds",
    )

    def __init__(
        self,
        holders: list[Holder],
        layer_count: int,
        links: _links.LinkTable,
        entry_data_centre: model.DataCentreId,
    ) -> None:
        self.holders = holders
        self.by_endpoint = {holder.endpoint_id: holder for holder in holders}
        self.layer_count = layer_count
        self.boundaries = _boundaries(holders, layer_count)
        self.missing = missing_layers(holders, layer_count)
        for holder in holders:
            first, end = holder.layers.first, holder.layers.end
            holder.first_index = bisect.bisect_left(self.boundaries, first)
            holder.end_index = bisect.bisect_left(
                self.boundaries, min(end, layer_count)
            )
        self.groups = _grouped(holders)
        places = {holder.data_centre for holder in holders}
        places.add(entry_data_centre)
        self.link_seconds = {
            target: {
                source: links.between(source, target)
                for source in sorted(places)
            }
            for target in sorted(places)
        }
        self.pair_seconds = links.notable_pairs(
            {holder.endpoint_id: holder.data_centre for holder in holders}
        )

    def draw(self, count: int, rng: random.Random) -> list[Holder]:
        """Return some engines of each group, in order of first layer."""
        drawn: list[Holder] = []
        for group in self.groups:
            drawn.extend(group.draw(count, rng))
        return drawn

    def link(self, source: Holder, target: Holder) -> float:
        """Return the one-way seconds between two engines."""
        if self.pair_seconds:
            pair = (source.endpoint_id, target.endpoint_id)
            measured = self.pair_seconds.get(pair)
            if measured is not None:
                return measured
        return self.link_seconds[target.data_centre][source.data_centre]


def missing_layers(
    holders: collections.abc.Iterable[Holder], layer_count: int
) -> tuple[model.LayerRange, ...]:
    """Return the ranges of the model that no engine holds."""
    missing = []
    covered = 0
    for layers in sorted(holder.layers for holder in holders):
        if covered >= layer_count:
            break
        if layers.first > covered:
            end = min(layers.first, layer_count)
            missing.append(model.LayerRange(covered, end))
        covered = max(covered, layers.end)
    if covered < layer_count:
        missing.append(model.LayerRange(covered, layer_count))
    return tuple(missing)


def _boundaries(holders: list[Holder], layer_count: int) -> list[int]:
    points = {0, layer_count}
    for holder in holders:
        points.add(holder.layers.first)
        points.add(holder.layers.end)
    return sorted(point for point in points if point <= layer_count)


def _grouped(holders: list[Holder]) -> list[_Group]:
    grouped: dict[
        tuple[model.LayerRange, model.DataCentreId], list[Holder]
    ] = {}
    for holder in holders:
        key = (holder.layers, holder.data_centre)
        grouped.setdefault(key, []).append(holder)
    return [_Group(grouped[key]) for key in sorted(grouped)]
