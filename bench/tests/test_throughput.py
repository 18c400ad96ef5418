"""Tests of the throughput benchmark and of its upper bound."""

import random

from bench import _flow_bound
from bench import _throughput
from sedgepin import _model as model
from sedgepin import _routing
from sedgepin._routing.tests import test_router


class TestFlowBound:
    """The maximum flow and the router's own capacity estimate agree."""

    def test_flow_bound_equals_the_routers_capacity(self) -> None:
        rng = random.Random(5)
        for _ in range(60):
            engines = [test_router.engine("whole", 0, 12, 10.0)]
            for number in range(rng.randrange(8)):
                first = rng.randrange(12)
                end = rng.randrange(first + 1, 13)
                rate = rng.choice((1.0, 10.0, 300.0))
                engines.append(
                    test_router.engine(f"e{number}", first, end, rate)
                )
            held_ranges = [
                _flow_bound.HeldRange(
                    engine.layers or model.LayerRange(0, 0),
                    engine.accelerator.layer_tokens_per_second,
                )
                for engine in engines
                if engine.accelerator
            ]
            router = _routing.Router(_routing.RoutingSettings(), rng)
            capacity = router.capacity_tokens_per_second(
                model.ModelName("m"), engines, 12
            )
            bound = _flow_bound.flow_bound(held_ranges, 12)
            assert abs(bound - capacity) <= 1e-6 * bound


class TestThroughput:
    """The router gets close to the bound and beats both baselines."""

    # The target of the project.
    min_share_of_bound = 0.9

    def test_router_reaches_the_bound_and_beats_baselines(self) -> None:
        cases = (
            (_throughput.Mix.UNIFORM, 16, 1),
            (_throughput.Mix.MIXED, 16, 1),
            (_throughput.Mix.SLOW_LINK, 16, 2),
            (_throughput.Mix.OVERLAPPING, 28, 2),
        )
        for mix, engines, seed in cases:
            fleet = _throughput.fleet(mix, seed, engines)
            router_share, *baseline_shares = (
                _throughput.throughput_over_bound(fleet, name, seed)
                for name in _throughput.PolicyName
            )
            assert router_share >= self.min_share_of_bound, mix
            assert router_share > max(baseline_shares), mix
