"""What an entry VM knows of the permits for endpoints with a limit."""

import dataclasses
import datetime
import enum
import random

from sedgepin import _model as model
from sedgepin import _protocol as protocol
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

    def as_message(self) -> protocol.PermitAsked:
        """Return the message that asks for it."""
        request = self.request
        return protocol.PermitAsked(
            request.endpoint_id,
            request.incarnation,
            request.ask_id,
            self.requests_per_second,
            int(request.max_wait.total_seconds() * 1000),
            request.priority,
        )


class Permits:
    """Asks for permits, and passes over endpoints that have none to give.

    While nobody answers, this VM sends an equal share of what an endpoint
    takes.

    >>> permits = Permits(vm_id, random.Random(1))
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
        "_rng",
        "_unanswered",
        "_vm_id",
        "entry_count",
        "limits",
    )

    def __init__(self, vm_id: model.VmId, rng: random.Random) -> None:
        self._vm_id = vm_id
        self._rng = rng
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
        key = (endpoint_id, incarnation)
        if self._unanswered:
            return now + self._own_share(key, now).wait(0, now)
        if not self._blocked_until:
            return now
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
            if self._own_share(request.key, now).take(now):
                return Permission.GRANTED
            return Permission.DENIED
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
        if self._unanswered:
            self._own_shares = {
                key: bucket
                for key, bucket in self._own_shares.items()
                if self.limits.find(*key) is not None
            }
            self._probe(now)
        if self._blocked_until:
            self._blocked_until = {
                key: until
                for key, until in self._blocked_until.items()
                if now < until and self.limits.find(*key) is not None
            }
        return expired

    def _probe(self, now: datetime.datetime) -> None:
        """Find out from time to time whether permits are granted again."""
        if not len(self.limits):
            self._unanswered = False
            self._own_shares.clear()
            return
        if self._probed_at is not None and (
            now - self._probed_at < _PROBE_INTERVAL
        ):
            return
        self._probed_at = now
        endpoint_id, incarnation, limit = self.limits.all()[0]
        probe = _ledger.PermitRequest(
            self._vm_id, PROBE_ID, endpoint_id, incarnation
        )
        self._new_asks.append(Ask(probe, limit.requests_per_second, now))

    def _own_share(
        self, key: _Incarnation, now: datetime.datetime
    ) -> _bucket.PermitBucket:
        limit = self.limits.find(*key)
        rate = 0.0 if limit is None else limit.requests_per_second
        share = rate / max(1, self.entry_count)
        bucket = self._own_shares.get(key)
        if bucket is None:
            # Spreads the first permits of the VMs, as it does all others.
            level = self._rng.random()
            bucket = _bucket.PermitBucket(share, now, level)
            self._own_shares[key] = bucket
        bucket.set_rate(share, now)
        return bucket

    def _block(
        self,
        key: _Incarnation,
        wait: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        self._blocked_until[key] = now + max(wait, _MIN_BLOCK)
