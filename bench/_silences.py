"""What silences of sound engines cost callers, by the fleet's size.

Gateways and registrars are the real reducers; see
``sedgepin.tests.silence_day`` for the day that is played.
"""

import collections.abc
import dataclasses
import itertools
import statistics

from bench import _figure as figure
from sedgepin.tests import silence_day
from sedgepin.tests import silence_plan

_SEEDS = (1, 2)
_SIZES = (7, 85, 195)
_MAX_ATTEMPTS = (1, 2)
_ENTRIES_PER_CONTROL = 40
# As callers leave a stream.
_PATIENCE_SECONDS = 2.0


def _make_plan(
    entry_count: int, max_attempts: int, seed: int
) -> silence_plan.Plan:
    control_count = max(3, min(18, entry_count // _ENTRIES_PER_CONTROL + 1))
    return silence_plan.Plan(
        entry_count=entry_count,
        control_count=control_count,
        data_centre_count=min(6, control_count),
        engine_pairs=12 if entry_count < 50 else 36,
        per_second=60.0 if entry_count < 50 else 120.0,
        max_attempts=max_attempts,
        patience_seconds=_PATIENCE_SECONDS,
        seed=seed,
    )


def _play_days(
    entry_count: int, max_attempts: int
) -> collections.abc.Iterator[tuple[str, list[silence_plan.DayRecord]]]:
    """Play the first engines' silences, and a rack's beside crashes."""
    for name in ("first engines in turn", "rack and crashes"):
        records: list[silence_plan.DayRecord] = []
        for seed in _SEEDS:
            plan = _make_plan(entry_count, max_attempts, seed)
            if name == "rack and crashes":
                plan = dataclasses.replace(
                    plan,
                    silences=silence_plan.rack(plan),
                    crashes=silence_plan.crashes_beside(plan),
                )
            else:
                silences = silence_plan.first_engines_in_turn(plan)
                plan = dataclasses.replace(plan, silences=silences)
            day = silence_day.SilenceDay(plan)
            day.play()
            records.append(day.record)
        yield name, records


def _measure_days(
    records: list[silence_plan.DayRecord], setting: str
) -> collections.abc.Iterator[figure.Figure]:
    def make(
        name: str,
        unit: str,
        value: collections.abc.Callable[[silence_plan.DayRecord], float],
    ) -> figure.Figure:
        values = [value(record) for record in records]
        return figure.Figure(
            name,
            statistics.median(values),
            unit,
            setting,
            f"{min(values):.4g} to {max(values):.4g}",
        )

    yield make("requests", "requests", lambda record: len(record.attempts))
    yield make(
        "on_too_many_engines",
        "requests",
        lambda record: len(record.on_too_many()),
    )
    yield make(
        "most_engines_of_a_request",
        "engines",
        lambda record: max(map(record.engine_count, record.attempts)),
    )
    yield make("run_twice", "requests", lambda record: len(record.run_twice()))
    yield make(
        "not_answered_once",
        "requests",
        lambda record: len(record.not_answered_once()),
    )
    yield make(
        "first_tries_served",
        "ratio",
        lambda record: record.served_share(),
    )
    yield make(
        "first_output_95th",
        "s",
        lambda record: statistics.quantiles(record.seconds_to_output(), n=20)[
            -1
        ],
    )
    if any(record.found_after for record in records):
        yield make(
            "crash_found_median",
            "s",
            lambda record: statistics.median(record.found_after),
        )
        yield make(
            "crash_found_last", "s", lambda record: max(record.found_after)
        )


def measure() -> list[figure.Figure]:
    """Return the figures for each size and limit of attempts."""
    figures: list[figure.Figure] = []
    for entry_count, max_attempts in itertools.product(_SIZES, _MAX_ATTEMPTS):
        for name, records in _play_days(entry_count, max_attempts):
            setting = f"{entry_count} VMs, {max_attempts} attempts, {name}"
            figures += _measure_days(records, setting)
    return figures
