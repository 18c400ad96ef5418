"""What endpoints have asked of this VM in their own answers."""

import collections
import dataclasses
import datetime

from sedgepin import _model as model

# Incarnations of endpoints that are kept in mind.  Far more than a VM meets
# in the lifetime of one of them.
_MAX_INCARNATIONS = 4096
# Requests that an endpoint accepts from a VM during a pause.
_PROBES_PER_PAUSE = 2


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointNotice:
    """What an endpoint says of itself in the head of an answer.

    ``is_leaving``: it is about to stop.  ``pause``: it wants no requests from
    this VM for so long.  ``malformed_pause`` is the text of a pause that
    could not be read.  ``request_limit`` is the number of requests a second
    that it takes from all VMs together, and ``malformed_request_limit`` the
    text of one that could not be read.
    """

    is_leaving: bool = False
    pause: datetime.timedelta | None = None
    malformed_pause: str | None = None
    request_limit: float | None = None
    malformed_request_limit: str | None = None


@dataclasses.dataclass(slots=True)
class _Pause:
    ends_at: datetime.datetime
    probe_count: int = 0


_Incarnation = tuple[model.EndpointId, int]


class EndpointRestrictions:
    """Endpoints that are leaving, or that want no requests for a while.

    Both hold for one incarnation of an endpoint, whatever its registration
    or another VM says, until this VM restarts.

    >>> restrictions = EndpointRestrictions()
    >>> restrictions.record_leaving(endpoint_id, 1)
    True
    >>> restrictions.is_restricted(endpoint_id, 1, now)
    True
    >>> restrictions.is_restricted(endpoint_id, 2, now)
    False
    """

    __slots__ = ("_leaving", "_malformed", "_pauses")

    def __init__(self) -> None:
        self._leaving: collections.OrderedDict[_Incarnation, None] = (
            collections.OrderedDict()
        )
        self._pauses: collections.OrderedDict[_Incarnation, _Pause] = (
            collections.OrderedDict()
        )
        self._malformed: collections.OrderedDict[_Incarnation, None] = (
            collections.OrderedDict()
        )

    def record_leaving(
        self, endpoint_id: model.EndpointId, incarnation: int
    ) -> bool:
        """Record that an endpoint is leaving; return whether that is new."""
        return _add(self._leaving, (endpoint_id, incarnation))

    def record_malformed(
        self, endpoint_id: model.EndpointId, incarnation: int
    ) -> bool:
        """Record an unreadable pause; return whether it is the first one."""
        return _add(self._malformed, (endpoint_id, incarnation))

    def record_pause(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        pause: datetime.timedelta,
        now: datetime.datetime,
    ) -> bool:
        """Record how long an endpoint wants no requests.

        A shorter pause does not end a longer one.  Return whether no pause
        was in force before.
        """
        key = (endpoint_id, incarnation)
        ends_at = now + pause
        current = self._pauses.get(key)
        is_paused = current is not None and now < current.ends_at
        if current is not None and is_paused and ends_at <= current.ends_at:
            return False
        probe_count = current.probe_count if current and is_paused else 0
        self._pauses[key] = _Pause(ends_at, probe_count)
        self._pauses.move_to_end(key)
        if len(self._pauses) > _MAX_INCARNATIONS:
            self._pauses.popitem(last=False)
        return not is_paused

    def is_leaving(
        self, endpoint_id: model.EndpointId, incarnation: int
    ) -> bool:
        """Return whether an endpoint has said that it is leaving."""
        return (endpoint_id, incarnation) in self._leaving

    def paused_until(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> datetime.datetime | None:
        """Return the end of an endpoint's pause, if one is in force."""
        pause = self._pauses.get((endpoint_id, incarnation))
        if pause is None or now >= pause.ends_at:
            return None
        return pause.ends_at

    def is_restricted(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> bool:
        """Return whether an endpoint must get no new requests now."""
        return (
            self.is_leaving(endpoint_id, incarnation)
            or self.paused_until(endpoint_id, incarnation, now) is not None
        )

    def take_probe(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> bool:
        """Count a request to an endpoint that may be in a pause.

        Return false, and count nothing, if the pause allows no more.
        """
        pause = self._pauses.get((endpoint_id, incarnation))
        if pause is None or now >= pause.ends_at:
            return True
        if pause.probe_count >= _PROBES_PER_PAUSE:
            return False
        pause.probe_count += 1
        return True


def _add(
    keys: collections.OrderedDict[_Incarnation, None], key: _Incarnation
) -> bool:
    """Add a key, evict the oldest beyond the limit; return if it is new."""
    is_new = key not in keys
    keys[key] = None
    if len(keys) > _MAX_INCARNATIONS:
        keys.popitem(last=False)
    return is_new
