"""Which request a dying endpoint counts against.

A request is guilty when two endpoints died with it aboard and, for one of
them, it is the only request aboard that has two such deaths, and the
endpoint was seen alive after it was given the request.

Deaths that are part of a larger loss count against nobody.  A loss is
larger when at least ``CORRELATED_DEATHS`` endpoints died within
``CORRELATION_WINDOW`` of one of the request's own deaths, unless all of them
had this request aboard, or they are exactly the deaths of two guilty
requests with two of its own each.
"""

import datetime

from sedgepin._admission import _rumour

CORRELATION_WINDOW = datetime.timedelta(seconds=2)
CORRELATED_DEATHS = 3
DEATHS_TO_CONDEMN = 2
DEATH_RETENTION = datetime.timedelta(minutes=2)


class DeathLedger:
    """The endpoints that died lately, and the requests held to account."""

    __slots__ = ("_died_at", "_aboard", "_rumours")

    def __init__(self) -> None:
        self._died_at: dict[_rumour.DeathId, datetime.datetime] = {}
        # The inner keys are an ordered set, so that every run agrees.
        self._aboard: dict[
            _rumour.DeathId, dict[_rumour.Fingerprint, None]
        ] = {}
        self._rumours: dict[_rumour.Fingerprint, _rumour.Rumour] = {}

    def record(self, death: _rumour.DeathId, at: datetime.datetime) -> None:
        """Note that an endpoint died, with or without requests aboard."""
        known = self._died_at.get(death, at)
        self._died_at[death] = min(known, at)
        self._aboard.setdefault(death, {})

    def update(self, rumour: _rumour.Rumour) -> None:
        """Note what is now known of a request."""
        self._rumours[rumour.fingerprint] = rumour
        for mark in rumour.deaths:
            self.record(mark.death, mark.at)
            self._aboard[mark.death][rumour.fingerprint] = None

    def tells_of_new_deaths(self, rumour: _rumour.Rumour) -> bool:
        """Tell whether a rumour names a death that is not known here."""
        return any(mark.death not in self._died_at for mark in rumour.deaths)

    def aboard(
        self, death: _rumour.DeathId
    ) -> tuple[_rumour.Fingerprint, ...]:
        """Return the requests that were aboard an endpoint as it died."""
        return tuple(self._aboard.get(death, ()))

    def forget(self, fingerprint: _rumour.Fingerprint) -> None:
        """Forget a request that nothing is held against any more."""
        self._rumours.pop(fingerprint, None)

    def forget_deaths(self, now: datetime.datetime) -> None:
        """Forget the deaths that are too old to be asked about."""
        for death, at in list(self._died_at.items()):
            if at < now - DEATH_RETENTION:
                del self._died_at[death]
                del self._aboard[death]

    def is_guilty(self, rumour: _rumour.Rumour) -> bool:
        """Tell whether two deaths are the request's own doing."""
        if not has_two_deaths(rumour):
            return False
        return any(
            mark.proven and self._is_sole_claimant(rumour, mark.death)
            for mark in rumour.effective.values()
        )

    def excused(self, rumour: _rumour.Rumour) -> _rumour.Rumour:
        """Return the rumour without the deaths of a larger loss.

        A single death is only cleared: it still counts towards a pair.  A
        pair is excused once, and the request has then to run alone once.
        So several requests that crash endpoints at the same time cannot
        excuse each other for ever.
        """
        two_deaths = has_two_deaths(rumour)
        if two_deaths and rumour.acquitted:
            return rumour
        excused = frozenset(
            mark.death
            for mark in rumour.effective.values()
            if self._is_larger_loss(rumour, mark)
        )
        if two_deaths and excused:
            return rumour.with_changes(acquitted=excused)
        if excused <= rumour.cleared:
            return rumour
        return rumour.with_changes(cleared=rumour.cleared | excused)

    def _is_larger_loss(
        self, rumour: _rumour.Rumour, mark: _rumour.DeathMark
    ) -> bool:
        lost = {mark.death, *self._near(mark)}
        if len(lost) < CORRELATED_DEATHS:
            return False
        others = lost.difference(rumour.effective)
        if not others:
            return False
        if len(others) != DEATHS_TO_CONDEMN:
            return True
        return not self._is_pair_of_another(rumour, others)

    def _is_pair_of_another(
        self, rumour: _rumour.Rumour, deaths: set[_rumour.DeathId]
    ) -> bool:
        return any(
            other.effective.keys() == deaths and self.is_guilty(other)
            for fingerprint, other in self._rumours.items()
            if fingerprint != rumour.fingerprint
        )

    def _near(self, mark: _rumour.DeathMark) -> list[_rumour.DeathId]:
        return [
            death
            for death, at in self._died_at.items()
            if death != mark.death and abs(at - mark.at) <= CORRELATION_WINDOW
        ]

    def _is_sole_claimant(
        self, rumour: _rumour.Rumour, death: _rumour.DeathId
    ) -> bool:
        return not any(
            fingerprint != rumour.fingerprint
            and self._claims(fingerprint, death)
            for fingerprint in self.aboard(death)
        )

    def _claims(
        self, fingerprint: _rumour.Fingerprint, death: _rumour.DeathId
    ) -> bool:
        other = self._rumours.get(fingerprint)
        if other is None or death not in other.effective:
            return False
        return has_two_deaths(other)


def has_two_deaths(rumour: _rumour.Rumour) -> bool:
    """Tell whether enough deaths count against the request."""
    return len(rumour.effective) >= DEATHS_TO_CONDEMN
