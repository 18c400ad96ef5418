"""Endpoints of a simulation: engines that stream, a service that counts."""

import typing

from sedgepin import _answers as answers
from sedgepin import _control as control
from sedgepin import _entry as entry
from sedgepin import _forwarding as forwarding
from sedgepin import _http as http
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _release as release
from sedgepin import errors
from sedgepin.tests import fake_engine
from sedgepin.tests import fakes

if typing.TYPE_CHECKING:
    from sedgepin.tests import simulation

_TOKEN_INTERVAL_SECONDS = 0.02
_ANNOUNCE_INTERVAL_SECONDS = 0.5
_ANSWER_DELAY_SECONDS = 0.02


class FakeEndpoints:
    """Simulates the behaviour of all endpoints."""

    def __init__(self, owner: "simulation.Simulation") -> None:
        self._simulation = owner

    def announce(self, endpoint: fakes.Endpoint) -> None:
        """Announce an endpoint periodically to its data centre's entry VMs."""
        self._simulation.schedule(
            _ANNOUNCE_INTERVAL_SECONDS, lambda: self.announce(endpoint)
        )
        if not endpoint.is_alive or endpoint.is_paused:
            return
        for vm in self._simulation.vms.values():
            is_local = vm.data_centre == endpoint.data_centre
            is_reachable = self._simulation.can_reach(endpoint.name, vm.name)
            if vm.role == "entry" and is_local and is_reachable and vm.reducer:
                self._announce_to(endpoint, vm)

    def _announce_to(self, endpoint: fakes.Endpoint, vm: fakes.Vm) -> None:
        endpoint.sequence += 1
        is_engine = endpoint.layers is not None
        kind = (
            model.EndpointKind.ENGINE
            if is_engine
            else (model.EndpointKind.SERVICE)
        )
        service = "assistant" if is_engine else "ledger"
        announcement = model.Announcement(
            endpoint_id=endpoint.name,
            incarnation=model.Incarnation(endpoint.incarnation),
            sequence=endpoint.sequence,
            kind=kind,
            address="http://127.0.0.1:1",
            data_centre=model.DataCentreId(endpoint.data_centre),
            services=(model.ServiceName(service),),
            model=model.ModelName("beet-32") if is_engine else None,
            model_version=endpoint.version if is_engine else "",
            layers=endpoint.layers,
            accelerator=(
                model.AcceleratorSpec("fake", 8, 8000.0) if is_engine else None
            ),
            checks_fencing=endpoint.checks_fencing,
            leaving=endpoint.is_leaving,
            echo=endpoint.echoes.get(vm.name, ""),
            requests_per_second=endpoint.requests_per_second,
        )
        if vm.is_frozen:
            self._simulation.submit(
                vm.name, entry.AnnouncementReceived(0, announcement)
            )
            return
        for effect in vm.reducer.handle(
            entry.AnnouncementReceived(0, announcement), self._simulation.now
        ):
            if isinstance(effect, entry.ReplyAnnouncement):
                endpoint.echoes[vm.name] = effect.echo
            self._simulation.apply_effect(vm, effect)

    def _stage_endpoints(self, effect: typing.Any) -> list[fakes.Endpoint]:
        return [
            self._simulation.endpoints[stage.endpoint_id]
            for stage in effect.pipeline.stages
        ]

    def start_stream(
        self, vm: fakes.Vm, vm_incarnation: int, effect: typing.Any
    ) -> None:
        """Start an attempt on the stages of its pipeline.

        Records an attempt that does not resume where the caller's text ends.
        A prompt with ``CRASH`` crashes the first stage that gets it.
        """
        identity = (effect.request_id, effect.attempt)
        endpoints = self._stage_endpoints(effect)
        received = tuple(vm.callers[effect.request_id].texts)
        if effect.delivered != received or effect.position != len(received):
            self._simulation.wrong_resumptions.append(effect)
        for endpoint in endpoints:
            endpoint.work_received_at.append(self._simulation.now)
            link_failure = self._find_link_failure(
                vm, endpoint, effect.forwarder
            )
            if link_failure is not None:
                # Engines reach the next stage by themselves.
                is_first = endpoint is endpoints[0]
                self._fail_stream(
                    vm,
                    vm_incarnation,
                    identity,
                    endpoint,
                    False,
                    link_failure if is_first else None,
                )
                return
            if "CRASH" in effect.prompt:
                endpoint.is_alive = False
                self._fail_stream(vm, vm_incarnation, identity, endpoint, True)
                return
        incarnations = [endpoint.incarnation for endpoint in endpoints]
        self._send_token(
            vm, vm_incarnation, effect, incarnations, effect.position
        )

    def _send_token(
        self,
        vm: fakes.Vm,
        vm_incarnation: int,
        effect: typing.Any,
        incarnations: list[int],
        position: int,
    ) -> None:
        identity = (effect.request_id, effect.attempt)
        if vm.incarnation != vm_incarnation or identity in vm.cancelled:
            return
        endpoints = self._stage_endpoints(effect)
        for endpoint, incarnation in zip(endpoints, incarnations):
            is_same = endpoint.incarnation == incarnation
            if not endpoint.is_alive or not is_same:
                self._fail_stream(vm, vm_incarnation, identity, endpoint, True)
                return
        if any(endpoint.is_silent for endpoint in endpoints):
            return
        if any(endpoint.is_paused for endpoint in endpoints):
            self._simulation.schedule(
                _TOKEN_INTERVAL_SECONDS,
                lambda: self._send_token(
                    vm, vm_incarnation, effect, incarnations, position
                ),
            )
            return
        if position >= effect.limit_tokens:
            ended = entry.StreamEnded(*identity, position, "length")
            self._simulation.submit(vm.name, ended)
            return
        lineage = tuple(
            model.StageMark(stage.endpoint_id, stage.layers)
            for stage in effect.pipeline.stages
        )
        self._simulation.token_runs.append((*identity, position, lineage))
        text = fake_engine.token_text(effect.prompt, position)
        piece = model.TokenPiece(*identity, position, text, lineage)
        self._simulation.submit(vm.name, entry.PieceReceived(*identity, piece))
        self._simulation.sent_pieces.append((vm.name, piece))
        self._simulation.produced_counts[identity] = position + 1
        self._simulation.schedule(
            _TOKEN_INTERVAL_SECONDS,
            lambda: self._send_token(
                vm, vm_incarnation, effect, incarnations, position + 1
            ),
        )

    def _fail_stream(
        self,
        vm: fakes.Vm,
        vm_incarnation: int,
        identity: tuple[model.RequestId, int],
        endpoint: fakes.Endpoint,
        crashed: bool,
        link_failure: entry.LinkFailure | None = None,
    ) -> None:
        if vm.incarnation != vm_incarnation:
            return
        failure = errors.Failure()
        failed = entry.StreamFailed(
            *identity, endpoint.name, failure, crashed, link_failure
        )
        self._simulation.submit(vm.name, failed)

    def answer_probe(self, vm: fakes.Vm, effect: typing.Any) -> None:
        """Report the state of each probed stage.

        A silent stage reports one token more received than sent on.  The
        probe of a paused stage times out.
        """
        reports = []
        delay = 0.0
        for stage in effect.stages:
            endpoint = self._simulation.endpoints[stage.endpoint_id]
            link_failure = self._find_link_failure(
                vm, endpoint, effect.forwarder
            )
            answers_probe = link_failure is None
            if endpoint.is_paused:
                answers_probe = False
                delay = effect.timeout.total_seconds()
            produced = self._simulation.produced_counts.get(
                (effect.request_id, effect.attempt), 0
            )
            reports.append(
                entry.StageReport(
                    endpoint.name,
                    answers.StreamState.PRODUCING if answers_probe else None,
                    produced,
                    model.Incarnation(endpoint.incarnation),
                    produced + endpoint.is_silent,
                    link_failure,
                )
            )
        answered = entry.ProbeAnswered(
            effect.request_id, effect.attempt, effect.probe, tuple(reports)
        )
        self._simulation.schedule(
            delay, lambda: self._simulation.submit(vm.name, answered)
        )

    def execute_call(
        self, vm: fakes.Vm, vm_incarnation: int, effect: typing.Any
    ) -> None:
        """Run a call on the plain service; count it by idempotency key."""
        endpoint = self._simulation.endpoints["ledger"]
        endpoint.work_received_at.append(self._simulation.now)
        identity = (effect.request.request_id, effect.attempt)
        if vm.incarnation != vm_incarnation:
            return
        failure = errors.Failure()
        link_failure = self._find_link_failure(vm, endpoint, effect.forwarder)
        if link_failure is not None:
            failed = entry.ServiceFailed(
                *identity, failure, False, link_failure
            )
            self._simulation.submit(vm.name, failed)
            return
        key = effect.request.idempotency_key
        self._simulation.execution_counts[key] += 1
        self._simulation.executed_requests.add(effect.request.request_id)

        def answer() -> None:
            if vm.incarnation != vm_incarnation:
                return
            if not endpoint.is_alive:
                broken = entry.ServiceFailed(*identity, failure, True)
                self._simulation.submit(vm.name, broken)
            elif not endpoint.is_silent:
                headers = (http.HeaderField(b"content-type", b"text/plain"),)
                body = (
                    f"{key} {self._simulation.execution_counts[key]}".encode()
                )
                answered = entry.ServiceAnswered(*identity, 201, headers, body)
                self._simulation.submit(vm.name, answered)

        self._simulation.schedule(_ANSWER_DELAY_SECONDS, answer)

    def probe_path(self, vm: fakes.Vm, effect: typing.Any) -> None:
        """Tell a VM whether it can connect to an endpoint."""
        endpoint = self._simulation.endpoints[effect.endpoint_id]
        is_reached = self._find_link_failure(vm, endpoint, None) is None
        probed = entry.PathProbed(endpoint.name, is_reached)
        self._simulation.submit(vm.name, probed)

    def _find_link_failure(
        self,
        vm: fakes.Vm,
        endpoint: fakes.Endpoint,
        forwarder: protocol.Forwarder | None,
    ) -> entry.LinkFailure | None:
        """Return where a connection to an endpoint fails, if it does.

        A forwarder decides by its own reducer what it connects to.
        """
        own, failure = vm, entry.LinkFailure.DIRECT
        if forwarder is not None:
            own = self._simulation.vms[forwarder.vm_id]
            is_reachable = self._simulation.can_reach(vm.name, own.name)
            if own.reducer is None or own.is_frozen or not is_reachable:
                return entry.LinkFailure.FORWARDER
            opening = forwarding.OpenForward(
                forwarder.key, endpoint.name, None, "127.0.0.1:1"
            )
            if not own.reducer.knows_endpoint(opening):
                return entry.LinkFailure.UNKNOWN
        is_reachable = self._simulation.can_reach(own.name, endpoint.name)
        is_reached = endpoint.is_alive and is_reachable
        if forwarder is not None:
            if not is_reached:
                is_sound = own.reducer.has_sound_links(
                    endpoint.name, self._simulation.now
                )
                failure = (
                    entry.LinkFailure.ENDPOINT
                    if is_sound
                    else entry.LinkFailure.UNPROVEN
                )
            probed = entry.PathProbed(endpoint.name, is_reached)
            self._simulation.submit(own.name, probed)
        return None if is_reached else failure

    def execute_order(self, vm: fakes.Vm, order: release.Order) -> None:
        """Deliver an order; refuse a stale token if the endpoint checks it."""
        endpoint = self._simulation.endpoints[order.endpoint_id]
        self._simulation.orders.append((vm.name, order, self._simulation.now))
        token = (order.epoch, order.sequence)
        outcome = release.OrderOutcome.ACCEPTED
        if not endpoint.is_alive or not self._simulation.can_reach(
            vm.name, endpoint.name
        ):
            outcome = release.OrderOutcome.FAILED
        elif endpoint.checks_fencing and token <= endpoint.fence:
            outcome = release.OrderOutcome.REFUSED_FENCING
        else:
            endpoint.fence = max(endpoint.fence, token)
            endpoint.orders.append(order)
            endpoint.version = order.version or endpoint.version
        self._simulation.submit(
            vm.name, control.OrderCompleted(order, outcome)
        )
