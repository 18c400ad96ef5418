"""The limits of all endpoints that a control VM knows."""

import collections.abc
import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin._pace import _controller
from sedgepin import _protocol as protocol
from sedgepin import events

# Within this time, endpoints renew their registrations with a control VM that
# has started, and it hears from another one which of them have a limit.
_ADOPTION_TIME = datetime.timedelta(seconds=4)
# A single refusal may be due to its request.
_REFUSALS_OF_FULL = 2
# An endpoint that states its slots in an answer only is new for this long.
_NEW_TIME = datetime.timedelta(seconds=10)


@dataclasses.dataclass(slots=True, frozen=True)
class PacedEndpoint:
    """An endpoint as the registry has it now.

    ``slots`` is 0 if neither registration nor configuration states them; it
    has a limit only once it states them in an answer.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    slots: int
    is_lost: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class PaceChange:
    """The start, decrease or end of the limit of an endpoint.

    ``reason`` is why it starts, and empty for an end.  ``outcomes`` are those
    that a decrease is due to.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    limit: float
    slots: int
    reason: str = ""
    outcomes: _controller.Outcomes | None = None


@dataclasses.dataclass(slots=True)
class _Entry:
    """``controller`` is ``None`` while the endpoint has no limit.

    ``new_at`` is when it started; ``None`` if it was warmed up when this
    control VM learned of it.
    """

    incarnation: int
    slots: int
    controller: _controller.PaceController | None
    new_at: datetime.datetime | None = None
    is_lost: bool = False


class PaceTable:
    """Decides the limits of endpoints from the outcomes of all entry VMs.

    It holds one entry for each endpoint of the last ``update``.  Until it is
    settled, it has no limits: a control VM that has just started does not know
    which endpoints are warmed up.

    >>> table = PaceTable(now, smallest=4)
    >>> table.update([PacedEndpoint("a", 1, 96)], now)
    >>> table.limits()
    {'a': (1, 4)}
    """

    __slots__ = (
        "_changes",
        "_entries",
        "_is_settled",
        "_smallest",
        "_started_at",
    )

    def __init__(
        self,
        now: datetime.datetime,
        smallest: int = _controller.SMALLEST_LIMIT,
    ) -> None:
        self._smallest = smallest
        self._started_at = now
        self._is_settled = False
        self._entries: dict[model.EndpointId, _Entry] = {}
        self._changes: list[PaceChange] = []

    @property
    def is_settled(self) -> bool:
        """Whether it is known which endpoints need a limit."""
        return self._is_settled and bool(self._smallest)

    def adopt(
        self,
        limits: collections.abc.Iterable[protocol.PaceLimit],
        endpoints: collections.abc.Iterable[PacedEndpoint],
        now: datetime.datetime,
    ) -> None:
        """Take over the limits of a control VM that has run for longer.

        Endpoints without a limit there are warmed up.
        """
        if self._is_settled:
            return
        self._is_settled = True
        by_id = {limit.endpoint_id: limit for limit in limits}
        for endpoint in endpoints:
            limit = by_id.get(endpoint.endpoint_id)
            entry = _Entry(endpoint.incarnation, endpoint.slots, None)
            entry.is_lost = endpoint.is_lost
            self._entries[endpoint.endpoint_id] = entry
            if limit is not None and (
                limit.incarnation == endpoint.incarnation
            ):
                # Without slots, its limit starts once it states them.
                entry.new_at = now
                self._start(
                    endpoint.endpoint_id, entry, limit.limit, "adopted", now
                )

    def update(
        self,
        endpoints: collections.abc.Iterable[PacedEndpoint],
        now: datetime.datetime,
    ) -> None:
        """Start limits of new and returned endpoints; remove those gone.

        Without another control VM that knows more, the first endpoints have no
        limit: all control VMs may have restarted before endpoints that are
        warmed up.
        """
        if not self._is_settled:
            if now - self._started_at >= _ADOPTION_TIME:
                self.adopt((), endpoints, now)
            return
        before, self._entries = self._entries, {}
        for endpoint in endpoints:
            entry = before.get(endpoint.endpoint_id)
            reason = ""
            if entry is None or entry.incarnation != endpoint.incarnation:
                entry = _Entry(endpoint.incarnation, endpoint.slots, None, now)
                reason = "new"
            elif entry.is_lost and not endpoint.is_lost:
                reason = "recovered"
            entry.is_lost = endpoint.is_lost
            entry.slots = endpoint.slots or entry.slots
            self._entries[endpoint.endpoint_id] = entry
            if reason:
                self._start(
                    endpoint.endpoint_id, entry, self._smallest, reason, now
                )
            self._end_if_over(endpoint.endpoint_id, entry, now)

    def record(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        outcomes: _controller.Outcomes,
        unanswered: int,
        now: datetime.datetime,
    ) -> None:
        """Adapt a limit; start one for an endpoint that is full."""
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.incarnation != incarnation:
            return
        if entry.controller is None:
            if outcomes.refused >= _REFUSALS_OF_FULL:
                limit = min(unanswered, entry.slots) / 2
                self._start(endpoint_id, entry, limit, "full", now)
            return
        if entry.controller.record(outcomes, now):
            self._note(endpoint_id, entry, "", outcomes)

    def record_stated_slots(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        slots: int,
        now: datetime.datetime,
    ) -> None:
        """Start a limit for a new endpoint that stated slots in an answer."""
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.incarnation != incarnation or entry.slots:
            return
        entry.slots = slots
        if entry.new_at is not None and now - entry.new_at < _NEW_TIME:
            self._start(endpoint_id, entry, self._smallest, "new", now)

    def limits(self) -> dict[model.EndpointId, tuple[int, int]]:
        """Return incarnation and limit of the endpoints that have one."""
        return {
            endpoint_id: (entry.incarnation, int(entry.controller.limit))
            for endpoint_id, entry in self._entries.items()
            if entry.controller is not None
        }

    def take_changes(self) -> list[PaceChange]:
        """Return the limits started and ended since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _start(
        self,
        endpoint_id: model.EndpointId,
        entry: _Entry,
        limit: float,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        entry.controller = _controller.PaceController(
            limit, entry.slots, now, self._smallest
        )
        if entry.controller.is_over(now):
            # So few slots need no limit.
            entry.controller = None
            return
        self._note(endpoint_id, entry, reason)

    def _end_if_over(
        self,
        endpoint_id: model.EndpointId,
        entry: _Entry,
        now: datetime.datetime,
    ) -> None:
        if entry.controller is not None and entry.controller.is_over(now):
            self._note(endpoint_id, entry)
            entry.controller = None

    def _note(
        self,
        endpoint_id: model.EndpointId,
        entry: _Entry,
        reason: str = "",
        outcomes: _controller.Outcomes | None = None,
    ) -> None:
        assert entry.controller is not None
        change = PaceChange(
            endpoint_id,
            entry.incarnation,
            entry.controller.limit,
            entry.slots,
            reason,
            outcomes,
        )
        self._changes.append(change)


def change_line(change: PaceChange) -> events.LogLine:
    """Return the log line of the change of a limit."""
    limit = round(change.limit, 1)
    if change.outcomes is not None:
        return events.PACE_SHRUNK.line(
            endpoint=change.endpoint_id,
            incarnation=change.incarnation,
            limit=limit,
            in_time=change.outcomes.in_time,
            late=change.outcomes.late,
            refused=change.outcomes.refused,
        )
    if not change.reason:
        return events.PACE_ENDED.line(
            endpoint=change.endpoint_id,
            incarnation=change.incarnation,
            limit=limit,
            slots=change.slots,
        )
    return events.PACE_STARTED.line(
        endpoint=change.endpoint_id,
        incarnation=change.incarnation,
        limit=limit,
        slots=change.slots,
        reason=change.reason,
    )
