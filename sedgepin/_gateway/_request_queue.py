"""Requests that wait for room in the engines' caches.

Load that comes faster than engines free their caches must neither fill them
over, where engines preempt what they run, nor wait past its use.  So a
request waits only as long as its answer can still be in time, and is turned
away at once when the line is too long for that, with the time after which
the line will have moved on.
"""

import collections
import collections.abc
import datetime

from sedgepin._gateway import _exchange
from sedgepin import _model as model

# Started streams wait this long for an engine that can go on with them;
# callers leave after a gap of 2 s.
_RESUME_PATIENCE = datetime.timedelta(milliseconds=1500)
# The share of its target for the first output that a request may wait; the
# rest is for reading its prompt.
_WAIT_SHARE = 0.8
# Over this time the rate is measured at which requests leave the engines:
# a few times the length of an answer.
_RATE_SPAN = datetime.timedelta(seconds=4)
_SHORTEST_RETURN = datetime.timedelta(milliseconds=250)
# Callers heed up to a third of the time that they have left; a little less
# is asked, as some of it passes on the way.
_RETURN_SHARE = 0.3


class WaitingLine:
    """The line of one service: started streams first, then by urgency.

    >>> line = WaitingLine()
    >>> line.may_join(exchange, now)
    True
    >>> line.join(exchange, now)
    """

    __slots__ = ("_departures", "_last_return_at", "_queued")

    def __init__(self) -> None:
        self._queued: dict[int, _exchange.Exchange] = {}
        self._departures: collections.deque[datetime.datetime] = (
            collections.deque()
        )
        self._last_return_at: datetime.datetime | None = None

    def __len__(self) -> int:
        return len(self._queued)

    def record_departure(self, now: datetime.datetime) -> None:
        """Count a request that left its engines."""
        self._departures.append(now)

    def expected_wait(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return how long a request would wait that joins now."""
        ahead = sum(
            _rank(other) <= _rank(exchange) for other in self._queued.values()
        )
        return self._turn(now) * (ahead + 1)

    def _turn(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long it takes until one more request leaves."""
        while self._departures and now - self._departures[0] > _RATE_SPAN:
            self._departures.popleft()
        # Where nothing has left yet, one departure is expected in the span.
        return _RATE_SPAN / max(1, len(self._departures))

    def may_join(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> bool:
        """Tell whether waiting can lead to an answer in time."""
        if exchange.has_output:
            return True
        return self.expected_wait(exchange, now) <= patience(exchange)

    def comes_back_after(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return when a request that is turned away should come again.

        Each gets a turn after the one before, so that they come back at the
        rate at which others leave; most callers come back only once.
        """
        wait = max(_SHORTEST_RETURN, self.expected_wait(exchange, now))
        return_at = now + wait
        if self._last_return_at is not None:
            turn_at = self._last_return_at + self._turn(now)
            return_at = max(return_at, turn_at)
        longest = now + exchange.time_left(now) * _RETURN_SHARE
        self._last_return_at = min(return_at, longest)
        return self._last_return_at - now

    def join(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> None:
        """Let a request wait."""
        if exchange.waits_since is None:
            exchange.waits_since = now
        self._queued[exchange.exchange_id] = exchange

    def leave(self, exchange: _exchange.Exchange) -> None:
        """Let a request wait no more."""
        exchange.waits_since = None
        self._queued.pop(exchange.exchange_id, None)

    def in_order(self) -> list[_exchange.Exchange]:
        """Return the waiting requests, the next one first."""
        return sorted(self._queued.values(), key=_rank)

    def overdue(self, now: datetime.datetime) -> list[_exchange.Exchange]:
        """Return the requests that have waited for too long."""
        return [
            one
            for one in self.in_order()
            if one.waits_since is not None
            and now - one.waits_since > patience(one)
        ]


class WaitingLines:
    """The line of each service."""

    __slots__ = ("_lines",)

    def __init__(self) -> None:
        self._lines: dict[model.ServiceName, WaitingLine] = {}

    def line(self, service: model.ServiceName) -> WaitingLine:
        """Return the line of a service."""
        found = self._lines.get(service)
        if found is None:
            found = WaitingLine()
            self._lines[service] = found
        return found

    def __iter__(self) -> collections.abc.Iterator[WaitingLine]:
        return iter(tuple(self._lines.values()))


def patience(exchange: _exchange.Exchange) -> datetime.timedelta:
    """Return how long a request may wait in all."""
    if exchange.has_output:
        return _RESUME_PATIENCE
    return exchange.route.first_output_target * _WAIT_SHARE


def _rank(
    exchange: _exchange.Exchange,
) -> tuple[bool, int, datetime.datetime, int]:
    return (
        not exchange.has_output,
        exchange.priority,
        exchange.arrived_at,
        exchange.exchange_id,
    )
