"""Tests of the handling of engines' answers that start no stream.

If a refusal counted as an engine failure, a healthy engine would be taken out
of use, and the request would be repeated on other engines and refused there.
"""

import pytest

from sedgepin import _entry as entry
from sedgepin._entry import _failures
from sedgepin import errors
from sedgepin.tests import simulation


class TestStreamFailed:
    """A refusal is final; busy and failed engines are replaced.

    Only a failed engine is suspected.
    """

    @pytest.mark.parametrize(
        ("failure", "code", "is_suspected"),
        [
            (_failures.EndpointRefused(400), "endpoint_refused", False),
            (_failures.EndpointBusy(), None, False),
            (_failures.EndpointFailed("the engine answered 500"), None, True),
        ],
    )
    def test_failure_ends_the_request_or_avoids_the_engine(
        self, failure: errors.Failure, code: str | None, is_suspected: bool
    ) -> None:
        system = simulation.Simulation()
        system.start_and_publish()
        caller = system.send_prompt("entry-1", "prompt", 20)
        reducer = system.vms["entry-1"].reducer
        (answer,) = reducer._generation.open_answers.values()
        faulty_id = answer.assembly.pipeline.stages[0].endpoint_id
        event = entry.StreamFailed(
            answer.request.request_id, 1, faulty_id, failure, False
        )
        system.submit("entry-1", event)
        directory = reducer._context.gossip.endpoints
        suspected = directory.is_suspected(faulty_id, system.now)
        assert suspected is is_suspected
        system.run_until(lambda: caller.is_finished)
        final_code = None if caller.failure is None else caller.failure.code
        assert final_code == code
        assert (faulty_id in answer.excluded_endpoints) is (code is None)
