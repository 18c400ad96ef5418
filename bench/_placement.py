"""Throughput of layer placements, and the time to compute them.

The throughput is calculated, not measured: the requests a second that engines
with one accelerator type answer when their caches are full, by the number of
layers on each engine.  More layers leave less cache for requests; fewer
layers need more engines for each request.
"""

import time

from bench import _figure
from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin._placement.tests import test_plan

_REQUEST_SIZE = placement.RequestSize(775, 220)
_FLEETS = {
    "38 engines": {"a": (2, 4, 4), "b": (1, 6, 6), "c": (1, 10, 4)},
    "93 engines": {"a": (4, 10, 11), "b": (3, 14, 16), "c": (2, 24, 9)},
    "1300 engines in 6 data centres": {
        str(number): (20, 110, 87) for number in range(6)
    },
}


def measure() -> list[_figure.Figure]:
    """Return throughput by accelerator, and times of planning and search."""
    profile = test_plan.make_profile()
    figures: list[_figure.Figure] = []
    for accelerator in profile.accelerators:
        figures += _measure_yield(profile, accelerator)
    for name, accelerator_counts in _FLEETS.items():
        figures += _measure_times(profile, name, accelerator_counts)
    return figures


def _measure_yield(
    profile: catalog.EngineProfile, accelerator: catalog.AcceleratorProfile
) -> list[_figure.Figure]:
    """Return requests a second for each engine, by its layer count."""
    max_layers = placement.max_layer_count(profile, accelerator, 0.0)
    layer_step = max(1, max_layers // 8)
    figures: list[_figure.Figure] = []
    for layer_count in range(layer_step, max_layers + 1, layer_step):
        cache_tokens = placement.cache_capacity_tokens(
            profile, accelerator, layer_count
        )
        concurrent_requests = min(
            cache_tokens / _REQUEST_SIZE.total_tokens, float(profile.slots)
        )
        if concurrent_requests < 1:
            continue
        context_thousands = (
            concurrent_requests * _REQUEST_SIZE.total_tokens / 1000
        )
        token_milliseconds = accelerator.step_factor * (
            profile.step_milliseconds
            + profile.sequence_milliseconds * concurrent_requests
            + profile.context_milliseconds_per_thousand * context_thousands
        )
        engine_count = profile.layer_count / layer_count
        seconds = token_milliseconds * _REQUEST_SIZE.answer_tokens / 1000
        figures.append(
            _figure.Figure(
                "requests a second and engine",
                concurrent_requests / seconds / engine_count,
                "1/s",
                f"{accelerator.name}, {layer_count} layers each",
                f"{concurrent_requests:.0f} at once,"
                f" {token_milliseconds:.1f} ms a token",
            )
        )
    return figures


def _measure_times(
    profile: catalog.EngineProfile,
    name: str,
    accelerator_counts: dict[str, tuple[int, int, int]],
) -> list[_figure.Figure]:
    engines = test_plan.make_engines(accelerator_counts)
    start = time.process_time()
    plan = placement.plan(engines, profile)
    plan_seconds = time.process_time() - start
    local_data_centre = next(iter(accelerator_counts))
    candidates = [
        placement.CandidateEngine(
            engine.endpoint_id,
            f"{engine.endpoint_id}:80",
            engine.data_centre,
            plan[engine.endpoint_id],
            engine.accelerator,
        )
        for engine in engines
        if engine.data_centre == local_data_centre
        and engine.endpoint_id in plan
    ]
    start = time.process_time()
    finder = placement.PipelineFinder(profile, candidates)
    finder.find(_REQUEST_SIZE, model.DataCentreId(local_data_centre)).unwrap()
    path_seconds = time.process_time() - start
    return [
        _figure.Figure("plan of layers", plan_seconds * 1000, "ms", name),
        _figure.Figure(
            "path within a data centre",
            path_seconds * 1000,
            "ms",
            f"{len(candidates)} of {name}",
        ),
    ]
