"""Schedule of report requests to engines."""

import collections.abc
import datetime

from sedgepin import _catalog as catalog
from sedgepin import _model as model

# Interval between requests to an engine.  Reports are 200 ms old on arrival.
_INTERVAL = datetime.timedelta(seconds=1)
# Ticks of 50 ms in an interval, over which the requests are spread evenly.
_TICKS_PER_INTERVAL = 20
_NEVER = datetime.datetime.min.replace(tzinfo=datetime.timezone.utc)


class ReportSchedule:
    """Selects a few engines at a time, those with the oldest request first.

    >>> schedule = ReportSchedule()
    >>> schedule.due(engines, now)
    [Registration(...)]
    """

    __slots__ = ("_requested_at",)

    def __init__(self) -> None:
        self._requested_at: dict[model.EndpointId, datetime.datetime] = {}

    def due(
        self,
        engines: collections.abc.Sequence[catalog.Registration],
        now: datetime.datetime,
    ) -> list[catalog.Registration]:
        """Return the engines whose reports to request now.

        To be called once per tick, with all live engines.  The returned
        engines count as requested.
        """
        # Drops the engines that are no longer live.
        self._requested_at = {
            engine.endpoint_id: self._requested_at.get(
                engine.endpoint_id, _NEVER
            )
            for engine in engines
        }
        due = [
            engine
            for engine in engines
            if now - self._requested_at[engine.endpoint_id] >= _INTERVAL
        ]
        due.sort(key=lambda engine: self._requested_at[engine.endpoint_id])
        selected = due[: len(engines) // _TICKS_PER_INTERVAL + 1]
        for engine in selected:
            self._requested_at[engine.endpoint_id] = now
        return selected
