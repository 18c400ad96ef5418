"""Tests of endpoints that are leaving or want no requests for a while.

An engine may say in any answer that it is leaving.  One that turns a request
away may say for how long it wants no other from this VM.
"""

import datetime
import typing

import msgspec
import pytest

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_Outcome = _events.AttemptOutcome
_LOW = model.EndpointId("low")
_LEDGER = model.EndpointId("ledger-1")
_LEAVING = catalog.EndpointNotice(is_leaving=True)


def _pause(seconds: float) -> catalog.EndpointNotice:
    return catalog.EndpointNotice(pause=datetime.timedelta(seconds=seconds))


def _notify(
    gateway: parts.Gateway,
    endpoint_id: model.EndpointId,
    notice: catalog.EndpointNotice,
    incarnation: int | None = 1,
) -> list[_effects.GatewayEffect]:
    metadata = _calls.AnswerMetadata(None, True, False, notice=notice)
    return gateway.handle(
        _events.AnswerHeadReceived(endpoint_id, metadata, incarnation)
    )


def _register(gateway: parts.Gateway, **changes: typing.Any) -> None:
    """Register an endpoint with a higher sequence and the given changes."""
    registrations = [
        msgspec.structs.replace(registration, **{"sequence": 9, **changes})
        for registration in parts.make_registrations()
        if registration.endpoint_id in (_LOW, _LEDGER)
    ]
    gateway.receive(protocol.RegistrationsSeen(tuple(registrations)))
    # A new incarnation is not used at once, since it may still be starting.
    gateway.advance(600)


def _endpoints_of(
    gateway: parts.Gateway, path: str, count: int = 6
) -> set[model.EndpointId]:
    """Return the endpoints that some requests reach, as any stage."""
    used: set[model.EndpointId] = set()
    for _request in range(count):
        exchange_id, effects = gateway.send_request(path)
        for effect in effects:
            if not isinstance(effect, _effects.StartAttempt):
                continue
            used.add(effect.dispatch.endpoint_id)
            if effect.dispatch.pipeline is not None:
                used |= {
                    stage.endpoint_id
                    for stage in effect.dispatch.pipeline.stages
                }
    return used


_PATHS = pytest.mark.parametrize(
    ("path", "endpoint_id"), [("/draft/x", _LOW), ("/read/x", _LEDGER)]
)


class TestLeaving:
    @_PATHS
    def test_no_request_reaches_a_leaving_endpoint(
        self, path: str, endpoint_id: model.EndpointId
    ) -> None:
        gateway = parts.Gateway()
        assert endpoint_id in _endpoints_of(gateway, path)
        _notify(gateway, endpoint_id, _LEAVING)
        assert endpoint_id not in _endpoints_of(gateway, path)

    @_PATHS
    @pytest.mark.parametrize("sequence", [0, 1, 7])
    def test_no_request_reaches_an_endpoint_that_has_deregistered(
        self, path: str, endpoint_id: model.EndpointId, sequence: int
    ) -> None:
        """The control VM may know another registration (review/3)."""
        gateway = parts.Gateway()
        assert endpoint_id in _endpoints_of(gateway, path)
        (registration,) = (
            registration
            for registration in parts.make_registrations()
            if registration.endpoint_id == endpoint_id
        )
        gone = msgspec.structs.replace(
            registration,
            sequence=sequence,
            state=catalog.EndpointState.GONE,
        )
        gateway.receive(protocol.RegistrationsSeen((gone,)))
        assert endpoint_id not in _endpoints_of(gateway, path)

    @_PATHS
    def test_endpoint_that_deregistered_where_it_is_unknown_gets_no_request(
        self, path: str, endpoint_id: model.EndpointId
    ) -> None:
        gateway = parts.Gateway()
        assert endpoint_id in _endpoints_of(gateway, path)
        gateway.receive(protocol.EndpointDeregistered(endpoint_id))
        assert endpoint_id not in _endpoints_of(gateway, path)

    @_PATHS
    def test_it_stays_closed_while_it_registers_as_ready(
        self, path: str, endpoint_id: model.EndpointId
    ) -> None:
        """Some engines leave without ever registering as draining."""
        gateway = parts.Gateway()
        _notify(gateway, endpoint_id, _LEAVING)
        _register(gateway)
        gateway.advance(3000)
        _register(gateway, sequence=10)
        assert endpoint_id not in _endpoints_of(gateway, path)

    @_PATHS
    def test_it_stays_closed_without_control_vms_and_after_a_reload(
        self, path: str, endpoint_id: model.EndpointId
    ) -> None:
        gateway = parts.Gateway()
        _notify(gateway, endpoint_id, _LEAVING)
        control = model.VmId("control:1")
        gateway.handle(protocol.PeerDisconnected(control))
        assert gateway.reducer._connections.connected == set()
        gateway.handle(_events.SettingsReloaded(parts.make_settings()))
        gateway.advance(3500)
        assert endpoint_id not in _endpoints_of(gateway, path)

    @_PATHS
    def test_another_incarnation_gets_requests_again(
        self, path: str, endpoint_id: model.EndpointId
    ) -> None:
        gateway = parts.Gateway()
        _notify(gateway, endpoint_id, _LEAVING)
        _register(gateway, incarnation=2)
        assert endpoint_id in _endpoints_of(gateway, path)

    def test_another_endpoint_at_the_address_gets_requests(self) -> None:
        gateway = parts.Gateway()
        _notify(gateway, _LEDGER, _LEAVING)
        _register(
            gateway,
            endpoint_id=model.EndpointId("ledger-3"),
            service=model.ServiceName("ledger"),
            layers=None,
            address="ledger-1:80",
            incarnation=5,
        )
        assert "ledger-3" in _endpoints_of(gateway, "/read/x")

    def test_notice_of_an_earlier_incarnation_does_not_close_a_later_one(
        self,
    ) -> None:
        """The answer to the last of several requests comes after a restart."""
        gateway = parts.Gateway()
        _register(gateway, incarnation=2)
        _notify(gateway, _LOW, _LEAVING, incarnation=1)
        assert _LOW in _endpoints_of(gateway, "/draft/x")

    def test_request_that_came_before_is_not_sent_there_again(self) -> None:
        gateway = parts.Gateway()
        exchange_id, effects = gateway.send_request("/read/x")
        first = parts.get_effect(effects, _effects.StartAttempt).dispatch
        other = next(
            name
            for name in ("ledger-1", "ledger-2")
            if name != first.endpoint_id
        )
        _notify(gateway, model.EndpointId(other), _LEAVING)
        effects = gateway.end_attempt(exchange_id, _Outcome.NOT_SENT)
        assert parts.has_no_effect(effects, _effects.StartAttempt)
        parts.get_effect(effects, _effects.FailExchange)

    def test_stream_under_way_goes_on(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x")
        gateway.handle(_events.OutputStarted(exchange_id))
        effects = _notify(gateway, _LOW, _LEAVING)
        assert parts.has_no_effect(effects, _effects.CancelAttempt)
        assert parts.has_no_effect(effects, _effects.Reroute)
        gateway.end_attempt(exchange_id, _Outcome.ANSWERED)

    def test_control_vms_are_told_once(self) -> None:
        gateway = parts.Gateway()
        message = protocol.EndpointLeaving(_LOW, 1)
        sent = parts.get_effect(
            _notify(gateway, _LOW, _LEAVING), _effects.SendMessage
        )
        assert sent.message == message
        assert _notify(gateway, _LOW, _LEAVING) == []

    def test_word_of_another_vm_closes_the_endpoint(self) -> None:
        gateway = parts.Gateway()
        gateway.receive(protocol.EndpointLeaving(_LOW, 1))
        assert _LOW not in _endpoints_of(gateway, "/draft/x")

    def test_memory_is_bounded(self) -> None:
        restrictions = catalog.EndpointRestrictions()
        for number in range(10_000):
            endpoint_id = model.EndpointId(str(number))
            restrictions.record_leaving(endpoint_id, 1)
            restrictions.record_pause(
                endpoint_id, 1, datetime.timedelta(days=1), parts.START
            )
            restrictions.record_malformed(endpoint_id, 1)
        assert len(restrictions._leaving) == 4096
        assert len(restrictions._pauses) == 4096
        assert len(restrictions._malformed) == 4096
        assert restrictions.is_leaving(model.EndpointId("9999"), 1)


class TestPauses:
    @_PATHS
    @pytest.mark.parametrize("seconds", [0.6, 3, 3.25])
    def test_no_request_reaches_an_endpoint_until_its_pause_ends(
        self, path: str, endpoint_id: model.EndpointId, seconds: float
    ) -> None:
        gateway = parts.Gateway()
        _notify(gateway, endpoint_id, _pause(seconds))
        assert endpoint_id not in _endpoints_of(gateway, path)
        gateway.advance(seconds * 1000 - 50)
        assert endpoint_id not in _endpoints_of(gateway, path, 1)
        gateway.advance(100)
        assert endpoint_id in _endpoints_of(gateway, path)

    def test_shorter_pause_does_not_end_a_longer_one(self) -> None:
        gateway = parts.Gateway()
        _notify(gateway, _LEDGER, _pause(3))
        _notify(gateway, _LEDGER, _pause(0.5))
        gateway.advance(1000)
        assert _LEDGER not in _endpoints_of(gateway, "/read/x")

    def test_pause_of_no_length_has_no_effect(self) -> None:
        gateway = parts.Gateway()
        _notify(gateway, _LEDGER, _pause(0))
        assert _LEDGER in _endpoints_of(gateway, "/read/x")

    @pytest.mark.parametrize("path", ["/draft/x", "/read/x"])
    def test_callers_are_told_when_the_first_pause_ends(
        self, path: str
    ) -> None:
        """All endpoints of the service want no requests."""
        gateway = parts.Gateway()
        for number, registration in enumerate(parts.make_registrations()):
            _notify(gateway, registration.endpoint_id, _pause(2 + number / 10))
        gateway.advance(500)
        _, effects = gateway.send_request(path)
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.http_status == 503
        assert failure.retry_after is not None
        assert 1.4 < failure.retry_after.total_seconds() < 2

    def test_endpoint_in_a_pause_is_not_suspected(self) -> None:
        gateway = parts.Gateway()
        exchange_id, effects = gateway.send_request("/read/x")
        used = parts.get_effect(effects, _effects.StartAttempt).dispatch
        _notify(gateway, used.endpoint_id, _pause(0.3))
        gateway.end_attempt(exchange_id, _Outcome.NOT_RUN)
        gateway.advance(350)
        assert used.endpoint_id in _endpoints_of(gateway, "/read/x")

    def test_unreadable_pause_is_logged_once(self) -> None:
        gateway = parts.Gateway()
        notice = catalog.EndpointNotice(malformed_pause="soon")
        line = parts.get_effect(
            _notify(gateway, _LOW, notice), _effects.WriteLog
        ).line
        assert line.definition.name == "pause_unreadable"
        assert _notify(gateway, _LOW, notice) == []
        assert _LOW in _endpoints_of(gateway, "/draft/x")
