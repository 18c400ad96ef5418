"""The paths to endpoints: direct ones, and those through forwarders."""

import datetime

from sedgepin import _catalog as catalog
from sedgepin._gateway import _control_connections
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _shared_state
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import events

# Endpoints that are probed when this VM seems to be cut off.
_CUT_PROBES = 3
# Endpoints whose paths had failed, probed once others are restored.
_RESTORED_PROBES = 8

_LinkFailure = _events.LinkFailure
Effects = _shared_state.Effects


class PathFollower:
    """Finds out which direct paths are broken, and who may forward.

    An entry VM whose own links are cut must not take that for failures of the
    endpoints: their suspicions are withdrawn, and requests go through other
    entry VMs.  Without any of these it goes on trying by itself.
    """

    __slots__ = ("_connections", "_state", "is_isolated")

    def __init__(
        self,
        state: _shared_state.SharedState,
        connections: _control_connections.ControlConnections,
    ) -> None:
        self._state = state
        self._connections = connections
        # Whether this VM has no path to any endpoint, nor a forwarder.
        self.is_isolated = False

    def record_failure(
        self,
        endpoint_id: model.EndpointId,
        failure: _events.LinkFailure,
        forwarder: protocol.Forwarder | None,
        now: datetime.datetime,
    ) -> tuple[bool, Effects]:
        """Record that a connection to an endpoint could not be made.

        Return whether the endpoint may be to blame, and the effects.
        """
        links = self._state.links
        if failure is _LinkFailure.DIRECT or forwarder is None:
            effects = self._record_direct_failure(endpoint_id, now)
            return not self._state.has_detour(endpoint_id, now), effects
        if failure is _LinkFailure.FORWARDER:
            effects = _log_forwarder_failed(forwarder)
            is_new = links.record_forwarder_failure(forwarder, now)
            return False, effects if is_new else []
        if links.record_beyond(forwarder, now):
            return False, _log_forwarder_failed(forwarder)
        return True, []

    def record_reached(
        self,
        endpoint_id: model.EndpointId,
        forwarder: protocol.Forwarder | None,
    ) -> Effects:
        """Record that a connection to an endpoint was made."""
        if forwarder is not None:
            self._state.links.record_forwarded(forwarder)
            return []
        if not self._state.links.has_failures:
            return []
        if not self._state.links.record_reached(endpoint_id):
            return []
        line = events.LINKS_RESTORED.line(endpoint=endpoint_id)
        return [_shared_state.log(line), *self._probe(_RESTORED_PROBES)]

    def record_lost(self, endpoint_id: model.EndpointId) -> Effects:
        """Record that others have found an endpoint to be lost."""
        if not self._state.links.remove(endpoint_id):
            return []
        line = events.LINKS_RESTORED.line(endpoint=endpoint_id)
        return [_shared_state.log(line)]

    def tick(self, now: datetime.datetime) -> Effects:
        """Probe a broken path, and ask for forwarders, if it is time to."""
        effects = self._forget_ended_endpoints() + self._ask(now)
        links = self._state.links
        has_path = not links.is_cut_off or links.has_forwarder(now)
        self.is_isolated = not has_path and (
            self.is_isolated or not links.awaits_forwarders(now)
        )
        if links.is_probe_due(now):
            effects += self._probe(1)
        return effects

    def _forget_ended_endpoints(self) -> Effects:
        """Drop the paths to endpoints that get no requests any more."""
        effects: Effects = []
        for endpoint_id in self._state.links.failed_endpoints:
            record = self._state.fleet.registry.find(endpoint_id)
            if (
                record is None
                or record.lost_at is not None
                or record.registration.state is catalog.EndpointState.GONE
            ):
                effects += self.record_lost(endpoint_id)
        return effects

    def _record_direct_failure(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> Effects:
        links = self._state.links
        is_new = links.record_unreachable(endpoint_id)
        effects = self._ask(now)
        if not is_new:
            return effects
        failed = links.failed_endpoints
        for failed_id in failed:
            self._state.fleet.clear_suspicion(failed_id)
        self._state.fleet.invalidate_pipelines()
        line = events.LINKS_CUT.line(endpoints=",".join(sorted(failed)))
        # If the endpoints have failed instead, others can be reached.
        return [*effects, _shared_state.log(line), *self._probe(_CUT_PROBES)]

    def _probe(self, count: int) -> Effects:
        """Probe some endpoints whose direct paths are taken for broken."""
        links = self._state.links
        candidates = [
            record.registration
            for record in self._state.fleet.registry
            if record.lost_at is None
            and record.registration.state is catalog.EndpointState.READY
            and links.is_unreachable(record.registration.endpoint_id)
        ]
        chosen = self._state.rng.sample(
            candidates, min(count, len(candidates))
        )
        return [
            _effects.ProbeEndpoint(
                registration.endpoint_id, registration.address
            )
            for registration in chosen
        ]

    def _ask(self, now: datetime.datetime) -> Effects:
        links = self._state.links
        if not links.is_question_due(now):
            return []
        controls = sorted(self._connections.connected)
        links.record_question(controls, now)
        return [
            _effects.SendMessage(vm_id, protocol.ForwardersAsked())
            for vm_id in controls
        ]


def _log_forwarder_failed(forwarder: protocol.Forwarder) -> Effects:
    line = events.FORWARDER_FAILED.line(forwarder=forwarder.vm_id)
    return [_shared_state.log(line)]
