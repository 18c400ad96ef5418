"""Engines that name a limit get more requests than it allows (LIMIT)."""

import dataclasses

import pytest

from sedgepin.tests import limit_day
from sedgepin.tests import limit_plan
from sedgepin.tests import silence_routes

# Messages reach all VMs in this time after a limit was heard.
_SETTLE_SECONDS = 0.5


def _play(plan: limit_plan.Plan) -> limit_plan.DayRecord:
    day = limit_day.LimitDay(plan)
    day.play()
    assert len(day.record.attempts) > plan.per_second * plan.seconds / 2
    assert day.record.heard_at
    return day.record


def _make_plan(share: float = 0.5, per_second: float = 8.1) -> limit_plan.Plan:
    plan = limit_plan.Plan()
    engines = limit_plan.first_engines(plan, share)
    limit = limit_plan.Limit(3.0, 14.0, engines, per_second)
    return dataclasses.replace(plan, limits=(limit,))


def _exceeded(record: limit_plan.DayRecord) -> list[limit_plan.Window]:
    return [
        window
        for window in record.windows(_SETTLE_SECONDS)
        if window.ratio > 1.0
    ]


class TestOneLimit:
    @pytest.mark.parametrize("share", [0.1, 0.7, 1.0])
    def test_engine_gets_no_more_than_it_named(self, share: float) -> None:
        assert _exceeded(_play(_make_plan(share))) == []

    @pytest.mark.parametrize("per_second", [40.0, 1.0, 0.3, 0.0])
    def test_any_figure_is_kept(self, per_second: float) -> None:
        record = _play(_make_plan(0.5, per_second))
        assert _exceeded(record) == []

    def test_plain_endpoint_gets_no_more_than_it_named(self) -> None:
        plan = dataclasses.replace(
            _make_plan(),
            plain_endpoints=6,
            kinds=silence_routes.PLAIN_KINDS,
        )
        engines = limit_plan.plain_endpoints(plan)[:3]
        limit = limit_plan.Limit(3.0, 14.0, engines, 5.0)
        record = _play(dataclasses.replace(plan, limits=(limit,)))
        assert _exceeded(record) == []


class TestManyVms:
    @pytest.mark.parametrize("entry_count", [40, 195])
    @pytest.mark.parametrize("busy_share", [0.0, 0.9])
    def test_sum_over_all_vms_is_kept(
        self, entry_count: int, busy_share: float
    ) -> None:
        plan = dataclasses.replace(
            _make_plan(0.7, 8.0),
            entry_count=entry_count,
            control_count=5,
            per_second=90.0,
            busy_share=busy_share,
            seconds=12.0,
        )
        assert _exceeded(_play(plan)) == []
