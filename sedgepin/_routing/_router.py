"""Chooses a pipeline or a service endpoint for each request."""

import collections.abc
import datetime
import random

import result

from sedgepin import _model as model
from sedgepin._routing import _capacity
from sedgepin._routing import _choice
from sedgepin._routing import _cost_model
from sedgepin._routing import _dispatches
from sedgepin._routing import _failures
from sedgepin._routing import _graph
from sedgepin._routing import _graph_cache
from sedgepin._routing import _links
from sedgepin._routing import _load
from sedgepin._routing import _prefix_cache
from sedgepin._routing import _request
from sedgepin._routing import _search
from sedgepin._routing import _settings


class Router:
    """Chooses pipelines and service endpoints for one entry VM.

    Decisions depend only on the announcements, link measurements and
    dispatches that were passed in.  The router does no I/O and takes all
    randomness from ``rng``: the same calls with the same seed give the same
    decisions.  The caller reports the start and end of each dispatch with
    ``record_dispatch`` and ``finish_dispatch``.

    >>> router = Router(RoutingSettings(), random.Random(1))
    >>> chosen = router.choose_pipeline(request, announcements, 32, now)
    >>> pipeline = chosen.unwrap()
    >>> router.record_dispatch(request.request_id, pipeline, request, now)
    """

    __slots__ = (
        "_chooser",
        "_dispatches",
        "_graphs",
        "_links",
        "_loads",
        "_prefixes",
        "_rng",
        "_settings",
    )

    def __init__(
        self, settings: _settings.RoutingSettings, rng: random.Random
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._links = _links.LinkTable(settings)
        self._loads = _load.LoadEstimator()
        self._prefixes = _prefix_cache.PrefixCacheView(
            settings.prefix_hashes_per_endpoint
        )
        self._graphs = _graph_cache.GraphCache(
            settings, self._links, self._loads
        )
        self._chooser = _choice.PathChooser(settings, rng)
        self._dispatches = _dispatches.DispatchTracker()

    def observe_announcement(
        self, announcement: model.Announcement, now: datetime.datetime
    ) -> None:
        """Apply the load report and cache events of an announcement."""
        self._loads.observe(announcement, now)
        if announcement.cache_events:
            self._prefixes.apply(
                announcement.endpoint_id,
                announcement.incarnation,
                announcement.cache_events,
            )

    def remove_endpoint(self, endpoint_id: model.EndpointId) -> None:
        """Discard all state of an endpoint that left or failed."""
        self._loads.remove(endpoint_id)
        self._prefixes.remove(endpoint_id)
        self._links.remove(endpoint_id)
        self._graphs.remove(endpoint_id)

    def observe_link(
        self,
        from_endpoint: model.EndpointId,
        to_endpoint: model.EndpointId,
        round_trip: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        """Add a measured round trip between two engines to the link table."""
        self._links.observe(from_endpoint, to_endpoint, round_trip / 2, now)

    def set_link_costs(
        self, costs: collections.abc.Iterable[_links.LinkCost]
    ) -> None:
        """Configure the one-way times between data centres."""
        for cost in costs:
            self._links.set_cost(cost)

    def choose_pipeline(
        self,
        request: _request.RoutingRequest,
        eligible: collections.abc.Iterable[model.Announcement],
        layer_count: int,
        now: datetime.datetime,
    ) -> result.Result[model.Pipeline, _failures.NoPipeline]:
        """Return the pipeline to dispatch the request on.

        The stages cover each layer of the model exactly once, each on an
        engine that holds it and isn't in ``request.excluded_endpoints``.
        The error names the layers that no such engine holds.
        """
        self._links.expire(now)
        cached = self._graphs.graph_for(request, eligible, layer_count, now)
        graph = cached.graph
        if graph.missing:
            return result.Err(self._no_pipeline(request, graph))
        path = self._chooser.choose(
            graph, self._demand(request), cached.load_statistics, now
        )
        if path is None:
            return result.Err(self._no_pipeline(request, graph))
        return result.Ok(_pipeline(path))

    def choose_service_endpoint(
        self,
        service: model.ServiceName,
        eligible: collections.abc.Iterable[model.Announcement],
        excluded_endpoints: frozenset[model.EndpointId],
        now: datetime.datetime,
    ) -> result.Result[model.Announcement, _failures.NoEndpoint]:
        """Return the less loaded of two random endpoints of a service.

        Sampling two keeps entry VMs that have the same stale reports from
        all choosing the same endpoint (Mitzenmacher, 2001).
        """
        offering = [
            announcement
            for announcement in eligible
            if service in announcement.services
            and announcement.endpoint_id not in excluded_endpoints
            and not announcement.leaving
        ]
        if not offering:
            retry_delay = self._settings.retry_after
            return result.Err(_failures.NoEndpoint(service, retry_delay))
        sampled = self._rng.sample(offering, min(2, len(offering)))
        return result.Ok(
            min(
                sampled,
                key=lambda announcement: self._loads.get_or_create(
                    announcement
                ).requests_at(now),
            )
        )

    def record_dispatch(
        self,
        request_id: model.RequestId,
        pipeline: model.Pipeline,
        request: _request.RoutingRequest,
        now: datetime.datetime,
    ) -> None:
        """Add a dispatched request to the loads of its engines.

        If the request was dispatched before, it is first removed from the
        loads of its earlier pipeline.
        """
        shares = []
        for stage in pipeline.stages:
            load = self._loads.get(stage.endpoint_id)
            if load is not None:
                shares.append(
                    _dispatches.EndpointShare(load, stage.layers.count)
                )
        self._dispatches.record(request_id, shares, request, now)

    def record_service_dispatch(
        self,
        request_id: model.RequestId,
        endpoint_id: model.EndpointId,
        now: datetime.datetime,
    ) -> None:
        """Add a dispatched call to the load of its service endpoint."""
        load = self._loads.get(endpoint_id)
        shares = (
            [_dispatches.EndpointShare(load, 1)] if load is not None else []
        )
        self._dispatches.record(request_id, shares, None, now)

    def finish_dispatch(
        self,
        request_id: model.RequestId,
        generated_tokens: int,
        succeeded: bool,
        now: datetime.datetime,
    ) -> None:
        """Remove a request from the loads of its engines or endpoint.

        Call it however the request ended; unknown requests are ignored.
        The length of a successful answer, relative to the expected length,
        corrects later estimates for the same model.
        """
        self._dispatches.finish(request_id, generated_tokens, succeeded, now)

    def record_progress(
        self, request_id: model.RequestId, tokens: int
    ) -> None:
        """Add generated tokens to a dispatched request, in constant time."""
        self._dispatches.record_progress(request_id, tokens)

    def predict_duration(
        self,
        request: _request.RoutingRequest,
        pipeline: model.Pipeline,
        now: datetime.datetime,
    ) -> datetime.timedelta:
        """Return the expected time until a pipeline finishes the request.

        Stages on unknown engines count as taking no time.
        """
        self._links.expire(now)
        path = self._graphs.path_of(pipeline)
        demand = self._demand(request)
        seconds = _cost_model.predicted_seconds(
            self._links,
            path,
            demand.prefill_tokens(path),
            demand.generated_tokens,
        )
        return datetime.timedelta(seconds=seconds)

    def capacity_tokens_per_second(
        self,
        model_name: model.ModelName,
        eligible: collections.abc.Iterable[model.Announcement],
        layer_count: int,
    ) -> float:
        """Return the maximum tokens per second of a model's engines.

        Prompt tokens and generated tokens both count.
        """
        engines = [
            engine
            for engine in self._graphs.engines(eligible)
            if engine.announcement.model == model_name
        ]
        return _capacity.capacity_tokens_per_second(engines, layer_count)

    def _no_pipeline(
        self, request: _request.RoutingRequest, graph: _graph.LayerGraph
    ) -> _failures.NoPipeline:
        """Return a failure with the layers that no allowed engine holds."""
        allowed = (
            engine
            for engine in graph.engines
            if engine.endpoint_id not in request.excluded_endpoints
        )
        missing = _graph.missing_layers(allowed, graph.layer_count)
        retry_delay = self._settings.retry_after
        return _failures.NoPipeline(request.model, missing, retry_delay)

    def _demand(self, request: _request.RoutingRequest) -> _choice.Demand:
        """Return a request's tokens, with the answer length corrected."""
        length_ratio = self._dispatches.length_ratio(request.model)
        return _choice.Demand(
            request.prompt_tokens,
            max(1.0, request.expected_tokens * length_ratio),
            request.excluded_endpoints,
            request.not_first,
            self._cached_tokens(request),
        )

    def _cached_tokens(
        self, request: _request.RoutingRequest
    ) -> dict[model.EndpointId, int]:
        """Return the number of cached prompt tokens on each engine.

        Preferred endpoints served an earlier attempt, so they have the whole
        prompt cached.
        """
        cached = {}
        block_tokens = self._settings.prefix_block_tokens
        if request.prefix_hashes:
            matched = self._prefixes.matched_blocks(request.prefix_hashes)
            for endpoint_id, blocks in matched.items():
                cached[endpoint_id] = min(
                    blocks * block_tokens, request.prompt_tokens
                )
        for endpoint_id in request.preferred_endpoints:
            cached[endpoint_id] = request.prompt_tokens
        return cached


def _pipeline(path: list[_search.PathStage]) -> model.Pipeline:
    stages = [
        model.Stage(
            stage.engine.endpoint_id,
            stage.engine.address,
            model.LayerRange(stage.first, stage.end),
        )
        for stage in path
    ]
    return model.Pipeline.tile(stages, path[-1].end).unwrap()
