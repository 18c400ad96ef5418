"""One customer's queue, credit and rate."""

import collections
import datetime
import math

from sedgepin._admission import _request
from sedgepin._admission import _settings
from sedgepin import _model as model

# A customer whose requests took far more than estimated pays back at most
# this many rounds, so that one mistake does not shut it out for long.
DEBT_LIMIT_ROUNDS = 64


RATE_MEMORY = datetime.timedelta(seconds=4)


class RecentRate:
    """Tokens a second, with older ones counting exponentially less."""

    __slots__ = ("_tokens", "_at")

    def __init__(self) -> None:
        self._tokens = 0.0
        self._at: datetime.datetime | None = None

    def add(self, tokens: int, now: datetime.datetime) -> None:
        """Count tokens."""
        self._tokens = self._decayed(now) + tokens
        self._at = now

    def per_second(self, now: datetime.datetime) -> float:
        """Return the rate."""
        return self._decayed(now) / RATE_MEMORY.total_seconds()

    def _decayed(self, now: datetime.datetime) -> float:
        if self._at is None:
            return 0.0
        return self._tokens * math.exp(-((now - self._at) / RATE_MEMORY))


class CustomerQueue:
    """The state kept for one customer while it has anything open.

    ``credit_tokens`` is its deficit counter: what it may still start in
    this round.  It goes below zero when requests took more than estimated.
    """

    __slots__ = (
        "customer",
        "limits",
        "queued_tokens",
        "queued_requests",
        "running_requests",
        "credit_tokens",
        "returns_at",
        "started",
        "_by_priority",
        "_rate_tokens",
        "_rate_at",
    )

    def __init__(
        self,
        customer: model.CustomerId,
        limits: _settings.CustomerLimits,
        now: datetime.datetime,
    ) -> None:
        self.customer = customer
        self.limits = limits
        self.queued_tokens = 0
        self.queued_requests = 0
        self.running_requests = 0
        self.credit_tokens = 0.0
        self.returns_at = now
        self.started = RecentRate()
        self._by_priority: dict[
            int,
            collections.OrderedDict[
                model.RequestId, _request.AdmissionRequest
            ],
        ] = {}
        self._rate_tokens = self._burst_tokens()
        self._rate_at = now

    @property
    def open_requests(self) -> int:
        """Return how many requests wait or run."""
        return self.queued_requests + self.running_requests

    @property
    def backlog(self) -> float:
        """Return the queued tokens for each unit of weight."""
        return self.queued_tokens / self.limits.weight

    def push(self, ticket: _request.AdmissionRequest) -> None:
        """Put a request behind those of its priority."""
        line = self._by_priority.setdefault(
            ticket.priority, collections.OrderedDict()
        )
        line[ticket.request_id] = ticket
        self.queued_requests += 1
        self.queued_tokens += ticket.cost_tokens

    def remove(self, ticket: _request.AdmissionRequest) -> None:
        """Take a queued request out."""
        line = self._by_priority[ticket.priority]
        del line[ticket.request_id]
        if not line:
            del self._by_priority[ticket.priority]
        self.queued_requests -= 1
        self.queued_tokens -= ticket.cost_tokens

    def head(self) -> _request.AdmissionRequest | None:
        """Return the request that goes next."""
        if not self._by_priority:
            return None
        line = self._by_priority[max(self._by_priority)]
        return next(iter(line.values()))

    def last(self) -> _request.AdmissionRequest:
        """Return the queued request that goes last."""
        line = self._by_priority[min(self._by_priority)]
        return next(reversed(line.values()))

    def in_order(self) -> list[_request.AdmissionRequest]:
        """Return the queued requests in the order in which they go."""
        return [
            ticket
            for priority in sorted(self._by_priority, reverse=True)
            for ticket in self._by_priority[priority].values()
        ]

    def tokens_ahead(self, priority: int) -> int:
        """Return the queued tokens that a newcomer would wait behind."""
        if not self._by_priority:
            return 0
        if priority <= min(self._by_priority):
            return self.queued_tokens
        return sum(
            ticket.cost_tokens
            for level, line in self._by_priority.items()
            if level >= priority
            for ticket in line.values()
        )

    def take_rate(self, cost_tokens: int, now: datetime.datetime) -> bool:
        """Charge the customer's rate, unless it is used up."""
        if self.limits.tokens_per_second is None:
            return True
        self._refill_rate(now)
        if self._rate_tokens <= 0:
            return False
        self._rate_tokens -= cost_tokens
        return True

    def give_back_rate(self, tokens: int) -> None:
        """Return what a request was charged and did not use."""
        self._rate_tokens = min(
            self._burst_tokens(), self._rate_tokens + tokens
        )

    def rate_returns_after(self) -> datetime.timedelta:
        """Return how long until the customer's rate allows a request."""
        rate = self.limits.tokens_per_second or 1.0
        return datetime.timedelta(seconds=max(0.0, -self._rate_tokens) / rate)

    def adjust_credit(self, tokens: float, round_tokens: float) -> None:
        """Correct the credit by what a request really took."""
        floor = -DEBT_LIMIT_ROUNDS * round_tokens
        self.credit_tokens = max(floor, self.credit_tokens + tokens)

    def _burst_tokens(self) -> float:
        rate = self.limits.tokens_per_second or 0.0
        return rate * self.limits.burst_seconds

    def _refill_rate(self, now: datetime.datetime) -> None:
        rate = self.limits.tokens_per_second or 0.0
        seconds = (now - self._rate_at).total_seconds()
        self._rate_at = now
        self._rate_tokens = min(
            self._burst_tokens(), self._rate_tokens + seconds * rate
        )
