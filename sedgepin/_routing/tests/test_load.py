"""Tests of the load estimate from delayed reports and own dispatches."""

import datetime

import msgspec

from sedgepin import _model as model
from sedgepin import _routing
from sedgepin._routing.tests import test_router

NOW = test_router.NOW


def at(seconds: float) -> datetime.datetime:
    """Return the instant this many seconds after the start."""
    return NOW + datetime.timedelta(seconds=seconds)


def announcement_with_load(
    sequence: int, running: int, age_seconds: float = 0.0
) -> model.Announcement:
    """Return an announcement with a load report of the given age."""
    load = model.LoadReport(
        running_requests=running,
        measured_before_milliseconds=int(age_seconds * 1000),
    )
    return test_router.engine("a", 0, 8, sequence=sequence, load=load)


class TestEndpointLoad:
    """A report is past load, to which own dispatches since then are added."""

    def test_only_dispatches_since_the_measurement_are_added(self) -> None:
        load = _routing.EndpointLoad(8)
        load.add_request(8, 10, at(1.0))
        load.add_request(4, 10, at(2.0))
        load.apply_report(
            announcement_with_load(1, running=5, age_seconds=1.5), at(3.0)
        )
        assert (load.requests, load.layers) == (6, 5 * 7.8 + 4)
        load.remove_request(8, at(4.0))
        assert load.requests == 5
        load.apply_report(announcement_with_load(2, running=5), at(5.0))
        assert load.requests == 5

    def test_outdated_reports_are_ignored(self) -> None:
        load = _routing.EndpointLoad(8)
        load.apply_report(announcement_with_load(5, running=5), at(2.0))
        load.apply_report(announcement_with_load(4, running=50), at(2.1))
        load.apply_report(
            announcement_with_load(6, running=60, age_seconds=1.0), at(2.2)
        )
        assert load.requests == 5

    def test_new_incarnation_starts_at_announced_speed(self) -> None:
        load = _routing.EndpointLoad(8)
        load.apply_report(announcement_with_load(1, running=5), at(1.0))
        load.speed_factor = 0.5
        second = announcement_with_load(2, running=5)
        load.apply_report(second, at(2.0))
        assert load.speed_factor == 0.5
        restarted = msgspec.structs.replace(second, incarnation=2, sequence=0)
        load.apply_report(restarted, at(3.0))
        assert load.speed_factor == 1.0

    def test_estimate_is_never_below_own_dispatches(self) -> None:
        load = _routing.EndpointLoad(8)
        for _ in range(3):
            load.add_request(8, 10, at(1.0))
        load.apply_report(announcement_with_load(1, running=0), at(2.0))
        assert (load.requests, load.layers) == (3, 24)

    def test_expired_report_leaves_only_own_dispatches(self) -> None:
        load = _routing.EndpointLoad(8)
        load.apply_report(announcement_with_load(1, running=5), at(1.0))
        assert load.requests_at(at(2.0)) == 5
        assert load.requests_at(at(60.0)) == 0

    def test_changes_beyond_the_limit_are_still_counted(self) -> None:
        load = _routing.EndpointLoad(8)
        load.apply_report(announcement_with_load(1, running=7), NOW)
        for number in range(5000):
            load.add_request(8, 1, at(1 + number))
        for number in range(4990):
            load.remove_request(8, at(5001 + number))
        assert load.requests == 17
