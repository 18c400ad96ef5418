"""Tests of requests of a VM whose own paths to endpoints are broken."""

import typing

from sedgepin import _catalog as catalog
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_Outcome = _events.AttemptOutcome
_LinkFailure = _events.LinkFailure
_GONE = catalog.EndpointState.GONE
_ONE, _TWO = (
    protocol.Forwarder(model.VmId(name), f"{name}:1", "key")
    for name in ("entry:2", "entry:3")
)


def _fail(
    gateway: parts.Gateway,
    exchange_id: int,
    link_failure: _events.LinkFailure = _LinkFailure.DIRECT,
) -> list[_effects.GatewayEffect]:
    return gateway.end_attempt(
        exchange_id, _Outcome.NOT_SENT, link_failure=link_failure
    )


def _cut_off(
    path: str = "/draft/x",
) -> tuple[parts.Gateway, int, list[_effects.GatewayEffect]]:
    """Return a gateway whose request found two endpoints unreachable."""
    gateway = parts.Gateway()
    exchange_id, _ = gateway.send_request(path)
    first = _fail(gateway, exchange_id)
    sent = [
        effect.message
        for effect in first
        if isinstance(effect, _effects.SendMessage)
    ]
    assert protocol.ForwardersAsked(False) in sent
    return gateway, exchange_id, _fail(gateway, exchange_id)


def _offer(
    gateway: parts.Gateway, *forwarders: protocol.Forwarder
) -> list[_effects.GatewayEffect]:
    return gateway.receive(protocol.ForwardersOffered(forwarders))


class TestCutOffVm:
    def test_request_waits_for_an_offer_and_is_forwarded(self) -> None:
        for path in ("/draft/x", "/read/x", "/post/x"):
            gateway, _exchange_id, effects = _cut_off(path)
            assert parts.has_no_effect(effects, _effects.FailExchange)
            assert parts.has_no_effect(effects, _effects.StartAttempt)
            assert gateway.reducer.has_queued_requests
            effects = _offer(gateway, _ONE)
            start = parts.get_effect(effects, _effects.StartAttempt)
            assert start.dispatch.forwarder == _ONE

    def test_later_requests_are_forwarded_at_once(self) -> None:
        gateway, _, _ = _cut_off()
        _offer(gateway, _ONE)
        for path in ("/draft/y", "/read/y", "/post/y"):
            _, effects = gateway.send_request(path)
            start = parts.get_effect(effects, _effects.StartAttempt)
            assert start.dispatch.forwarder == _ONE

    def test_endpoints_are_not_blamed(self) -> None:
        gateway, _, effects = _cut_off()
        for effect in effects:
            if isinstance(effect, _effects.SendMessage):
                assert not isinstance(effect.message, protocol.EndpointFailed)
        state = gateway.reducer._state
        for name in ("low", "far-low"):
            endpoint_id = model.EndpointId(name)
            assert state.fleet.is_usable(endpoint_id, gateway.now)

    def test_without_an_offer_the_request_fails_and_may_come_again(
        self,
    ) -> None:
        gateway, _, _ = _cut_off()
        effects = []
        for _ in range(10):
            effects += gateway.advance(50)
            for effect in list(effects):
                if isinstance(effect, _effects.StartAttempt):
                    assert effect.dispatch.forwarder is None
                    effects.remove(effect)
                    effects += _fail(gateway, effect.exchange_id)
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.http_status == 503

    def test_without_a_forwarder_endpoints_are_not_suspected(self) -> None:
        """They serve again as soon as a forwarder is offered."""
        gateway, _, _ = _cut_off()
        _offer(gateway)
        gateway.advance(400)
        _offer(gateway)
        exchange_id, effects = gateway.send_request("/draft/y")
        start = parts.get_effect(effects, _effects.StartAttempt)
        effects = _fail(gateway, exchange_id)
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.code == "no_endpoint"
        fleet = gateway.reducer._state.fleet
        assert fleet.is_usable(start.dispatch.endpoint_id, gateway.now)
        _offer(gateway, _ONE)
        _, effects = gateway.send_request("/draft/z")
        start = parts.get_effect(effects, _effects.StartAttempt)
        assert start.dispatch.forwarder == _ONE

    def test_forwarded_failure_makes_it_look_for_others(self) -> None:
        gateway, exchange_id, _ = _cut_off()
        effects = _offer(gateway, _ONE)
        parts.get_effect(effects, _effects.StartAttempt)
        effects = _fail(gateway, exchange_id, _LinkFailure.ENDPOINT)
        probes = [
            effect
            for effect in effects
            if isinstance(effect, _effects.ProbeEndpoint)
        ]
        assert {probe.forwarder for probe in probes} == {_ONE}

    def test_it_is_not_ready_without_an_offer(self) -> None:
        gateway, _, _ = _cut_off()
        assert gateway.reducer.is_ready
        gateway.advance(400)
        for _ in range(40):
            gateway.advance(50)
            assert not gateway.reducer.is_ready
        _offer(gateway, _ONE)
        gateway.advance(50)
        assert gateway.reducer.is_ready

    def test_caller_that_leaves_while_it_waits_is_forgotten(self) -> None:
        gateway, exchange_id, _ = _cut_off()
        gateway.handle(_events.CallerDisconnected(exchange_id))
        effects = _offer(gateway, _ONE)
        assert parts.has_no_effect(effects, _effects.StartAttempt)
        assert not gateway.reducer.has_queued_requests

    def test_probe_restores_the_direct_paths(self) -> None:
        gateway, _, effects = _cut_off()
        probes = [
            effect
            for effect in effects
            if isinstance(effect, _effects.ProbeEndpoint)
        ]
        assert len({probe.endpoint_id for probe in probes}) == 3
        _offer(gateway, _ONE)
        probe = parts.get_effect(gateway.advance(50), _effects.ProbeEndpoint)
        gateway.handle(_events.EndpointProbed(probe.endpoint_id, False))
        _, effects = gateway.send_request("/draft/y")
        start = parts.get_effect(effects, _effects.StartAttempt)
        assert start.dispatch.forwarder == _ONE
        effects = gateway.handle(
            _events.EndpointProbed(probe.endpoint_id, True)
        )
        for effect in effects:
            if isinstance(effect, _effects.ProbeEndpoint):
                probed = _events.EndpointProbed(effect.endpoint_id, True)
                gateway.handle(probed)
        assert not gateway.reducer._state.links.has_failures
        _, effects = gateway.send_request("/draft/z")
        start = parts.get_effect(effects, _effects.StartAttempt)
        assert start.dispatch.forwarder is None


class TestProbesBeforeRequests:
    """An endpoint that was not reached is probed before it is used again."""

    def _suspect_low(self) -> parts.Gateway:
        gateway = parts.Gateway(parts.make_registrations()[:2])
        exchange_id, _ = gateway.send_request("/draft/x")
        _fail(gateway, exchange_id)
        return gateway

    def _is_usable(self, gateway: parts.Gateway) -> bool:
        fleet = gateway.reducer._state.fleet
        return fleet.is_usable(model.EndpointId("low"), gateway.now)

    def test_request_does_not_find_out_whether_it_can_be_reached(self) -> None:
        gateway = self._suspect_low()
        effects = gateway.advance(520)
        probe = parts.get_effect(effects, _effects.ProbeEndpoint)
        assert probe.endpoint_id == "low"
        assert not self._is_usable(gateway)
        gateway.handle(_events.EndpointProbed(probe.endpoint_id, True))
        assert self._is_usable(gateway)

    def test_failed_probe_doubles_the_pause(self) -> None:
        gateway = self._suspect_low()
        gateway.advance(520)
        failed = _events.EndpointProbed(model.EndpointId("low"), False)
        gateway.handle(failed)
        effects = gateway.advance(900)
        assert parts.has_no_effect(effects, _effects.ProbeEndpoint)
        assert not self._is_usable(gateway)
        effects = gateway.advance(120)
        parts.get_effect(effects, _effects.ProbeEndpoint)

    def test_probe_without_an_end_keeps_it_no_longer(self) -> None:
        gateway = self._suspect_low()
        gateway.advance(520)
        gateway.advance(460)
        assert self._is_usable(gateway)

    def test_broken_path_is_probed_through_a_forwarder_next(self) -> None:
        gateway = self._suspect_low()
        _offer(gateway, _ONE)
        effects = gateway.advance(520)
        probe = parts.get_effect(effects, _effects.ProbeEndpoint)
        assert probe.forwarder is None
        gateway.handle(
            _events.EndpointProbed(
                probe.endpoint_id, False, None, _LinkFailure.DIRECT
            )
        )
        effects = gateway.advance(50)
        forwarders = [
            effect.forwarder
            for effect in effects
            if isinstance(effect, _effects.ProbeEndpoint)
        ]
        assert _ONE in forwarders


class TestForwarder:
    def test_one_that_fails_is_replaced_for_the_same_endpoint(self) -> None:
        gateway, exchange_id, _ = _cut_off()
        effects = _offer(gateway, _ONE, _TWO)
        first = parts.get_effect(effects, _effects.StartAttempt).dispatch
        effects = _fail(gateway, exchange_id, _LinkFailure.FORWARDER)
        second = parts.get_effect(effects, _effects.StartAttempt).dispatch
        assert {first.forwarder, second.forwarder} == {_ONE, _TWO}
        assert first.endpoint_id == second.endpoint_id

    def test_endpoint_that_it_cannot_reach_is_suspected(self) -> None:
        gateway, exchange_id, _ = _cut_off()
        effects = _offer(gateway, _ONE)
        first = parts.get_effect(effects, _effects.StartAttempt).dispatch
        effects = _fail(gateway, exchange_id, _LinkFailure.BEYOND)
        second = parts.get_effect(effects, _effects.StartAttempt).dispatch
        assert second.forwarder == _ONE
        assert second.endpoint_id != first.endpoint_id

    def test_endpoint_is_suspected_and_its_forwarder_is_not(self) -> None:
        """A sound forwarder is used again, however many endpoints fail."""
        gateway, exchange_id, _ = _cut_off()
        effects = _offer(gateway, _ONE)
        tried = []
        for _ in range(2):
            start = parts.get_effect(effects, _effects.StartAttempt)
            assert start.dispatch.forwarder == _ONE
            tried.append(start.dispatch.endpoint_id)
            effects = _fail(gateway, exchange_id, _LinkFailure.ENDPOINT)
        assert len(set(tried)) == len(tried)

    def test_one_whose_own_links_may_be_broken_is_passed_over(self) -> None:
        gateway, exchange_id, _ = _cut_off()
        effects = _offer(gateway, _ONE, _TWO)
        first = parts.get_effect(effects, _effects.StartAttempt).dispatch
        effects = _fail(gateway, exchange_id, _LinkFailure.UNPROVEN)
        second = parts.get_effect(effects, _effects.StartAttempt).dispatch
        assert {first.forwarder, second.forwarder} == {_ONE, _TWO}
        assert first.endpoint_id == second.endpoint_id

    def test_lost_request_counts_as_run_and_not_against_its_endpoint(
        self,
    ) -> None:
        gateway, exchange_id, _ = _cut_off("/post/x")
        effects = _offer(gateway, _ONE, _TWO)
        endpoint_id = parts.get_effect(
            effects, _effects.StartAttempt
        ).dispatch.endpoint_id
        effects = gateway.end_attempt(
            exchange_id, _Outcome.UNKNOWN, link_failure=_LinkFailure.FORWARDER
        )
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.code == "outcome_unknown"
        fleet = gateway.reducer._state.fleet
        assert fleet.is_usable(endpoint_id, gateway.now)


class TestRunningStream:
    def test_it_leaves_a_broken_path_when_it_stalls(self) -> None:
        gateway = parts.Gateway()
        stream, _ = gateway.send_request("/draft/x")
        gateway.handle(_events.OutputStarted(stream))
        other, _ = gateway.send_request("/read/x")
        _fail(gateway, other)
        _fail(gateway, other)
        _offer(gateway, _ONE)
        effects = gateway.handle(_events.StreamStalled(stream))
        parts.get_effect(effects, _effects.CancelAttempt)
        effects = gateway.end_attempt(stream, _Outcome.CANCELLED)
        start = parts.get_effect(effects, _effects.StartAttempt)
        assert start.dispatch.forwarder == _ONE

    def test_it_stays_on_a_path_that_lives_on(self) -> None:
        gateway, _, _ = _cut_off()
        effects = _offer(gateway, _ONE)
        assert parts.has_no_effect(effects, _effects.CancelAttempt)

    def test_failed_inspections_of_two_engines_show_the_cut(self) -> None:
        gateway = parts.Gateway()
        stream, _ = gateway.send_request("/draft/x")
        gateway.handle(_events.OutputStarted(stream))
        gateway.handle(_events.StreamStalled(stream))
        failed = _events.StallsInspected(
            model.EndpointId("low"), None, link_failure=_LinkFailure.DIRECT
        )
        gateway.handle(failed)
        effects = gateway.end_attempt(stream, _Outcome.CANCELLED)
        parts.get_effect(effects, _effects.StartAttempt)
        effects = _fail(gateway, stream)
        assert gateway.reducer._state.links.is_cut_off
        assert parts.has_no_effect(effects, _effects.FailExchange)


class TestForwardingForOthers:
    def test_it_refuses_endpoints_that_it_would_not_use(self) -> None:
        gateway = parts.Gateway()

        def refusal(
            address: str = "low:80", incarnation: int = 1
        ) -> typing.Any:
            return gateway.reducer.forwarding_refusal(
                model.EndpointId("low"), incarnation, address, gateway.now
            )

        assert refusal() is None
        # It may not know the latest process itself.
        assert not refusal(address="low:81").is_sound
        assert not refusal(incarnation=2).is_sound
        assert refusal(incarnation=0).is_sound
        leaving = protocol.EndpointLeaving(model.EndpointId("low"), 1)
        gateway.receive(leaving)
        assert refusal().is_sound

    def test_it_refuses_all_while_it_is_cut_off(self) -> None:
        gateway, _, _ = _cut_off()
        refused = gateway.reducer.forwarding_refusal(
            model.EndpointId("high"), 1, "high:80", gateway.now
        )
        assert refused is not None
        assert refused.is_sound is False

    def test_without_a_recent_connection_it_finds_out_about_its_links(
        self,
    ) -> None:
        gateway = parts.Gateway()
        low = model.EndpointId("low")
        assert not gateway.reducer.has_sound_links(low, gateway.now)
        effects = gateway.handle(_events.ForwardUnreached(low))
        probed = [
            effect.endpoint_id
            for effect in effects
            if isinstance(effect, _effects.ProbeEndpoint)
        ]
        assert probed == ["far-low"]
        gateway.handle(_events.EndpointProbed(probed[0], True))
        assert gateway.reducer.has_sound_links(low, gateway.now)


class TestEndpointThatLeaves:
    def test_its_broken_path_is_forgotten(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x")
        _fail(gateway, exchange_id)
        gone = parts.make_registration(
            "low", "model", parts.LOW, sequence=2, state=_GONE
        )
        gateway.receive(protocol.RegistrationsSeen((gone,)))
        effects = [gateway.advance(500) for _ in range(6)]
        sent = [
            effect.message
            for step in effects
            for effect in step
            if isinstance(effect, _effects.SendMessage)
        ]
        assert protocol.ForwardersAsked() not in sent
        assert not gateway.reducer._state.links.has_failures
