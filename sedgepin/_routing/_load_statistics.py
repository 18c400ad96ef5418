"""Mean load over the engines of one graph, and load estimates from it."""

import collections.abc
import datetime
import statistics

from sedgepin._routing import _graph
from sedgepin._routing import _load

_REFRESH_INTERVAL = datetime.timedelta(milliseconds=500)


class LoadStatistics:
    """Mean step time, mean assigned work and the ratio of total to own load.

    An entry VM knows its own dispatches at once, but the load caused by all
    entry VMs only from delayed reports, which also leave out requests that
    have not reached their later stages.  If each entry VM balances its own
    requests, the total is balanced.  The load of an engine is therefore
    estimated as this VM's own load scaled by the ratio of total to own
    load, plus the averaged difference between reported and scaled load.
    An entry VM with few requests of its own relies on the reports.

    The statistics are refreshed at most twice a second.  A refresh also
    updates the speed factor of each engine from its step time relative to
    the engines that hold the same layers.
    """

    __slots__ = (
        "_own_weight",
        "_refreshed_at",
        "_total_to_own_ratio",
        "mean_assigned_seconds",
        "mean_step_seconds",
    )

    def __init__(self) -> None:
        self.mean_assigned_seconds = 0.0
        self.mean_step_seconds = 0.0
        self._total_to_own_ratio = 1.0
        self._own_weight = 0.0
        self._refreshed_at: datetime.datetime | None = None

    def refresh(
        self, graph: _graph.LayerGraph, now: datetime.datetime
    ) -> None:
        """Recompute the statistics if the refresh interval has passed."""
        if self._refreshed_at and now - self._refreshed_at < _REFRESH_INTERVAL:
            return
        self._refreshed_at = now
        engines = graph.engines
        self._update_own_weight(engines)
        layers = 0.0
        assigned = 0.0
        rate = 0.0
        for engine in engines:
            layers += self.estimated_layers(engine.load)
            assigned += engine.load.assigned_layer_tokens(now)
            rate += 1.0 / engine.seconds_per_layer_token()
        if not rate:
            return
        self.mean_step_seconds = layers / rate
        self.mean_assigned_seconds = assigned / rate
        self._update_speed_factors(graph, now)

    def estimated_layers(self, load: _load.EndpointLoad) -> float:
        """Return the layers that requests of all entry VMs run on an engine.

        See ``EndpointLoad.layers`` for the unit.
        """
        scale = self._total_to_own_ratio
        surplus = (
            load.average_reported_layers - scale * load.average_own_layers
        )
        scaled = scale * load.own_layers + surplus
        weight = self._own_weight
        blended = weight * scaled + (1.0 - weight) * load.layers
        return max(blended, load.own_layers)

    def _update_own_weight(
        self, engines: collections.abc.Sequence[_graph.Engine]
    ) -> None:
        own = 0.0
        reported = 0.0
        own_requests = 0
        for engine in engines:
            load = engine.load
            own += load.average_own_layers
            reported += load.average_reported_layers
            own_requests += load.own_requests
        self._total_to_own_ratio = max(1.0, reported / own) if own else 1.0
        own_per_engine = own_requests / max(1, len(engines))
        self._own_weight = own_per_engine / (own_per_engine + 1.0)

    def _update_speed_factors(
        self, graph: _graph.LayerGraph, now: datetime.datetime
    ) -> None:
        """Update speed factors by comparing engines with the same layers.

        Engines of scarce layers have more load than the mean over all
        engines, which doesn't make them slow.
        """
        steps = [
            self._mean_step_seconds(segment.engines)
            for segment in graph.segments
        ]
        for engine in graph.engines:
            load = engine.load
            mean_step = statistics.fmean(
                steps[engine.first_index : engine.end_index]
            )
            step = (
                self.estimated_layers(load) * engine.seconds_per_layer_token()
            )
            if mean_step:
                load.update_speed_factor(step / mean_step, now)

    def _mean_step_seconds(
        self, engines: collections.abc.Sequence[_graph.Engine]
    ) -> float:
        layers = sum(self.estimated_layers(engine.load) for engine in engines)
        rate = sum(
            1.0 / engine.seconds_per_layer_token() for engine in engines
        )
        return layers / rate if rate else 0.0
