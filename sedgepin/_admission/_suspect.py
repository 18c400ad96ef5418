"""State of one suspect on one VM: its rumour and its local copies."""

import datetime

from sedgepin._admission import _attribution
from sedgepin._admission import _rumour
from sedgepin import _model as model


class Suspect:
    """The state kept for one suspect.

    ``broadcast_rumour`` is the rumour last exchanged with other VMs.  The
    ``waiting`` copies are resumed or answered when the trial or the judgement
    period is over.  ``endpoints`` run the trial of this VM.
    ``trial_starts_at`` is when a trial that this VM has claimed may start.
    ``decided_death_at`` is the instant of the last death on which a verdict
    was reached; ``awaits_silent`` is set while it waits for endpoints that may
    only be silent.
    """

    __slots__ = (
        "rumour",
        "broadcast_rumour",
        "waiting",
        "trial_request_id",
        "endpoints",
        "trial_starts_at",
        "quarantined",
        "awaits_silent",
        "decided_death_at",
        "_seen_death_count",
    )

    def __init__(self, rumour: _rumour.Rumour) -> None:
        self.rumour = rumour
        self.broadcast_rumour: _rumour.Rumour | None = None
        self.waiting: list[model.RequestId] = []
        self.trial_request_id: model.RequestId | None = None
        self.endpoints: frozenset[model.EndpointId] = frozenset()
        self.trial_starts_at = rumour.until
        self.quarantined = False
        self.decided_death_at: datetime.datetime | None = None
        self.awaits_silent = False
        self._seen_death_count = 0

    @property
    def last_death_at(self) -> datetime.datetime:
        """Return the instant of the last death that counts."""
        return max(mark.at for mark in self.rumour.counted_deaths.values())

    @property
    def awaits_verdict(self) -> bool:
        """Return whether the last of enough deaths has no verdict yet."""
        if self.quarantined or not _attribution.has_enough_deaths(self.rumour):
            return False
        return self.decided_death_at != self.last_death_at

    def end_trial(self) -> None:
        """End the trial on this VM."""
        self.trial_request_id = None
        self.endpoints = frozenset()

    def record_deaths(self) -> bool:
        """Mark all deaths as seen; return whether new ones need a trial."""
        death_count = len(self.rumour.deaths)
        seen_before = self._seen_death_count
        self._seen_death_count = death_count
        return death_count > seen_before and self.rumour.needs_trial
