"""Requests that need a permit, and how long they may wait for it."""

import datetime

from sedgepin._gateway import _effects
from sedgepin._gateway import _exchange
from sedgepin._gateway import _request_queue
from sedgepin._gateway import _shared_state
from sedgepin import _model as model
from sedgepin import _rate_limits as rate_limits
from sedgepin import events

_Permission = rate_limits.Permission

_AT_ONCE = datetime.timedelta()
# A permit must come before its request has waited too long.
_ANSWER_TIME = datetime.timedelta(milliseconds=50)
_MAX_LOGGED_ENDPOINTS = 8
# Bounds the messages about a request while all endpoints with limits are busy.
_MAX_DENIED_AT_ONCE = 6
_MAX_DENIED_PERMITS = 8


class PermitWaits:
    """Obtains permits for requests, and lets requests wait for them.

    >>> waits = PermitWaits(state)
    >>> waits.obtain(exchange, endpoint_id, timedelta(), now)
    Permission.ASKED
    """

    __slots__ = ("_state",)

    def __init__(self, state: _shared_state.SharedState) -> None:
        self._state = state

    def first_wait(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Return how long the next permit of a request may take to come.

        It asks for some at once, then for one that it waits for, and then
        takes only an endpoint that needs none: ``None``.
        """
        if exchange.denied_permits < _MAX_DENIED_AT_ONCE:
            return _AT_ONCE
        if self._may_ask(exchange):
            return self.longest_wait(exchange, now)
        return None

    def _may_ask(self, exchange: _exchange.Exchange) -> bool:
        return exchange.denied_permits < _MAX_DENIED_PERMITS

    def obtain(
        self,
        exchange: _exchange.Exchange,
        endpoint_id: model.EndpointId,
        max_wait: datetime.timedelta,
        now: datetime.datetime,
    ) -> rate_limits.Permission:
        """Ask whether a request may be sent to an endpoint, if need be."""
        permits = self._state.permits
        record = self._state.fleet.registry.find(endpoint_id)
        if record is None:
            return _Permission.GRANTED
        incarnation = record.registration.incarnation
        if permits.limits.find(endpoint_id, incarnation) is None:
            return _Permission.GRANTED
        if permits.has_pending(exchange.exchange_id):
            return _Permission.ASKED
        # Streams that have started come before any other request.
        priority = -1 if exchange.has_output else exchange.priority
        permission = permits.obtain(
            exchange.exchange_id,
            endpoint_id,
            incarnation,
            max_wait,
            priority,
            now,
        )
        if permission is _Permission.DENIED:
            self._state.fleet.invalidate_pipelines()
        return permission

    def has_others(self, queue: _request_queue.RequestQueue) -> bool:
        """Return whether requests wait in a queue, but not for a permit."""
        permits = self._state.permits
        return any(
            exchange.holds_up_others
            and not permits.has_pending(exchange.exchange_id)
            for exchange in queue
        )

    def longest_wait(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return how long a request may wait for a permit from now on."""
        permits = self._state.permits
        if not len(permits.limits) or not permits.may_wait:
            return _AT_ONCE
        if permits.has_pending(exchange.exchange_id):
            return _AT_ONCE
        if not self._may_ask(exchange):
            return _AT_ONCE
        wait = _request_queue.max_wait(exchange) - _ANSWER_TIME
        if exchange.queued_at is not None:
            wait -= now - exchange.queued_at
        return max(_AT_ONCE, min(wait, exchange.time_left(now)))

    def begin(
        self,
        exchange: _exchange.Exchange,
        max_wait: datetime.timedelta | None,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Let a request wait for a permit that was asked for.

        One that may be given at once is decided within milliseconds.
        """
        if exchange.queued_at is not None or not max_wait:
            return []
        queue = self._state.queues.for_service(exchange.service.name)
        queue.enqueue(exchange, now)
        return [self.log_limited(exchange, now)]

    def log_limited(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _effects.WriteLog:
        """Return the log line on the limits that hold a request up."""
        limited = self._state.fleet.limited(exchange.service.name, now)
        limited.sort(key=lambda item: (item[1], item[0]))
        free_at = limited[0][1] if limited else now
        line = events.REQUEST_LIMITED.line(
            request=exchange.request.request_id,
            service=exchange.service.name,
            endpoints=",".join(
                endpoint_id
                for endpoint_id, _ in limited[:_MAX_LOGGED_ENDPOINTS]
            ),
            free_in_milliseconds=_shared_state.milliseconds(free_at - now),
        )
        return _shared_state.log(line)

    def retry_after(
        self,
        exchange: _exchange.Exchange,
        queue: _request_queue.RequestQueue,
        now: datetime.datetime,
    ) -> datetime.timedelta:
        """Return when the caller of a request that did not fit may retry.

        Capacity becomes free in the queue's order, or an endpoint with a
        limit takes requests again, whichever comes first.
        """
        wait = queue.expected_wait(exchange, now)
        for _, free_at in self._state.fleet.limited(
            exchange.service.name, now
        ):
            wait = min(wait, free_at - now)
        return queue.retry_after(exchange, now, wait)
