"""Relay of heartbeats and changed registrations to peers, in batches."""

import collections.abc
import datetime

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects
from sedgepin._registrar import _peers

Effects = list[_effects.RegistrarEffect]

# Heartbeats are relayed in batches: to the other control VMs at the first
# interval, and by each of them to its entry VMs at the second one, which is a
# multiple of the interval of aggregated loads and so shares their frames.
_CONTROL_INTERVAL = datetime.timedelta(milliseconds=300)
_ENTRY_INTERVAL = datetime.timedelta(milliseconds=400)
# After the start of a system, or of its control VMs, all endpoints register
# within a heartbeat interval.  Changes that follow another one this soon are
# sent together.
_CHANGE_INTERVAL = datetime.timedelta(milliseconds=50)


class RegistrationRelay:
    """Batches what endpoints tell this VM, for its peers.

    The other control VMs are sent what endpoints told this VM; the entry VMs
    also what the other control VMs relayed.

    >>> relay = RegistrationRelay(peers, now)
    >>> relay.add_heartbeat(endpoint_id)
    >>> relay.tick(later)
    [SendMessage(control, RegistrationsSeen(heard=(endpoint_id,))), ...]
    """

    __slots__ = (
        "_changes_sent_at",
        "_for_controls",
        "_for_entries",
        "_peers",
        "_relayed_to_controls_at",
        "_relayed_to_entries_at",
        "_unsent_changes",
    )

    def __init__(self, peers: _peers.Peers, now: datetime.datetime) -> None:
        self._peers = peers
        # Heartbeats received here, and those received by any control VM.
        self._for_controls: set[model.EndpointId] = set()
        self._for_entries: set[model.EndpointId] = set()
        self._relayed_to_controls_at = now
        self._relayed_to_entries_at = now
        # The latest change of each endpoint that has not been sent to peers.
        self._unsent_changes: dict[model.EndpointId, catalog.Registration] = {}
        self._changes_sent_at = now - _CHANGE_INTERVAL

    def add_heartbeat(self, endpoint_id: model.EndpointId) -> None:
        """Add a heartbeat that this VM received from an endpoint."""
        self._for_controls.add(endpoint_id)
        self._for_entries.add(endpoint_id)

    def add_relayed_heartbeats(
        self, endpoint_ids: collections.abc.Iterable[model.EndpointId]
    ) -> None:
        """Add heartbeats that another control VM relayed."""
        self._for_entries.update(endpoint_ids)

    def add_change(
        self, registration: catalog.Registration, now: datetime.datetime
    ) -> Effects:
        """Send a changed registration to all peers, at once or soon.

        It is sent with the next tick if another one has just been sent, unless
        the endpoint leaves.
        """
        self._unsent_changes[registration.endpoint_id] = registration
        is_leaving = registration.state is not catalog.EndpointState.READY
        if is_leaving or now - self._changes_sent_at >= _CHANGE_INTERVAL:
            return self._send_changes(now)
        return []

    def tick(self, now: datetime.datetime) -> Effects:
        """Send the changes, and the heartbeats that are due."""
        return self._send_changes(now) + self._relay_heartbeats(now)

    def _send_changes(self, now: datetime.datetime) -> Effects:
        """Send all changes that have not been sent to all peers."""
        if not self._unsent_changes:
            return []
        self._changes_sent_at = now
        changes = tuple(self._unsent_changes.values())
        self._unsent_changes.clear()
        message = protocol.RegistrationsSeen(changed=changes)
        return self._peers.send_to_all(message)

    def _relay_heartbeats(self, now: datetime.datetime) -> Effects:
        """Relay the heartbeats that are due to control VMs and entry VMs."""
        effects: Effects = []
        if now - self._relayed_to_controls_at >= _CONTROL_INTERVAL:
            self._relayed_to_controls_at = now
            if self._for_controls:
                effects += self._peers.send_to_controls(
                    _heartbeats(self._for_controls)
                )
            self._for_controls.clear()
        if now - self._relayed_to_entries_at >= _ENTRY_INTERVAL:
            self._relayed_to_entries_at = now
            if self._for_entries:
                effects += self._peers.send_to_homed_entries(
                    _heartbeats(self._for_entries)
                )
            self._for_entries.clear()
        return effects


def _heartbeats(
    endpoint_ids: set[model.EndpointId],
) -> protocol.RegistrationsSeen:
    return protocol.RegistrationsSeen(heard=tuple(sorted(endpoint_ids)))
