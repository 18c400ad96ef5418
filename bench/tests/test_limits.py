"""The bounds that the limits promise, on one seed."""

from bench import _limits
from bench import _limits_models as models


class TestFairShare:
    def test_a_heavy_customer_hardly_moves_the_others(self) -> None:
        calm = models.run_share(models.make_admission(1), 1.0, 1)
        heavy = models.run_share(models.make_admission(1), 10.0, 1)
        assert heavy.others_p95 <= 1.2 * calm.others_p95
        assert heavy.others_refused == 0.0
        assert heavy.refused_at_once >= 0.9

    def test_the_baseline_shows_the_fault(self) -> None:
        calm = models.run_share(models.FifoDoor(), 1.0, 1)
        heavy = models.run_share(models.FifoDoor(), 10.0, 1)
        assert heavy.others_p95 > 5 * calm.others_p95


class TestEndpointLoss:
    def test_no_retry_storm(self) -> None:
        run = models.EndpointLoss(1, limited=True).run()
        assert run.dispatches <= 1.1
        assert run.later <= 1.1
        assert run.goodput >= 0.95
        assert run.cut_off == 0.0
        assert run.seconds_to_stable <= 5


class TestCost:
    def test_a_piece_costs_microseconds(self) -> None:
        # A wide bound: it is there for a cost that grows with the answer.
        assert _limits.measure_accept().value < 20
