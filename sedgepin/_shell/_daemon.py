"""Shutdown signals and the choice of peers to dial."""

import collections.abc
import signal

import trio

from sedgepin import settings


def peers_to_dial(
    own_id: str, peers: collections.abc.Iterable[settings.Peer]
) -> tuple[settings.Peer, ...]:
    """Return the peers that a process dials.

    ``peers`` have the same role as the process.  Of two processes the one with
    the lower id dials, so that there is a single stream between them.
    """
    return tuple(peer for peer in peers if own_id < peer.id)


async def wait_for_sigterm() -> None:
    """Wait for SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _number in signals:
            return
