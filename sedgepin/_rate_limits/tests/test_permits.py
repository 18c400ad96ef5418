"""Tests of the permits that an entry VM asks for."""

import datetime
import random

from sedgepin import _model as model
from sedgepin import _rate_limits as rate_limits

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_ENDPOINT = model.EndpointId("e")
_VM = model.VmId("entry:1")
_NO_WAIT = datetime.timedelta()
_Permission = rate_limits.Permission


def _after(seconds: float) -> datetime.datetime:
    return _START + datetime.timedelta(seconds=seconds)


def _make(requests_per_second: float = 8.0) -> rate_limits.Permits:
    permits = rate_limits.Permits(_VM, random.Random(1))
    permits.limits.merge(_ENDPOINT, 1, requests_per_second, _START)
    return permits


def _obtain(
    permits: rate_limits.Permits, ask_id: int, seconds: float = 0.0
) -> rate_limits.Permission:
    return permits.obtain(ask_id, _ENDPOINT, 1, _NO_WAIT, 0, _after(seconds))


class TestAsking:
    def test_endpoint_without_a_limit_needs_no_permit(self) -> None:
        permits = rate_limits.Permits(_VM, random.Random(1))
        assert _obtain(permits, 1) is _Permission.GRANTED
        assert permits.take_asks() == []

    def test_each_request_is_asked_for_once(self) -> None:
        permits = _make()
        assert _obtain(permits, 1) is _Permission.ASKED
        (ask,) = permits.take_asks()
        assert ask.request.key == (_ENDPOINT, 1)
        assert permits.take_asks() == []

    def test_denied_endpoint_is_passed_over_until_it_is_free(self) -> None:
        permits = _make()
        _obtain(permits, 1)
        wait = datetime.timedelta(seconds=2)
        assert permits.record_answer(1, _ENDPOINT, 1, False, wait, _START)
        assert permits.free_at(_ENDPOINT, 1, _START) == _after(2)
        permits.tick(_after(2.5))
        assert permits.free_at(_ENDPOINT, 1, _after(2.5)) == _after(2.5)

    def test_answer_to_a_request_that_has_left_is_not_expected(self) -> None:
        permits = _make()
        _obtain(permits, 1)
        permits.cancel(1)
        assert not permits.record_answer(
            1, _ENDPOINT, 1, True, _NO_WAIT, _START
        )


class TestWithoutAnswers:
    def test_an_equal_share_is_sent(self) -> None:
        permits = _make(8.0)
        permits.entry_count = 4
        _obtain(permits, 1)
        assert permits.tick(_after(1)) == [1]
        granted = sum(
            _obtain(permits, number, 1 + number / 20) is _Permission.GRANTED
            for number in range(2, 202)
        )
        # 10 s at 8 a second over 4 VMs, less what the schedule stays below.
        assert 17 <= granted <= 20

    def test_shares_of_endpoints_that_are_gone_are_dropped(self) -> None:
        permits = _make()
        permits.lose_contact()
        for number in range(100):
            name = model.EndpointId(f"e{number}")
            permits.limits.merge(name, 1, 8.0, _START)
            permits.free_at(name, 1, _START)
            permits.limits.remove_ended(name, 1)
        permits.tick(_START)
        assert len(permits._own_shares) <= 1

    def test_an_answer_ends_it(self) -> None:
        permits = _make()
        permits.lose_contact()
        assert _obtain(permits, 1) is _Permission.DENIED
        permits.tick(_START)
        (probe,) = permits.take_asks()
        permits.record_answer(
            probe.request.ask_id, _ENDPOINT, 1, True, _NO_WAIT, _after(0.1)
        )
        assert _obtain(permits, 2, 0.2) is _Permission.ASKED
