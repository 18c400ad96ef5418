"""Load that other entry VMs added since they last told of theirs.

Between two sums every entry VM sees the same idle engines.  If each sent its
next requests there, dozens of entries would fill one engine over before any
of them heard of it.
"""

import collections
import collections.abc
import datetime
import random

from sedgepin import _placement as placement

# Over this time the rate is measured at which this VM sends requests.
_RATE_SPAN = datetime.timedelta(seconds=2)
# How old reports are on average when they are summed: half their interval.
_REPORT_AGE = datetime.timedelta(milliseconds=100)
# Requests last about this long; the load seen earlier has left by then.
_LONGEST_AGE = datetime.timedelta(seconds=2)


class UnseenLoad:
    """Estimates how many requests other entry VMs sent unseen.

    The others are taken to send as much as this VM.

    >>> unseen = UnseenLoad(random.Random(1))
    >>> unseen.set_entry_count(66)
    >>> unseen.record_sent(now)
    >>> unseen.expected(now)
    3.25
    """

    __slots__ = ("_entry_count", "_rng", "_sent", "_summed_at")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._entry_count = 1
        self._sent: collections.deque[datetime.datetime] = collections.deque()
        self._summed_at: datetime.datetime | None = None

    def set_entry_count(self, count: int) -> None:
        """Note how many entry VMs there are."""
        self._entry_count = max(1, count)

    def record_sent(self, now: datetime.datetime) -> None:
        """Count a request of this VM."""
        self._sent.append(now)

    def record_sum(self, now: datetime.datetime) -> None:
        """Note that the load of all entry VMs has just become known."""
        self._summed_at = now

    def expected(self, now: datetime.datetime) -> float:
        """Return how many requests the others have sent unseen."""
        if self._summed_at is None:
            return 0.0
        while self._sent and now - self._sent[0] > _RATE_SPAN:
            self._sent.popleft()
        age = min(_LONGEST_AGE, now - self._summed_at + _REPORT_AGE)
        sent = len(self._sent) * (self._entry_count - 1)
        return sent * (age / _RATE_SPAN)

    def draw(self, now: datetime.datetime) -> float:
        """Return how many of them have come before a request of this VM.

        Drawing it at random sends the requests of different entry VMs to
        different engines.
        """
        return self._rng.random() * self.expected(now)

    def choose(
        self, among: collections.abc.Sequence[placement.PipelineCandidate]
    ) -> placement.PipelineCandidate:
        """Return one of several pipelines, by the room that each has."""
        weights = [1.0 + one.spare_requests for one in among]
        return self._rng.choices(among, weights)[0]
