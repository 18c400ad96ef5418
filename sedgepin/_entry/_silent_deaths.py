"""Watches for signs of life of endpoints that count as dead for silence."""

import datetime

from sedgepin import _admission as admission
from sedgepin import _membership as membership
from sedgepin import _model as model

# As long as a quarantine lasts, which ends when its deaths are disproved.
_RETENTION = datetime.timedelta(minutes=10)


class SilentDeaths:
    """The deaths that no broken stream shows, until they are disproved.

    An announcement that the same incarnation sent after its death disproves
    it.
    """

    __slots__ = ("_declared_at", "_endpoints")

    def __init__(self, endpoints: membership.EndpointDirectory) -> None:
        self._endpoints = endpoints
        self._declared_at: dict[admission.DeathId, datetime.datetime] = {}

    def record(
        self,
        endpoint_id: model.EndpointId,
        incarnation: model.Incarnation,
        now: datetime.datetime,
    ) -> None:
        """Watch an endpoint that was declared dead for its silence."""
        death = admission.DeathId(endpoint_id, incarnation)
        self._declared_at[death] = now

    def take_disproved(
        self, now: datetime.datetime
    ) -> list[admission.DeathId]:
        """Return the deaths disproved since the last call."""
        disproved = []
        for death, declared_at in list(self._declared_at.items()):
            if self._has_announced(death, declared_at, now):
                disproved.append(death)
            elif now - declared_at < _RETENTION:
                continue
            del self._declared_at[death]
        return disproved

    def _has_announced(
        self,
        death: admission.DeathId,
        declared_at: datetime.datetime,
        now: datetime.datetime,
    ) -> bool:
        announcement = self._endpoints.find(death.endpoint_id)
        age = self._endpoints.age(death.endpoint_id, now)
        if announcement is None or age is None:
            return False
        is_same = announcement.incarnation == death.incarnation
        return is_same and now - age > declared_at
