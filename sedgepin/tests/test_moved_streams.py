"""Tests of streams at silent engines beside changes of other kinds.

Issue 43: requests ended without an answer while their engines went on.
"""

import collections.abc
import dataclasses
import functools

import pytest

from sedgepin.tests import silence_changes
from sedgepin.tests import silence_plan

_Change = silence_changes.Change
_CHANGES = (*((change,) for change in _Change), tuple(_Change))
_SHAPES = (silence_plan.rack, silence_plan.first_engines_in_turn)
_ENTRIES_PER_CONTROL = 40


def _make_plan(
    entry_count: int, max_attempts: int, seed: int
) -> silence_plan.Plan:
    control_count = max(3, entry_count // _ENTRIES_PER_CONTROL + 1)
    is_small = entry_count < _ENTRIES_PER_CONTROL
    return silence_plan.Plan(
        entry_count=entry_count,
        control_count=control_count,
        engine_pairs=12 if is_small else 24,
        plain_endpoints=4,
        per_second=60.0 if is_small else 120.0,
        max_attempts=max_attempts,
        slots=8,
        seed=seed,
    )


@functools.cache
def _play(
    entry_count: int,
    max_attempts: int,
    seed: int,
    changes: tuple[silence_changes.Change, ...],
) -> tuple[silence_plan.DayRecord, ...]:
    records: list[silence_plan.DayRecord] = []
    for shape in _SHAPES:
        plan = _make_plan(entry_count, max_attempts, seed)
        plan = dataclasses.replace(plan, silences=shape(plan))
        day = silence_changes.ChangeDay(plan, changes)
        day.play()
        assert all(day.counts_by_change.values())
        assert day.between_count
        records.append(day.record)
    return tuple(records)


def _small_days() -> collections.abc.Iterator[silence_plan.DayRecord]:
    for changes in _CHANGES:
        yield from _play(7, 2, 1, changes)


class TestChangesBesideSilences:
    @pytest.mark.parametrize("max_attempts, seed", [(2, 1), (3, 2)])
    @pytest.mark.parametrize(
        "changes", _CHANGES, ids=lambda kinds: "-".join(k.value for k in kinds)
    )
    def test_stream_whose_engines_go_on_is_not_cut(
        self,
        changes: tuple[silence_changes.Change, ...],
        max_attempts: int,
        seed: int,
    ) -> None:
        for record in _play(7, max_attempts, seed, changes):
            assert record.cut_streams() == []

    @pytest.mark.parametrize("entry_count", [93, 195])
    def test_stream_is_not_cut_in_a_large_fleet(
        self, entry_count: int
    ) -> None:
        for record in _play(entry_count, 2, 1, tuple(_Change)):
            assert record.cut_streams() == []
            assert record.not_answered_once() == []
            assert record.on_too_many() == []

    def test_each_request_ends_with_one_answer(self) -> None:
        for record in _small_days():
            assert record.not_answered_once() == []

    def test_no_request_runs_on_more_engines_than_its_route_allows(
        self,
    ) -> None:
        for record in _small_days():
            assert record.on_too_many() == []
            assert record.run_twice() == []

    def test_events_of_a_stream_follow_each_other(self) -> None:
        for record in _small_days():
            assert record.out_of_order() == []
