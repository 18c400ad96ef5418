"""Grants permits for requests to endpoints that have named a limit.

A limit holds for all VMs together, so that a single VM must grant what all
of them send: the leader, while it holds its lease.  A share of each VM would
serve nobody where there are more VMs than requests a second.
"""

import bisect
import collections.abc
import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin._rate_limits import _bucket
from sedgepin._rate_limits import _limits

_Incarnation = tuple[model.EndpointId, int]


@dataclasses.dataclass(slots=True, frozen=True)
class PermitRequest:
    """A VM's request for one permit.

    ``ask_id`` is the VM's own number of it.  ``max_wait`` is how long the
    request that needs it may wait, and ``priority`` its rank, 0 the first.
    ``relay`` is the VM that passes on the decision, if there is one.
    """

    entry: model.VmId
    ask_id: int
    endpoint_id: model.EndpointId
    incarnation: int
    max_wait: datetime.timedelta = datetime.timedelta()
    priority: int = 0
    relay: model.VmId | None = None

    @property
    def key(self) -> _Incarnation:
        """Return the incarnation that the permit is for."""
        return (self.endpoint_id, self.incarnation)


@dataclasses.dataclass(slots=True, frozen=True)
class PermitDecision:
    """Whether a permit is granted, and if not, when one may be free."""

    request: PermitRequest
    is_granted: bool
    wait: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(slots=True, frozen=True)
class LimitUsage:
    """A limit, the permits granted since it was named, and who waits."""

    endpoint_id: model.EndpointId
    requests_per_second: float
    granted_count: int
    waiting_count: int


@dataclasses.dataclass(slots=True, frozen=True)
class _Waiting:
    priority: int
    order: int
    expires_at: datetime.datetime
    request: PermitRequest

    def __lt__(self, other: "_Waiting") -> bool:
        return (self.priority, self.order) < (other.priority, other.order)


@dataclasses.dataclass(slots=True)
class _Account:
    """The permits of one endpoint; ``waiting`` is in the order of grants."""

    bucket: _bucket.PermitBucket
    requests_per_second: float
    waiting: list[_Waiting] = dataclasses.field(default_factory=list)
    granted_count: int = 0


class PermitLedger:
    """Decides on the permits of all endpoints with a limit.

    Requests that can be granted in time wait here, the most urgent first.

    >>> ledger = PermitLedger(limits)
    >>> ledger.ask(PermitRequest(entry, 1, endpoint_id, 1), now)
    [PermitDecision(..., is_granted=False, wait=...)]
    """

    __slots__ = ("_accounts", "_limits", "_order")

    def __init__(self, limits: _limits.RequestLimits) -> None:
        self._limits = limits
        self._accounts: dict[_Incarnation, _Account] = {}
        self._order = 0

    def usage(self) -> list[LimitUsage]:
        """Return how the limits in force are used."""
        return [
            LimitUsage(
                endpoint_id,
                account.requests_per_second,
                account.granted_count,
                len(account.waiting),
            )
            for (endpoint_id, _), account in self._accounts.items()
        ]

    def clear(self) -> None:
        """Forget everything, as another VM grants permits from now on."""
        self._accounts.clear()

    def ask(
        self, request: PermitRequest, now: datetime.datetime
    ) -> list[PermitDecision]:
        """Grant a permit, deny it, or let the request wait for it."""
        account = self._find(request.key, now)
        if account is None:
            return [PermitDecision(request, True)]
        decisions = self._grant(account, now)
        waiting = _Waiting(
            request.priority,
            self._order,
            now + request.max_wait,
            request,
        )
        self._order += 1
        ahead = bisect.bisect_left(account.waiting, waiting)
        if not ahead and account.bucket.take(now):
            account.granted_count += 1
            return [*decisions, PermitDecision(request, True)]
        wait = account.bucket.wait(ahead, now)
        if wait > request.max_wait:
            return [*decisions, PermitDecision(request, False, wait)]
        account.waiting.insert(ahead, waiting)
        return decisions

    def put_back(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> list[PermitDecision]:
        """Take back a permit that was not used."""
        account = self._accounts.get((endpoint_id, incarnation))
        if account is None:
            return []
        account.bucket.put_back(now)
        return self._grant(account, now)

    def tick(self, now: datetime.datetime) -> list[PermitDecision]:
        """Grant the permits that are there now, and end vain waits."""
        decisions: list[PermitDecision] = []
        for key, account in list(self._accounts.items()):
            if self._find(key, now) is None:
                # The limit has ended; so have the reasons to wait.
                decisions += [
                    PermitDecision(waiting.request, True)
                    for waiting in account.waiting
                ]
                continue
            decisions += self._grant(account, now)
        return decisions

    def _find(
        self, key: _Incarnation, now: datetime.datetime
    ) -> _Account | None:
        """Return the account of an endpoint, at its limit of now."""
        limit = self._limits.find(*key)
        if limit is None:
            self._accounts.pop(key, None)
            return None
        rate = limit.requests_per_second
        account = self._accounts.get(key)
        if account is None:
            account = _Account(_bucket.PermitBucket(rate, now), rate)
            self._accounts[key] = account
        elif account.requests_per_second != rate:
            account.requests_per_second = rate
            account.bucket.set_rate(rate, now)
        return account

    @staticmethod
    def _grant(
        account: _Account, now: datetime.datetime
    ) -> list[PermitDecision]:
        decisions: list[PermitDecision] = []
        while account.waiting and account.bucket.take(now):
            granted = account.waiting.pop(0)
            account.granted_count += 1
            decisions.append(PermitDecision(granted.request, True))
        overdue = [item for item in account.waiting if now >= item.expires_at]
        if overdue:
            account.waiting = [
                item for item in account.waiting if now < item.expires_at
            ]
            wait = account.bucket.wait(len(account.waiting), now)
            decisions += [
                PermitDecision(item.request, False, wait) for item in overdue
            ]
        return decisions


def remove_ended(
    limits: _limits.RequestLimits,
    has_ended: collections.abc.Callable[[model.EndpointId, int], bool],
) -> None:
    """Forget the limits of incarnations that are gone."""
    for endpoint_id, incarnation, _ in limits.all():
        if has_ended(endpoint_id, incarnation):
            limits.remove_ended(endpoint_id, incarnation)
