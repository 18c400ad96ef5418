"""Tests of the log lines: each event that the gateway logs occurs here."""

import collections.abc
import pathlib

import pytest

from sedgepin import _catalog as catalog
from sedgepin import _crash_causes as crash_causes
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
_Scenario = collections.abc.Callable[[parts.Gateway], _Effects]
_LOW = model.EndpointId("low")
_CONTROL = model.VmId("control:1")


def _request_dispatched(gateway: parts.Gateway) -> _Effects:
    return gateway.send_request("/draft/x")[1]


def _request_answered(gateway: parts.Gateway) -> _Effects:
    exchange_id, _ = gateway.send_request("/read/x")
    return gateway.end_attempt(exchange_id, _Outcome.ANSWERED)


def _attempt_ended(gateway: parts.Gateway) -> _Effects:
    exchange_id, _ = gateway.send_request("/read/x")
    return gateway.end_attempt(exchange_id, _Outcome.UNKNOWN, detail="reset")


def _crash_attributed(gateway: parts.Gateway) -> _Effects:
    exchange_id, _ = gateway.send_request("/draft/x", shared_parts=("p", "q"))
    gateway.end_attempt(exchange_id, _Outcome.UNKNOWN)
    return gateway.receive(protocol.EndpointLost(_LOW, 1))


def _lose_under_part(gateway: parts.Gateway, count: int) -> _Effects:
    """Lose an engine under each of so many requests with one part."""
    effects: _Effects = []
    for number in range(count):
        gateway.advance(200)
        death = crash_causes.Death(model.EndpointId(f"e{number}"), 1)
        mark = crash_causes.CrashMark(
            death, gateway.now, model.VmId("entry:2"), f"r{number}"
        )
        evidence = crash_causes.Evidence(crash_causes.part_trait("p"), (mark,))
        effects = gateway.receive(protocol.CrashesReported((evidence,)))
    return effects


def _cause_held_back(gateway: parts.Gateway) -> _Effects:
    return _lose_under_part(gateway, 3)


def _cause_freed(gateway: parts.Gateway) -> _Effects:
    _lose_under_part(gateway, 3)
    return gateway.advance(120_000)


def _request_held_back(gateway: parts.Gateway) -> _Effects:
    _lose_under_part(gateway, 3)
    return gateway.send_request("/draft/x", shared_parts=("s", "p"))[1]


def _request_kept(gateway: parts.Gateway) -> _Effects:
    exchange_id, _ = gateway.send_request("/draft/x")
    gateway.handle(_events.StallsInspected(_LOW, None))
    far = model.EndpointId("far-low")
    gateway.end_attempt(exchange_id, _Outcome.CANCELLED, endpoint_id=_LOW)
    return gateway.handle(_events.StallsInspected(far, None))


def _lose_links(gateway: parts.Gateway) -> _Effects:
    """Fail to connect to two engines in turn."""
    exchange_id, effects = gateway.send_request("/draft/x")
    for name in ("low", "far-low"):
        effects = gateway.end_attempt(
            exchange_id,
            _Outcome.NOT_SENT,
            endpoint_id=model.EndpointId(name),
            link_failure=_events.LinkFailure.DIRECT,
        )
    return effects


def _links_restored(gateway: parts.Gateway) -> _Effects:
    _lose_links(gateway)
    return gateway.handle(_events.EndpointProbed(_LOW, True))


def _forwarder_failed(gateway: parts.Gateway) -> _Effects:
    _lose_links(gateway)
    forwarder = protocol.Forwarder(model.VmId("entry:2"), "e2:1", "secret")
    gateway.receive(protocol.ForwardersOffered((forwarder,)))
    return gateway.end_attempt(
        1, _Outcome.NOT_SENT, link_failure=_events.LinkFailure.FORWARDER
    )


def _path_missing(gateway: parts.Gateway) -> _Effects:
    """Find neither an endpoint nor a forwarder."""
    _lose_links(gateway)
    effects = gateway.receive(protocol.ForwardersOffered(()))
    for _ in range(40):
        if not parts.has_no_effect(effects, _effects.FailExchange):
            break
        effects = gateway.advance(60)
        effects += gateway.end_attempt(
            1, _Outcome.NOT_SENT, link_failure=_events.LinkFailure.DIRECT
        )
    return effects


def _request_failed(gateway: parts.Gateway) -> _Effects:
    exchange_id, _ = gateway.send_request("/post/x")
    return gateway.end_attempt(exchange_id, _Outcome.UNKNOWN, detail="reset")


def _request_rejected(gateway: parts.Gateway) -> _Effects:
    return gateway.send_request("/nowhere/x")[1]


def _caller_disconnected(gateway: parts.Gateway) -> _Effects:
    exchange_id, _ = gateway.send_request("/read/x")
    return gateway.handle(_events.CallerDisconnected(exchange_id))


def _request_waits(gateway: parts.Gateway) -> _Effects:
    running: list[int] = []
    while True:
        exchange_id, effects = gateway.send_request("/draft/x", tokens=100)
        if parts.has_no_effect(effects, _effects.StartAttempt):
            break
        running.append(exchange_id)
    for _step in range(15):
        gateway.now += parts.milliseconds(100)
        gateway.end_attempt(running.pop(0), _Outcome.ANSWERED)
        running.append(gateway.send_request("/draft/x", tokens=100)[0])
    return gateway.send_request("/draft/x", tokens=100)[1]


def _stalls_inspected(gateway: parts.Gateway) -> _Effects:
    gateway.send_request("/draft/x")
    report = _calls.StallReport((_calls.Stall("r1", "high:80"),))
    return gateway.handle(_events.StallsInspected(_LOW, report))


def _endpoint_suspected(gateway: parts.Gateway) -> _Effects:
    exchange_id, _ = gateway.send_request("/read/x")
    return gateway.end_attempt(
        exchange_id, _Outcome.NOT_SENT, detail="refused"
    )


def _configuration_in_force(gateway: parts.Gateway) -> _Effects:
    raw = catalog.encode(parts.make_configuration(2))
    return gateway.receive(protocol.ConfigurationPublished(2, True, raw))


def _peer_connected(gateway: parts.Gateway) -> _Effects:
    hello = protocol.Hello(
        _CONTROL, "control", parts.HOME, model.Incarnation(1)
    )
    return gateway.handle(protocol.PeerConnected(hello))


def _peer_disconnected(gateway: parts.Gateway) -> _Effects:
    return gateway.handle(protocol.PeerDisconnected(_CONTROL))


def _peer_refused(gateway: parts.Gateway) -> _Effects:
    failure = errors.DocumentRefused("frame", ())
    return gateway.handle(protocol.PeerRefused("127.0.0.1:1", failure))


def _notice(
    gateway: parts.Gateway, notice: catalog.EndpointNotice
) -> _Effects:
    metadata = _calls.AnswerMetadata(None, True, False, notice=notice)
    return gateway.handle(_events.AnswerHeadReceived(_LOW, metadata))


def _endpoint_leaving(gateway: parts.Gateway) -> _Effects:
    return _notice(gateway, catalog.EndpointNotice(is_leaving=True))


def _endpoint_paused(gateway: parts.Gateway) -> _Effects:
    pause = parts.milliseconds(1500)
    return _notice(gateway, catalog.EndpointNotice(pause=pause))


def _limit(
    gateway: parts.Gateway,
    endpoint_id: model.EndpointId,
    requests_per_second: float | None,
) -> _Effects:
    return gateway.receive(
        protocol.EndpointLimited(endpoint_id, 1, requests_per_second)
    )


def _endpoint_limited(gateway: parts.Gateway) -> _Effects:
    return _notice(gateway, catalog.EndpointNotice(request_limit=8.1))


def _endpoint_limit_ended(gateway: parts.Gateway) -> _Effects:
    _endpoint_limited(gateway)
    gateway.advance(1500)
    return _notice(gateway, catalog.EndpointNotice())


def _limit_unreadable(gateway: parts.Gateway) -> _Effects:
    notice = catalog.EndpointNotice(malformed_request_limit="nan")
    return _notice(gateway, notice)


def _permit_denied(gateway: parts.Gateway) -> _Effects:
    _limit(gateway, _LOW, 0.5)
    exchange_id, _ = gateway.send_request("/draft/x")
    return gateway.receive(
        protocol.PermitAnswered(_LOW, 1, exchange_id, False, 1900)
    )


def _request_limited(gateway: parts.Gateway) -> _Effects:
    _limit(gateway, _LOW, 0.0)
    _limit(gateway, model.EndpointId("far-low"), 0.0)
    effects: _Effects = []
    for _ in range(2):
        exchange_id, _ = gateway.send_request("/draft/x")
        for endpoint_id in (_LOW, model.EndpointId("far-low")):
            effects += gateway.receive(
                protocol.PermitAnswered(
                    endpoint_id, 1, exchange_id, False, 30_000
                )
            )
    return effects


def _pause_unreadable(gateway: parts.Gateway) -> _Effects:
    return _notice(gateway, catalog.EndpointNotice(malformed_pause="soon"))


def _request_held(gateway: parts.Gateway) -> _Effects:
    gateway.reducer._state.table = None
    return gateway.send_request("/read/x")[1]


def _process_draining(gateway: parts.Gateway) -> _Effects:
    return gateway.handle(
        _events.DrainRequested(
            parts.milliseconds(7500), parts.milliseconds(2600)
        )
    )


def _request_cut(gateway: parts.Gateway) -> _Effects:
    gateway.send_request("/draft/x")
    return gateway.handle(_events.DrainEnded())


def _drain_ended(gateway: parts.Gateway) -> _Effects:
    gateway.reducer._state.table = None
    gateway.send_request("/post/x")
    return gateway.handle(_events.DrainEnded(2, 1))


def _drain_decision(gateway: parts.Gateway) -> _Effects:
    _process_draining(gateway)
    gateway.advance(4000)
    return gateway.send_request("/post/x")[1]


_SCENARIOS: dict[str, tuple[_Scenario, dict[str, object]]] = {
    "request_dispatched": (
        _request_dispatched,
        {"request": "r1", "endpoint": "low", "attempt": 1},
    ),
    "drain_decision": (
        _drain_decision,
        {
            "request": "r1",
            "is_sent": False,
            "reason": "unknown",
            "probability": None,
            "milliseconds_left": 3500,
        },
    ),
    "request_answered": (_request_answered, {"request": "r1", "attempts": 1}),
    "attempt_ended": (
        _attempt_ended,
        {"request": "r1", "outcome": "unknown", "detail": "reset"},
    ),
    "crash_attributed": (
        _crash_attributed,
        {"endpoint": "low", "requests": "r1", "parts": "p,q"},
    ),
    "cause_held_back": (_cause_held_back, {"cause": "part:p"}),
    "cause_freed": (
        _cause_freed,
        {"cause": "part:p", "reason": "its time is over"},
    ),
    "request_held_back": (
        _request_held_back,
        {
            "request": "r1",
            "cause": "part:p",
            "crashes": "e0@1,2026-01-01T00:00:00.200+00:00,entry:2"
            " e1@1,2026-01-01T00:00:00.400+00:00,entry:2"
            " e2@1,2026-01-01T00:00:00.600+00:00,entry:2",
            "held_until": "2026-01-01T00:01:00.600+00:00",
        },
    ),
    "request_failed": (
        _request_failed,
        {"request": "r1", "code": "outcome_unknown", "may_have_run": True},
    ),
    "request_turned_away": (
        _request_rejected,
        {"request": "r1", "code": "route_unknown", "configuration": 1},
    ),
    "request_cut": (
        _request_cut,
        {"request": "r1", "attempts": 1, "may_have_run": True},
    ),
    "drain_ended": (
        _drain_ended,
        {"cut_requests": 1, "cut_forwards": 2, "unread_requests": 1},
    ),
    "caller_left": (_caller_disconnected, {"request": "r1", "position": None}),
    "request_waits": (_request_waits, {"service": "model", "ahead": 0}),
    "stalls_inspected": (
        _stalls_inspected,
        {"endpoint": "low", "stalls": 1, "at_fault": "high:80"},
    ),
    "request_rerouted": (
        _stalls_inspected,
        {"request": "r1", "after": "low=0-2,far-high=2-4"},
    ),
    "request_kept": (
        _request_kept,
        {
            "request": "r1",
            "endpoint": "far-low",
            "counted": 2,
            "allowed": 2,
            "reason": "the route allows no further endpoint",
        },
    ),
    "links_cut": (_lose_links, {"endpoints": "far-low,low"}),
    "links_restored": (_links_restored, {"endpoint": "low"}),
    "forwarder_failed": (
        _forwarder_failed,
        {"forwarder": "entry:2", "failure": "forwarder"},
    ),
    "path_missing": (
        _path_missing,
        {
            "request": "r1",
            "cut_off": True,
            "forwarders": 0,
            "usable_forwarders": 0,
            "failed_endpoints": 2,
        },
    ),
    "endpoint_suspected": (_endpoint_suspected, {"failure": "refused"}),
    "configuration_in_force": (
        _configuration_in_force,
        {"version": 2, "before": 1},
    ),
    "peer_connected": (_peer_connected, {"peer": "control:1"}),
    "peer_disconnected": (_peer_disconnected, {"peer": "control:1"}),
    "peer_refused": (_peer_refused, {"address": "127.0.0.1:1"}),
    "process_draining": (_process_draining, {}),
    "request_held": (_request_held, {"request": "r1", "path": "/read/x"}),
    "endpoint_leaving": (
        _endpoint_leaving,
        {"endpoint": "low", "incarnation": 1},
    ),
    "endpoint_paused": (
        _endpoint_paused,
        {"endpoint": "low", "milliseconds": 1500},
    ),
    "pause_unreadable": (_pause_unreadable, {"value": "soon"}),
    "endpoint_limited": (
        _endpoint_limited,
        {"endpoint": "low", "requests_per_second": 8.1, "before": None},
    ),
    "endpoint_limit_ended": (
        _endpoint_limit_ended,
        {"endpoint": "low", "before": 8.1, "milliseconds": 1500},
    ),
    "limit_unreadable": (_limit_unreadable, {"value": "nan"}),
    "permit_denied": (
        _permit_denied,
        {
            "request": "r1",
            "endpoint": "low",
            "requests_per_second": 0.5,
            "free_in_milliseconds": 1900,
        },
    ),
    "request_limited": (
        _request_limited,
        {"request": "r1", "service": "model", "endpoints": "far-low,low"},
    ),
}
# Logged by the daemon and covered by the process tests.
_LOGGED_BY_DAEMON = {
    "forward_cut",
    "forward_opened",
    "forward_refused",
    "process_started",
    "process_stopped",
    "request_unreadable",
}


class TestLogLines:
    @pytest.mark.parametrize("name", list(_SCENARIOS))
    def test_event_is_logged_with_its_fields(self, name: str) -> None:
        scenario, expected = _SCENARIOS[name]
        lines = [
            {field.name: field.value for field in effect.line.fields}
            for effect in scenario(parts.Gateway())
            if isinstance(effect, _effects.WriteLog)
            and effect.line.definition.name == name
        ]
        assert lines
        assert expected.items() <= lines[0].items()

    def test_every_logged_event_is_covered(self) -> None:
        package = pathlib.Path(__file__).parents[1]
        logged = log_lines.find_event_names(package)
        for shared in ("_crash_causes", "_rate_limits"):
            logged |= log_lines.find_event_names(package.parent / shared)
        assert logged == _SCENARIOS.keys() | _LOGGED_BY_DAEMON
