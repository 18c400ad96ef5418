"""Lets long messages be read in turns, so that they delay no short ones.

All connections that have received something are read before any is read
again.  A thousand that each bring 64 KiB take some 100 ms, and the parts of a
short exchange wait for as long one after the other.
"""

import trio

# A message is long once so many bytes or parts of it were received.
LONG_BYTES = 131_072
LONG_PARTS = 512
_READS_AT_ONCE = 8

_turns: trio.lowlevel.RunVar[trio.Semaphore] = trio.lowlevel.RunVar(
    "sedgepin_bulk_reads"
)


def turn() -> trio.Semaphore:
    """Return what is to be held for one read of a long message.

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
