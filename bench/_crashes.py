"""What one part of a prompt that crashes engines costs, by the fleet's size.

Gateways and registrars are the real reducers; see ``sedgepin.tests.crash_day``
for the day that is played.
"""

import collections.abc
import datetime
import itertools
import statistics
import tracemalloc

import msgspec

from bench import _figure as figure
from sedgepin import _crash_causes as crash_causes
from sedgepin import _model as model
from sedgepin.tests import crash_day
from sedgepin.tests import crash_plan

_SEEDS = (1, 2)
_SIZES = (7, 85, 195)
_ENTRIES_PER_CONTROL = 40
# More than a VM keeps of each.
_FLOOD_PARTS = 4096
_FLOOD_CRASHES = 16


def _make_plan(
    entry_count: int, rack_lost_at: float | None, seed: int
) -> crash_plan.Plan:
    control_count = max(3, min(18, entry_count // _ENTRIES_PER_CONTROL + 1))
    return crash_plan.Plan(
        entry_count=entry_count,
        control_count=control_count,
        data_centre_count=min(6, control_count),
        engine_pairs=12 if entry_count < 50 else 36,
        seconds=16.0,
        sound_per_second=40.0 if entry_count < 50 else 80.0,
        crashing_from=3.0,
        crashing_until=14.0,
        rack_lost_at=rack_lost_at,
        seed=seed,
    )


def _measure_days(
    days: list[crash_day.CrashDay], setting: str
) -> collections.abc.Iterator[figure.Figure]:
    def make(
        name: str, unit: str, value: collections.abc.Callable[..., float]
    ) -> figure.Figure:
        values = [value(day) for day in days]
        return figure.Figure(
            name,
            statistics.median(values),
            unit,
            setting,
            f"{min(values):.4g} to {max(values):.4g}",
        )

    yield make(
        "engines_crashed", "engines", lambda day: day.record.crash_count
    )
    yield make(
        "reached_after_fifth_crash",
        "requests",
        lambda day: day.record.reached_after_fifth_crash(),
    )
    yield make(
        "sound_begun_while_held",
        "ratio",
        lambda day: day.record.sound_share_while_held,
    )
    yield make("sound_failed", "requests", _sound_failures)
    yield make("known_everywhere_after", "s", _seconds_until_known)
    yield make(
        "reports_per_entry_vm",
        "B",
        lambda day: day.record.report_bytes / len(day.entries),
    )


def _sound_failures(day: crash_day.CrashDay) -> float:
    return sum(
        attempt.failure_code is not None
        for attempt in day.record.attempts
        if attempt.crashing_part is None
    )


def _seconds_until_known(day: crash_day.CrashDay) -> float:
    """Return the time from the third crash until the last VM holds back.

    It is infinite if some VM never does.
    """
    crashes = sorted(itertools.chain(*day.record.crashed_at.values()))
    if len(crashes) < 3 or len(day.record.held_at) < len(day.entries):
        return float("inf")
    return max(day.record.held_at.values()) - crashes[2]


def _measure_memory() -> list[figure.Figure]:
    """Return what a VM keeps under a flood that reaches all bounds."""
    now = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    tracemalloc.start()
    tracker = crash_causes.CrashCauseTracker(model.VmId("entry:1"), now)
    for number in range(2 * _FLOOD_PARTS):
        trait = crash_causes.part_trait(f"{number:032x}")
        tracker.record_survival((trait,), now)
    for crash in range(_FLOOD_CRASHES):
        now += datetime.timedelta(seconds=1)
        death = crash_causes.Death(model.EndpointId(f"engine-{crash}"), 1)
        suspects = [
            crash_causes.SuspectRequest(
                f"{crash}-{number}",
                frozenset(
                    crash_causes.part_trait(f"{number}-{part:028x}")
                    for part in range(64)
                ),
            )
            for number in range(40)
        ]
        tracker.record_crash(death, suspects, False, now)
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    snapshot = len(msgspec.msgpack.encode(tracker.snapshot()))
    return [
        figure.Figure("memory_at_all_bounds", kept, "B", "one VM"),
        figure.Figure("largest_snapshot", snapshot, "B", "one VM"),
    ]


def measure() -> list[figure.Figure]:
    """Return the figures for each size, with and without a lost rack."""
    figures = _measure_memory()
    for entry_count, rack_lost_at in itertools.product(_SIZES, (None, 3.8)):
        days: list[crash_day.CrashDay] = []
        for seed in _SEEDS:
            day = crash_day.CrashDay(
                _make_plan(entry_count, rack_lost_at, seed)
            )
            day.play()
            days.append(day)
        setting = f"{entry_count} entry VMs"
        if rack_lost_at is not None:
            setting += ", 8 engines lost"
        figures += _measure_days(days, setting)
    return figures
