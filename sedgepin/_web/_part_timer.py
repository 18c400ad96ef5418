"""Limits on a part of an answer that arrives in small pieces."""

# An engine sends a head, a chunk's length or an event in one piece.
_LIMIT_SECONDS = 5.0
# A longer pause counts as this.  An engine that was silent for a while and
# goes on has not sent a part without end.
_MAX_PAUSE_SECONDS = 1.0
# Each piece costs some 10 us, however small it is.
_MAX_PIECES = 16_384


class PartTimer:
    """Detects a part of an answer that grows and never ends.

    Only the time between bytes counts, so silence alone is never reported.

    >>> timer = PartTimer()
    >>> timer.add_bytes(0.0)
    False
    >>> any(timer.add_bytes(float(second)) for second in range(1, 7))
    True
    """

    __slots__ = ("_piece_count", "_seconds", "_updated_at")

    def __init__(self) -> None:
        self._piece_count = 0
        self._seconds = 0.0
        self._updated_at: float | None = None

    def reset(self) -> None:
        """Start anew, after a part was completed."""
        self._piece_count = 0
        self._seconds = 0.0
        self._updated_at = None

    def add_bytes(self, time: float) -> bool:
        """Record bytes that complete no part; return whether to give up."""
        if self._updated_at is not None:
            pause = time - self._updated_at
            self._seconds += min(pause, _MAX_PAUSE_SECONDS)
        self._updated_at = time
        self._piece_count += 1
        return (
            self._seconds > _LIMIT_SECONDS or self._piece_count > _MAX_PIECES
        )
