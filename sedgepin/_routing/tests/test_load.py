"""Tests of the load estimate from late reports."""

import datetime

import msgspec

from sedgepin import _model as model
from sedgepin import _routing
from sedgepin._routing.tests import test_router

NOW = test_router.NOW


def at(seconds: float) -> datetime.datetime:
    """Return an instant after the start."""
    return NOW + datetime.timedelta(seconds=seconds)


def report(
    sequence: int, running: int, age_seconds: float = 0.0
) -> model.Announcement:
    """Return an announcement that reports some load."""
    load = model.LoadReport(
        running_requests=running,
        measured_before_milliseconds=int(age_seconds * 1000),
    )
    return test_router.engine("a", 0, 8, sequence=sequence, load=load)


class TestEndpointLoad:
    """A report tells the past; own dispatches since then are added."""

    def test_only_dispatches_since_the_measurement_are_added(self) -> None:
        load = _routing.EndpointLoad(8)
        load.visit(8, 10, at(1.0))
        load.visit(4, 10, at(2.0))
        load.report(report(1, running=5, age_seconds=1.5), at(3.0))
        assert (load.requests, load.layers) == (6, 5 * 7.8 + 4)
        load.leave(8, at(4.0))
        assert load.requests == 5
        load.report(report(2, running=5), at(5.0))
        assert load.requests == 5

    def test_older_reports_change_nothing(self) -> None:
        load = _routing.EndpointLoad(8)
        load.report(report(5, running=5), at(2.0))
        load.report(report(4, running=50), at(2.1))
        load.report(report(6, running=60, age_seconds=1.0), at(2.2))
        assert load.requests == 5

    def test_new_life_starts_at_the_announced_speed(self) -> None:
        load = _routing.EndpointLoad(8)
        load.report(report(1, running=5), at(1.0))
        load.speed = 0.5
        again = report(2, running=5)
        load.report(again, at(2.0))
        assert load.speed == 0.5
        restarted = msgspec.structs.replace(again, incarnation=2, sequence=0)
        load.report(restarted, at(3.0))
        assert load.speed == 1.0

    def test_own_dispatches_are_a_floor(self) -> None:
        load = _routing.EndpointLoad(8)
        for _ in range(3):
            load.visit(8, 10, at(1.0))
        load.report(report(1, running=0), at(2.0))
        assert (load.requests, load.layers) == (3, 24)

    def test_silence_leaves_only_own_dispatches(self) -> None:
        load = _routing.EndpointLoad(8)
        load.report(report(1, running=5), at(1.0))
        assert load.requests_at(at(2.0)) == 5
        assert load.requests_at(at(60.0)) == 0

    def test_changes_are_bounded_and_still_counted(self) -> None:
        load = _routing.EndpointLoad(8)
        load.report(report(1, running=7), NOW)
        for number in range(5000):
            load.visit(8, 1, at(1 + number))
        for number in range(4990):
            load.leave(8, at(5001 + number))
        assert load.requests == 17
