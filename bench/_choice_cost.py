"""Processor time of one choice, dispatch and end of a request."""

import random
import time

from bench import _policies
from bench import _scenario
from sedgepin import _model as model

_ROUNDS = 40
_CHOICES = 20


def microseconds_per_request(
    scenario: _scenario.Scenario, policy: _policies.Policy, seed: int
) -> float:
    """Return the least mean over some rounds, the one least disturbed.

    Each request is chosen for, dispatched and ended; every engine announces
    itself before each round.
    """
    rng = random.Random(seed)
    return min(
        _round(scenario, policy, rng, number) for number in range(_ROUNDS)
    )


def _round(
    scenario: _scenario.Scenario,
    policy: _policies.Policy,
    rng: random.Random,
    number: int,
) -> float:
    now = _scenario.START + _scenario.timedelta(0.5 * number)
    announced = [
        _scenario.announcement(spec, number, rng.randrange(20), 0)
        for spec in scenario.engines
    ]
    for one in announced:
        policy.observe(one, now)
    works = [
        _scenario.work(scenario, model.RequestId(f"{number}-{index}"), 64, ())
        for index in range(_CHOICES)
    ]
    started = time.process_time()
    for work in works:
        policy.choose(work, announced, scenario.layer_count, now)
        policy.leave(work, scenario.generated_tokens, now)
    return (time.process_time() - started) / _CHOICES * 1e6
