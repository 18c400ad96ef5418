"""The share of the fleet's retries that one entry VM may spend."""

import collections
import collections.abc
import dataclasses
import datetime

from sedgepin._gateway import _settings
from sedgepin import _model as model
from sedgepin import _protocol as protocol

# The share of the whole budget that is spent: requests spread unevenly over
# the entry VMs, and a VM that just came may not be counted yet.
_SPENT_SHARE = 0.7
# The share that is spent while sums that came before do not come any more:
# what the others have spent of the rest is not known.
_UNKNOWN_SHARE = 0.3
# Sums come every 200 ms.
_SUM_LIFE = datetime.timedelta(seconds=1)


class _Window:
    """Sends of the last while, first ones and repeats."""

    __slots__ = ("_firsts", "_repeats", "_span")

    def __init__(self, span: datetime.timedelta) -> None:
        self._span = span
        self._firsts: collections.deque[datetime.datetime] = (
            collections.deque()
        )
        self._repeats: collections.deque[datetime.datetime] = (
            collections.deque()
        )

    def add_first(self, now: datetime.datetime) -> None:
        self._firsts.append(now)

    def add_repeat(self, now: datetime.datetime) -> None:
        self._repeats.append(now)

    def counts(self, now: datetime.datetime) -> tuple[int, int]:
        for sends in (self._firsts, self._repeats):
            while sends and now - sends[0] > self._span:
                sends.popleft()
        return len(self._firsts), len(self._repeats)


@dataclasses.dataclass(slots=True)
class _Allowance:
    """What this VM may still spend until the next sum."""

    repeats: float
    at: datetime.datetime


class RetryBudget:
    """Lets a request be sent again while the fleet's budget allows.

    The budget is a ratio of the requests plus a reserve.  With each sum of
    what all entry VMs sent, each may spend an equal part of half of what is
    left: sums are up to two intervals old, so that all of them together
    never spend more than there is.  Without sums each VM takes the ratio of
    its own requests and an equal part of the reserve.
    """

    __slots__ = ("_allowances", "_cfg", "_entry_count", "_windows")

    def __init__(self, cfg: _settings.RetrySettings) -> None:
        self._cfg = cfg
        self._entry_count = 1
        self._windows: dict[model.ServiceName, _Window] = {}
        self._allowances: dict[model.ServiceName, _Allowance] = {}

    def set_entry_count(self, count: int) -> None:
        """Note how many entry VMs share the reserve."""
        self._entry_count = max(1, count)

    def record_first(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> None:
        """Count a request that is sent for the first time."""
        self._window(service).add_first(now)

    def counts(
        self, now: datetime.datetime
    ) -> tuple[protocol.RetryCount, ...]:
        """Return what this VM sent within the window, to be reported."""
        return tuple(
            protocol.RetryCount(service, *window.counts(now))
            for service, window in self._windows.items()
        )

    def take_sum(
        self,
        retries: collections.abc.Iterable[protocol.RetryCount],
        now: datetime.datetime,
    ) -> None:
        """Take in what all entry VMs sent within the window."""
        for one in retries:
            whole = self._cfg.ratio * one.firsts + self._cfg.reserve
            left = max(0.0, _SPENT_SHARE * whole - one.repeats)
            part = left / (2 * self._entry_count)
            known = self._allowances.get(one.service)
            saved = 0.0 if known is None else known.repeats
            # Parts of less than one repeat are saved up; what nobody needed
            # is not, as it is in the next sum again.
            repeats = min(saved + part, max(1.0, part)) if part else 0.0
            self._allowances[one.service] = _Allowance(repeats, now)

    def take(self, service: model.ServiceName, now: datetime.datetime) -> bool:
        """Take one repeat out of the budget; return whether there was one."""
        window = self._window(service)
        allowance = self._allowances.get(service)
        if allowance is not None and now - allowance.at < _SUM_LIFE:
            if allowance.repeats < 1.0:
                return False
            allowance.repeats -= 1.0
            window.add_repeat(now)
            return True
        share = _SPENT_SHARE if allowance is None else _UNKNOWN_SHARE
        firsts, repeats = window.counts(now)
        reserve = self._cfg.reserve / self._entry_count
        allowed = share * (self._cfg.ratio * firsts + reserve)
        if repeats + 1 > allowed:
            return False
        window.add_repeat(now)
        return True

    def _window(self, service: model.ServiceName) -> _Window:
        found = self._windows.get(service)
        if found is None:
            found = _Window(self._cfg.window)
            self._windows[service] = found
        return found
