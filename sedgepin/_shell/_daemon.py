"""Shutdown signals and the choice of peers to dial."""

import collections.abc
import signal
import types

import trio

from sedgepin import settings

# The share of a grace period that a signal is taken to have waited at most.
_MAX_WAITED_SHARE = 0.5


def peers_to_dial(
    own_id: str, peers: collections.abc.Iterable[settings.Peer]
) -> tuple[settings.Peer, ...]:
    """Return the peers that a process dials.

    ``peers`` have the same role as the process.  Of two processes the one with
    the lower id dials, so that there is a single stream between them.
    """
    return tuple(peer for peer in peers if own_id < peer.id)


class StopSignal:
    """A signal that stops a process, and since when it may have waited.

    A process that the machine does not run learns of a signal late, while its
    grace period goes on.
    """

    __slots__ = ("_came_at", "_event", "_ran_at")

    def __init__(self) -> None:
        self._event = trio.Event()
        # When the process surely ran without a signal.
        self._ran_at: float | None = None
        self._came_at: float | None = None

    def is_set(self) -> bool:
        """Return whether the process is to stop."""
        return self._event.is_set()

    def set(self) -> None:
        """Let the process stop."""
        self.note()
        self._event.set()

    async def wait(self) -> None:
        """Wait until the process is to stop."""
        await self._event.wait()

    def note(self) -> None:
        """Note that a signal has come; to be called as soon as it is known.

        It may have come at any time since the last pulse.
        """
        if self._came_at is None:
            self._came_at = self._ran_at
        if self._came_at is None:
            self._came_at = trio.current_time()

    def pulse(self) -> None:
        """Note that the process runs; to be called at each of its ticks."""
        self._ran_at = trio.current_time()

    def seconds_waited(self, grace_seconds: float) -> float:
        """Return how much of a grace period is over.

        No more than half of it, since one that was suspended for long may have
        been sent the signal as it went on.
        """
        if self._came_at is None:
            return 0.0
        seconds = trio.current_time() - self._came_at
        return min(seconds, grace_seconds * _MAX_WAITED_SHARE)


async def watch_stop_signals(
    stop: StopSignal,
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
    stop: StopSignal, task_status: trio.TaskStatus[None]
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        _note_first(stop, signal.SIGTERM)
        _note_first(stop, signal.SIGINT)
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


def _note_first(stop: StopSignal, number: signal.Signals) -> None:
    """Let a signal be noted before the tasks that are due are run."""
    receive = signal.getsignal(number)
    assert callable(receive)

    def handle(number: int, frame: types.FrameType | None) -> None:
        stop.note()
        receive(number, frame)

    signal.signal(number, handle)
