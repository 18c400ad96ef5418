"""The idle timeouts that were in force lately."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class _PastLimit:
    seconds: float
    ended_at: float


class IdleLimits:
    """Remembers idle timeouts for as long as a connection may rely on them.

    Callers reuse a connection under the longest timeout that was in force at
    any time while it was idle.  Times are those of the ``trio`` clock.

    >>> limits = IdleLimits(1.0)
    >>> limits.record(5.0, 10.0)
    >>> limits.record(1.0, 10.2)
    >>> limits.longest_since(10.1), limits.longest_since(10.3)
    (5.0, 1.0)
    """

    __slots__ = ("_past", "_seconds")

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        # In the order of their ends, each longer than those after it.
        self._past: collections.deque[_PastLimit] = collections.deque()

    def record(self, seconds: float, time: float) -> None:
        """State the timeout that is in force from now on."""
        if seconds == self._seconds:
            return
        self._append(_PastLimit(self._seconds, time))
        self._seconds = seconds
        while self._past and not _is_needed(self._past[0], time):
            self._past.popleft()

    def longest_since(self, time: float) -> float:
        """Return the longest timeout in force at a time since ``time``."""
        for past in self._past:
            if past.ended_at >= time:
                return max(past.seconds, self._seconds)
        return self._seconds

    def _append(self, past: _PastLimit) -> None:
        while self._past and self._past[-1].seconds <= past.seconds:
            self._past.pop()
        self._past.append(past)


def _is_needed(past: _PastLimit, time: float) -> bool:
    """Return whether a connection that is still open was idle under it."""
    return past.ended_at + past.seconds >= time
