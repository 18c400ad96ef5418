"""The adaptive limit of one incarnation of an endpoint."""

import dataclasses
import datetime

SMALLEST_LIMIT = 4
_SHRINK_FACTOR = 0.7
# The effect of a smaller limit shows in sums that are up to 0.4 s old.
_SHRINK_INTERVAL = datetime.timedelta(milliseconds=500)
# An endpoint that has answered as much for this time without a refusal is
# warmed up, whatever its limit is.
_CALM_TIME = datetime.timedelta(seconds=2)
_CALM_ANSWERS = 20


@dataclasses.dataclass(slots=True)
class Outcomes:
    """What an endpoint did with requests: counts within some time."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    def add(self, other: "Outcomes") -> None:
        """Add the counts of another time or another VM."""
        self.in_time += other.in_time
        self.late += other.late
        self.refused += other.refused

    def __bool__(self) -> bool:
        """Return whether any count is above 0."""
        return bool(self.in_time or self.late or self.refused)


class PaceController:
    """Limits the requests that an endpoint has not begun to answer.

    The limit doubles in about the time of its own number of answers in time
    until it has shrunk once; from there on it grows by one in that time.  Late
    answers never shrink it, because a later engine of the pipeline may cause
    them; they only let it grow by one.

    >>> controller = PaceController(4, 96, now)
    >>> controller.record(Outcomes(in_time=4), now)
    >>> controller.limit
    8.0
    """

    __slots__ = (
        "_answers",
        "_calm_since",
        "_shrunk_at",
        "_smallest",
        "_threshold",
        "limit",
        "slots",
    )

    def __init__(
        self,
        limit: float,
        slots: int,
        now: datetime.datetime,
        smallest: int = SMALLEST_LIMIT,
    ) -> None:
        self.limit = float(max(limit, smallest))
        self.slots = slots
        self._smallest = smallest
        self._threshold = float(slots)
        self._shrunk_at: datetime.datetime | None = None
        self._calm_since = now
        self._answers = 0

    def record(self, outcomes: Outcomes, now: datetime.datetime) -> bool:
        """Adapt the limit to what the endpoint did since the last call.

        Return whether it has shrunk.
        """
        self._answers += outcomes.in_time + outcomes.late
        if outcomes.refused:
            self._calm_since = now
        if outcomes.refused:
            return self._shrink(now)
        doubling = max(
            0.0, min(outcomes.in_time, self._threshold - self.limit)
        )
        others = outcomes.in_time + outcomes.late - doubling
        self.limit += doubling
        self.limit += others / self.limit
        return False

    def _shrink(self, now: datetime.datetime) -> bool:
        if (
            self._shrunk_at is not None
            and now - self._shrunk_at < _SHRINK_INTERVAL
        ):
            return False
        before = self.limit
        self._shrunk_at = now
        self.limit = max(float(self._smallest), self.limit * _SHRINK_FACTOR)
        self._threshold = self.limit
        return self.limit < before

    def is_over(self, now: datetime.datetime) -> bool:
        """Return whether the endpoint needs no limit any more."""
        if self.limit >= self.slots:
            return True
        return (
            self._answers >= _CALM_ANSWERS
            and now - self._calm_since >= _CALM_TIME
        )
