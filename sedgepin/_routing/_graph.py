"""The engines that can serve one model, ordered by the layers they hold."""

import bisect
import collections.abc
import itertools
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


class _Segment:
    """Layers that the same engines hold; engines are drawn by their rate."""

    __slots__ = ("_cumulative", "holders")

    def __init__(self, holders: list[Holder]) -> None:
        self.holders = holders
        rates = (
            1.0 / one.seconds_per_announced_layer_token for one in holders
        )
        self._cumulative = list(itertools.accumulate(rates))

    def draw(self, count: int, rng: random.Random) -> list[Holder]:
        """Return up to ``count`` engines, fast ones more often."""
        holders = self.holders
        if len(holders) <= count:
            return holders
        cumulative = self._cumulative
        total = cumulative[-1]
        last = len(holders) - 1
        drawn = []
        for _ in range(count):
            at = bisect.bisect_right(cumulative, rng.random() * total)
            drawn.append(holders[min(at, last)])
        return drawn


class LayerGraph:
    """The eligible engines of one model, ready to be searched.

    It stays valid until an engine comes, goes or changes its layers; load
    is read afresh by each search.
    """

    __slots__ = (
        "boundaries",
        "by_endpoint",
        "holders",
        "layer_count",
        "link_seconds",
        "measured_targets",
        "missing",
        "pair_seconds",
        "segments",
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
        self.segments = _segments(holders, len(self.boundaries) - 1)
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
        self.measured_targets = {target for _, target in self.pair_seconds}

    def draw(self, count: int, rng: random.Random) -> list[Holder]:
        """Return engines that hold all layers together.

        Each segment draws ``count`` from those that hold it.
        """
        drawn: dict[Holder, None] = {}
        for segment in self.segments:
            drawn.update(dict.fromkeys(segment.draw(count, rng)))
        return list(drawn)

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


def _segments(holders: list[Holder], count: int) -> list[_Segment]:
    holding: list[list[Holder]] = [[] for _ in range(count)]
    for holder in holders:
        for index in range(holder.first_index, holder.end_index):
            holding[index].append(holder)
    return [_Segment(held) for held in holding]
