"""Tests of running streams whose engines fail."""

from sedgepin._gateway import _calls
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_HIGH = model.EndpointId("high")
_LOW = model.EndpointId("low")


def _start_stream(gateway: parts.Gateway) -> int:
    exchange_id, _ = gateway.send_request("/draft/x")
    gateway.handle(_events.OutputStarted(exchange_id))
    return exchange_id


class TestStallInspection:
    def test_engine_is_inspected_once_for_all_its_streams(self) -> None:
        gateway = parts.Gateway()
        streams = [_start_stream(gateway) for _ in range(3)]
        effects = [
            effect
            for exchange_id in streams
            for effect in gateway.handle(_events.StreamStalled(exchange_id))
        ]
        inspect = parts.get_effect(effects, _effects.InspectStalls)
        assert inspect.endpoint_id == "low"

    def test_failed_stage_is_replaced_for_all_its_streams(self) -> None:
        gateway = parts.Gateway()
        streams = [_start_stream(gateway) for _ in range(2)]
        report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
        effects = gateway.handle(_events.StallsInspected(_LOW, report))
        reroutes = [
            effect
            for effect in effects
            if isinstance(effect, _effects.Reroute)
        ]
        assert [reroute.exchange_id for reroute in reroutes] == streams
        stages = reroutes[0].pipeline.stages
        assert [stage.endpoint_id for stage in stages] == ["low", "far-high"]

    def test_failed_stage_is_reported_to_the_control_vms(self) -> None:
        gateway = parts.Gateway()
        _start_stream(gateway)
        report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
        effects = gateway.handle(_events.StallsInspected(_LOW, report))
        sent = parts.get_effect(effects, _effects.SendMessage).message
        assert sent == protocol.EndpointFailed(_HIGH, 1)

    def test_attempt_is_cancelled_if_first_engine_does_not_answer(
        self,
    ) -> None:
        gateway = parts.Gateway()
        exchange_id = _start_stream(gateway)
        effects = gateway.handle(_events.StallsInspected(_LOW, None))
        assert (
            parts.get_effect(effects, _effects.CancelAttempt).exchange_id
            == exchange_id
        )

    def test_slow_engine_is_inspected_less_often(self) -> None:
        gateway = parts.Gateway()
        exchange_id = _start_stream(gateway)
        inspection_count = 0
        for _step in range(40):
            effects = gateway.handle(_events.StreamStalled(exchange_id))
            if not parts.has_no_effect(effects, _effects.InspectStalls):
                inspection_count += 1
                report = _calls.StallReport((), 4.0)
                gateway.handle(_events.StallsInspected(_LOW, report))
            gateway.advance(50)
        assert inspection_count <= 5


class TestReroute:
    def _refuse_reroute(
        self, gateway: parts.Gateway
    ) -> tuple[int, list[_effects.GatewayEffect]]:
        """Let the only other engine of a stage refuse to replace it."""
        exchange_id = _start_stream(gateway)
        report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
        effects = gateway.handle(_events.StallsInspected(_LOW, report))
        parts.get_effect(effects, _effects.Reroute)
        refused = _events.Rerouted(exchange_id, False, "far-high:80")
        return exchange_id, gateway.handle(refused)

    def test_attempt_stays_on_its_stage_if_no_other_engine_is_left(
        self,
    ) -> None:
        """Until the stage is known to have ended."""
        gateway = parts.Gateway()
        exchange_id, effects = self._refuse_reroute(gateway)
        assert parts.has_no_effect(effects, _effects.CancelAttempt)
        assert parts.has_no_effect(effects, _effects.FailExchange)
        exchange = gateway.reducer._state.exchanges[exchange_id]
        assert exchange.endpoint_ids == ("low", "high")
        loads = gateway.reducer._state.fleet.make_load_report()
        assert [load.endpoint_id for load in loads] == ["low", "high"]
        effects = gateway.receive(
            protocol.EndpointLost(_HIGH, 1, has_ended=True)
        )
        cancel = parts.get_effect(effects, _effects.CancelAttempt)
        assert cancel.exchange_id == exchange_id

    def test_attempt_is_cancelled_if_its_stage_ended_during_the_reroute(
        self,
    ) -> None:
        gateway = parts.Gateway()
        exchange_id = _start_stream(gateway)
        report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
        gateway.handle(_events.StallsInspected(_LOW, report))
        restarted = parts.make_registration(
            "high", "model", None, incarnation=2, sequence=0
        )
        gateway.receive(protocol.RegistrationsSeen((restarted,)))
        refused = _events.Rerouted(exchange_id, False, "far-high:80")
        effects = gateway.handle(refused)
        parts.get_effect(effects, _effects.CancelAttempt)

    def test_attempt_is_cancelled_after_the_last_refused_reroute(
        self,
    ) -> None:
        spares = tuple(
            parts.make_registration(f"spare-{number}", "model", parts.HIGH)
            for number in range(4)
        )
        gateway = parts.Gateway((*parts.make_registrations()[:2], *spares))
        exchange_id = _start_stream(gateway)
        report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
        effects = gateway.handle(_events.StallsInspected(_LOW, report))
        for _ in range(3):
            assert parts.has_no_effect(effects, _effects.CancelAttempt)
            reroute = parts.get_effect(effects, _effects.Reroute)
            address = reroute.pipeline.stages[1].address
            effects = gateway.handle(
                _events.Rerouted(exchange_id, False, address)
            )
        cancel = parts.get_effect(effects, _effects.CancelAttempt)
        assert cancel.exchange_id == exchange_id

    def test_accepted_reroute_keeps_the_attempt(self) -> None:
        gateway = parts.Gateway()
        exchange_id = _start_stream(gateway)
        report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
        gateway.handle(_events.StallsInspected(_LOW, report))
        effects = gateway.handle(_events.Rerouted(exchange_id, True))
        assert parts.has_no_effect(effects, _effects.CancelAttempt)
        exchange = gateway.reducer._state.exchanges[exchange_id]
        assert exchange.endpoint_ids == ("low", "far-high")

    def test_stage_is_replaced_after_a_restart(self) -> None:
        gateway = parts.Gateway()
        _start_stream(gateway)
        restarted = parts.make_registration(
            "high", "model", None, incarnation=2, sequence=0
        )
        effects = gateway.receive(protocol.RegistrationsSeen((restarted,)))
        reroute = parts.get_effect(effects, _effects.Reroute)
        assert reroute.pipeline.stages[1].endpoint_id == "far-high"
