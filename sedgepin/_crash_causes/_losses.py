"""Tells separate crashes from losses that have one cause."""

import collections.abc
import datetime

from sedgepin._crash_causes import _evidence
from sedgepin._crash_causes import _trait

# Losses closer together have one cause, such as a rack that lost its power.
SAME_CAUSE = datetime.timedelta(milliseconds=100)
# Silent endpoints are found one after the other, and a single request runs
# into the losses of a rack one after the other.
_SAME_SLOW_CAUSE = datetime.timedelta(seconds=2)
# A request crashes one engine of its pipeline, and the next one only after it
# was sent to it and read there.
_MIN_TIME_BETWEEN_ATTEMPTS = datetime.timedelta(milliseconds=150)


class Losses:
    """The losses of endpoints, for the question which have one cause."""

    __slots__ = ("_at",)

    def __init__(
        self, evidence: collections.abc.Iterable[_evidence.Evidence]
    ) -> None:
        self._at: dict[_evidence.Death, datetime.datetime] = {}
        for item in evidence:
            for mark in item.marks:
                at = self._at.get(mark.death, mark.at)
                self._at[mark.death] = min(at, mark.at)

    def count_crashes(
        self,
        item: _evidence.Evidence,
        marks: tuple[_evidence.CrashMark, ...],
    ) -> int:
        """Return how many separate crashes marks in order of time show.

        Losses at about the same time have one cause, such as a rack that lost
        its power, unless the trait was on all of these endpoints.  Losses of
        one request's endpoints that are closer than two attempts always have.
        """
        deaths = {mark.death for mark in item.marks}
        count = 0
        counted_at: datetime.datetime | None = None
        for mark in marks:
            pause = SAME_CAUSE
            is_request = item.trait.kind is _trait.TraitKind.REQUEST
            if mark.is_silent or is_request:
                pause = _SAME_SLOW_CAUSE
            if (
                is_request
                and counted_at is not None
                and mark.at - counted_at < _MIN_TIME_BETWEEN_ATTEMPTS
            ):
                continue
            if (
                counted_at is None
                or mark.at - counted_at >= pause
                or not (
                    mark.is_silent
                    or item.is_sound
                    or self._has_other(deaths, mark.at, pause)
                )
            ):
                count += 1
                counted_at = mark.at
        return count

    def _has_other(
        self,
        deaths: collections.abc.Set[_evidence.Death],
        at: datetime.datetime,
        pause: datetime.timedelta,
    ) -> bool:
        return any(
            abs(lost_at - at) < pause and death not in deaths
            for death, lost_at in self._at.items()
        )
