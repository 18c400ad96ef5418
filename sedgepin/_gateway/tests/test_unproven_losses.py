"""Tests of requests whose endpoints are silent, or have ended unnoticed."""

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
_Effects = list[_effects.GatewayEffect]
_LOW = model.EndpointId("low")
_HIGH = model.EndpointId("high")
_ONE_PIPELINE = parts.make_registrations()[:2]
_NAMES = tuple(model.EndpointId(name) for name in "abcde")
_REPLICAS = (
    *(parts.make_registration(name, "model", parts.LOW) for name in _NAMES),
    parts.make_registration("high", "model", parts.HIGH),
)


def _make_gateway(
    registrations: tuple[catalog.Registration, ...] | None = None,
    **changes: object,
) -> parts.Gateway:
    """Return a gateway whose first route, ``draft``, has other settings."""
    gateway = parts.Gateway(registrations)
    configuration = parts.make_configuration(2)
    draft, *others = configuration.routes
    draft = msgspec.structs.replace(draft, **changes)
    raw = catalog.encode(
        msgspec.structs.replace(configuration, routes=(draft, *others))
    )
    gateway.receive(protocol.ConfigurationPublished(2, True, raw))
    return gateway


def _silence(gateway: parts.Gateway, name: str) -> _Effects:
    """Let a first engine not answer an inspection."""
    endpoint_id = model.EndpointId(name)
    return gateway.handle(_events.StallsInspected(endpoint_id, None))


def _end_cancelled(
    gateway: parts.Gateway, exchange_id: int, effects: _Effects
) -> _Effects:
    """End the attempt as cancelled if it is, and return what follows."""
    if parts.has_no_effect(effects, _effects.CancelAttempt):
        return effects
    return gateway.end_attempt(exchange_id, _Outcome.CANCELLED)


def _first_engine(effects: _Effects) -> model.EndpointId:
    start = parts.get_effect(effects, _effects.StartAttempt)
    return start.dispatch.endpoint_id


def _spend_budget(gateway: parts.Gateway, path: str) -> None:
    exchange_id, _ = gateway.send_request(path)
    exchange = gateway.reducer._state.exchanges[exchange_id]
    budget = gateway.reducer._state.retry_budget
    while budget.try_spend(exchange.service.name, gateway.now):
        pass
    gateway.end_attempt(exchange_id, _Outcome.ANSWERED)


class TestNoOtherEndpoint:
    """A request is not taken from a silent endpoint to go nowhere."""

    def test_request_waits_for_the_only_first_engine(self) -> None:
        gateway = parts.Gateway(_ONE_PIPELINE)
        exchange_id, _ = gateway.send_request("/draft/x")
        effects = _silence(gateway, "low")
        effects = _end_cancelled(gateway, exchange_id, effects)
        assert parts.has_no_effect(effects, _effects.FailExchange)

    def test_request_waits_for_the_only_later_stage(self) -> None:
        gateway = parts.Gateway(_ONE_PIPELINE)
        exchange_id, _ = gateway.send_request("/draft/x")
        report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
        effects = gateway.handle(_events.StallsInspected(_LOW, report))
        effects = _end_cancelled(gateway, exchange_id, effects)
        assert parts.has_no_effect(effects, _effects.FailExchange)

    def test_started_stream_outlasts_a_loss_by_silence(self) -> None:
        """Heartbeats come every 1.2 s, and count 0.9 s after a loss."""
        gateway = parts.Gateway(_ONE_PIPELINE)
        exchange_id, _ = gateway.send_request("/draft/x")
        gateway.handle(_events.OutputStarted(exchange_id))
        effects = gateway.receive(protocol.EndpointLost(_LOW, 1, True))
        effects = _end_cancelled(gateway, exchange_id, effects)
        for passed_milliseconds in range(100, 2200, 100):
            assert parts.has_no_effect(effects, _effects.FailExchange)
            effects = gateway.advance(100)
            if passed_milliseconds in (800, 2000):
                heard = protocol.RegistrationsSeen(heard=(_LOW, _HIGH))
                effects += gateway.receive(heard)

    def test_request_waits_if_the_other_engines_are_full(self) -> None:
        gateway = parts.Gateway()
        exchange_id, effects = gateway.send_request("/draft/x")
        assert _first_engine(effects) == "low"
        full = tuple(
            protocol.EndpointLoad(model.EndpointId(name), 50, 5000)
            for name in ("far-low", "far-high")
        )
        gateway.receive(protocol.LoadSummed(full, knows_leader=True))
        effects = _silence(gateway, "low")
        effects = _end_cancelled(gateway, exchange_id, effects)
        assert parts.has_no_effect(effects, _effects.FailExchange)

    def test_call_waits_for_the_only_endpoint_of_a_service(self) -> None:
        gateway = parts.Gateway((parts.make_registration("one", "ledger"),))
        exchange_id, _ = gateway.send_request("/read/x")
        effects = gateway.handle(_events.AnswerHeadLate(exchange_id))
        assert parts.has_no_effect(effects, _effects.CancelAttempt)
        assert parts.has_no_effect(effects, _effects.FailExchange)
        # Another endpoint comes up, and the answer is late still.
        other = parts.make_registration("two", "ledger")
        gateway.receive(protocol.RegistrationsSeen((other,)))
        effects = gateway.handle(_events.AnswerHeadLate(exchange_id))
        effects = _end_cancelled(gateway, exchange_id, effects)
        assert _first_engine(effects) == "two"


class TestNoRetryInTheBudget:
    def test_call_waits_for_its_endpoint(self) -> None:
        gateway = parts.Gateway()
        _spend_budget(gateway, "/read/x")
        exchange_id, _ = gateway.send_request("/read/x")
        effects = gateway.handle(_events.AnswerHeadLate(exchange_id))
        assert parts.has_no_effect(effects, _effects.CancelAttempt)
        assert parts.has_no_effect(effects, _effects.FailExchange)

    def test_budget_is_asked_when_the_answer_is_late(self) -> None:
        gateway = parts.Gateway()
        exchange_id, effects = gateway.send_request("/read/x")
        start = parts.get_effect(effects, _effects.StartAttempt)
        assert start.answer_timeout is not None
        _spend_budget(gateway, "/read/x")
        effects = gateway.handle(_events.AnswerHeadLate(exchange_id))
        assert parts.has_no_effect(effects, _effects.CancelAttempt)

    def test_stream_waits_for_its_engine(self) -> None:
        gateway = parts.Gateway()
        _spend_budget(gateway, "/draft/x")
        exchange_id, _ = gateway.send_request("/draft/x")
        effects = _silence(gateway, "low")
        effects = _end_cancelled(gateway, exchange_id, effects)
        assert parts.has_no_effect(effects, _effects.FailExchange)


class TestReservedRetry:
    def test_refusal_of_a_cancelled_attempt_uses_it(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x")
        budget = gateway.reducer._state.retry_budget
        parts.get_effect(_silence(gateway, "low"), _effects.CancelAttempt)
        while budget.try_spend(model.ServiceName("model"), gateway.now):
            pass
        effects = gateway.end_attempt(exchange_id, _Outcome.NOT_RUN)
        parts.get_effect(effects, _effects.StartAttempt)

    def test_it_is_returned_if_the_attempt_is_answered(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x")
        _silence(gateway, "low")
        gateway.end_attempt(exchange_id, _Outcome.ANSWERED)
        counts = gateway.reducer._state.retry_budget.counts(gateway.now)
        assert [count.repeats for count in counts] == [0]

    def test_it_is_returned_if_the_caller_leaves(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x")
        parts.get_effect(_silence(gateway, "low"), _effects.CancelAttempt)
        gateway.handle(_events.CallerDisconnected(exchange_id))
        counts = gateway.reducer._state.retry_budget.counts(gateway.now)
        assert [count.repeats for count in counts] == [0]


class TestWordOfAnotherEngine:
    def test_stream_of_an_accused_first_engine_is_not_cancelled(self) -> None:
        """Only the link between the two engines may be cut."""
        larger = parts.make_registration(
            "larger", "model", model.LayerRange(0, 3)
        )
        last = parts.make_registration("last", "model", model.LayerRange(3, 4))
        gateway = parts.Gateway((larger, last))
        exchange_id, effects = gateway.send_request("/draft/x")
        assert _first_engine(effects) == "larger"
        gateway.handle(_events.OutputStarted(exchange_id))
        gateway.receive(protocol.RegistrationsSeen(_ONE_PIPELINE))
        gateway.receive(protocol.EndpointPaced(larger.endpoint_id, 1, 9.0))
        _, effects = gateway.send_request("/draft/x")
        assert _first_engine(effects) == "low"
        report = _calls.StallReport((_calls.Stall("r2", "larger:80"),))
        effects = gateway.handle(_events.StallsInspected(_LOW, report))
        cancelled = [
            effect.exchange_id
            for effect in effects
            if isinstance(effect, _effects.CancelAttempt)
        ]
        assert exchange_id not in cancelled
        inspect = parts.get_effect(effects, _effects.InspectStalls)
        assert inspect.endpoint_id == "larger"
        # It does not answer this VM either.
        effects = _silence(gateway, "larger")
        cancel = parts.get_effect(effects, _effects.CancelAttempt)
        assert cancel.exchange_id == exchange_id


class TestLateRerouteResult:
    def test_it_does_not_end_a_later_attempt(self) -> None:
        gateway = _make_gateway(max_attempts=3)
        exchange_id, _ = gateway.send_request("/draft/x")
        gateway.handle(_events.OutputStarted(exchange_id))
        gateway.handle(
            _events.StallsInspected(
                _LOW, _calls.StallReport((_calls.Stall("r1", "high:80"),))
            )
        )
        # The first engine answers neither this order nor an inspection.
        effects = _silence(gateway, "low")
        effects = _end_cancelled(gateway, exchange_id, effects)
        assert _first_engine(effects) == "far-low"
        gateway.advance(501)
        effects = gateway.handle(
            _events.StallsInspected(
                model.EndpointId("far-low"),
                _calls.StallReport((_calls.Stall("r1", "far-high:80"),)),
            )
        )
        reroute = parts.get_effect(effects, _effects.Reroute)
        effects = gateway.handle(_events.Rerouted(exchange_id, False))
        assert parts.has_no_effect(effects, _effects.CancelAttempt)
        # The result for the later one still counts.
        rerouted = _events.Rerouted(
            exchange_id, False, attempt=reroute.attempt
        )
        parts.get_effect(gateway.handle(rerouted), _effects.CancelAttempt)

    @pytest.mark.parametrize("outcome", [_Outcome.UNKNOWN, _Outcome.NOT_RUN])
    def test_it_does_nothing_to_a_request_that_waits(
        self, outcome: _events.AttemptOutcome
    ) -> None:
        gateway = _make_gateway(max_attempts=2)
        exchange_id, _ = gateway.send_request("/draft/x")
        gateway.handle(_events.OutputStarted(exchange_id))
        report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
        gateway.handle(_events.StallsInspected(_LOW, report))
        full = tuple(
            protocol.EndpointLoad(model.EndpointId(name), 50, 5000)
            for name in ("low", "high", "far-low", "far-high")
        )
        gateway.receive(protocol.LoadSummed(full, knows_leader=True))
        gateway.end_attempt(exchange_id, outcome)
        assert gateway.reducer.has_queued_requests
        exchange = gateway.reducer._state.exchanges[exchange_id]
        assert (exchange.dispatch, exchange.is_rerouting) == (None, True)
        assert gateway.handle(_events.Rerouted(exchange_id, False)) == []


class TestProofOfAnEnd:
    """What is known of an end stays known, and ends what waits for it."""

    def _run_on_low(self, gateway: parts.Gateway) -> int:
        """Return a stream that was moved off ``low`` by its silence."""
        exchange_id, effects = gateway.send_request("/draft/x")
        assert _first_engine(effects) == "low"
        gateway.handle(_events.OutputStarted(exchange_id))
        effects = _silence(gateway, "low")
        _end_cancelled(gateway, exchange_id, effects)
        return exchange_id

    def _run_count(self, gateway: parts.Gateway, exchange_id: int) -> int:
        state = gateway.reducer._state
        return state.run_count(state.exchanges[exchange_id])

    def test_connection_of_a_control_vm_is_no_sign_of_life(self) -> None:
        gateway = parts.Gateway()
        exchange_id = self._run_on_low(gateway)
        gateway.receive(protocol.EndpointLost(_LOW, 1, has_ended=True))
        assert self._run_count(gateway, exchange_id) == 0
        gateway.advance(1000)
        # A control VM sends all registrations that it has, once connected.
        gateway.receive(protocol.RegistrationsSeen(parts.make_registrations()))
        assert self._run_count(gateway, exchange_id) == 0

    def test_heartbeat_from_before_a_takeover_is_no_sign_of_life(
        self,
    ) -> None:
        gateway = parts.Gateway()
        exchange_id = self._run_on_low(gateway)
        successor = parts.make_registration(
            "next", "model", None, incarnation=2, address="low:80"
        )
        gateway.receive(protocol.RegistrationsSeen((successor,)))
        assert self._run_count(gateway, exchange_id) == 0
        gateway.receive(protocol.RegistrationsSeen(heard=(_LOW,)))
        assert self._run_count(gateway, exchange_id) == 0

    def test_kept_stream_ends_if_a_later_stage_has_started_again(
        self,
    ) -> None:
        gateway = _make_gateway(_ONE_PIPELINE, resumable=False)
        gateway.send_request("/draft/x")
        restarted = parts.make_registration(
            "high", "model", None, incarnation=2, sequence=0
        )
        effects = gateway.receive(protocol.RegistrationsSeen((restarted,)))
        parts.get_effect(effects, _effects.CancelAttempt)

    def test_kept_stream_ends_if_its_address_is_taken_over(self) -> None:
        gateway = _make_gateway(resumable=False)
        gateway.send_request("/draft/x")
        gateway.receive(protocol.EndpointLost(_LOW, 1, True))
        successor = parts.make_registration(
            "next", "model", None, incarnation=2, address="low:80"
        )
        effects = gateway.receive(protocol.RegistrationsSeen((successor,)))
        parts.get_effect(effects, _effects.CancelAttempt)

    def test_stream_goes_on_if_the_old_address_is_taken_over(self) -> None:
        """An engine that moved once counted as ended (review/5, LOST)."""
        moved = parts.make_registration(
            "low", "model", parts.LOW, incarnation=2, address="moved:80"
        )
        gateway = _make_gateway(resumable=False)
        gateway.receive(protocol.RegistrationsSeen((moved,)))
        gateway.advance(600)
        _exchange_id, effects = gateway.send_request("/draft/x")
        assert _first_engine(effects) == _LOW
        successor = parts.make_registration(
            "next", "ledger", None, incarnation=3, address="low:80"
        )
        effects = gateway.receive(protocol.RegistrationsSeen((successor,)))
        assert parts.has_no_effect(effects, _effects.CancelAttempt)
        _exchange_id, effects = gateway.send_request("/draft/x")
        assert _first_engine(effects) == _LOW

    def test_kept_stream_ends_if_a_silent_loss_is_proven(self) -> None:
        gateway = _make_gateway(resumable=False)
        gateway.send_request("/draft/x")
        gateway.receive(protocol.EndpointLost(_LOW, 1, True))
        effects = gateway.receive(
            protocol.EndpointLost(_LOW, 1, has_ended=True)
        )
        parts.get_effect(effects, _effects.CancelAttempt)

    def test_loss_told_by_the_version_before_is_no_proof(self) -> None:
        """The version before sends it after a connection that was reset."""
        gateway = parts.Gateway()
        exchange_id = self._run_on_low(gateway)
        raw = (
            b'{"type":"EndpointLost","endpoint_id":"low","incarnation":1,'
            b'"is_silent":false}'
        )
        gateway.receive(msgspec.json.decode(raw, type=protocol.EndpointLost))
        assert self._run_count(gateway, exchange_id) == 1


class TestEndWithdrawn:
    """An engine counts again if it goes on after its end was taken for sure.

    The limit then holds for all that follows.
    """

    def test_refused_retry_goes_to_no_further_engine(self) -> None:
        gateway = _make_gateway(max_attempts=1)
        exchange_id, _ = gateway.send_request("/draft/x")
        effects = gateway.receive(
            protocol.EndpointLost(_LOW, 1, has_ended=True)
        )
        effects = _end_cancelled(gateway, exchange_id, effects)
        assert _first_engine(effects) == "far-low"
        gateway.advance(1000)
        gateway.receive(protocol.RegistrationsSeen(heard=(_LOW, _HIGH)))
        effects = gateway.end_attempt(exchange_id, _Outcome.NOT_RUN)
        assert parts.has_no_effect(effects, _effects.StartAttempt)

    def test_queued_stream_goes_to_no_further_engine(self) -> None:
        gateway = _make_gateway(max_attempts=1)
        exchange_id, _ = gateway.send_request("/draft/x")
        gateway.handle(_events.OutputStarted(exchange_id))
        full = tuple(
            protocol.EndpointLoad(model.EndpointId(name), 50, 5000)
            for name in ("far-low", "far-high")
        )
        gateway.receive(protocol.LoadSummed(full, knows_leader=True))
        gateway.receive(protocol.EndpointLost(_LOW, 1, has_ended=True))
        effects = gateway.end_attempt(exchange_id, _Outcome.CANCELLED)
        assert parts.has_no_effect(effects, _effects.FailExchange)
        gateway.advance(1000)
        gateway.receive(protocol.RegistrationsSeen(heard=(_LOW, _HIGH)))
        gateway.receive(protocol.LoadSummed((), knows_leader=True))
        effects = gateway.advance(100)
        assert parts.has_no_effect(effects, _effects.FailExchange)
        assert _first_engine(effects) == _LOW
        effects = gateway.end_attempt(exchange_id, _Outcome.UNKNOWN)
        assert parts.has_no_effect(effects, _effects.StartAttempt)
        parts.get_effect(effects, _effects.FailExchange)

    def test_queued_call_goes_to_no_further_engine(self) -> None:
        gateway = _make_gateway(max_attempts=1)
        exchange_id, _ = gateway.send_request("/draft/x")
        gateway.receive(protocol.EndpointLost(_LOW, 1, has_ended=True))
        gateway.receive(protocol.RegistrationsSeen(heard=(_LOW, _HIGH)))
        gateway.advance(1000)
        gateway.receive(protocol.RegistrationsSeen(heard=(_LOW, _HIGH)))
        effects = gateway.end_attempt(exchange_id, _Outcome.CANCELLED)
        assert parts.has_no_effect(effects, _effects.StartAttempt)
        parts.get_effect(effects, _effects.FailExchange)


class TestSilenceIsNoCrash:
    """Engines that go on after a silence were crashed by no request."""

    def _lose_in_turn(
        self, gateway: parts.Gateway, shared_parts: tuple[str, ...] = ()
    ) -> list[str]:
        """Send requests whose engines fall silent and go on.

        Return the codes of the requests that fail at once.
        """
        codes: list[str] = []
        for number in range(4):
            exchange_id, effects = gateway.send_request(
                "/draft/x",
                shared_parts=shared_parts,
                body=b"%d" % (number if shared_parts else 0),
            )
            codes += [
                effect.failure.code
                for effect in effects
                if isinstance(effect, _effects.FailExchange)
            ]
            if codes:
                break
            engine = _first_engine(effects)
            gateway.receive(protocol.EndpointLost(engine, 1, True))
            gateway.handle(_events.CallerDisconnected(exchange_id))
            gateway.advance(2500)
            heard = protocol.RegistrationsSeen(heard=(*_NAMES, _HIGH))
            gateway.receive(heard)
            # So that the next request goes to another one.
            gateway.receive(protocol.EndpointPaced(engine, 1, 9.0))
        return codes

    def test_repeated_request_is_not_held_back(self) -> None:
        assert self._lose_in_turn(parts.Gateway(_REPLICAS)) == []

    def test_part_of_several_requests_is_not_held_back(self) -> None:
        gateway = parts.Gateway(_REPLICAS)
        assert self._lose_in_turn(gateway, ("p", "q")) == []
