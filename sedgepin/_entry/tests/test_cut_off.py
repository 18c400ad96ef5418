"""Tests of an entry VM that has lost its own paths to all endpoints.

Callers, control VMs and other entry VMs still reach it, and these have paths
to the same endpoints.  A cut VM that takes its own loss for failures of the
endpoints refuses all of its callers, and tells the others not to use them.
"""

import collections.abc
import random

import pytest

from sedgepin import _entry as entry
from sedgepin._entry import _failures
from sedgepin import _forwarding as forwarding
from sedgepin import _model as model
from sedgepin import errors
from sedgepin.tests import fakes
from sedgepin.tests import simulation

_CUT = "entry-1"
# Failures of requests that other VMs have endpoints for.
_LOST_PATH_CODES = {
    "answer_interrupted",
    "endpoint_not_reached",
    "no_pipeline",
}
_Send = collections.abc.Callable[[simulation.Simulation], fakes.Caller]


def _cut_off(system: simulation.Simulation, name: str = _CUT) -> None:
    for endpoint in system.endpoints:
        system.block_messages(name, endpoint)


def _started(seed: int = 1, replicas: int = 2) -> simulation.Simulation:
    system = simulation.Simulation(entries=6, replicas=replicas, seed=seed)
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

    @pytest.mark.parametrize("send", [_send_call, _send_write])
    def test_one_vm_that_is_not_cut_off_carries_the_calls_of_others(
        self, send: _Send
    ) -> None:
        system = _started()
        for number in range(1, 6):
            _cut_off(system, f"entry-{number}")
        callers = []
        for _ in range(10):
            callers.append(send(system))
            system.run(0.1)
        _finish(system, callers)
        assert [caller.failure for caller in callers] == [None] * 10

    def test_calls_go_directly_after_the_cut(self) -> None:
        system = _started()
        _cut_off(system)
        caller = _send_call(system)
        system.run(1.0)
        assert caller.is_finished
        links = system.vms[_CUT].reducer._context.paths._links
        assert links.has_failures
        system.unblock_all()
        system.run(1.0)
        assert not links.has_failures

    @pytest.mark.parametrize("send", [_send_call, _send_write])
    def test_calls_are_refused_as_not_run_if_all_vms_are_cut_off(
        self, send: _Send
    ) -> None:
        system = _started()
        for number in range(1, 7):
            _cut_off(system, f"entry-{number}")
        caller = send(system)
        system.run(1.0)
        assert caller.failure is not None
        assert caller.failure.outcome is errors.Outcome.NOT_RUN
        assert not system.execution_counts

    def test_endpoint_that_nobody_reaches_is_suspected_at_once(self) -> None:
        system = _started()
        system.endpoints["ledger"].is_alive = False
        sent_at = system.now
        caller = _send_call(system)
        system.run_until(lambda: caller.is_finished)
        assert system.now - sent_at < fakes.seconds(0.1)
        directory = system.vms[_CUT].reducer._context.gossip.endpoints
        ledger = system.endpoints["ledger"].name
        assert directory.is_suspected(ledger, system.now)


class TestForwardingVm:
    def test_vm_that_is_cut_off_or_stops_does_not_offer_itself(self) -> None:
        system = _started()
        for number in range(2, 6):
            _cut_off(system, f"entry-{number}")
        for number in range(2, 6):
            system.call_ledger(f"entry-{number}", "read", "GET")
        system.run(1.0)
        system.submit("entry-6", entry.DrainRequested())
        _cut_off(system)
        system.run(4.0)
        caller = _send_call(system)
        system.run(0.5)
        links = system.vms[_CUT].reducer._context.paths._links
        assert not links.has_forwarder(system.now)
        assert caller.failure is not None

    def test_only_known_endpoints_get_requests_of_others(self) -> None:
        system = _started()
        reducer = system.vms["entry-2"].reducer
        for endpoint_id, address, is_known in (
            ("ledger", "127.0.0.1:1", True),
            ("ledger", "127.0.0.1:2", False),
            ("other", "127.0.0.1:1", False),
        ):
            opening = forwarding.OpenForward(
                "", model.EndpointId(endpoint_id), None, address
            )
            assert reducer.knows_endpoint(opening) is is_known

    def test_endpoint_that_forwarders_do_not_know_is_not_blamed(self) -> None:
        system = _started()
        _cut_off(system)
        ledger = system.endpoints["ledger"].name
        for number in range(2, 7):
            context = system.vms[f"entry-{number}"].reducer._context
            context.gossip.endpoints._remove(ledger)
        caller = _send_call(system)
        system.run(0.05)
        assert caller.failure is not None
        _assert_nobody_is_blamed(system)


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

    def test_completions_fail_and_no_engine_is_blamed_if_all_are_cut_off(
        self,
    ) -> None:
        system = _started()
        for number in range(1, 7):
            _cut_off(system, f"entry-{number}")
        caller = _send_prompt(system)
        system.run(1.0)
        assert caller.failure is not None
        assert caller.texts == []
        _assert_nobody_is_blamed(system)


def _break_streams(system: simulation.Simulation) -> None:
    """End the streams of the cut VM, whose links carry nothing any more."""
    reducer = system.vms[_CUT].reducer
    streams = [
        (answer.request.request_id, answer.assembly)
        for answer in reducer._generation.open_answers.values()
    ]
    assert streams
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


def _assert_nobody_is_blamed(system: simulation.Simulation) -> None:
    directory = system.vms[_CUT].reducer._context.gossip.endpoints
    for endpoint_id in system.endpoints:
        assert not directory.is_suspected(endpoint_id, system.now)


class TestStreamsInProgress:
    @pytest.mark.parametrize("replicas", [1, 2])
    def test_streams_that_a_cut_breaks_go_on_and_nobody_is_blamed(
        self, replicas: int
    ) -> None:
        system = _started(replicas=replicas)
        callers = [
            system.send_prompt(_CUT, f"prompt {number}", 40)
            for number in range(4)
        ]
        system.run(0.3)
        _cut_off(system)
        _break_streams(system)
        _finish(system, callers)
        assert [caller.failure for caller in callers] == [None] * 4
        _assert_nobody_is_blamed(system)

    def test_streams_that_a_cut_of_all_vms_breaks_blame_nobody(self) -> None:
        system = _started()
        caller = system.send_prompt(_CUT, "prompt", 40)
        system.run(0.3)
        for number in range(1, 7):
            _cut_off(system, f"entry-{number}")
        _break_streams(system)
        _finish(system, [caller])
        assert caller.failure is not None
        assert caller.failure.outcome is not errors.Outcome.NOT_RUN
        _assert_nobody_is_blamed(system)

    def test_streams_go_on_when_their_forwarder_ends(self) -> None:
        system = _started()
        _cut_off(system)
        caller = system.send_prompt(_CUT, "prompt", 60)
        system.run(0.3)
        reducer = system.vms[_CUT].reducer
        (answer,) = reducer._generation.open_answers.values()
        assert answer.forwarder is not None
        assert 0 < len(caller.texts) < 60
        system.kill(answer.forwarder.vm_id)
        _break_streams(system)
        _finish(system, [caller])
        assert caller.failure is None
        _assert_nobody_is_blamed(system)

    def test_engine_that_ends_is_found_by_a_cut_vm(self) -> None:
        system = _started()
        _cut_off(system)
        caller = system.send_prompt(_CUT, "prompt", 60)
        system.run(0.3)
        reducer = system.vms[_CUT].reducer
        (answer,) = reducer._generation.open_answers.values()
        engine_id = answer.assembly.pipeline.stages[1].endpoint_id
        system.endpoints[engine_id].is_alive = False
        _finish(system, [caller])
        assert caller.failure is None
        directory = reducer._context.gossip.endpoints
        assert directory.is_suspected(engine_id, system.now)

    def test_closed_caller_ends_a_forwarded_stream(self) -> None:
        system = _started()
        _cut_off(system)
        system.send_prompt(_CUT, "prompt", 60)
        system.run(0.3)
        reducer = system.vms[_CUT].reducer
        (answer,) = reducer._generation.open_answers.values()
        request_id = answer.request.request_id
        system.submit(_CUT, entry.CallerDisconnected(request_id))
        key = (request_id, answer.assembly.attempt)
        assert key in system.vms[_CUT].cancelled
        assert reducer.is_idle


class TestSeveralCutVms:
    @pytest.mark.parametrize(
        ("seed", "cut"),
        [(6, (1, 2, 3)), (17, (3, 4, 5)), (19, (4, 5, 6)), (24, (1, 2, 3))],
    )
    def test_vms_cut_off_at_the_same_moment_do_not_mislead_each_other(
        self, seed: int, cut: tuple[int, ...]
    ) -> None:
        system = _started(seed)
        rng = random.Random(seed)
        callers = []
        for step in range(30):
            if step == 5:
                for number in cut:
                    _cut_off(system, f"entry-{number}")
            for number in range(1, 7):
                name, key = f"entry-{number}", f"{number}-{step}"
                kind = rng.random()
                if kind < 0.4:
                    tokens = rng.randint(5, 30)
                    callers.append(system.send_prompt(name, key, tokens))
                else:
                    method = "GET" if kind < 0.7 else "POST"
                    callers.append(system.call_ledger(name, key, method))
            system.run(0.1)
        _finish(system, callers)
        failures = [caller.failure for caller in callers if caller.failure]
        assert failures == []


class TestEndpointsThatFailBesideACut:
    """Sound VMs that miss an endpoint still forward for cut ones."""

    def _play(
        self, cut: tuple[int, ...], seed: int, lost_count: int
    ) -> tuple[list[fakes.Caller], list[fakes.Caller]]:
        """Return the callers at the VMs that are cut off, and the others."""
        system = _started(seed, replicas=3)
        rng = random.Random(seed)
        engines = sorted(name for name in system.endpoints if name != "ledger")
        for name in rng.sample(engines, lost_count):
            system.endpoints[name].is_alive = False
        for number in cut:
            _cut_off(system, f"entry-{number}")
        at_cut: list[fakes.Caller] = []
        at_others: list[fakes.Caller] = []
        for step in range(30):
            for number in range(1, 7):
                name, key = f"entry-{number}", f"{number}-{step}"
                callers = at_cut if number in cut else at_others
                if rng.random() < 0.5:
                    callers.append(system.send_prompt(name, key, 10))
                else:
                    callers.append(system.call_ledger(name, key))
            system.run(0.1)
        _finish(system, at_cut + at_others)
        return at_cut, at_others

    @pytest.mark.parametrize("seed", range(1, 9))
    @pytest.mark.parametrize("cut", [(1,), (1, 2, 3)])
    def test_their_callers_are_served(
        self, cut: tuple[int, ...], seed: int
    ) -> None:
        at_cut, at_others = self._play(cut, seed, 2)
        codes = {
            caller.failure.code
            for caller in at_cut + at_others
            if caller.failure is not None
        }
        assert not codes & _LOST_PATH_CODES
        assert _share(at_cut) >= 0.95 * _share(at_others)

    @pytest.mark.parametrize("seed", [1, 6])
    def test_one_vm_that_is_not_cut_off_goes_on_carrying_requests(
        self, seed: int
    ) -> None:
        at_cut, at_others = self._play((1, 2, 3, 4, 5), seed, 0)
        assert _share(at_others) == 1.0
        assert _share(at_cut) >= 0.95


def _share(callers: list[fakes.Caller]) -> float:
    """Return which share of the callers was served."""
    return sum(caller.failure is None for caller in callers) / len(callers)


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
