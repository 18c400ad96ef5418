"""Pipeline selection policies: the router and two baselines."""

import abc
import collections.abc
import datetime
import random

from sedgepin import _model as model
from sedgepin import _routing

PREFIX_BLOCK_TOKENS = 32


class Policy(abc.ABC):
    """Chooses pipelines for the requests of one entry VM."""

    def observe(
        self, announcement: model.Announcement, now: datetime.datetime
    ) -> None:
        """Update the policy with an engine's announcement."""

    @abc.abstractmethod
    def choose(
        self,
        request: _routing.RoutingRequest,
        eligible: collections.abc.Sequence[model.Announcement],
        layer_count: int,
        now: datetime.datetime,
    ) -> model.Pipeline:
        """Return the pipeline for a request, and record its dispatch."""

    def finish(
        self,
        request: _routing.RoutingRequest,
        generated_tokens: int,
        now: datetime.datetime,
    ) -> None:
        """Record that a dispatched request has ended."""


class RouterPolicy(Policy):
    """Chooses pipelines with the project's router."""

    def __init__(self, router: _routing.Router) -> None:
        self._router = router

    def observe(
        self, announcement: model.Announcement, now: datetime.datetime
    ) -> None:
        """Update the policy with an engine's announcement."""
        self._router.observe_announcement(announcement, now)

    def choose(
        self,
        request: _routing.RoutingRequest,
        eligible: collections.abc.Sequence[model.Announcement],
        layer_count: int,
        now: datetime.datetime,
    ) -> model.Pipeline:
        """Return the router's choice, recorded as dispatched."""
        choice = self._router.choose_pipeline(
            request, eligible, layer_count, now
        )
        pipeline = choice.unwrap()
        self._router.record_dispatch(
            request.request_id, pipeline, request, now
        )
        return pipeline

    def finish(
        self,
        request: _routing.RoutingRequest,
        generated_tokens: int,
        now: datetime.datetime,
    ) -> None:
        """Record that a dispatched request has ended."""
        self._router.finish_dispatch(
            request.request_id, generated_tokens, True, now
        )


class _LayerByLayerPolicy(Policy):
    """Builds a pipeline stage by stage, starting at the first layer.

    Subclasses choose one of the engines that hold the next layer; the chosen
    engine runs every layer up to the end of its range.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        request: _routing.RoutingRequest,
        eligible: collections.abc.Sequence[model.Announcement],
        layer_count: int,
        now: datetime.datetime,
    ) -> model.Pipeline:
        """Return a pipeline of the eligible engines."""
        stages = []
        layer = 0
        while layer < layer_count:
            candidates = [
                engine
                for engine in eligible
                if engine.layers
                and engine.layers.first <= layer < engine.layers.end
            ]
            chosen = self._choose_engine(candidates)
            assert chosen.layers is not None
            end = min(chosen.layers.end, layer_count)
            layers = model.LayerRange(layer, end)
            stages.append(
                model.Stage(chosen.endpoint_id, chosen.address, layers)
            )
            layer = end
        return model.Pipeline.tile(stages, layer_count).unwrap()

    @abc.abstractmethod
    def _choose_engine(
        self, candidates: list[model.Announcement]
    ) -> model.Announcement:
        """Return the candidate that runs the next stage."""


class RandomPolicy(_LayerByLayerPolicy):
    """Chooses each engine uniformly at random."""

    def _choose_engine(
        self, candidates: list[model.Announcement]
    ) -> model.Announcement:
        return self._rng.choice(candidates)


class LeastReportedLoadPolicy(_LayerByLayerPolicy):
    """Chooses the engines that last reported the fewest requests."""

    def _choose_engine(
        self, candidates: list[model.Announcement]
    ) -> model.Announcement:
        return min(
            candidates,
            key=lambda engine: (
                engine.load.running_requests + engine.load.queued_requests,
                self._rng.random(),
            ),
        )
