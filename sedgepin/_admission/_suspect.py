"""One suspect on one VM: what is known of it, and its copies here."""

import datetime

from sedgepin._admission import _attribution
from sedgepin._admission import _rumour
from sedgepin import _model as model


class Suspect:
    """The state kept for one suspect.

    ``shared`` is the rumour as the other VMs have it.  ``waiting`` copies
    get their effect once the trial or the judgement is over.
    """

    __slots__ = (
        "rumour",
        "shared",
        "waiting",
        "on_trial",
        "endpoints",
        "starts_at",
        "condemned",
        "judged_death_at",
        "_noted_deaths",
    )

    def __init__(self, rumour: _rumour.Rumour) -> None:
        self.rumour = rumour
        self.shared: _rumour.Rumour | None = None
        self.waiting: list[model.RequestId] = []
        self.on_trial: model.RequestId | None = None
        self.endpoints: frozenset[model.EndpointId] = frozenset()
        self.starts_at = rumour.until
        self.condemned = False
        self.judged_death_at: datetime.datetime | None = None
        self._noted_deaths = 0

    @property
    def last_death_at(self) -> datetime.datetime:
        """Return the instant of the last death that counts."""
        return max(mark.at for mark in self.rumour.effective.values())

    @property
    def awaits_judgement(self) -> bool:
        """Tell whether there are two deaths and the last is not judged."""
        if self.condemned or not _attribution.has_two_deaths(self.rumour):
            return False
        return self.judged_death_at != self.last_death_at

    def leave_trial(self) -> None:
        """End the trial on this VM."""
        self.on_trial = None
        self.endpoints = frozenset()

    def note_deaths(self) -> bool:
        """Tell whether a death is new here and calls for a trial."""
        deaths = len(self.rumour.deaths)
        known = self._noted_deaths
        self._noted_deaths = deaths
        return deaths > known and self.rumour.needs_trial
