"""The choice of a pipeline or an endpoint for each request."""

import collections.abc
import datetime
import random

import result

from sedgepin import _model as model
from sedgepin._routing import _capacity
from sedgepin._routing import _choice
from sedgepin._routing import _dispatches
from sedgepin._routing import _failures
from sedgepin._routing import _graph
from sedgepin._routing import _holders
from sedgepin._routing import _links
from sedgepin._routing import _load
from sedgepin._routing import _prefix_cache
from sedgepin._routing import _prices
from sedgepin._routing import _request
from sedgepin._routing import _search
from sedgepin._routing import _settings


class Router:
    """Chooses pipelines and endpoints for one entry.

    The router hears announcements and its own dispatches, and answers from
    them.  It does no I/O, and draws randomness only from ``rng``: equal
    calls with equal seeds give equal answers.  Begin and end of each
    dispatch are told by ``record_dispatch`` and ``finish_dispatch``.

    >>> router = Router(RoutingSettings(), random.Random(1))
    >>> chosen = router.choose_pipeline(work, announcements, 32, now)
    >>> router.record_dispatch(work.request_id, chosen.unwrap(), work, now)
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
        self._graphs = _holders.GraphCache(settings, self._links, self._loads)
        self._chooser = _choice.PathChooser(settings, rng)
        self._dispatches = _dispatches.Dispatches()

    def observe_announcement(
        self, announcement: model.Announcement, now: datetime.datetime
    ) -> None:
        """Take in an endpoint's load report and cache events."""
        self._loads.observe(announcement, now)
        if announcement.cache_events:
            self._prefixes.apply(
                announcement.endpoint_id,
                announcement.incarnation,
                announcement.cache_events,
            )

    def forget_endpoint(self, endpoint_id: model.EndpointId) -> None:
        """Drop all that is known of an endpoint that is gone."""
        self._loads.forget(endpoint_id)
        self._prefixes.forget(endpoint_id)
        self._links.forget(endpoint_id)
        self._graphs.forget(endpoint_id)

    def observe_link(
        self,
        from_endpoint: model.EndpointId,
        to_endpoint: model.EndpointId,
        round_trip: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        """Take in one measurement of the link between two engines."""
        self._links.observe(from_endpoint, to_endpoint, round_trip / 2, now)

    def set_link_costs(
        self, costs: collections.abc.Iterable[_links.LinkCost]
    ) -> None:
        """Fix the times between data centres."""
        for cost in costs:
            self._links.set_cost(cost)

    def choose_pipeline(
        self,
        work: _request.RoutingRequest,
        eligible: collections.abc.Iterable[model.Announcement],
        layer_count: int,
        now: datetime.datetime,
    ) -> result.Result[model.Pipeline, _failures.NoPipeline]:
        """Return the pipeline to dispatch the work on.

        The stages tile the model's layers exactly, lie within what their
        engines hold, and leave out ``work.excluded_endpoints``.  The error
        names the layers that no engine holds.
        """
        self._links.expire(now)
        priced = self._graphs.graph_for(work, eligible, layer_count, now)
        graph = priced.graph
        if graph.missing:
            return result.Err(self._no_pipeline(work, graph))
        legs = self._chooser.choose(
            graph, self._demand(work), priced.scale, now
        )
        if legs is None:
            return result.Err(self._no_pipeline(work, graph))
        return result.Ok(_pipeline(legs))

    def choose_service_endpoint(
        self,
        service: model.ServiceName,
        eligible: collections.abc.Iterable[model.Announcement],
        excluded_endpoints: frozenset[model.EndpointId],
        now: datetime.datetime,
    ) -> result.Result[model.Announcement, _failures.NoEndpoint]:
        """Return the less loaded of two endpoints of a plain service.

        Two are drawn at random so that entries with the same late reports
        do not all choose the same one (Mitzenmacher, 2001).
        """
        offering = [
            announcement
            for announcement in eligible
            if service in announcement.services
            and announcement.endpoint_id not in excluded_endpoints
            and not announcement.leaving
        ]
        if not offering:
            wait = self._settings.retry_after
            return result.Err(_failures.NoEndpoint(service, wait))
        drawn = self._rng.sample(offering, min(2, len(offering)))
        return result.Ok(
            min(
                drawn,
                key=lambda one: self._loads.of(one).requests_at(now),
            )
        )

    def record_dispatch(
        self,
        request_id: model.RequestId,
        pipeline: model.Pipeline,
        work: _request.RoutingRequest,
        now: datetime.datetime,
    ) -> None:
        """Count a dispatched request into its engines' loads.

        A request that is dispatched again leaves its first pipeline.
        """
        shares = []
        for stage in pipeline.stages:
            load = self._loads.get(stage.endpoint_id)
            if load is not None:
                shares.append(_dispatches.Share(load, stage.layers.count))
        self._dispatches.visit(request_id, shares, work, now)

    def record_service_dispatch(
        self,
        request_id: model.RequestId,
        endpoint_id: model.EndpointId,
        now: datetime.datetime,
    ) -> None:
        """Count a dispatched call into its service endpoint's load."""
        load = self._loads.get(endpoint_id)
        shares = [_dispatches.Share(load, 1)] if load is not None else []
        self._dispatches.visit(request_id, shares, None, now)

    def finish_dispatch(
        self,
        request_id: model.RequestId,
        generated_tokens: int,
        succeeded: bool,
        now: datetime.datetime,
    ) -> None:
        """Count a request out, however it ended; a second time is idle.

        The length of a whole answer, against what was expected, corrects
        later expectations for its model.
        """
        self._dispatches.leave(request_id, generated_tokens, succeeded, now)

    def record_progress(
        self, request_id: model.RequestId, tokens: int
    ) -> None:
        """Note generated tokens, in constant time."""
        self._dispatches.record_progress(request_id, tokens)

    def predict_duration(
        self,
        work: _request.RoutingRequest,
        pipeline: model.Pipeline,
        now: datetime.datetime,
    ) -> datetime.timedelta:
        """Return how long the work would take from now on a pipeline.

        Stages on engines that are no longer known count as free.
        """
        self._links.expire(now)
        legs = self._graphs.legs(pipeline)
        demand = self._demand(work)
        seconds = _prices.predicted_seconds(
            self._links,
            legs,
            demand.prefill_tokens(legs),
            demand.generated_tokens,
        )
        return datetime.timedelta(seconds=seconds)

    def capacity_tokens_per_second(
        self,
        model_name: model.ModelName,
        eligible: collections.abc.Iterable[model.Announcement],
        layer_count: int,
    ) -> float:
        """Return the token rate, prefill included, that engines allow."""
        holders = [
            holder
            for holder in self._graphs.holders(eligible)
            if holder.announcement.model == model_name
        ]
        return _capacity.capacity_tokens_per_second(holders, layer_count)

    def _no_pipeline(
        self, work: _request.RoutingRequest, graph: _graph.LayerGraph
    ) -> _failures.NoPipeline:
        """Return the failure that names the layers nobody may run."""
        left = (
            holder
            for holder in graph.holders
            if holder.endpoint_id not in work.excluded_endpoints
        )
        missing = _graph.missing_layers(left, graph.layer_count)
        wait = self._settings.retry_after
        return _failures.NoPipeline(work.model, missing, wait)

    def _demand(self, work: _request.RoutingRequest) -> _choice.Demand:
        """Return the work's tokens, corrected by what answers turned out."""
        share = self._dispatches.generated_share(work.model)
        return _choice.Demand(
            work.prompt_tokens,
            max(1.0, work.expected_tokens * share),
            work.excluded_endpoints,
            self._warm_tokens(work),
        )

    def _warm_tokens(
        self, work: _request.RoutingRequest
    ) -> dict[model.EndpointId, int]:
        """Return, by engine, how many prompt tokens its cache holds."""
        warm = {}
        block = self._settings.prefix_block_tokens
        if work.prefix_hashes:
            matched = self._prefixes.matched_blocks(work.prefix_hashes)
            for endpoint_id, blocks in matched.items():
                warm[endpoint_id] = min(blocks * block, work.prompt_tokens)
        for endpoint_id in work.preferred_endpoints:
            warm[endpoint_id] = work.prompt_tokens
        return warm


def _pipeline(legs: list[_search.Leg]) -> model.Pipeline:
    stages = [
        model.Stage(
            leg.holder.endpoint_id,
            leg.holder.address,
            model.LayerRange(leg.first, leg.end),
        )
        for leg in legs
    ]
    return model.Pipeline.tile(stages, legs[-1].end).unwrap()
