"""Attributes endpoint deaths to the requests that caused them.

A request is held to cause crashes when two endpoints died while running it.
For at least one of these deaths, it must be the only request in flight with
two such deaths, and the endpoint must have been seen alive after it received
the request.

Deaths that belong to a correlated failure, such as the loss of a rack, count
against no request.  A death is part of a correlated failure when at least
``MIN_CORRELATED_DEATHS`` endpoints died within ``CORRELATION_WINDOW`` of it.
There are two exceptions: all of these endpoints were running this request, or
the other deaths are exactly the two deaths of another request that is held to
cause crashes.
"""

import datetime

from sedgepin._admission import _rumour

CORRELATION_WINDOW = datetime.timedelta(seconds=2)
MIN_CORRELATED_DEATHS = 3
DEATHS_TO_QUARANTINE = 2
DEATH_RETENTION = datetime.timedelta(minutes=2)


class DeathTracker:
    """Recent endpoint deaths and the requests that were in flight."""

    __slots__ = ("_died_at", "_in_flight", "_rumours")

    def __init__(self) -> None:
        self._died_at: dict[_rumour.DeathId, datetime.datetime] = {}
        # Inner dicts serve as ordered sets: iteration is deterministic.
        self._in_flight: dict[
            _rumour.DeathId, dict[_rumour.Fingerprint, None]
        ] = {}
        self._rumours: dict[_rumour.Fingerprint, _rumour.Rumour] = {}

    def record(self, death: _rumour.DeathId, at: datetime.datetime) -> None:
        """Record a death at the earliest time reported for it."""
        recorded_at = self._died_at.get(death, at)
        self._died_at[death] = min(recorded_at, at)
        self._in_flight.setdefault(death, {})

    def update(self, rumour: _rumour.Rumour) -> None:
        """Replace the rumour of a request and record its deaths."""
        self._rumours[rumour.fingerprint] = rumour
        for mark in rumour.deaths:
            self.record(mark.death, mark.at)
            self._in_flight[mark.death][rumour.fingerprint] = None

    def has_new_deaths(self, rumour: _rumour.Rumour) -> bool:
        """Return whether a rumour contains a death not yet recorded."""
        return any(mark.death not in self._died_at for mark in rumour.deaths)

    def requests_in_flight(
        self, death: _rumour.DeathId
    ) -> tuple[_rumour.Fingerprint, ...]:
        """Return the requests in flight on an endpoint when it died."""
        return tuple(self._in_flight.get(death, ()))

    def remove(self, fingerprint: _rumour.Fingerprint) -> None:
        """Remove the rumour of a request that is no longer suspected."""
        self._rumours.pop(fingerprint, None)

    def remove_expired_deaths(self, now: datetime.datetime) -> None:
        """Remove the deaths older than ``DEATH_RETENTION``."""
        for death, at in list(self._died_at.items()):
            if at < now - DEATH_RETENTION:
                del self._died_at[death]
                del self._in_flight[death]

    def causes_crashes(self, rumour: _rumour.Rumour) -> bool:
        """Return whether the request is held to cause crashes."""
        if not has_enough_deaths(rumour):
            return False
        return any(
            mark.proven and self._is_only_candidate(rumour, mark.death)
            for mark in rumour.counted_deaths.values()
        )

    def without_correlated_deaths(
        self, rumour: _rumour.Rumour
    ) -> _rumour.Rumour:
        """Return the rumour with the deaths of correlated failures discounted.

        A single death is only cleared: it still counts towards two.  With
        two deaths, the correlated ones are acquitted, but only once, and the
        request must then pass an isolated trial.  Otherwise several requests
        that crash endpoints at the same time would acquit each other
        indefinitely.
        """
        enough_deaths = has_enough_deaths(rumour)
        if enough_deaths and rumour.acquitted:
            return rumour
        correlated = frozenset(
            mark.death
            for mark in rumour.counted_deaths.values()
            if self._is_correlated_failure(rumour, mark)
        )
        if enough_deaths and correlated:
            return rumour.with_changes(acquitted=correlated)
        if correlated <= rumour.cleared:
            return rumour
        return rumour.with_changes(cleared=rumour.cleared | correlated)

    def _is_correlated_failure(
        self, rumour: _rumour.Rumour, mark: _rumour.DeathMark
    ) -> bool:
        deaths = {mark.death, *self._deaths_near(mark)}
        if len(deaths) < MIN_CORRELATED_DEATHS:
            return False
        other_deaths = deaths.difference(rumour.counted_deaths)
        if not other_deaths:
            return False
        if len(other_deaths) != DEATHS_TO_QUARANTINE:
            return True
        return not self._is_explained_by_another(rumour, other_deaths)

    def _is_explained_by_another(
        self, rumour: _rumour.Rumour, deaths: set[_rumour.DeathId]
    ) -> bool:
        return any(
            other.counted_deaths.keys() == deaths
            and self.causes_crashes(other)
            for fingerprint, other in self._rumours.items()
            if fingerprint != rumour.fingerprint
        )

    def _deaths_near(self, mark: _rumour.DeathMark) -> list[_rumour.DeathId]:
        return [
            death
            for death, at in self._died_at.items()
            if death != mark.death and abs(at - mark.at) <= CORRELATION_WINDOW
        ]

    def _is_only_candidate(
        self, rumour: _rumour.Rumour, death: _rumour.DeathId
    ) -> bool:
        return not any(
            fingerprint != rumour.fingerprint
            and self._is_candidate(fingerprint, death)
            for fingerprint in self.requests_in_flight(death)
        )

    def _is_candidate(
        self, fingerprint: _rumour.Fingerprint, death: _rumour.DeathId
    ) -> bool:
        other = self._rumours.get(fingerprint)
        if other is None or death not in other.counted_deaths:
            return False
        return has_enough_deaths(other)


def has_enough_deaths(rumour: _rumour.Rumour) -> bool:
    """Return whether enough deaths count against the request."""
    return len(rumour.counted_deaths) >= DEATHS_TO_QUARANTINE
