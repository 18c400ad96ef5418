"""Tests of what becomes of a request, attempt by attempt."""

import msgspec
import pytest

from sedgepin import _catalog as catalog
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import errors

_Outcome = _events.AttemptOutcome


class TestArrival:
    @pytest.mark.parametrize(
        ("path", "key", "code"),
        [
            ("/nowhere/x", "key", "route_unknown"),
            ("/draft/x", None, "key_unknown"),
            ("/draft/x", "other", "key_unknown"),
        ],
    )
    def test_turned_away(self, path: str, key: str | None, code: str) -> None:
        _, effects = parts.Gateway().arrive(path, key)
        assert parts.only(effects, _effects.FailExchange).failure.code == code

    def test_without_a_configuration_nothing_is_denied(self) -> None:
        gateway = parts.Gateway()
        gateway.reducer._state.table = None
        _, effects = gateway.arrive("/draft/x")
        failure = parts.only(effects, _effects.FailExchange).failure
        assert failure.http_status == 503
        assert failure.outcome is errors.Outcome.NOT_RUN
        assert failure.retry_after == parts.milliseconds(1000)

    def test_without_any_endpoint_the_caller_comes_back_when_one_is_heard(
        self,
    ) -> None:
        """After a loss of power 744 callers came back too soon."""
        gateway = parts.Gateway(())
        for path in ("/draft/x", "/read/x"):
            _, effects = gateway.arrive(path)
            failure = parts.only(effects, _effects.FailExchange).failure
            assert failure.retry_after == parts.milliseconds(1000)

    def test_a_model_runs_on_a_pipeline_of_one_data_centre(self) -> None:
        _, effects = parts.Gateway().arrive("/draft/x")
        start = parts.only(effects, _effects.StartAttempt)
        assert start.dispatch.pipeline is not None
        stages = start.dispatch.pipeline.stages
        assert [one.endpoint_id for one in stages] == ["low", "high"]
        assert start.dispatch.customer == "c"

    def test_without_a_pipeline_refused_at_once_as_not_run(self) -> None:
        gateway = parts.Gateway((parts.endpoint("low", "model", parts.LOW),))
        _, effects = gateway.arrive("/draft/x")
        failure = parts.only(effects, _effects.FailExchange).failure
        assert failure.outcome is errors.Outcome.NOT_RUN
        assert failure.retry_after is not None

    def test_two_data_centres_complete_each_other(self) -> None:
        gateway = parts.Gateway(
            (
                parts.endpoint("low", "model", parts.LOW),
                parts.endpoint("far", "model", parts.HIGH, "far"),
            )
        )
        _, effects = gateway.arrive("/draft/x")
        start = parts.only(effects, _effects.StartAttempt)
        assert start.dispatch.pipeline is not None


class TestLeavingEndpoints:
    @pytest.mark.parametrize("path", ["/draft/x", "/read/x"])
    def test_endpoint_that_leaves_gets_nothing_new(self, path: str) -> None:
        gateway = parts.Gateway()
        leaving = catalog.EndpointState.DRAINING
        words = tuple(
            msgspec.structs.replace(word, state=leaving, sequence=2)
            for word in parts.fleet()
            if word.endpoint_id in ("low", "ledger-1")
        )
        gateway.tell(protocol.RegistrationsSeen(words))
        for _request in range(4):
            _, effects = gateway.arrive(path)
            start = parts.only(effects, _effects.StartAttempt)
            assert start.dispatch.endpoint_id in ("far-low", "ledger-2")


class TestWrites:
    """A call that must not run twice."""

    def test_sent_elsewhere_only_if_nothing_was_sent(self) -> None:
        gateway = parts.Gateway()
        one, effects = gateway.arrive("/post/x")
        first = parts.only(effects, _effects.StartAttempt).dispatch
        effects = gateway.end(one, _Outcome.NOT_SENT)
        second = parts.only(effects, _effects.StartAttempt).dispatch
        assert first.endpoint_id != second.endpoint_id

    def test_sent_elsewhere_if_the_endpoint_did_not_run_it(self) -> None:
        gateway = parts.Gateway()
        one, _ = gateway.arrive("/post/x")
        effects = gateway.end(one, _Outcome.NOT_RUN)
        parts.only(effects, _effects.StartAttempt)

    def test_unknown_outcome_is_final_and_promises_nothing(self) -> None:
        gateway = parts.Gateway()
        one, _ = gateway.arrive("/post/x")
        effects = gateway.end(one, _Outcome.UNKNOWN)
        failure = parts.only(effects, _effects.FailExchange).failure
        assert failure.http_status == 502
        assert failure.outcome is errors.Outcome.UNKNOWN

    def test_own_failure_of_the_endpoint_is_passed_on(self) -> None:
        gateway = parts.Gateway()
        one, _ = gateway.arrive("/post/x")
        effects = gateway.end(one, _Outcome.FAILED)
        parts.only(effects, _effects.DeliverHeldAnswer)

    def test_deadline_after_sending_promises_nothing(self) -> None:
        gateway = parts.Gateway()
        one, _ = gateway.arrive("/post/x")
        effects = gateway.handle(_events.DeadlineReached(one))
        failure = parts.only(effects, _effects.FailExchange).failure
        assert failure.outcome is errors.Outcome.UNKNOWN

    def test_refused_after_every_endpoint_refused(self) -> None:
        gateway = parts.Gateway()
        one, effects = gateway.arrive("/post/x")
        for _attempt in range(4):
            if parts.none(effects, _effects.StartAttempt):
                break
            effects = gateway.end(one, _Outcome.NOT_RUN)
        failure = parts.only(effects, _effects.FailExchange).failure
        assert failure.outcome is errors.Outcome.NOT_RUN


class TestDeadline:
    def test_request_that_is_over_already_is_let_go(self) -> None:
        """Its caller would else be held until it left by itself."""
        gateway = parts.Gateway()
        one, _ = gateway.arrive("/read/x")
        gateway.end(one, _Outcome.UNKNOWN)
        gateway.end(one, _Outcome.UNKNOWN)
        effects = gateway.handle(_events.DeadlineReached(one))
        parts.only(effects, _effects.FinishExchange)


class TestReads:
    """A call that may run twice."""

    def test_runs_again_elsewhere_after_an_unknown_outcome(self) -> None:
        gateway = parts.Gateway()
        one, effects = gateway.arrive("/read/x")
        first = parts.only(effects, _effects.StartAttempt).dispatch
        effects = gateway.end(one, _Outcome.UNKNOWN)
        second = parts.only(effects, _effects.StartAttempt).dispatch
        assert first.endpoint_id != second.endpoint_id

    def test_runs_on_no_more_endpoints_than_allowed(self) -> None:
        gateway = parts.Gateway()
        one, _ = gateway.arrive("/read/x")
        gateway.end(one, _Outcome.UNKNOWN)
        effects = gateway.end(one, _Outcome.UNKNOWN)
        parts.only(effects, _effects.FailExchange)

    def test_not_run_is_not_said_after_an_earlier_attempt_ran(self) -> None:
        gateway = parts.Gateway()
        one, _ = gateway.arrive("/read/x")
        gateway.end(one, _Outcome.UNKNOWN)
        effects = gateway.end(one, _Outcome.NOT_RUN)
        while parts.none(effects, _effects.FailExchange):
            effects = gateway.end(one, _Outcome.NOT_RUN)
        failure = parts.only(effects, _effects.FailExchange).failure
        assert failure.outcome is errors.Outcome.UNKNOWN

    def test_the_budget_ends_a_storm_of_retries(self) -> None:
        gateway = parts.Gateway()
        retries = 0
        for _request in range(200):
            one, _ = gateway.arrive("/read/x")
            effects = gateway.end(one, _Outcome.FAILED)
            retries += not parts.none(effects, _effects.StartAttempt)
        assert retries <= 0.2 * 200 + 50


class TestLostAnswers:
    """Half of the answers of every endpoint are lost for some seconds."""

    def test_endpoints_that_lose_answers_stay_in_use(self) -> None:
        gateway = parts.Gateway()
        for _turn in range(20):
            one, effects = gateway.arrive("/post/x")
            parts.only(effects, _effects.StartAttempt)
            gateway.end(one, _Outcome.UNKNOWN)
            gateway.advance(50)

    def test_refusing_endpoints_are_better_than_none(self) -> None:
        gateway = parts.Gateway()
        one, effects = gateway.arrive("/read/x")
        while not parts.none(effects, _effects.StartAttempt):
            effects = gateway.end(one, _Outcome.NOT_RUN)
        _, effects = gateway.arrive("/read/y")
        parts.only(effects, _effects.StartAttempt)


class TestNotRun:
    """A refusal says that nothing has run, so nothing may have."""

    def test_given_up_at_an_engine_that_then_died(self) -> None:
        """Soak seed 103: a stream was answered 503 after it had run."""
        gateway = parts.Gateway()
        one, effects = gateway.arrive("/draft/x")
        dispatch = parts.only(effects, _effects.StartAttempt).dispatch
        for name in ("low", "far-low"):
            lost = protocol.EndpointLost(model.EndpointId(name), 1)
            gateway.tell(lost)
        effects = gateway.end(
            one, _Outcome.CANCELLED, endpoint_id=dispatch.endpoint_id
        )
        failure = parts.only(effects, _effects.FailExchange).failure
        assert failure.http_status == 502


class TestStreams:
    def test_goes_on_after_the_last_event(self) -> None:
        gateway = parts.Gateway()
        one, _ = gateway.arrive("/draft/x")
        gateway.handle(_events.OutputStarted(one))
        effects = gateway.end(one, _Outcome.UNKNOWN, position=7)
        start = parts.only(effects, _effects.StartAttempt)
        assert start.dispatch.resume_after == 7
        assert start.dispatch.endpoint_id == "low"

    def test_waits_for_an_engine_but_not_for_ever(self) -> None:
        gateway = parts.Gateway(parts.fleet()[:2])
        one, _ = gateway.arrive("/draft/x")
        gateway.handle(_events.OutputStarted(one))
        effects = gateway.end(one, _Outcome.NOT_SENT, position=7)
        assert parts.none(effects, _effects.FailExchange)
        effects = gateway.advance(600)
        start = parts.only(effects, _effects.StartAttempt)
        assert start.dispatch.resume_after == 7

    def test_first_engine_that_died_does_not_count_as_one_that_ran(
        self,
    ) -> None:
        gateway = parts.Gateway()
        one, _ = gateway.arrive("/draft/x")
        gateway.handle(_events.OutputStarted(one))
        for first in ("low", "far-low"):
            known = model.EndpointId(first)
            effects = gateway.tell(protocol.EndpointLost(known, 1))
            parts.only(effects, _effects.CancelAttempt)
            gateway.end(one, _Outcome.CANCELLED, endpoint_id=known)
        exchange = gateway.reducer._state.exchanges[one]
        assert exchange.run_count == 0


def _asks(
    effects: list[_effects.GatewayEffect],
) -> list[_effects.SendMessage]:
    """Return the questions for a configuration among effects."""
    return [
        one
        for one in effects
        if isinstance(one, _effects.SendMessage)
        and isinstance(one.message, protocol.ConfigurationWanted)
    ]


class TestConfiguration:
    def test_never_goes_back(self) -> None:
        gateway = parts.Gateway()
        gateway.publish(5)
        gateway.publish(4)
        table = gateway.reducer.table
        assert table is not None and table.configuration.version == 5

    def test_newer_version_is_asked_for_if_it_is_not_sent(self) -> None:
        gateway = parts.Gateway()
        gateway.advance(0)
        gateway.tell(protocol.ConfigurationPublished(2, True))
        assert not _asks(gateway.advance(100))
        asked = _asks(gateway.advance(50))
        wanted = protocol.ConfigurationWanted(1)
        control = model.VmId("control:1")
        assert asked == [_effects.SendMessage(control, wanted)]

    def test_version_that_was_sent_meanwhile_is_not_asked_for(self) -> None:
        gateway = parts.Gateway()
        gateway.advance(0)
        gateway.publish(2)
        gateway.tell(protocol.ConfigurationPublished(2, True))
        assert not _asks(gateway.advance(500))

    def test_the_leader_is_asked_before_others(self) -> None:
        gateway = parts.Gateway()
        gateway.advance(0)
        hello = protocol.Hello(
            model.VmId("control:2"),
            "control",
            parts.HOME,
            model.Incarnation(1),
        )
        gateway.handle(protocol.PeerConnected(hello))
        gateway.tell(protocol.ConfigurationPublished(2, True))
        notice = protocol.ConfigurationPublished(2, False)
        follower = protocol.PeerMessageReceived(hello.id, notice)
        gateway.handle(follower)
        asked = _asks(gateway.advance(150))
        assert [one.recipient for one in asked] == ["control:1"]

    def test_before_any_configuration_it_is_asked_for_calmly(self) -> None:
        gateway = parts.Gateway()
        gateway.reducer._state.table = None
        gateway.advance(0)
        gateway.tell(protocol.ConfigurationPublished(0, False))
        assert not _asks(gateway.advance(500))

    def test_first_one_must_be_confirmed_for_a_while(self) -> None:
        gateway = parts.Gateway()
        gateway.reducer._state.table = None
        gateway.publish(3, confirmed=False)
        assert not gateway.reducer.is_ready
        gateway.advance(3000)
        gateway.publish(3, confirmed=False)
        assert gateway.reducer.is_ready
