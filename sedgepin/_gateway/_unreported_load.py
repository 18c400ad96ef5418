"""Estimate of the load that other entry VMs added since their last report.

Between two aggregated loads, every entry VM sees the same engines as idle.
If all of them sent their next requests there, dozens of entry VMs would
overload one engine before the next aggregate showed it.
"""

import collections
import collections.abc
import datetime
import random

from sedgepin import _placement as placement

# The rate at which this VM dispatches requests is measured over this window.
_RATE_WINDOW = datetime.timedelta(seconds=2)
# Reports are aggregated after half their interval on average.
_MEAN_REPORT_AGE = datetime.timedelta(milliseconds=100)
# Requests take about this long, so older ones have finished.
_MAX_REPORT_AGE = datetime.timedelta(seconds=2)
# A request is in the aggregates after a report interval and as long again.
_AGGREGATION_TIME = datetime.timedelta(milliseconds=400)


class UnreportedLoad:
    """Estimates how many requests of other entry VMs are unreported.

    It assumes that each of them dispatches requests at the rate of this VM,
    and that all release the requests together that they held at their start.
    This answers the load after a loss of all power: 80 entry VMs released 800
    requests within 0.25 s, of which one engine received 518.

    >>> unreported_load = UnreportedLoad(random.Random(1))
    >>> unreported_load.set_entry_count(66)
    >>> unreported_load.record_aggregate(now)
    >>> unreported_load.record_sent(now)
    >>> unreported_load.expected(now)
    3.25
    """

    __slots__ = (
        "_aggregated_at",
        "_entry_count",
        "_released_at",
        "_released_count",
        "_rng",
        "_sent",
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._entry_count = 1
        self._sent: collections.deque[datetime.datetime] = collections.deque()
        self._aggregated_at: datetime.datetime | None = None
        self._released_at: datetime.datetime | None = None
        self._released_count = 0

    def set_entry_count(self, count: int) -> None:
        """Set the number of entry VMs, including this one."""
        self._entry_count = max(1, count)

    def record_sent(self, now: datetime.datetime) -> None:
        """Count a request that this VM dispatched."""
        self._sent.append(now)

    def record_release(self, count: int, now: datetime.datetime) -> None:
        """Record that this VM now dispatches requests that it has held."""
        self._released_at = now
        self._released_count = count

    def record_aggregate(self, now: datetime.datetime) -> None:
        """Record that an aggregated load arrived."""
        self._aggregated_at = now

    def expected(self, now: datetime.datetime) -> float:
        """Return the expected number of unreported requests."""
        while self._sent and now - self._sent[0] > _RATE_WINDOW:
            self._sent.popleft()
        age = _MAX_REPORT_AGE
        if self._aggregated_at is not None:
            age = min(age, now - self._aggregated_at + _MEAN_REPORT_AGE)
        sent = len(self._sent) * (age / _RATE_WINDOW)
        if self._is_release_unreported(now):
            sent = max(sent, self._released_count)
        return sent * (self._entry_count - 1)

    def _is_release_unreported(self, now: datetime.datetime) -> bool:
        """Return whether the aggregates leave out the release."""
        if self._released_at is None or (
            now - self._released_at > _MAX_REPORT_AGE
        ):
            return False
        return self._aggregated_at is None or (
            self._aggregated_at < self._released_at + _AGGREGATION_TIME
        )

    def draw(self, now: datetime.datetime) -> float:
        """Return a random number of unreported requests to place first.

        The randomness makes different entry VMs choose different engines.
        """
        return self._rng.random() * self.expected(now)

    def choose(
        self,
        candidates: collections.abc.Sequence[placement.PipelineCandidate],
        weights: collections.abc.Sequence[float],
    ) -> placement.PipelineCandidate:
        """Return a random pipeline, weighted by the free capacity of each."""
        return self._rng.choices(candidates, weights)[0]
