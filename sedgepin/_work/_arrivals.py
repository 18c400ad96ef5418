"""Decides which heads begin, and how many connections are accepted."""

import collections

from sedgepin._work import _limits

_AT_ONCE = _limits.WorkLimits().arrivals_at_once
# As many connections as the places divided by this are accepted beside any
# number of heads.  With a half, neither those that keep their connections nor
# those that open one for each request get less than a third of a turn.
_CONNECTIONS_DIVISOR = 2


class ArrivalSchedule:
    """Lets a few heads begin in a turn of the event loop, the oldest first.

    Pipelined heads, whose callers do not await the answers before them, come
    after all others.  While they wait, one place of each turn is theirs, as a
    crowd of other heads would delay them without end.  A head and a new
    connection cost about as much as each other.  Places that no head takes
    are for new connections, so that connections that bring a request are
    served before more are accepted.  At least half as many as there are
    places are accepted all the same: callers that keep their connections busy
    would otherwise delay those who open one for each request without end.

    >>> schedule = ArrivalSchedule(at_once=1)
    >>> schedule.request(first), schedule.request(second)
    (True, False)
    >>> schedule.release() is second
    True
    """

    __slots__ = (
        "_at_once",
        "_others_begun",
        "_pipelined",
        "_running",
        "_waiting",
    )

    def __init__(self, at_once: int = _AT_ONCE) -> None:
        self._at_once = at_once
        self._running = 0
        # Heads that took a released place since the last pipelined one.
        self._others_begun = 0
        # In the order of their requests; only the keys are used.
        self._waiting: collections.OrderedDict[object, None] = (
            collections.OrderedDict()
        )
        self._pipelined: collections.OrderedDict[object, None] = (
            collections.OrderedDict()
        )

    @property
    def connections_to_accept(self) -> int:
        """Return how many connections a listener may accept in this turn."""
        left = self._at_once - self._running - len(self._waiting)
        return max(1, self._at_once // _CONNECTIONS_DIVISOR, left)

    def request(self, head: object, is_pipelined: bool = False) -> bool:
        """Return whether a head may begin now; otherwise it waits."""
        if self._running < self._at_once:
            self._running += 1
            return True
        (self._pipelined if is_pipelined else self._waiting)[head] = None
        return False

    def release(self) -> object | None:
        """End the place of a head; return the one that takes it, if any."""
        # With one place for all, pipelined heads get every second turn.
        is_due = self._others_begun >= max(1, self._at_once - 1)
        if self._pipelined and (is_due or not self._waiting):
            self._others_begun = 0
            return self._pipelined.popitem(last=False)[0]
        if self._waiting:
            self._others_begun += 1
            return self._waiting.popitem(last=False)[0]
        self._running -= 1
        return None

    def withdraw(self, head: object) -> None:
        """Remove a head that waits no longer."""
        self._waiting.pop(head, None)
        self._pipelined.pop(head, None)
