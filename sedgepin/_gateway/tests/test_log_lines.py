"""A line for each decision: every kind that a gateway logs is seen here."""

import collections.abc
import pathlib

import pytest

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import errors
from sedgepin.tests import log_lines

_Outcome = _events.AttemptOutcome
_Effects = list[_effects.GatewayEffect]
_Scene = collections.abc.Callable[[parts.Gateway], _Effects]
_LOW = model.EndpointId("low")
_CONTROL = model.VmId("control:1")


def _dispatched(gateway: parts.Gateway) -> _Effects:
    return gateway.arrive("/draft/x")[1]


def _answered(gateway: parts.Gateway) -> _Effects:
    one, _ = gateway.arrive("/read/x")
    return gateway.end(one, _Outcome.ANSWERED)


def _attempt_ended(gateway: parts.Gateway) -> _Effects:
    one, _ = gateway.arrive("/read/x")
    return gateway.end(one, _Outcome.UNKNOWN, detail="reset")


def _failed(gateway: parts.Gateway) -> _Effects:
    one, _ = gateway.arrive("/post/x")
    return gateway.end(one, _Outcome.UNKNOWN, detail="reset")


def _turned_away(gateway: parts.Gateway) -> _Effects:
    return gateway.arrive("/nowhere/x")[1]


def _left(gateway: parts.Gateway) -> _Effects:
    one, _ = gateway.arrive("/read/x")
    return gateway.handle(_events.CallerDisconnected(one))


def _waits(gateway: parts.Gateway) -> _Effects:
    running: list[int] = []
    while True:
        one, effects = gateway.arrive("/draft/x", tokens=100)
        if parts.none(effects, _effects.StartAttempt):
            break
        running.append(one)
    for _turn in range(15):
        gateway.now += parts.milliseconds(100)
        gateway.end(running.pop(0), _Outcome.ANSWERED)
        running.append(gateway.arrive("/draft/x", tokens=100)[0])
    return gateway.arrive("/draft/x", tokens=100)[1]


def _inspected(gateway: parts.Gateway) -> _Effects:
    gateway.arrive("/draft/x")
    report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
    return gateway.handle(_events.StallsInspected(_LOW, report))


def _suspected(gateway: parts.Gateway) -> _Effects:
    one, _ = gateway.arrive("/read/x")
    return gateway.end(one, _Outcome.NOT_SENT, detail="refused")


def _in_force(gateway: parts.Gateway) -> _Effects:
    raw = catalog.encode(parts.configuration(2))
    return gateway.tell(protocol.ConfigurationPublished(2, True, raw))


def _connected(gateway: parts.Gateway) -> _Effects:
    hello = protocol.Hello(
        _CONTROL, "control", parts.HOME, model.Incarnation(1)
    )
    return gateway.handle(protocol.PeerConnected(hello))


def _disconnected(gateway: parts.Gateway) -> _Effects:
    return gateway.handle(protocol.PeerDisconnected(_CONTROL))


def _peer_refused(gateway: parts.Gateway) -> _Effects:
    failure = errors.DocumentRefused("frame", ())
    return gateway.handle(protocol.PeerRefused("127.0.0.1:1", failure))


def _draining(gateway: parts.Gateway) -> _Effects:
    return gateway.handle(_events.DrainRequested())


_SCENES: dict[str, tuple[_Scene, dict[str, object]]] = {
    "request_dispatched": (
        _dispatched,
        {"request": "r1", "endpoint": "low", "attempt": 1},
    ),
    "request_answered": (_answered, {"request": "r1", "attempts": 1}),
    "attempt_ended": (
        _attempt_ended,
        {"request": "r1", "outcome": "unknown", "detail": "reset"},
    ),
    "request_failed": (
        _failed,
        {"request": "r1", "code": "outcome_unknown", "may_have_run": True},
    ),
    "request_turned_away": (
        _turned_away,
        {"request": "r1", "code": "route_unknown", "configuration": 1},
    ),
    "caller_left": (_left, {"request": "r1", "position": None}),
    "request_waits": (_waits, {"service": "model", "ahead": 0}),
    "stalls_inspected": (
        _inspected,
        {"endpoint": "low", "stalls": 1, "at_fault": "high:80"},
    ),
    "request_rerouted": (
        _inspected,
        {"request": "r1", "after": "low=0-2,far-high=2-4"},
    ),
    "endpoint_suspected": (_suspected, {"failure": "refused"}),
    "configuration_in_force": (_in_force, {"version": 2, "before": 1}),
    "peer_connected": (_connected, {"peer": "control:1"}),
    "peer_disconnected": (_disconnected, {"peer": "control:1"}),
    "peer_refused": (_peer_refused, {"address": "127.0.0.1:1"}),
    "process_draining": (_draining, {}),
}
# Written by the daemon; the tests of processes see them.
_OF_THE_DAEMON = {"process_started", "process_stopped", "request_unreadable"}


class TestLines:
    @pytest.mark.parametrize("name", list(_SCENES))
    def test_decision_is_logged_with_what_decided_it(self, name: str) -> None:
        scene, expected = _SCENES[name]
        lines = [
            {one.name: one.value for one in effect.line.fields}
            for effect in scene(parts.Gateway())
            if isinstance(effect, _effects.WriteLog)
            and effect.line.definition.name == name
        ]
        assert lines
        assert expected.items() <= lines[0].items()

    def test_no_kind_is_left_out(self) -> None:
        package = pathlib.Path(__file__).parents[1]
        named = log_lines.kinds_named_in(package)
        assert named == _SCENES.keys() | _OF_THE_DAEMON
