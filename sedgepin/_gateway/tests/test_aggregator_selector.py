"""Tests of the selection of the control VM that aggregates the load.

Under high load, the aggregator's VM lost power, and the entry VMs received
aggregates of two other control VMs alternately.  Since each covered only a
part of the load, 146 requests went to an engine with capacity for 62.
"""

import datetime

from sedgepin._gateway import _aggregator_selector
from sedgepin._gateway import _effects
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_CONTROL_1 = model.VmId("control:1")
_CONTROL_2 = model.VmId("control:2")
_BOTH = {_CONTROL_1, _CONTROL_2}


def _at(milliseconds: float) -> datetime.datetime:
    return parts.START + parts.milliseconds(milliseconds)


class TestAggregatorSelector:
    def test_connected_vm_with_lowest_id_is_selected(self) -> None:
        selector = _aggregator_selector.AggregatorSelector()
        assert selector.select(_BOTH, _at(0)) == _CONTROL_1

    def test_none_is_selected_without_connections(self) -> None:
        assert (
            _aggregator_selector.AggregatorSelector().select(set(), _at(0))
            is None
        )

    def test_next_vm_is_selected_when_aggregates_stop(self) -> None:
        selector = _aggregator_selector.AggregatorSelector()
        for milliseconds in range(0, 1000, 200):
            selector.select(_BOTH, _at(milliseconds))
        assert selector.select(_BOTH, _at(1000)) == _CONTROL_2

    def test_vm_that_sends_aggregates_stays_selected(self) -> None:
        selector = _aggregator_selector.AggregatorSelector()
        for milliseconds in range(0, 3000, 200):
            assert selector.select(_BOTH, _at(milliseconds)) == _CONTROL_1
            assert selector.record_aggregate(_CONTROL_1, _at(milliseconds))

    def test_aggregates_of_other_vms_are_ignored(self) -> None:
        selector = _aggregator_selector.AggregatorSelector()
        selector.select(_BOTH, _at(0))
        assert not selector.record_aggregate(_CONTROL_2, _at(0))

    def test_lowest_id_is_selected_again_after_reconnecting(self) -> None:
        selector = _aggregator_selector.AggregatorSelector()
        selector.select(_BOTH, _at(0))
        assert selector.select(_BOTH, _at(700)) == _CONTROL_2
        selector.record_reconnect(_CONTROL_1)
        assert selector.select(_BOTH, _at(800)) == _CONTROL_1

    def test_unresponsive_vm_is_selected_again_after_5_s(self) -> None:
        selector = _aggregator_selector.AggregatorSelector()
        selector.select(_BOTH, _at(0))
        assert selector.select(_BOTH, _at(700)) == _CONTROL_2
        selector.record_aggregate(_CONTROL_2, _at(5600))
        assert selector.select(_BOTH, _at(5800)) == _CONTROL_1


class TestLoadReports:
    def test_aggregate_of_vm_that_is_not_selected_is_ignored(self) -> None:
        gateway = parts.Gateway()
        gateway.send_request("/draft/1")
        gateway.advance(200)
        stale = protocol.LoadSummed(
            (protocol.EndpointLoad(model.EndpointId("low"), 9, 900),)
        )
        received = protocol.PeerMessageReceived(_CONTROL_2, stale)
        gateway.handle(received)
        service = parts.make_configuration().services[0]
        low = model.EndpointId("low")
        assert (
            gateway.reducer._state.fleet.cache_utilization(service, low) < 0.1
        )
        gateway.receive(stale)
        assert (
            gateway.reducer._state.fleet.cache_utilization(service, low) > 0.8
        )

    def test_idle_entry_vm_reports_its_load(self) -> None:
        gateway = parts.Gateway()
        report_count = 0
        for _step in range(20):
            report_count += any(
                isinstance(effect, _effects.SendMessage)
                and isinstance(effect.message, protocol.LoadReported)
                for effect in gateway.advance(200)
            )
        assert report_count >= 4
