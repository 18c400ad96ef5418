"""The router under measurement, and the baselines it has to beat."""

import abc
import collections.abc
import datetime
import random

from sedgepin import _model as model
from sedgepin import _routing

PREFIX_BLOCK_TOKENS = 32


class Policy(abc.ABC):
    """How one entry chooses pipelines."""

    def observe(
        self, announcement: model.Announcement, now: datetime.datetime
    ) -> None:
        """Hear an announcement."""

    @abc.abstractmethod
    def choose(
        self,
        work: _routing.RoutingRequest,
        eligible: collections.abc.Sequence[model.Announcement],
        layer_count: int,
        now: datetime.datetime,
    ) -> model.Pipeline:
        """Return the pipeline that the work is dispatched on."""

    def leave(
        self,
        work: _routing.RoutingRequest,
        generated_tokens: int,
        now: datetime.datetime,
    ) -> None:
        """Hear that a request ended."""


class RoutedPolicy(Policy):
    """The router of this project."""

    def __init__(self, router: _routing.Router) -> None:
        self._router = router

    def observe(
        self, announcement: model.Announcement, now: datetime.datetime
    ) -> None:
        """Hear an announcement."""
        self._router.observe_announcement(announcement, now)

    def choose(
        self,
        work: _routing.RoutingRequest,
        eligible: collections.abc.Sequence[model.Announcement],
        layer_count: int,
        now: datetime.datetime,
    ) -> model.Pipeline:
        """Return the router's choice."""
        chosen = self._router.choose_pipeline(work, eligible, layer_count, now)
        pipeline = chosen.unwrap()
        self._router.record_dispatch(work.request_id, pipeline, work, now)
        return pipeline

    def leave(
        self,
        work: _routing.RoutingRequest,
        generated_tokens: int,
        now: datetime.datetime,
    ) -> None:
        """Hear that a request ended."""
        self._router.finish_dispatch(
            work.request_id, generated_tokens, True, now
        )


class _Forward(Policy):
    """Takes, at each layer still to run, one of the engines that hold it.

    The engine runs to the end of its range.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        work: _routing.RoutingRequest,
        eligible: collections.abc.Sequence[model.Announcement],
        layer_count: int,
        now: datetime.datetime,
    ) -> model.Pipeline:
        """Return the pipeline, built from the first layer on."""
        stages = []
        layer = 0
        while layer < layer_count:
            holding = [
                one
                for one in eligible
                if one.layers and one.layers.first <= layer < one.layers.end
            ]
            taken = self._take(holding)
            assert taken.layers is not None
            end = min(taken.layers.end, layer_count)
            layers = model.LayerRange(layer, end)
            stages.append(
                model.Stage(taken.endpoint_id, taken.address, layers)
            )
            layer = end
        return model.Pipeline.tile(stages, layer_count).unwrap()

    @abc.abstractmethod
    def _take(self, holding: list[model.Announcement]) -> model.Announcement:
        """Return the engine to run the next layers."""


class RandomPolicy(_Forward):
    """Any valid pipeline."""

    def _take(self, holding: list[model.Announcement]) -> model.Announcement:
        return self._rng.choice(holding)


class LeastReportedLoad(_Forward):
    """The engine that last reported the fewest requests."""

    def _take(self, holding: list[model.Announcement]) -> model.Announcement:
        return min(
            holding,
            key=lambda one: (
                one.load.running_requests + one.load.queued_requests,
                self._rng.random(),
            ),
        )
