"""Tests of engines that fall silent, and go on or do not.

Silence proves no death: a sound engine may be silent for a second or more.
"""

import pytest

from sedgepin import _admission as admission
from sedgepin._entry import _failures as failures
from sedgepin import _model as model
from sedgepin.tests import fake_engine
from sedgepin.tests import fakes
from sedgepin.tests import simulation

_TOKENS = 60
_EXPECTED_TEXTS = [
    fake_engine.token_text("prompt", position) for position in range(_TOKENS)
]


class _SilentRun:
    """A request whose first engines fall silent in turn, after some tokens."""

    def __init__(self, replicas: int) -> None:
        self.system = simulation.Simulation(replicas=replicas)
        self.system.start_and_publish()
        self.caller = self.system.send_prompt("entry-1", "prompt", _TOKENS)
        reducer = self.system.vms["entry-1"].reducer
        (self.answer,) = reducer._generation.open_answers.values()
        self.silenced: list[model.EndpointId] = []

    def silence(self, seconds: float, after_seconds: float = 0.2) -> None:
        """Pause the first engine, and run until its attempt is replaced."""
        attempt = self.answer.assembly.attempt
        self.pause(seconds, after_seconds)
        self.system.run_until(
            lambda: (
                self.caller.is_finished
                or self.answer.assembly.attempt > attempt
            )
        )

    def pause(self, seconds: float, after_seconds: float = 0.2) -> None:
        """Let the first engine fall silent after some time."""
        self.system.run(after_seconds)
        pipeline = self.answer.assembly.pipeline
        assert pipeline is not None
        endpoint = self.system.endpoints[pipeline.stages[0].endpoint_id]
        self.silenced.append(endpoint.name)
        endpoint.is_paused = True
        self.system.schedule(seconds, lambda: _go_on(endpoint))

    def finish(self) -> None:
        """Run until the caller has its answer or a failure."""
        self.system.run_until(lambda: self.caller.is_finished, 30.0)


def _go_on(endpoint: fakes.Endpoint) -> None:
    endpoint.is_paused = False


class TestQuarantine:
    @pytest.mark.parametrize("silence_seconds", [1.5, 2.0, 3.0])
    def test_request_on_engines_that_go_on_is_not_quarantined(
        self, silence_seconds: float
    ) -> None:
        run = _SilentRun(replicas=6)
        run.silence(silence_seconds)
        run.silence(silence_seconds)
        run.finish()
        assert run.caller.failure is None
        assert run.caller.texts == _EXPECTED_TEXTS
        assert len(set(run.silenced)) == 2

    def test_request_on_engines_silent_for_good_is_quarantined(self) -> None:
        run = _SilentRun(replicas=6)
        run.silence(60.0)
        run.silence(60.0)
        run.finish()
        assert isinstance(run.caller.failure, admission.RequestQuarantined)
        assert len(set(run.silenced)) == 2


class TestNextAttempt:
    @pytest.mark.parametrize("silence_seconds", [0.3, 1.0, 1.5, 2.0, 3.0])
    def test_answer_waits_for_the_only_engine(
        self, silence_seconds: float
    ) -> None:
        run = _SilentRun(replicas=1)
        run.silence(silence_seconds)
        run.finish()
        assert run.caller.failure is None
        assert run.caller.texts == _EXPECTED_TEXTS

    def test_answer_waits_for_the_only_engine_again(self) -> None:
        run = _SilentRun(replicas=1)
        for _ in range(3):
            run.silence(1.5, after_seconds=0.1)
        run.finish()
        assert run.caller.failure is None
        assert run.caller.texts == _EXPECTED_TEXTS

    def test_answer_waits_for_an_engine_until_its_deadline_only(self) -> None:
        run = _SilentRun(replicas=1)
        deadline = run.answer.deadline
        run.pause(60.0)
        run.system.run_until(lambda: run.caller.is_finished, 40.0)
        assert isinstance(run.caller.failure, failures.RequestTimedOut)
        assert run.system.now >= deadline

    def test_answer_returns_to_an_engine_that_went_on(self) -> None:
        run = _SilentRun(replicas=2)
        run.silence(1.5)
        run.silence(1.5)
        run.finish()
        assert run.caller.failure is None
        assert run.caller.texts == _EXPECTED_TEXTS
        assert len(set(run.silenced)) == 2

    def test_trial_runs_after_all_engines_of_its_vm_were_silent(self) -> None:
        """Engines that are silent before the first token lead to trials."""
        run = _SilentRun(replicas=12)
        for _ in range(7):
            run.silence(1.5, after_seconds=0.0)
        run.finish()
        assert run.caller.failure is None
        assert run.caller.texts == _EXPECTED_TEXTS
        assert len(set(run.silenced)) == 7
