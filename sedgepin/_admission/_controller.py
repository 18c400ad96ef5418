"""Admission control: runs, queues or refuses each request.

A request is admitted when capacity is free and fair sharing selects its
customer.  It is refused as soon as the predicted wait makes its deadline
unreachable; it is never held until the deadline passes.
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
    """A request was submitted with the id of a queued or running request."""


class AdmissionController:
    """Admission control of one entry VM, as a reducer.

    Call ``tick`` at ``wake_at``.  Methods return the decisions that they
    cause; each request gets at most one decision.

    >>> import datetime, random
    >>> now = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    >>> controller = AdmissionController(
    ...     _settings.AdmissionSettings(), now, random.Random(1)
    ... )
    >>> controller.set_capacity(10_000, 2_000.0, now)
    []
    >>> second = datetime.timedelta(seconds=1)
    >>> request = _request.AdmissionRequest(
    ...     model.RequestId("r1"), model.CustomerId("beja"), 0, 300,
    ...     now + 5 * second, second,
    ... )
    >>> controller.submit(request, now)
    [Admit(request_id='r1')]
    """

    __slots__ = (
        "in_flight_tokens",
        "_settings",
        "_random",
        "_scheduler",
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
        self._scheduler = _fair_share.FairShareScheduler(settings)
        self._queued: dict[model.RequestId, _request.AdmissionRequest] = {}
        self._running: dict[model.RequestId, _request.AdmissionRequest] = {}
        self._capacity_tokens = 0
        self._tokens_per_second = 0.0
        self._draining = False
        self._reviewed_at = now
        self._forecast: _forecast.WaitForecast | None = None
        self._forecast_until = now

    @property
    def queued_requests(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    @property
    def wake_at(self) -> datetime.datetime | None:
        """Return when to call ``tick``, or ``None`` with an empty queue."""
        if not self._queued:
            return None
        return self._reviewed_at + REVIEW_INTERVAL

    def submit(
        self, request: _request.AdmissionRequest, now: datetime.datetime
    ) -> list[_request.Decision]:
        """Admit, queue or refuse a new request.

        Raises ``RequestAlreadyOpen`` if its id is queued or running.
        """
        if request.request_id in self._queued:
            raise RequestAlreadyOpen(request.request_id)
        if request.request_id in self._running:
            raise RequestAlreadyOpen(request.request_id)
        queue = self._scheduler.queue_of(request.customer, now)
        failure = self._check_limits(queue, request, now)
        if failure is not None:
            return [_request.Refuse(request.request_id, failure)]
        self._queued[request.request_id] = request
        self._scheduler.enqueue(queue, request, self._tokens_per_second, now)
        decisions = self._admit_waiting(now)
        decisions += self._enforce_queue_limits(queue, now)
        return decisions

    def finish(
        self,
        request_id: model.RequestId,
        used_tokens: int,
        now: datetime.datetime,
    ) -> list[_request.Decision]:
        """Free the capacity of an admitted request that has ended.

        The difference between ``used_tokens`` and its estimated cost is
        settled with its customer.  Unknown ids are ignored.
        """
        request = self._running.pop(request_id, None)
        if request is None:
            return []
        queue = self._scheduler.queue_of(request.customer, now)
        queue.running_requests -= 1
        self.in_flight_tokens -= request.cost_tokens
        unused = request.cost_tokens - used_tokens
        queue.adjust_credit(unused, self._scheduler.round_tokens(queue))
        queue.refund_rate_limit(unused)
        return self._admit_waiting(now)

    def cancel(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> list[_request.Decision]:
        """Remove a queued or running request whose caller disconnected."""
        queued = self._queued.get(request_id)
        if queued is not None:
            self._dequeue(queued, now)
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
        """Set the tokens that may be in flight and the processing rate.

        If either is zero, nothing can run and all queued requests are
        refused.
        """
        slower = tokens_per_second < self._tokens_per_second
        self._capacity_tokens = in_flight_tokens
        self._tokens_per_second = tokens_per_second
        self._forecast = None
        decisions = self._admit_waiting(now)
        if slower or not self._has_capacity:
            decisions += self._review(now)
        return decisions

    def start_draining(self, now: datetime.datetime) -> None:
        """Refuse new requests from now on; queued requests still run."""
        self._draining = True

    def tick(self, now: datetime.datetime) -> list[_request.Decision]:
        """Refuse queued requests that can no longer meet their deadline."""
        self._remove_idle_customers(now)
        return self._review(now)

    @property
    def _has_capacity(self) -> bool:
        return self._capacity_tokens > 0 and self._tokens_per_second > 0

    def _check_limits(
        self,
        queue: _customer.CustomerQueue,
        request: _request.AdmissionRequest,
        now: datetime.datetime,
    ) -> _failures.NotAdmitted | None:
        floor = self._settings.retry_after_floor
        if self._draining:
            return _failures.Draining(self._with_jitter(floor))
        if not self._has_capacity:
            return _failures.NoCapacity(self._with_jitter(floor))
        if queue.open_requests >= queue.limits.open_requests:
            return _failures.TooManyOpenRequests(
                self._retry_delay(queue, request, floor, now)
            )
        wait = self._predict_wait(
            queue,
            queue.tokens_ahead(request.priority),
            self._scheduler.current_credit(
                queue, self._tokens_per_second, now
            ),
            now,
        )
        slack = request.latest_start - now
        overrun = wait - max(slack, datetime.timedelta()) * (
            self._settings.wait_share
        )
        if overrun > datetime.timedelta() or slack < datetime.timedelta():
            return _failures.DeadlineCannotBeMet(
                self._retry_delay(queue, request, overrun, now)
            )
        if not queue.charge_rate_limit(request.cost_tokens, now):
            return _failures.RateExceeded(
                self._with_jitter(max(floor, queue.rate_limit_delay()))
            )
        return None

    def _predict_wait(
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
            self._forecast = _forecast.WaitForecast(
                self._scheduler.active, max(0, excess), self._tokens_per_second
            )
            self._forecast_until = now + REVIEW_INTERVAL
        rate = self._scheduler.expected_rate(
            queue, self._tokens_per_second, now
        )
        return self._forecast.wait(queue, tokens_ahead, credit_tokens, rate)

    def _admit_waiting(
        self, now: datetime.datetime
    ) -> list[_request.Decision]:
        decisions: list[_request.Decision] = []
        if not self._has_capacity:
            return decisions
        while self.in_flight_tokens < self._capacity_tokens:
            request = self._scheduler.dequeue(now)
            if request is None:
                break
            del self._queued[request.request_id]
            self._running[request.request_id] = request
            self.in_flight_tokens += request.cost_tokens
            queue = self._scheduler.queue_of(request.customer, now)
            queue.running_requests += 1
            decisions.append(_request.Admit(request.request_id))
        return decisions

    def _dequeue(
        self, request: _request.AdmissionRequest, now: datetime.datetime
    ) -> _customer.CustomerQueue:
        del self._queued[request.request_id]
        queue = self._scheduler.queue_of(request.customer, now)
        self._scheduler.remove(queue, request)
        queue.refund_rate_limit(request.cost_tokens)
        return queue

    def _enforce_queue_limits(
        self, queue: _customer.CustomerQueue, now: datetime.datetime
    ) -> list[_request.Decision]:
        decisions: list[_request.Decision] = []
        if queue.queued_requests > queue.limits.queued_requests:
            decisions.append(self._refuse_last(queue, now))
        if len(self._queued) > self._settings.queued_requests:
            longest = max(
                self._scheduler.active,
                key=lambda active: (
                    active.queued_requests / active.limits.weight
                ),
            )
            decisions.append(self._refuse_last(longest, now))
        return decisions

    def _refuse_last(
        self, queue: _customer.CustomerQueue, now: datetime.datetime
    ) -> _request.Refuse:
        request = queue.last()
        wait = self._predict_wait(
            queue, queue.queued_tokens, queue.credit_tokens, now
        )
        self._dequeue(request, now)
        return _request.Refuse(
            request.request_id,
            _failures.QueueFull(self._retry_delay(queue, request, wait, now)),
        )

    def _review(self, now: datetime.datetime) -> list[_request.Decision]:
        self._reviewed_at = now
        self._forecast = None
        decisions: list[_request.Decision] = []
        for queue in self._scheduler.active:
            decisions += self._review_queue(queue, now)
        return decisions

    def _review_queue(
        self, queue: _customer.CustomerQueue, now: datetime.datetime
    ) -> collections.abc.Iterator[_request.Decision]:
        tokens_ahead = 0
        floor = self._settings.retry_after_floor
        for request in queue.in_order():
            if not self._has_capacity:
                self._dequeue(request, now)
                yield _request.Refuse(
                    request.request_id,
                    _failures.NoCapacity(self._with_jitter(floor)),
                )
                continue
            wait = self._predict_wait(
                queue, tokens_ahead, queue.credit_tokens, now
            )
            overrun = now + wait - request.latest_start
            if overrun <= datetime.timedelta():
                tokens_ahead += request.cost_tokens
                continue
            self._dequeue(request, now)
            yield _request.Refuse(
                request.request_id,
                _failures.DeadlineCannotBeMet(
                    self._retry_delay(queue, request, overrun, now)
                ),
            )

    def _retry_delay(
        self,
        queue: _customer.CustomerQueue,
        request: _request.AdmissionRequest,
        wait: datetime.timedelta,
        now: datetime.datetime,
    ) -> datetime.timedelta:
        # Consecutive refusals of one customer get increasing delays, so
        # that its retries arrive at the rate of its share.
        rate = self._tokens_per_second * self._scheduler.share_among_active(
            queue
        )
        ceiling = self._settings.retry_after_ceiling
        next_retry_at = max(queue.next_retry_at, now + wait)
        step = datetime.timedelta(seconds=request.cost_tokens / rate)
        queue.next_retry_at = min(next_retry_at + step, now + ceiling)
        return self._with_jitter(min(next_retry_at - now, ceiling))

    def _with_jitter(self, wait: datetime.timedelta) -> datetime.timedelta:
        stretch = 1 + self._settings.retry_after_jitter * self._random.random()
        return max(wait, self._settings.retry_after_floor) * stretch

    def _remove_idle_customers(self, now: datetime.datetime) -> None:
        self._scheduler.remove_idle(now - IDLE_CUSTOMER_RETENTION)
