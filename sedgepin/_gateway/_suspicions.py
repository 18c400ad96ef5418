"""Endpoints that failed lately, and when they may be tried again."""

import dataclasses
import datetime

from sedgepin import _model as model

_FIRST_PAUSE = datetime.timedelta(milliseconds=500)
_LONGEST_PAUSE = datetime.timedelta(seconds=4)
# Failures further apart than this have nothing to do with each other.
_MEMORY = datetime.timedelta(seconds=10)


@dataclasses.dataclass(slots=True)
class _Suspicion:
    failed_at: datetime.datetime
    pause: datetime.timedelta
    incarnation: int


class Suspicions:
    """Keeps new work from endpoints that failed, for longer each time.

    >>> suspicions = Suspicions()
    >>> suspicions.add(endpoint_id, 1, now)
    >>> suspicions.covers(endpoint_id, 1, now)
    True
    """

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[model.EndpointId, _Suspicion] = {}

    def add(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> None:
        """Note a failure; one during a pause does not lengthen it."""
        known = self._known.get(endpoint_id)
        pause = _FIRST_PAUSE
        if known is not None and known.incarnation == incarnation:
            if now < known.failed_at + known.pause:
                return
            if now - known.failed_at < _MEMORY:
                pause = min(_LONGEST_PAUSE, known.pause * 2)
        self._known[endpoint_id] = _Suspicion(now, pause, incarnation)

    def covers(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> bool:
        """Tell whether an endpoint is to be left alone now."""
        known = self._known.get(endpoint_id)
        if known is None or known.incarnation != incarnation:
            return False
        return now < known.failed_at + known.pause

    def clear(self, endpoint_id: model.EndpointId) -> None:
        """Note that an endpoint worked."""
        self._known.pop(endpoint_id, None)
