"""The recovery that the log promises, as a bound."""

from bench import _recovery


class TestRecovery:
    def test_next_record_within_a_second(self) -> None:
        figures = {one.name: one.value for one in _recovery.measure()}
        assert figures["leader death to next record, median"] < 1000
        assert figures["leader death to next order, median"] < 1000
