"""An upper bound on the token rate of a set of engines."""

import collections
import collections.abc
import dataclasses

from sedgepin import _model as model

_RELATIVE_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True, frozen=True)
class HeldRange:
    """The layers that an engine holds, and its speed."""

    layers: model.LayerRange
    layer_tokens_per_second: float


@dataclasses.dataclass(slots=True, frozen=True)
class _LayerSegment:
    """Layers that are held by the same engines.

    ``engines`` are indices into the sequence of held ranges.
    """

    layer_count: int
    engines: tuple[int, ...]


def flow_bound(
    held_ranges: collections.abc.Sequence[HeldRange], layer_count: int
) -> float:
    """Return the highest rate of tokens through all layers.

    Every layer must run at this rate; each engine divides its speed among
    the layers that it holds.  A rate is feasible if the maximum flow meets
    the demand of every segment.  If not, the minimum cut yields the
    overloaded segments, and the capacity of their engines divided by their
    layer count is the next rate to try: Newton's method on a parametric
    minimum cut, which converges in a few rounds.  Links, latency and batch
    sizes are ignored, so no routing policy can exceed the bound.
    """
    segments = _layer_segments(held_ranges, layer_count)
    total = sum(item.layer_tokens_per_second for item in held_ranges)
    rate = total / layer_count
    while True:
        overloaded = _overloaded_segments(held_ranges, segments, rate)
        if not overloaded:
            return rate
        engines = {
            engine for segment in overloaded for engine in segment.engines
        }
        capacity = sum(
            held_ranges[engine].layer_tokens_per_second for engine in engines
        )
        lower_rate = capacity / sum(
            segment.layer_count for segment in overloaded
        )
        if lower_rate >= rate * (1.0 - _RELATIVE_ROUNDING):
            return rate
        rate = lower_rate


def _layer_segments(
    held_ranges: collections.abc.Sequence[HeldRange], layer_count: int
) -> list[_LayerSegment]:
    by_engines: collections.Counter[tuple[int, ...]] = collections.Counter()
    for layer in range(layer_count):
        single_layer = model.LayerRange(layer, layer + 1)
        engines = tuple(
            index
            for index, held_range in enumerate(held_ranges)
            if held_range.layers.contains(single_layer)
        )
        by_engines[engines] += 1
    return [
        _LayerSegment(count, engines) for engines, count in by_engines.items()
    ]


def _overloaded_segments(
    held_ranges: collections.abc.Sequence[HeldRange],
    segments: list[_LayerSegment],
    rate: float,
) -> list[_LayerSegment]:
    """Return the segments on the source side of a minimum cut."""
    flows = _FlowNetwork(held_ranges, segments, rate)
    while flows.augment():
        pass
    return flows.reached_segments()


class _FlowNetwork:
    """A flow network from layer segments to engines.

    Flows are in layer-tokens a second.
    """

    def __init__(
        self,
        held_ranges: collections.abc.Sequence[HeldRange],
        segments: list[_LayerSegment],
        rate: float,
    ) -> None:
        self._segments = segments
        self._unmet_demand = [
            rate * segment.layer_count for segment in segments
        ]
        self._spare_capacity = [
            item.layer_tokens_per_second for item in held_ranges
        ]
        self._flow: list[dict[int, float]] = [{} for _ in held_ranges]
        self._tolerance = rate * _RELATIVE_ROUNDING
        self._reached: dict[int, int | None] = {}

    def augment(self) -> bool:
        """Push flow along a shortest augmenting path, if one exists."""
        segment_parents: dict[int, int | None] = {
            index: None
            for index, unmet in enumerate(self._unmet_demand)
            if unmet > self._tolerance
        }
        engine_parents: dict[int, int] = {}
        queue = collections.deque(segment_parents)
        while queue:
            segment = queue.popleft()
            for engine in self._segments[segment].engines:
                if engine in engine_parents:
                    continue
                engine_parents[engine] = segment
                if self._spare_capacity[engine] > self._tolerance:
                    self._push(engine, engine_parents, segment_parents)
                    return True
                for other_segment, flow in self._flow[engine].items():
                    if (
                        other_segment not in segment_parents
                        and flow > self._tolerance
                    ):
                        segment_parents[other_segment] = engine
                        queue.append(other_segment)
        self._reached = segment_parents
        return False

    def reached_segments(self) -> list[_LayerSegment]:
        """Return the segments that the last unsuccessful search reached."""
        return [self._segments[index] for index in self._reached]

    def _push(
        self,
        last_engine: int,
        engine_parents: dict[int, int],
        segment_parents: dict[int, int | None],
    ) -> None:
        amount = self._spare_capacity[last_engine]
        path = []
        engine: int | None = last_engine
        while engine is not None:
            segment = engine_parents[engine]
            path.append((segment, engine))
            engine = segment_parents[segment]
            if engine is None:
                amount = min(amount, self._unmet_demand[segment])
            else:
                amount = min(amount, self._flow[engine][segment])
        self._spare_capacity[last_engine] -= amount
        for segment, engine in path:
            flow = self._flow[engine]
            flow[segment] = flow.get(segment, 0.0) + amount
            parent = segment_parents[segment]
            if parent is None:
                self._unmet_demand[segment] -= amount
            else:
                self._flow[parent][segment] -= amount
