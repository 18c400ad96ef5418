"""Tests of valid and invalid documents of the platform."""

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
_DOCUMENT: dict[str, typing.Any] = {
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


def _document(**changes: typing.Any) -> bytes:
    return json.dumps({**_DOCUMENT, **changes}).encode()


def _check_in(**changes: typing.Any) -> bytes:
    return json.dumps({**_CHECK_IN, **changes}).encode()


class TestSettings:
    def test_file_is_converted_to_control_settings(
        self, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / "settings.toml"
        path.write_text(_SETTINGS)
        control = _settings.read(path).unwrap().registrar_settings()
        assert control.vm_id == "10.0.0.1:7340"
        assert control.seeds == ("10.0.0.1:7340", "10.0.0.2:7340")
        assert control.is_new_system

    def test_numbers_may_have_fractions(self, tmp_path: pathlib.Path) -> None:
        """Each process of a small deployment once refused its settings."""
        path = tmp_path / "settings.toml"
        text = _SETTINGS.replace("= 198", "= 47.8").replace("1200", "1200.5")
        path.write_text(text)
        entry = _settings.read(path).unwrap().gateway_settings()
        assert entry.retries.reserve == 47.8
        assert entry.heartbeat_interval.total_seconds() == 1.2005

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
    def test_invalid_file_is_refused(
        self, tmp_path: pathlib.Path, old: str, new: str
    ) -> None:
        path = tmp_path / "settings.toml"
        path.write_text(_SETTINGS.replace(old, new))
        assert _settings.read(path).is_err()

    def test_missing_file_is_refused(self, tmp_path: pathlib.Path) -> None:
        assert _settings.read(tmp_path / "none").is_err()


class TestConfiguration:
    def test_document_is_converted(self) -> None:
        configuration = _configuration.parse(_document()).unwrap()
        route = configuration.routes[0]
        assert route.host == "one.example"
        assert route.is_retryable
        assert [target.weight for target in route.targets] == [90.0, 10.0]
        assert configuration.customers[0].priority == 1

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
            {"version": 10**20},
            {"tenants": [{"name": name, "apiKeys": ["k"]} for name in "tu"]},
        ],
    )
    def test_invalid_document_is_refused(
        self, changes: dict[str, typing.Any]
    ) -> None:
        assert _configuration.parse(_document(**changes)).is_err()

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(strategies.integers(0, 600), strategies.binary())
    def test_truncated_or_corrupted_document_does_not_raise(
        self, length: int, suffix: bytes
    ) -> None:
        valid = _document()
        document = valid[:length] + suffix
        parsed = _configuration.parse(document)
        # Whitespace after a JSON document is part of none.
        assert parsed.is_err() or document.rstrip(b" \t\r\n") == valid


class TestCheckIn:
    def test_check_in_is_converted_to_registration(self) -> None:
        registration = _endpoints.parse_check_in("i-1", _check_in()).unwrap()
        assert registration.ordering_key == (1790000000000, False, 4)
        assert (
            registration.layers is not None and registration.layers.count == 27
        )
        assert registration.state is catalog.EndpointState.READY

    @pytest.mark.parametrize(
        "changes",
        [
            {"state": "asleep"},
            {"address": "somewhere"},
            {"address": "10.0.0.9:80800"},
            {"address": "10.0.0.9:0"},
            {"address": "10.0.0.999:80"},
            {"sequence": "4"},
            {"sequence": -1},
            {"sequence": 2**63},
            {"born": 10**20},
            {"slots": 10**20},
            {"layers": {"from": 0, "to": 10**17}},
            {"models": [{"name": "x", "version": 10**20}]},
            {"service": ""},
            {"born": 1.5},
            {"zone": None},
        ],
    )
    def test_invalid_check_in_is_refused(
        self, changes: dict[str, typing.Any]
    ) -> None:
        parsed = _endpoints.parse_check_in("i-1", _check_in(**changes))
        assert parsed.is_err()

    @pytest.mark.parametrize("endpoint_id", ["", "a b", "\u00e9", "a" * 257])
    def test_id_that_no_header_field_can_hold_is_refused(
        self, endpoint_id: str
    ) -> None:
        parsed = _endpoints.parse_check_in(endpoint_id, _check_in())
        assert parsed.is_err()

    @pytest.mark.parametrize(
        "layers", [None, [], {"from": 5, "to": 5, "version": 1}]
    )
    def test_empty_layers_are_converted_to_none(self, layers: object) -> None:
        parsed = _endpoints.parse_check_in("i-1", _check_in(layers=layers))
        assert parsed.unwrap().layers is None

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
    def test_arbitrary_document_does_not_raise(self, value: object) -> None:
        body = json.dumps(value).encode()
        _endpoints.parse_check_in("i-1", body)
        _endpoints.parse_report(body)


class TestControlCalls:
    @pytest.mark.parametrize(
        ("method", "target", "body", "call_type"),
        [
            (b"GET", b"/v1/config", b"", registrar.ReadCall),
            (b"PUT", b"/v1/config", _document(), registrar.PublishCall),
            (b"PUT", b"/v1/instances/i", _check_in(), registrar.RegisterCall),
            (b"DELETE", b"/v1/instances/i", b"", registrar.DeregisterCall),
        ],
    )
    def test_request_is_parsed_to_call(
        self,
        method: bytes,
        target: bytes,
        body: bytes,
        call_type: type[object],
    ) -> None:
        request = web.Request(method, target, (), body)
        parsed = _control.ControlDialect().parse_call(request)
        assert isinstance(parsed.unwrap(), call_type)

    @pytest.mark.parametrize(
        ("method", "target"),
        [
            (b"POST", b"/v1/config"),
            (b"GET", b"/"),
            (b"PUT", b"/v1/instances/"),
            (b"PUT", b"/v1/instances/a/b"),
        ],
    )
    def test_unknown_method_or_path_is_not_found(
        self, method: bytes, target: bytes
    ) -> None:
        request = web.Request(method, target, ())
        parsed = _control.ControlDialect().parse_call(request)
        assert parsed.unwrap_err().http_status == 404
