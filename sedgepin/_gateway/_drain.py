"""Which requests can still end before a VM that drains stops."""

import collections
import datetime

from sedgepin import _catalog as catalog
from sedgepin._gateway import _exchange
from sedgepin import _model as model

_Kind = tuple[model.ServiceName, catalog.RetrySemantics]

# The answers of each kind of request whose durations are remembered.
_REMEMBERED_ANSWERS = 64
_MAX_KINDS = 1024


class DrainBound:
    """Bounds requests by the instant at which a VM that drains stops.

    A request that is sent must be answered by ``answer_by``.  One that nobody
    has run yet is sent only if it can be expected to end by then: its own
    deadline is no later, or the longest of the latest answers of its service
    and kind would have been complete.

    >>> bound = DrainBound()
    >>> bound.start(now + datetime.timedelta(seconds=7))
    >>> bound.may_send(exchange, now)
    True
    """

    __slots__ = ("_durations", "answer_by")

    def __init__(self) -> None:
        # Set while the VM drains.
        self.answer_by: datetime.datetime | None = None
        self._durations: dict[
            _Kind, collections.deque[datetime.timedelta]
        ] = {}

    def start(self, answer_by: datetime.datetime) -> None:
        """Bound requests from now on; a later call does not move the end."""
        if self.answer_by is None:
            self.answer_by = answer_by

    def record_answered(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> None:
        """Remember how long a request took from its arrival to its end."""
        kind = _kind(exchange)
        durations = self._durations.get(kind)
        if durations is None:
            if len(self._durations) >= _MAX_KINDS:
                del self._durations[next(iter(self._durations))]
            durations = collections.deque(maxlen=_REMEMBERED_ANSWERS)
            self._durations[kind] = durations
        durations.append(now - exchange.arrived_at)

    def may_send(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> bool:
        """Return whether a request may be sent to an endpoint now.

        Without an end in sight one that may have run is sent again all the
        same, since its caller could not send it elsewhere.
        """
        if self.answer_by is None:
            return True
        if now >= self.answer_by:
            return False
        if exchange.has_output or exchange.may_have_run:
            return True
        if exchange.deadline <= self.answer_by:
            return True
        durations = self._durations.get(_kind(exchange))
        if not durations:
            return False
        return now + max(durations) <= self.answer_by


def _kind(exchange: _exchange.Exchange) -> _Kind:
    return exchange.service.name, exchange.route.kind
