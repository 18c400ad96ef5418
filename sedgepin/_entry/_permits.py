"""Permits for attempts and calls at endpoints that have named a limit.

An endpoint names it in its announcements.  What all VMs send to it is counted
by the leader of the control VMs.
"""

import datetime

from sedgepin._entry import _effects
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _rate_limits as rate_limits

Effects = list[_effects.EntryEffect]

# A request that fits nowhere else waits this long for a permit.
MAX_WAIT = datetime.timedelta(seconds=1)
# Bounds the messages about a request while all endpoints with limits are busy.
MAX_DENIED = 8


class PermitClient:
    """Asks control VMs for permits, by the ids of the requests.

    >>> client = PermitClient(permits, controls)
    >>> client.obtain(request_id, endpoint_id, 1, timedelta(), 0, now)
    Permission.ASKED
    """

    __slots__ = (
        "_ask_ids",
        "_connected",
        "_controls",
        "_last_id",
        "_permits",
        "_request_ids",
    )

    def __init__(
        self,
        permits: rate_limits.Permits,
        controls: tuple[model.VmId, ...],
    ) -> None:
        self._permits = permits
        self._controls = frozenset(controls)
        self._connected: set[model.VmId] = set()
        self._last_id = 0
        self._ask_ids: dict[model.RequestId, int] = {}
        self._request_ids: dict[int, model.RequestId] = {}

    def record_connected(self, peer_id: model.VmId) -> None:
        """Record that a peer is connected; only control VMs matter here."""
        if peer_id in self._controls:
            self._connected.add(peer_id)

    def record_disconnected(self, peer_id: model.VmId) -> None:
        """Record that a peer is not connected any more."""
        self._connected.discard(peer_id)

    def observe(
        self, announcement: model.Announcement, now: datetime.datetime
    ) -> list[_effects.EntryEffect]:
        """Heed the limit that an endpoint names, or names no more."""
        change = self._permits.limits.merge(
            announcement.endpoint_id,
            announcement.incarnation,
            announcement.requests_per_second,
            now,
        )
        if change is None:
            return []
        line = rate_limits.change_line(change, "announcement")
        return [_effects.WriteLog(line)]

    def forget(self, endpoint_id: model.EndpointId, incarnation: int) -> None:
        """Forget the limit of an endpoint that is gone."""
        self._permits.limits.remove_ended(endpoint_id, incarnation)

    def blocked(
        self,
        eligible: tuple[model.Announcement, ...],
        wait: datetime.timedelta | None,
        now: datetime.datetime,
    ) -> dict[model.EndpointId, datetime.datetime]:
        """Return when the endpoints without a permit in time are free.

        Without ``wait``, all that have named a limit.
        """
        limits = self._permits.limits
        if not len(limits):
            return {}
        blocked: dict[model.EndpointId, datetime.datetime] = {}
        for announcement in eligible:
            endpoint_id = announcement.endpoint_id
            incarnation = announcement.incarnation
            if limits.find(endpoint_id, incarnation) is None:
                continue
            free_at = self._permits.free_at(endpoint_id, incarnation, now)
            if wait is None or free_at > now + wait:
                blocked[endpoint_id] = free_at
        return blocked

    def max_wait(
        self, deadline: datetime.datetime, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return how long a request may wait for a permit."""
        if not len(self._permits.limits) or not self._permits.may_wait:
            return datetime.timedelta()
        return max(datetime.timedelta(), min(MAX_WAIT, deadline - now))

    def obtain(
        self,
        request_id: model.RequestId,
        endpoint_id: model.EndpointId,
        incarnation: int,
        max_wait: datetime.timedelta,
        priority: int,
        now: datetime.datetime,
    ) -> rate_limits.Permission:
        """Ask for a permit, unless the endpoint has no limit."""
        self.cancel(request_id)
        self._last_id += 1
        permission = self._permits.obtain(
            self._last_id, endpoint_id, incarnation, max_wait, priority, now
        )
        if permission is rate_limits.Permission.ASKED:
            self._ask_ids[request_id] = self._last_id
            self._request_ids[self._last_id] = request_id
        return permission

    def cancel(self, request_id: model.RequestId) -> None:
        """Forget what was asked for a request."""
        ask_id = self._ask_ids.pop(request_id, None)
        if ask_id is not None:
            self._request_ids.pop(ask_id, None)
            self._permits.cancel(ask_id)

    def take_answer(
        self, message: protocol.PermitAnswered, now: datetime.datetime
    ) -> model.RequestId | None:
        """Record a decision; return the request that waits for it."""
        is_expected = self._permits.record_answer(
            message.ask_id,
            message.endpoint_id,
            message.incarnation,
            message.is_granted,
            datetime.timedelta(milliseconds=message.wait_milliseconds),
            now,
        )
        return self._take(message.ask_id) if is_expected else None

    def tick(self, now: datetime.datetime) -> list[model.RequestId]:
        """Return the requests whose questions were not answered."""
        if len(self._permits.limits) and not self._connected:
            self._permits.lose_contact()
        taken = map(self._take, self._permits.tick(now))
        return [request_id for request_id in taken if request_id is not None]

    def send_asks(self) -> Effects:
        """Ask for the permits that requests have come to need."""
        asks = self._permits.take_asks()
        target = min(self._connected, default=None)
        if target is None:
            return []
        return [_effects.SendMessage(target, ask.as_message()) for ask in asks]

    def _take(self, ask_id: int) -> model.RequestId | None:
        request_id = self._request_ids.pop(ask_id, None)
        if request_id is not None:
            del self._ask_ids[request_id]
        return request_id


def returned(
    message: protocol.PermitAnswered, sender: model.VmId
) -> _effects.SendMessage:
    """Return the effect that gives back a permit that is not used."""
    return _effects.SendMessage(
        sender,
        protocol.PermitReturned(message.endpoint_id, message.incarnation),
    )
