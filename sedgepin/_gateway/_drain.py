"""Which requests a VM that drains still sends to endpoints."""

import collections
import collections.abc
import dataclasses
import datetime
import enum
import math
import random

from sedgepin import _catalog as catalog
from sedgepin._gateway import _durations
from sedgepin._gateway import _exchange
from sedgepin import _model as model

_Kind = tuple[model.ServiceName, catalog.RetrySemantics]

# The requests of each kind whose durations are remembered.
_REMEMBERED_REQUESTS = 64
_MAX_KINDS = 1024
# How likely a request must be to end in time.  A stream that is cut may be
# resumed by its caller; a whole answer that does not come is lost.
_MIN_STREAM_PROBABILITY = 0.5
_MIN_WHOLE_ANSWER_PROBABILITY = 0.9
# Sizes for which there are estimates, from each size to its double.  Many
# requests may wait, and an estimate looks at all that are open.
_SIZES_PER_DOUBLING = 8
# With fewer of the entry VMs serving, a caller that is refused would most
# likely be refused by the next one, too.
_MIN_SERVING_SHARE = 0.25
# How long after its last answer a VM is likely to serve again, and the time
# over which the callers that wait for it return.
_RESTART_TIME = datetime.timedelta(seconds=1)
_RETURN_SPREAD = datetime.timedelta(seconds=2)


class Reason(enum.Enum):
    """What decided whether a VM that drains sends a request."""

    # The request's own deadline comes before the VM stops.
    DEADLINE = "deadline"
    ESTIMATE = "estimate"
    # It came after the notice, and could be cut in the middle of its answer.
    LATE = "late"
    # Nothing is known of requests of its kind.
    UNKNOWN = "unknown"
    # It may have run already, so that nobody else may run it.
    BEGUN = "begun"
    # The VM stops now.
    END = "end"


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """Whether a VM that drains sends a request, and why.

    ``probability`` is that of its end before the VM stops, if it was
    estimated.
    """

    is_sent: bool
    reason: Reason
    probability: float | None = None


class DrainBound:
    """Decides on requests while a VM drains, until it stops.

    A request that is sent must be answered by ``answer_by``.  One whose own
    deadline is no later is sent.  Of the others, those that came before
    ``late_from`` are sent if they are likely to end in time, judged by the
    latest requests of their service and kind and by those that are open now.
    After it streams are refused, since an answer that has begun cannot be
    replaced by an error; whole answers can.

    >>> bound = DrainBound(exchanges)
    >>> bound.start(now + datetime.timedelta(seconds=7.5), late_from)
    >>> bound.decide(exchange, now)
    Decision(is_sent=True, reason=<Reason.DEADLINE: 'deadline'>, ...)
    """

    __slots__ = (
        "_decided_at",
        "_exchanges",
        "_known",
        "_late_from",
        "_probabilities",
        "_remembered",
        "_do_enough_serve",
        "answer_by",
        "do_others_serve",
        "last_sent_at",
    )

    def __init__(
        self, exchanges: collections.abc.Mapping[int, _exchange.Exchange]
    ) -> None:
        self._exchanges = exchanges
        # Both are set while the VM drains.
        self.answer_by: datetime.datetime | None = None
        self._late_from: datetime.datetime | None = None
        self._remembered: dict[
            _Kind, collections.deque[_durations.Duration]
        ] = {}
        self._do_enough_serve = True
        # Whether enough of the others are known to take new streams.
        self.do_others_serve = False
        # When a request was sent to an endpoint.
        self.last_sent_at: datetime.datetime | None = None
        # Those of one instant: the durations by kind, and the probabilities by
        # kind and expected tokens.
        self._decided_at: datetime.datetime | None = None
        self._known: dict[_Kind, list[_durations.Duration]] = {}
        self._probabilities: dict[tuple[_Kind, float], float | None] = {}

    def start(
        self, answer_by: datetime.datetime, late_from: datetime.datetime
    ) -> None:
        """Bound requests from now on; a later call does not move the end."""
        if self.answer_by is None:
            self.answer_by = answer_by
            self._late_from = late_from

    def is_late(self, now: datetime.datetime) -> bool:
        """Return whether this VM takes no new streams before it stops."""
        return self._late_from is not None and now >= self._late_from

    def set_serving(self, serving: int, entry_count: int) -> None:
        """Record how many of all entry VMs take new streams."""
        self._do_enough_serve = serving >= entry_count * _MIN_SERVING_SHARE
        self.do_others_serve = serving > 0 and self._do_enough_serve

    def record_end(
        self,
        exchange: _exchange.Exchange,
        is_answered: bool,
        now: datetime.datetime,
    ) -> None:
        """Remember how long a request took, or was open without an answer.

        One that was sent to no endpoint tells nothing, nor does one that was
        open for a shorter time than each answer took.
        """
        if not exchange.send_count:
            return
        kind = _kind(exchange)
        durations = self._remembered.get(kind)
        if durations is None:
            if len(self._remembered) >= _MAX_KINDS:
                del self._remembered[next(iter(self._remembered))]
            durations = collections.deque(maxlen=_REMEMBERED_REQUESTS)
            self._remembered[kind] = durations
        duration = _measure(exchange, is_answered, now)
        answers = [one for one in durations if one.is_complete]
        tells_nothing = all(
            duration.scale_seconds(one.tokens) < one.scale_seconds(one.tokens)
            for one in answers
        )
        if is_answered or not answers or not tells_nothing:
            durations.append(duration)

    def return_delay(
        self, now: datetime.datetime, rng: random.Random
    ) -> datetime.timedelta | None:
        """Return after what time a refused caller may come back to this VM.

        ``None`` if another VM is likely to serve it sooner.
        """
        if self.answer_by is None or self._do_enough_serve:
            return None
        # The end may be over, as a process that was held ends late.
        left = max(self.answer_by - now, datetime.timedelta())
        delay = left + _RESTART_TIME
        return delay + _RETURN_SPREAD * rng.random()

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
        assert self.answer_by is not None and self._late_from is not None
        if now >= self.answer_by:
            return Decision(False, Reason.END)
        if exchange.has_output or exchange.may_have_run:
            return Decision(True, Reason.BEGUN)
        if exchange.deadline <= self.answer_by:
            return Decision(True, Reason.DEADLINE)
        is_stream = exchange.route.kind is catalog.RetrySemantics.STREAM
        if is_stream and exchange.arrived_at >= self._late_from:
            return Decision(False, Reason.LATE)
        probability = self._probability(exchange, self.answer_by, now)
        if probability is None:
            return Decision(False, Reason.UNKNOWN)
        if is_stream:
            is_sent = probability > _MIN_STREAM_PROBABILITY
        else:
            is_sent = probability >= _MIN_WHOLE_ANSWER_PROBABILITY
        return Decision(is_sent, Reason.ESTIMATE, probability)

    def _probability(
        self,
        exchange: _exchange.Exchange,
        answer_by: datetime.datetime,
        now: datetime.datetime,
    ) -> float | None:
        """Return how likely a request is to end in time, if that is known."""
        if now != self._decided_at:
            self._decided_at = now
            self._known.clear()
            self._probabilities.clear()
        kind = _kind(exchange)
        tokens = _round_size(_answer_tokens(exchange))
        key = kind, tokens
        if key not in self._probabilities:
            if kind not in self._known:
                self._known[kind] = self._measure_all(kind, now)
            self._probabilities[key] = _durations.probability_of_end(
                self._known[kind], tokens, answer_by - now
            )
        return self._probabilities[key]

    def _measure_all(
        self, kind: _Kind, now: datetime.datetime
    ) -> list[_durations.Duration]:
        """Return how long the latest requests took, and the open ones."""
        return [
            *self._remembered.get(kind, ()),
            *(
                _measure(other, False, now)
                for other in self._exchanges.values()
                if other.dispatch is not None and _kind(other) == kind
            ),
        ]


def _measure(
    exchange: _exchange.Exchange, is_complete: bool, now: datetime.datetime
) -> _durations.Duration:
    output_started_at = exchange.output_started_at
    if output_started_at is None:
        output_started_at = now
    return _durations.Duration(
        until_output=output_started_at - exchange.arrived_at,
        output=now - output_started_at,
        tokens=_answer_tokens(exchange),
        is_complete=is_complete,
    )


def _answer_tokens(exchange: _exchange.Exchange) -> float:
    """Return how many tokens an answer is expected to have, 0 if unknown."""
    size = exchange.request.size
    return 0.0 if size is None else size.answer_tokens


def _round_size(tokens: float) -> float:
    """Return the nearest size for which there is an estimate."""
    if tokens <= 0.0:
        return 0.0
    step = round(math.log2(tokens) * _SIZES_PER_DOUBLING)
    return math.exp2(step / _SIZES_PER_DOUBLING)


def _kind(exchange: _exchange.Exchange) -> _Kind:
    return exchange.service.name, exchange.route.kind
