"""Predicts how long a request waits under fair sharing.

While a customer earns ``x`` tokens of credit per unit of weight, every other
customer is served at most ``x`` times its own weight, and at most what it has
queued.  The wait is the sum of the tokens served to all customers, divided by
the processing rate.  With sorted backlogs and prefix sums each prediction
takes logarithmic time.

Backlogs do not include requests that others send later, so the predicted wait
is never shorter than the wait at the rate that the customer can expect.
"""

import bisect
import collections.abc
import datetime
import itertools

from sedgepin._admission import _customer


class WaitForecast:
    """Predicts waits from the backlogs of all customers at one instant.

    ``excess_tokens`` are the tokens in flight beyond the capacity, which must
    finish before another request can start.  ``tokens_per_second`` is the
    processing rate of all endpoints.
    """

    __slots__ = (
        "_own_tokens",
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
        self._own_tokens = {
            queue.customer: queue.queued_tokens for queue in ordered
        }
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
        """Predict the wait of a customer's request.

        ``tokens_ahead`` are the tokens queued before it by the same
        customer, ``credit_tokens`` its fair-share credit, ``customer_rate``
        the tokens per second that it can expect.
        """
        weight = queue.limits.weight
        earned_per_weight = max(0.0, tokens_ahead - credit_tokens) / weight
        own = min(
            self._own_tokens.get(queue.customer, 0), earned_per_weight * weight
        )
        others = self._served_tokens(earned_per_weight) - own
        seconds = (tokens_ahead + others) / self._tokens_per_second
        seconds = max(seconds, earned_per_weight * weight / customer_rate)
        seconds += self._excess_tokens / self._tokens_per_second
        return datetime.timedelta(seconds=seconds)

    def _served_tokens(self, earned_per_weight: float) -> float:
        index = bisect.bisect_left(self._backlogs, earned_per_weight)
        return (
            self._tokens_before[index]
            + self._weights_after[index] * earned_per_weight
        )
