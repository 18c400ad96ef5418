"""Bounds on the age of a message that trust no wall clock.

A process compares only instants of its own clock.  A message that returns
one of them was sent after that instant, however long it travelled and
whatever the sender's clock shows.  Clocks may run at rates up to 5% off true
time, in either direction, and go on while their process is stopped.
"""

import dataclasses
import datetime

from sedgepin._membership import _frames as frames
from sedgepin import _model as model

# The rate of one clock as another sees it: 0.95/1.05 and 1.05/0.95, rounded
# away from each other.
SLOWEST_RATE = 0.904
FASTEST_RATE = 1.106

_LONGEST_NUMBER = 19

MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class Echo:
    """An instant of one life of one VM, in milliseconds since its start.

    >>> Echo.parse(str(Echo(model.VmId("e1"), model.Incarnation(7), 1500)))
    Echo(vm_id='e1', incarnation=7, instant_milliseconds=1500)
    """

    vm_id: model.VmId
    incarnation: model.Incarnation
    instant_milliseconds: int

    def __str__(self) -> str:
        return f"{self.vm_id}/{self.incarnation}/{self.instant_milliseconds}"

    @classmethod
    def parse(cls, text: str) -> "Echo | None":
        """Return the echo that ``text`` holds; ``None`` where it is none."""
        vm_id, _, rest = text.rpartition("/")
        vm_id, _, life = vm_id.rpartition("/")
        if not (vm_id and _is_number(life) and _is_number(rest)):
            return None
        if int(rest) > frames.LARGEST_MILLISECONDS:
            return None
        return cls(model.VmId(vm_id), model.Incarnation(int(life)), int(rest))


def _is_number(text: str) -> bool:
    return len(text) <= _LONGEST_NUMBER and text.isascii() and text.isdigit()


class LifeClock:
    """Instants of this life of this VM, as milliseconds since its start."""

    __slots__ = ("_started_at", "incarnation", "vm_id")

    def __init__(
        self,
        vm_id: model.VmId,
        incarnation: model.Incarnation,
        started_at: datetime.datetime,
    ) -> None:
        self.vm_id = vm_id
        self.incarnation = incarnation
        self._started_at = started_at

    def to_milliseconds(self, instant: datetime.datetime) -> int:
        """Return the whole milliseconds from the start to ``instant``."""
        return (instant - self._started_at) // MILLISECOND

    def issue(self, now: datetime.datetime) -> Echo:
        """Return the echo of ``now``."""
        return Echo(self.vm_id, self.incarnation, self.to_milliseconds(now))

    def returned(
        self, incarnation: int, milliseconds: int, now: datetime.datetime
    ) -> datetime.datetime | None:
        """Return the instant that an echo stands for.

        ``None`` for one of another life, and for one that cannot be: below
        the start or after ``now``.
        """
        if incarnation != self.incarnation:
            return None
        elapsed = self.to_milliseconds(now)
        if not 0 <= milliseconds <= elapsed:
            return None
        return self._started_at + milliseconds * MILLISECOND


class PeerClock:
    """Bounds, from below, where a peer's instants lie on the own clock.

    Each frame of the peer names the peer's instant of sending and returns
    the last own instant that the peer had received: the frame was sent no
    earlier than that.  The best bound so far is carried on at the slowest
    rate that the peer's clock can stand for.
    """

    __slots__ = ("_bound", "_peer_milliseconds", "incarnation", "latest")

    def __init__(self, incarnation: model.Incarnation) -> None:
        self.incarnation = incarnation
        self.latest = -1
        self._peer_milliseconds = 0
        self._bound: datetime.datetime | None = None

    def observe(
        self, peer_milliseconds: int, returned: datetime.datetime | None
    ) -> datetime.datetime | None:
        """Take a frame in; return the earliest own instant of its sending.

        ``returned`` is the own instant that the frame returns, if any.  The
        answer is ``None`` while the peer has returned none.
        """
        self.latest = max(self.latest, peer_milliseconds)
        bound = self.earliest(peer_milliseconds)
        if returned is not None:
            bound = returned if bound is None else max(bound, returned)
        if bound is not None and peer_milliseconds >= self._peer_milliseconds:
            self._bound = bound
            self._peer_milliseconds = peer_milliseconds
        return bound

    def earliest(self, peer_milliseconds: int) -> datetime.datetime | None:
        """Return the earliest own instant for an instant of the peer."""
        if self._bound is None:
            return None
        # Both instants are whole milliseconds: one more may hide in them.
        elapsed = peer_milliseconds - self._peer_milliseconds - 1
        rate = SLOWEST_RATE if elapsed >= 0 else FASTEST_RATE
        return self._bound + elapsed * rate * MILLISECOND


class FreezeGuard:
    """Tells how long the process stood still just before it woke.

    What waited in the sockets meanwhile may be as old as that.  For one
    ``limit`` after the wake everything received counts as if it had waited
    from the start of the gap.
    """

    __slots__ = ("_gap_from", "_last_handled", "_limit", "_woke_at")

    def __init__(self, limit: datetime.timedelta) -> None:
        self._limit = limit
        self._last_handled: datetime.datetime | None = None
        self._gap_from: datetime.datetime | None = None
        self._woke_at: datetime.datetime | None = None

    def earliest_receipt(
        self, now: datetime.datetime, due: datetime.datetime
    ) -> datetime.datetime:
        """Return the earliest instant at which what is read may have come.

        ``due`` is when the next timer should fire: a loop that is overdue
        by more than the limit stood still since its last event.
        """
        last_handled = self._last_handled or now
        self._last_handled = now
        if now - max(due, last_handled) > self._limit:
            self._gap_from = last_handled
            self._woke_at = now
        if self._woke_at is None or self._gap_from is None:
            return now
        if now - self._woke_at > self._limit:
            return now
        return self._gap_from
