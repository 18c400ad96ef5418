"""What engines get that have named a limit, and what it costs callers.

Gateways and registrars are the real reducers; see
``sedgepin.tests.limit_day`` for the day that is played.
"""

import dataclasses

from bench import _figure as figure
from sedgepin.tests import limit_day
from sedgepin.tests import limit_plan

_SIZES = (7, 40, 195, 320)
_SETTLE_SECONDS = 0.5
_START = 3.0
_END = 12.0
_MESSAGES = (
    "EndpointLimited",
    "PermitAnswered",
    "PermitAsked",
    "PermitReturned",
)


@dataclasses.dataclass(slots=True, frozen=True)
class _Setting:
    """Which share of the first engines names which limit."""

    name: str
    share: float
    requests_per_second: float
    per_second: float = 60.0
    busy_share: float = 0.0


_SETTINGS = (
    _Setting("half limited to 8", 0.5, 8.0),
    _Setting("all limited to 3", 1.0, 3.0),
    _Setting("all limited to 3, one busy VM", 1.0, 3.0, busy_share=0.9),
    _Setting("all limited to 0.3", 1.0, 0.3),
    _Setting("none limited", 0.0, 0.0),
)


def _make_plan(entry_count: int, setting: _Setting) -> limit_plan.Plan:
    plan = limit_plan.Plan(
        entry_count=entry_count,
        control_count=3 if entry_count < 40 else 5,
        per_second=setting.per_second,
        seconds=14.0,
        busy_share=setting.busy_share,
    )
    engines = limit_plan.first_engines(plan, setting.share)
    limit = limit_plan.Limit(
        _START, _END, engines, setting.requests_per_second
    )
    return dataclasses.replace(plan, limits=(limit,))


def _measure_day(entry_count: int, setting: _Setting) -> list[figure.Figure]:
    plan = _make_plan(entry_count, setting)
    day = limit_day.LimitDay(plan)
    day.play()
    record = day.record
    windows = list(record.windows(_SETTLE_SECONDS))
    count = max(1, len(windows))
    name = f"{entry_count} VMs, {setting.name}"
    messages = sum(day.counts[message] for message in _MESSAGES)

    def make(what: str, value: float, unit: str) -> figure.Figure:
        return figure.Figure(what, value, unit, name, "")

    return [
        make("windows", len(windows), "windows"),
        make(
            "windows_above_the_limit",
            sum(window.ratio > 1.0 for window in windows) / count,
            "ratio",
        ),
        make(
            "windows_above_half_as_much_again",
            sum(window.ratio > 1.5 for window in windows) / count,
            "ratio",
        ),
        make(
            "fullest_window",
            max((window.ratio for window in windows), default=0.0),
            "of the limit",
        ),
        make("limits_used", record.used_share(), "ratio"),
        make(
            "first_tries_served",
            record.served_share(_START + _SETTLE_SECONDS, _END),
            "ratio",
        ),
        make(
            "permit_messages",
            messages / (_END - _START),
            "messages a second",
        ),
    ]


def measure() -> list[figure.Figure]:
    """Return the figures for each size and setting, seed 1."""
    return [
        measured
        for entry_count in _SIZES
        for setting in _SETTINGS
        for measured in _measure_day(entry_count, setting)
    ]
