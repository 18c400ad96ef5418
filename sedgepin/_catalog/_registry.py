"""The endpoints that have registered, as one process knows them."""

import dataclasses
import datetime
import typing

import msgspec

from sedgepin._catalog import _registration
from sedgepin import _model as model

# A word that arrives this long after its endpoint left cannot bring it back.
_GONE_MEMORY = datetime.timedelta(seconds=60)

# An endpoint whose control VM dies asks the next one after a second, at most
# twice; one that misses this many heartbeats has had the time.
_MISSED_HEARTBEATS = 3.4

# What control VMs heard before an endpoint was lost reaches the others up to
# this long after.
_ECHO_TIME = datetime.timedelta(milliseconds=700)


def heartbeat_timeout(
    heartbeat_interval: datetime.timedelta,
) -> datetime.timedelta:
    """Return how long an endpoint may go unheard before it counts as lost."""
    return heartbeat_interval * _MISSED_HEARTBEATS


@dataclasses.dataclass(slots=True)
class EndpointRecord:
    """An endpoint's latest word and when it was last heard.

    ``slowdown`` is how many times longer than usual it takes, by its report.
    """

    registration: _registration.Registration
    heard_at: datetime.datetime
    lost_at: datetime.datetime | None = None
    slowdown: float = 1.0

    def is_live(
        self, silence: datetime.timedelta, now: datetime.datetime
    ) -> bool:
        """Tell whether the endpoint counts as alive."""
        return self.lost_at is None and now - self.heard_at <= silence


class Registry:
    """Takes in registrations in any order; the latest of each wins.

    Two endpoints never share an address: the one that started later has it.

    >>> registry = Registry()
    >>> registry.update(registration, now)
    True
    """

    __slots__ = ("_by_address", "_known")

    def __init__(self) -> None:
        self._known: dict[model.EndpointId, EndpointRecord] = {}
        self._by_address: dict[str, model.EndpointId] = {}

    def __iter__(self) -> typing.Iterator[EndpointRecord]:
        return iter(self._known.values())

    def find(self, endpoint_id: model.EndpointId) -> EndpointRecord | None:
        """Return what is known of an endpoint."""
        return self._known.get(endpoint_id)

    def at_address(self, address: str) -> EndpointRecord | None:
        """Return the endpoint that has an address now."""
        endpoint_id = self._by_address.get(address)
        return None if endpoint_id is None else self._known.get(endpoint_id)

    def update(
        self, word: _registration.Registration, now: datetime.datetime
    ) -> bool:
        """Take in a word; return whether it says anything new."""
        known = self._known.get(word.endpoint_id)
        if (
            known is not None
            and word.ordering_key <= known.registration.ordering_key
        ):
            if word.ordering_key == known.registration.ordering_key:
                self.record_heartbeat(word.endpoint_id, now)
            return False
        if known is not None and _stays_gone(known.registration, word):
            return False
        holder = self.at_address(word.address)
        if holder is not None and not _may_hold(word, holder.registration):
            return False
        self._put(word, now)
        return known is None or _differs(known.registration, word)

    def mark_gone(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> _registration.Registration | None:
        """Note that an endpoint said farewell; return its last word."""
        known = self._known.get(endpoint_id)
        if known is None:
            return None
        last = known.registration
        known.registration = _with_state(
            last, _registration.EndpointState.GONE
        )
        known.heard_at = now
        return known.registration

    def correct_layers(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        layers: model.LayerRange | None,
    ) -> _registration.Registration | None:
        """Take over what an engine said it holds when it was asked.

        Return its registration if that is news.
        """
        known = self._known.get(endpoint_id)
        if known is None or known.registration.incarnation != incarnation:
            return None
        if known.registration.layers == layers:
            return None
        known.registration = msgspec.structs.replace(
            known.registration, layers=layers
        )
        return known.registration

    def set_slowdown(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        slowdown: float,
    ) -> bool:
        """Note how slow an engine says it is; return whether it is known."""
        known = self._known.get(endpoint_id)
        if known is None or known.registration.incarnation != incarnation:
            return False
        known.slowdown = slowdown
        return True

    def record_heartbeat(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> None:
        """Note that an endpoint was heard without news."""
        known = self._known.get(endpoint_id)
        if known is None:
            return
        if known.lost_at is not None and now - known.lost_at < _ECHO_TIME:
            return
        known.lost_at = None
        known.heard_at = max(known.heard_at, now)

    def mark_lost(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> bool:
        """Count an endpoint as lost until it is heard again.

        Return whether that is news.
        """
        known = self._known.get(endpoint_id)
        if known is None or known.registration.incarnation != incarnation:
            return False
        is_news = known.lost_at is None
        known.lost_at = now
        return is_news

    def remove_expired(
        self, silent_for: datetime.timedelta, now: datetime.datetime
    ) -> None:
        """Drop endpoints that were not heard for a long time."""
        limit = max(silent_for, _GONE_MEMORY)
        for endpoint_id, known in tuple(self._known.items()):
            if now - known.heard_at > limit:
                del self._known[endpoint_id]
                address = known.registration.address
                if self._by_address.get(address) == endpoint_id:
                    del self._by_address[address]

    def _put(
        self, word: _registration.Registration, now: datetime.datetime
    ) -> None:
        holder = self.at_address(word.address)
        if holder is not None:
            other = holder.registration
            if other.endpoint_id != word.endpoint_id:
                holder.registration = _with_state(
                    other, _registration.EndpointState.GONE
                )
        known = self._known.get(word.endpoint_id)
        slowdown = 1.0
        if known is not None:
            if known.registration.incarnation == word.incarnation:
                slowdown = known.slowdown
        self._known[word.endpoint_id] = EndpointRecord(
            word, now, slowdown=slowdown
        )
        self._by_address[word.address] = word.endpoint_id


def _stays_gone(
    known: _registration.Registration, word: _registration.Registration
) -> bool:
    gone = _registration.EndpointState.GONE
    return known.state is gone and word.incarnation <= known.incarnation


def _may_hold(
    word: _registration.Registration, holder: _registration.Registration
) -> bool:
    """Tell whether a word is from the address's present endpoint.

    A word that was held up on its way may arrive after another endpoint has
    started at the same address.
    """
    if word.endpoint_id == holder.endpoint_id:
        return True
    return word.incarnation >= holder.incarnation


def _with_state(
    word: _registration.Registration, state: _registration.EndpointState
) -> _registration.Registration:
    return msgspec.structs.replace(word, state=state)


def _differs(
    old: _registration.Registration, new: _registration.Registration
) -> bool:
    return _comparable(old) != _comparable(new)


def _comparable(word: _registration.Registration) -> tuple[object, ...]:
    return (
        word.incarnation,
        word.service,
        word.address,
        word.state,
        word.layers,
        word.weights_version,
    )
