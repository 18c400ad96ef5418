"""Weighted deficit round robin over customers, in estimated tokens.

Each customer in the ring earns ``quantum_tokens`` times its weight a round
and starts requests while its credit is positive.  A customer that turns
busy is visited once before those that have been busy all along, so a small
customer does not wait a round behind large ones (the two lists of FQ-CoDel,
RFC 8290).  A customer keeps its credit, or its debt, while it is away, and
earns no more than its share meanwhile, so it gains nothing by coming and
going.
"""

import collections
import datetime
import math

from sedgepin._admission import _customer
from sedgepin._admission import _request
from sedgepin._admission import _settings
from sedgepin import _model as model


class FairShare:
    """All customers' queues and the order in which they are served."""

    __slots__ = (
        "customers",
        "queued_requests",
        "queued_tokens",
        "_settings",
        "_fresh",
        "_settled",
        "_active",
        "_idle_since",
        "_started",
    )

    def __init__(self, settings: _settings.AdmissionSettings) -> None:
        self.customers: dict[model.CustomerId, _customer.CustomerQueue] = {}
        self.queued_requests = 0
        self.queued_tokens = 0
        self._settings = settings
        self._fresh: collections.deque[_customer.CustomerQueue] = (
            collections.deque()
        )
        self._settled: collections.deque[_customer.CustomerQueue] = (
            collections.deque()
        )
        self._active: dict[model.CustomerId, _customer.CustomerQueue] = {}
        self._idle_since: dict[model.CustomerId, datetime.datetime] = {}
        self._started = _customer.RecentRate()

    @property
    def active(self) -> list[_customer.CustomerQueue]:
        """Return the customers in the ring."""
        return list(self._active.values())

    def queue_of(
        self, customer: model.CustomerId, now: datetime.datetime
    ) -> _customer.CustomerQueue:
        """Return the customer's queue, made when it is first seen."""
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
        """Return what the customer earns in a round."""
        return self._settings.quantum_tokens * queue.limits.weight

    def share_of(self, queue: _customer.CustomerQueue) -> float:
        """Return the customer's share among those that are busy."""
        busy = sum(other.limits.weight for other in self._active.values())
        if queue.customer not in self._active:
            busy += queue.limits.weight
        return queue.limits.weight / busy

    def rate_of(
        self,
        queue: _customer.CustomerQueue,
        tokens_per_second: float,
        now: datetime.datetime,
    ) -> float:
        """Return the tokens a second that the customer can count on.

        That is what the others leave over, and never less than its share
        among all that have anything open.
        """
        others = self._started.per_second(now) - queue.started.per_second(now)
        weights = sum(
            other.limits.weight
            for other in self.customers.values()
            if other.open_requests and other is not queue
        )
        share = queue.limits.weight / (queue.limits.weight + weights)
        return max(tokens_per_second * share, tokens_per_second - others)

    def credit_of(
        self,
        queue: _customer.CustomerQueue,
        tokens_per_second: float,
        now: datetime.datetime,
    ) -> float:
        """Return the customer's credit with what it earned while idle."""
        idle_since = self._idle_since.get(queue.customer)
        if queue.customer in self._active or idle_since is None:
            return queue.credit_tokens
        seconds = (now - idle_since).total_seconds()
        earned = seconds * tokens_per_second * self.share_of(queue)
        most = self._settings.saved_rounds * self.round_tokens(queue)
        return min(most, queue.credit_tokens + earned)

    def push(
        self,
        queue: _customer.CustomerQueue,
        ticket: _request.AdmissionRequest,
        tokens_per_second: float,
        now: datetime.datetime,
    ) -> None:
        """Queue a request."""
        if queue.customer not in self._active:
            queue.credit_tokens = self.credit_of(queue, tokens_per_second, now)
            self._active[queue.customer] = queue
            self._fresh.append(queue)
            self._idle_since.pop(queue.customer, None)
        queue.push(ticket)
        self.queued_requests += 1
        self.queued_tokens += ticket.cost_tokens

    def remove(
        self, queue: _customer.CustomerQueue, ticket: _request.AdmissionRequest
    ) -> None:
        """Take a queued request out."""
        queue.remove(ticket)
        self.queued_requests -= 1
        self.queued_tokens -= ticket.cost_tokens

    def take(self, now: datetime.datetime) -> _request.AdmissionRequest | None:
        """Return the request that goes next, out of its queue."""
        passed = 0
        while self._active:
            ring = self._fresh or self._settled
            queue = ring[0]
            ticket = queue.head()
            if ticket is None:
                ring.popleft()
                del self._active[queue.customer]
                self._idle_since[queue.customer] = now
                continue
            if queue.credit_tokens > 0:
                queue.credit_tokens -= ticket.cost_tokens
                self.remove(queue, ticket)
                queue.started.add(ticket.cost_tokens, now)
                self._started.add(ticket.cost_tokens, now)
                return ticket
            queue.credit_tokens += self.round_tokens(queue)
            ring.popleft()
            self._settled.append(queue)
            passed += 1
            if passed > len(self._active):
                self._skip_rounds()
                passed = 0
        return None

    def _skip_rounds(self) -> None:
        # All are in debt: give every customer the rounds after which the
        # first is out of it, at once.
        waiting = [queue for queue in self._settled if queue.queued_requests]
        rounds = min(
            (
                math.floor(-queue.credit_tokens / self.round_tokens(queue))
                for queue in waiting
            ),
            default=0,
        )
        for queue in waiting:
            queue.credit_tokens += max(0, rounds) * self.round_tokens(queue)

    def forget_idle(self, before: datetime.datetime) -> None:
        """Forget customers that have had nothing open since ``before``."""
        for customer, since in list(self._idle_since.items()):
            queue = self.customers[customer]
            if since < before and not queue.open_requests:
                del self.customers[customer]
                del self._idle_since[customer]
