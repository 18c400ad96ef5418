"""Attempts of entry VMs at endpoints over paths that may be cut."""

import abc
import random

import msgspec

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _effects as gateway_effects
from sedgepin._gateway import _events as gateway_events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import errors
from sedgepin.tests import cut_paths
from sedgepin.tests import cut_plan
from sedgepin.tests import cut_record
from sedgepin.tests import cut_run
from sedgepin.tests import timed_deployment

_LinkFailure = gateway_events.LinkFailure
_Outcome = gateway_events.AttemptOutcome
# As many as a forwarder carries for others.
_MAX_FORWARDED = 256
_START_SECONDS = 3.0


class EmulatedAttempts(timed_deployment.TimedDeployment):
    """Carries out what entry VMs want of endpoints."""

    def __init__(self, plan: cut_plan.Plan) -> None:
        self.plan = plan
        self._rng = random.Random(plan.seed)
        self._open: dict[tuple[model.VmId, int], cut_record.Request] = {}
        self._runs: dict[tuple[model.VmId, int], cut_run.Run] = {}
        # When each frozen entry VM goes on, and the key of each as forwarder.
        self._thaws_at: dict[model.VmId, float] = {}
        self._keys: dict[model.VmId, str] = {}
        # What forwarders said of their own links when they last failed.
        self._are_sound: dict[tuple[model.VmId, model.EndpointId], bool] = {}
        self._started_at: dict[model.VmId, float] = {}
        self._by_address: dict[str, catalog.Registration] = {}
        super().__init__(
            plan.entry_count, plan.control_count, plan.data_centre_count
        )
        self._paths = cut_paths.Paths(
            plan, self._keys, self.stopped, self._thaws_at
        )
        for number in range(2 * plan.engine_pairs):
            layers = parts.HIGH if number % 2 else parts.LOW
            self._add_endpoint(
                f"engine-{number}", "model", layers, number // 2
            )
        for number in range(plan.ledger_count):
            self._add_endpoint(f"ledger-{number}", "ledger", None, number)

    def _add_endpoint(
        self,
        name: str,
        service: str,
        layers: model.LayerRange | None,
        number: int,
    ) -> None:
        registration = parts.make_registration(
            name,
            service,
            layers,
            self.data_centre(number),
            address=f"{name}.example:80",
        )
        self._by_address[registration.address] = registration
        self.endpoints.append(registration)

    def _find_running(self, address: str) -> catalog.Registration | None:
        return self._by_address.get(address)

    def _call(
        self, address: str, limit_seconds: float
    ) -> timed_deployment.Call:
        registration = self._by_address[address]
        for fault in self.plan.endpoint_faults:
            if fault.is_crash and fault.severs(
                registration.endpoint_id, self.elapsed()
            ):
                if fault.mode.is_silent:
                    return timed_deployment.Call(limit_seconds, None, True)
                return timed_deployment.Call(
                    timed_deployment.ENGINE_SECONDS, None
                )
        return super()._call(address, limit_seconds)

    def _crash_endpoints(self, fault: cut_plan.EndpointFault) -> None:
        """End processes, which start again at the end of the fault."""
        crashed = [
            registration
            for registration in self.endpoints
            if fault.hits(registration.endpoint_id)
        ]
        for registration in crashed:
            self.endpoints.remove(registration)
        for run in self._runs.values():
            if run.is_reached and fault.hits(run.endpoint_id):
                run.request.ended_runs += 1
        seconds = fault.end - self.elapsed()
        self._after(seconds, self._start_endpoints, crashed)

    def _start_endpoints(self, crashed: list[catalog.Registration]) -> None:
        for registration in crashed:
            started = msgspec.structs.replace(
                registration,
                incarnation=model.Incarnation(registration.incarnation + 1),
            )
            self._by_address[started.address] = started
            self.endpoints.append(started)

    def _could_serve(self, request: cut_record.Request) -> bool:
        """Return whether a VM reaches the endpoints that a request needs.

        A VM that has just started does not know them yet.
        """
        now = self.elapsed()
        carriers = [
            carrier
            for carrier in self.entries
            if now - self._started_at.get(carrier, -_START_SECONDS)
            >= _START_SECONDS
        ]
        kinds = (
            [parts.LOW, parts.HIGH]
            if request.operation.kind is cut_record.Kind.STREAM
            else [None]
        )
        return all(
            any(
                registration.layers == layers
                and self._paths.is_reachable(
                    carrier, registration.endpoint_id, now
                )
                for registration in self.endpoints
                for carrier in carriers
            )
            for layers in kinds
        )

    @abc.abstractmethod
    def _answer(
        self, vm_id: model.VmId, number: int, failure: errors.Failure | None
    ) -> None:
        """Give a caller its answer."""

    def _carry_out_attempt(
        self, vm_id: model.VmId, effect: gateway_effects.GatewayEffect
    ) -> None:
        """Carry out an effect that concerns endpoints; ignore any other."""
        match effect:
            case gateway_effects.StartAttempt():
                self._start_run(vm_id, effect)
            case gateway_effects.CancelAttempt(number):
                run = self._runs.get((vm_id, number))
                if run is not None:
                    cancelled = _Outcome.CANCELLED
                    self._after(
                        0.0, self._end_run, run, cancelled, "cancelled"
                    )
            case gateway_effects.InspectStalls():
                self._inspect_stalls(vm_id, effect)
            case gateway_effects.ProbeEndpoint():
                self._probe(vm_id, effect)
            case gateway_effects.Reroute():
                self._reroute(vm_id, effect)

    def _open_path(
        self,
        vm_id: model.VmId,
        endpoint_id: model.EndpointId,
        incarnation: int | None,
        address: str,
        forwarder: protocol.Forwarder | None,
    ) -> cut_paths.Opening:
        """Return how opening a way ends; a forwarder's reducer has a say."""
        opening = self._paths.open_path(
            vm_id, forwarder, endpoint_id, self.elapsed()
        )
        if forwarder is None or opening.failing is _LinkFailure.FORWARDER:
            return opening
        carried = sum(
            run.forwarder == forwarder.vm_id for run in self._runs.values()
        )
        if carried > _MAX_FORWARDED:
            return cut_paths.Opening(
                cut_paths.HOP_SECONDS, _LinkFailure.FORWARDER
            )
        refusal = self.entries[forwarder.vm_id].forwarding_refusal(
            endpoint_id, incarnation, address, self.now
        )
        if refusal is not None:
            failure = _LinkFailure.BEYOND
            if not self._is_old(forwarder.vm_id):
                failure = (
                    _LinkFailure.ENDPOINT
                    if refusal.is_sound
                    else _LinkFailure.UNPROVEN
                )
            return cut_paths.Opening(cut_paths.HOP_SECONDS, failure)
        self._after(
            opening.seconds - cut_paths.HOP_SECONDS,
            self._end_opening,
            forwarder.vm_id,
            endpoint_id,
            opening.is_open,
        )
        return opening

    def _end_opening(
        self,
        forwarder: model.VmId,
        endpoint_id: model.EndpointId,
        is_open: bool,
    ) -> None:
        """Tell a forwarder whether it has reached an endpoint."""
        if is_open:
            reached = gateway_events.EndpointReached(endpoint_id, None)
            self._handle_entry(forwarder, reached)
            return
        is_sound = self.entries[forwarder].has_sound_links(
            endpoint_id, self.now
        )
        self._are_sound[forwarder, endpoint_id] = is_sound
        unreached = gateway_events.ForwardUnreached(endpoint_id)
        self._handle_entry(forwarder, unreached)

    def _is_old(self, vm_id: model.VmId) -> bool:
        return self.plan.is_old(int(vm_id.rpartition(":")[2]))

    def _receive(
        self,
        sender: model.VmId,
        recipient: model.VmId,
        message: protocol.PeerMessage,
    ) -> None:
        if isinstance(message, protocol.ForwardersAsked) and (
            self._is_old(sender)
        ):
            message = protocol.ForwardersAsked()
        super()._receive(sender, recipient, message)

    def _judge(
        self,
        failure: gateway_events.LinkFailure | None,
        forwarder: model.VmId | None,
        endpoint_id: model.EndpointId,
    ) -> gateway_events.LinkFailure | None:
        """Add what a forwarder says of its own links to its refusal."""
        if failure is not _LinkFailure.BEYOND or forwarder is None:
            return failure
        if self._is_old(forwarder):
            return failure
        if self._are_sound.get((forwarder, endpoint_id), False):
            return _LinkFailure.ENDPOINT
        return _LinkFailure.UNPROVEN

    def _start_run(
        self, vm_id: model.VmId, effect: gateway_effects.StartAttempt
    ) -> None:
        number = effect.exchange_id
        request = self._open.get((vm_id, number))
        if request is None:
            return
        run = cut_run.Run(vm_id, request, effect, self.elapsed(), self._rng)
        self._runs[vm_id, number] = run
        if run.forwarder is not None:
            request.forwards += 1
        dispatch = effect.dispatch
        opening = self._open_path(
            vm_id,
            dispatch.endpoint_id,
            dispatch.incarnation,
            dispatch.address,
            dispatch.forwarder,
        )
        if opening.is_open:
            self._after(opening.seconds, self._connect_run, run, dispatch)
            return
        request.unsent += 1
        self._after(
            opening.seconds,
            self._end_run,
            run,
            _Outcome.NOT_SENT,
            "unreached",
            opening.failing,
        )

    def _connect_run(
        self, run: cut_run.Run, dispatch: _calls.Dispatch
    ) -> None:
        if run.is_over:
            return
        reached = gateway_events.EndpointReached(
            run.endpoint_id, dispatch.forwarder
        )
        self._handle_entry(run.vm_id, reached)
        self._continue_run(run)

    def _continue_run(self, run: cut_run.Run) -> None:
        """Deliver what the endpoint has sent by now, step by step.

        What does not arrive is sent again, until the path is whole.
        """
        if run.is_over:
            return
        now = self.elapsed()
        if not run.is_reached and self._paths.can_send(run, now):
            run.reach_endpoint(now)
        if self._paths.can_receive(run, now):
            self._deliver_output(run, now)
        if run.is_over:
            return
        if run.is_late(now):
            stalled = gateway_events.StreamStalled(run.exchange_id)
            self._handle_entry(run.vm_id, stalled)
        if run.has_timed_out(now):
            self._end_run(run, _Outcome.UNKNOWN, "no answer head")
        if not run.is_over:
            seconds = run.seconds_until_step(now)
            self._after(seconds, self._continue_run, run)

    def _deliver_output(self, run: cut_run.Run, now: float) -> None:
        had_output = run.request.first_output_at is not None
        run.deliver(now)
        if run.request.first_output_at is not None and not had_output:
            started = gateway_events.OutputStarted(run.exchange_id)
            self._handle_entry(run.vm_id, started)
        if run.is_complete:
            self._end_run(run, _Outcome.ANSWERED, "answered")

    def _end_run(
        self,
        run: cut_run.Run,
        outcome: gateway_events.AttemptOutcome,
        why: str,
        failing: gateway_events.LinkFailure | None = None,
    ) -> None:
        if run.is_over:
            return
        run.is_over = True
        self._runs.pop((run.vm_id, run.exchange_id), None)
        ended = gateway_events.AttemptEnded(
            run.exchange_id,
            outcome,
            why,
            run.position,
            endpoint_id=run.endpoint_id,
            link_failure=self._judge(failing, run.forwarder, run.endpoint_id),
        )
        self._handle_entry(run.vm_id, ended)
        if outcome is _Outcome.ANSWERED:
            self._answer(run.vm_id, run.exchange_id, None)

    def _reset_connections(self) -> None:
        """End the connections whose paths a cut resets now."""
        now = self.elapsed()
        for run in list(self._runs.values()):
            if self._paths.resets(run, now):
                self._end_run(run, _Outcome.UNKNOWN, "connection reset")

    def _lose_forwarder(self, vm_id: model.VmId) -> None:
        """End the connections to a forwarder that has ended."""
        for run in list(self._runs.values()):
            if run.forwarder != vm_id:
                continue
            outcome = _Outcome.UNKNOWN
            if not run.is_reached:
                outcome = _Outcome.NOT_SENT
            self._end_run(
                run, outcome, "forwarder lost", _LinkFailure.FORWARDER
            )

    def _probe(
        self, vm_id: model.VmId, effect: gateway_effects.ProbeEndpoint
    ) -> None:
        opening = self._open_path(
            vm_id,
            effect.endpoint_id,
            effect.incarnation,
            effect.address,
            effect.forwarder,
        )
        self._after(opening.seconds, self._end_probe, vm_id, effect, opening)

    def _end_probe(
        self,
        vm_id: model.VmId,
        effect: gateway_effects.ProbeEndpoint,
        opening: cut_paths.Opening,
    ) -> None:
        forwarder = effect.forwarder
        failure = self._judge(
            opening.failing,
            None if forwarder is None else forwarder.vm_id,
            effect.endpoint_id,
        )
        probed = gateway_events.EndpointProbed(
            effect.endpoint_id, opening.is_open, forwarder, failure
        )
        self._handle_entry(vm_id, probed)

    def _inspect_stalls(
        self, vm_id: model.VmId, effect: gateway_effects.InspectStalls
    ) -> None:
        opening = self._open_path(
            vm_id,
            effect.endpoint_id,
            effect.incarnation,
            effect.address,
            effect.forwarder,
        )
        self._after(
            opening.seconds, self._end_inspection, vm_id, effect, opening
        )

    def _end_inspection(
        self,
        vm_id: model.VmId,
        effect: gateway_effects.InspectStalls,
        opening: cut_paths.Opening,
    ) -> None:
        forwarder = effect.forwarder
        failure = self._judge(
            opening.failing,
            None if forwarder is None else forwarder.vm_id,
            effect.endpoint_id,
        )
        inspected = gateway_events.StallsInspected(
            effect.endpoint_id,
            _calls.StallReport(()) if opening.is_open else None,
            opening.is_open,
            forwarder,
            failure,
        )
        self._handle_entry(vm_id, inspected)

    def _reroute(
        self, vm_id: model.VmId, effect: gateway_effects.Reroute
    ) -> None:
        """Let the first engine accept, if it can be told."""
        opening = self._open_path(
            vm_id,
            effect.pipeline.stages[0].endpoint_id,
            effect.incarnation,
            effect.address,
            effect.forwarder,
        )
        rerouted = gateway_events.Rerouted(
            effect.exchange_id, opening.is_open, attempt=effect.attempt
        )
        self._after(opening.seconds, self._handle_entry, vm_id, rerouted)
