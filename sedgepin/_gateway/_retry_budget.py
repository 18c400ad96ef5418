"""Each entry VM's share of the fleet's retry budget."""

import collections
import collections.abc
import dataclasses
import datetime

from sedgepin._gateway import _settings
from sedgepin import _model as model
from sedgepin import _protocol as protocol

# Less than the whole budget, because requests are spread unevenly over the
# entry VMs and a VM that has just started may not be counted yet.
_SPENDABLE_SHARE = 0.7
# Applies when aggregated counts have stopped arriving, because the retries of
# the other entry VMs since then are unknown.
_STALE_SPENDABLE_SHARE = 0.3
# Aggregated counts arrive every 200 ms.
_AGGREGATE_TTL = datetime.timedelta(seconds=1)


class _AttemptWindow:
    """First attempts and retries within a sliding window."""

    __slots__ = ("_first_attempts", "_length", "_retries")

    def __init__(self, length: datetime.timedelta) -> None:
        self._length = length
        self._first_attempts: collections.deque[datetime.datetime] = (
            collections.deque()
        )
        self._retries: collections.deque[datetime.datetime] = (
            collections.deque()
        )

    def add_first_attempt(self, now: datetime.datetime) -> None:
        self._first_attempts.append(now)

    def add_retry(self, now: datetime.datetime) -> None:
        self._retries.append(now)

    def remove_retry(self) -> None:
        if self._retries:
            self._retries.pop()

    def counts(self, now: datetime.datetime) -> tuple[int, int]:
        for attempts in (self._first_attempts, self._retries):
            while attempts and now - attempts[0] > self._length:
                attempts.popleft()
        return len(self._first_attempts), len(self._retries)


@dataclasses.dataclass(slots=True)
class _Allowance:
    """The retries that this VM may send until the next aggregate."""

    retries: float
    granted_at: datetime.datetime


class RetryBudget:
    """Limits the retries that this VM sends for each service.

    The budget of the fleet is a ratio of its requests plus a reserve.  Each
    time aggregated counts arrive, every entry VM may spend an equal part of
    half of the remaining budget.  It is only half because the counts are up
    to two report intervals old, so that the entry VMs together never exceed
    the budget.  Without aggregated counts, each VM may spend the ratio of its
    own requests plus an equal part of the reserve.
    """

    __slots__ = ("_allowances", "_cfg", "_entry_count", "_windows")

    def __init__(self, cfg: _settings.RetrySettings) -> None:
        self._cfg = cfg
        self._entry_count = 1
        self._windows: dict[model.ServiceName, _AttemptWindow] = {}
        self._allowances: dict[model.ServiceName, _Allowance] = {}

    @property
    def window(self) -> datetime.timedelta:
        """The time within which requests and retries are counted."""
        return self._cfg.window

    def set_entry_count(self, count: int) -> None:
        """Set the number of entry VMs that share the budget."""
        self._entry_count = max(1, count)

    def record_first_attempt(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> None:
        """Count the first attempt of a request."""
        self._window(service).add_first_attempt(now)

    def counts(
        self, now: datetime.datetime
    ) -> tuple[protocol.RetryCount, ...]:
        """Return this VM's attempts within the window, to be reported."""
        return tuple(
            protocol.RetryCount(service, *window.counts(now))
            for service, window in self._windows.items()
        )

    def set_aggregated_counts(
        self,
        counts: collections.abc.Iterable[protocol.RetryCount],
        now: datetime.datetime,
    ) -> None:
        """Grant an allowance from the attempts of all entry VMs."""
        for count in counts:
            budget = self._cfg.ratio * count.firsts + self._cfg.reserve
            remaining = max(0.0, _SPENDABLE_SHARE * budget - count.repeats)
            part = remaining / (2 * self._entry_count)
            allowance = self._allowances.get(count.service)
            unspent = 0.0 if allowance is None else allowance.retries
            # Fractions accumulate until they make up one retry.  Unspent
            # whole retries do not, because what remains of the budget at
            # the next aggregate includes them again.
            retries = min(unspent + part, max(1.0, part)) if part else 0.0
            self._allowances[count.service] = _Allowance(retries, now)

    def try_spend(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> bool:
        """Spend one retry if the budget allows it; return whether it does."""
        window = self._window(service)
        allowance = self._allowances.get(service)
        if (
            allowance is not None
            and now - allowance.granted_at < _AGGREGATE_TTL
        ):
            if allowance.retries < 1.0:
                return False
            allowance.retries -= 1.0
            window.add_retry(now)
            return True
        share = (
            _SPENDABLE_SHARE if allowance is None else _STALE_SPENDABLE_SHARE
        )
        first_attempts, retries = window.counts(now)
        reserve = self._cfg.reserve / self._entry_count
        allowed = share * (self._cfg.ratio * first_attempts + reserve)
        if retries + 1 > allowed:
            return False
        window.add_retry(now)
        return True

    def give_back(self, service: model.ServiceName) -> None:
        """Return a retry that was spent and not sent."""
        allowance = self._allowances.get(service)
        if allowance is not None:
            allowance.retries += 1.0
        self._window(service).remove_retry()

    def _window(self, service: model.ServiceName) -> _AttemptWindow:
        window = self._windows.get(service)
        if window is None:
            window = _AttemptWindow(self._cfg.window)
            self._windows[service] = window
        return window
