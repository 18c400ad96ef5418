"""Adds up the reports of several entry VMs for operators."""

import collections
import collections.abc

import msgspec

from sedgepin._service_levels import _report


class Row(msgspec.Struct, frozen=True):
    """The sums of one customer and route over the VMs of a data centre.

    ``affected`` is the sum of all that went wrong or waits, and ``reason``
    lists its parts, the largest first.
    """

    customer: str
    route: str
    data_centre: str
    affected: int
    waiting: int
    refused: dict[str, int]
    late_first_outputs: int
    late_pauses: int
    served: int
    reason: str


def summarize(
    reports: collections.abc.Iterable[_report.Report],
) -> list[Row]:
    """Return the sums by customer, route and data centre, worst first."""
    grouped: collections.defaultdict[
        tuple[str, str, str], list[_report.Level]
    ] = collections.defaultdict(list)
    for report in reports:
        for level in report.levels:
            key = (level.customer, level.route, report.data_centre)
            grouped[key].append(level)
    rows = [_row(*key, levels) for key, levels in grouped.items()]
    return sorted(
        rows,
        key=lambda row: (
            -row.affected,
            -row.served,
            row.customer,
            row.route,
            row.data_centre,
        ),
    )


def _row(
    customer: str, route: str, data_centre: str, levels: list[_report.Level]
) -> Row:
    refused: collections.Counter[str] = collections.Counter()
    for level in levels:
        refused.update(level.refused)
    waiting = sum(level.waiting for level in levels)
    late_first_outputs = sum(level.late_first_outputs for level in levels)
    late_pauses = sum(level.late_pauses for level in levels)
    parts = collections.Counter(
        {f"refused {code}": count for code, count in refused.items()}
    )
    parts["waiting"] = waiting
    parts["late first output"] = late_first_outputs
    parts["late pause"] = late_pauses
    return Row(
        customer=customer,
        route=route,
        data_centre=data_centre,
        affected=parts.total(),
        waiting=waiting,
        refused=dict(refused.most_common()),
        late_first_outputs=late_first_outputs,
        late_pauses=late_pauses,
        served=sum(level.served for level in levels),
        reason=", ".join(
            f"{name} {count}" for name, count in parts.most_common() if count
        ),
    )
