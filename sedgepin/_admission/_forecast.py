"""Predicts how long a request waits under fair sharing.

While a customer works off ``x`` tokens of credit for each unit of weight,
every other customer is served at most ``x`` times its own weight, and no
more than it has queued.  The sum over all customers, divided by the rate at
which tokens are worked off, is the wait.  Sorted backlogs with running sums
answer each question in logarithmic time.

Backlogs say nothing of what others will send meanwhile, so the wait is also
no shorter than at the rate that the customer can count on.
"""

import bisect
import collections.abc
import datetime
import itertools

from sedgepin._admission import _customer


class Forecast:
    """The backlogs at one instant."""

    __slots__ = (
        "_own",
        "_backlogs",
        "_tokens_before",
        "_weights_after",
        "_excess_tokens",
        "_tokens_per_second",
    )

    def __init__(
        self,
        queues: collections.abc.Iterable[_customer.CustomerQueue],
        excess_tokens: float,
        tokens_per_second: float,
    ) -> None:
        ordered = sorted(queues, key=lambda queue: queue.backlog)
        self._own = {queue.customer: queue.queued_tokens for queue in ordered}
        self._backlogs = [queue.backlog for queue in ordered]
        self._tokens_before = list(
            itertools.accumulate(
                (queue.queued_tokens for queue in ordered), initial=0
            )
        )
        weights = [queue.limits.weight for queue in reversed(ordered)]
        self._weights_after = list(itertools.accumulate(weights, initial=0.0))[
            ::-1
        ]
        self._excess_tokens = excess_tokens
        self._tokens_per_second = tokens_per_second

    def wait(
        self,
        queue: _customer.CustomerQueue,
        tokens_ahead: float,
        credit_tokens: float,
        customer_rate: float,
    ) -> datetime.timedelta:
        """Return the wait behind ``tokens_ahead`` of the same customer."""
        weight = queue.limits.weight
        earned = max(0.0, tokens_ahead - credit_tokens) / weight
        own = min(self._own.get(queue.customer, 0), earned * weight)
        others = self._served(earned) - own
        seconds = (tokens_ahead + others) / self._tokens_per_second
        seconds = max(seconds, earned * weight / customer_rate)
        seconds += self._excess_tokens / self._tokens_per_second
        return datetime.timedelta(seconds=seconds)

    def _served(self, earned: float) -> float:
        index = bisect.bisect_left(self._backlogs, earned)
        return self._tokens_before[index] + self._weights_after[index] * earned
