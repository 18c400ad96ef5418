"""Telling the other entry VMs of one's load, and hearing of theirs.

All entry VMs report to one control VM, which sends each of them the sum.
They must agree on which one, or each would see a part of the load only and
send its requests to engines that others have filled.  So each takes the
lowest that it is connected to, and the next one while that is silent.
"""

import collections.abc
import datetime

from sedgepin import _model as model

# Within this time the load of a data centre changes by a few requests.
REPORT_INTERVAL = datetime.timedelta(milliseconds=200)
# Sums come as often as reports; three may be late before another control VM
# is asked.
_SILENCE = 3 * REPORT_INTERVAL
# A control VM that was silent is tried again after this long: a freeze that
# ends no connection lasts a few seconds.
_RETRY_INTERVAL = datetime.timedelta(seconds=5)


class LoadExchange:
    """Chooses the control VM that sums the load.

    >>> exchange = LoadExchange()
    >>> exchange.choose({"control:1", "control:2"}, now)
    'control:1'
    """

    __slots__ = ("_chosen", "_heard_at", "_silent")

    def __init__(self) -> None:
        self._chosen: model.VmId | None = None
        self._heard_at: datetime.datetime | None = None
        # Control VMs that sent no sum, and when.
        self._silent: dict[model.VmId, datetime.datetime] = {}

    def choose(
        self,
        connected: collections.abc.Collection[model.VmId],
        now: datetime.datetime,
    ) -> model.VmId | None:
        """Return the control VM to report to, if there is one."""
        if (
            self._chosen is not None
            and self._heard_at is not None
            and now - self._heard_at > _SILENCE
        ):
            self._silent[self._chosen] = now
        heard = [one for one in connected if not self._is_silent(one, now)]
        chosen = min(heard or connected, default=None)
        if chosen != self._chosen:
            self._chosen = chosen
            self._heard_at = now
        return chosen

    def hear(self, sender: model.VmId, now: datetime.datetime) -> bool:
        """Note a sum; return whether it is from who sums for all."""
        if self._chosen is not None and sender != self._chosen:
            return False
        self._heard_at = now
        return True

    def reconnected(self, vm_id: model.VmId) -> None:
        """Count a control VM as silent no more."""
        self._silent.pop(vm_id, None)

    def _is_silent(self, vm_id: model.VmId, now: datetime.datetime) -> bool:
        since = self._silent.get(vm_id)
        return since is not None and now - since < _RETRY_INTERVAL
