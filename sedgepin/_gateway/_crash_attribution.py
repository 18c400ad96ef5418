"""Remembers which requests were on an endpoint shortly before its loss."""

import collections
import dataclasses
import datetime

from sedgepin._gateway import _calls
from sedgepin import _model as model

# A loss may be found later than the heartbeat timeout.
_DETECTION_MARGIN = datetime.timedelta(seconds=1)
_MIN_WINDOW = datetime.timedelta(seconds=6)
_MAX_ATTEMPTS_PER_ENDPOINT = 256


@dataclasses.dataclass(slots=True, frozen=True)
class EndedAttempt:
    """An attempt that ended without an answer."""

    request: _calls.CallerRequest
    incarnation: int
    ended_at: datetime.datetime


class EndedAttempts:
    """The attempts without an answer on each endpoint, for a while."""

    __slots__ = ("_by_endpoint", "_window")

    def __init__(self, heartbeat_timeout: datetime.timedelta) -> None:
        self._window = max(_MIN_WINDOW, heartbeat_timeout + _DETECTION_MARGIN)
        self._by_endpoint: dict[
            model.EndpointId, collections.deque[EndedAttempt]
        ] = {}

    def add(self, endpoint_id: model.EndpointId, ended: EndedAttempt) -> None:
        """Remember an attempt, in case its endpoint is lost."""
        attempts = self._by_endpoint.setdefault(
            endpoint_id, collections.deque(maxlen=_MAX_ATTEMPTS_PER_ENDPOINT)
        )
        attempts.append(ended)

    def take(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> list[EndedAttempt]:
        """Remove and return the recent attempts on a lost incarnation."""
        return [
            ended
            for ended in self._by_endpoint.pop(endpoint_id, ())
            if ended.incarnation == incarnation
            and now - ended.ended_at <= self._window
        ]

    def remove_expired(self, now: datetime.datetime) -> None:
        """Forget the endpoints on which no attempt has ended lately."""
        expired = [
            endpoint_id
            for endpoint_id, attempts in self._by_endpoint.items()
            if now - attempts[-1].ended_at > self._window
        ]
        for endpoint_id in expired:
            del self._by_endpoint[endpoint_id]
