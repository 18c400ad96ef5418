"""Tests of requests that are ended since their memory is needed."""

import pytest

from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import errors

_Outcome = _events.AttemptOutcome


def _evict(
    gateway: parts.Gateway, exchange_id: int
) -> list[_effects.GatewayEffect]:
    return gateway.handle(_events.RequestEvicted(exchange_id))


class TestEviction:
    @pytest.mark.parametrize("path", ["/post/x", "/read/x"])
    def test_request_that_was_sent_is_not_called_not_run(
        self, path: str
    ) -> None:
        gateway = parts.Gateway()
        exchange_id, effects = gateway.send_request(path)
        parts.get_effect(effects, _effects.StartAttempt)
        effects = _evict(gateway, exchange_id)
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.outcome is errors.Outcome.UNKNOWN
        assert failure.http_status == 502

    def test_request_that_waits_is_refused_as_not_run(self) -> None:
        gateway = parts.Gateway(())
        exchange_id, effects = gateway.send_request("/post/x")
        assert not [e for e in effects if isinstance(e, _effects.StartAttempt)]
        failures = [e for e in effects if isinstance(e, _effects.FailExchange)]
        assert not failures
        effects = _evict(gateway, exchange_id)
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.outcome is errors.Outcome.NOT_RUN
        assert failure.http_status == 503 and failure.retry_after is not None
        assert not [
            effect
            for effect in gateway.advance(5000)
            if isinstance(effect, _effects.FailExchange)
        ]

    def test_request_that_no_endpoint_has_got_is_refused_as_not_run(
        self,
    ) -> None:
        gateway = parts.Gateway()
        exchange_id, _effects_ = gateway.send_request("/post/x")
        for _attempt in range(2):
            gateway.end_attempt(
                exchange_id,
                _Outcome.NOT_SENT,
                link_failure=_events.LinkFailure.DIRECT,
            )
        effects = _evict(gateway, exchange_id)
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.outcome is errors.Outcome.NOT_RUN

    def test_request_that_has_ended_meanwhile_gets_its_end(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/post/x")
        gateway.end_attempt(exchange_id, _Outcome.ANSWERED)
        effects = _evict(gateway, exchange_id)
        parts.get_effect(effects, _effects.FinishExchange)
