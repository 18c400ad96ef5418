"""Tests of streams whose engines die under them."""

from sedgepin._gateway import _calls
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_HIGH = model.EndpointId("high")
_LOW = model.EndpointId("low")


def _stalled(gateway: parts.Gateway) -> int:
    one, _ = gateway.arrive("/draft/x")
    gateway.handle(_events.OutputStarted(one))
    return one


class TestStall:
    def test_one_question_for_all_streams_of_an_engine(self) -> None:
        gateway = parts.Gateway()
        streams = [_stalled(gateway) for _ in range(3)]
        asked = [
            effect
            for one in streams
            for effect in gateway.handle(_events.StreamStalled(one))
        ]
        inspect = parts.only(asked, _effects.InspectStalls)
        assert inspect.endpoint_id == "low"

    def test_dead_stage_is_replaced_for_every_stream_on_it(self) -> None:
        gateway = parts.Gateway()
        streams = [_stalled(gateway) for _ in range(2)]
        report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
        effects = gateway.handle(_events.StallsInspected(_LOW, report))
        moved = [one for one in effects if isinstance(one, _effects.Reroute)]
        assert [one.exchange_id for one in moved] == streams
        stages = moved[0].pipeline.stages
        assert [one.endpoint_id for one in stages] == ["low", "far-high"]

    def test_the_control_vms_are_told_of_it(self) -> None:
        gateway = parts.Gateway()
        _stalled(gateway)
        report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
        effects = gateway.handle(_events.StallsInspected(_LOW, report))
        sent = parts.only(effects, _effects.SendMessage).message
        assert sent == protocol.EndpointFailed(_HIGH, 1)

    def test_first_engine_that_does_not_answer_is_given_up(self) -> None:
        gateway = parts.Gateway()
        one = _stalled(gateway)
        effects = gateway.handle(_events.StallsInspected(_LOW, None))
        assert parts.only(effects, _effects.CancelAttempt).exchange_id == one

    def test_engines_that_are_only_slow_are_asked_less_often(self) -> None:
        gateway = parts.Gateway()
        one = _stalled(gateway)
        asked = 0
        for _turn in range(40):
            effects = gateway.handle(_events.StreamStalled(one))
            if not parts.none(effects, _effects.InspectStalls):
                asked += 1
                report = _calls.StallReport((), 4.0)
                gateway.handle(_events.StallsInspected(_LOW, report))
            gateway.advance(50)
        assert asked <= 5


class TestReroute:
    def test_refused_one_is_tried_over_another_engine_then_anew(self) -> None:
        gateway = parts.Gateway()
        one = _stalled(gateway)
        report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
        gateway.handle(_events.StallsInspected(_LOW, report))
        refused = _events.Rerouted(one, False, "far-high:80")
        effects = gateway.handle(refused)
        parts.only(effects, _effects.CancelAttempt)

    def test_accepted_one_goes_on(self) -> None:
        gateway = parts.Gateway()
        one = _stalled(gateway)
        report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
        gateway.handle(_events.StallsInspected(_LOW, report))
        effects = gateway.handle(_events.Rerouted(one, True))
        assert parts.none(effects, _effects.CancelAttempt)
        exchange = gateway.reducer._state.exchanges[one]
        assert exchange.endpoint_ids == ("low", "far-high")

    def test_restarted_engine_has_lost_what_it_ran(self) -> None:
        gateway = parts.Gateway()
        _stalled(gateway)
        reborn = parts.endpoint(
            "high", "model", None, incarnation=2, sequence=0
        )
        effects = gateway.tell(protocol.RegistrationsSeen((reborn,)))
        moved = parts.only(effects, _effects.Reroute)
        assert moved.pipeline.stages[1].endpoint_id == "far-high"
