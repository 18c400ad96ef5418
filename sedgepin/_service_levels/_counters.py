"""The counters of one entry VM, by customer and route."""

import collections.abc
import datetime
import typing

from sedgepin._service_levels import _report

# Names of the row for the customers and routes beyond the limit, and of what
# a request has no customer or route for.  The product's settings refuse names
# with parentheses.  The platform's do not: its requests of a customer and
# route with one of these names are counted in the same row.
OTHERS = "(others)"
UNKNOWN = "(unknown)"

_MAX_PAIRS = 200
_IDLE_TIME = datetime.timedelta(minutes=10)
_IDLE_CHECK_INTERVAL = datetime.timedelta(seconds=30)
# Reports cover one to two of these intervals.  They begin at the same times
# on all VMs, so that the counts of several VMs can be added up.
_INTERVAL_SECONDS = 300

_Pair: typing.TypeAlias = tuple[str, str]

_OTHERS_PAIR = (OTHERS, OTHERS)


class _Counts:
    """The counts of one customer and route since the pair is known."""

    __slots__ = (
        "last_used_at",
        "late_first_outputs",
        "late_pauses",
        "refused",
        "served",
    )

    def __init__(self, now: datetime.datetime) -> None:
        self.last_used_at = now
        self.served = 0
        self.refused: dict[str, int] = {}
        self.late_first_outputs = 0
        self.late_pauses = 0

    def level(self, pair: _Pair, waiting: int = 0) -> _report.Level:
        return _report.Level(
            pair[0],
            pair[1],
            waiting,
            self.served,
            dict(self.refused),
            self.late_first_outputs,
            self.late_pauses,
        )


class _Snapshot:
    """The counts of all pairs at one time."""

    __slots__ = ("at", "levels")

    def __init__(
        self, at: datetime.datetime, levels: dict[_Pair, _report.Level]
    ) -> None:
        self.at = at
        self.levels = levels


class ServiceLevels:
    """Counts what happens to requests, by customer and route.

    Counting costs a few dictionary operations for each request.  At most 200
    pairs of customer and route are kept; further ones are summed under
    ``OTHERS``.  Pairs without a request for ten minutes are dropped, and begin
    at 0 if they come back.

    >>> at = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    >>> levels = ServiceLevels("entry-1", "home", at)
    >>> levels.count_refused("acme", "chat", "no_capacity", at)
    >>> levels.report([], at).levels[0].refused
    {'no_capacity': 1}
    """

    __slots__ = (
        "_counts",
        "_data_centre",
        "_interval",
        "_next_idle_check_at",
        "_newer",
        "_older",
        "_vm",
    )

    def __init__(
        self, vm: str, data_centre: str, now: datetime.datetime
    ) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._counts: dict[_Pair, _Counts] = {}
        self._interval = _interval(now)
        self._older = _Snapshot(now, {})
        self._newer = self._older
        self._next_idle_check_at = now + _IDLE_CHECK_INTERVAL

    def count_served(
        self, customer: str, route: str, now: datetime.datetime
    ) -> None:
        """Count a request whose whole answer was passed on."""
        self._find(customer, route, now).served += 1

    def count_refused(
        self, customer: str, route: str, code: str, now: datetime.datetime
    ) -> None:
        """Count a request that ended with a failure, by the failure's code."""
        refused = self._find(customer, route, now).refused
        refused[code] = refused.get(code, 0) + 1

    def count_late_first_output(
        self, customer: str, route: str, now: datetime.datetime
    ) -> None:
        """Count a request without any output by the target of its route."""
        self._find(customer, route, now).late_first_outputs += 1

    def count_late_pause(
        self, customer: str, route: str, now: datetime.datetime
    ) -> None:
        """Count a pause of a stream beyond the target of its route."""
        self._find(customer, route, now).late_pauses += 1

    def tick(self, now: datetime.datetime) -> None:
        """Drop idle pairs and begin a new interval, if due."""
        if now >= self._next_idle_check_at:
            self._next_idle_check_at = now + _IDLE_CHECK_INTERVAL
            self._drop_idle(now)
        interval = _interval(now)
        if interval == self._interval:
            return
        has_skipped = interval > self._interval + 1
        self._interval = interval
        totals = {
            pair: counts.level(pair) for pair, counts in self._counts.items()
        }
        snapshot = _Snapshot(now, totals)
        self._older = snapshot if has_skipped else self._newer
        self._newer = snapshot

    def report(
        self,
        waiting: collections.abc.Iterable[_Pair],
        now: datetime.datetime,
    ) -> _report.Report:
        """Return the counts of the last five to ten minutes.

        ``waiting`` has the customer and route of each request that waits.
        """
        self.tick(now)
        waiting_counts = self._count_waiting(waiting, now)
        before = self._older.levels
        levels = tuple(
            _difference(
                counts.level(pair, waiting_counts.get(pair, 0)),
                before.get(pair),
            )
            for pair, counts in self._counts.items()
        )
        return _report.Report(
            self._vm, self._data_centre, self._older.at, now, levels
        )

    def totals(
        self,
        waiting: collections.abc.Iterable[_Pair],
        now: datetime.datetime,
    ) -> list[_report.Level]:
        """Return the counts since each pair is known, for metrics.

        The counts of a pair do not decrease until it is dropped.
        """
        waiting_counts = self._count_waiting(waiting, now)
        return [
            counts.level(pair, waiting_counts.get(pair, 0))
            for pair, counts in self._counts.items()
        ]

    def _count_waiting(
        self,
        waiting: collections.abc.Iterable[_Pair],
        now: datetime.datetime,
    ) -> dict[_Pair, int]:
        """Return how many requests wait, by the pair that counts them."""
        waiting_counts: dict[_Pair, int] = {}
        for pair in waiting:
            self._find(*pair, now)
            known = pair if pair in self._counts else _OTHERS_PAIR
            waiting_counts[known] = waiting_counts.get(known, 0) + 1
        return waiting_counts

    def _find(
        self, customer: str, route: str, now: datetime.datetime
    ) -> _Counts:
        """Return the counts of a pair, or of the others if it is one more."""
        pair = (customer, route)
        counts = self._counts.get(pair)
        if counts is None:
            own_count = len(self._counts) - (_OTHERS_PAIR in self._counts)
            if own_count >= _MAX_PAIRS:
                pair = _OTHERS_PAIR
            counts = self._counts.setdefault(pair, _Counts(now))
        counts.last_used_at = now
        return counts

    def _drop_idle(self, now: datetime.datetime) -> None:
        idle = [
            pair
            for pair, counts in self._counts.items()
            if now - counts.last_used_at >= _IDLE_TIME
        ]
        for pair in idle:
            del self._counts[pair]
            self._older.levels.pop(pair, None)
            self._newer.levels.pop(pair, None)


def _interval(now: datetime.datetime) -> int:
    return int(now.timestamp()) // _INTERVAL_SECONDS


def _difference(
    level: _report.Level, before: _report.Level | None
) -> _report.Level:
    """Return the counts of ``level`` without those of ``before``."""
    if before is None:
        return level
    refused = {
        code: count - before.refused.get(code, 0)
        for code, count in level.refused.items()
        if count > before.refused.get(code, 0)
    }
    return _report.Level(
        level.customer,
        level.route,
        level.waiting,
        level.served - before.served,
        refused,
        level.late_first_outputs - before.late_first_outputs,
        level.late_pauses - before.late_pauses,
    )
