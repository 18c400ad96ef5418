"""Queue, fair-share credit and rate limit of one customer."""

import collections
import datetime
import math

from sedgepin._admission import _request
from sedgepin._admission import _settings
from sedgepin import _model as model

# Limits the debt of a customer whose requests used far more tokens than
# estimated, so that one wrong estimate does not block it for long.
MAX_DEBT_ROUNDS = 64

RATE_DECAY_TIME = datetime.timedelta(seconds=4)


class DecayingRate:
    """Exponentially decaying average of tokens per second."""

    __slots__ = ("_tokens", "_updated_at")

    def __init__(self) -> None:
        self._tokens = 0.0
        self._updated_at: datetime.datetime | None = None

    def add(self, tokens: int, now: datetime.datetime) -> None:
        """Add tokens of a request started at ``now``."""
        self._tokens = self._decayed(now) + tokens
        self._updated_at = now

    def per_second(self, now: datetime.datetime) -> float:
        """Return the average rate at ``now``, in tokens per second."""
        return self._decayed(now) / RATE_DECAY_TIME.total_seconds()

    def _decayed(self, now: datetime.datetime) -> float:
        if self._updated_at is None:
            return 0.0
        return self._tokens * math.exp(
            -((now - self._updated_at) / RATE_DECAY_TIME)
        )


class CustomerQueue:
    """Queued requests and accounting of one customer.

    ``credit_tokens`` is the deficit counter of the round robin: the tokens
    that the customer may still start in this round.  It is negative after
    requests used more tokens than estimated.  ``next_retry_at`` is the
    earliest retry time for the customer's next refused request.
    """

    __slots__ = (
        "customer",
        "limits",
        "queued_tokens",
        "queued_requests",
        "running_requests",
        "credit_tokens",
        "next_retry_at",
        "started_rate",
        "_by_priority",
        "_rate_limit_tokens",
        "_rate_limit_refilled_at",
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
        self.next_retry_at = now
        self.started_rate = DecayingRate()
        self._by_priority: dict[
            int,
            collections.OrderedDict[
                model.RequestId, _request.AdmissionRequest
            ],
        ] = {}
        self._rate_limit_tokens = self._burst_tokens()
        self._rate_limit_refilled_at = now

    @property
    def open_requests(self) -> int:
        """Return the number of queued and running requests."""
        return self.queued_requests + self.running_requests

    @property
    def backlog(self) -> float:
        """Return the queued tokens per unit of weight."""
        return self.queued_tokens / self.limits.weight

    def enqueue(self, request: _request.AdmissionRequest) -> None:
        """Append a request behind others of the same priority."""
        requests = self._by_priority.setdefault(
            request.priority, collections.OrderedDict()
        )
        requests[request.request_id] = request
        self.queued_requests += 1
        self.queued_tokens += request.cost_tokens

    def remove(self, request: _request.AdmissionRequest) -> None:
        """Remove a queued request."""
        requests = self._by_priority[request.priority]
        del requests[request.request_id]
        if not requests:
            del self._by_priority[request.priority]
        self.queued_requests -= 1
        self.queued_tokens -= request.cost_tokens

    def first(self) -> _request.AdmissionRequest | None:
        """Return the request that is next to run, or ``None`` if empty."""
        if not self._by_priority:
            return None
        requests = self._by_priority[max(self._by_priority)]
        return next(iter(requests.values()))

    def last(self) -> _request.AdmissionRequest:
        """Return the last queued request; the queue must not be empty."""
        requests = self._by_priority[min(self._by_priority)]
        return next(reversed(requests.values()))

    def in_order(self) -> list[_request.AdmissionRequest]:
        """Return the queued requests by priority, then arrival."""
        return [
            request
            for priority in sorted(self._by_priority, reverse=True)
            for request in self._by_priority[priority].values()
        ]

    def tokens_ahead(self, priority: int) -> int:
        """Return the queued tokens ahead of a new request of ``priority``."""
        if not self._by_priority:
            return 0
        if priority <= min(self._by_priority):
            return self.queued_tokens
        return sum(
            request.cost_tokens
            for level, requests in self._by_priority.items()
            if level >= priority
            for request in requests.values()
        )

    def charge_rate_limit(
        self, cost_tokens: int, now: datetime.datetime
    ) -> bool:
        """Charge the rate limit; return whether it allowed the request.

        A positive balance allows a request of any cost and may become
        negative.
        """
        if self.limits.tokens_per_second is None:
            return True
        self._refill_rate_limit(now)
        if self._rate_limit_tokens <= 0:
            return False
        self._rate_limit_tokens -= cost_tokens
        return True

    def refund_rate_limit(self, tokens: int) -> None:
        """Return tokens that were charged to the rate limit but not used."""
        self._rate_limit_tokens = min(
            self._burst_tokens(), self._rate_limit_tokens + tokens
        )

    def rate_limit_delay(self) -> datetime.timedelta:
        """Return the time until the rate limit allows another request.

        The time is counted from the last call of ``charge_rate_limit``.
        """
        rate = self.limits.tokens_per_second or 1.0
        return datetime.timedelta(
            seconds=max(0.0, -self._rate_limit_tokens) / rate
        )

    def adjust_credit(self, tokens: float, round_tokens: float) -> None:
        """Add unused tokens to the credit; negative if underestimated."""
        floor = -MAX_DEBT_ROUNDS * round_tokens
        self.credit_tokens = max(floor, self.credit_tokens + tokens)

    def _burst_tokens(self) -> float:
        rate = self.limits.tokens_per_second or 0.0
        return rate * self.limits.burst_seconds

    def _refill_rate_limit(self, now: datetime.datetime) -> None:
        rate = self.limits.tokens_per_second or 0.0
        seconds = (now - self._rate_limit_refilled_at).total_seconds()
        self._rate_limit_refilled_at = now
        self._rate_limit_tokens = min(
            self._burst_tokens(), self._rate_limit_tokens + seconds * rate
        )
