"""The token rate that a set of engines can carry at most."""

import collections
import collections.abc
import dataclasses

from sedgepin import _model as model

_RELATIVE_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True, frozen=True)
class HeldRange:
    """The layers an engine holds, and its layer-tokens a second."""

    layers: model.LayerRange
    layer_tokens_per_second: float


@dataclasses.dataclass(slots=True, frozen=True)
class _Segment:
    """Layers that the same engines hold."""

    layer_count: int
    engines: tuple[int, ...]


def flow_bound(
    held: collections.abc.Sequence[HeldRange], layer_count: int
) -> float:
    """Return the greatest rate of tokens through all layers.

    Each layer needs the rate; each engine divides its own over the layers
    that it holds.  A rate is feasible if the maximum flow meets every
    segment's need.  Where it does not, the minimum cut names the segments
    that are short, whose engines' sum over their layers is the next rate to
    try: Newton's method on a parametric cut, which ends after few rounds.
    Links, latency and batch sizes are left out, so no policy passes it.
    """
    segments = _segments(held, layer_count)
    total = sum(one.layer_tokens_per_second for one in held)
    rate = total / layer_count
    while True:
        short = _short_segments(held, segments, rate)
        if not short:
            return rate
        engines = {engine for one in short for engine in one.engines}
        capacity = sum(held[one].layer_tokens_per_second for one in engines)
        lower = capacity / sum(one.layer_count for one in short)
        if lower >= rate * (1.0 - _RELATIVE_ROUNDING):
            return rate
        rate = lower


def _segments(
    held: collections.abc.Sequence[HeldRange], layer_count: int
) -> list[_Segment]:
    by_engines: collections.Counter[tuple[int, ...]] = collections.Counter()
    for layer in range(layer_count):
        one_layer = model.LayerRange(layer, layer + 1)
        engines = tuple(
            index
            for index, one in enumerate(held)
            if one.layers.contains(one_layer)
        )
        by_engines[engines] += 1
    return [_Segment(count, engines) for engines, count in by_engines.items()]


def _short_segments(
    held: collections.abc.Sequence[HeldRange],
    segments: list[_Segment],
    rate: float,
) -> list[_Segment]:
    """Return the segments on the source's side of a minimum cut."""
    flows = _Flows(held, segments, rate)
    while flows.augment():
        pass
    return flows.reached_segments()


class _Flows:
    """Layer-tokens a second from segments to engines, as a flow network."""

    def __init__(
        self,
        held: collections.abc.Sequence[HeldRange],
        segments: list[_Segment],
        rate: float,
    ) -> None:
        self._segments = segments
        self._need = [rate * one.layer_count for one in segments]
        self._spare = [one.layer_tokens_per_second for one in held]
        self._flow: list[dict[int, float]] = [{} for _ in held]
        self._tolerance = rate * _RELATIVE_ROUNDING
        self._reached: dict[int, int | None] = {}

    def augment(self) -> bool:
        """Push flow along one shortest path, if there is one left."""
        origin: dict[int, int | None] = {
            index: None
            for index, need in enumerate(self._need)
            if need > self._tolerance
        }
        came_from: dict[int, int] = {}
        queue = collections.deque(origin)
        while queue:
            segment = queue.popleft()
            for engine in self._segments[segment].engines:
                if engine in came_from:
                    continue
                came_from[engine] = segment
                if self._spare[engine] > self._tolerance:
                    self._push(engine, came_from, origin)
                    return True
                for other, flow in self._flow[engine].items():
                    if other not in origin and flow > self._tolerance:
                        origin[other] = engine
                        queue.append(other)
        self._reached = origin
        return False

    def reached_segments(self) -> list[_Segment]:
        """Return the segments that the last failed search reached."""
        return [self._segments[index] for index in self._reached]

    def _push(
        self,
        last: int,
        came_from: dict[int, int],
        origin: dict[int, int | None],
    ) -> None:
        amount = self._spare[last]
        path = []
        engine: int | None = last
        while engine is not None:
            segment = came_from[engine]
            path.append((segment, engine))
            engine = origin[segment]
            if engine is None:
                amount = min(amount, self._need[segment])
            else:
                amount = min(amount, self._flow[engine][segment])
        self._spare[last] -= amount
        for segment, engine in path:
            flow = self._flow[engine]
            flow[segment] = flow.get(segment, 0.0) + amount
            upstream = origin[segment]
            if upstream is None:
                self._need[segment] -= amount
            else:
                self._flow[upstream][segment] -= amount
