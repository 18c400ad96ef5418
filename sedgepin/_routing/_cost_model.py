"""The price of an engine for one request, from its speed and its load."""

import collections.abc
import datetime
import math
import random

from sedgepin._routing import _graph
from sedgepin._routing import _links
from sedgepin._routing import _load_statistics
from sedgepin._routing import _search
from sedgepin._routing import _settings

_STEEPEST = 30.0
# An engine that has just come has no assigned work; it must not draw all
# requests until it has caught up.
_MOST_BEHIND = -1.0


class Pricing:
    """Prices engines so that scarce layers cost more.

    One more request lengthens every batch step of an engine by its layers'
    compute time, for all that are resident there.  That slowdown is the
    engine's price, raised exponentially with the work that this entry has
    lately assigned to the engine, over the mean, and with the engine's load
    over the mean.  Assigned work carries the long run: it is known without
    delay, and keeping it in proportion to speed keeps every engine equally
    busy.  Load corrects what it misses.  Exponential prices steer a stream
    of requests to the greatest flow: Garg and Koenemann (1998); online,
    Awerbuch, Azar and Plotkin (1993).
    """

    __slots__ = ("_load_steepness", "_noise", "_rng", "_work_steepness")

    def __init__(
        self, settings: _settings.RoutingSettings, rng: random.Random
    ) -> None:
        self._load_steepness = settings.load_steepness
        self._work_steepness = settings.assigned_work_steepness
        self._noise = settings.price_noise
        self._rng = rng

    def node(
        self,
        holder: _graph.Holder,
        scale: _load_statistics.LoadScale,
        now: datetime.datetime,
    ) -> _search.Node:
        """Return the engine with its price for one layer of one token."""
        load = holder.load
        layers = scale.layers(load)
        compute = holder.seconds_per_layer_token()
        price = compute * (1.0 + layers / load.layers_per_request)
        excess = 0.0
        if scale.mean_step_seconds > 0.0:
            relative = layers * compute / scale.mean_step_seconds
            excess += self._load_steepness * (relative - 1.0)
        if scale.mean_assigned_seconds > 0.0:
            assigned = load.assigned_at(now) * compute
            relative = assigned / scale.mean_assigned_seconds
            behind = self._work_steepness * (relative - 1.0)
            excess += max(behind, _MOST_BEHIND)
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
        compute = holder.seconds_per_layer_token()
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
