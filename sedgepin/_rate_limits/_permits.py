"""What an entry VM knows of the permits for endpoints with a limit."""

import dataclasses
import datetime
import enum

from sedgepin import _model as model
from sedgepin._rate_limits import _bucket
from sedgepin._rate_limits import _ledger
from sedgepin._rate_limits import _limits

# An answer takes a few milliseconds, between regions some 100 ms.
_ANSWER_TIMEOUT = datetime.timedelta(milliseconds=250)
# Without answers, it is tried this often whether there are any again.
_PROBE_INTERVAL = datetime.timedelta(milliseconds=250)
# A denied endpoint is passed over for this long at least.
_MIN_BLOCK = datetime.timedelta(milliseconds=50)
# The number of a probe, which belongs to no request.
PROBE_ID = 0

_Incarnation = tuple[model.EndpointId, int]


class Permission(enum.Enum):
    """Whether a request may be sent to an endpoint.

    ``ASKED``: a permit has been asked for.  ``DENIED``: there is none now.
    """

    GRANTED = "granted"
    ASKED = "asked"
    DENIED = "denied"


@dataclasses.dataclass(slots=True, frozen=True)
class Ask:
    """A permit that was asked for, and until when to expect the answer."""

    request: _ledger.PermitRequest
    requests_per_second: float
    expires_at: datetime.datetime


class Permits:
    """Asks for permits, and passes over endpoints that have none to give.

    While nobody answers, this VM sends an equal share of what an endpoint
    takes.

    >>> permits = Permits(vm_id, now)
    >>> permits.obtain(7, endpoint_id, 1, timedelta(), 0, now)
    Permission.ASKED
    >>> permits.take_asks()
    [Ask(PermitRequest(vm_id, 7, endpoint_id, 1), ...)]
    """

    __slots__ = (
        "_blocked_until",
        "_new_asks",
        "_own_shares",
        "_pending",
        "_probed_at",
        "_unanswered",
        "_vm_id",
        "entry_count",
        "limits",
    )

    def __init__(self, vm_id: model.VmId) -> None:
        self._vm_id = vm_id
        self.limits = _limits.RequestLimits()
        self.entry_count = 1
        self._pending: dict[int, Ask] = {}
        self._new_asks: list[Ask] = []
        self._blocked_until: dict[_Incarnation, datetime.datetime] = {}
        # Used while nobody answers.
        self._own_shares: dict[_Incarnation, _bucket.PermitBucket] = {}
        self._unanswered = False
        self._probed_at: datetime.datetime | None = None

    def lose_contact(self) -> None:
        """Record that no control VM is there to answer."""
        self._unanswered = True

    def free_at(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> datetime.datetime:
        """Return when an endpoint may have a permit to give, as is known."""
        if not self._blocked_until:
            return now
        key = (endpoint_id, incarnation)
        return max(now, self._blocked_until.get(key, now))

    def has_pending(self, ask_id: int) -> bool:
        """Return whether a permit was asked for and is not decided yet."""
        return ask_id in self._pending

    @property
    def is_waiting(self) -> bool:
        """Return whether any permit is not decided yet."""
        return bool(self._pending)

    @property
    def may_wait(self) -> bool:
        """Return whether somebody answers, so that a request can wait."""
        return not self._unanswered

    def obtain(
        self,
        ask_id: int,
        endpoint_id: model.EndpointId,
        incarnation: int,
        max_wait: datetime.timedelta,
        priority: int,
        now: datetime.datetime,
    ) -> Permission:
        """Ask for a permit, unless the endpoint has no limit."""
        limit = self.limits.find(endpoint_id, incarnation)
        if limit is None:
            return Permission.GRANTED
        request = _ledger.PermitRequest(
            self._vm_id, ask_id, endpoint_id, incarnation, max_wait, priority
        )
        if self._unanswered:
            return self._take_own_share(request, limit, now)
        ask = Ask(
            request,
            limit.requests_per_second,
            now + max_wait + _ANSWER_TIMEOUT,
        )
        self._pending[ask_id] = ask
        self._new_asks.append(ask)
        return Permission.ASKED

    def take_asks(self) -> list[Ask]:
        """Return the new asks, to be sent."""
        asks, self._new_asks = self._new_asks, []
        return asks

    def cancel(self, ask_id: int) -> None:
        """Forget an ask whose request needs no permit any more."""
        self._pending.pop(ask_id, None)

    def record_answer(
        self,
        ask_id: int,
        endpoint_id: model.EndpointId,
        incarnation: int,
        is_granted: bool,
        wait: datetime.timedelta,
        now: datetime.datetime,
    ) -> bool:
        """Record a decision; return whether a request waited for it."""
        if self._unanswered:
            self._unanswered = False
            self._own_shares.clear()
            self._blocked_until.clear()
        if not is_granted:
            self._block((endpoint_id, incarnation), wait, now)
        ask = self._pending.get(ask_id)
        if ask is None or ask.request.key != (endpoint_id, incarnation):
            return False
        del self._pending[ask_id]
        return True

    def tick(self, now: datetime.datetime) -> list[int]:
        """Return the asks that were not answered, which count as denied."""
        expired = [
            ask_id
            for ask_id, ask in self._pending.items()
            if now >= ask.expires_at
        ]
        for ask_id in expired:
            del self._pending[ask_id]
        if expired:
            self._unanswered = True
        if self._blocked_until:
            self._blocked_until = {
                key: until
                for key, until in self._blocked_until.items()
                if now < until and self.limits.find(*key) is not None
            }
        return expired

    def _take_own_share(
        self,
        request: _ledger.PermitRequest,
        limit: _limits.RequestLimit,
        now: datetime.datetime,
    ) -> Permission:
        if self._probed_at is None or now - self._probed_at >= _PROBE_INTERVAL:
            self._probed_at = now
            probe = dataclasses.replace(
                request, ask_id=PROBE_ID, max_wait=datetime.timedelta()
            )
            self._new_asks.append(Ask(probe, limit.requests_per_second, now))
        share = limit.requests_per_second / max(1, self.entry_count)
        bucket = self._own_shares.get(request.key)
        if bucket is None:
            bucket = _bucket.PermitBucket(share, now)
            self._own_shares[request.key] = bucket
        bucket.set_rate(share, now)
        if bucket.take(now):
            return Permission.GRANTED
        self._block(request.key, bucket.wait(0, now), now)
        return Permission.DENIED

    def _block(
        self,
        key: _Incarnation,
        wait: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        self._blocked_until[key] = now + max(wait, _MIN_BLOCK)
