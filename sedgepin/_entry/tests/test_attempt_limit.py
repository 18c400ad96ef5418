"""Tests of the limit of the attempts at one answer.

A way by which work moves and that checks no limit lets one request occupy
engine after engine.
"""

from sedgepin import _answers as answers
from sedgepin import _entry as entry
from sedgepin._entry import _failures
from sedgepin._entry import _open_answer
from sedgepin import _model as model
from sedgepin.tests import fakes
from sedgepin.tests import simulation

# A trial may use only the engines that belong to its entry VM, a third.
_REPLICAS = 40
# Shorter than an attempt takes to reach its engines.
_STEP_SECONDS = 0.0009


def _start_answer(
    tokens: int,
) -> tuple[simulation.Simulation, fakes.Caller, _open_answer.OpenAnswer]:
    system = simulation.Simulation(replicas=_REPLICAS)
    system.start_and_publish()
    caller = system.send_prompt("entry-1", "prompt", tokens)
    reducer = system.vms["entry-1"].reducer
    (answer,) = reducer._generation.open_answers.values()
    return system, caller, answer


def _first_engine(answer: _open_answer.OpenAnswer) -> model.EndpointId:
    pipeline = answer.assembly.pipeline
    assert pipeline is not None
    return pipeline.stages[0].endpoint_id


class TestAttemptLimit:
    def test_engines_silent_in_turn_get_no_more_than_the_limit(self) -> None:
        """Each engine falls silent on its attempt, and then goes on."""
        system, caller, answer = _start_answer(20)
        while not caller.is_finished:
            for endpoint in system.endpoints.values():
                endpoint.is_paused = endpoint.name == _first_engine(answer)
            system.run(_STEP_SECONDS)
        assert answer.assembly.attempt == answers.MAX_ATTEMPTS
        assert isinstance(caller.failure, answers.AttemptsExhausted)

    def test_busy_engines_get_no_more_than_the_limit(self) -> None:
        system, caller, answer = _start_answer(20)
        retries = system.vms["entry-1"].reducer._context.retries
        for _ in range(200):
            retries.record_success(model.ServiceName("assistant"), system.now)
        while not caller.is_finished:
            refused = entry.StreamFailed(
                answer.request.request_id,
                answer.assembly.attempt,
                _first_engine(answer),
                _failures.EndpointBusy(),
                False,
            )
            system.submit("entry-1", refused)
        assert answer.assembly.attempt == answers.MAX_ATTEMPTS
