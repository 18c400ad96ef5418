"""Other writers and callers whose messages are unlike those of the pages."""

import json
import random
import typing

import trio

from sedgepin import _web as web
from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _configurations
from sedgepin.platform.tests.soak import _record

_PAUSE_SECONDS = 0.5
_TIMEOUT_SECONDS = 1.0
_NESTED = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
_UNUSABLE: tuple[dict[str, typing.Any], ...] = (
    {"address": "127.0.0.1:80800"},
    {"address": "999.1.1.1:80"},
    {"sequence": 10**20},
    {"born": 10**20},
    {"slots": 10**20},
    {"layers": {"from": 0, "to": 10**17}},
    {"state": "asleep"},
    {"zone": None},
)
_REQUESTS = (
    web.Request(b"HEAD", b"/nowhere/x", ()),
    web.Request(b"HEAD", b"/read/x", ((b"Authorization", b"Token no"),)),
    web.Request(b"POST", b"/draft/x", ((b"X-Token-Usage", b"9" * 400),)),
    web.Request(b"GET", b"/nowhere/x", ((b"X-Deadline-Ms", b"9" * 17),)),
)


class OddWriters:
    """Sends odd check-ins to control VMs, and odd requests to entry VMs.

    No process may end by one, and the other messages hold.
    """

    def __init__(
        self,
        addresses: _addresses.Addresses,
        record: _record.Record,
        rng: random.Random,
    ) -> None:
        self._addresses = addresses
        self._record = record
        self._rng = rng

    async def run(self, seconds: float) -> None:
        """Send messages for some time."""
        with trio.move_on_after(seconds):
            while True:
                await self._send_check_in()
                await self._send_request()
                await trio.sleep(self._rng.uniform(0, 2 * _PAUSE_SECONDS))

    async def _send_check_in(self) -> None:
        """Send one with an unusable value, or for an unknown service.

        The latter names the address of a sound engine, and a later start.
        """
        engine = self._rng.randint(1, self._addresses.counts["engine"])
        document = {
            "service": "unknown",
            "address": self._addresses.engine_address(engine),
            "zone": self._addresses.zone(1),
            "state": "ready",
            "born": 2**62,
            "sequence": 1,
        }
        change = self._rng.choice((*_UNUSABLE, {}))
        body = json.dumps({**document, **change}).encode()
        if self._rng.random() < 0.1:
            body = _NESTED
        target = b"/v1/instances/odd-%d" % self._rng.randint(1, 3)
        address = self._rng.choice(self._addresses.control_addresses())
        self._record.odd_message_count += 1
        await _send(address, web.Request(b"PUT", target, (), body))

    async def _send_request(self) -> None:
        number = self._rng.randint(1, self._addresses.counts["entry"])
        request = self._rng.choice(_REQUESTS)
        self._record.odd_message_count += 1
        await _send(self._addresses.entry_address(number), request)


async def _send(address: str, request: web.Request) -> None:
    headers = (
        (b"Host", _configurations.HOST.encode()),
        (b"X-Request-Id", b"odd"),
        *request.headers,
    )
    sent = web.Request(request.method, request.target, headers, request.body)
    await web.send_request(address, sent, _TIMEOUT_SECONDS)
