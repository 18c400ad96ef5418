"""Bounds on the effect and cost of the limits, on one seed."""

from bench import _limits
from bench import _limits_models as models


class TestFairShare:
    def test_fair_share_protects_others_from_heavy_customer(self) -> None:
        even_load = models.run_fair_share(models.make_controller(1), 1.0, 1)
        heavy_load = models.run_fair_share(models.make_controller(1), 10.0, 1)
        assert heavy_load.others_p95 <= 1.2 * even_load.others_p95
        assert heavy_load.others_refused == 0.0
        assert heavy_load.refused_immediately >= 0.9

    def test_fifo_queue_delays_others_behind_heavy_customer(self) -> None:
        even_load = models.run_fair_share(models.FifoAdmission(), 1.0, 1)
        heavy_load = models.run_fair_share(models.FifoAdmission(), 10.0, 1)
        assert heavy_load.others_p95 > 5 * even_load.others_p95


class TestEndpointLoss:
    def test_endpoint_loss_causes_no_retry_storm(self) -> None:
        result = models.EndpointLoss(1, has_limits=True).run()
        assert result.dispatches <= 1.1
        assert result.later_dispatches <= 1.1
        assert result.goodput >= 0.95
        assert result.unanswered == 0.0
        assert result.seconds_to_stable <= 5


class TestCost:
    def test_piece_cost_does_not_grow_with_answer(self) -> None:
        # The bound in microseconds is wide; it fails if the cost of a piece
        # grows with the length of the answer.
        assert _limits.measure_piece_cost().value < 20
