"""Checks of endpoints that were lost by silence, by the leader."""

import datetime

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar import _peers
from sedgepin import events

Effects = list[_effects.RegistrarEffect]

# A check may take as long, so two of one endpoint may overlap.
_CHECK_INTERVAL = datetime.timedelta(seconds=1)


class SilentLossChecks:
    """Looks for the proof that an endpoint lost by silence has ended.

    It is checked until it is heard, refuses a connection, or is dropped from
    the registry, 60 s after its last heartbeat.

    >>> checks = SilentLossChecks(registry, restrictions, peers)
    >>> checks.start_due(registry.silent(), now)
    [InspectEngine(..., is_check=True, is_repeated=True)]
    """

    __slots__ = (
        "_checked_at",
        "_peers",
        "_registry",
        "_restrictions",
        "_still_silent",
    )

    def __init__(
        self,
        registry: catalog.Registry,
        restrictions: catalog.EndpointRestrictions,
        peers: _peers.Peers,
    ) -> None:
        self._registry = registry
        self._restrictions = restrictions
        self._peers = peers
        self._checked_at: dict[model.EndpointId, datetime.datetime] = {}
        # Those that did not answer the repeated check either.
        self._still_silent: set[model.EndpointId] = set()

    def is_still_silent(self, endpoint_id: model.EndpointId) -> bool:
        """Return whether a lost endpoint was silent in a second check too."""
        return endpoint_id in self._still_silent

    def start_due(
        self, silent: list[catalog.EndpointRecord], now: datetime.datetime
    ) -> Effects:
        """Return the checks that are due of endpoints lost by silence.

        To be called with all of them, on the leader only.
        """
        # Drops the endpoints that are no longer lost.
        self._checked_at = {
            record.registration.endpoint_id: self._checked_at.get(
                record.registration.endpoint_id, now - _CHECK_INTERVAL
            )
            for record in silent
        }
        self._still_silent &= self._checked_at.keys()
        effects: Effects = []
        for record in silent:
            registration = record.registration
            endpoint_id = registration.endpoint_id
            if now - self._checked_at[endpoint_id] < _CHECK_INTERVAL:
                continue
            if not self._restrictions.take_probe(
                endpoint_id, registration.incarnation, now
            ):
                continue
            self._checked_at[endpoint_id] = now
            effects.append(
                _effects.InspectEngine(
                    endpoint_id,
                    registration.incarnation,
                    registration.address,
                    is_check=True,
                    is_repeated=True,
                )
            )
        return effects

    def handle_inspection(
        self, event: _events.EngineInspected, now: datetime.datetime
    ) -> Effects:
        """Tell all peers that an endpoint has ended, if it is proven now.

        An endpoint that was heard meanwhile may have refused before that.
        """
        if event.is_silent and not event.has_answered:
            if event.endpoint_id in self._checked_at:
                self._still_silent.add(event.endpoint_id)
            return []
        self._still_silent.discard(event.endpoint_id)
        if event.has_answered:
            return []
        record = self._registry.find(event.endpoint_id)
        if (
            record is None
            or record.lost_at is None
            or record.has_ended
            or record.registration.incarnation != event.incarnation
        ):
            return []
        self._registry.mark_lost(
            event.endpoint_id, event.incarnation, now, has_ended=True
        )
        line = events.ENDPOINT_ENDED.line(
            endpoint=event.endpoint_id, incarnation=event.incarnation
        )
        ended = protocol.EndpointLost(
            event.endpoint_id, event.incarnation, has_ended=True
        )
        return [_effects.WriteLog(line), *self._peers.send_to_all(ended)]
