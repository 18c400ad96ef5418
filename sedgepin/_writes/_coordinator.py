"""Coordinates all writes of one entry VM, as a reducer."""

import datetime
import heapq
import typing

from sedgepin import _model as model
from sedgepin._writes import _attempt
from sedgepin._writes import _events
from sedgepin._writes import _failures
from sedgepin._writes import _record


class _TimerEntry(typing.NamedTuple):
    due: datetime.datetime
    request_id: model.RequestId


class WriteCoordinator:
    """Runs each write at most once, from its request to its answer.

    The control VMs have to grant the write before its call is dispatched,
    which happens at most once.  The endpoint's answer is recorded before it
    is sent to the caller.

    >>> coordinator = WriteCoordinator(vm_id, incarnation)
    >>> coordinator.handle(WriteRequested(...), now)
    [ProposeCommand(...), StartTimer(...)]
    >>> coordinator.handle(ControlAnswered(..., WriteGranted()), now)
    [DispatchWrite(...), StartTimer(...)]
    """

    __slots__ = (
        "_attempts",
        "_incarnation",
        "_settings",
        "_timer_at",
        "_timers",
        "_unreachable_since",
        "_vm_id",
    )

    def __init__(
        self,
        vm_id: model.VmId,
        incarnation: model.Incarnation,
        settings: _attempt.CoordinatorSettings | None = None,
    ) -> None:
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._settings = settings or _attempt.CoordinatorSettings()
        self._attempts: dict[model.RequestId, _attempt.Attempt] = {}
        self._timers: list[_TimerEntry] = []
        self._unreachable_since: datetime.datetime | None = None
        self._timer_at: datetime.datetime | None = None

    def __len__(self) -> int:
        """Return the number of unfinished writes.

        A draining entry VM waits until there are none.
        """
        return len(self._attempts)

    def handle(
        self, event: _events.Event, now: datetime.datetime
    ) -> list[_events.Effect]:
        """Handle an event and return its effects."""
        match event:
            case _events.TimerFired():
                effects = self._handle_due_attempts(now)
            case _events.WriteRequested():
                effects = self._start_attempt(event, now)
            case _:
                effects = self._advance_attempt(event, now)
        return effects + self._start_timer()

    def _start_attempt(
        self, event: _events.WriteRequested, now: datetime.datetime
    ) -> list[_events.Effect]:
        if event.request_id in self._attempts:
            return []
        if self._should_fail_fast(now):
            failure = _failures.ControlUnavailable()
            return [_events.AnswerCaller(event.request_id, failure)]
        holder = _record.WriteHolder(
            self._vm_id, self._incarnation, event.request_id
        )
        attempt = _attempt.Attempt(event, holder, self._settings)
        effects = attempt.begin(now)
        self._track(event.request_id, attempt)
        return effects

    def _advance_attempt(
        self, event: _events.AttemptEvent, now: datetime.datetime
    ) -> list[_events.Effect]:
        match event:
            case _events.ControlAnswered():
                self._unreachable_since = None
            case _events.ControlUnreachable():
                self._unreachable_since = self._unreachable_since or now
        attempt = self._attempts.get(event.request_id)
        if attempt is None:
            return []
        effects = _attempt.handle(attempt, event, now)
        self._track(event.request_id, attempt)
        return effects

    def _should_fail_fast(self, now: datetime.datetime) -> bool:
        """Return whether to refuse new writes without asking control VMs.

        While another write is unfinished, its reply shows when the control
        VMs are reachable again.  Without one, the new write has to ask.
        """
        if self._unreachable_since is None or not self._attempts:
            return False
        return now - self._unreachable_since >= self._settings.begin_timeout

    def _handle_due_attempts(
        self, now: datetime.datetime
    ) -> list[_events.Effect]:
        effects: list[_events.Effect] = []
        self._timer_at = None
        while self._timers and self._timers[0].due <= now:
            due, request_id = heapq.heappop(self._timers)
            attempt = self._attempts.get(request_id)
            if attempt is None or attempt.due != due:
                continue
            if attempt.phase is _attempt.Phase.BEGINNING:
                self._unreachable_since = self._unreachable_since or now
            effects += attempt.timer_fired(now)
            self._track(request_id, attempt)
        return effects

    def _track(
        self, request_id: model.RequestId, attempt: _attempt.Attempt
    ) -> None:
        if attempt.phase is _attempt.Phase.DONE:
            self._attempts.pop(request_id, None)
            return
        self._attempts[request_id] = attempt
        if attempt.due is not None:
            heapq.heappush(self._timers, _TimerEntry(attempt.due, request_id))

    def _start_timer(self) -> list[_events.Effect]:
        while self._timers and self._is_stale(self._timers[0]):
            heapq.heappop(self._timers)
        if not self._timers or self._timers[0].due == self._timer_at:
            return []
        self._timer_at = self._timers[0].due
        return [_events.StartTimer(self._timer_at)]

    def _is_stale(self, entry: _TimerEntry) -> bool:
        attempt = self._attempts.get(entry.request_id)
        return attempt is None or attempt.due != entry.due
