"""Tests of HEAD requests, with processes under load."""

import trio

from sedgepin.platform.tests import running_system

_ANSWERS = (
    (running_system.ENTRY, b"/post/x", 200),
    (running_system.ENTRY, b"/draft/x", 200),
    (running_system.ENTRY, b"/private/x", 401),
    (running_system.ENTRY, b"/nowhere/x", 404),
    (running_system.CONTROL, b"/v1/config", 404),
    (running_system.CONTROL, b"/nowhere", 404),
)
_PRIVATE: dict[str, object] = {
    "host": "one.example",
    "pathPrefix": "/private/",
    "kind": "idempotent",
    "timeoutMs": 4000,
    "service": "s",
}


class TestHeadRequests:
    """The answer to one once ended entry processes (review/1, LOST)."""

    async def test_each_is_answered_beside_other_requests(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        await running_system.start_system(system, nursery)
        await running_system.publish(
            [_PRIVATE], [{"name": "t", "apiKeys": ["k"]}]
        )
        callers = [running_system.Caller() for _ in range(4)]
        for caller in callers:
            nursery.start_soon(caller.run)
        for _round in range(3):
            for ip, target, expected in _ANSWERS:
                status, body = await running_system.send_raw(
                    ip, running_system.CALL_PORT, b"HEAD", target
                )
                assert (status, body) == (expected, b""), target
        for role, process in system.processes.items():
            assert process.poll() is None, role
            assert '"task_failed"' not in system.log_text(role)
        assert {status for one in callers for status in one.statuses} == {200}
        nursery.cancel_scope.cancel()
