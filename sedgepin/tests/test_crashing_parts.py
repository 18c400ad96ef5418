"""Tests of requests that share a part of their prompt and crash engines.

Incident inc1 of itk-lexhost: five engines had ended under one part, and
requests with it were sent to engines 13 times more.
"""

import pytest

from sedgepin.tests import crash_day
from sedgepin.tests import crash_plan

# Bounds of the users' rules, counted from the stability window after the
# fifth crash, and from twice that window.
_MAX_REACHED = 3
_MIN_SOUND_SHARE = 0.5


def _play(plan: crash_plan.Plan) -> crash_day.CrashDay:
    day = crash_day.CrashDay(plan)
    day.play()
    return day


def _check(day: crash_day.CrashDay) -> None:
    for part in day.plan.crashing_parts:
        assert day.record.reached_after_fifth_crash(part) <= _MAX_REACHED
    outside = day.record.sound_share(0, day.plan.crashing_from)
    assert outside > 0.9
    assert day.record.sound_share_while_held >= _MIN_SOUND_SHARE * outside


def _held(day: crash_day.CrashDay) -> set[object]:
    """Return what any VM held back at any time."""
    return {
        field.value
        for line in day.record.log_lines
        if line.definition.name == "cause_held_back"
        for field in line.fields
        if field.name == "cause"
    }


class TestPartThatCrashesEngines:
    @pytest.mark.parametrize("entry_count", [1, 7, 40])
    def test_part_is_held_back_on_all_entry_vms(
        self, entry_count: int
    ) -> None:
        day = _play(crash_plan.Plan(entry_count=entry_count))
        _check(day)
        assert day.record.crash_count <= crash_plan.CRASHES_UNTIL_HELD
        assert _held(day) == {"part:crashing"}

    @pytest.mark.parametrize("place", [0, 1, 2])
    def test_place_of_the_part_makes_no_difference(self, place: int) -> None:
        _check(_play(crash_plan.Plan(place=place)))

    def test_fleet_whose_entry_vms_see_a_crash_or_none(self) -> None:
        plan = crash_plan.Plan(
            entry_count=195,
            control_count=5,
            data_centre_count=5,
            engine_pairs=30,
            sound_per_second=80.0,
            seconds=14.0,
            crashing_from=2.0,
            crashing_until=13.0,
        )
        day = _play(plan)
        _check(day)
        assert day.record.crash_count <= crash_plan.CRASHES_UNTIL_HELD

    @pytest.mark.parametrize("pieces", [3, 10])
    def test_crash_after_the_first_pieces(self, pieces: int) -> None:
        _check(_play(crash_plan.Plan(pieces=pieces)))

    @pytest.mark.parametrize("pieces", [15, 16, 18])
    def test_crash_in_the_middle_of_an_answer(self, pieces: int) -> None:
        _check(_play(crash_plan.Plan(pieces=pieces, seed=93)))

    @pytest.mark.parametrize("seed", [1, 2])
    def test_crash_of_another_stage(self, seed: int) -> None:
        _check(_play(crash_plan.Plan(is_last_stage=True, seed=seed)))

    def test_two_parts_at_once(self) -> None:
        parts = (crash_plan.CRASHING_PART, "other")
        _check(
            _play(
                crash_plan.Plan(crashing_parts=parts, crashing_per_second=4.0)
            )
        )

    @pytest.mark.parametrize("sound_per_second", [0.2, 2.0])
    def test_few_sound_requests_beside(self, sound_per_second: float) -> None:
        """What tells the parts apart comes seldom."""
        day = _play(crash_plan.Plan(sound_per_second=sound_per_second))
        assert day.record.reached_after_fifth_crash() <= _MAX_REACHED

    def test_crashes_far_apart(self) -> None:
        plan = crash_plan.Plan(
            crashing_per_second=0.3, seconds=40.0, crashing_until=38.0
        )
        _check(_play(plan))


class TestOtherTrouble:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_lost_rack_holds_nothing_back(self, seed: int) -> None:
        plan = crash_plan.Plan(
            crashing_per_second=0.0, rack_lost_at=5.0, seed=seed
        )
        assert _held(_play(plan)) == set()

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_lost_rack_does_not_hide_the_part(self, seed: int) -> None:
        day = _play(crash_plan.Plan(rack_lost_at=4.6, seed=seed))
        _check(day)
        assert _held(day) == {"part:crashing"}

    def test_entry_vms_that_start_again_know_the_part(self) -> None:
        restarts = tuple(4.0 + 0.8 * number for number in range(14))
        _check(_play(crash_plan.Plan(restarts=restarts)))
