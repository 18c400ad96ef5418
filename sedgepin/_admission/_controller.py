"""Decides which request runs now, which waits and which is refused.

A request is admitted when it is its customer's turn and capacity is free.
It is refused at the instant at which its deadline can no longer be met by
prediction, never held until the deadline.
"""

import collections.abc
import datetime
import random

from sedgepin._admission import _customer
from sedgepin._admission import _failures
from sedgepin._admission import _fair_share
from sedgepin._admission import _forecast
from sedgepin._admission import _request
from sedgepin._admission import _settings
from sedgepin import _model as model

REVIEW_INTERVAL = datetime.timedelta(milliseconds=100)
IDLE_CUSTOMER_RETENTION = datetime.timedelta(minutes=10)


class RequestAlreadyOpen(Exception):
    """A request was submitted under the identity of one that is open."""


class AdmissionController:
    """The reducer at the door of one entry VM.

    Call ``tick`` at ``wake_at``.  Every method returns the decisions that
    follow from it; each request gets at most one.

    >>> import datetime, random
    >>> now = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    >>> admission = AdmissionController(
    ...     _settings.AdmissionSettings(), now, random.Random(1)
    ... )
    >>> admission.set_capacity(10_000, 2_000.0, now)
    []
    >>> second = datetime.timedelta(seconds=1)
    >>> ticket = _request.AdmissionRequest(
    ...     model.RequestId("r1"), model.CustomerId("beja"), 0, 300,
    ...     now + 5 * second, second,
    ... )
    >>> admission.submit(ticket, now)
    [Admit(request_id='r1')]
    """

    __slots__ = (
        "in_flight_tokens",
        "_settings",
        "_random",
        "_share",
        "_queued",
        "_running",
        "_capacity_tokens",
        "_tokens_per_second",
        "_draining",
        "_reviewed_at",
        "_forecast",
        "_forecast_until",
    )

    def __init__(
        self,
        settings: _settings.AdmissionSettings,
        now: datetime.datetime,
        generator: random.Random,
    ) -> None:
        self.in_flight_tokens = 0
        self._settings = settings
        self._random = generator
        self._share = _fair_share.FairShare(settings)
        self._queued: dict[model.RequestId, _request.AdmissionRequest] = {}
        self._running: dict[model.RequestId, _request.AdmissionRequest] = {}
        self._capacity_tokens = 0
        self._tokens_per_second = 0.0
        self._draining = False
        self._reviewed_at = now
        self._forecast: _forecast.Forecast | None = None
        self._forecast_until = now

    @property
    def queued_requests(self) -> int:
        """Return how many requests wait."""
        return len(self._queued)

    @property
    def wake_at(self) -> datetime.datetime | None:
        """Return when to call ``tick`` next, or ``None`` with no queue."""
        if not self._queued:
            return None
        return self._reviewed_at + REVIEW_INTERVAL

    def submit(
        self, ticket: _request.AdmissionRequest, now: datetime.datetime
    ) -> list[_request.Decision]:
        """Take a new request."""
        if ticket.request_id in self._queued:
            raise RequestAlreadyOpen(ticket.request_id)
        if ticket.request_id in self._running:
            raise RequestAlreadyOpen(ticket.request_id)
        queue = self._share.queue_of(ticket.customer, now)
        failure = self._reason_to_refuse(queue, ticket, now)
        if failure is not None:
            return [_request.Refuse(ticket.request_id, failure)]
        self._queued[ticket.request_id] = ticket
        self._share.push(queue, ticket, self._tokens_per_second, now)
        decisions = self._pump(now)
        decisions += self._shorten_queues(queue, now)
        return decisions

    def finish(
        self,
        request_id: model.RequestId,
        used_tokens: int,
        now: datetime.datetime,
    ) -> list[_request.Decision]:
        """End a request that ran and took ``used_tokens``."""
        ticket = self._running.pop(request_id, None)
        if ticket is None:
            return []
        queue = self._share.queue_of(ticket.customer, now)
        queue.running_requests -= 1
        self.in_flight_tokens -= ticket.cost_tokens
        unused = ticket.cost_tokens - used_tokens
        queue.adjust_credit(unused, self._share.round_tokens(queue))
        queue.give_back_rate(unused)
        return self._pump(now)

    def cancel(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> list[_request.Decision]:
        """End a request whose caller has gone, waiting or running."""
        queued = self._queued.get(request_id)
        if queued is not None:
            self._unqueue(queued, now)
            return []
        running = self._running.get(request_id)
        if running is None:
            return []
        return self.finish(request_id, running.cost_tokens, now)

    def set_capacity(
        self,
        in_flight_tokens: int,
        tokens_per_second: float,
        now: datetime.datetime,
    ) -> list[_request.Decision]:
        """Set how much may run at once and how fast it is worked off.

        Zero of either means that nothing can run: all who wait are refused.
        """
        slower = tokens_per_second < self._tokens_per_second
        self._capacity_tokens = in_flight_tokens
        self._tokens_per_second = tokens_per_second
        self._forecast = None
        decisions = self._pump(now)
        if slower or not self._has_capacity:
            decisions += self._review(now)
        return decisions

    def start_draining(self, now: datetime.datetime) -> None:
        """Refuse new requests from now on; those that wait still run."""
        self._draining = True

    def tick(self, now: datetime.datetime) -> list[_request.Decision]:
        """Refuse those who wait and can no longer be finished in time."""
        self._forget_idle(now)
        return self._review(now)

    @property
    def _has_capacity(self) -> bool:
        return self._capacity_tokens > 0 and self._tokens_per_second > 0

    def _reason_to_refuse(
        self,
        queue: _customer.CustomerQueue,
        ticket: _request.AdmissionRequest,
        now: datetime.datetime,
    ) -> _failures.NotAdmitted | None:
        floor = self._settings.retry_after_floor
        if self._draining:
            return _failures.Draining(self._spread(floor))
        if not self._has_capacity:
            return _failures.NoCapacity(self._spread(floor))
        if queue.open_requests >= queue.limits.open_requests:
            return _failures.TooManyOpenRequests(
                self._return_after(queue, ticket, floor, now)
            )
        wait = self._wait(
            queue,
            queue.tokens_ahead(ticket.priority),
            self._share.credit_of(queue, self._tokens_per_second, now),
            now,
        )
        slack = ticket.latest_start - now
        late = wait - max(slack, datetime.timedelta()) * (
            self._settings.wait_share
        )
        if late > datetime.timedelta() or slack < datetime.timedelta():
            return _failures.DeadlineCannotBeMet(
                self._return_after(queue, ticket, late, now)
            )
        if not queue.take_rate(ticket.cost_tokens, now):
            return _failures.RateExceeded(
                self._spread(max(floor, queue.rate_returns_after()))
            )
        return None

    def _wait(
        self,
        queue: _customer.CustomerQueue,
        tokens_ahead: float,
        credit_tokens: float,
        now: datetime.datetime,
    ) -> datetime.timedelta:
        excess = self.in_flight_tokens - self._capacity_tokens
        if excess < 0 and not self._queued:
            return datetime.timedelta()
        if now >= self._forecast_until or self._forecast is None:
            self._forecast = _forecast.Forecast(
                self._share.active, max(0, excess), self._tokens_per_second
            )
            self._forecast_until = now + REVIEW_INTERVAL
        rate = self._share.rate_of(queue, self._tokens_per_second, now)
        return self._forecast.wait(queue, tokens_ahead, credit_tokens, rate)

    def _pump(self, now: datetime.datetime) -> list[_request.Decision]:
        decisions: list[_request.Decision] = []
        if not self._has_capacity:
            return decisions
        while self.in_flight_tokens < self._capacity_tokens:
            ticket = self._share.take(now)
            if ticket is None:
                break
            del self._queued[ticket.request_id]
            self._running[ticket.request_id] = ticket
            self.in_flight_tokens += ticket.cost_tokens
            queue = self._share.queue_of(ticket.customer, now)
            queue.running_requests += 1
            decisions.append(_request.Admit(ticket.request_id))
        return decisions

    def _unqueue(
        self, ticket: _request.AdmissionRequest, now: datetime.datetime
    ) -> _customer.CustomerQueue:
        del self._queued[ticket.request_id]
        queue = self._share.queue_of(ticket.customer, now)
        self._share.remove(queue, ticket)
        queue.give_back_rate(ticket.cost_tokens)
        return queue

    def _shorten_queues(
        self, queue: _customer.CustomerQueue, now: datetime.datetime
    ) -> list[_request.Decision]:
        decisions: list[_request.Decision] = []
        if queue.queued_requests > queue.limits.queued_requests:
            decisions.append(self._refuse_last(queue, now))
        if len(self._queued) > self._settings.queued_requests:
            longest = max(
                self._share.active,
                key=lambda other: other.queued_requests / other.limits.weight,
            )
            decisions.append(self._refuse_last(longest, now))
        return decisions

    def _refuse_last(
        self, queue: _customer.CustomerQueue, now: datetime.datetime
    ) -> _request.Refuse:
        ticket = queue.last()
        wait = self._wait(queue, queue.queued_tokens, queue.credit_tokens, now)
        self._unqueue(ticket, now)
        return _request.Refuse(
            ticket.request_id,
            _failures.QueueFull(self._return_after(queue, ticket, wait, now)),
        )

    def _review(self, now: datetime.datetime) -> list[_request.Decision]:
        self._reviewed_at = now
        self._forecast = None
        decisions: list[_request.Decision] = []
        for queue in self._share.active:
            decisions += self._review_queue(queue, now)
        return decisions

    def _review_queue(
        self, queue: _customer.CustomerQueue, now: datetime.datetime
    ) -> collections.abc.Iterator[_request.Decision]:
        tokens_ahead = 0
        floor = self._settings.retry_after_floor
        for ticket in queue.in_order():
            if not self._has_capacity:
                self._unqueue(ticket, now)
                yield _request.Refuse(
                    ticket.request_id,
                    _failures.NoCapacity(self._spread(floor)),
                )
                continue
            wait = self._wait(queue, tokens_ahead, queue.credit_tokens, now)
            late = now + wait - ticket.latest_start
            if late <= datetime.timedelta():
                tokens_ahead += ticket.cost_tokens
                continue
            self._unqueue(ticket, now)
            yield _request.Refuse(
                ticket.request_id,
                _failures.DeadlineCannotBeMet(
                    self._return_after(queue, ticket, late, now)
                ),
            )

    def _return_after(
        self,
        queue: _customer.CustomerQueue,
        ticket: _request.AdmissionRequest,
        wait: datetime.timedelta,
        now: datetime.datetime,
    ) -> datetime.timedelta:
        # Each refused request is given a place behind the one refused
        # before it, so that a customer's resends come at its own rate.
        rate = self._tokens_per_second * self._share.share_of(queue)
        ceiling = self._settings.retry_after_ceiling
        returns_at = max(queue.returns_at, now + wait)
        step = datetime.timedelta(seconds=ticket.cost_tokens / rate)
        queue.returns_at = min(returns_at + step, now + ceiling)
        return self._spread(min(returns_at - now, ceiling))

    def _spread(self, wait: datetime.timedelta) -> datetime.timedelta:
        stretch = 1 + self._settings.retry_after_jitter * self._random.random()
        return max(wait, self._settings.retry_after_floor) * stretch

    def _forget_idle(self, now: datetime.datetime) -> None:
        self._share.forget_idle(now - IDLE_CUSTOMER_RETENTION)
