"""What the connections of a server share."""

import trio

from sedgepin import _memory as memory
from sedgepin._web import _exchange
from sedgepin._web import _idle_limits


class ServerState:
    """What the connections of a server share."""

    __slots__ = (
        "_handler",
        "_idle_limits",
        "budget",
        "has_stopped_accepting",
        "is_draining",
        "keeps_connections",
        "limits_heads",
    )

    def __init__(
        self,
        handler: _exchange.Handler,
        budget: memory.MemoryBudget | None,
        limits_heads: bool,
    ) -> None:
        self._handler = handler
        self.limits_heads = limits_heads
        self.budget = budget
        seconds = handler.limits().idle_timeout_seconds
        self._idle_limits = _idle_limits.IdleLimits(seconds)
        self.has_stopped_accepting = False
        self.is_draining = False
        self.keeps_connections = True

    def update_limits(self) -> None:
        """Record the idle timeout that is in force now."""
        seconds = self._handler.limits().idle_timeout_seconds
        self._idle_limits.record(seconds, trio.current_time())

    def idle_seconds_since(self, time: float) -> float:
        """Return the longest idle timeout in force at a time since then."""
        self.update_limits()
        return self._idle_limits.longest_since(time)
