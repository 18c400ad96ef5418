"""Following the release notes: which fleet is in force on this VM.

Only a fleet of a higher note number replaces the one held, so that no VM
ever goes back.  After a start the VM holds none.  It takes its first from a
leader that holds its lease, which has every accepted note.  A VM whose data
centre is cut off from the leader takes the newest that its neighbours hold
once ``CUT_OFF_AFTER`` has passed: no VM of that data centre can have followed
a newer one, so that nothing a caller there has seen is taken back.
"""

import datetime
import random

from sedgepin._entry import _effects
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _release as release
from sedgepin import events

CUT_OFF_AFTER = datetime.timedelta(seconds=3)
PULL_INTERVAL = datetime.timedelta(seconds=1)
_PULL_JITTER = 0.3


class FleetFollower:
    """The fleet in force on this VM, and how it is kept up to date."""

    __slots__ = (
        "_best_unconfirmed",
        "_controls",
        "_generator",
        "_neighbours",
        "_pull_at",
        "_raw",
        "_started_at",
        "fleet",
    )

    def __init__(
        self,
        controls: frozenset[model.VmId],
        neighbours: frozenset[model.VmId],
        generator: random.Random,
        now: datetime.datetime,
    ) -> None:
        self._controls = controls
        self._neighbours = neighbours
        self._generator = generator
        self._started_at = now
        self._pull_at = now
        self._raw = b""
        self._best_unconfirmed: protocol.FleetPublished | None = None
        self.fleet: release.Fleet | None = None

    @property
    def number(self) -> int:
        """Return the number of the note in force, or 0 before the first."""
        return 0 if self.fleet is None else self.fleet.note_number

    def published(
        self, message: protocol.FleetPublished, now: datetime.datetime
    ) -> list[_effects.EntryEffect]:
        """Take in a fleet that a control VM or a neighbour sent."""
        if self.fleet is not None or message.confirmed:
            return self._follow(message)
        best = self._best_unconfirmed
        if best is None or message.number > best.number:
            self._best_unconfirmed = message
        return []

    def wanted(
        self, sender: model.VmId, message: protocol.FleetWanted
    ) -> list[_effects.EntryEffect]:
        """Answer a neighbour that asks for a newer fleet."""
        if self.fleet is None or message.have > self.number:
            return []
        raw = self._raw if message.have < self.number else b""
        answer = protocol.FleetPublished(self.number, False, raw)
        return [_effects.SendMessage(sender, answer)]

    def tick(
        self, connected: frozenset[model.VmId], now: datetime.datetime
    ) -> list[_effects.EntryEffect]:
        """Ask for newer fleets when it is time to."""
        made: list[_effects.EntryEffect] = []
        waited = now - self._started_at >= CUT_OFF_AFTER
        if self.fleet is None and waited and self._best_unconfirmed:
            made += self._follow(self._best_unconfirmed)
        if now >= self._pull_at:
            self._pull_at = now + self._next_pull()
            made += self._pull(connected)
        return made

    def _next_pull(self) -> datetime.timedelta:
        stretch = self._generator.uniform(1 - _PULL_JITTER, 1 + _PULL_JITTER)
        return PULL_INTERVAL * stretch

    def _pull(
        self, connected: frozenset[model.VmId]
    ) -> list[_effects.EntryEffect]:
        """Ask one control VM, or everyone while nothing is held."""
        asked = sorted(self._controls & connected)
        if self.fleet is None:
            asked = sorted((self._controls | self._neighbours) & connected)
        elif asked:
            asked = [self._generator.choice(asked)]
        message = protocol.FleetWanted(
            -1 if self.fleet is None else self.number
        )
        return [_effects.SendMessage(peer, message) for peer in asked]

    def _follow(
        self, message: protocol.FleetPublished
    ) -> list[_effects.EntryEffect]:
        if self.fleet is not None and message.number <= self.number:
            return []
        if not message.fleet:
            return []
        decoded = release.decode_fleet(message.fleet)
        if decoded.is_err():
            return []
        self.fleet = decoded.unwrap()
        self._raw = message.fleet
        line = events.NOTE_IN_FORCE.line(number=self.fleet.note_number)
        return [_effects.WriteLog(line)]
