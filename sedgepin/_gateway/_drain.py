"""Which requests can still end before a VM that drains stops."""

import collections
import dataclasses
import datetime
import enum

from sedgepin import _catalog as catalog
from sedgepin._gateway import _exchange
from sedgepin import _model as model

_Kind = tuple[model.ServiceName, catalog.RetrySemantics]

# The answers of each kind of request whose durations are remembered.
_REMEMBERED_ANSWERS = 64
_MAX_KINDS = 1024


@dataclasses.dataclass(slots=True, frozen=True)
class _Pace:
    """How long an answer took: to its first output, and for each token.

    An answer that is no stream has its first output at its end.
    """

    first_output: datetime.timedelta
    per_token: datetime.timedelta = datetime.timedelta()


class Reason(enum.Enum):
    """What decided whether a VM that drains sends a request."""

    # The request's own deadline comes before the VM stops.
    DEADLINE = "deadline"
    ESTIMATE = "estimate"
    # No answer of its kind is remembered.
    UNKNOWN = "unknown"
    # It may have run already, so that nobody else may run it.
    BEGUN = "begun"
    # The VM stops now.
    END = "end"


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """Whether a VM that drains sends a request, and why.

    ``expected`` is how long the request is expected to take, if known.
    """

    is_sent: bool
    reason: Reason
    expected: datetime.timedelta | None = None


class DrainBound:
    """Bounds requests by the instant at which a VM that drains stops.

    A request that is sent must be answered by ``answer_by``.  One that nobody
    has run yet is sent only if it can be expected to end by then: its own
    deadline is no later, or it would be complete at the slowest pace of the
    latest answers of its service and kind.

    >>> bound = DrainBound()
    >>> bound.start(now + datetime.timedelta(seconds=7))
    >>> bound.decide(exchange, now)
    Decision(is_sent=True, reason=<Reason.DEADLINE: 'deadline'>, expected=None)
    """

    __slots__ = ("_paces", "answer_by")

    def __init__(self) -> None:
        # Set while the VM drains.
        self.answer_by: datetime.datetime | None = None
        self._paces: dict[_Kind, collections.deque[_Pace]] = {}

    def start(self, answer_by: datetime.datetime) -> None:
        """Bound requests from now on; a later call does not move the end."""
        if self.answer_by is None:
            self.answer_by = answer_by

    def record_answered(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> None:
        """Remember how long a request took."""
        kind = _kind(exchange)
        paces = self._paces.get(kind)
        if paces is None:
            if len(self._paces) >= _MAX_KINDS:
                del self._paces[next(iter(self._paces))]
            paces = collections.deque(maxlen=_REMEMBERED_ANSWERS)
            self._paces[kind] = paces
        paces.append(_measure_pace(exchange, now))

    def may_send(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> bool:
        """Return whether a request may be sent to an endpoint now.

        Without an end in sight one that may have run is sent again all the
        same, since its caller could not send it elsewhere.
        """
        return self.answer_by is None or self.decide(exchange, now).is_sent

    def decide(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> Decision:
        """Return what a VM that drains does with a request now."""
        assert self.answer_by is not None
        if now >= self.answer_by:
            return Decision(False, Reason.END)
        if exchange.has_output or exchange.may_have_run:
            return Decision(True, Reason.BEGUN)
        if exchange.deadline <= self.answer_by:
            return Decision(True, Reason.DEADLINE)
        paces = self._paces.get(_kind(exchange))
        if not paces:
            return Decision(False, Reason.UNKNOWN)
        duration = max(pace.first_output for pace in paces)
        per_token = max(pace.per_token for pace in paces)
        duration += per_token * _answer_tokens(exchange)
        may_end = now + duration <= self.answer_by
        return Decision(may_end, Reason.ESTIMATE, duration)


def _measure_pace(
    exchange: _exchange.Exchange, now: datetime.datetime
) -> _Pace:
    tokens = _answer_tokens(exchange)
    if exchange.output_started_at is None or not tokens:
        return _Pace(now - exchange.arrived_at)
    return _Pace(
        exchange.output_started_at - exchange.arrived_at,
        (now - exchange.output_started_at) / tokens,
    )


def _answer_tokens(exchange: _exchange.Exchange) -> float:
    """Return how many tokens an answer is expected to have, 0 if unknown."""
    size = exchange.request.size
    return 0.0 if size is None else size.answer_tokens


def _kind(exchange: _exchange.Exchange) -> _Kind:
    return exchange.service.name, exchange.route.kind
