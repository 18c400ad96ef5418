"""The engines that can serve one model, as a graph over its layers."""

import bisect
import collections.abc
import itertools
import random

from sedgepin import _model as model
from sedgepin._routing import _links
from sedgepin._routing import _load


class Engine:
    """An engine with the layers it holds, its load and its speed.

    ``first_index`` and ``end_index`` are the positions of its first and end
    layer in ``LayerGraph.boundaries``.
    """

    __slots__ = (
        "address",
        "announced_seconds_per_layer_token",
        "announcement",
        "data_centre",
        "end_index",
        "endpoint_id",
        "first_index",
        "layers",
        "load",
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
        self.announced_seconds_per_layer_token = 1.0 / layer_tokens_per_second
        self.load = load
        self.first_index = 0
        self.end_index = 0

    def seconds_per_layer_token(self) -> float:
        """Return the compute time of one token through one layer.

        It follows from the announced speed and the learned speed factor.
        """
        return self.announced_seconds_per_layer_token / self.load.speed_factor

    def matches_except_load(self, announcement: model.Announcement) -> bool:
        """Return whether an announcement leaves all but the load unchanged."""
        current = self.announcement
        return (
            current.incarnation == announcement.incarnation
            and current.layers == announcement.layers
            and current.address == announcement.address
            and current.accelerator == announcement.accelerator
            and current.data_centre == announcement.data_centre
            and current.model == announcement.model
            and current.model_version == announcement.model_version
            and current.adapters == announcement.adapters
            and current.leaving == announcement.leaving
        )


class _Segment:
    """A run of layers that the same engines hold.

    Engines are sampled with probability proportional to announced speed.
    """

    __slots__ = ("_cumulative", "engines")

    def __init__(self, engines: list[Engine]) -> None:
        self.engines = engines
        rates = (
            1.0 / engine.announced_seconds_per_layer_token
            for engine in engines
        )
        self._cumulative = list(itertools.accumulate(rates))

    def sample(self, count: int, rng: random.Random) -> list[Engine]:
        """Return ``count`` engines, sampled with replacement.

        If there are no more than ``count``, return all of them.
        """
        engines = self.engines
        if len(engines) <= count:
            return engines
        cumulative = self._cumulative
        total = cumulative[-1]
        last = len(engines) - 1
        sampled = []
        for _ in range(count):
            index = bisect.bisect_right(cumulative, rng.random() * total)
            sampled.append(engines[min(index, last)])
        return sampled


class LayerGraph:
    """The eligible engines of one model and the link times between them.

    ``boundaries`` are the layers at which the range of some engine begins
    or ends, in order; consecutive boundaries enclose a segment.
    ``link_seconds`` maps target and source data centre to the one-way time.
    ``pair_seconds`` maps a pair of source and target engine to its measured
    time, if that differs widely from the time between their data centres.
    ``measured_targets`` are the targets of these pairs.  ``missing`` lists
    the layers that no engine holds.

    A graph must be rebuilt when an engine joins, leaves or changes its
    layers, or a link time changes; load is read from the engines by each
    search.
    """

    __slots__ = (
        "boundaries",
        "by_endpoint",
        "engines",
        "layer_count",
        "link_seconds",
        "measured_targets",
        "missing",
        "pair_seconds",
        "segments",
    )

    def __init__(
        self,
        engines: list[Engine],
        layer_count: int,
        links: _links.LinkTable,
        entry_data_centre: model.DataCentreId,
    ) -> None:
        self.engines = engines
        self.by_endpoint = {engine.endpoint_id: engine for engine in engines}
        self.layer_count = layer_count
        self.boundaries = _boundaries(engines, layer_count)
        self.missing = missing_layers(engines, layer_count)
        for engine in engines:
            first, end = engine.layers.first, engine.layers.end
            engine.first_index = bisect.bisect_left(self.boundaries, first)
            engine.end_index = bisect.bisect_left(
                self.boundaries, min(end, layer_count)
            )
        self.segments = _segments(engines, len(self.boundaries) - 1)
        data_centres = {engine.data_centre for engine in engines}
        data_centres.add(entry_data_centre)
        self.link_seconds = {
            target: {
                source: links.data_centre_seconds(source, target)
                for source in sorted(data_centres)
            }
            for target in sorted(data_centres)
        }
        self.pair_seconds = links.outlier_pairs(
            {engine.endpoint_id: engine.data_centre for engine in engines}
        )
        self.measured_targets = {target for _, target in self.pair_seconds}

    def sample(self, count: int, rng: random.Random) -> list[Engine]:
        """Return a random subset of engines that together hold all layers.

        ``count`` engines are sampled from each segment.
        """
        sampled: dict[Engine, None] = {}
        for segment in self.segments:
            sampled.update(dict.fromkeys(segment.sample(count, rng)))
        return list(sampled)

    def one_way_seconds(self, source: Engine, target: Engine) -> float:
        """Return the one-way time between two engines, in seconds."""
        if self.pair_seconds:
            pair = (source.endpoint_id, target.endpoint_id)
            measured = self.pair_seconds.get(pair)
            if measured is not None:
                return measured
        return self.link_seconds[target.data_centre][source.data_centre]


def missing_layers(
    engines: collections.abc.Iterable[Engine], layer_count: int
) -> tuple[model.LayerRange, ...]:
    """Return the ranges of the model's layers that no engine holds."""
    missing = []
    covered = 0
    for layers in sorted(engine.layers for engine in engines):
        if covered >= layer_count:
            break
        if layers.first > covered:
            end = min(layers.first, layer_count)
            missing.append(model.LayerRange(covered, end))
        covered = max(covered, layers.end)
    if covered < layer_count:
        missing.append(model.LayerRange(covered, layer_count))
    return tuple(missing)


def _boundaries(engines: list[Engine], layer_count: int) -> list[int]:
    points = {0, layer_count}
    for engine in engines:
        points.add(engine.layers.first)
        points.add(engine.layers.end)
    return sorted(point for point in points if point <= layer_count)


def _segments(engines: list[Engine], count: int) -> list[_Segment]:
    engines_by_segment: list[list[Engine]] = [[] for _ in range(count)]
    for engine in engines:
        for index in range(engine.first_index, engine.end_index):
            engines_by_segment[index].append(engine)
    return [_Segment(engines) for engines in engines_by_segment]
