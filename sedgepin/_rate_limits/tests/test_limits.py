"""Tests of the limits that a VM knows."""

import datetime

import pytest

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _rate_limits as rate_limits

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_ENDPOINT = model.EndpointId("e")
_NO_LIMIT = catalog.EndpointNotice()


def _after(seconds: float) -> datetime.datetime:
    return _START + datetime.timedelta(seconds=seconds)


def _name(
    limits: rate_limits.RequestLimits,
    figure: float,
    seconds: float = 0.0,
    is_check: bool = False,
) -> rate_limits.LimitChange | None:
    notice = catalog.EndpointNotice(request_limit=figure)
    return limits.record_answer(
        _ENDPOINT, 1, notice, is_check, _after(seconds)
    )


def _figure(limits: rate_limits.RequestLimits) -> float | None:
    limit = limits.find(_ENDPOINT, 1)
    return None if limit is None else limit.requests_per_second


class TestAnswers:
    def test_only_a_new_figure_is_a_change(self) -> None:
        limits = rate_limits.RequestLimits()
        first = _name(limits, 8.1)
        assert first is not None and first.before is None
        assert _name(limits, 8.1, 1.0) is None
        second = _name(limits, 40.0, 2.0)
        assert second is not None and second.before == 8.1
        assert _figure(limits) == 40.0

    def test_answer_without_a_limit_ends_it(self) -> None:
        limits = rate_limits.RequestLimits()
        _name(limits, 8.1)
        change = limits.record_answer(
            _ENDPOINT, 1, _NO_LIMIT, False, _after(1.0)
        )
        assert change is not None and change.requests_per_second is None
        assert _figure(limits) is None

    def test_late_answer_from_before_the_limit_does_not_end_it(self) -> None:
        limits = rate_limits.RequestLimits()
        _name(limits, 8.1)
        limits.record_answer(_ENDPOINT, 1, _NO_LIMIT, False, _after(0.2))
        assert _figure(limits) == 8.1

    @pytest.mark.parametrize("named_by_checks", [False, True])
    def test_check_ends_only_what_checks_have_named(
        self, named_by_checks: bool
    ) -> None:
        limits = rate_limits.RequestLimits()
        _name(limits, 8.1, is_check=named_by_checks)
        limits.record_answer(_ENDPOINT, 1, _NO_LIMIT, True, _after(1.0))
        assert _figure(limits) == (None if named_by_checks else 8.1)

    def test_malformed_limit_changes_nothing(self) -> None:
        limits = rate_limits.RequestLimits()
        malformed = catalog.EndpointNotice(malformed_request_limit="nan")
        limits.record_answer(_ENDPOINT, 1, malformed, False, _START)
        assert _figure(limits) is None
        _name(limits, 8.1)
        limits.record_answer(_ENDPOINT, 1, malformed, False, _after(1.0))
        assert _figure(limits) == 8.1

    def test_another_incarnation_has_named_nothing(self) -> None:
        limits = rate_limits.RequestLimits()
        _name(limits, 8.1)
        assert limits.find(_ENDPOINT, 2) is None


class TestOtherVms:
    def test_ask_does_not_revive_a_limit_that_has_just_ended(self) -> None:
        limits = rate_limits.RequestLimits()
        limits.merge(_ENDPOINT, 1, 8.1, _START)
        limits.merge(_ENDPOINT, 1, None, _after(1.0))
        limits.adopt(_ENDPOINT, 1, 8.1, _after(1.1))
        assert _figure(limits) is None
        limits.adopt(_ENDPOINT, 1, 8.1, _after(9.0))
        assert _figure(limits) == 8.1

    def test_number_of_limits_is_bounded(self) -> None:
        limits = rate_limits.RequestLimits()
        for number in range(5000):
            endpoint_id = model.EndpointId(f"e{number}")
            limits.merge(endpoint_id, 1, 1.0, _after(number))
        assert len(limits) == 4096
        assert limits.find(model.EndpointId("e4999"), 1) is not None
