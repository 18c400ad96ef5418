"""Decides which costly messages cause work in a turn of the event loop."""

import heapq

from sedgepin._work import _limits
from sedgepin._work import _load

# Each takes at most some 16 pieces or 64 KiB in its turn, which is 0.3 ms.
_RUNNING_AT_ONCE = 8
# With 4,096 pieces of 20 us each, those that wait cost 5 s of a processor.
_MAX_WAITING = _limits.WorkLimits().waiting_messages


class WorkSchedule:
    """Lets costly messages run a few at a time, the sound ones first.

    Messages that are not costly do not ask.  Those that cost more than they
    yield wait behind large sound ones, the costliest last.  When more of them
    wait than ``max_waiting``, the costliest is ended.

    >>> schedule = WorkSchedule(running_at_once=1)
    >>> schedule.request(first), schedule.request(second)
    (True, False)
    >>> schedule.release() is second
    True
    """

    __slots__ = (
        "_endable_count",
        "_max_waiting",
        "_number",
        "_running",
        "_running_at_once",
        "_waiting",
    )

    def __init__(
        self,
        running_at_once: int = _RUNNING_AT_ONCE,
        max_waiting: int = _MAX_WAITING,
    ) -> None:
        self._running_at_once = running_at_once
        self._max_waiting = max_waiting
        self._running = 0
        self._number = 0
        self._endable_count = 0
        # Order and number of each message; neither changes while it waits.
        self._waiting: list[tuple[bool, int, int, _load.MessageLoad]] = []

    @property
    def waiting_count(self) -> int:
        """Return how many messages wait for their turn."""
        return len(self._waiting)

    def request(self, load: _load.MessageLoad) -> bool:
        """Return whether a message may run now; otherwise it waits."""
        if self._running < self._running_at_once:
            self._running += 1
            return True
        self._number += 1
        self._endable_count += load.may_be_ended
        heapq.heappush(
            self._waiting,
            (load.is_useless, load.excess_pieces, self._number, load),
        )
        return False

    def release(self) -> _load.MessageLoad | None:
        """End a turn; return the message that runs next, if any."""
        if not self._waiting:
            self._running -= 1
            return None
        load = heapq.heappop(self._waiting)[-1]
        self._endable_count -= load.may_be_ended
        return load

    def withdraw(self, load: _load.MessageLoad) -> None:
        """Forget a message that waits no longer."""
        self._waiting = [one for one in self._waiting if one[-1] is not load]
        heapq.heapify(self._waiting)
        self._endable_count -= load.may_be_ended

    def end_costliest(self) -> _load.MessageLoad | None:
        """Return the message to end because too many wait, if any."""
        if self._endable_count <= self._max_waiting:
            return None
        endable = (one for one in self._waiting if one[-1].may_be_ended)
        load = max(endable)[-1]
        self.withdraw(load)
        load.has_ended = True
        return load
