"""Lets the tasks that read heads and costly messages take turns."""

import collections.abc
import contextlib

import trio

from sedgepin._work import _arrivals
from sedgepin._work import _limits
from sedgepin._work import _load
from sedgepin._work import _schedule


class WorkEnded(Exception):
    """A message was given up, as too many costly ones wait."""


class _Turns:
    """The schedules of an event loop, and the tasks that wait in them.

    ``record_ended`` is called for each message that is ended.
    """

    __slots__ = ("_arrivals", "_record_ended", "_schedule", "_tasks", "limits")

    def __init__(
        self,
        limits: _limits.WorkLimits,
        record_ended: collections.abc.Callable[[], object],
    ) -> None:
        self.limits = limits
        self._record_ended = record_ended
        self._schedule = _schedule.WorkSchedule(
            max_waiting=limits.waiting_messages
        )
        self._arrivals = _arrivals.ArrivalSchedule(limits.arrivals_at_once)
        self._tasks: dict[_load.MessageLoad, trio.lowlevel.Task] = {}

    @property
    def connections_to_accept(self) -> int:
        return self._arrivals.connections_to_accept

    async def pass_head(self, is_pipelined: bool) -> None:
        await trio.lowlevel.checkpoint_if_cancelled()
        task = trio.lowlevel.current_task()
        if self._arrivals.request(task, is_pipelined):
            # The place is taken until the next turn of the event loop.
            try:
                await trio.lowlevel.cancel_shielded_checkpoint()
            finally:
                self._release_head()
            return

        def abort(_raise_cancel: object) -> trio.lowlevel.Abort:
            self._arrivals.withdraw(task)
            return trio.lowlevel.Abort.SUCCEEDED

        await trio.lowlevel.wait_task_rescheduled(abort)
        self._release_head()

    def _release_head(self) -> None:
        task = self._arrivals.release()
        if isinstance(task, trio.lowlevel.Task):
            trio.lowlevel.reschedule(task)

    async def wait(self, load: _load.MessageLoad) -> None:
        await trio.lowlevel.checkpoint_if_cancelled()
        if self._schedule.request(load):
            return
        self._tasks[load] = trio.lowlevel.current_task()
        ended = self._schedule.end_costliest()
        if ended is load:
            del self._tasks[load]
        elif ended is not None:
            self._wake(ended)
        # After the wake: the ended task must go on if this fails.
        if ended is not None and not ended.is_useless:
            try:
                self._record_ended()
            except BaseException:
                if ended is not load:
                    self._withdraw(load)
                raise
        if ended is load:
            raise WorkEnded

        def abort(_raise_cancel: object) -> trio.lowlevel.Abort:
            self._withdraw(load)
            return trio.lowlevel.Abort.SUCCEEDED

        await trio.lowlevel.wait_task_rescheduled(abort)
        if load.has_ended:
            raise WorkEnded

    def release(self) -> None:
        load = self._schedule.release()
        if load is not None:
            self._wake(load)

    def _withdraw(self, load: _load.MessageLoad) -> None:
        self._schedule.withdraw(load)
        del self._tasks[load]

    def _wake(self, load: _load.MessageLoad) -> None:
        trio.lowlevel.reschedule(self._tasks.pop(load))


_turns: trio.lowlevel.RunVar[_Turns] = trio.lowlevel.RunVar("sedgepin_work")


def _current() -> _Turns:
    try:
        return _turns.get()
    except LookupError:
        return _start(_limits.WorkLimits(), bool)


def _start(
    limits: _limits.WorkLimits,
    record_ended: collections.abc.Callable[[], object],
) -> _Turns:
    turns = _Turns(limits, record_ended)
    _turns.set(turns)
    return turns


def start(
    limits: _limits.WorkLimits,
    record_ended: collections.abc.Callable[[], object],
) -> None:
    """Set the limits of the running event loop.

    To be called before connections are accepted.  ``record_ended`` is called
    for each message that is given up, as too many costly ones wait.
    """
    _start(limits, record_ended)


def new_load() -> _load.MessageLoad:
    """Return the load of a message that begins, with the limits in force."""
    return _load.MessageLoad(_current().limits.excess_pieces)


def connections_to_accept() -> int:
    """Return how many connections a listener may accept in a turn.

    At least one.
    """
    return _current().connections_to_accept


async def pass_head(is_pipelined: bool = False) -> None:
    """Wait until a head whose first bytes have come may be read.

    A pipelined one came before the answer to an earlier request.
    """
    await _current().pass_head(is_pipelined)


@contextlib.asynccontextmanager
async def turn(
    load: _load.MessageLoad,
) -> collections.abc.AsyncIterator[None]:
    """Hold the turn of a costly message within the block.

    The block must not wait for the peer.  Raises ``WorkEnded``.
    """
    turns = _current()
    await turns.wait(load)
    try:
        yield
    finally:
        turns.release()


async def pass_turn(load: _load.MessageLoad) -> None:
    """Let other tasks run, and costly messages take turns.

    To be called after a few pieces.  Raises ``WorkEnded``.
    """
    if not load.is_costly:
        await trio.lowlevel.checkpoint()
        return
    async with turn(load):
        await trio.lowlevel.checkpoint()
