"""Queues of requests that wait for capacity in the engines' caches.

Engines preempt running requests when their caches overflow, so requests
beyond the capacity must wait.  They wait only as long as their answer can
still arrive in time.  A request whose expected wait is longer is rejected at
once, with the time after which capacity is expected.
"""

import collections
import collections.abc
import datetime

from sedgepin._gateway import _exchange
from sedgepin import _model as model

# For streams that have started and wait for an engine to resume on.  Callers
# disconnect after 2 s without an event.
_MAX_RESUME_WAIT = datetime.timedelta(milliseconds=1500)
# As a share of the first output target; the rest is for the prefill.
_MAX_WAIT_SHARE = 0.8
# For measuring the departure rate; a few times the duration of an answer.
_DEPARTURE_WINDOW = datetime.timedelta(seconds=4)
_MIN_RETRY_AFTER = datetime.timedelta(milliseconds=250)
# As a share of the time until the deadline.  Callers accept up to a third of
# it, and some of that passes in transit.
_RETRY_AFTER_SHARE = 0.3


class RequestQueue:
    """The waiting requests of one service.

    Streams that have started come first, then the others by priority and
    arrival.

    >>> queue = RequestQueue()
    >>> queue.may_enqueue(exchange, now)
    True
    >>> queue.enqueue(exchange, now)
    """

    __slots__ = ("_departures", "_last_retry_at", "_queued")

    def __init__(self) -> None:
        self._queued: dict[int, _exchange.Exchange] = {}
        self._departures: collections.deque[datetime.datetime] = (
            collections.deque()
        )
        self._last_retry_at: datetime.datetime | None = None

    def __len__(self) -> int:
        return len(self._queued)

    def __iter__(self) -> collections.abc.Iterator[_exchange.Exchange]:
        return iter(tuple(self._queued.values()))

    def record_departure(self, now: datetime.datetime) -> None:
        """Count a request that finished on its engines."""
        self._departures.append(now)
        self._remove_old_departures(now)

    def expected_wait(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return how long a request would wait if it were enqueued now."""
        ahead = sum(
            queued.holds_up_others and _sort_key(queued) <= _sort_key(exchange)
            for queued in self._queued.values()
        )
        return self._departure_interval(now) * (ahead + 1)

    def _departure_interval(
        self, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return the mean time between requests that finish."""
        self._remove_old_departures(now)
        # Without any departure, assume one per window.
        return _DEPARTURE_WINDOW / max(1, len(self._departures))

    def _remove_old_departures(self, now: datetime.datetime) -> None:
        while (
            self._departures and now - self._departures[0] > _DEPARTURE_WINDOW
        ):
            self._departures.popleft()

    def may_enqueue(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> bool:
        """Return whether a request that waits can be answered in time."""
        if exchange.has_output:
            return True
        return self.expected_wait(exchange, now) <= max_wait(exchange)

    def retry_after(
        self,
        exchange: _exchange.Exchange,
        now: datetime.datetime,
        least: datetime.timedelta | None = None,
    ) -> datetime.timedelta:
        """Return how long the caller of a rejected request should wait.

        ``least`` replaces the expected wait in the queue, if it is known
        better.

        The retries of successive callers are spaced by the departure
        interval, so that they arrive at the rate at which capacity becomes
        free.  This matters because most callers retry only once.
        """
        if least is None:
            least = self.expected_wait(exchange, now)
        wait = max(_MIN_RETRY_AFTER, least)
        retry_at = now + wait
        if self._last_retry_at is not None:
            next_slot = self._last_retry_at + self._departure_interval(now)
            retry_at = max(retry_at, next_slot)
        latest = now + exchange.time_left(now) * _RETRY_AFTER_SHARE
        self._last_retry_at = min(retry_at, latest)
        return self._last_retry_at - now

    def enqueue(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> None:
        """Add a request; one that is queued already keeps its time."""
        if exchange.queued_at is None:
            exchange.queued_at = now
        self._queued[exchange.exchange_id] = exchange

    def restart_wait(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> None:
        """Let a stream that has started wait on, and hold up no other."""
        exchange.queued_at = now
        exchange.denied_permits = 0
        exchange.yields_place = True

    def dequeue(self, exchange: _exchange.Exchange) -> None:
        """Remove a request, if it is queued."""
        exchange.queued_at = None
        self._queued.pop(exchange.exchange_id, None)

    def in_order(self) -> list[_exchange.Exchange]:
        """Return the waiting requests in the order of their dispatch."""
        return sorted(self._queued.values(), key=_sort_key)

    def next_yielding(self, most: int) -> frozenset[int]:
        """Return which of those that hold up no others to try, in turn."""
        exchange_ids = [
            exchange_id
            for exchange_id, exchange in self._queued.items()
            if exchange.yields_place
        ][:most]
        for exchange_id in exchange_ids:
            self._queued[exchange_id] = self._queued.pop(exchange_id)
        return frozenset(exchange_ids)

    def overdue(self, now: datetime.datetime) -> list[_exchange.Exchange]:
        """Return the requests that have waited longer than ``max_wait``."""
        return [
            exchange
            for exchange in self.in_order()
            if exchange.queued_at is not None
            and now - exchange.queued_at > max_wait(exchange)
        ]


class RequestQueues:
    """The queues of all services, created on first use."""

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        self._queues: dict[model.ServiceName, RequestQueue] = {}

    def for_service(self, service: model.ServiceName) -> RequestQueue:
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = RequestQueue()
            self._queues[service] = queue
        return queue

    def __iter__(self) -> collections.abc.Iterator[RequestQueue]:
        return iter(tuple(self._queues.values()))


def max_wait(exchange: _exchange.Exchange) -> datetime.timedelta:
    """Return how long a request may stay in the queue."""
    if exchange.has_output:
        return _MAX_RESUME_WAIT
    return exchange.route.first_output_target * _MAX_WAIT_SHARE


def _sort_key(
    exchange: _exchange.Exchange,
) -> tuple[bool, int, datetime.datetime, int]:
    return (
        not exchange.has_output,
        exchange.priority,
        exchange.arrived_at,
        exchange.exchange_id,
    )
