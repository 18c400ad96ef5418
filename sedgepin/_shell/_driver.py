"""Feeding a reducer one event at a time and carrying out its effects."""

import collections
import collections.abc
import datetime
import typing

from sedgepin import clock

_Event = typing.TypeVar("_Event")
_Effect = typing.TypeVar("_Effect")


class Driver(typing.Generic[_Event, _Effect]):
    """Runs a reducer; an event met while one is handled waits its turn."""

    __slots__ = ("_busy", "_carry_out", "_clock", "_handle", "_waiting")

    def __init__(
        self,
        handle: collections.abc.Callable[
            [_Event, datetime.datetime], collections.abc.Iterable[_Effect]
        ],
        carry_out: collections.abc.Callable[[_Effect], None],
        clock: clock.Clock,
    ) -> None:
        self._handle = handle
        self._carry_out = carry_out
        self._clock = clock
        self._waiting: collections.deque[_Event] = collections.deque()
        self._busy = False

    def submit(self, event: _Event) -> None:
        """Handle ``event``, and all that follows from it, in order."""
        self._waiting.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._waiting:
                self._step(self._waiting.popleft())
        finally:
            self._busy = False

    def _step(self, event: _Event) -> None:
        for effect in self._handle(event, self._clock.now()):
            self._carry_out(effect)
