"""Sums of what endpoints did with requests, and the limits that follow."""

import collections.abc
import datetime

from sedgepin import _model as model
from sedgepin import _pace as pace
from sedgepin import _protocol as protocol

_Incarnation = tuple[model.EndpointId, int]
_Reports = collections.abc.Collection[
    protocol.LoadReported | protocol.LoadShared
]
_Endpoints = collections.abc.Collection[pace.PacedEndpoint] | None


class PaceSums:
    """Sums the progress that VMs report and decides limits from it.

    Outcomes are counted once, when their message arrives.  How many requests
    are unanswered is a level, taken from the latest message of each VM.

    >>> sums = PaceSums(now, smallest=4)
    >>> sums.record_report(message)
    >>> sums.decide(endpoints, reports, now)
    (PaceLimit('a', 1, 4, 2),)
    """

    __slots__ = ("_adoptable", "_limits", "_table", "_undecided", "_unshared")

    def __init__(self, now: datetime.datetime, smallest: int) -> None:
        self._table = pace.PaceTable(now, smallest)
        self._undecided: dict[_Incarnation, pace.Outcomes] = {}
        self._unshared: dict[_Incarnation, protocol.EndpointProgress] = {}
        self._adoptable: tuple[protocol.PaceLimit, ...] | None = None
        self._limits: tuple[protocol.PaceLimit, ...] | None = None

    @property
    def limits(self) -> tuple[protocol.PaceLimit, ...] | None:
        """The limits of the last decision; ``None`` for unknown or off."""
        return self._limits

    def record_report(
        self, message: protocol.LoadReported, now: datetime.datetime
    ) -> None:
        """Count the outcomes that an entry VM reports."""
        for progress in message.progress:
            self._record(progress, now)
            key = (progress.endpoint_id, progress.incarnation)
            before = self._unshared.get(key)
            if before is not None:
                progress = _add(before, progress)
            self._unshared[key] = progress

    def record_share(
        self, message: protocol.LoadShared, now: datetime.datetime
    ) -> None:
        """Count the outcomes of the entry VMs of another control VM."""
        for progress in message.progress or ():
            self._record(progress, now)
        if message.limits is not None:
            self._adoptable = message.limits

    def _record(
        self, progress: protocol.EndpointProgress, now: datetime.datetime
    ) -> None:
        key = (progress.endpoint_id, progress.incarnation)
        if progress.slots:
            self._table.record_stated_slots(*key, progress.slots, now)
        outcomes = pace.Outcomes(
            progress.in_time, progress.late, progress.refused
        )
        if outcomes:
            self._undecided.setdefault(key, pace.Outcomes()).add(outcomes)

    def take_progress(
        self, reports: _Reports
    ) -> tuple[protocol.EndpointProgress, ...]:
        """Return what own entry VMs reported since the last call."""
        unshared, self._unshared = self._unshared, {}
        levels = _unanswered(reports)
        return tuple(
            protocol.EndpointProgress(
                *key,
                levels.get(key, 0),
                progress.in_time,
                progress.late,
                progress.refused,
                progress.slots,
            )
            for key in {**unshared, **levels}
            for progress in (
                unshared.get(key, protocol.EndpointProgress(*key)),
            )
        )

    def decide(
        self, endpoints: _Endpoints, reports: _Reports, now: datetime.datetime
    ) -> None:
        """Adapt the limits to the outcomes since the last call.

        There are none while the endpoints are not known, or a control VM does
        not sum the outcomes of its entry VMs, which send without a limit.
        """
        self._limits = None
        if endpoints is None:
            self._undecided.clear()
            return
        if self._adoptable is not None:
            self._table.adopt(self._adoptable, endpoints, now)
            self._adoptable = None
        self._table.update(endpoints, now)
        levels = _unanswered(reports)
        undecided, self._undecided = self._undecided, {}
        for key, outcomes in undecided.items():
            self._table.record(*key, outcomes, levels.get(key, 0), now)
        is_complete = all(report.progress is not None for report in reports)
        if is_complete and self._table.is_settled:
            self._limits = tuple(
                protocol.PaceLimit(
                    endpoint_id,
                    incarnation,
                    limit,
                    levels.get((endpoint_id, incarnation), 0),
                )
                for endpoint_id, (
                    incarnation,
                    limit,
                ) in self._table.limits().items()
            )

    def take_changes(self) -> list[pace.PaceChange]:
        """Return the changes of limits since the last call, for the log."""
        return self._table.take_changes()


def _unanswered(reports: _Reports) -> dict[_Incarnation, int]:
    """Return how many requests each endpoint has not begun to answer."""
    counts: dict[_Incarnation, int] = {}
    for report in reports:
        for progress in report.progress or ():
            if progress.unanswered:
                key = (progress.endpoint_id, progress.incarnation)
                counts[key] = counts.get(key, 0) + progress.unanswered
    return counts


def _add(
    one: protocol.EndpointProgress, other: protocol.EndpointProgress
) -> protocol.EndpointProgress:
    return protocol.EndpointProgress(
        one.endpoint_id,
        one.incarnation,
        0,
        one.in_time + other.in_time,
        one.late + other.late,
        one.refused + other.refused,
        max(one.slots, other.slots),
    )
