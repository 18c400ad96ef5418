"""Signals, and who dials whom."""

import collections.abc
import signal

import trio

from sedgepin import settings


def peers_to_dial(
    own_id: str, peers: collections.abc.Iterable[settings.Peer]
) -> tuple[settings.Peer, ...]:
    """Return the peers of one's own role that this process dials.

    Of each pair the one with the lower id dials, so that there is one stream
    between them.
    """
    return tuple(peer for peer in peers if own_id < peer.id)


async def wait_for_sigterm() -> None:
    """Return once SIGTERM or SIGINT has come."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _number in signals:
            return
