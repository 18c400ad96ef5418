"""Tests of the quarantine of requests that crash their endpoints."""

from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_Outcome = _events.AttemptOutcome


class TestQuarantine:
    def _crash(self, gateway: parts.Gateway, incarnation: int) -> bool:
        """Let a request crash the first ledger; return whether it was run."""
        exchange_id, effects = gateway.send_request("/read/x")
        if parts.has_no_effect(effects, _effects.StartAttempt):
            return False
        start = parts.get_effect(effects, _effects.StartAttempt)
        name = start.dispatch.endpoint_id
        gateway.end_attempt(exchange_id, _Outcome.UNKNOWN)
        gateway.handle(_events.CallerDisconnected(exchange_id))
        gateway.receive(protocol.EndpointLost(name, incarnation))
        restarted = parts.make_registration(
            name, "ledger", incarnation=incarnation + 1
        )
        gateway.receive(protocol.RegistrationsSeen((restarted,)))
        gateway.advance(2000)
        return True

    def test_request_is_rejected_after_three_crashes(self) -> None:
        gateway = parts.Gateway(
            (parts.make_registration("ledger-1", "ledger"),)
        )
        runs = [
            self._crash(gateway, incarnation) for incarnation in range(1, 7)
        ]
        assert runs == [True, True, True, False, False, False]

    def test_crashes_reported_by_other_entry_vms_count(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/read/x")
        exchange = gateway.reducer._state.exchanges[exchange_id]
        fingerprint = exchange.request.fingerprint
        for name in ("a", "b", "c"):
            endpoint_id = model.EndpointId(name)
            gateway.advance(200)
            gateway.receive(
                protocol.CrashWitnessed(fingerprint, endpoint_id, 1)
            )
        _, effects = gateway.send_request("/read/x")
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.code == "request_quarantined"

    def test_one_crash_rejects_no_request_in_flight(self) -> None:
        gateway = parts.Gateway()
        for path in ("/read/x", "/read/y"):
            exchange_id, effects = gateway.send_request(path)
            dispatch = parts.get_effect(
                effects, _effects.StartAttempt
            ).dispatch
            gateway.end_attempt(exchange_id, _Outcome.UNKNOWN)
        gateway.receive(protocol.EndpointLost(dispatch.endpoint_id, 1))
        _, effects = gateway.send_request("/read/x")
        parts.get_effect(effects, _effects.StartAttempt)
