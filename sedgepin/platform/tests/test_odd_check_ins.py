"""Tests of check-ins of other writers, with processes under load."""

import json

import trio

from sedgepin.platform.tests import running_system
from sedgepin.tests import loopback

_ODD_ADDRESS = loopback.address(71, 9)
_CHECK_IN = {
    "service": "s",
    "address": f"{_ODD_ADDRESS}:80",
    "zone": "one",
    "state": "ready",
    "sequence": 1,
    "born": 1,
}
_DEPTH = 100_000
_BODIES: dict[str, bytes] = {
    "port over 65535": json.dumps(
        {**_CHECK_IN, "address": f"{_ODD_ADDRESS}:80800"}
    ).encode(),
    "no octet": json.dumps({**_CHECK_IN, "address": "999.1.1.1:80"}).encode(),
    "sequence over 64 bits": json.dumps(
        {**_CHECK_IN, "sequence": 10**20}
    ).encode(),
    "born over 64 bits": json.dumps({**_CHECK_IN, "born": 10**20}).encode(),
    "slots over 64 bits": json.dumps({**_CHECK_IN, "slots": 10**20}).encode(),
    "version over 64 bits": json.dumps(
        {**_CHECK_IN, "models": [{"name": "m", "version": 10**20}]}
    ).encode(),
    "layers without end": json.dumps(
        {**_CHECK_IN, "layers": {"from": 0, "to": 10**17}}
    ).encode(),
    "nested": b'{"x":' + b"[" * _DEPTH + b"]" * _DEPTH + b"}",
    "no text": b"\xff\xfe{",
}


class TestOddCheckIns:
    """They name no endpoint, and no process ends by one (review/2, LOST)."""

    async def test_processes_go_on_serving(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        await running_system.start_system(system, nursery)
        callers = [running_system.Caller() for _ in range(4)]
        for caller in callers:
            nursery.start_soon(caller.run)
        for _round in range(3):
            for name, body in _BODIES.items():
                target = b"/v1/instances/odd-" + name.encode().split()[0]
                status, _answer = await running_system.send_raw(
                    running_system.CONTROL,
                    running_system.CALL_PORT,
                    b"PUT",
                    target,
                    body,
                )
                assert status == 422, name
            await trio.sleep(0.5)
        for role, process in system.processes.items():
            assert process.poll() is None, role
        statuses = [status for one in callers for status in one.statuses]
        assert len(statuses) > 50
        assert set(statuses) == {200}
        nursery.cancel_scope.cancel()
