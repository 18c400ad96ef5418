"""The work that one message of a connection has caused."""

from sedgepin._work import _limits

# A piece costs some 20 us, however small it is.
_SOUND_PIECE_BYTES = 16
# Beyond this a message takes turns with others of its kind.
_FREE_PIECES = 32
_FREE_BYTES = 131_072
# A request that waits behind another one on its connection costs as much as
# some pieces.
_HEAD_PIECES = 16
_MAX_EXCESS_PIECES = _limits.WorkLimits().excess_pieces


class MessageLoad:
    """The pieces and bytes of a message that is being received.

    Only the message's own end begins another one: neither time nor a trickle
    renews what it may cost.

    >>> load = MessageLoad()
    >>> load.add(10_000, 10_000)
    >>> load.is_costly, load.is_too_fragmented
    (True, True)
    """

    __slots__ = (
        "_bytes",
        "_max_excess_pieces",
        "_pieces",
        "has_ended",
        "is_useless",
    )

    def __init__(self, max_excess_pieces: int = _MAX_EXCESS_PIECES) -> None:
        self._max_excess_pieces = max_excess_pieces
        self._bytes = 0
        self._pieces = 0
        # Set if its bytes are discarded.
        self.is_useless = False
        # Set by the schedule, to let the message's reader give it up.
        self.has_ended = False

    @property
    def excess_pieces(self) -> int:
        """Return how many pieces its bytes do not justify."""
        return max(0, self._pieces - self._bytes // _SOUND_PIECE_BYTES)

    @property
    def is_costly(self) -> bool:
        """Return whether it must take turns."""
        return (
            self._bytes > _FREE_BYTES
            or self.is_useless
            or self.excess_pieces > _FREE_PIECES
        )

    @property
    def may_be_ended(self) -> bool:
        """Return whether it costs more than it yields.

        A large message in sound pieces does not.
        """
        return self.is_useless or self.excess_pieces > _FREE_PIECES

    @property
    def is_too_fragmented(self) -> bool:
        """Return whether the message must be refused."""
        return self.excess_pieces > self._max_excess_pieces

    def add_head(self) -> None:
        """Record a request that its caller sent without awaiting answers."""
        self._pieces += _HEAD_PIECES

    def add(self, pieces: int, size_bytes: int) -> None:
        """Record pieces and bytes that were received."""
        self._pieces += pieces
        self._bytes += size_bytes
