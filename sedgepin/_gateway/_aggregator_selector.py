"""Selection of the control VM that aggregates the load of all entry VMs.

All entry VMs report their load to one control VM, which sends the aggregate
back to each of them.  They must agree on it: with several aggregators, each
entry VM would see only a part of the load and send requests to engines that
others have filled.  So each selects the connected control VM with the lowest
id, or the next one while that sends no aggregates.
"""

import collections.abc
import datetime

from sedgepin import _model as model

# Short enough that the load of a data centre changes by only a few requests
# between two reports.
REPORT_INTERVAL = datetime.timedelta(milliseconds=200)
# Aggregates arrive as often as reports are sent.  Another control VM is
# selected after three missing aggregates.
_AGGREGATE_TIMEOUT = 3 * REPORT_INTERVAL
# A control VM without aggregates may be selected again after this time.  A VM
# that freezes without closing its connections recovers within a few seconds.
_RESELECT_INTERVAL = datetime.timedelta(seconds=5)


class AggregatorSelector:
    """Selects the control VM to report load to.

    >>> selector = AggregatorSelector()
    >>> selector.select({"control:1", "control:2"}, now)
    'control:1'
    """

    __slots__ = ("_last_aggregate_at", "_selected", "_unresponsive_since")

    def __init__(self) -> None:
        self._selected: model.VmId | None = None
        self._last_aggregate_at: datetime.datetime | None = None
        # Control VMs that sent no aggregates, and when that was detected.
        self._unresponsive_since: dict[model.VmId, datetime.datetime] = {}

    def select(
        self,
        connected: collections.abc.Collection[model.VmId],
        now: datetime.datetime,
    ) -> model.VmId | None:
        """Return the control VM to use, or ``None`` if none is connected."""
        if (
            self._selected is not None
            and self._last_aggregate_at is not None
            and now - self._last_aggregate_at > _AGGREGATE_TIMEOUT
        ):
            self._unresponsive_since[self._selected] = now
        responsive = [
            vm_id
            for vm_id in connected
            if not self._is_unresponsive(vm_id, now)
        ]
        selected = min(responsive or connected, default=None)
        if selected != self._selected:
            self._selected = selected
            self._last_aggregate_at = now
        return selected

    def record_aggregate(
        self, sender: model.VmId, now: datetime.datetime
    ) -> bool:
        """Record an aggregate; return whether its sender is selected."""
        if self._selected is not None and sender != self._selected:
            return False
        self._last_aggregate_at = now
        return True

    def record_reconnect(self, vm_id: model.VmId) -> None:
        """Make a control VM selectable again after it reconnected."""
        self._unresponsive_since.pop(vm_id, None)

    def _is_unresponsive(
        self, vm_id: model.VmId, now: datetime.datetime
    ) -> bool:
        since = self._unresponsive_since.get(vm_id)
        return since is not None and now - since < _RESELECT_INTERVAL
