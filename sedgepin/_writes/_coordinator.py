"""The entry VM's side of writes: one reducer over all of its requests."""

import datetime
import heapq
import typing

from sedgepin import _model as model
from sedgepin._writes import _attempt
from sedgepin._writes import _events
from sedgepin._writes import _failures
from sedgepin._writes import _record


class _Due(typing.NamedTuple):
    due: datetime.datetime
    request_id: model.RequestId


class WriteCoordinator:
    """Drives each write from its request to its answer.

    Permission is asked first, the call is dispatched once when it is given,
    and its answer is recorded before the caller hears it.

    >>> coordinator = WriteCoordinator(vm_id, incarnation)
    >>> coordinator.handle(WriteRequested(...), now)
    [AskControl(...), StartTimer(...)]
    >>> coordinator.handle(ControlAnswered(..., WriteGranted()), now)
    [DispatchWrite(...), StartTimer(...)]
    """

    __slots__ = (
        "_attempts",
        "_dues",
        "_incarnation",
        "_settings",
        "_silent_since",
        "_timer_at",
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
        self._dues: list[_Due] = []
        self._silent_since: datetime.datetime | None = None
        self._timer_at: datetime.datetime | None = None

    def __len__(self) -> int:
        """Return how many writes are not over; a drain waits for none."""
        return len(self._attempts)

    def handle(
        self, event: _events.Event, now: datetime.datetime
    ) -> list[_events.Effect]:
        """Return what the event calls for."""
        match event:
            case _events.TimerFired():
                effects = self._fire(now)
            case _events.WriteRequested():
                effects = self._request(event, now)
            case _:
                effects = self._go_on(event, now)
        return effects + self._start_timer()

    def _request(
        self, event: _events.WriteRequested, now: datetime.datetime
    ) -> list[_events.Effect]:
        if event.request_id in self._attempts:
            return []
        if self._is_cut_off(now):
            failure = _failures.ControlUnavailable()
            return [_events.AnswerCaller(event.request_id, failure)]
        holder = _record.WriteHolder(
            self._vm_id, self._incarnation, event.request_id
        )
        attempt = _attempt.Attempt(event, holder, self._settings)
        effects = attempt.begin(now)
        self._keep(event.request_id, attempt)
        return effects

    def _go_on(
        self, event: _events.AttemptEvent, now: datetime.datetime
    ) -> list[_events.Effect]:
        match event:
            case _events.ControlAnswered():
                self._silent_since = None
            case _events.ControlUnreachable():
                self._silent_since = self._silent_since or now
        attempt = self._attempts.get(event.request_id)
        if attempt is None:
            return []
        effects = _attempt.handle(attempt, event, now)
        self._keep(event.request_id, attempt)
        return effects

    def _is_cut_off(self, now: datetime.datetime) -> bool:
        """Tell whether to refuse new writes without asking.

        While another write still asks, its reply will say when the control
        VMs are back; without one, the new write has to try for itself.
        """
        if self._silent_since is None or not self._attempts:
            return False
        return now - self._silent_since >= self._settings.begin_timeout

    def _fire(self, now: datetime.datetime) -> list[_events.Effect]:
        effects: list[_events.Effect] = []
        self._timer_at = None
        while self._dues and self._dues[0].due <= now:
            due, request_id = heapq.heappop(self._dues)
            attempt = self._attempts.get(request_id)
            if attempt is None or attempt.due != due:
                continue
            if attempt.phase is _attempt.Phase.ASKING:
                self._silent_since = self._silent_since or now
            effects += attempt.timer_fired(now)
            self._keep(request_id, attempt)
        return effects

    def _keep(
        self, request_id: model.RequestId, attempt: _attempt.Attempt
    ) -> None:
        if attempt.phase is _attempt.Phase.OVER:
            self._attempts.pop(request_id, None)
            return
        self._attempts[request_id] = attempt
        if attempt.due is not None:
            heapq.heappush(self._dues, _Due(attempt.due, request_id))

    def _start_timer(self) -> list[_events.Effect]:
        while self._dues and self._is_stale(self._dues[0]):
            heapq.heappop(self._dues)
        if not self._dues or self._dues[0].due == self._timer_at:
            return []
        self._timer_at = self._dues[0].due
        return [_events.StartTimer(self._timer_at)]

    def _is_stale(self, entry: _Due) -> bool:
        attempt = self._attempts.get(entry.request_id)
        return attempt is None or attempt.due != entry.due
