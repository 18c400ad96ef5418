"""What the placement of layers yields, and how its time grows.

The first figures are arithmetic: how many requests a second engines of one
kind answer together when their caches are full, for each number of layers
that an engine may hold.  More layers on each leave less room for requests,
fewer make more engines take part in each request.
"""

import time

from bench import _figure
from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin._placement.tests import test_plan

_SIZE = placement.RequestSize(775, 220)
_FLEETS = {
    "38 engines": {"a": (2, 4, 4), "b": (1, 6, 6), "c": (1, 10, 4)},
    "93 engines": {"a": (4, 10, 11), "b": (3, 14, 16), "c": (2, 24, 9)},
    "1300 engines in 6 data centres": {
        str(number): (20, 110, 87) for number in range(6)
    },
}


def measure() -> list[_figure.Figure]:
    """Return the yields of each kind, and the times of plan and path."""
    profile = test_plan.make_profile()
    figures: list[_figure.Figure] = []
    for accelerator in profile.accelerators:
        figures += _yields(profile, accelerator)
    for name, cards in _FLEETS.items():
        figures += _times(profile, name, cards)
    return figures


def _yields(
    profile: catalog.EngineProfile, accelerator: catalog.AcceleratorProfile
) -> list[_figure.Figure]:
    """Return requests a second and engine, by the layers that each holds."""
    most = placement.max_layer_count(profile, accelerator, 0.0)
    step = max(1, most // 8)
    figures: list[_figure.Figure] = []
    for count in range(step, most + 1, step):
        room = placement.cache_capacity_tokens(profile, accelerator, count)
        running = min(room / _SIZE.total_tokens, float(profile.slots))
        if running < 1:
            continue
        context = running * _SIZE.total_tokens / 1000
        token = accelerator.step_factor * (
            profile.step_milliseconds
            + profile.sequence_milliseconds * running
            + profile.context_milliseconds_per_thousand * context
        )
        engines = profile.layer_count / count
        seconds = token * _SIZE.answer_tokens / 1000
        figures.append(
            _figure.Figure(
                "requests a second and engine",
                running / seconds / engines,
                "1/s",
                f"{accelerator.name}, {count} layers each",
                f"{running:.0f} at once, {token:.1f} ms a token",
            )
        )
    return figures


def _times(
    profile: catalog.EngineProfile,
    name: str,
    cards: dict[str, tuple[int, int, int]],
) -> list[_figure.Figure]:
    engines = test_plan.make_engines(cards)
    began = time.process_time()
    plan = placement.plan(engines, profile)
    planned = time.process_time() - began
    home = next(iter(cards))
    near = [
        placement.CandidateEngine(
            one.endpoint_id,
            f"{one.endpoint_id}:80",
            one.data_centre,
            plan[one.endpoint_id],
            one.accelerator,
        )
        for one in engines
        if one.data_centre == home and one.endpoint_id in plan
    ]
    began = time.process_time()
    finder = placement.PipelineFinder(profile, near)
    finder.find(_SIZE, model.DataCentreId(home)).unwrap()
    found = time.process_time() - began
    return [
        _figure.Figure("plan of layers", planned * 1000, "ms", name),
        _figure.Figure(
            "path within a data centre",
            found * 1000,
            "ms",
            f"{len(near)} of {name}",
        ),
    ]
