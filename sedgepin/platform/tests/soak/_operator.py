"""Operator: changes the configuration and reads it back."""

import json
import random
import typing

import trio

from sedgepin import _web as web
from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _engines
from sedgepin.platform.tests.soak import _record

HOST = "soak.example"
KEYS = ("k1", "k2", "k3")
PREFIXES = {"write": "post", "read": "read", "stream": "draft"}
_RETRY_SEMANTICS = {"write": "non_idempotent", "read": "idempotent"}
_CALL_TIMEOUT_SECONDS = 1.0
_MEAN_CHANGE_INTERVAL_SECONDS = 1.5
# A change without a definite answer is resent for this long.
_RESEND_TIMEOUT_SECONDS = 20.0
_ROUTE_TIMEOUTS_MS = (4000, 4500, 5000)


def make_configuration(version: int, timeout_ms: int) -> bytes:
    """Return a configuration with three routes and two services."""
    routes: list[dict[str, typing.Any]] = [
        {
            "name": route,
            "host": HOST,
            "pathPrefix": f"/{prefix}/",
            "kind": _RETRY_SEMANTICS.get(route, "streaming"),
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 500,
            "service": _engines.MODEL_SERVICE
            if route == "stream"
            else _engines.PLAIN_SERVICE,
            "maxAttempts": 1 if route == "write" else 3,
            "resumable": route == "stream",
        }
        for route, prefix in PREFIXES.items()
    ]
    engine = {
        "slots": 96,
        "step_ms": 1.0,
        "per_seq_ms": 0.01,
        "context_per_k": 0.01,
        "read_per_s": 100_000.0,
        "kvTokenBytes": 8000,
        "models": [{"loadS": 0.3}],
        "kinds": [
            {
                "name": "card",
                "mb": _engines.MEMORY_MEGABYTES,
                "pace": 1.0,
                "readX": 1.0,
            }
        ],
        "usual": {"prompt": 10, "answer": 10},
        "layers": _engines.LAYERS,
        "layerMb": _engines.LAYER_MEGABYTES,
        "activationBytes": 100,
        "loads_at_once": 6,
        "report_lag_ms": 100,
    }
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {"name": _engines.MODEL_SERVICE, "engine": engine},
                {"name": _engines.PLAIN_SERVICE},
            ],
            "tenants": [
                {"name": f"customer-{key}", "apiKeys": [key]} for key in KEYS
            ],
        }
    ).encode()


async def is_ready(address: str) -> bool:
    """Return whether an entry VM's readiness check succeeds."""
    request = web.Request(b"GET", b"/v1/ready", ((b"Host", b"ready"),))
    result = await web.send_request(address, request, 0.5)
    return result.is_ok() and result.unwrap()[0].status == 200


class Operator:
    """Sends configurations with increasing versions and reads them back."""

    def __init__(
        self,
        addresses: _addresses.Addresses,
        record: _record.Record,
        rng: random.Random,
    ) -> None:
        self._control_addresses = addresses.control_addresses()
        self._record = record
        self._rng = rng
        self._version = 0

    async def run(self) -> None:
        """Change and read the configuration until cancelled."""
        await self.change()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(
                    _MEAN_CHANGE_INTERVAL_SECONDS * 2 * self._rng.random()
                )
                match self._rng.randrange(4):
                    case 0:
                        nursery.start_soon(self.change)
                        nursery.start_soon(self.change)
                    case 1:
                        nursery.start_soon(self._send_invalid)
                    case 2:
                        nursery.start_soon(self.read)
                    case _:
                        nursery.start_soon(self.change)

    async def change(self) -> None:
        """Send the next version until it is acknowledged or rejected."""
        self._version += self._rng.randint(1, 4)
        version = self._version
        timeout_ms = self._rng.choice(_ROUTE_TIMEOUTS_MS)
        content = make_configuration(version, timeout_ms)
        sent_at = trio.current_time()
        with trio.move_on_after(_RESEND_TIMEOUT_SECONDS):
            while True:
                status, _ = await self._call(b"PUT", content)
                if status == 200:
                    self._record.acknowledged.append(
                        _record.AcknowledgedConfiguration(
                            version, content, sent_at, trio.current_time()
                        )
                    )
                    return
                if 400 <= status < 500:
                    rejected = f"version {version} with status {status}"
                    self._record.rejected_configurations.append(rejected)
                    return
                await trio.sleep(0.1)

    async def read(self) -> bool:
        """Read the configuration from any control VM.

        Returns whether it was received.
        """
        sent_at = trio.current_time()
        status, body = await self._call(b"GET", b"")
        if status != 200:
            return False
        version = json.loads(body)["version"]
        self._record.read_configurations.append(
            _record.ReadConfiguration(version, body, sent_at)
        )
        return True

    async def _send_invalid(self) -> None:
        """Send a configuration that names an unknown service."""
        self._version += 1
        invalid = json.loads(make_configuration(self._version, 4000))
        invalid["routes"][0]["service"] = "nowhere"
        status, _ = await self._call(b"PUT", json.dumps(invalid).encode())
        if status == 200:
            accepted = f"version {self._version} names an unknown service"
            self._record.accepted_invalid.append(accepted)

    async def _call(self, method: bytes, content: bytes) -> tuple[int, bytes]:
        """Call a random control VM; status 0 means no definite answer."""
        headers = ((b"Host", b"control"),)
        request = web.Request(method, b"/v1/config", headers, content)
        address = self._rng.choice(self._control_addresses)
        result = await web.send_request(
            address, request, _CALL_TIMEOUT_SECONDS
        )
        if result.is_err():
            return 0, b""
        head, body = result.unwrap()
        return head.status, body
