"""Tests of an entry VM that has lost its own paths to all endpoints.

Callers, control VMs and other entry VMs still reach it, and these have paths
to the same endpoints.  A cut VM that takes its own loss for failures of the
endpoints refuses all of its callers, and tells the others not to use them.
"""

import collections.abc

import pytest

from sedgepin import _entry as entry
from sedgepin._entry import _failures
from sedgepin.tests import fakes
from sedgepin.tests import simulation

_CUT = "entry-1"
_Send = collections.abc.Callable[[simulation.Simulation], fakes.Caller]


def _cut_off(system: simulation.Simulation, name: str = _CUT) -> None:
    for endpoint in system.endpoints:
        system.block_messages(name, endpoint)


def _started(seed: int = 1) -> simulation.Simulation:
    system = simulation.Simulation(entries=6, seed=seed)
    system.start_and_publish()
    return system


def _finish(
    system: simulation.Simulation, callers: list[fakes.Caller]
) -> None:
    system.run_until(lambda: all(caller.is_finished for caller in callers))


def _send_prompt(system: simulation.Simulation) -> fakes.Caller:
    return system.send_prompt(_CUT, "prompt", 10)


def _send_call(system: simulation.Simulation) -> fakes.Caller:
    return system.call_ledger(_CUT, "read", "GET")


def _send_write(system: simulation.Simulation) -> fakes.Caller:
    return system.call_ledger(_CUT, f"write-{system.now}")


class TestServiceCalls:
    @pytest.mark.parametrize("send", [_send_call, _send_write])
    def test_calls_at_a_cut_vm_are_answered(self, send: _Send) -> None:
        system = _started()
        _cut_off(system)
        callers = []
        for _ in range(20):
            callers.append(send(system))
            system.run(0.1)
        _finish(system, callers)
        failures = [caller.failure for caller in callers if caller.failure]
        assert failures == []

    def test_writes_at_a_cut_vm_run_once(self) -> None:
        system = _started()
        _cut_off(system)
        callers = []
        for number in range(10):
            callers.append(system.call_ledger(_CUT, f"key-{number}"))
            system.run(0.1)
        _finish(system, callers)
        counts = [
            system.execution_counts[f"key-{number}"] for number in range(10)
        ]
        assert counts == [1] * 10


class TestCompletions:
    def test_completions_at_a_cut_vm_are_answered(self) -> None:
        system = _started()
        _cut_off(system)
        callers = []
        for _ in range(20):
            callers.append(_send_prompt(system))
            system.run(0.1)
        _finish(system, callers)
        failures = [caller.failure for caller in callers if caller.failure]
        assert failures == []


class TestStreamsInProgress:
    def test_streams_that_a_cut_breaks_go_on_and_nobody_is_blamed(
        self,
    ) -> None:
        system = _started()
        callers = [
            system.send_prompt(_CUT, f"prompt {number}", 40)
            for number in range(4)
        ]
        system.run(0.3)
        _cut_off(system)
        reducer = system.vms[_CUT].reducer
        streams = [
            (answer.request.request_id, answer.assembly)
            for answer in reducer._generation.open_answers.values()
        ]
        assert len(streams) == len(callers)
        for request_id, assembly in streams:
            attempt = assembly.attempt
            system.vms[_CUT].cancelled.add((request_id, attempt))
            broken = entry.StreamFailed(
                request_id,
                attempt,
                assembly.pipeline.stages[0].endpoint_id,
                _failures.EndpointFailed("ReadError"),
                crashed=True,
            )
            system.submit(_CUT, broken)
        _finish(system, callers)
        assert [caller.failure for caller in callers] == [None] * 4
        directory = reducer._context.gossip.endpoints
        for endpoint_id in system.endpoints:
            assert not directory.is_suspected(endpoint_id, system.now)


class TestOtherVms:
    def test_others_do_not_suspect_endpoints_that_a_cut_vm_lost(self) -> None:
        system = _started()
        _cut_off(system)
        callers = []
        for _ in range(10):
            callers += [_send_prompt(system), _send_call(system)]
            system.run(0.1)
            for name in ("entry-2", "entry-4"):
                context = system.vms[name].reducer._context
                for endpoint_id in system.endpoints:
                    assert not context.gossip.endpoints.is_suspected(
                        endpoint_id, system.now
                    )
        _finish(system, callers)
