"""Tests of requests that crash their endpoints."""

from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_Outcome = _events.AttemptOutcome


class TestCrashes:
    def _crash(self, gateway: parts.Gateway, incarnation: int) -> bool:
        """Let a request crash the first ledger; return if it was run."""
        one, effects = gateway.arrive("/read/x")
        if parts.none(effects, _effects.StartAttempt):
            return False
        start = parts.only(effects, _effects.StartAttempt)
        name = start.dispatch.endpoint_id
        gateway.end(one, _Outcome.UNKNOWN)
        gateway.handle(_events.CallerDisconnected(one))
        gateway.tell(protocol.EndpointLost(name, incarnation))
        reborn = parts.endpoint(name, "ledger", incarnation=incarnation + 1)
        gateway.tell(protocol.RegistrationsSeen((reborn,)))
        gateway.advance(2000)
        return True

    def test_run_no_more_after_three_deaths(self) -> None:
        gateway = parts.Gateway((parts.endpoint("ledger-1", "ledger"),))
        runs = [self._crash(gateway, turn) for turn in range(1, 7)]
        assert runs == [True, True, True, False, False, False]

    def test_deaths_that_other_entries_saw_count(self) -> None:
        gateway = parts.Gateway()
        one, _ = gateway.arrive("/read/x")
        exchange = gateway.reducer._state.exchanges[one]
        fingerprint = exchange.request.fingerprint
        for name in ("a", "b", "c"):
            endpoint_id = model.EndpointId(name)
            gateway.tell(protocol.CrashWitnessed(fingerprint, endpoint_id, 1))
        _, effects = gateway.arrive("/read/x")
        failure = parts.only(effects, _effects.FailExchange).failure
        assert failure.code == "request_quarantined"

    def test_one_death_names_all_aboard_but_bars_none(self) -> None:
        gateway = parts.Gateway()
        for path in ("/read/x", "/read/y"):
            one, effects = gateway.arrive(path)
            name = parts.only(effects, _effects.StartAttempt).dispatch
            gateway.end(one, _Outcome.UNKNOWN)
        gateway.tell(protocol.EndpointLost(name.endpoint_id, 1))
        _, effects = gateway.arrive("/read/x")
        parts.only(effects, _effects.StartAttempt)
