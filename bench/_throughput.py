"""Throughput relative to the hardware bound, compared with two baselines.

Independent entry VMs drive one simulated fleet at saturation: each keeps its
share of the requests in flight.  The bound is the maximum flow through the
layers (``_flow_bound``), which ignores links.
"""

import collections.abc
import dataclasses
import enum
import random
import statistics

from bench import _choice_cost
from bench import _engines
from bench import _figure
from bench import _flow_bound
from bench import _policies
from bench import _scenario
from sedgepin import _model as model
from sedgepin import _routing

SEEDS = (1, 2, 3, 4, 5)
DATA_CENTRES = ("beja", "jendouba", "bousalem")
_ENGINE_COUNT = 40
_CHOICE_ENGINE_COUNTS = (40, 217)
_LAYER_COUNT = 32
_LAYERS_PER_ENGINE = 8
_OVERLAPPING_WIDTHS = (6, 8, 10, 12, 16)
# In layer-tokens a second, one for each of six accelerator types.
_ACCELERATOR_RATES = (1500.0, 2000.0, 3000.0, 4500.0, 6000.0, 9000.0)
_UNIFORM_RATE = 4000.0
_LINK_SECONDS_WITHIN = 0.0001
_LINK_SECONDS_BETWEEN = 0.0005
_SLOW_LINK_FACTOR = 100
# Every fifth engine runs at half the speed that it announces.
_DEGRADED_ONE_IN = 5
# Duration of a request at the bound; with the bound, it sets the number of
# requests in flight.
_REQUEST_SECONDS = 14.0
# KV cache of an engine, relative to what it needs at its full rate.  Engines
# slower than the mean get the cache of an engine of mean speed.
_CACHE_HEADROOM = 2.0
_WARM_UP_SECONDS = 22.0
_MEASURED_SECONDS = 20.0
_LATENCY_LOAD = 0.7


class Mix(enum.Enum):
    """Variants of the measured fleet; values are printed and seed it."""

    UNIFORM = "uniform accelerators"
    MIXED = "6 kinds"
    SLOW_LINK = "6 kinds, one link 100x slower"
    OVERLAPPING = "6 kinds, overlapping ranges"
    DEGRADED = "6 kinds, a fifth at half their speed"
    SHARED_PREFIXES = "6 kinds, shared prefixes"


class PolicyName(enum.Enum):
    """The compared policies; values are printed and seed them."""

    ROUTER = "router"
    RANDOM = "random pipeline"
    LEAST_REPORTED = "least reported load"


@dataclasses.dataclass(slots=True, frozen=True)
class Fleet:
    """A scenario and its upper bound.

    ``bound`` is in tokens a second, prompt tokens included.
    """

    scenario: _scenario.Scenario
    bound: float


def fleet(mix: Mix, seed: int, engine_count: int = _ENGINE_COUNT) -> Fleet:
    """Return a random fleet of the given mix."""
    rng = random.Random(f"{mix.value} {seed}")
    ranges = _layer_ranges(mix, rng, engine_count)
    rates = [
        _UNIFORM_RATE
        if mix is Mix.UNIFORM
        else _ACCELERATOR_RATES[index % len(_ACCELERATOR_RATES)]
        for index in range(engine_count)
    ]
    rng.shuffle(rates)
    announced_rates = rates[:]
    if mix is Mix.DEGRADED:
        rates[::_DEGRADED_ONE_IN] = [
            rate / 2 for rate in rates[::_DEGRADED_ONE_IN]
        ]
    held_ranges = [
        _flow_bound.HeldRange(layers, rate)
        for layers, rate in zip(ranges, rates, strict=True)
    ]
    bound_tokens = _flow_bound.flow_bound(held_ranges, _LAYER_COUNT)
    mean_rate = statistics.mean(rates)
    specs = tuple(
        _scenario.EngineSpec(
            f"engine-{index}",
            DATA_CENTRES[index % len(DATA_CENTRES)],
            ranges[index],
            rates[index],
            announced_rates[index],
            _CACHE_HEADROOM * _REQUEST_SECONDS * max(mean_rate, rates[index]),
        )
        for index in range(engine_count)
    )
    scenario = _scenario.Scenario(
        specs,
        _LAYER_COUNT,
        _link_seconds(mix),
        outstanding_tokens=_REQUEST_SECONDS * bound_tokens,
        shared_prefixes=40 if mix is Mix.SHARED_PREFIXES else 0,
    )
    return Fleet(scenario, bound_tokens)


def _layer_ranges(
    mix: Mix, rng: random.Random, engine_count: int
) -> list[model.LayerRange]:
    even_ranges = [
        model.LayerRange(first, first + _LAYERS_PER_ENGINE)
        for first in range(0, _LAYER_COUNT, _LAYERS_PER_ENGINE)
    ]
    if mix is not Mix.OVERLAPPING:
        return [
            even_ranges[index // 3 % len(even_ranges)]
            for index in range(engine_count)
        ]
    ranges = even_ranges[:]
    while len(ranges) < engine_count:
        width = rng.choice(_OVERLAPPING_WIDTHS)
        # Ranges that reach past either end are shifted inside, so that outer
        # layers are held as often as inner ones.
        first = rng.randrange(2 - width, _LAYER_COUNT, 2)
        first = min(max(first, 0), _LAYER_COUNT - width)
        ranges.append(model.LayerRange(first, first + width))
    return ranges


def _link_seconds(mix: Mix) -> dict[tuple[str, str], float]:
    links = {}
    for source in DATA_CENTRES:
        for target in DATA_CENTRES:
            is_local = source == target
            links[source, target] = (
                _LINK_SECONDS_WITHIN if is_local else _LINK_SECONDS_BETWEEN
            )
    if mix is Mix.SLOW_LINK:
        slow = _SLOW_LINK_FACTOR * _LINK_SECONDS_BETWEEN
        links[DATA_CENTRES[0], DATA_CENTRES[1]] = slow
        links[DATA_CENTRES[1], DATA_CENTRES[0]] = slow
    return links


def policies(
    name: PolicyName, scenario: _scenario.Scenario, seed: int
) -> list[_policies.Policy]:
    """Return one policy for each entry VM of the scenario."""
    policies_by_entry: list[_policies.Policy] = []
    for entry in range(scenario.entries):
        rng = random.Random(f"{name.value} {seed} {entry}")
        if name is PolicyName.RANDOM:
            policies_by_entry.append(_policies.RandomPolicy(rng))
        elif name is PolicyName.LEAST_REPORTED:
            policies_by_entry.append(_policies.LeastReportedLoadPolicy(rng))
        else:
            policies_by_entry.append(_router_policy(scenario, entry, rng))
    return policies_by_entry


def _router_policy(
    scenario: _scenario.Scenario, entry: int, rng: random.Random
) -> _policies.Policy:
    settings = _routing.RoutingSettings(
        data_centre=model.DataCentreId(
            DATA_CENTRES[entry % len(DATA_CENTRES)]
        ),
        prefix_block_tokens=_policies.PREFIX_BLOCK_TOKENS,
    )
    router = _routing.Router(settings, rng)
    router.set_link_costs(
        _routing.LinkCost(
            model.DataCentreId(source),
            model.DataCentreId(target),
            _scenario.timedelta(seconds),
        )
        for (source, target), seconds in scenario.one_way_seconds.items()
        if source <= target
    )
    return _policies.RouterPolicy(router)


def throughput_over_bound(
    measured_fleet: Fleet,
    name: PolicyName,
    seed: int,
    warm_up_seconds: float = _WARM_UP_SECONDS,
    seconds: float = _MEASURED_SECONDS,
) -> float:
    """Return the token rate through all layers divided by the bound."""
    simulation = _engines.Simulation(
        measured_fleet.scenario,
        policies(name, measured_fleet.scenario, seed),
        random.Random(seed),
    )
    outcome = simulation.run(warm_up_seconds, seconds)
    return outcome.tokens_per_second / measured_fleet.bound


def first_token_seconds(mix: Mix, name: PolicyName, seed: int) -> float:
    """Return the 95th percentile of the time to the first token.

    Requests arrive at random, at 70% of the bound.
    """
    measured_fleet = fleet(mix, seed)
    simulation = _engines.Simulation(
        measured_fleet.scenario,
        policies(name, measured_fleet.scenario, seed),
        random.Random(seed),
        arrivals_per_second=_LATENCY_LOAD
        * measured_fleet.bound
        / measured_fleet.scenario.tokens_per_request,
    )
    outcome = simulation.run(_WARM_UP_SECONDS, _MEASURED_SECONDS)
    return statistics.quantiles(outcome.first_token_seconds, n=20)[-1]


def measure() -> list[_figure.Figure]:
    """Return throughput, first-token and routing-cost figures."""
    figures = []
    for mix in Mix:
        for name in PolicyName:
            shares = [
                throughput_over_bound(fleet(mix, seed), name, seed)
                for seed in SEEDS
            ]
            figures.append(
                _make_figure("throughput over bound", shares, "", mix, name)
            )
    for name in PolicyName:
        waits = [first_token_seconds(Mix.MIXED, name, seed) for seed in SEEDS]
        figures.append(
            _make_figure(
                "first token, 95th percentile, load 0.7",
                waits,
                "s",
                Mix.MIXED,
                name,
            )
        )
    return figures + _choice_figures()


def _choice_figures() -> list[_figure.Figure]:
    seed = SEEDS[0]
    figures = []
    for mix in (Mix.MIXED, Mix.OVERLAPPING):
        for engine_count in _CHOICE_ENGINE_COUNTS:
            scenario = fleet(mix, seed, engine_count).scenario
            policy = policies(PolicyName.ROUTER, scenario, seed)[0]
            value = _choice_cost.microseconds_per_request(
                scenario, policy, seed
            )
            figures.append(
                _figure.Figure(
                    f"choose, dispatch and end, {engine_count} engines",
                    value,
                    "us of one core",
                    mix.value,
                    "least mean of 40 rounds",
                )
            )
    return figures


def _make_figure(
    title: str,
    values: collections.abc.Sequence[float],
    unit: str,
    mix: Mix,
    name: PolicyName,
) -> _figure.Figure:
    return _figure.Figure(
        name=f"{title}: {name.value}",
        value=statistics.mean(values),
        unit=unit or "ratio",
        setting=mix.value,
        spread=f"{min(values):.3f} to {max(values):.3f}, {len(values)} seeds",
    )
