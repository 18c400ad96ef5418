"""Tests of which control VM sums the load of all entry VMs.

Seen on the grown fleet under high load: the control VM that summed lost its
power, sums of two others came by turns, and 146 requests went to an engine
with room for 62.
"""

import datetime

from sedgepin._gateway import _aggregator_selector
from sedgepin._gateway import _effects
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_ONE = model.VmId("control:1")
_TWO = model.VmId("control:2")
_BOTH = {_ONE, _TWO}


def _at(count: float) -> datetime.datetime:
    return parts.START + parts.milliseconds(count)


class TestChoice:
    def test_all_take_the_lowest(self) -> None:
        exchange = _aggregator_selector.LoadExchange()
        assert exchange.choose(_BOTH, _at(0)) == _ONE

    def test_nobody_is_chosen_without_connections(self) -> None:
        assert (
            _aggregator_selector.LoadExchange().choose(set(), _at(0)) is None
        )

    def test_the_next_takes_over_from_a_silent_one(self) -> None:
        exchange = _aggregator_selector.LoadExchange()
        for count in range(0, 1000, 200):
            exchange.choose(_BOTH, _at(count))
        assert exchange.choose(_BOTH, _at(1000)) == _TWO

    def test_one_that_sends_sums_is_kept(self) -> None:
        exchange = _aggregator_selector.LoadExchange()
        for count in range(0, 3000, 200):
            assert exchange.choose(_BOTH, _at(count)) == _ONE
            assert exchange.hear(_ONE, _at(count))

    def test_sums_of_others_do_not_count(self) -> None:
        exchange = _aggregator_selector.LoadExchange()
        exchange.choose(_BOTH, _at(0))
        assert not exchange.hear(_TWO, _at(0))

    def test_all_go_back_when_it_reconnects(self) -> None:
        exchange = _aggregator_selector.LoadExchange()
        exchange.choose(_BOTH, _at(0))
        assert exchange.choose(_BOTH, _at(700)) == _TWO
        exchange.reconnected(_ONE)
        assert exchange.choose(_BOTH, _at(800)) == _ONE

    def test_silent_one_is_tried_again_later(self) -> None:
        exchange = _aggregator_selector.LoadExchange()
        exchange.choose(_BOTH, _at(0))
        assert exchange.choose(_BOTH, _at(700)) == _TWO
        exchange.hear(_TWO, _at(5600))
        assert exchange.choose(_BOTH, _at(5800)) == _ONE


class TestReports:
    def test_sum_of_one_who_is_not_reported_to_is_passed_over(self) -> None:
        gateway = parts.Gateway()
        gateway.arrive("/draft/1")
        gateway.advance(200)
        stale = protocol.LoadSummed(
            (protocol.EndpointLoad(model.EndpointId("low"), 9, 900),)
        )
        other = protocol.PeerMessageReceived(_TWO, stale)
        gateway.handle(other)
        service = parts.configuration().services[0]
        low = model.EndpointId("low")
        assert gateway.reducer._state.fleet.fullness(service, low) < 0.1
        gateway.tell(stale)
        assert gateway.reducer._state.fleet.fullness(service, low) > 0.8

    def test_idle_entry_stays_in_the_exchange(self) -> None:
        gateway = parts.Gateway()
        found = 0
        for _step in range(20):
            found += any(
                isinstance(one, _effects.SendMessage)
                and isinstance(one.message, protocol.LoadReported)
                for one in gateway.advance(200)
            )
        assert found >= 4
