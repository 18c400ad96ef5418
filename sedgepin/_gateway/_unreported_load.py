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


class UnreportedLoad:
    """Estimates how many requests of other entry VMs are unreported.

    It assumes that each of them dispatches requests at the rate of this VM.

    >>> unreported_load = UnreportedLoad(random.Random(1))
    >>> unreported_load.set_entry_count(66)
    >>> unreported_load.record_aggregate(now)
    >>> unreported_load.record_sent(now)
    >>> unreported_load.expected(now)
    3.25
    """

    __slots__ = ("_aggregated_at", "_entry_count", "_rng", "_sent")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._entry_count = 1
        self._sent: collections.deque[datetime.datetime] = collections.deque()
        self._aggregated_at: datetime.datetime | None = None

    def set_entry_count(self, count: int) -> None:
        """Set the number of entry VMs, including this one."""
        self._entry_count = max(1, count)

    def record_sent(self, now: datetime.datetime) -> None:
        """Count a request that this VM dispatched."""
        self._sent.append(now)

    def record_aggregate(self, now: datetime.datetime) -> None:
        """Record that an aggregated load arrived."""
        self._aggregated_at = now

    def expected(self, now: datetime.datetime) -> float:
        """Return the expected number of unreported requests."""
        if self._aggregated_at is None:
            return 0.0
        while self._sent and now - self._sent[0] > _RATE_WINDOW:
            self._sent.popleft()
        age = min(
            _MAX_REPORT_AGE, now - self._aggregated_at + _MEAN_REPORT_AGE
        )
        sent = len(self._sent) * (self._entry_count - 1)
        return sent * (age / _RATE_WINDOW)

    def draw(self, now: datetime.datetime) -> float:
        """Return a random number of unreported requests to place first.

        The randomness makes different entry VMs choose different engines.
        """
        return self._rng.random() * self.expected(now)

    def choose(
        self, candidates: collections.abc.Sequence[placement.PipelineCandidate]
    ) -> placement.PipelineCandidate:
        """Return a random pipeline, weighted by the free capacity of each."""
        weights = [1.0 + candidate.spare_requests for candidate in candidates]
        return self._rng.choices(candidates, weights)[0]
