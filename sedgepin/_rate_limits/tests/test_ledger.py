"""Tests of the permits that are granted for all VMs together."""

import datetime
import random

import pytest

from sedgepin import _model as model
from sedgepin import _rate_limits as rate_limits

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_ENDPOINT = model.EndpointId("e")
_WINDOW_SECONDS = 4.0


def _seconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=count)


def _make_request(
    ask_id: int, wait: float = 0.0, priority: int = 0, vm: str = "entry:1"
) -> rate_limits.PermitRequest:
    return rate_limits.PermitRequest(
        model.VmId(vm), ask_id, _ENDPOINT, 1, _seconds(wait), priority
    )


def _make_ledger(
    requests_per_second: float,
) -> tuple[rate_limits.PermitLedger, rate_limits.RequestLimits]:
    limits = rate_limits.RequestLimits()
    limits.merge(_ENDPOINT, 1, requests_per_second, _START)
    return rate_limits.PermitLedger(limits), limits


def _granted(decisions: list[rate_limits.PermitDecision]) -> list[int]:
    return [item.request.ask_id for item in decisions if item.is_granted]


def _play(
    requests_per_second: float,
    asks_per_second: float,
    seconds: float,
    quiet: tuple[float, float] = (0.0, 0.0),
) -> list[float]:
    """Ask at random moments; return the seconds of the grants."""
    rng = random.Random(1)
    ledger, _ = _make_ledger(requests_per_second)
    grants: list[float] = []
    at, ask_id, ticked = 0.0, 0, 0.0
    while (at := at + rng.expovariate(asks_per_second)) < seconds:
        while ticked + 0.05 < at:
            ticked += 0.05
            decisions = ledger.tick(_START + _seconds(ticked))
            grants += [ticked] * len(_granted(decisions))
        if quiet[0] <= at < quiet[1]:
            continue
        ask_id += 1
        request = _make_request(ask_id, 0.4 if ask_id % 2 else 0.0)
        decisions = ledger.ask(request, _START + _seconds(at))
        grants += [at] * len(_granted(decisions))
    return grants


class TestGrants:
    @pytest.mark.parametrize(
        "requests_per_second", [0.3, 1.0, 3.7, 8.1, 40.0, 400.0]
    )
    def test_no_window_holds_more_than_the_limit(
        self, requests_per_second: float
    ) -> None:
        asks = max(20.0, 3 * requests_per_second)
        grants = _play(requests_per_second, asks, 30.0, (10.0, 15.0))
        # So many evenly spaced requests fit in a closed window.
        allowed = int(requests_per_second * _WINDOW_SECONDS) + 1
        for number, start in enumerate(grants):
            within = [at for at in grants[number:] if at < start + 4.0]
            assert len(within) <= allowed

    @pytest.mark.parametrize("requests_per_second", [1.0, 8.1, 40.0])
    def test_nine_tenths_are_used_while_requests_wait(
        self, requests_per_second: float
    ) -> None:
        grants = _play(requests_per_second, 4 * requests_per_second, 60.0)
        assert len(grants) >= 0.9 * requests_per_second * 60.0

    def test_limit_of_0_grants_nothing(self) -> None:
        assert _play(0.0, 20.0, 60.0) == []

    def test_urgent_requests_come_first(self) -> None:
        ledger, _ = _make_ledger(1.0)
        for ask_id, priority in ((1, 5), (2, 0), (3, 5), (4, -1)):
            assert ledger.ask(
                _make_request(ask_id, 9.0, priority), _START
            ) == ([])
        granted: list[int] = []
        for number in range(100):
            now = _START + _seconds(0.05 * number)
            granted += _granted(ledger.tick(now))
        assert granted == [4, 2, 1, 3]

    def test_wait_beyond_the_allowed_one_is_denied_at_once(self) -> None:
        ledger, _ = _make_ledger(1.0)
        assert ledger.ask(_make_request(1, 2.0), _START) == []
        (denied,) = ledger.ask(_make_request(2, 2.0), _START)
        assert not denied.is_granted
        assert _seconds(2.0) < denied.wait < _seconds(2.2)

    def test_returned_permit_goes_to_the_next(self) -> None:
        ledger, _ = _make_ledger(1.0)
        now = _START + _seconds(1.1)
        ledger.ask(_make_request(1), _START)
        (granted,) = ledger.ask(_make_request(2), now)
        assert granted.is_granted
        assert ledger.ask(_make_request(3, 2.0), now) == []
        assert _granted(ledger.put_back(_ENDPOINT, 1, now)) == [3]

    def test_figure_of_another_rate_is_heeded_at_once(self) -> None:
        ledger, limits = _make_ledger(40.0)
        now = _START + _seconds(10)
        ledger.ask(_make_request(1), now)
        limits.merge(_ENDPOINT, 1, 1.0, now)
        granted = [
            _granted(ledger.ask(_make_request(ask_id), now))
            for ask_id in range(2, 10)
        ]
        assert sum(map(len, granted)) <= 1

    def test_end_of_a_limit_frees_those_that_wait(self) -> None:
        ledger, limits = _make_ledger(1.0)
        ledger.ask(_make_request(1, 5.0), _START)
        limits.merge(_ENDPOINT, 1, None, _START)
        assert _granted(ledger.tick(_START)) == [1]

    def test_new_leader_saves_nothing_from_before(self) -> None:
        ledger, _ = _make_ledger(8.0)
        now = _START + _seconds(5)
        ledger.ask(_make_request(1), _START)
        ledger.clear()
        (denied,) = ledger.ask(_make_request(2), now)
        assert not denied.is_granted
