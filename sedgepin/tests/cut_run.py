"""An attempt of an entry VM at an endpoint, on a day of ``cut_day``."""

import random

from sedgepin._gateway import _effects as gateway_effects
from sedgepin import _model as model
from sedgepin.tests import cut_record

# How often it is looked whether output has come.
STEP_SECONDS = 0.05
# The clock has whole microseconds.
_MIN_STEP_SECONDS = 0.001
STREAM_EVENTS = 16
_EVENT_SECONDS = 0.05
_MIN_SECONDS = 0.1
_SPREAD_SECONDS = 0.15
# The relay's limits for the first event and the next one, with its tick.
_FIRST_LATE_SECONDS = 0.4
_NEXT_LATE_SECONDS = 0.2


class Run:
    """A request at an endpoint and how much of its answer has come.

    ``forwarder`` is the entry VM that carries it, if another one does.
    ``unacknowledged`` counts the events that came on a path which carries no
    acknowledgements back.
    """

    __slots__ = (
        "_answer_timeout",
        "_duration",
        "_late_at",
        "_output_from",
        "_resume_after",
        "_started_at",
        "endpoint_id",
        "exchange_id",
        "forwarder",
        "is_complete",
        "is_over",
        "is_reached",
        "request",
        "unacknowledged",
        "vm_id",
    )

    def __init__(
        self,
        vm_id: model.VmId,
        request: cut_record.Request,
        start: gateway_effects.StartAttempt,
        now: float,
        rng: random.Random,
    ) -> None:
        self.vm_id = vm_id
        self.request = request
        self.exchange_id = start.exchange_id
        self.endpoint_id = start.dispatch.endpoint_id
        forwarder = start.dispatch.forwarder
        self.forwarder = None if forwarder is None else forwarder.vm_id
        self.is_reached = False
        self.is_complete = False
        self.is_over = False
        self.unacknowledged = 0
        self._started_at = now
        self._resume_after = start.dispatch.resume_after or 0
        self._duration = _MIN_SECONDS + _SPREAD_SECONDS * rng.random()
        self._output_from = 0.0
        self._late_at = now + _FIRST_LATE_SECONDS
        timeout = start.answer_timeout
        self._answer_timeout = (
            None if timeout is None else timeout.total_seconds()
        )

    @property
    def position(self) -> int | None:
        """Return the number of the last event that the caller got."""
        return self.request.position or None

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.request.operation.kind is cut_record.Kind.STREAM

    def reach_endpoint(self, now: float) -> None:
        """Start the run at the endpoint."""
        self.is_reached = True
        self.request.runs += 1
        self.request.operation.runs += 1
        self._output_from = now + self._duration

    def deliver(self, now: float) -> None:
        """Deliver what the endpoint has sent by now."""
        if not self.is_reached or now < self._output_from:
            return
        if not self.is_stream:
            self.is_complete = True
            return
        produced = int((now - self._output_from) / _EVENT_SECONDS + 1e-6) + 1
        last = min(STREAM_EVENTS, self._resume_after + produced)
        request = self.request
        if last <= request.position:
            self.is_complete = last == STREAM_EVENTS
            return
        if self._resume_after > request.position:
            request.has_gap = True
        if request.first_output_at is None:
            request.first_output_at = now
            request.endpoint_seconds = self._duration
        self.unacknowledged += last - request.position
        request.position = last
        self._late_at = now + _NEXT_LATE_SECONDS
        self.is_complete = last == STREAM_EVENTS

    def is_late(self, now: float) -> bool:
        """Return whether to report a stall, which is done now and then."""
        if not self.is_stream or now < self._late_at:
            return False
        self._late_at = now + _NEXT_LATE_SECONDS
        return True

    def has_timed_out(self, now: float) -> bool:
        """Return whether the answer's head has not come in time."""
        return (
            not self.is_stream
            and self._answer_timeout is not None
            and now - self._started_at >= self._answer_timeout
        )

    def seconds_until_step(self, now: float) -> float:
        """Return when to look for output again."""
        if self.is_reached and now < self._output_from:
            seconds = max(_MIN_STEP_SECONDS, self._output_from - now)
            return min(STEP_SECONDS, seconds)
        return STEP_SECONDS
