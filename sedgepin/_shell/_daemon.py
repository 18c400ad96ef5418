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


async def watch_stop_signals(
    stop: trio.Event,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Set ``stop`` on SIGTERM or SIGINT, and run on until cancelled.

    Once ``stop`` is set, no further SIGTERM ends the process in the middle of
    its drain or its exit, nor does a SIGHUP that the daemon does not handle.
    While this runs, a further SIGINT raises ``KeyboardInterrupt``.
    """
    try:
        await _receive_stop_signals(stop, task_status)
    finally:
        # The receiver has put the handler back that ends the process.
        if stop.is_set():
            signal.signal(signal.SIGTERM, signal.SIG_IGN)


async def _receive_stop_signals(
    stop: trio.Event, task_status: trio.TaskStatus[None]
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for number in signals:
            if stop.is_set() and number == signal.SIGINT:
                raise KeyboardInterrupt
            stop.set()
            # One that came while this task is cancelled would be raised again
            # by the receiver, when it has put the first handler back.
            signal.signal(signal.SIGTERM, signal.SIG_IGN)
            if signal.getsignal(signal.SIGHUP) is signal.SIG_DFL:
                signal.signal(signal.SIGHUP, signal.SIG_IGN)
