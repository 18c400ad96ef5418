"""Selection of the control VM that an entry VM reports its load to.

That control VM exchanges the load of its entry VMs with the other control
VMs, and sends the load of the whole fleet back.  An entry VM uses the
aggregates of one control VM only, since those of another one may be outdated.
It changes to the next one while the first sends no aggregates, or knows no
leader and so may be cut off from the rest of the fleet.
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


def _rank_by_id(vm_id: model.VmId) -> tuple[bool, str]:
    return (False, vm_id)


class AggregatorSelector:
    """Selects the control VM to report load to.

    ``rank`` orders the control VMs; the connected one with the lowest rank is
    preferred.

    >>> selector = AggregatorSelector()
    >>> selector.select({"control:1", "control:2"}, now)
    'control:1'
    """

    __slots__ = (
        "_last_aggregate_at",
        "_rank",
        "_selected",
        "_unresponsive_since",
    )

    def __init__(
        self,
        rank: collections.abc.Callable[
            [model.VmId], tuple[bool, str]
        ] = _rank_by_id,
    ) -> None:
        self._rank = rank
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
            if not self.is_unresponsive(vm_id, now)
        ]
        selected = min(responsive or connected, key=self._rank, default=None)
        if selected != self._selected:
            self._selected = selected
            self._last_aggregate_at = now
        return selected

    @property
    def selected(self) -> model.VmId | None:
        """The control VM that ``select`` returned last."""
        return self._selected

    def record_aggregate(
        self,
        sender: model.VmId,
        now: datetime.datetime,
        knows_leader: bool = True,
    ) -> bool:
        """Record an aggregate; return whether its sender is selected.

        A sender that knows no leader counts as unresponsive.
        """
        if self._selected is not None and sender != self._selected:
            return False
        self._last_aggregate_at = now
        if not knows_leader:
            self._unresponsive_since[sender] = now
        return True

    def has_recent_aggregate(self, now: datetime.datetime) -> bool:
        """Return whether the selected control VM sends aggregates."""
        return (
            self._last_aggregate_at is not None
            and now - self._last_aggregate_at <= _AGGREGATE_TIMEOUT
        )

    def record_reconnect(self, vm_id: model.VmId) -> None:
        """Make a control VM selectable again after it reconnected."""
        self._unresponsive_since.pop(vm_id, None)

    def is_unresponsive(
        self, vm_id: model.VmId, now: datetime.datetime
    ) -> bool:
        """Return whether a control VM has failed to send aggregates."""
        since = self._unresponsive_since.get(vm_id)
        return since is not None and now - since < _RESELECT_INTERVAL
