"""Tests of documents with odd values: refused, or of use to every VM."""

import datetime
import ipaddress
import json
import math
import typing

import h11
import hypothesis
from hypothesis import strategies

from sedgepin import _protocol as protocol
from sedgepin._protocol import _framing
from sedgepin import _web as web
from sedgepin.platform import _answers
from sedgepin.platform import _configuration
from sedgepin.platform import _control
from sedgepin.platform import _endpoints

_ROUTE: dict[str, typing.Any] = {
    "name": "r",
    "host": "one.example",
    "pathPrefix": "/a/",
    "kind": "streaming",
    "timeoutMs": 20000,
    "targetLatencyMs": 500,
    "service": "s",
    "maxAttempts": 2,
    "priority": 1,
    "gapTargetMs": 250,
}
_CHECK_IN: dict[str, typing.Any] = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "one",
    "state": "ready",
    "sequence": 4,
    "born": 1790000000000,
    "layers": {"from": 0, "to": 27},
    "kind": "a100",
    "models": [{"name": "x", "version": 1}],
}
_ODD_NUMBERS = strategies.sampled_from(
    (-1, 0, 1, 65_535, 65_536, 2**31, 2**63 - 1, 2**63, 2**64, 10**20, 10**400)
)
_ODD_VALUES = (
    strategies.none()
    | strategies.booleans()
    | _ODD_NUMBERS
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=4)
    | strategies.sampled_from(
        ("10.0.0.9:80", "10.0.0.9:80800", "1.2.3.4:", "\u1eb9:1", "ready")
    )
    | strategies.builds(
        lambda first, end: {"from": first, "to": end},
        _ODD_NUMBERS,
        _ODD_NUMBERS,
    )
    | strategies.builds(
        lambda version: [{"name": "m", "version": version}], _ODD_NUMBERS
    )
)


class TestOddDocuments:
    """Whatever is accepted can be used by every VM (review/2)."""

    @hypothesis.settings(derandomize=True, max_examples=500)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from((*_CHECK_IN, "slots")),
            _ODD_VALUES,
            max_size=3,
        ),
        strategies.text(min_size=1, max_size=3) | strategies.just("i-1"),
    )
    def test_accepted_check_in_can_be_relayed_and_called(
        self, changes: dict[str, typing.Any], endpoint_id: str
    ) -> None:
        parsed = _endpoints.parse_check_in(
            endpoint_id, json.dumps({**_CHECK_IN, **changes}).encode()
        )
        if parsed.is_err():
            return
        registration = parsed.unwrap()
        frame = _framing.encode_messages(
            (protocol.RegistrationsSeen((registration,)),)
        )
        assert frame
        host, _, port = registration.address.rpartition(":")
        assert ipaddress.IPv4Address(host).is_global is not None
        assert 1 <= int(port) <= 65_535
        order = _answers.order_request(
            registration.address, {}, registration.endpoint_id
        )
        assert h11.Request(
            method=order.method,
            target=order.target,
            headers=list(order.headers),
        )
        if registration.layers is not None:
            assert registration.layers.count <= 65_536

    @hypothesis.settings(derandomize=True, max_examples=500)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(
                ("sequence", "busy", "born", "layers", "pace", "stalled")
            ),
            _ODD_VALUES,
            max_size=3,
        )
    )
    def test_any_report_is_parsed_or_refused(
        self, changes: dict[str, typing.Any]
    ) -> None:
        body = json.dumps(changes).encode()
        parsed = _control.ControlDialect().parse_report(
            web.AnswerHead(200), body
        )
        if parsed.is_err():
            return
        report = parsed.unwrap()
        assert report.order_count <= 2**63 - 1
        assert math.isfinite(report.slowdown)

    @hypothesis.settings(derandomize=True, max_examples=500)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(tuple(_ROUTE)), _ODD_VALUES, max_size=2
        ),
        strategies.text(max_size=4),
        _ODD_NUMBERS,
    )
    def test_accepted_configuration_can_be_published_and_used(
        self, route: dict[str, typing.Any], tenant: str, version: int
    ) -> None:
        document = json.dumps(
            {
                "version": version,
                "routes": [{**_ROUTE, **route}],
                "services": [{"name": "s"}],
                "tenants": [{"name": tenant, "apiKeys": ["k"]}],
            }
        ).encode()
        parsed = _configuration.parse(document)
        if parsed.is_err():
            return
        configuration = parsed.unwrap()
        assert _framing.encode_messages(
            (
                protocol.ConfigurationPublished(
                    configuration.version, True, document
                ),
            )
        )
        now = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
        for item in configuration.routes:
            assert now + item.timeout + item.first_output_target > now
        value = web.encode_field_value(configuration.customers[0].name)
        assert h11.Request(
            method=b"GET",
            target=b"/",
            headers=[(b"Host", b"a"), (b"X-Tenant", value)],
        )
