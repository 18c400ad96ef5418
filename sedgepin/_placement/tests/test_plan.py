"""Tests of which engine holds which layers, on the fleets of the sheets."""

import dataclasses
import datetime

import pytest

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _placement as placement

_A100 = catalog.AcceleratorProfile("a100", 72_000.0, 2.4, 3.2)
_V100 = catalog.AcceleratorProfile("v100", 14_400.0, 5.3, 7.9)
_L4 = catalog.AcceleratorProfile("l4", 21_600.0, 16.0, 8.2)
# Cards in each data centre: a100, v100, l4.
_CARDS = {"one": (2, 4, 4), "two": (1, 6, 6), "three": (1, 10, 4)}
_GROWN_CARDS = {"one": (4, 10, 11), "two": (3, 14, 16), "three": (2, 24, 9)}


def make_profile() -> catalog.EngineProfile:
    return catalog.EngineProfile(
        slots=96,
        layer_count=80,
        layer_megabytes=1750.0,
        cache_bytes_per_token=1_180_000.0,
        step_milliseconds=1.02,
        sequence_milliseconds=0.00918,
        context_milliseconds_per_thousand=0.0123,
        read_tokens_per_second=164_000.0,
        load_seconds=14.0,
        loads_at_once=6,
        activation_bytes=59_000.0,
        usual_prompt_tokens=775.0,
        usual_answer_tokens=220.0,
        report_lag=datetime.timedelta(milliseconds=200),
        accelerators=(_A100, _V100, _L4),
    )


def make_engines(
    cards: dict[str, tuple[int, int, int]] = _CARDS,
) -> list[placement.Engine]:
    return [
        placement.Engine(
            model.EndpointId(f"{place}-{kind.name}-{number}"),
            model.DataCentreId(place),
            kind,
        )
        for place, counts in cards.items()
        for kind, count in zip((_A100, _V100, _L4), counts, strict=True)
        for number in range(count)
    ]


def apply(
    engines: list[placement.Engine], plan: placement.Plan
) -> list[placement.Engine]:
    return [
        dataclasses.replace(one, layers=plan.get(one.endpoint_id))
        for one in engines
    ]


def covered(
    engines: list[placement.Engine], plan: placement.Plan, place: str
) -> set[int]:
    return {
        layer
        for one in engines
        if one.data_centre == place and one.endpoint_id in plan
        for layer in range(
            plan[one.endpoint_id].first, plan[one.endpoint_id].end
        )
    }


class TestFirstPlan:
    @pytest.mark.parametrize("place", list(_CARDS))
    def test_each_data_centre_holds_the_whole_model(self, place: str) -> None:
        engines = make_engines()
        plan = placement.plan(engines, make_profile())
        assert covered(engines, plan, place) == set(range(80))

    def test_no_engine_holds_more_than_its_memory(self) -> None:
        engines = make_engines()
        plan = placement.plan(engines, make_profile())
        for one in engines:
            held = plan[one.endpoint_id]
            megabytes = held.count * 1750.0
            assert megabytes < one.accelerator.memory_megabytes

    def test_every_cache_has_room_for_a_neighbours_requests(self) -> None:
        engines = make_engines()
        profile = make_profile()
        plan = placement.plan(engines, profile)
        for one in engines:
            count = plan[one.endpoint_id].count
            room = placement.cache_capacity_tokens(
                profile, one.accelerator, count
            )
            assert room >= 60 * 995

    @pytest.mark.parametrize("place", list(_GROWN_CARDS))
    def test_no_engine_is_left_idle_on_the_grown_fleet(
        self, place: str
    ) -> None:
        """Seen under load: caches full while ten engines held nothing."""
        engines = make_engines(_GROWN_CARDS)
        plan = placement.plan(engines, make_profile())
        idle = [
            one.endpoint_id
            for one in engines
            if one.data_centre == place and one.endpoint_id not in plan
        ]
        assert idle == []

    @pytest.mark.parametrize("place", list(_GROWN_CARDS))
    def test_copies_are_spread_over_the_layers(self, place: str) -> None:
        engines = make_engines(_GROWN_CARDS)
        plan = placement.plan(engines, make_profile())
        copies = [
            sum(
                plan[one.endpoint_id].contains(model.LayerRange(at, at + 1))
                for one in engines
                if one.data_centre == place
            )
            for at in range(80)
        ]
        assert min(copies) >= 2
        assert max(copies) - min(copies) <= 2

    def test_small_data_centres_hold_the_model_together(self) -> None:
        cards = {"one": (1, 0, 0), "two": (1, 2, 0), "three": (0, 3, 2)}
        engines = make_engines(cards)
        plan = placement.plan(engines, make_profile())
        held = set().union(*(covered(engines, plan, place) for place in cards))
        assert held == set(range(80))

    def test_too_little_memory_plans_nothing_impossible(self) -> None:
        engines = make_engines({"one": (0, 2, 0)})
        plan = placement.plan(engines, make_profile())
        assert plan == {}


class TestLaterPlans:
    def test_a_plan_of_a_plan_changes_nothing(self) -> None:
        engines = make_engines()
        first = placement.plan(engines, make_profile())
        again = placement.plan(apply(engines, first), make_profile())
        assert again == first

    @pytest.mark.parametrize("lost", range(38))
    def test_any_lost_engine_is_made_up_for(self, lost: int) -> None:
        engines = make_engines()
        first = placement.plan(engines, make_profile())
        left = apply(engines, first)
        gone = left.pop(lost)
        second = placement.plan(left, make_profile())
        place = gone.data_centre
        assert covered(left, second, place) == set(range(80))
        moved = [
            one for one in left if second.get(one.endpoint_id) != one.layers
        ]
        assert len(moved) <= 4

    def test_engine_that_comes_back_empty_gets_work(self) -> None:
        engines = make_engines()
        first = placement.plan(engines, make_profile())
        there = apply(engines, first)
        there[0] = dataclasses.replace(there[0], layers=None)
        second = placement.plan(there, make_profile())
        assert there[0].endpoint_id in second

    @pytest.mark.parametrize("newcomers", [1, 2])
    def test_fast_engine_is_not_spent_on_a_small_gap(
        self, newcomers: int
    ) -> None:
        """Seen on a release: an a100 gave up 27 layers for 5.

        New engines come first and copy what was held once; then an old one
        leaves, and the a100's layers are all held by others as well.
        """
        engines = make_engines()
        there = apply(engines, placement.plan(engines, make_profile()))
        for number in range(newcomers):
            there.append(
                placement.Engine(
                    model.EndpointId(f"new-{number}"),
                    model.DataCentreId("one"),
                    _V100,
                )
            )
            there = apply(there, placement.plan(there, make_profile()))
        drained = next(
            one
            for one in there
            if one.data_centre == "one"
            and one.layers is not None
            and one.layers.first == 59
        )
        left = [one for one in there if one is not drained]
        plan = placement.plan(left, make_profile())
        for one in left:
            if one.accelerator is _A100:
                assert one.layers is not None
                assert plan[one.endpoint_id].contains(one.layers)
