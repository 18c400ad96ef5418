"""Tests of layer plans on fleets of three data centres."""

import dataclasses
import datetime

import pytest

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _placement as placement

_A100 = catalog.AcceleratorProfile("a100", 72_000.0, 2.4, 3.2)
_V100 = catalog.AcceleratorProfile("v100", 14_400.0, 5.3, 7.9)
_L4 = catalog.AcceleratorProfile("l4", 21_600.0, 16.0, 8.2)
# Engines in each data centre by accelerator: a100, v100, l4.
_FLEET = {"one": (2, 4, 4), "two": (1, 6, 6), "three": (1, 10, 4)}
_LARGER_FLEET = {"one": (4, 10, 11), "two": (3, 14, 16), "three": (2, 24, 9)}


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
    engine_counts: dict[str, tuple[int, int, int]] = _FLEET,
) -> list[placement.Engine]:
    return [
        placement.Engine(
            model.EndpointId(f"{data_centre}-{accelerator.name}-{number}"),
            model.DataCentreId(data_centre),
            accelerator,
        )
        for data_centre, counts in engine_counts.items()
        for accelerator, count in zip((_A100, _V100, _L4), counts, strict=True)
        for number in range(count)
    ]


def apply(
    engines: list[placement.Engine], plan: placement.Plan
) -> list[placement.Engine]:
    return [
        dataclasses.replace(engine, layers=plan.get(engine.endpoint_id))
        for engine in engines
    ]


def covered(
    engines: list[placement.Engine], plan: placement.Plan, data_centre: str
) -> set[int]:
    return {
        layer
        for engine in engines
        if engine.data_centre == data_centre and engine.endpoint_id in plan
        for layer in range(
            plan[engine.endpoint_id].first, plan[engine.endpoint_id].end
        )
    }


class TestFirstPlan:
    @pytest.mark.parametrize("data_centre", list(_FLEET))
    def test_each_data_centre_holds_the_whole_model(
        self, data_centre: str
    ) -> None:
        engines = make_engines()
        plan = placement.plan(engines, make_profile())
        assert covered(engines, plan, data_centre) == set(range(80))

    def test_layers_of_each_engine_fit_in_its_memory(self) -> None:
        engines = make_engines()
        plan = placement.plan(engines, make_profile())
        for engine in engines:
            held = plan[engine.endpoint_id]
            megabytes = held.count * 1750.0
            assert megabytes < engine.accelerator.memory_megabytes

    def test_cache_capacity_allows_for_requests_of_a_failed_data_centre(
        self,
    ) -> None:
        engines = make_engines()
        profile = make_profile()
        plan = placement.plan(engines, profile)
        for engine in engines:
            count = plan[engine.endpoint_id].count
            capacity = placement.cache_capacity_tokens(
                profile, engine.accelerator, count
            )
            assert capacity >= 60 * 995

    @pytest.mark.parametrize("data_centre", list(_LARGER_FLEET))
    def test_every_engine_of_the_larger_fleet_holds_layers(
        self, data_centre: str
    ) -> None:
        """Regression: caches were full while ten engines held no layers."""
        engines = make_engines(_LARGER_FLEET)
        plan = placement.plan(engines, make_profile())
        idle = [
            engine.endpoint_id
            for engine in engines
            if engine.data_centre == data_centre
            and engine.endpoint_id not in plan
        ]
        assert idle == []

    @pytest.mark.parametrize("data_centre", list(_LARGER_FLEET))
    def test_copies_are_balanced_over_the_layers(
        self, data_centre: str
    ) -> None:
        engines = make_engines(_LARGER_FLEET)
        plan = placement.plan(engines, make_profile())
        copies = [
            sum(
                plan[engine.endpoint_id].contains(
                    model.LayerRange(layer, layer + 1)
                )
                for engine in engines
                if engine.data_centre == data_centre
            )
            for layer in range(80)
        ]
        assert min(copies) >= 2
        assert max(copies) - min(copies) <= 2

    def test_small_data_centres_hold_the_model_as_one_group(self) -> None:
        engine_counts = {
            "one": (1, 0, 0),
            "two": (1, 2, 0),
            "three": (0, 3, 2),
        }
        engines = make_engines(engine_counts)
        plan = placement.plan(engines, make_profile())
        held = set().union(
            *(
                covered(engines, plan, data_centre)
                for data_centre in engine_counts
            )
        )
        assert held == set(range(80))

    def test_too_little_memory_gives_an_empty_plan(self) -> None:
        engines = make_engines({"one": (0, 2, 0)})
        plan = placement.plan(engines, make_profile())
        assert plan == {}


class TestLaterPlans:
    def test_planning_is_idempotent(self) -> None:
        engines = make_engines()
        first = placement.plan(engines, make_profile())
        second = placement.plan(apply(engines, first), make_profile())
        assert second == first

    @pytest.mark.parametrize("lost", range(38))
    def test_layers_of_any_lost_engine_are_reassigned(self, lost: int) -> None:
        engines = make_engines()
        first = placement.plan(engines, make_profile())
        remaining = apply(engines, first)
        lost_engine = remaining.pop(lost)
        second = placement.plan(remaining, make_profile())
        data_centre = lost_engine.data_centre
        assert covered(remaining, second, data_centre) == set(range(80))
        moved = [
            engine
            for engine in remaining
            if second.get(engine.endpoint_id) != engine.layers
        ]
        assert len(moved) <= 4

    def test_engine_that_restarts_without_layers_is_assigned_some(
        self,
    ) -> None:
        engines = make_engines()
        first = placement.plan(engines, make_profile())
        running = apply(engines, first)
        running[0] = dataclasses.replace(running[0], layers=None)
        second = placement.plan(running, make_profile())
        assert running[0].endpoint_id in second

    @pytest.mark.parametrize("added_engines", [1, 2])
    def test_fast_engine_keeps_its_layers_when_a_small_gap_opens(
        self, added_engines: int
    ) -> None:
        """Regression: an a100 gave up 27 layers to fill a gap of 5.

        During a release new engines start first and copy layers that had a
        single copy.  When an old engine then leaves, all layers of the a100
        have another copy, so it was chosen for the gap.
        """
        engines = make_engines()
        running = apply(engines, placement.plan(engines, make_profile()))
        for number in range(added_engines):
            running.append(
                placement.Engine(
                    model.EndpointId(f"new-{number}"),
                    model.DataCentreId("one"),
                    _V100,
                )
            )
            running = apply(running, placement.plan(running, make_profile()))
        drained = next(
            engine
            for engine in running
            if engine.data_centre == "one"
            and engine.layers is not None
            and engine.layers.first == 59
        )
        remaining = [engine for engine in running if engine is not drained]
        plan = placement.plan(remaining, make_profile())
        for engine in remaining:
            if engine.accelerator is _A100:
                assert engine.layers is not None
                assert plan[engine.endpoint_id].contains(engine.layers)
