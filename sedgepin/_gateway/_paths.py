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
# Those that could do the same work, probed when one was not reached.
_LIKE_PROBES = 3
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
            has_detour = self._state.has_detour(endpoint_id, now)
            if links.is_cut_off and not has_detour:
                # All endpoints may have ended, which control VMs find out.
                self._state.unreachable_endpoints.append(endpoint_id)
            return not links.is_cut_off and not has_detour, effects
        match failure:
            case _LinkFailure.ENDPOINT:
                links.record_sound(forwarder)
                if links.proven(now):
                    return True, []
                return True, self._probe_like(endpoint_id, now)
            case _LinkFailure.FORWARDER:
                is_new = links.record_forwarder_failure(forwarder, now)
            case _LinkFailure.UNPROVEN:
                is_new = links.record_unproven(forwarder, now)
            case _LinkFailure.BEYOND:
                is_new = links.record_beyond(forwarder, now)
                if not is_new:
                    return True, []
        effects = _log_forwarder_failed(forwarder, failure)
        return False, effects if is_new else []

    def record_reached(
        self,
        endpoint_id: model.EndpointId,
        forwarder: protocol.Forwarder | None,
        now: datetime.datetime,
    ) -> Effects:
        """Record that a connection to an endpoint was made."""
        if forwarder is not None:
            self._state.links.record_forwarded(forwarder, endpoint_id, now)
            return []
        if not self._state.links.record_reached(endpoint_id, now):
            return []
        line = events.LINKS_RESTORED.line(endpoint=endpoint_id)
        effects: Effects = [_shared_state.log(line), *self._ask(now)]
        return effects + self._probe(_RESTORED_PROBES)

    def record_probe(
        self, event: _events.EndpointProbed, now: datetime.datetime
    ) -> Effects:
        """Record the end of a probe.

        A failed one shows something only of an endpoint that was probed after
        its backoff.
        """
        endpoint_id = event.endpoint_id
        fleet = self._state.fleet
        if event.is_reached:
            if fleet.is_probed(endpoint_id, now):
                fleet.clear_suspicion(endpoint_id)
                fleet.invalidate_pipelines()
            return self.record_reached(endpoint_id, event.forwarder, now)
        if not fleet.is_probed(endpoint_id, now):
            return []
        is_to_blame = True
        effects: Effects = []
        if event.link_failure is not None:
            is_to_blame, effects = self.record_failure(
                endpoint_id, event.link_failure, event.forwarder, now
            )
        fleet.end_probe(endpoint_id, is_to_blame, now)
        return effects

    def record_forward_unreached(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> Effects:
        """Record that an endpoint was not reached for another entry VM."""
        return self._record_direct_failure(endpoint_id, now)

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
        return effects + self._probe_suspected(now)

    def _probe_suspected(self, now: datetime.datetime) -> Effects:
        """Probe endpoints before they get requests again."""
        return [
            self._probe_on_path(registration, now)
            for registration in self._state.fleet.begin_probes(now)
        ]

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
        """Record a failed direct connection.

        Unless others were reached just now, find out whether any can be.
        """
        links = self._state.links
        is_sound = links.are_sound_besides(endpoint_id, now)
        is_new = links.record_unreachable(endpoint_id, now)
        effects = self._ask(now)
        if not is_new:
            if is_sound or links.is_cut_off:
                return effects
            return effects + self._probe_like(endpoint_id, now)
        failed = links.cut_endpoints
        for failed_id in failed:
            self._state.fleet.clear_suspicion(failed_id)
        self._state.fleet.invalidate_pipelines()
        line = events.LINKS_CUT.line(endpoints=",".join(sorted(failed)))
        # If the endpoints have failed instead, others can be reached.
        probes = self._probe_others(_CUT_PROBES)
        return [*effects, _shared_state.log(line), *probes]

    def _probe(self, count: int) -> Effects:
        """Probe some endpoints whose direct paths are taken for broken."""
        links = self._state.links
        return self._probe_some(
            [
                registration
                for registration in self._ready_endpoints()
                if links.is_unreachable(registration.endpoint_id)
            ],
            count,
        )

    def _probe_others(self, count: int) -> Effects:
        """Probe some endpoints that have not failed, or else any."""
        ready = self._ready_endpoints()
        failed = set(self._state.links.failed_endpoints)
        others = [one for one in ready if one.endpoint_id not in failed]
        return self._probe_some(others or ready, count)

    def _probe_like(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> Effects:
        """Probe some endpoints that could do the work of another."""
        record = self._state.fleet.registry.find(endpoint_id)
        if record is None:
            return []
        model_of = record.registration
        links = self._state.links
        failed = set(links.failed_endpoints)
        alike = [
            one
            for one in self._ready_endpoints()
            if one.service == model_of.service
            and one.layers == model_of.layers
            and not self._state.fleet.is_suspected(one.endpoint_id, now)
            and (links.is_cut_off or one.endpoint_id not in failed)
        ]
        return [
            self._probe_on_path(registration, now)
            for registration in self._choose(alike, _LIKE_PROBES)
        ]

    def _ready_endpoints(self) -> list[catalog.Registration]:
        return [
            record.registration
            for record in self._state.fleet.registry
            if record.lost_at is None
            and record.registration.state is catalog.EndpointState.READY
        ]

    def _probe_some(
        self,
        candidates: list[catalog.Registration],
        count: int,
    ) -> Effects:
        return [
            _effects.ProbeEndpoint(
                registration.endpoint_id, registration.address
            )
            for registration in self._choose(candidates, count)
        ]

    def _choose(
        self, candidates: list[catalog.Registration], count: int
    ) -> list[catalog.Registration]:
        return self._state.rng.sample(candidates, min(count, len(candidates)))

    def _probe_on_path(
        self, registration: catalog.Registration, now: datetime.datetime
    ) -> _effects.ProbeEndpoint:
        """Probe an endpoint on the path that a request would take."""
        return _effects.ProbeEndpoint(
            registration.endpoint_id,
            registration.address,
            registration.incarnation,
            self._state.choose_forwarder(registration.endpoint_id, now),
        )

    def _ask(self, now: datetime.datetime) -> Effects:
        links = self._state.links
        if not links.is_question_due(now):
            return []
        controls = sorted(self._connections.connected)
        links.record_question(controls, now)
        return [
            _effects.SendMessage(
                vm_id, protocol.ForwardersAsked(links.is_surely_cut_off(now))
            )
            for vm_id in controls
        ]


def _log_forwarder_failed(
    forwarder: protocol.Forwarder, failure: _events.LinkFailure
) -> Effects:
    line = events.FORWARDER_FAILED.line(
        forwarder=forwarder.vm_id, failure=failure.value
    )
    return [_shared_state.log(line)]
