"""Which request a dying endpoint counts against.

A request is guilty when two endpoints died with it aboard and, for one of
them, it is the only request aboard that has two such deaths, and the
endpoint was seen alive after it was given the request.

Deaths that are part of a larger loss count against nobody.  A loss is
larger when at least ``CORRELATED_DEATHS`` endpoints died within
``CORRELATION_WINDOW`` of the request's own deaths and at least one of those
deaths is explained neither by this request nor by another that has two.
"""

import datetime

from sedgepin._admission import _rumour

CORRELATION_WINDOW = datetime.timedelta(seconds=2)
CORRELATED_DEATHS = 3
DEATHS_TO_CONDEMN = 2
_KEPT = datetime.timedelta(minutes=2)


class DeathLedger:
    """The endpoints that died lately, and who had two deaths aboard them."""

    __slots__ = ("_died_at", "_aboard")

    def __init__(self) -> None:
        self._died_at: dict[_rumour.DeathId, datetime.datetime] = {}
        self._aboard: dict[
            _rumour.DeathId, dict[_rumour.Fingerprint, None]
        ] = {}

    def record(self, death: _rumour.DeathId, at: datetime.datetime) -> None:
        """Note that an endpoint died, with or without requests aboard."""
        known = self._died_at.get(death, at)
        self._died_at[death] = min(known, at)
        self._aboard.setdefault(death, {})

    def record_marks(self, rumour: _rumour.Rumour) -> None:
        """Note all the deaths that a rumour tells of."""
        for mark in rumour.deaths:
            self.record(mark.death, mark.at)
            self._aboard[mark.death][rumour.fingerprint] = None

    def aboard(
        self, death: _rumour.DeathId
    ) -> tuple[_rumour.Fingerprint, ...]:
        """Return the requests that were aboard an endpoint as it died."""
        return tuple(self._aboard.get(death, ()))

    def near(self, mark: _rumour.DeathMark) -> list[_rumour.DeathId]:
        """Return the other deaths close in time to the marked one."""
        return [
            death
            for death, at in self._died_at.items()
            if death != mark.death and abs(at - mark.at) <= CORRELATION_WINDOW
        ]

    def forget(self, now: datetime.datetime) -> None:
        """Forget the deaths that are too old to be asked about."""
        for death, at in list(self._died_at.items()):
            if at < now - _KEPT:
                del self._died_at[death]
                self._aboard.pop(death, None)


def has_two_deaths(rumour: _rumour.Rumour) -> bool:
    """Tell whether enough deaths count against the request."""
    return len(rumour.effective) >= DEATHS_TO_CONDEMN
