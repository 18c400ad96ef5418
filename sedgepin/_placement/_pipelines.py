"""The engines that a request runs on, chosen by shortest path.

Layer boundaries are the nodes of a graph, and an engine that runs the layers
between two of them an edge.  The cheapest path from the first layer to the
last is the pipeline with the least expected time, as far as known load
tells.
"""

import collections.abc
import dataclasses

import result

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin._placement import _engines

# What a hop to another data centre adds to each token's time, in ms: the
# delay of 0.3 ms and the share of a link that other requests use as well.
_CROSSING_MILLISECONDS = 2.0
# What each hop adds within a data centre, in ms.
_HOP_MILLISECONDS = 0.2
# Up to this share of its cache an engine costs no more than an empty one.
_RELAXED_SHARE = 0.5
# What an engine with a full cache adds to each token's time, in ms; as much
# as the slowest pipeline of the first deployments takes by itself.
_FULL_MILLISECONDS = 10.0
# An engine without room preempts its newest request, which then waits for
# seconds.
_OVERFULL_MILLISECONDS = 100.0
# The share of its cache that an engine which refused has given away at least.
_REFUSED_SHARE = 1.05


@dataclasses.dataclass(slots=True, frozen=True)
class RequestSize:
    """How large a request is, as far as it is known before it runs."""

    prompt_tokens: float
    answer_tokens: float

    @property
    def total_tokens(self) -> float:
        """Return the tokens that the request holds at its end."""
        return self.prompt_tokens + self.answer_tokens


@dataclasses.dataclass(slots=True, frozen=True)
class CandidateEngine:
    """An engine that may run part of a request, and its known load.

    ``slowdown`` is how many times longer than usual it takes.  One that
    ``has_refused`` just now is full, whatever is known of its load.
    """

    endpoint_id: model.EndpointId
    address: str
    data_centre: model.DataCentreId
    layers: model.LayerRange
    accelerator: catalog.AcceleratorProfile
    running_requests: float = 0.0
    cached_tokens: float = 0.0
    slowdown: float = 1.0
    has_refused: bool = False

    def with_requests(
        self, requests: float, size: RequestSize
    ) -> "CandidateEngine":
        """Return the engine with more requests of a size on it."""
        return dataclasses.replace(
            self,
            running_requests=self.running_requests + requests,
            cached_tokens=self.cached_tokens + requests * size.total_tokens,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class PipelineCandidate:
    """A pipeline and its expected time in ms, at the present load.

    ``cache_utilization`` is the share of its cache that the fullest engine
    would have allocated with this request; above 1 the request does not fit.
    ``spare_requests`` is how many more requests of this size would fit.
    """

    pipeline: model.Pipeline
    cost: float
    cache_utilization: float
    spare_requests: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Priced:
    """An engine, and what a request costs on each layer and in all, in ms."""

    engine: CandidateEngine
    per_layer: float
    once: float
    cache_utilization: float
    spare_requests: float


@dataclasses.dataclass(slots=True)
class _Reached:
    """The cheapest known way to a layer boundary, ending in one place."""

    cost: float
    cache_utilization: float
    stages: tuple[model.Stage, ...]


class PipelineFinder:
    """Finds pipelines through engines that hold layers of one model.

    >>> finder = PipelineFinder(profile, engines)
    >>> finder.find(RequestSize(800, 200), home).unwrap().pipeline
    """

    __slots__ = ("_engines", "_profile")

    def __init__(
        self,
        profile: catalog.EngineProfile,
        engines: collections.abc.Iterable[CandidateEngine],
    ) -> None:
        self._profile = profile
        self._engines = tuple(engines)

    def find(
        self,
        size: RequestSize,
        home: model.DataCentreId,
        first: model.Stage | None = None,
        kept: frozenset[model.EndpointId] = frozenset(),
    ) -> result.Result["PipelineCandidate", model.LayersNotTiled]:
        """Return the pipeline with the least expected time.

        With ``first`` the pipeline begins with that stage.  Engines in
        ``kept`` have read the request already.
        """
        priced = [self._price(one, size, kept) for one in self._engines]
        ends = sorted({one.layers.end for one in self._engines})
        ends = sorted({*ends, *(one.layers.first for one in self._engines)})
        hop = _HOP_MILLISECONDS * size.answer_tokens
        crossing = _CROSSING_MILLISECONDS * size.answer_tokens
        start = 0 if first is None else first.layers.end
        stages = () if first is None else (first,)
        # The first engine may be anywhere: only events travel back from it.
        origins = (
            {home} if first else {one.data_centre for one in self._engines}
        )
        ways: dict[int, dict[model.DataCentreId, _Reached]] = {
            start: {one: _Reached(0.0, 0.0, stages) for one in sorted(origins)}
        }
        for boundary in ends:
            for place, way in ways.get(boundary, {}).items():
                for one in priced:
                    layers = one.engine.layers
                    if not layers.first <= boundary < layers.end:
                        continue
                    at = one.engine.data_centre
                    cost = way.cost + one.once + hop
                    if at != place:
                        cost += crossing
                    _extend(ways, way, one, boundary, cost, ends)
        last = self._profile.layer_count
        found = ways.get(last)
        if not found:
            return result.Err(model.LayersNotTiled(last, max(ways)))
        best = min(found.values(), key=lambda way: way.cost)
        spares = {one.engine.endpoint_id: one.spare_requests for one in priced}
        spare = min(spares.get(one.endpoint_id, 0.0) for one in best.stages)
        tiled = model.Pipeline.tile(best.stages, last)
        return tiled.map(
            lambda pipeline: PipelineCandidate(
                pipeline, best.cost, best.cache_utilization, spare
            )
        )

    def _price(
        self,
        engine: CandidateEngine,
        size: RequestSize,
        kept: frozenset[model.EndpointId],
    ) -> _Priced:
        """Return what a request costs on an engine."""
        profile = self._profile
        room = _engines.cache_capacity_tokens(
            profile, engine.accelerator, engine.layers.count
        )
        context = engine.cached_tokens / 1000
        step = (
            profile.step_milliseconds
            + profile.sequence_milliseconds * (engine.running_requests + 1)
            + profile.context_milliseconds_per_thousand * context
        )
        token = engine.accelerator.step_factor * step * size.answer_tokens
        read = 0.0
        if engine.endpoint_id not in kept:
            seconds = size.prompt_tokens / profile.read_tokens_per_second
            read = engine.accelerator.read_factor * seconds * 1000
        per_layer = engine.slowdown * (token + read) / profile.layer_count
        share = (engine.cached_tokens + size.total_tokens) / max(room, 1.0)
        if engine.has_refused:
            share = max(share, _REFUSED_SHARE)
        once = _fullness_milliseconds(share) * size.answer_tokens
        spare = room * (1.0 - share) / max(size.total_tokens, 1.0)
        return _Priced(engine, per_layer, once, share, max(0.0, spare))


def _fullness_milliseconds(share: float) -> float:
    """Return what a cache filled to a share adds to each token's time."""
    if share <= _RELAXED_SHARE:
        return 0.0
    if share > 1.0:
        return _OVERFULL_MILLISECONDS * share
    over = (share - _RELAXED_SHARE) / (1.0 - _RELAXED_SHARE)
    return _FULL_MILLISECONDS * over * over


def _extend(
    ways: dict[int, dict[model.DataCentreId, _Reached]],
    way: _Reached,
    priced: _Priced,
    start: int,
    cost: float,
    ends: collections.abc.Sequence[int],
) -> None:
    """Go on from a boundary over one engine, to every end it can reach."""
    engine = priced.engine
    if any(one.endpoint_id == engine.endpoint_id for one in way.stages):
        return
    for end in ends:
        if not start < end <= engine.layers.end:
            continue
        total_cost = cost + priced.per_layer * (end - start)
        at_end = ways.setdefault(end, {})
        known = at_end.get(engine.data_centre)
        if known is not None and known.cost <= total_cost:
            continue
        stage = model.Stage(
            engine.endpoint_id, engine.address, model.LayerRange(start, end)
        )
        cache_utilization = max(
            way.cache_utilization, priced.cache_utilization
        )
        at_end[engine.data_centre] = _Reached(
            total_cost, cache_utilization, (*way.stages, stage)
        )
