"""Tests of the throughput bench and of its bound."""

import random

from bench import _flow_bound
from bench import _throughput
from sedgepin import _model as model
from sedgepin import _routing
from sedgepin._routing.tests import test_router


class TestFlowBound:
    """Two ways of finding the bound agree."""

    def test_agrees_with_the_greedy_scan(self) -> None:
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
            held = [
                _flow_bound.HeldRange(
                    one.layers or model.LayerRange(0, 0),
                    one.accelerator.layer_tokens_per_second,
                )
                for one in engines
                if one.accelerator
            ]
            router = _routing.Router(_routing.RoutingSettings(), rng)
            capacity = router.capacity_tokens_per_second(
                model.ModelName("m"), engines, 12
            )
            bound = _flow_bound.flow_bound(held, 12)
            assert abs(bound - capacity) <= 1e-6 * bound


class TestThroughput:
    """The router comes close to the bound and beats both baselines."""

    # The stated aim of the measurement.
    least_share_of_bound = 0.9

    def test_every_mix_on_a_small_fleet(self) -> None:
        cases = (
            (_throughput.Mix.UNIFORM, 16, 1),
            (_throughput.Mix.MIXED, 16, 1),
            (_throughput.Mix.SLOW_LINK, 16, 2),
            (_throughput.Mix.OVERLAPPING, 28, 2),
        )
        for mix, engines, seed in cases:
            fleet = _throughput.fleet(mix, seed, engines)
            routed, *baselines = (
                _throughput.throughput_over_bound(fleet, name, seed)
                for name in _throughput.PolicyName
            )
            assert routed >= self.least_share_of_bound, mix
            assert routed > max(baselines), mix
