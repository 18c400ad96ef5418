"""Tests of the choice of a pipeline."""

import dataclasses

import hypothesis
from hypothesis import strategies
import result

from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin._placement.tests import test_plan

_SIZE = placement.RequestSize(760, 220)
_ONE = model.DataCentreId("one")


def make_path_engines() -> list[placement.CandidateEngine]:
    engines = test_plan.make_engines()
    plan = placement.plan(engines, test_plan.make_profile())
    return [
        placement.CandidateEngine(
            one.endpoint_id,
            f"{one.endpoint_id}:80",
            one.data_centre,
            plan[one.endpoint_id],
            one.accelerator,
        )
        for one in engines
        if one.endpoint_id in plan
    ]


def places(
    engines: list[placement.CandidateEngine], pipeline: model.Pipeline
) -> set[str]:
    by_id = {one.endpoint_id: one.data_centre for one in engines}
    return {by_id[one.endpoint_id] for one in pipeline.stages}


class TestPathFinder:
    def test_idle_fleet_uses_one_data_centre(self) -> None:
        engines = make_path_engines()
        finder = placement.PipelineFinder(test_plan.make_profile(), engines)
        found = finder.find(_SIZE, _ONE).unwrap()
        assert places(engines, found.pipeline) == {"one"}

    def test_full_engines_are_gone_round(self) -> None:
        engines = [
            dataclasses.replace(one, cached_tokens=60_000.0)
            if one.data_centre == "one"
            else one
            for one in make_path_engines()
        ]
        finder = placement.PipelineFinder(test_plan.make_profile(), engines)
        found = finder.find(_SIZE, _ONE).unwrap()
        assert "one" not in places(engines, found.pipeline)
        assert found.cache_utilization < 1.0

    def test_detour_keeps_the_first_stage(self) -> None:
        engines = make_path_engines()
        finder = placement.PipelineFinder(test_plan.make_profile(), engines)
        first = finder.find(_SIZE, _ONE).unwrap().pipeline.stages[0]
        rest = [one for one in engines if one.layers.first != 54]
        finder = placement.PipelineFinder(test_plan.make_profile(), rest)
        found = finder.find(_SIZE, _ONE, first).unwrap()
        assert found.pipeline.stages[0] == first

    def test_gap_is_told(self) -> None:
        engines = [one for one in make_path_engines() if one.layers.first]
        finder = placement.PipelineFinder(test_plan.make_profile(), engines)
        found = finder.find(_SIZE, _ONE)
        assert isinstance(found, result.Err)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(strategies.sets(strategies.integers(0, 37)))
    def test_every_layer_once_and_in_order(self, lost: set[int]) -> None:
        engines = [
            one
            for number, one in enumerate(make_path_engines())
            if number not in lost
        ]
        finder = placement.PipelineFinder(test_plan.make_profile(), engines)
        found = finder.find(_SIZE, _ONE)
        if isinstance(found, result.Err):
            held = {
                layer
                for one in engines
                for layer in range(one.layers.first, one.layers.end)
            }
            assert held != set(range(80))
            return
        by_id = {one.endpoint_id: one for one in engines}
        next_layer = 0
        for stage in found.ok_value.pipeline.stages:
            assert stage.layers.first == next_layer
            assert by_id[stage.endpoint_id].layers.contains(stage.layers)
            next_layer = stage.layers.end
        assert next_layer == 80
