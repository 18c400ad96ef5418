"""The price of an engine for one request, from its speed and its load."""

import collections.abc
import datetime
import math
import random

from sedgepin._routing import _graph
from sedgepin._routing import _links
from sedgepin._routing import _load
from sedgepin._routing import _search
from sedgepin._routing import _settings

_STEEPEST = 30.0


class LoadScale:
    """What a graph's engines have in common: mean load, share of this entry.

    An entry knows its own dispatches at once and everyone's only late: a
    report leaves out requests that have not reached their later stages.
    If each entry keeps its own work even, the sum is even.  So an engine's
    load is taken as the entry's own, scaled to everyone's, and corrected by
    the smoothed difference that reports show.  An entry with little work of
    its own leans on the reports.

    The sums are taken afresh when they are older than a tenth of a second.
    """

    __slots__ = (
        "_everyone_over_own",
        "_own_weight",
        "_taken_at",
        "mean_step_seconds",
    )

    _FRESH = datetime.timedelta(milliseconds=100)

    def __init__(self) -> None:
        self.mean_step_seconds = 0.0
        self._everyone_over_own = 1.0
        self._own_weight = 0.0
        self._taken_at: datetime.datetime | None = None

    def refresh(
        self,
        holders: collections.abc.Sequence[_graph.Holder],
        now: datetime.datetime,
    ) -> None:
        """Take the sums again if they are old."""
        if self._taken_at and now - self._taken_at < self._FRESH:
            return
        self._taken_at = now
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
        layers = 0.0
        rate = 0.0
        for holder in holders:
            layers += self.layers(holder.load)
            rate += 1.0 / holder.seconds_per_layer_token
        self.mean_step_seconds = layers / rate if rate else 0.0

    def layers(self, load: _load.EndpointLoad) -> float:
        """Return the layers that everyone's requests run on an engine."""
        scale = self._everyone_over_own
        surplus = load.usual_reported_layers - scale * load.usual_own_layers
        scaled = scale * load.own_layers + surplus
        weight = self._own_weight
        blended = weight * scaled + (1.0 - weight) * load.layers
        return max(blended, load.own_layers)


class Pricing:
    """Prices engines so that scarce layers cost more.

    One more request lengthens every batch step of an engine by its layers'
    compute time, for all that are resident there.  That slowdown is the
    engine's price, raised exponentially with its step time over the mean
    one.  Exponential prices steer a stream of requests to the greatest
    flow: Garg and Koenemann (1998); online, Awerbuch, Azar and Plotkin
    (1993).
    """

    __slots__ = ("_noise", "_rng", "_steepness")

    def __init__(
        self, settings: _settings.RoutingSettings, rng: random.Random
    ) -> None:
        self._steepness = settings.congestion_steepness
        self._noise = settings.price_noise
        self._rng = rng

    def node(self, holder: _graph.Holder, scale: LoadScale) -> _search.Node:
        """Return the engine with its price for one layer of one token."""
        load = holder.load
        layers = scale.layers(load)
        compute = holder.seconds_per_layer_token
        price = compute * (1.0 + layers / load.layers_per_request)
        if scale.mean_step_seconds > 0.0:
            relative = layers * compute / scale.mean_step_seconds
            excess = self._steepness * (relative - 1.0)
            price *= math.exp(min(excess, _STEEPEST))
        price *= 1.0 + self._noise * (self._rng.random() - 0.5)
        return _search.Node(holder, price)


def predicted_seconds(
    links: _links.LinkTable,
    legs: collections.abc.Sequence[_search.Leg],
    prefill_tokens: collections.abc.Sequence[float],
    generated_tokens: float,
) -> float:
    """Return the expected time to the last token.

    A token takes the sum of its stages and links, or the longest batch step
    on its way where that is longer: an engine's step serves each resident
    request once.
    """
    if not legs:
        return 0.0
    waiting = 0.0
    circuit = 0.0
    longest_step = 0.0
    previous = legs[-1].holder
    for leg, tokens in zip(legs, prefill_tokens, strict=True):
        holder = leg.holder
        compute = holder.seconds_per_layer_token
        own = (leg.end - leg.first) * compute
        waiting += holder.load.prefill_seconds(compute) + tokens * own
        circuit += own + links.one_way(
            previous.endpoint_id,
            previous.data_centre,
            holder.endpoint_id,
            holder.data_centre,
        )
        longest_step = max(longest_step, holder.load.layers * compute)
        previous = holder
    return waiting + circuit + generated_tokens * max(circuit, longest_step)
