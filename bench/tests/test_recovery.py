"""Bounds on the recovery time of the replicated log."""

from bench import _recovery


class TestRecovery:
    def test_median_recovery_takes_less_than_a_second(self) -> None:
        figures = {figure.name: figure.value for figure in _recovery.measure()}
        assert figures["leader death to next record, median"] < 1000
        assert figures["leader death to next order, median"] < 1000
