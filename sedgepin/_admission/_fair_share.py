"""Weighted deficit round robin over customers, in estimated tokens.

In each round, an active customer earns ``quantum_tokens`` times its weight
and starts requests while its credit is positive.  A customer that becomes
active is served once before the customers that were already active, so a
small customer does not wait a round behind large ones (the new and old
queues of FQ-CoDel, RFC 8290).  While it is idle, a customer keeps its credit
or debt and earns at most its share, so alternating between idle and active
gains nothing.
"""

import collections
import datetime
import math

from sedgepin._admission import _customer
from sedgepin._admission import _request
from sedgepin._admission import _settings
from sedgepin import _model as model


class FairShareScheduler:
    """The queues of all customers, served by deficit round robin."""

    __slots__ = (
        "customers",
        "queued_requests",
        "queued_tokens",
        "_settings",
        "_new_queues",
        "_old_queues",
        "_active",
        "_idle_since",
        "_started_rate",
    )

    def __init__(self, settings: _settings.AdmissionSettings) -> None:
        self.customers: dict[model.CustomerId, _customer.CustomerQueue] = {}
        self.queued_requests = 0
        self.queued_tokens = 0
        self._settings = settings
        self._new_queues: collections.deque[_customer.CustomerQueue] = (
            collections.deque()
        )
        self._old_queues: collections.deque[_customer.CustomerQueue] = (
            collections.deque()
        )
        self._active: dict[model.CustomerId, _customer.CustomerQueue] = {}
        self._idle_since: dict[model.CustomerId, datetime.datetime] = {}
        self._started_rate = _customer.DecayingRate()

    @property
    def active(self) -> list[_customer.CustomerQueue]:
        """Return the queues that take part in the round robin."""
        return list(self._active.values())

    def queue_of(
        self, customer: model.CustomerId, now: datetime.datetime
    ) -> _customer.CustomerQueue:
        """Return the customer's queue, creating it on first use."""
        queue = self.customers.get(customer)
        if queue is None:
            limits = self._settings.customers.get(
                customer, self._settings.default
            )
            queue = _customer.CustomerQueue(customer, limits, now)
            queue.credit_tokens = self.round_tokens(queue)
            self.customers[customer] = queue
            self._idle_since[customer] = now
        return queue

    def round_tokens(self, queue: _customer.CustomerQueue) -> float:
        """Return the tokens that the customer earns in each round."""
        return self._settings.quantum_tokens * queue.limits.weight

    def share_among_active(self, queue: _customer.CustomerQueue) -> float:
        """Return the customer's share among active customers, from 0 to 1."""
        active_weight = sum(
            active.limits.weight for active in self._active.values()
        )
        if queue.customer not in self._active:
            active_weight += queue.limits.weight
        return queue.limits.weight / active_weight

    def expected_rate(
        self,
        queue: _customer.CustomerQueue,
        tokens_per_second: float,
        now: datetime.datetime,
    ) -> float:
        """Return the tokens per second that the customer can expect.

        ``tokens_per_second`` is the processing rate of all endpoints.  The
        customer can expect the part of it that other customers leave unused,
        but at least its share among all customers with open requests.
        """
        used_by_others = self._started_rate.per_second(
            now
        ) - queue.started_rate.per_second(now)
        weights = sum(
            other.limits.weight
            for other in self.customers.values()
            if other.open_requests and other is not queue
        )
        share = queue.limits.weight / (queue.limits.weight + weights)
        return max(
            tokens_per_second * share, tokens_per_second - used_by_others
        )

    def current_credit(
        self,
        queue: _customer.CustomerQueue,
        tokens_per_second: float,
        now: datetime.datetime,
    ) -> float:
        """Return the customer's credit, including that earned while idle."""
        idle_since = self._idle_since.get(queue.customer)
        if queue.customer in self._active or idle_since is None:
            return queue.credit_tokens
        seconds = (now - idle_since).total_seconds()
        earned = seconds * tokens_per_second * self.share_among_active(queue)
        credit_limit = self._settings.saved_rounds * self.round_tokens(queue)
        return min(credit_limit, queue.credit_tokens + earned)

    def enqueue(
        self,
        queue: _customer.CustomerQueue,
        request: _request.AdmissionRequest,
        tokens_per_second: float,
        now: datetime.datetime,
    ) -> None:
        """Append a request to its customer's queue."""
        if queue.customer not in self._active:
            queue.credit_tokens = self.current_credit(
                queue, tokens_per_second, now
            )
            self._active[queue.customer] = queue
            self._new_queues.append(queue)
            self._idle_since.pop(queue.customer, None)
        queue.enqueue(request)
        self.queued_requests += 1
        self.queued_tokens += request.cost_tokens

    def remove(
        self,
        queue: _customer.CustomerQueue,
        request: _request.AdmissionRequest,
    ) -> None:
        """Remove a queued request."""
        queue.remove(request)
        self.queued_requests -= 1
        self.queued_tokens -= request.cost_tokens

    def dequeue(
        self, now: datetime.datetime
    ) -> _request.AdmissionRequest | None:
        """Remove and return the next request to run, if any is queued."""
        unserved = 0
        while self._active:
            ring = self._new_queues or self._old_queues
            queue = ring[0]
            request = queue.first()
            if request is None:
                ring.popleft()
                del self._active[queue.customer]
                self._idle_since[queue.customer] = now
                continue
            if queue.credit_tokens > 0:
                queue.credit_tokens -= request.cost_tokens
                self.remove(queue, request)
                queue.started_rate.add(request.cost_tokens, now)
                self._started_rate.add(request.cost_tokens, now)
                return request
            queue.credit_tokens += self.round_tokens(queue)
            ring.popleft()
            self._old_queues.append(queue)
            unserved += 1
            if unserved > len(self._active):
                self._skip_rounds()
                unserved = 0
        return None

    def _skip_rounds(self) -> None:
        # All customers are in debt: grant at once the number of rounds after
        # which the first of them can start a request.
        waiting = [
            queue for queue in self._old_queues if queue.queued_requests
        ]
        rounds = min(
            (
                math.floor(-queue.credit_tokens / self.round_tokens(queue))
                for queue in waiting
            ),
            default=0,
        )
        for queue in waiting:
            queue.credit_tokens += max(0, rounds) * self.round_tokens(queue)

    def remove_idle(self, before: datetime.datetime) -> None:
        """Remove customers that have been idle since before ``before``."""
        for customer, since in list(self._idle_since.items()):
            queue = self.customers[customer]
            if since < before and not queue.open_requests:
                del self.customers[customer]
                del self._idle_since[customer]
