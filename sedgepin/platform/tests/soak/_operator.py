"""Operator: changes the configuration and reads it back."""

import collections
import json
import random

import trio

from sedgepin import _web as web
from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _configurations
from sedgepin.platform.tests.soak import _record

_CALL_TIMEOUT_SECONDS = 1.0
_MEAN_CHANGE_INTERVAL_SECONDS = 1.5
# A change without a definite answer is resent for this long.
_RESEND_TIMEOUT_SECONDS = 20.0
_SERIES_LENGTHS = (3, 8)
_SERIES_GAPS_SECONDS = (0.05, 0.9)


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
        changes: tuple[str, ...] = tuple(_configurations.CHANGES),
    ) -> None:
        self._control_addresses = addresses.control_addresses()
        self._record = record
        self._rng = rng
        self._changes = changes
        self._version = 0
        self._document = _configurations.make_first()
        # What the latest changes have sent, with their versions.
        self._sent: collections.deque[bytes] = collections.deque(maxlen=8)

    async def run(self) -> None:
        """Change and read the configuration until cancelled."""
        await self.change()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(
                    _MEAN_CHANGE_INTERVAL_SECONDS * 2 * self._rng.random()
                )
                match self._rng.randrange(6):
                    case 0:
                        nursery.start_soon(self.change)
                        nursery.start_soon(self.change)
                    case 1:
                        nursery.start_soon(self._send_refused)
                    case 2:
                        nursery.start_soon(self.read)
                    case 3:
                        nursery.start_soon(self._send_again)
                    case 4:
                        await self._run_series(nursery)
                    case _:
                        nursery.start_soon(self.change)

    async def _run_series(self, nursery: trio.Nursery) -> None:
        """Send changes one after the other, without waiting for answers."""
        for _number in range(self._rng.randint(*_SERIES_LENGTHS)):
            nursery.start_soon(self.change)
            if self._rng.random() < 0.2:
                nursery.start_soon(self._send_refused)
            await trio.sleep(self._rng.uniform(*_SERIES_GAPS_SECONDS))

    def draw_change(self) -> bytes:
        """Change the document; return it with the next version."""
        self._version += self._rng.randint(1, 4)
        # Several kinds in one document as well.
        for name in self._rng.sample(
            self._changes,
            min(len(self._changes), self._rng.choice((1, 1, 1, 3))),
        ):
            _configurations.CHANGES[name](self._document, self._rng)
            self._record.configuration_changes[name] += 1
        idle_timeout_ms = self._document["limits"]["idleTimeoutMs"]
        self._record.idle_seconds[self._version] = idle_timeout_ms / 1000
        return _configurations.encode(self._document, self._version)

    async def change(self) -> None:
        """Send the next version until it is acknowledged or rejected."""
        content = self.draw_change()
        version = self._version
        self._sent.append(content)
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

    async def _send_refused(self) -> None:
        """Send a configuration that must be refused."""
        self._version += 1
        version = self._version
        reason, content = _configurations.make_refused(
            self._document, version, self._rng
        )
        status, _ = await self._call(b"PUT", content)
        self._record.configuration_changes["refused"] += 1
        if status == 200:
            self._record.accepted_invalid.append(
                f"version {version} has {reason}"
            )

    async def _send_again(self) -> None:
        """Send an older version again, which changes nothing."""
        await self._call(b"PUT", self._rng.choice(self._sent))
        self._record.configuration_changes["old version"] += 1

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
