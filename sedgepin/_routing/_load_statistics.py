"""What the engines of one graph have in common, as a scale for each."""

import collections.abc
import datetime
import statistics

from sedgepin._routing import _graph
from sedgepin._routing import _load

_REFRESH_INTERVAL = datetime.timedelta(milliseconds=500)


class LoadScale:
    """Mean load and mean assigned work, and the share of this entry.

    An entry knows its own dispatches at once and everyone's only late: a
    report leaves out requests that have not reached their later stages.
    If each entry keeps its own work even, the sum is even.  So an engine's
    load is taken as the entry's own, scaled to everyone's, and corrected by
    the smoothed difference that reports show.  An entry with little work of
    its own leans on the reports.

    The sums are taken afresh twice a second; on the same occasion each
    engine's speed is learned from its load against its neighbours'.
    """

    __slots__ = (
        "_everyone_over_own",
        "_own_weight",
        "_taken_at",
        "mean_assigned_seconds",
        "mean_step_seconds",
    )

    def __init__(self) -> None:
        self.mean_assigned_seconds = 0.0
        self.mean_step_seconds = 0.0
        self._everyone_over_own = 1.0
        self._own_weight = 0.0
        self._taken_at: datetime.datetime | None = None

    def refresh(
        self, graph: _graph.LayerGraph, now: datetime.datetime
    ) -> None:
        """Take the sums again if they are old."""
        if self._taken_at and now - self._taken_at < _REFRESH_INTERVAL:
            return
        self._taken_at = now
        holders = graph.holders
        self._weigh_own(holders)
        layers = 0.0
        assigned = 0.0
        rate = 0.0
        for holder in holders:
            layers += self.layers(holder.load)
            assigned += holder.load.assigned_at(now)
            rate += 1.0 / holder.seconds_per_layer_token()
        if not rate:
            return
        self.mean_step_seconds = layers / rate
        self.mean_assigned_seconds = assigned / rate
        self._learn_speeds(graph, now)

    def layers(self, load: _load.EndpointLoad) -> float:
        """Return the layers that everyone's requests run on an engine."""
        scale = self._everyone_over_own
        surplus = load.usual_reported_layers - scale * load.usual_own_layers
        scaled = scale * load.own_layers + surplus
        weight = self._own_weight
        blended = weight * scaled + (1.0 - weight) * load.layers
        return max(blended, load.own_layers)

    def _weigh_own(
        self, holders: collections.abc.Sequence[_graph.Holder]
    ) -> None:
        own = 0.0
        reported = 0.0
        own_requests = 0
        for holder in holders:
            load = holder.load
            own += load.usual_own_layers
            reported += load.usual_reported_layers
            own_requests += load.own_requests
        self._everyone_over_own = max(1.0, reported / own) if own else 1.0
        known = own_requests / max(1, len(holders))
        self._own_weight = known / (known + 1.0)

    def _learn_speeds(
        self, graph: _graph.LayerGraph, now: datetime.datetime
    ) -> None:
        """Compare each engine with those that hold the same layers.

        Engines of scarce layers are loaded above the mean, and rightly so.
        """
        steps = [self._mean_step(one.holders) for one in graph.segments]
        for holder in graph.holders:
            load = holder.load
            usual = statistics.fmean(
                steps[holder.first_index : holder.end_index]
            )
            step = self.layers(load) * holder.seconds_per_layer_token()
            if usual:
                load.learn_speed(step / usual, now)

    def _mean_step(
        self, holders: collections.abc.Sequence[_graph.Holder]
    ) -> float:
        layers = sum(self.layers(one.load) for one in holders)
        rate = sum(1.0 / one.seconds_per_layer_token() for one in holders)
        return layers / rate if rate else 0.0
