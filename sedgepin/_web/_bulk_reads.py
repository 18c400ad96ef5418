"""Lets peers that send much be read in turns, so that they delay no others.

All connections that have received something are read before any is read
again.  A thousand that each bring 64 KiB take some 100 ms, and the parts of a
short exchange wait for as long one after the other.
"""

import trio

# What a peer sends within the window before its reads take turns.
BULK_BYTES = 131_072
_BULK_PARTS = 512
_WINDOW_SECONDS = 1.0
_READS_AT_ONCE = 8

_turns: trio.lowlevel.RunVar[trio.Semaphore] = trio.lowlevel.RunVar(
    "sedgepin_bulk_reads"
)


class FlowMeter:
    """Tells whether a peer sends so much that its reads take turns.

    >>> meter = FlowMeter()
    >>> meter.add(262_144, 1, time=0.0)
    >>> meter.is_bulk
    True
    """

    __slots__ = ("_bytes", "_parts", "_started_at")

    def __init__(self) -> None:
        self._bytes = 0
        self._parts = 0
        self._started_at = 0.0

    @property
    def is_bulk(self) -> bool:
        """Return whether the peer has sent much in the current window."""
        return self._bytes > BULK_BYTES or self._parts > _BULK_PARTS

    def add(self, size_bytes: int, parts: int, time: float) -> None:
        """Record bytes and parts of a message that were received."""
        if time - self._started_at > _WINDOW_SECONDS:
            self._started_at = time
            self._bytes = 0
            self._parts = 0
        self._bytes += size_bytes
        self._parts += parts


def turn() -> trio.Semaphore:
    """Return what is to be held for one read from such a peer.

    The read must not wait for the peer meanwhile.

    >>> await trio.lowlevel.wait_readable(sock)
    >>> async with turn():
    ...     data = await stream.receive_some(65_536)
    """
    try:
        return _turns.get()
    except LookupError:
        turns = trio.Semaphore(_READS_AT_ONCE)
        _turns.set(turns)
        return turns
