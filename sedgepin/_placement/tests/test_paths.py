"""Tests of the search for a pipeline."""

import dataclasses

import hypothesis
from hypothesis import strategies
import result

from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin._placement.tests import test_plan

_SIZE = placement.RequestSize(760, 220)
_DATA_CENTRE_ONE = model.DataCentreId("one")


def make_candidate_engines() -> list[placement.CandidateEngine]:
    engines = test_plan.make_engines()
    plan = placement.plan(engines, test_plan.make_profile())
    return [
        placement.CandidateEngine(
            engine.endpoint_id,
            f"{engine.endpoint_id}:80",
            engine.data_centre,
            plan[engine.endpoint_id],
            engine.accelerator,
        )
        for engine in engines
        if engine.endpoint_id in plan
    ]


def data_centres(
    engines: list[placement.CandidateEngine], pipeline: model.Pipeline
) -> set[str]:
    by_id = {engine.endpoint_id: engine.data_centre for engine in engines}
    return {by_id[stage.endpoint_id] for stage in pipeline.stages}


class TestPipelineFinder:
    def test_idle_fleet_serves_a_request_in_one_data_centre(self) -> None:
        engines = make_candidate_engines()
        finder = placement.PipelineFinder(test_plan.make_profile(), engines)
        candidate = finder.find(_SIZE, _DATA_CENTRE_ONE).unwrap()
        assert data_centres(engines, candidate.pipeline) == {"one"}

    def test_engines_with_a_full_cache_are_avoided(self) -> None:
        engines = [
            dataclasses.replace(engine, cached_tokens=60_000.0)
            if engine.data_centre == "one"
            else engine
            for engine in make_candidate_engines()
        ]
        finder = placement.PipelineFinder(test_plan.make_profile(), engines)
        candidate = finder.find(_SIZE, _DATA_CENTRE_ONE).unwrap()
        assert "one" not in data_centres(engines, candidate.pipeline)
        assert candidate.cache_utilization < 1.0

    def test_failover_pipeline_keeps_the_given_first_stage(self) -> None:
        engines = make_candidate_engines()
        finder = placement.PipelineFinder(test_plan.make_profile(), engines)
        first = (
            finder.find(_SIZE, _DATA_CENTRE_ONE).unwrap().pipeline.stages[0]
        )
        remaining = [engine for engine in engines if engine.layers.first != 54]
        finder = placement.PipelineFinder(test_plan.make_profile(), remaining)
        candidate = finder.find(_SIZE, _DATA_CENTRE_ONE, first).unwrap()
        assert candidate.pipeline.stages[0] == first

    def test_uncovered_layers_are_an_error(self) -> None:
        engines = [
            engine
            for engine in make_candidate_engines()
            if engine.layers.first
        ]
        finder = placement.PipelineFinder(test_plan.make_profile(), engines)
        outcome = finder.find(_SIZE, _DATA_CENTRE_ONE)
        assert isinstance(outcome, result.Err)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(strategies.sets(strategies.integers(0, 37)))
    def test_pipeline_runs_each_layer_once_in_order(
        self, lost: set[int]
    ) -> None:
        engines = [
            engine
            for number, engine in enumerate(make_candidate_engines())
            if number not in lost
        ]
        finder = placement.PipelineFinder(test_plan.make_profile(), engines)
        outcome = finder.find(_SIZE, _DATA_CENTRE_ONE)
        if isinstance(outcome, result.Err):
            held = {
                layer
                for engine in engines
                for layer in range(engine.layers.first, engine.layers.end)
            }
            assert held != set(range(80))
            return
        by_id = {engine.endpoint_id: engine for engine in engines}
        next_layer = 0
        for stage in outcome.ok_value.pipeline.stages:
            assert stage.layers.first == next_layer
            assert by_id[stage.endpoint_id].layers.contains(stage.layers)
            next_layer = stage.layers.end
        assert next_layer == 80
