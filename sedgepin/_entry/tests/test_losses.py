"""Tests of what engines answer in place of a stream."""

import pytest

from sedgepin import _entry as entry
from sedgepin._entry import _failures
from sedgepin import errors
from sedgepin.tests import world


class TestEngineAnswers:
    """A refusal is final, a busy engine is passed over, a fault is told."""

    @pytest.mark.parametrize(
        ("failure", "code", "is_suspected"),
        [
            (_failures.EndpointRefused(400), "endpoint_refused", False),
            (_failures.EndpointBusy(), None, False),
            (_failures.EndpointFailed("it answered 500"), None, True),
        ],
    )
    def test_one_failure(
        self, failure: errors.Failure, code: str | None, is_suspected: bool
    ) -> None:
        system = world.World()
        system.settle()
        caller = system.ask("entry-1", "prompt", 20)
        reducer = system.vms["entry-1"].reducer
        (answer,) = reducer._generation.open.values()
        at_fault = answer.assembly.pipeline.stages[0].endpoint_id
        event = entry.StreamFailed(
            answer.request.request_id, 1, at_fault, failure, False
        )
        system.submit("entry-1", event)
        directory = reducer._around.gossip.endpoints
        suspected = directory.is_suspected(at_fault, system.now)
        assert suspected is is_suspected
        system.run_until(lambda: caller.is_over)
        told = None if caller.failure is None else caller.failure.code
        assert told == code
        assert (at_fault in answer.avoid) is (code is None)
