"""Tests of how often first engines are asked about stalls."""

import datetime

import pytest

from sedgepin._gateway import _stalls
from sedgepin._gateway.tests import parts
from sedgepin import _model as model

_ENGINE = model.EndpointId("low")
_STEP = datetime.timedelta(milliseconds=50)
_MAX_INTERVAL = datetime.timedelta(milliseconds=1200)


def _inspect_in_vain(
    inspections: _stalls.StallInspections, is_stream: bool
) -> tuple[int, datetime.datetime]:
    """Let an answer stall for 4 s; return the count and the end."""
    now = parts.START
    count = 0
    while now < parts.START + datetime.timedelta(seconds=4):
        if inspections.try_start(_ENGINE, now, is_stream):
            count += 1
            inspections.record_report(_ENGINE, False, now)
        now += _STEP
    return count, now


class TestStallInspections:
    def test_long_answers_in_one_piece_delay_no_inspection_for_streams(
        self,
    ) -> None:
        inspections = _stalls.StallInspections()
        _, now = _inspect_in_vain(inspections, is_stream=False)
        assert inspections.try_start(_ENGINE, now, is_stream=True)

    @pytest.mark.parametrize("is_stream", [True, False])
    def test_interval_grows_for_either_kind_of_answer(
        self, is_stream: bool
    ) -> None:
        inspections = _stalls.StallInspections()
        count, _ = _inspect_in_vain(inspections, is_stream)
        assert 2 <= count <= 7

    def test_report_ends_the_inspections_for_both_kinds_of_answer(
        self,
    ) -> None:
        inspections = _stalls.StallInspections()
        now = parts.START
        for is_stream in (True, False):
            assert inspections.try_start(_ENGINE, now, is_stream)
            assert not inspections.try_start(_ENGINE, now, is_stream)
        inspections.record_report(_ENGINE, True, now)
        now += _MAX_INTERVAL
        for is_stream in (True, False):
            assert inspections.try_start(_ENGINE, now, is_stream)
