"""Tests of repeatable calls to plain services whose endpoints are silent.

A call that is sent again after its deadline is lost work at best: the client
of endpoints accepts no negative timeout, and the entry VM would end.
"""

import datetime
import typing

import pytest

from sedgepin import _entry as entry
from sedgepin._entry import _failures
from sedgepin.tests import simulation

_MILLISECOND = datetime.timedelta(milliseconds=1)


def _start_call(
    system: simulation.Simulation,
) -> typing.Any:
    """Send a call, and return it with its state."""
    system.call_ledger("entry-1", "key", "GET")
    reducer = system.vms["entry-1"].reducer
    return list(reducer._calls._open_calls.values())[-1]


def _sent_calls(
    effects: list[entry.EntryEffect],
) -> list[entry.EntryEffect]:
    return [item for item in effects if isinstance(item, entry.CallService)]


class TestDeadline:
    """The timer has not fired yet when what is late arrives."""

    @pytest.fixture
    def system(self) -> simulation.Simulation:
        system = simulation.Simulation()
        system.add_endpoint("ledger-2", "beja", None)
        system.start_and_publish()
        for name in ("ledger", "ledger-2"):
            system.endpoints[name].is_silent = True
        return system

    def test_silent_endpoint_is_not_replaced_after_the_deadline(
        self, system: simulation.Simulation
    ) -> None:
        call = _start_call(system)
        system.run((call.deadline - system.now - _MILLISECOND).total_seconds())
        too_slow = _failures.EndpointTooSlow()
        failed = entry.ServiceFailed(
            call.request.request_id, call.attempt, too_slow, True
        )
        reducer = system.vms["entry-1"].reducer
        effects = reducer.handle(failed, call.deadline + _MILLISECOND)
        assert not _sent_calls(effects)
        assert entry.RefuseCaller(call.request.request_id, too_slow) in effects

    def test_queued_call_is_not_sent_after_its_deadline(
        self, system: simulation.Simulation
    ) -> None:
        reducer = system.vms["entry-1"].reducer
        controller = reducer._admission_controllers.calls
        controller.set_capacity(1, 1000.0, system.now)
        running = _start_call(system)
        queued = _start_call(system)
        system.run(
            (queued.deadline - system.now - _MILLISECOND).total_seconds()
        )
        assert (running.attempt, queued.attempt) == (1, 0)
        answered = entry.ServiceAnswered(
            running.request.request_id, running.attempt, 200, (), b""
        )
        effects = reducer.handle(answered, queued.deadline + _MILLISECOND)
        assert not _sent_calls(effects)
        refused = [
            item
            for item in effects
            if isinstance(item, entry.RefuseCaller)
            and item.request_id == queued.request.request_id
        ]
        assert len(refused) == 1
