"""Requests that arrive before a starting VM knows routes and endpoints.

Answers the load pattern after a power loss or a restart of many VMs: callers
whose streams were cut retry at once, and most of them retry only once.  A VM
knows the configuration and the endpoints within about a second of its start,
so a refusal in that time loses a caller that could be served a little later.
"""

import dataclasses
import datetime

from sedgepin._gateway import _events

# A VM counts as starting for this long.  Endpoints renew their registrations
# within it, even if the control VMs were restarted as well.
_STARTUP_TIME = datetime.timedelta(seconds=4)
# The longest wait of a request, and the largest share of the time that its
# caller allows for it.
_MAX_WAIT = datetime.timedelta(milliseconds=1500)
_MAX_WAIT_SHARE = 0.3


@dataclasses.dataclass(slots=True, frozen=True)
class HeldRequest:
    """A request that waits, since when, and until when at the latest."""

    event: _events.RequestArrived
    arrived_at: datetime.datetime
    expires_at: datetime.datetime


class StartupQueue:
    """Holds requests in the order of their arrival.

    >>> queue = StartupQueue(now)
    >>> queue.try_hold(event, now, now)
    True
    >>> queue.take_all()
    [HeldRequest(...)]
    """

    __slots__ = ("_held", "_started_at")

    def __init__(self, now: datetime.datetime) -> None:
        self._started_at = now
        self._held: dict[int, HeldRequest] = {}

    def __len__(self) -> int:
        return len(self._held)

    def is_open(self, now: datetime.datetime) -> bool:
        """Return whether the VM is still starting."""
        return now - self._started_at < _STARTUP_TIME

    def try_hold(
        self,
        event: _events.RequestArrived,
        arrived_at: datetime.datetime,
        now: datetime.datetime,
    ) -> bool:
        """Hold a request, unless the start or its time for it is over."""
        if not self.is_open(now):
            return False
        wait = _MAX_WAIT
        if event.request.time_left is not None:
            wait = min(wait, event.request.time_left * _MAX_WAIT_SHARE)
        held = HeldRequest(event, arrived_at, arrived_at + wait)
        if now >= held.expires_at:
            return False
        self._held[event.exchange_id] = held
        return True

    def take_all(self) -> list[HeldRequest]:
        """Remove and return all requests, to be admitted again."""
        held = list(self._held.values())
        self._held.clear()
        return held

    def discard(self, exchange_id: int) -> HeldRequest | None:
        """Remove and return a request, if it is held."""
        return self._held.pop(exchange_id, None)
