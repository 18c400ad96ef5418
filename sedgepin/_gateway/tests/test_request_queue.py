"""Tests of load beyond the capacity of the engines.

Each class replays one load pattern.  The model has two replicas, whose
engines cache 1000 tokens each (see ``parts``).
"""

from sedgepin._gateway import _calls
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_Outcome = _events.AttemptOutcome


def _fill(gateway: parts.Gateway, tokens: int = 100) -> list[int]:
    """Send requests until the engines are full; return the running ones."""
    running: list[int] = []
    for _request in range(100):
        exchange_id, effects = gateway.send_request("/draft/x", tokens=tokens)
        if parts.has_no_effect(effects, _effects.StartAttempt):
            gateway.handle(_events.CallerDisconnected(exchange_id))
            return running
        running.append(exchange_id)
    raise AssertionError("the engines never filled up")


class TestBurst:
    """Twice as many simultaneous requests as the caches can hold."""

    def test_caches_are_filled_but_not_overfilled(self) -> None:
        gateway = parts.Gateway()
        running = _fill(gateway)
        assert 16 <= len(running) <= 20

    def test_request_is_rejected_at_once_while_none_finishes(self) -> None:
        gateway = parts.Gateway()
        _fill(gateway)
        _, effects = gateway.send_request("/draft/x", tokens=100)
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.http_status == 503
        assert failure.retry_after is not None

    def test_request_waits_while_others_finish_fast_enough(self) -> None:
        gateway = parts.Gateway()
        running = _fill(gateway)
        for _step in range(15):
            gateway.now += parts.milliseconds(100)
            gateway.end_attempt(running.pop(0), _Outcome.ANSWERED)
            exchange_id, effects = gateway.send_request("/draft/x", tokens=100)
            parts.get_effect(effects, _effects.StartAttempt)
            running.append(exchange_id)
        waiting, effects = gateway.send_request("/draft/x", tokens=100)
        assert parts.has_no_effect(effects, _effects.FailExchange)
        effects = gateway.end_attempt(running.pop(0), _Outcome.ANSWERED)
        start = parts.get_effect(effects, _effects.StartAttempt)
        assert start.exchange_id == waiting

    def test_waiting_request_fails_once_it_would_be_late(self) -> None:
        gateway = parts.Gateway()
        running = _fill(gateway)
        for _step in range(15):
            gateway.now += parts.milliseconds(100)
            gateway.end_attempt(running.pop(0), _Outcome.ANSWERED)
            exchange_id, _ = gateway.send_request("/draft/x", tokens=100)
            running.append(exchange_id)
        waiting, _ = gateway.send_request("/draft/x", tokens=100)
        effects = gateway.advance(450)
        assert (
            parts.get_effect(effects, _effects.FailExchange).exchange_id
            == waiting
        )


class _FullGateway:
    """A gateway whose engines are full and answer 10 requests per second."""

    def __init__(self) -> None:
        self.gateway = parts.Gateway()
        self._running = _fill(self.gateway)
        self.serve(20)
        while self._send_request() is None:
            continue

    def serve(self, count: int) -> None:
        """Finish ``count`` requests, each replaced by a new one."""
        for _step in range(count):
            self.gateway.now += parts.milliseconds(100)
            self.gateway.end_attempt(self._running.pop(0), _Outcome.ANSWERED)
            exchange_id, _ = self.gateway.send_request("/draft/x", tokens=100)
            self._running.append(exchange_id)

    def drain_and_refill(self) -> None:
        """Finish all running requests, then fill the engines again."""
        while self._running:
            self.gateway.now += parts.milliseconds(100)
            self.gateway.end_attempt(self._running.pop(0), _Outcome.ANSWERED)
        self._running = _fill(self.gateway)

    def retry_delays(self, count: int) -> list[float]:
        """Return the ``retry_after`` of rejected requests, in milliseconds."""
        delays: list[float] = []
        while len(delays) < count:
            milliseconds = self._send_request()
            if milliseconds is not None:
                delays.append(milliseconds)
        return delays

    def _send_request(self) -> float | None:
        """Send a request; return its retry delay in ms if it is rejected."""
        _, effects = self.gateway.send_request("/draft/x", tokens=100)
        if parts.has_no_effect(effects, _effects.FailExchange):
            return None
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.retry_after is not None
        return failure.retry_after.total_seconds() * 1000


class TestRetryAfter:
    """Delays for the callers of rejected requests during a burst.

    In a simulated burst of 5 s, callers were asked to retry within 2 s.  Most
    rejected requests were then retries, and callers retry only once.
    """

    def test_retries_are_spaced_by_the_departure_interval(self) -> None:
        delays = _FullGateway().retry_delays(3)
        steps = [
            later - earlier
            for earlier, later in zip(delays, delays[1:], strict=False)
        ]
        assert all(step >= 100 for step in steps), delays

    def test_delays_are_no_longer_than_callers_accept(self) -> None:
        delays = _FullGateway().retry_delays(60)
        # Callers accept up to a third of the 4 s until their deadline.
        assert max(delays) <= 4000 / 3
        assert delays[-1] > 1000

    def test_delays_are_short_again_after_the_burst(self) -> None:
        full = _FullGateway()
        full.retry_delays(60)
        full.drain_and_refill()
        assert full.retry_delays(1)[0] < 1000


class TestRefusalForMemory:
    """Engines that refuse requests for lack of memory are not suspected."""

    def test_full_engine_that_refuses_is_not_suspected(self) -> None:
        gateway = parts.Gateway()
        running = _fill(gateway)
        gateway.end_attempt(
            running[-1], _Outcome.NOT_RUN, faulty_address="high:80"
        )
        fleet = gateway.reducer._state.fleet
        assert not fleet.is_suspected(model.EndpointId("high"), gateway.now)

    def test_engine_that_refuses_is_not_retried_at_once(self) -> None:
        """One request was once refused four times within 30 ms."""
        gateway = parts.Gateway()
        exchange_id, effects = gateway.send_request("/draft/x")
        first = parts.get_effect(effects, _effects.StartAttempt).dispatch
        effects = gateway.end_attempt(exchange_id, _Outcome.NOT_RUN)
        second = parts.get_effect(effects, _effects.StartAttempt).dispatch
        assert {first.endpoint_id, second.endpoint_id} == {"low", "far-low"}

    def test_first_engine_that_refuses_is_used_again_after_300_ms(
        self,
    ) -> None:
        gateway = parts.Gateway()
        exchange_id, effects = gateway.send_request("/draft/x")
        gateway.end_attempt(exchange_id, _Outcome.NOT_RUN)
        fleet = gateway.reducer._state.fleet
        assert not fleet.is_suspected(model.EndpointId("low"), gateway.now)
        gateway.advance(300)
        _, effects = gateway.send_request("/draft/x")
        start = parts.get_effect(effects, _effects.StartAttempt)
        assert start.dispatch.endpoint_id == "low"

    def test_request_fails_if_every_first_engine_refuses(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x")
        gateway.end_attempt(exchange_id, _Outcome.NOT_RUN)
        effects = gateway.end_attempt(exchange_id, _Outcome.NOT_RUN)
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.http_status == 503
        assert failure.retry_after is not None

    def test_engine_without_free_slots_is_avoided(self) -> None:
        gateway = parts.Gateway()
        metadata = _calls.AnswerMetadata(
            None, True, False, running=8, waiting=1, slots=8
        )
        reported = _events.AnswerHeadReceived(
            model.EndpointId("low"), metadata
        )
        gateway.handle(reported)
        _, effects = gateway.send_request("/draft/x")
        start = parts.get_effect(effects, _effects.StartAttempt)
        assert start.dispatch.endpoint_id == "far-low"

    def test_empty_engine_that_refuses_is_suspected(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x")
        gateway.end_attempt(
            exchange_id, _Outcome.NOT_RUN, faulty_address="high:80"
        )
        fleet = gateway.reducer._state.fleet
        assert fleet.is_suspected(model.EndpointId("high"), gateway.now)


class TestSlowEngines:
    """Requests avoid engines that report a slowdown."""

    def test_slow_engine_is_avoided_until_it_recovers(self) -> None:
        gateway = parts.Gateway()
        low = model.EndpointId("low")
        for slowdown, expected in ((12.0, "far-low"), (1.0, "low")):
            gateway.receive(protocol.EndpointPaced(low, 1, slowdown))
            _, effects = gateway.send_request("/draft/x")
            start = parts.get_effect(effects, _effects.StartAttempt)
            assert start.dispatch.endpoint_id == expected

    def test_slow_engine_is_used_without_an_alternative(self) -> None:
        gateway = parts.Gateway(parts.make_registrations()[:2])
        paced = protocol.EndpointPaced(model.EndpointId("low"), 1, 12.0)
        gateway.receive(paced)
        _, effects = gateway.send_request("/draft/x")
        parts.get_effect(effects, _effects.StartAttempt)


class TestLoadOfOtherEntries:
    """The load from other entry VMs counts as well."""

    def test_engines_filled_by_other_entry_vms_are_avoided(self) -> None:
        gateway = parts.Gateway()
        loads = tuple(
            protocol.EndpointLoad(model.EndpointId(name), 9, 950)
            for name in ("low", "high")
        )
        gateway.receive(protocol.LoadSummed(loads))
        gateway.advance(200)
        _, effects = gateway.send_request("/draft/x", tokens=100)
        start = parts.get_effect(effects, _effects.StartAttempt)
        assert start.dispatch.endpoint_id == "far-low"
