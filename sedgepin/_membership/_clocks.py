"""Upper bounds on the age of messages without synchronized clocks.

A process compares only instants of its own clock.  It sends such an instant
as an echo, and a message that carries the echo back was sent later than that
instant, whatever the transit time and whatever the sender's clock shows.
Clocks may run at rates up to 5% off true time, in either direction, and keep
running while their process is stopped.
"""

import dataclasses
import datetime

from sedgepin._membership import _frames as frames
from sedgepin import _model as model

# Bounds on the rate of one clock as measured by another: 0.95/1.05 and
# 1.05/0.95, the lower one rounded down and the upper one up.
MIN_RELATIVE_RATE = 0.904
MAX_RELATIVE_RATE = 1.106

_MAX_DIGITS = 19

MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class Echo:
    """An instant of one incarnation of a VM, in milliseconds since its start.

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
        """Parse the text form of an echo; ``None`` if it is malformed."""
        vm_id, _, milliseconds = text.rpartition("/")
        vm_id, _, incarnation = vm_id.rpartition("/")
        if not (
            vm_id and _is_number(incarnation) and _is_number(milliseconds)
        ):
            return None
        if int(milliseconds) > frames.LARGEST_MILLISECONDS:
            return None
        return cls(
            model.VmId(vm_id),
            model.Incarnation(int(incarnation)),
            int(milliseconds),
        )


def _is_number(text: str) -> bool:
    return len(text) <= _MAX_DIGITS and text.isascii() and text.isdigit()


class IncarnationClock:
    """Converts between instants of this process and milliseconds on the wire.

    On the wire, an instant is the number of milliseconds since the start of
    this incarnation of the VM.
    """

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

    def create_echo(self, now: datetime.datetime) -> Echo:
        """Return the echo of ``now``."""
        return Echo(self.vm_id, self.incarnation, self.to_milliseconds(now))

    def resolve_echo(
        self, incarnation: int, milliseconds: int, now: datetime.datetime
    ) -> datetime.datetime | None:
        """Return the instant at which this VM issued an echo.

        ``None`` if another incarnation issued it, or if it is invalid:
        before the start of this incarnation or after ``now``.
        """
        if incarnation != self.incarnation:
            return None
        elapsed = self.to_milliseconds(now)
        if not 0 <= milliseconds <= elapsed:
            return None
        return self._started_at + milliseconds * MILLISECOND


class PeerClock:
    """Maps instants of a peer's clock to lower bounds on the own clock.

    Each frame of the peer carries the peer's instant of sending and the
    latest own instant that the peer had received; the frame cannot have been
    sent before that own instant.  The best bound so far is extrapolated at
    the slowest rate that the peer's clock may imply.
    """

    __slots__ = (
        "_bound",
        "_bound_milliseconds",
        "incarnation",
        "latest_milliseconds",
    )

    def __init__(self, incarnation: model.Incarnation) -> None:
        self.incarnation = incarnation
        self.latest_milliseconds = -1
        self._bound_milliseconds = 0
        self._bound: datetime.datetime | None = None

    def observe(
        self, peer_milliseconds: int, echoed_at: datetime.datetime | None
    ) -> datetime.datetime | None:
        """Process the instants of a frame; return a bound on its sending.

        ``echoed_at`` is the own instant that the frame echoes, if any.  The
        result is the earliest own instant at which the frame can have been
        sent, or ``None`` as long as the peer has echoed none.
        """
        self.latest_milliseconds = max(
            self.latest_milliseconds, peer_milliseconds
        )
        bound = self.lower_bound(peer_milliseconds)
        if echoed_at is not None:
            bound = echoed_at if bound is None else max(bound, echoed_at)
        if bound is not None and peer_milliseconds >= self._bound_milliseconds:
            self._bound = bound
            self._bound_milliseconds = peer_milliseconds
        return bound

    def lower_bound(self, peer_milliseconds: int) -> datetime.datetime | None:
        """Return the earliest own instant that an instant of the peer can be.

        ``None`` as long as the peer has echoed no own instant.
        """
        if self._bound is None:
            return None
        # Both instants are rounded down to whole milliseconds, so the true
        # difference may be smaller by up to one millisecond.
        elapsed = peer_milliseconds - self._bound_milliseconds - 1
        rate = MIN_RELATIVE_RATE if elapsed >= 0 else MAX_RELATIVE_RATE
        return self._bound + elapsed * rate * MILLISECOND


class FreezeDetector:
    """Detects that the process was stopped, from gaps between its events.

    Messages that waited in the socket buffers meanwhile may be as old as the
    gap.  For a period of ``limit`` after the process resumes, every message
    counts as received at the start of the gap.
    """

    __slots__ = ("_frozen_since", "_last_event_at", "_limit", "_resumed_at")

    def __init__(self, limit: datetime.timedelta) -> None:
        self._limit = limit
        self._last_event_at: datetime.datetime | None = None
        self._frozen_since: datetime.datetime | None = None
        self._resumed_at: datetime.datetime | None = None

    def earliest_receipt(
        self, now: datetime.datetime, timer_due_at: datetime.datetime
    ) -> datetime.datetime:
        """Return the earliest instant at which the current message arrived.

        ``timer_due_at`` is when the next timer should fire.  An event loop
        that is late by more than the limit was stopped since its last event.
        Must be called for every event.
        """
        last_event_at = self._last_event_at or now
        self._last_event_at = now
        if now - max(timer_due_at, last_event_at) > self._limit:
            self._frozen_since = last_event_at
            self._resumed_at = now
        if self._resumed_at is None or self._frozen_since is None:
            return now
        if now - self._resumed_at > self._limit:
            return now
        return self._frozen_since
