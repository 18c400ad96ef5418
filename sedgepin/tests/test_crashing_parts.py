"""Tests of requests that share a part of their prompt and crash engines.

Incident inc1 of itk-lexhost: five engines had ended under one part, and
requests with it were sent to engines 13 times more.
"""

import pytest

from sedgepin.tests import crash_day

# Bounds of the users' rules, counted from the stability window after the
# fifth crash, and from twice that window.
_MAX_REACHED = 3
_MIN_SOUND_SHARE = 0.5


def _play(plan: crash_day.Plan) -> crash_day.CrashDay:
    day = crash_day.CrashDay(plan)
    day.play()
    return day


def _check(day: crash_day.CrashDay) -> None:
    for part in day.plan.crashing_parts:
        assert day.reached_after_fifth_crash(part) <= _MAX_REACHED
    outside = day.sound_share(0, day.plan.crashing_from)
    assert outside > 0.9
    assert day.sound_share_while_held >= _MIN_SOUND_SHARE * outside


class TestPartThatCrashesEngines:
    @pytest.mark.parametrize("entry_count", [1, 7, 40])
    def test_part_is_held_back_on_all_entry_vms(
        self, entry_count: int
    ) -> None:
        day = _play(crash_day.Plan(entry_count=entry_count))
        _check(day)
        assert day.crash_count <= crash_day.CRASHES_UNTIL_HELD

    @pytest.mark.parametrize("place", [0, 1, 2])
    def test_place_of_the_part_makes_no_difference(self, place: int) -> None:
        _check(_play(crash_day.Plan(place=place)))
