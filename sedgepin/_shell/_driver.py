"""Runs a reducer: one event at a time, then the effects of that event."""

import collections
import collections.abc
import dataclasses
import datetime
import typing

from sedgepin import clock

_Event = typing.TypeVar("_Event")
_Effect = typing.TypeVar("_Effect")


class DriverStopped(Exception):
    """The reducer failed at an earlier event and is not used any more."""


@dataclasses.dataclass(slots=True, frozen=True)
class Postponement(typing.Generic[_Event]):
    """How effects that cannot be carried out yet are postponed.

    ``error`` is what such an effect raises; it must have changed nothing.
    ``started`` returns the event that tells the reducer so, and ``ended`` the
    one after all postponed effects were carried out.  In between the reducer
    must return no effect that raises ``error``.
    """

    error: type[Exception]
    started: collections.abc.Callable[[Exception], _Event]
    ended: collections.abc.Callable[[], _Event]


class Driver(typing.Generic[_Event, _Effect]):
    """Passes events to a reducer and carries out its effects.

    ``handle`` is the reducer's handler, ``apply_effect`` carries out one
    effect.  With ``is_fail_stop``, a reducer that has raised an exception, or
    whose effects have, gets no further event: its state may differ from what
    is stored.

    With ``postponement``, an effect that raises its error is kept, with those
    that follow it from the same event, until ``retry_postponed``; later events
    are handled all the same.
    """

    __slots__ = (
        "_apply_effect",
        "_clock",
        "_failure",
        "_handle",
        "_is_fail_stop",
        "_is_postponing",
        "_is_running",
        "_postponed",
        "_postponement",
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
        postponement: Postponement[_Event] | None = None,
    ) -> None:
        self._handle = handle
        self._apply_effect = apply_effect
        self._clock = clock
        self._queue: collections.deque[_Event] = collections.deque()
        self._is_running = False
        self._is_fail_stop = is_fail_stop
        self._failure: Exception | None = None
        self._postponement = postponement
        self._postponed: collections.deque[_Effect] = collections.deque()
        self._is_postponing = False

    @property
    def has_postponed(self) -> bool:
        """Return whether effects wait that come before any later ones."""
        return bool(self._postponed)

    def submit(self, event: _Event) -> None:
        """Handle ``event`` and carry out its effects.

        Effects may submit further events.  These are queued and handled in
        order before the outermost call returns.  Raises ``DriverStopped``
        after a failure with ``is_fail_stop``.
        """
        self._check_running()
        self._queue.append(event)
        if not self._is_running:
            self._run(collections.deque())

    def retry_postponed(self) -> None:
        """Carry out the postponed effects as far as possible.

        Must not be called by an effect.
        """
        self._check_running()
        if self._postponed:
            effects, self._postponed = self._postponed, collections.deque()
            self._run(effects)

    def _check_running(self) -> None:
        if self._failure is not None:
            raise DriverStopped from self._failure

    def _run(self, effects: collections.deque[_Effect]) -> None:
        """Carry out effects, then handle all queued events."""
        self._is_running = True
        try:
            self._carry_out(effects)
            self._finish_postponing()
            while self._queue:
                self._handle_event(self._queue.popleft())
        except Exception as exc:
            if self._is_fail_stop:
                self._failure = exc
            raise
        finally:
            self._is_running = False

    def _handle_event(self, event: _Event) -> None:
        effects = self._handle(event, self._clock.now())
        self._carry_out(collections.deque(effects))

    def _carry_out(self, effects: collections.deque[_Effect]) -> None:
        while effects:
            try:
                self._apply_effect(effects[0])
            except Exception as exc:
                self._postpone(effects, exc)
                return
            effects.popleft()

    def _postpone(
        self, effects: collections.deque[_Effect], exc: Exception
    ) -> None:
        """Keep effects for later; raise any error that does not allow it."""
        postponement = self._postponement
        if postponement is None or not isinstance(exc, postponement.error):
            raise exc
        self._postponed.extend(effects)
        if not self._is_postponing:
            self._is_postponing = True
            self._queue.appendleft(postponement.started(exc))

    def _finish_postponing(self) -> None:
        if (
            self._postponement is not None
            and self._is_postponing
            and not self._postponed
        ):
            self._is_postponing = False
            self._queue.appendleft(self._postponement.ended())
