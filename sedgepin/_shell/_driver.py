"""Runs a reducer: one event at a time, then the effects of that event."""

import collections
import collections.abc
import datetime
import typing

from sedgepin import clock

_Event = typing.TypeVar("_Event")
_Effect = typing.TypeVar("_Effect")


class DriverStopped(Exception):
    """The reducer failed at an earlier event and is not used any more."""


class Driver(typing.Generic[_Event, _Effect]):
    """Passes events to a reducer and carries out its effects.

    ``handle`` is the reducer's handler, ``apply_effect`` carries out one
    effect.  With ``is_fail_stop``, a reducer that has raised an exception, or
    whose effects have, gets no further event: its state may differ from what
    is stored.
    """

    __slots__ = (
        "_apply_effect",
        "_clock",
        "_failure",
        "_handle",
        "_is_fail_stop",
        "_is_running",
        "_queue",
    )

    def __init__(
        self,
        handle: collections.abc.Callable[
            [_Event, datetime.datetime], collections.abc.Iterable[_Effect]
        ],
        apply_effect: collections.abc.Callable[[_Effect], None],
        clock: clock.Clock,
        is_fail_stop: bool = True,
    ) -> None:
        self._handle = handle
        self._apply_effect = apply_effect
        self._clock = clock
        self._queue: collections.deque[_Event] = collections.deque()
        self._is_running = False
        self._is_fail_stop = is_fail_stop
        self._failure: Exception | None = None

    def submit(self, event: _Event) -> None:
        """Handle ``event`` and carry out its effects.

        Effects may submit further events.  These are queued and handled in
        order before the outermost call returns.  Raises ``DriverStopped``
        after a failure with ``is_fail_stop``.
        """
        if self._failure is not None:
            raise DriverStopped from self._failure
        self._queue.append(event)
        if self._is_running:
            return
        self._is_running = True
        try:
            while self._queue:
                self._handle_event(self._queue.popleft())
        except Exception as exc:
            if self._is_fail_stop:
                self._failure = exc
            raise
        finally:
            self._is_running = False

    def _handle_event(self, event: _Event) -> None:
        for effect in self._handle(event, self._clock.now()):
            self._apply_effect(effect)
