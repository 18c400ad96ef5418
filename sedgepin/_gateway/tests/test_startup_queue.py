"""Tests of requests that reach a VM which has just started.

After a power loss of all machines, callers whose streams were cut retried
once, were refused by machines that knew no configuration yet, and were lost:
229 of 332 in two seconds, with no event in time in the next two.
"""

import pytest

from sedgepin import _catalog as catalog
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _protocol as protocol

_PATHS = pytest.mark.parametrize("path", ["/draft/x", "/read/x"])


def _start(knows_routes: bool = False) -> parts.Gateway:
    """Return a gateway that knows no endpoints yet."""
    gateway = parts.Gateway(())
    if not knows_routes:
        gateway.reducer._state.table = None
    return gateway


def _learn_endpoints(gateway: parts.Gateway) -> None:
    gateway.receive(protocol.RegistrationsSeen(parts.make_registrations()))


class TestStartupQueue:
    @_PATHS
    @pytest.mark.parametrize("knows_routes", [False, True])
    def test_request_is_sent_once_routes_and_endpoints_are_known(
        self, path: str, knows_routes: bool
    ) -> None:
        gateway = _start(knows_routes)
        _, effects = gateway.send_request(path)
        assert parts.has_no_effect(effects, _effects.FailExchange)
        assert gateway.reducer.has_queued_requests
        if not knows_routes:
            raw = catalog.encode(parts.make_configuration(1))
            gateway.receive(protocol.ConfigurationPublished(1, True, raw))
        assert parts.has_no_effect(gateway.advance(300), _effects.StartAttempt)
        _learn_endpoints(gateway)
        effects = gateway.advance(50)
        start = parts.get_effect(effects, _effects.StartAttempt)
        # The time that the request waited counts.
        assert start.dispatch.time_left == parts.milliseconds(3650)
        assert not gateway.reducer.has_queued_requests

    @_PATHS
    @pytest.mark.parametrize("knows_routes", [False, True])
    def test_request_is_refused_as_not_run_when_its_time_is_over(
        self, path: str, knows_routes: bool
    ) -> None:
        """Callers of the tests allow 4 s, and three tenths of it."""
        gateway = _start(knows_routes)
        gateway.send_request(path)
        assert parts.has_no_effect(
            gateway.advance(1150), _effects.FailExchange
        )
        effects = gateway.advance(100)
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.http_status == 503
        assert failure.retry_after == parts.milliseconds(1000)

    def test_requests_are_sent_in_the_order_of_arrival(self) -> None:
        gateway = _start(knows_routes=True)
        sent = [gateway.send_request("/read/x")[0] for _ in range(3)]
        _learn_endpoints(gateway)
        started = [
            effect.exchange_id
            for effect in gateway.advance(50)
            if isinstance(effect, _effects.StartAttempt)
        ]
        assert started == sent

    def test_caller_that_leaves_is_forgotten_and_logged(self) -> None:
        gateway = _start()
        exchange_id, _ = gateway.send_request("/read/x")
        effects = gateway.handle(_events.CallerDisconnected(exchange_id))
        line = parts.get_effect(effects, _effects.WriteLog).line
        assert line.definition.name == "caller_left"
        assert not gateway.reducer.has_queued_requests

    def test_request_that_this_vm_cuts_is_not_laid_on_the_caller(
        self,
    ) -> None:
        gateway = _start()
        exchange_id, _ = gateway.send_request("/read/x")
        cut = _events.CallerDisconnected(exchange_id, is_by_caller=False)
        assert not gateway.handle(cut)
        assert not gateway.reducer.has_queued_requests

    def test_request_after_the_start_is_refused_at_once(self) -> None:
        gateway = _start()
        gateway.advance(4000)
        _, effects = gateway.send_request("/read/x")
        parts.get_effect(effects, _effects.FailExchange)

    def test_request_without_a_route_is_refused_at_once(self) -> None:
        gateway = _start(knows_routes=True)
        _, effects = gateway.send_request("/nowhere/x")
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.code == "route_unknown"
