"""The cost of running a request on an engine, from its speed and load."""

import collections.abc
import datetime
import math
import random

from sedgepin._routing import _graph
from sedgepin._routing import _links
from sedgepin._routing import _load_statistics
from sedgepin._routing import _search
from sedgepin._routing import _settings

# Bounds the argument of the exponential function.
_MAX_EXPONENT = 30.0
# A new engine has no assigned work.  This lower bound keeps it from receiving
# all requests until its assigned work has reached the mean.
_MIN_ASSIGNED_WORK_EXPONENT = -1.0


class CostModel:
    """Computes the costs that the path search minimizes.

    Another request lengthens every batch step of an engine by the compute
    time of its layers, for all requests resident there.  This slowdown is
    the base cost.  It grows exponentially with two ratios: the work that
    this entry VM recently assigned to the engine over the mean, and the
    load of the engine over the mean.  Assigned work is known without delay,
    and keeping it proportional to speed keeps all engines equally busy over
    time.  Load corrects for what assigned work leaves out, such as the
    requests of other entry VMs.  Engines of scarce layers have more of both
    and so cost more.  With exponential costs a stream of requests
    approaches the maximum flow: Garg and Koenemann (1998); online,
    Awerbuch, Azar and Plotkin (1993).
    """

    __slots__ = ("_cost_noise", "_load_steepness", "_rng", "_work_steepness")

    def __init__(
        self, settings: _settings.RoutingSettings, rng: random.Random
    ) -> None:
        self._load_steepness = settings.load_steepness
        self._work_steepness = settings.assigned_work_steepness
        self._cost_noise = settings.price_noise
        self._rng = rng

    def search_node(
        self,
        engine: _graph.Engine,
        load_statistics: _load_statistics.LoadStatistics,
        now: datetime.datetime,
    ) -> _search.SearchNode:
        """Return a search node with its cost of one token in one layer."""
        load = engine.load
        layers = load_statistics.estimated_layers(load)
        compute = engine.seconds_per_layer_token()
        cost = compute * (1.0 + layers / load.layers_per_request)
        exponent = 0.0
        if load_statistics.mean_step_seconds > 0.0:
            relative = layers * compute / load_statistics.mean_step_seconds
            exponent += self._load_steepness * (relative - 1.0)
        if load_statistics.mean_assigned_seconds > 0.0:
            assigned = load.assigned_layer_tokens(now) * compute
            relative = assigned / load_statistics.mean_assigned_seconds
            assigned_exponent = self._work_steepness * (relative - 1.0)
            exponent += max(assigned_exponent, _MIN_ASSIGNED_WORK_EXPONENT)
        cost *= math.exp(min(exponent, _MAX_EXPONENT))
        cost *= 1.0 + self._cost_noise * (self._rng.random() - 0.5)
        return _search.SearchNode(engine, cost)


def predicted_seconds(
    links: _links.LinkTable,
    path: collections.abc.Sequence[_search.PathStage],
    prefill_tokens: collections.abc.Sequence[float],
    generated_tokens: float,
) -> float:
    """Return the expected time until the last token, in seconds.

    ``prefill_tokens`` gives the prompt tokens that each stage has to run.
    A generated token takes the sum of the compute times of its stages and
    the link times between them, but at least the longest batch step on the
    path, because an engine runs each resident request once in a step.
    """
    if not path:
        return 0.0
    prefill = 0.0
    token_time = 0.0
    longest_step = 0.0
    previous = path[-1].engine
    for stage, tokens in zip(path, prefill_tokens, strict=True):
        engine = stage.engine
        compute = engine.seconds_per_layer_token()
        stage_time = (stage.end - stage.first) * compute
        prefill += (
            engine.load.queued_prefill_seconds(compute) + tokens * stage_time
        )
        token_time += stage_time + links.one_way(
            previous.endpoint_id,
            previous.data_centre,
            engine.endpoint_id,
            engine.data_centre,
        )
        longest_step = max(longest_step, engine.load.layers * compute)
        previous = engine
    return (
        prefill + token_time + generated_tokens * max(token_time, longest_step)
    )
