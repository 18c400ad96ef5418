"""Tests of the platform's documents, sound and otherwise."""

import json
import pathlib
import typing

import hypothesis
from hypothesis import strategies
import pytest

from sedgepin import _catalog as catalog
from sedgepin import _registrar as registrar
from sedgepin import _web as web
from sedgepin.platform import _configuration
from sedgepin.platform import _control
from sedgepin.platform import _endpoints
from sedgepin.platform import _settings

_SETTINGS = """
nodeName = "core-1"
ip = "10.0.0.1"
zone = "one"
internalPorts = [7340, 7355]
seeds = ["10.0.0.1:8229", "10.0.0.2:8229"]
bootstrap = true
dataDir = "/data"
heartbeatMs = 1200
surprise = 1
[listen]
control = "10.0.0.1:8229"
[bounds]
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetMinRetries = 198
graceS = 8
"""

_ROUTE: dict[str, typing.Any] = {
    "name": "r",
    "host": "One.Example",
    "pathPrefix": "/a/",
    "kind": "streaming",
    "timeoutMs": 20000,
    "targetLatencyMs": 500,
    "trafficSplit": [
        {"service": "m", "weight": 90},
        {"service": "s", "weight": 10},
    ],
    "maxAttempts": 2,
    "resumable": True,
    "gapTargetMs": 250,
}
_MANIFEST: dict[str, typing.Any] = {
    "version": 7,
    "routes": [_ROUTE],
    "services": [{"name": "m"}, {"name": "s"}],
    "tenants": [{"name": "t", "apiKeys": ["k"], "priority": 1}],
}
_CHECK_IN: dict[str, typing.Any] = {
    "service": "m",
    "address": "10.0.0.9:80",
    "zone": "one",
    "state": "ready",
    "sequence": 4,
    "born": 1790000000000,
    "layers": {"from": 0, "to": 27, "version": 1},
    "kind": "a100",
    "models": [{"name": "x", "version": 1}],
}


def _manifest(**changes: typing.Any) -> bytes:
    return json.dumps({**_MANIFEST, **changes}).encode()


def _check_in(**changes: typing.Any) -> bytes:
    return json.dumps({**_CHECK_IN, **changes}).encode()


class TestSettings:
    def test_become_the_products(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "settings.toml"
        path.write_text(_SETTINGS)
        control = _settings.read(path).unwrap().registrar_settings()
        assert control.vm_id == "10.0.0.1:7340"
        assert control.seeds == ("10.0.0.1:7340", "10.0.0.2:7340")
        assert control.is_new_system

    @pytest.mark.parametrize(
        ("old", "new"),
        [
            ("heartbeatMs = 1200", ""),
            ("heartbeatMs = 1200", "heartbeatMs = 0"),
            ("[7340, 7355]", "[7340]"),
            ("graceS = 8", 'graceS = "long"'),
            ("[listen]", "[listen"),
        ],
    )
    def test_faulty_ones_are_refused(
        self, tmp_path: pathlib.Path, old: str, new: str
    ) -> None:
        path = tmp_path / "settings.toml"
        path.write_text(_SETTINGS.replace(old, new))
        assert _settings.read(path).is_err()

    def test_missing_file_is_refused(self, tmp_path: pathlib.Path) -> None:
        assert _settings.read(tmp_path / "none").is_err()


class TestConfiguration:
    def test_becomes_the_products(self) -> None:
        found = _configuration.parse(_manifest()).unwrap()
        route = found.routes[0]
        assert route.host == "one.example"
        assert route.may_repeat
        assert [one.weight for one in route.targets] == [90.0, 10.0]
        assert found.customers[0].priority == 1

    @pytest.mark.parametrize(
        "changes",
        [
            {"routes": [{**_ROUTE, "timeoutMs": 0}]},
            {"routes": [{**_ROUTE, "kind": "odd"}]},
            {"routes": [{**_ROUTE, "timeoutMs": 1e300}]},
            {"routes": [_ROUTE, _ROUTE]},
            {"routes": [{**_ROUTE, "trafficSplit": []}]},
            {"services": [{"name": "m"}]},
            {"version": "seven"},
            {"tenants": [{"name": one, "apiKeys": ["k"]} for one in "tu"]},
        ],
    )
    def test_invalid_ones_are_refused(
        self, changes: dict[str, typing.Any]
    ) -> None:
        assert _configuration.parse(_manifest(**changes)).is_err()

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(strategies.integers(0, 600), strategies.binary())
    def test_cut_or_spoilt_ones_never_raise(
        self, cut: int, spoilt: bytes
    ) -> None:
        whole = _manifest()
        read = _configuration.parse(whole[:cut] + spoilt)
        assert read.is_err() or whole[:cut] + spoilt == whole


class TestCheckIn:
    def test_becomes_a_registration(self) -> None:
        word = _endpoints.parse_check_in("i-1", _check_in()).unwrap()
        assert word.ordering_key == (1790000000000, 4)
        assert word.layers is not None and word.layers.count == 27
        assert word.state is catalog.EndpointState.READY

    @pytest.mark.parametrize(
        "changes",
        [
            {"state": "asleep"},
            {"address": "somewhere"},
            {"sequence": "4"},
            {"sequence": -1},
            {"service": ""},
            {"born": 1.5},
            {"zone": None},
        ],
    )
    def test_odd_ones_are_refused(
        self, changes: dict[str, typing.Any]
    ) -> None:
        read = _endpoints.parse_check_in("i-1", _check_in(**changes))
        assert read.is_err()

    @pytest.mark.parametrize(
        "layers", [None, [], {"from": 5, "to": 5, "version": 1}]
    )
    def test_engine_without_layers(self, layers: object) -> None:
        read = _endpoints.parse_check_in("i-1", _check_in(layers=layers))
        assert read.unwrap().layers is None

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.text(max_size=8),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(list(_CHECK_IN)), inner, max_size=4
                )
            ),
        )
    )
    def test_any_document_is_read_or_refused(self, value: object) -> None:
        body = json.dumps(value).encode()
        _endpoints.parse_check_in("i-1", body)
        _endpoints.parse_report(body)


class TestControlCalls:
    @pytest.mark.parametrize(
        ("method", "target", "body", "kind"),
        [
            (b"GET", b"/v1/config", b"", registrar.ReadCall),
            (b"PUT", b"/v1/config", _manifest(), registrar.PublishCall),
            (b"PUT", b"/v1/instances/i", _check_in(), registrar.RegisterCall),
            (b"DELETE", b"/v1/instances/i", b"", registrar.DeregisterCall),
        ],
    )
    def test_read(
        self, method: bytes, target: bytes, body: bytes, kind: type[object]
    ) -> None:
        request = web.Request(method, target, (), body)
        read = _control.ControlDialect().parse_call(request)
        assert isinstance(read.unwrap(), kind)

    @pytest.mark.parametrize(
        ("method", "target"),
        [
            (b"POST", b"/v1/config"),
            (b"GET", b"/"),
            (b"PUT", b"/v1/instances/"),
            (b"PUT", b"/v1/instances/a/b"),
        ],
    )
    def test_unknown_ones_are_refused(
        self, method: bytes, target: bytes
    ) -> None:
        request = web.Request(method, target, ())
        read = _control.ControlDialect().parse_call(request)
        assert read.unwrap_err().http_status == 404
