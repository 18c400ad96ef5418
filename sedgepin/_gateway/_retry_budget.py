"""The share of the fleet's retries that one entry VM may spend."""

import collections
import datetime

from sedgepin._gateway import _settings
from sedgepin import _model as model

# The share of the whole budget that is spent: requests spread unevenly over
# the entry VMs, and a VM that just came may not be counted yet.
_SPENT_SHARE = 0.7


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


class RetryBudget:
    """Lets a request be sent again while the fleet's budget allows.

    The budget is a ratio of the requests plus a reserve.  Each VM takes the
    ratio of its own requests and an equal part of the reserve, so that the
    sum keeps to the budget without a word between them.
    """

    __slots__ = ("_cfg", "_entry_count", "_windows")

    def __init__(self, cfg: _settings.RetrySettings) -> None:
        self._cfg = cfg
        self._entry_count = 1
        self._windows: dict[model.ServiceName, _Window] = {}

    def set_entry_count(self, count: int) -> None:
        """Note how many entry VMs share the reserve."""
        self._entry_count = max(1, count)

    def record_first(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> None:
        """Count a request that is sent for the first time."""
        self._window(service).add_first(now)

    def take(self, service: model.ServiceName, now: datetime.datetime) -> bool:
        """Take one repeat out of the budget; return whether there was one."""
        window = self._window(service)
        firsts, repeats = window.counts(now)
        reserve = self._cfg.reserve / self._entry_count
        allowed = _SPENT_SHARE * (self._cfg.ratio * firsts + reserve)
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
