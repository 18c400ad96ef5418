"""When to ask which engine for its report."""

import collections.abc
import datetime

from sedgepin import _catalog as catalog
from sedgepin import _model as model

# Each engine is asked this often; its report lags by 200 ms itself.
_INTERVAL = datetime.timedelta(seconds=1)
# Calls in which all engines are asked once, so that the questions are spread
# over the interval: one for each tick of 50 ms.
_SHARES = 20
_LONG_AGO = datetime.datetime.min.replace(tzinfo=datetime.timezone.utc)


class ReportSchedule:
    """Asks a few engines at a time, those with the oldest report first.

    >>> schedule = ReportSchedule()
    >>> schedule.due(engines, now)
    [Registration(...)]
    """

    __slots__ = ("_asked_at",)

    def __init__(self) -> None:
        self._asked_at: dict[model.EndpointId, datetime.datetime] = {}

    def due(
        self,
        engines: collections.abc.Sequence[catalog.Registration],
        now: datetime.datetime,
    ) -> list[catalog.Registration]:
        """Return the engines to ask now; they count as asked."""
        # Engines that are gone are forgotten.
        self._asked_at = {
            one.endpoint_id: self._asked_at.get(one.endpoint_id, _LONG_AGO)
            for one in engines
        }
        due = [
            one
            for one in engines
            if now - self._asked_at[one.endpoint_id] >= _INTERVAL
        ]
        due.sort(key=lambda one: self._asked_at[one.endpoint_id])
        chosen = due[: len(engines) // _SHARES + 1]
        for one in chosen:
            self._asked_at[one.endpoint_id] = now
        return chosen
