"""Tests of what happens to requests whose prompts crash engines."""

import pytest

from sedgepin import _crash_causes as crash_causes
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_Outcome = _events.AttemptOutcome
_LOW = model.EndpointId("low")


def _evidence(
    gateway: parts.Gateway, number: int, part: str = "p"
) -> crash_causes.Evidence:
    """Return another VM's evidence of one crash under a part."""
    death = crash_causes.Death(model.EndpointId(f"e{number}"), 1)
    mark = crash_causes.CrashMark(
        death, gateway.now, model.VmId("entry:2"), f"r{number}"
    )
    return crash_causes.Evidence(crash_causes.part_trait(part), (mark,))


def _hold_back(gateway: parts.Gateway) -> list[_effects.GatewayEffect]:
    """Let another VM report three crashes under part ``p``."""
    effects: list[_effects.GatewayEffect] = []
    for number in range(3):
        gateway.advance(200)
        message = protocol.CrashesReported((_evidence(gateway, number),))
        effects = gateway.receive(message)
    return effects


def _hold_back_request(
    gateway: parts.Gateway, exchange_id: int
) -> list[_effects.GatewayEffect]:
    """Let another VM report that three engines ended under one request."""
    request = gateway.reducer._state.exchanges[exchange_id].request
    trait = crash_causes.request_trait(request.fingerprint)
    effects: list[_effects.GatewayEffect] = []
    for number in range(3):
        gateway.advance(200)
        marks = _evidence(gateway, number).marks
        evidence = crash_causes.Evidence(trait, marks)
        message = protocol.CrashesReported((evidence,))
        effects = gateway.receive(message)
    return effects


def _reported(
    effects: list[_effects.GatewayEffect],
) -> set[crash_causes.Trait]:
    return {
        item.trait
        for effect in effects
        if isinstance(effect, _effects.SendMessage)
        and isinstance(effect.message, protocol.CrashesReported)
        for item in effect.message.evidence
        if item.marks
    }


class TestAttribution:
    """However the end of an engine is seen, it counts against its requests."""

    def _send(self, gateway: parts.Gateway) -> int:
        return gateway.send_request("/draft/x", shared_parts=("p",))[0]

    def test_broken_answer_before_the_loss_is_known(self) -> None:
        gateway = parts.Gateway()
        exchange_id = self._send(gateway)
        gateway.end_attempt(exchange_id, _Outcome.UNKNOWN)
        gateway.handle(_events.CallerDisconnected(exchange_id))
        effects = gateway.receive(protocol.EndpointLost(_LOW, 1))
        assert crash_causes.part_trait("p") in _reported(effects)

    def test_broken_answer_after_the_loss_is_known(self) -> None:
        gateway = parts.Gateway()
        exchange_id = self._send(gateway)
        gateway.receive(protocol.EndpointLost(_LOW, 1))
        effects = gateway.end_attempt(exchange_id, _Outcome.UNKNOWN)
        assert crash_causes.part_trait("p") in _reported(effects)

    @pytest.mark.parametrize("name", ["low", "high"])
    def test_loss_that_only_control_vms_have_seen(self, name: str) -> None:
        """Of the first engine of the pipeline or another one."""
        gateway = parts.Gateway()
        self._send(gateway)
        lost = protocol.EndpointLost(model.EndpointId(name), 1)
        effects = gateway.receive(lost)
        assert crash_causes.part_trait("p") in _reported(effects)

    def test_new_incarnation_of_the_engine(self) -> None:
        gateway = parts.Gateway()
        self._send(gateway)
        restarted = parts.make_registration(
            "low", "model", parts.LOW, incarnation=2
        )
        effects = gateway.receive(protocol.RegistrationsSeen((restarted,)))
        assert crash_causes.part_trait("p") in _reported(effects)

    def test_new_engine_at_the_same_address(self) -> None:
        gateway = parts.Gateway()
        self._send(gateway)
        successor = parts.make_registration(
            "other", "model", parts.LOW, address="low:80", incarnation=2
        )
        effects = gateway.receive(protocol.RegistrationsSeen((successor,)))
        assert crash_causes.part_trait("p") in _reported(effects)

    def test_engine_that_left_before_its_successor_has_not_crashed(
        self,
    ) -> None:
        gateway = parts.Gateway()
        self._send(gateway)
        gateway.receive(protocol.EndpointLeaving(_LOW, 1))
        successor = parts.make_registration(
            "other", "model", parts.LOW, address="low:80", incarnation=2
        )
        effects = gateway.receive(protocol.RegistrationsSeen((successor,)))
        assert not _reported(effects)

    def test_stream_with_much_output_is_no_suspect(self) -> None:
        gateway = parts.Gateway()
        exchange_id = self._send(gateway)
        gateway.handle(_events.OutputStarted(exchange_id))
        gateway.handle(_events.OutputSustained(exchange_id))
        effects = gateway.receive(protocol.EndpointLost(_LOW, 1))
        assert not _reported(effects)

    def test_report_goes_to_each_control_vm_in_touch(self) -> None:
        gateway = parts.Gateway()
        hello = protocol.Hello(
            model.VmId("control:2"),
            "control",
            parts.HOME,
            model.Incarnation(1),
        )
        gateway.handle(protocol.PeerConnected(hello))
        self._send(gateway)
        effects = gateway.receive(protocol.EndpointLost(_LOW, 1))
        recipients = {
            effect.recipient
            for effect in effects
            if isinstance(effect, _effects.SendMessage)
            and isinstance(effect.message, protocol.CrashesReported)
        }
        assert recipients == {"control:1", "control:2"}


class TestMomentOfKnowledge:
    """What is under way with a part when it becomes known is stopped."""

    def test_new_request_is_refused_at_once(self) -> None:
        gateway = parts.Gateway()
        _hold_back(gateway)
        _, effects = gateway.send_request("/draft/x", shared_parts=("s", "p"))
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.code == "request_quarantined"
        assert failure.retry_after is None
        assert parts.has_no_effect(effects, _effects.StartAttempt)

    def test_request_under_way_is_cancelled_and_not_run_again(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x", shared_parts=("p",))
        effects = _hold_back(gateway)
        cancelled = parts.get_effect(effects, _effects.CancelAttempt)
        assert cancelled.exchange_id == exchange_id
        effects = gateway.end_attempt(exchange_id, _Outcome.CANCELLED)
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.code == "outcome_unknown"
        assert parts.has_no_effect(effects, _effects.StartAttempt)

    def test_stream_with_much_output_goes_on(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x", shared_parts=("p",))
        gateway.handle(_events.OutputStarted(exchange_id))
        effects = _hold_back(gateway)
        parts.get_effect(effects, _effects.CancelAttempt)
        gateway.handle(_events.OutputSustained(exchange_id))
        _, effects = gateway.send_request("/draft/y", shared_parts=("p",))
        parts.get_effect(effects, _effects.StartAttempt)

    @pytest.mark.parametrize("has_output", [True, False])
    def test_begun_stream_that_was_on_lost_engines_is_not_cut(
        self, has_output: bool
    ) -> None:
        """It may have been there by chance; before its output it stops."""
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x", shared_parts=("p",))
        if has_output:
            gateway.handle(_events.OutputStarted(exchange_id))
        effects = _hold_back_request(gateway, exchange_id)
        cancels = [
            effect
            for effect in effects
            if isinstance(effect, _effects.CancelAttempt)
        ]
        assert bool(cancels) is not has_output
        effects = gateway.end_attempt(exchange_id, _Outcome.UNKNOWN)
        assert parts.has_no_effect(effects, _effects.StartAttempt)

    def test_queued_request_is_refused(self) -> None:
        gateway = parts.Gateway()
        running: list[int] = []
        while True:
            exchange_id, effects = gateway.send_request(
                "/draft/x", tokens=100, shared_parts=("p",)
            )
            if parts.has_no_effect(effects, _effects.StartAttempt):
                break
            running.append(exchange_id)
        for _step in range(15):
            gateway.now += parts.milliseconds(100)
            gateway.end_attempt(running.pop(0), _Outcome.ANSWERED)
            running.append(gateway.send_request("/draft/x", tokens=100)[0])
        queued_id, _ = gateway.send_request(
            "/draft/x", tokens=100, shared_parts=("p",)
        )
        evidence = []
        for number in range(3):
            gateway.now += parts.milliseconds(200)
            evidence.append(_evidence(gateway, number))
        effects = gateway.receive(protocol.CrashesReported(tuple(evidence)))
        failures = {
            effect.exchange_id: effect.failure.code
            for effect in effects
            if isinstance(effect, _effects.FailExchange)
        }
        assert failures[queued_id] == "request_quarantined"

    def test_resumed_stream_is_not_sent_on(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x", shared_parts=("p",))
        gateway.handle(_events.OutputStarted(exchange_id))
        for number in range(3):
            gateway.advance(200)
            evidence = _evidence(gateway, number)
            message = protocol.CrashesReported((evidence,))
            gateway.receive(message)
        effects = gateway.end_attempt(
            exchange_id, _Outcome.UNKNOWN, position=2
        )
        assert parts.has_no_effect(effects, _effects.StartAttempt)

    def test_request_is_not_retried_once_its_part_had_two_crashes(
        self,
    ) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x", shared_parts=("p",))
        for number in range(2):
            gateway.advance(200)
            evidence = _evidence(gateway, number)
            gateway.receive(protocol.CrashesReported((evidence,)))
        effects = gateway.end_attempt(exchange_id, _Outcome.UNKNOWN)
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.code == "outcome_unknown"

    def test_request_on_several_lost_engines_is_retried(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x", shared_parts=("p",))
        for name in ("low", "high"):
            gateway.advance(300)
            lost = protocol.EndpointLost(model.EndpointId(name), 1, True)
            gateway.receive(lost)
        effects = gateway.end_attempt(exchange_id, _Outcome.CANCELLED)
        parts.get_effect(effects, _effects.StartAttempt)

    def test_late_registration_of_an_earlier_incarnation_ends_nothing(
        self,
    ) -> None:
        gateway = parts.Gateway()
        restarted = parts.make_registration(
            "low", "model", parts.LOW, incarnation=2
        )
        gateway.receive(protocol.RegistrationsSeen((restarted,)))
        gateway.advance(1000)
        gateway.send_request("/draft/x", shared_parts=("p",))
        late = parts.make_registration("low", "model", parts.LOW, sequence=9)
        effects = gateway.receive(protocol.RegistrationsSeen((late,)))
        assert not _reported(effects)
        assert parts.has_no_effect(effects, _effects.CancelAttempt)

    def test_request_that_shares_other_parts_runs(self) -> None:
        gateway = parts.Gateway()
        _hold_back(gateway)
        _, effects = gateway.send_request("/draft/x", shared_parts=("s", "q"))
        parts.get_effect(effects, _effects.StartAttempt)


class TestNews:
    def test_control_vm_that_connects_is_told_what_is_known(self) -> None:
        gateway = parts.Gateway()
        _hold_back(gateway)
        hello = protocol.Hello(
            model.VmId("control:9"),
            "control",
            parts.HOME,
            model.Incarnation(1),
        )
        effects = gateway.handle(protocol.PeerConnected(hello))
        assert crash_causes.part_trait("p") in _reported(effects)

    def test_answer_elsewhere_frees_the_part(self) -> None:
        gateway = parts.Gateway()
        _hold_back(gateway)
        deaths = frozenset(
            crash_causes.Death(model.EndpointId(f"e{number}"), 1)
            for number in range(3)
        )
        cleared = crash_causes.Evidence(
            crash_causes.part_trait("p"), (), deaths, True
        )
        gateway.receive(protocol.CrashesReported((cleared,)))
        _, effects = gateway.send_request("/draft/x", shared_parts=("p",))
        parts.get_effect(effects, _effects.StartAttempt)

    def test_rejected_request_clears_nothing(self) -> None:
        """An engine may refuse a request without beginning to run it."""
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x", shared_parts=("p",))
        gateway.receive(protocol.CrashesReported((_evidence(gateway, 7),)))
        effects = gateway.end_attempt(
            exchange_id, _Outcome.ANSWERED, is_success=False
        )
        assert not any(
            isinstance(effect, _effects.SendMessage)
            and isinstance(effect.message, protocol.CrashesReported)
            for effect in effects
        )
