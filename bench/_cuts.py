"""What callers get of entry VMs without paths to endpoints, by fleet size.

Gateways and registrars are the real reducers; see ``sedgepin.tests.cut_day``
for the day that is played.
"""

import collections
import collections.abc
import dataclasses
import statistics

from bench import _figure as figure
from sedgepin.tests import cut_day
from sedgepin.tests import cut_plan
from sedgepin.tests import cut_record

_SEEDS = (1, 2)
_SIZES = (7, 40, 195)
_START_SECONDS = 3.0
_DURATIONS_SECONDS = (1.0, 5.0, 60.0)
# Longer cuts of this many VMs and more are played for less time.
_LARGE_GROUP = 40
_MAX_LARGE_SECONDS = 20.0
_Record = cut_record.DayRecord
_Group = cut_plan.Group
_Mode = cut_plan.CutMode


def _make_plans(
    entry_count: int,
) -> collections.abc.Iterator[tuple[str, cut_plan.Plan]]:
    """Yield the plans of a size with their names."""
    groups = (
        _Group.ONE,
        _Group.HALF_DATA_CENTRE,
        _Group.DATA_CENTRE,
        _Group.MOST,
    )
    for group in groups:
        yield _make_plan(entry_count, group)
    for mode in (_Mode.SILENT, _Mode.REFUSED, _Mode.ONE_WAY):
        yield _make_plan(entry_count, _Group.DATA_CENTRE, mode)
    for seconds in _DURATIONS_SECONDS:
        if seconds != 5.0:
            yield _make_plan(
                entry_count, _Group.DATA_CENTRE, _Mode.RESET, seconds
            )
    yield from _make_series(entry_count)
    for fault in cut_plan.FaultMode:
        _, plan = _make_plan(entry_count, _Group.DATA_CENTRE, seconds=9.0)
        faults = (cut_plan.ForwarderFault(6.51, 9.52, fault),)
        faulty = dataclasses.replace(plan, faults=faults)
        yield f"a data centre, a forwarder {fault.value}", faulty


def _make_series(
    entry_count: int,
) -> collections.abc.Iterator[tuple[str, cut_plan.Plan]]:
    """Yield the plans with more than one cut, or with endpoints left."""
    centre, other = _Group.DATA_CENTRE, _Group.OTHER_DATA_CENTRE
    again = (
        cut_plan.Cut(_START_SECONDS, 8.0, centre),
        cut_plan.Cut(8.3, 13.0, centre),
    )
    in_turn = (
        cut_plan.Cut(_START_SECONDS, 8.0, centre),
        cut_plan.Cut(8.0, 13.0, other),
    )
    left = cut_plan.Cut(
        _START_SECONDS,
        8.0,
        _Group.ONE,
        _Mode.SILENT,
        cut_plan.SOME_LEFT,
    )
    for name, cuts in (
        ("a data centre, again after 0.3 s", again),
        ("two data centres in turn", in_turn),
        ("one VM, silent, two endpoints left", (left,)),
    ):
        yield name, cut_plan.make_plan(entry_count, cuts[0].group, *cuts)


def _make_plan(
    entry_count: int,
    group: _Group,
    mode: _Mode = _Mode.RESET,
    seconds: float = 5.0,
) -> tuple[str, cut_plan.Plan]:
    cut = cut_plan.Cut(_START_SECONDS, _START_SECONDS + seconds, group, mode)
    plan = cut_plan.make_plan(entry_count, group, cut)
    if len(plan.members(group)) >= _LARGE_GROUP:
        seconds = min(seconds, _MAX_LARGE_SECONDS)
        cut = dataclasses.replace(cut, end=_START_SECONDS + seconds)
        plan = cut_plan.make_plan(entry_count, group, cut)
    return f"{group.value}, {mode.value}, {seconds:g} s", plan


def _measure(
    records: list[_Record], setting: str
) -> collections.abc.Iterator[figure.Figure]:
    def make(
        name: str,
        unit: str,
        value: collections.abc.Callable[[_Record], float],
    ) -> figure.Figure:
        values = [value(record) for record in records]
        return figure.Figure(
            name,
            statistics.median(values),
            unit,
            setting,
            f"{min(values):.4g} to {max(values):.4g}",
        )

    yield make("served_cut", "ratio", lambda record: record.served_share(True))
    yield make(
        "served_others", "ratio", lambda record: record.served_share(False)
    )
    yield make(
        "served_others_since", "ratio", lambda one: one.others_share_since()
    )
    for percent in (50, 95):

        def get_delay(record: _Record, percent: int = percent) -> float:
            return record.first_output_later(percent)

        yield make(f"first_output_later_p{percent}", "s", get_delay)
    yield make(
        "all_served_after", "s", lambda record: record.seconds_until_served()
    )
    yield make(
        "direct_again_after", "s", lambda record: record.seconds_until_direct()
    )
    yield make("streams_kept", "ratio", lambda record: record.streams_kept())
    yield make("unanswered", "requests", lambda one: len(one.unanswered()))
    yield make("run_twice", "requests", lambda one: len(one.run_too_often()))
    yield make(
        "falsely_not_run", "requests", lambda one: len(one.falsely_not_run())
    )
    yield make(
        "events_with_gaps", "requests", lambda one: len(one.with_gaps())
    )
    yield make("messages_calm", "1/s and VM", _calm_rate)
    yield make("messages_cut", "1/s and VM", _cut_rate)


def _calm_rate(record: _Record) -> float:
    return _rate(record, record.calm_messages, _START_SECONDS)


def _cut_rate(record: _Record) -> float:
    plan = record.plan
    seconds = max(cut.end for cut in plan.cuts) - _START_SECONDS
    return _rate(record, record.cut_messages, seconds)


def _rate(
    record: _Record, counts: collections.Counter[str], seconds: float
) -> float:
    """Return the messages per entry VM and second, without Raft's."""
    count = counts.total() - counts["RaftCarried"]
    return count / seconds / record.plan.entry_count


def measure() -> list[figure.Figure]:
    """Return the figures of each plan at each size."""
    figures: list[figure.Figure] = []
    for entry_count in _SIZES:
        for name, plan in _make_plans(entry_count):
            records: list[_Record] = []
            for seed in _SEEDS:
                day = cut_day.CutDay(dataclasses.replace(plan, seed=seed))
                day.play()
                records.append(day.record)
            figures += _measure(records, f"{entry_count} VMs, {name}")
    return figures
