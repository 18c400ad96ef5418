"""Engines that name a limit get more requests than it allows (LIMIT)."""

import dataclasses
import typing

import pytest

from sedgepin import _model as model
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


class TestCourseOfALimit:
    def _play_limits(
        self, *limits: limit_plan.Limit, **changes: typing.Any
    ) -> limit_plan.DayRecord:
        plan = dataclasses.replace(limit_plan.Plan(), limits=limits, **changes)
        return _play(plan)

    def test_another_figure_lower_or_higher(self) -> None:
        engines = limit_plan.first_engines(limit_plan.Plan(), 1.0)
        figures = (3.0, 1.0, 5.0, 2.0)
        limits = [
            limit_plan.Limit(3.0 * number, 3.0 * (number + 1), engines, figure)
            for number, figure in enumerate(figures, start=1)
        ]
        assert _exceeded(self._play_limits(*limits)) == []

    def test_dropped_and_named_again(self) -> None:
        engines = limit_plan.first_engines(limit_plan.Plan(), 0.7)
        record = self._play_limits(
            limit_plan.Limit(2.0, 7.0, engines, 4.0),
            limit_plan.Limit(8.5, 14.0, engines, 4.0),
        )
        assert _exceeded(record) == []

    def test_end_for_all_at_once_lets_no_burst_through(self) -> None:
        engines = limit_plan.first_engines(limit_plan.Plan(), 1.0)
        limit = limit_plan.Limit(3.0, 9.0, engines, 3.0)
        record = self._play_limits(limit)
        # Callers send 60 a second, and those refused come once more.
        for engine in engines:
            assert record.most_in_a_second(engine, 9.0, 16.0) <= 60

    def test_new_boot_at_the_same_address_has_named_nothing(self) -> None:
        engines = limit_plan.first_engines(limit_plan.Plan(), 1.0)
        record = self._play_limits(
            limit_plan.Limit(3.0, 15.0, engines, 1.0),
            engine_restarts=tuple((6.0, engine) for engine in engines),
        )
        assert _exceeded(record) == []
        # They are back 5 s later.
        assert record.served_share(12.5, 15.0) > 0.9

    def test_engines_that_shed_beside(self) -> None:
        engines = limit_plan.first_engines(limit_plan.Plan(), 0.7)
        record = self._play_limits(
            limit_plan.Limit(3.0, 14.0, engines, 3.0), refused_share=0.2
        )
        assert _exceeded(record) == []


class TestFaultsOfVms:
    """What VMs without a fault send together stays within the limit."""

    def _play_beside(self, **faults: typing.Any) -> limit_plan.DayRecord:
        plan = dataclasses.replace(
            _make_plan(1.0, 3.0), seconds=18.0, **faults
        )
        engines = limit_plan.first_engines(plan, 1.0)
        limit = limit_plan.Limit(2.0, 17.0, engines, 3.0)
        return _play(dataclasses.replace(plan, limits=(limit,)))

    def test_entry_vms_that_start_again(self) -> None:
        restarts = tuple((4.0 + number, number) for number in range(7))
        record = self._play_beside(restarts=restarts)
        assert _exceeded(record) == []

    def test_leader_that_freezes(self) -> None:
        for number in range(3):
            fault = limit_plan.VmFault(
                5.0, 10.0, model.VmId(f"control:{number}")
            )
            record = self._play_beside(frozen=(fault,))
            assert _exceeded(record) == []
            # An election takes a second.
            assert record.used_share() > 0.75

    def test_control_vm_that_is_cut_off(self) -> None:
        for number in range(3):
            fault = limit_plan.VmFault(
                5.0, 11.0, model.VmId(f"control:{number}")
            )
            record = self._play_beside(isolated=(fault,))
            assert _exceeded(record) == []

    def test_entry_vm_that_is_cut_off_sends_an_equal_share(self) -> None:
        cut_off = model.VmId("entry:002")
        fault = limit_plan.VmFault(4.0, 13.0, cut_off)
        record = self._play_beside(isolated=(fault,))
        others = {arrival.vm_id for arrival in record.arrivals} - {cut_off}
        beside = [
            window
            for window in record.windows(_SETTLE_SECONDS, others)
            if window.ratio > 1.0
        ]
        assert beside == []
        ratios = [window.ratio for window in record.windows(_SETTLE_SECONDS)]
        # One VM of seven sends its share in addition.
        assert max(ratios) <= 1.0 + 1 / 7

    def test_control_vms_that_are_all_cut_off(self) -> None:
        faults = tuple(
            limit_plan.VmFault(5.0, 12.0, model.VmId(f"control:{number}"))
            for number in range(3)
        )
        record = self._play_beside(isolated=faults)
        assert not any(
            window.breaks_rule for window in record.windows(_SETTLE_SECONDS)
        )
        during = [
            arrival for arrival in record.arrivals if 6.0 < arrival.at < 8.0
        ]
        # 12 first engines with 3 a second each, for 2 s.
        assert 0.7 * 72 < len(during) <= 1.2 * 72


class TestCallers:
    def test_first_tries_are_served_while_others_have_room(self) -> None:
        record = _play(_make_plan(0.5, 2.0))
        assert record.served_share(3.0, 14.0) == 1.0

    def test_limited_engines_are_used_while_callers_wait(self) -> None:
        for figure in (1.0, 3.0):
            record = _play(_make_plan(1.0, figure))
            assert record.used_share() >= 0.9

    def test_refused_at_once_or_after_the_wait_that_pays(self) -> None:
        record = _play(_make_plan(1.0, 1.0))
        held = record.refusal_seconds()
        assert held
        # 0.8 of the target for the first output, and the way to the leader.
        assert max(held) <= 0.4 + 0.25
