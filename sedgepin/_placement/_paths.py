"""Shortest-path search for the pipeline of a request.

Layer boundaries are the nodes of a graph; an edge is an engine that runs the
layers between two of them.  The cheapest path from the first layer to the
last is the pipeline with the least expected time under the reported load.
"""

import collections.abc
import dataclasses

import result

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin._placement import _engines

# Added to the time per token by a hop between data centres: a delay of 0.3 ms,
# and contention on the link, which other requests use as well.
_CROSS_DATA_CENTRE_MILLISECONDS = 2.0
# Added to the time per token by every hop.
_HOP_MILLISECONDS = 0.2
# Cache utilization up to which an engine has no penalty.
_FREE_UTILIZATION = 0.5
# Penalty per token at a utilization of 1: the time per token of the slowest
# pipeline in the first deployments.
_FULL_CACHE_MILLISECONDS = 10.0
# Penalty per token above a utilization of 1, times the utilization.  There an
# engine preempts its newest request, which is then delayed by seconds.
_OVERFULL_CACHE_MILLISECONDS = 100.0
# Lower bound on the utilization of an engine that has just refused a request.
_REFUSED_UTILIZATION = 1.05


@dataclasses.dataclass(slots=True, frozen=True)
class RequestSize:
    """Token counts of a request; the answer's is an estimate."""

    prompt_tokens: float
    answer_tokens: float

    @property
    def total_tokens(self) -> float:
        """Cached tokens of the request when its answer is complete."""
        return self.prompt_tokens + self.answer_tokens


@dataclasses.dataclass(slots=True, frozen=True)
class CandidateEngine:
    """An engine that may run part of a request, and its present load.

    ``slowdown`` is the factor by which it takes longer than its accelerator
    type should.  An engine that ``has_refused`` a request just now counts as
    full, whatever its reported load.  One without ``may_begin`` is not the
    first of a pipeline.
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
    may_begin: bool = True

    def with_requests(
        self, requests: float, size: RequestSize
    ) -> "CandidateEngine":
        """Return the engine with the load of more requests added."""
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
class _EngineCost:
    """An engine and its costs for one request, in ms.

    ``per_layer`` applies to each layer that the engine runs, ``per_engine``
    once, whatever the number of layers.
    """

    engine: CandidateEngine
    per_layer: float
    per_engine: float
    cache_utilization: float
    spare_requests: float


@dataclasses.dataclass(slots=True)
class _Path:
    """The cheapest path to a layer boundary that ends in one data centre."""

    cost: float
    cache_utilization: float
    stages: tuple[model.Stage, ...]


class PipelineFinder:
    """Finds the fastest pipeline over engines that hold layers of one model.

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
        prefilled: frozenset[model.EndpointId] = frozenset(),
    ) -> result.Result["PipelineCandidate", model.LayersNotTiled]:
        """Return the pipeline with the least expected time.

        With ``first`` the pipeline begins with that stage, and the next hop
        costs as much as one from ``home``, the data centre of the entry VM.
        Engines in ``prefilled`` have the prompt in their cache already.

        Fails with ``LayersNotTiled`` if the engines do not cover all layers.
        """
        engine_costs = [
            self._cost(engine, size, prefilled) for engine in self._engines
        ]
        boundaries = sorted({engine.layers.end for engine in self._engines})
        boundaries = sorted(
            {*boundaries, *(engine.layers.first for engine in self._engines)}
        )
        hop_cost = _HOP_MILLISECONDS * size.answer_tokens
        cross_data_centre_cost = (
            _CROSS_DATA_CENTRE_MILLISECONDS * size.answer_tokens
        )
        start = 0 if first is None else first.layers.end
        stages = () if first is None else (first,)
        # Without a given first stage the pipeline may start in any data
        # centre at no cost: only output events travel back to the entry VM.
        origins = (
            {home}
            if first
            else {engine.data_centre for engine in self._engines}
        )
        paths: dict[int, dict[model.DataCentreId, _Path]] = {
            start: {
                data_centre: _Path(0.0, 0.0, stages)
                for data_centre in sorted(origins)
            }
        }
        for boundary in boundaries:
            for data_centre, path in paths.get(boundary, {}).items():
                for engine_cost in engine_costs:
                    layers = engine_cost.engine.layers
                    if not layers.first <= boundary < layers.end:
                        continue
                    if not path.stages and not engine_cost.engine.may_begin:
                        continue
                    next_data_centre = engine_cost.engine.data_centre
                    cost = path.cost + engine_cost.per_engine + hop_cost
                    if next_data_centre != data_centre:
                        cost += cross_data_centre_cost
                    _extend(
                        paths, path, engine_cost, boundary, cost, boundaries
                    )
        layer_count = self._profile.layer_count
        complete = paths.get(layer_count)
        if not complete:
            return result.Err(model.LayersNotTiled(layer_count, max(paths)))
        best = min(complete.values(), key=lambda path: path.cost)
        spare_by_endpoint = {
            engine_cost.engine.endpoint_id: engine_cost.spare_requests
            for engine_cost in engine_costs
        }
        spare_requests = min(
            spare_by_endpoint.get(stage.endpoint_id, 0.0)
            for stage in best.stages
        )
        tiled = model.Pipeline.tile(best.stages, layer_count)
        return tiled.map(
            lambda pipeline: PipelineCandidate(
                pipeline, best.cost, best.cache_utilization, spare_requests
            )
        )

    def _cost(
        self,
        engine: CandidateEngine,
        size: RequestSize,
        prefilled: frozenset[model.EndpointId],
    ) -> _EngineCost:
        """Return the costs of a request on an engine, at its present load."""
        profile = self._profile
        capacity_tokens = _engines.cache_capacity_tokens(
            profile, engine.accelerator, engine.layers.count
        )
        context_thousands = engine.cached_tokens / 1000
        step_milliseconds = (
            profile.step_milliseconds
            + profile.sequence_milliseconds * (engine.running_requests + 1)
            + profile.context_milliseconds_per_thousand * context_thousands
        )
        decode_milliseconds = (
            engine.accelerator.step_factor
            * step_milliseconds
            * size.answer_tokens
        )
        prefill_milliseconds = 0.0
        if engine.endpoint_id not in prefilled:
            seconds = size.prompt_tokens / profile.read_tokens_per_second
            prefill_milliseconds = (
                engine.accelerator.read_factor * seconds * 1000
            )
        per_layer = (
            engine.slowdown
            * (decode_milliseconds + prefill_milliseconds)
            / profile.layer_count
        )
        utilization = (engine.cached_tokens + size.total_tokens) / max(
            capacity_tokens, 1.0
        )
        if engine.has_refused:
            utilization = max(utilization, _REFUSED_UTILIZATION)
        per_engine = (
            _cache_penalty_milliseconds(utilization) * size.answer_tokens
        )
        spare_requests = (
            capacity_tokens * (1.0 - utilization) / max(size.total_tokens, 1.0)
        )
        return _EngineCost(
            engine,
            per_layer,
            per_engine,
            utilization,
            max(0.0, spare_requests),
        )


def _cache_penalty_milliseconds(utilization: float) -> float:
    """Return the penalty per token for a cache utilization, in ms."""
    if utilization <= _FREE_UTILIZATION:
        return 0.0
    if utilization > 1.0:
        return _OVERFULL_CACHE_MILLISECONDS * utilization
    over = (utilization - _FREE_UTILIZATION) / (1.0 - _FREE_UTILIZATION)
    return _FULL_CACHE_MILLISECONDS * over * over


def _extend(
    paths: dict[int, dict[model.DataCentreId, _Path]],
    path: _Path,
    engine_cost: _EngineCost,
    start: int,
    cost: float,
    boundaries: collections.abc.Sequence[int],
) -> None:
    """Extend a path by one engine, to each boundary that it can reach.

    ``cost`` is the cost of the path plus the engine's cost before any layer.
    """
    engine = engine_cost.engine
    if any(stage.endpoint_id == engine.endpoint_id for stage in path.stages):
        return
    for end in boundaries:
        if not start < end <= engine.layers.end:
            continue
        total_cost = cost + engine_cost.per_layer * (end - start)
        at_end = paths.setdefault(end, {})
        cheapest = at_end.get(engine.data_centre)
        if cheapest is not None and cheapest.cost <= total_cost:
            continue
        stage = model.Stage(
            engine.endpoint_id, engine.address, model.LayerRange(start, end)
        )
        cache_utilization = max(
            path.cache_utilization, engine_cost.cache_utilization
        )
        at_end[engine.data_centre] = _Path(
            total_cost, cache_utilization, (*path.stages, stage)
        )
