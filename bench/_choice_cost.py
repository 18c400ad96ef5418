"""CPU time to choose a pipeline for a request, dispatch and finish it."""

import random
import time

from bench import _policies
from bench import _scenario
from sedgepin import _model as model

_ROUND_COUNT = 40
_REQUESTS_PER_ROUND = 20


def microseconds_per_request(
    scenario: _scenario.Scenario, policy: _policies.Policy, seed: int
) -> float:
    """Return the lowest mean of all rounds, in microseconds of CPU time.

    The lowest mean is least disturbed by other processes.  Every engine
    announces itself before each round, outside the measured time.
    """
    rng = random.Random(seed)
    return min(
        _measure_round(scenario, policy, rng, round_number)
        for round_number in range(_ROUND_COUNT)
    )


def _measure_round(
    scenario: _scenario.Scenario,
    policy: _policies.Policy,
    rng: random.Random,
    round_number: int,
) -> float:
    now = _scenario.START + _scenario.timedelta(0.5 * round_number)
    announcements = [
        _scenario.make_announcement(spec, round_number, rng.randrange(20), 0)
        for spec in scenario.engines
    ]
    for announcement in announcements:
        policy.observe(announcement, now)
    requests = [
        _scenario.make_request(
            scenario, model.RequestId(f"{round_number}-{index}"), 64, ()
        )
        for index in range(_REQUESTS_PER_ROUND)
    ]
    start = time.process_time()
    for request in requests:
        policy.choose(request, announcements, scenario.layer_count, now)
        policy.finish(request, scenario.generated_tokens, now)
    return (time.process_time() - start) / _REQUESTS_PER_ROUND * 1e6
