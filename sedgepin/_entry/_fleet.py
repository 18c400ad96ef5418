"""Follows the release notes: which fleet is in force on this VM.

A fleet is replaced only by one with a higher note number, so no VM ever
returns to an older note.  After a start the VM has no fleet.  It accepts its
first one from a leader that holds its lease, because such a leader has every
accepted note.  If the data centre is cut off from the leader, the VM accepts
the newest fleet of its neighbours after ``ISOLATION_TIMEOUT``.  No VM of that
data centre can have followed a newer one, so callers there never see a
change undone.
"""

import datetime
import random

from sedgepin._entry import _effects
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _release as release
from sedgepin import events

ISOLATION_TIMEOUT = datetime.timedelta(seconds=3)
PULL_INTERVAL = datetime.timedelta(seconds=1)
_PULL_JITTER = 0.3


class FleetFollower:
    """Holds the fleet in force on this VM and keeps it up to date.

    ``fleet`` is ``None`` until the first fleet is accepted.
    """

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
        """Return the number of the note in force, 0 if there is none."""
        return 0 if self.fleet is None else self.fleet.note_number

    def handle_published(
        self, message: protocol.FleetPublished, now: datetime.datetime
    ) -> list[_effects.EntryEffect]:
        """Follow a fleet that a control VM or a neighbour sent, if allowed.

        The first fleet has to be confirmed; an unconfirmed one is kept until
        ``ISOLATION_TIMEOUT`` has passed.
        """
        if self.fleet is not None or message.confirmed:
            return self._follow(message)
        best = self._best_unconfirmed
        if best is None or message.number > best.number:
            self._best_unconfirmed = message
        return []

    def handle_wanted(
        self, sender: model.VmId, message: protocol.FleetWanted
    ) -> list[_effects.EntryEffect]:
        """Answer a neighbour's request for a newer fleet.

        A neighbour that has the same fleet gets only its number.
        """
        if self.fleet is None or message.have > self.number:
            return []
        raw = self._raw if message.have < self.number else b""
        reply = protocol.FleetPublished(self.number, False, raw)
        return [_effects.SendMessage(sender, reply)]

    def tick(
        self, connected: frozenset[model.VmId], now: datetime.datetime
    ) -> list[_effects.EntryEffect]:
        """Request a newer fleet if due.

        Without a fleet, accept the newest unconfirmed one once
        ``ISOLATION_TIMEOUT`` has passed.
        """
        effects: list[_effects.EntryEffect] = []
        timed_out = now - self._started_at >= ISOLATION_TIMEOUT
        if self.fleet is None and timed_out and self._best_unconfirmed:
            effects += self._follow(self._best_unconfirmed)
        if now >= self._pull_at:
            self._pull_at = now + self._jittered_interval()
            effects += self._pull(connected)
        return effects

    def _jittered_interval(self) -> datetime.timedelta:
        factor = self._generator.uniform(1 - _PULL_JITTER, 1 + _PULL_JITTER)
        return PULL_INTERVAL * factor

    def _pull(
        self, connected: frozenset[model.VmId]
    ) -> list[_effects.EntryEffect]:
        """Request a newer fleet from a random control VM.

        Without a fleet, it is requested from all connected peers.
        """
        recipients = sorted(self._controls & connected)
        if self.fleet is None:
            recipients = sorted(
                (self._controls | self._neighbours) & connected
            )
        elif recipients:
            recipients = [self._generator.choice(recipients)]
        # A peer sends its fleet only if the number is higher than the one
        # requested.  The fleet before the first note has number 0.
        message = protocol.FleetWanted(
            -1 if self.fleet is None else self.number
        )
        return [_effects.SendMessage(peer, message) for peer in recipients]

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
