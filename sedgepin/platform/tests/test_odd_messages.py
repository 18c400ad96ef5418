"""Tests of odd requests and answers, with processes under load."""

import trio

from sedgepin.platform.tests import running_system

_HUGE = b"1" + b"0" * 400
_MANY_DIGITS = b"1" * 5000
_ANSWER_FIELDS = (
    (b"X-Instance-Load", _HUGE + b",0,8"),
    (b"X-Instance-Load", _MANY_DIGITS + b",0,8"),
    (b"Server-Limit", _HUGE),
    (b"Retry-After", _HUGE),
)
# Each request, and the statuses that it may get.
_REQUESTS = (
    ((b"X-Token-Usage", _HUGE + b"," + _HUGE), {400}),
    ((b"X-Token-Usage", _MANY_DIGITS + b",1"), {400}),
    ((b"X-Deadline-Ms", b"86399999000000000"), {200}),
    ((b"Last-Event-Id", _HUGE), {200}),
    ((b"X-Prompt-Prefix", b"," * 2000), {200}),
)


class TestOddMessages:
    """A number of 400 digits once ended an entry process (issue 40)."""

    async def test_processes_go_on_serving(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        engine = await running_system.start_system(system, nursery)
        route = {
            **running_system.ROUTES[0],
            "pathPrefix": "/long/",
            "timeoutMs": 80_000_000_000_000,
        }
        await running_system.publish([route])
        callers = [running_system.Caller() for _ in range(4)]
        for caller in callers:
            nursery.start_soon(caller.run)
        for answer_field in _ANSWER_FIELDS:
            engine.fields = (answer_field,)
            await trio.sleep(0.2)
            for field, expected in _REQUESTS:
                for target in (b"/post/x", b"/long/x"):
                    status, _body = await running_system.send_raw(
                        running_system.ENTRY,
                        running_system.CALL_PORT,
                        b"POST",
                        target,
                        b"",
                        (field,),
                    )
                    assert status in expected, (answer_field[0], field[0])
        for role, process in system.processes.items():
            assert process.poll() is None, role
            assert '"task_failed"' not in system.log_text(role)
        assert {status for one in callers for status in one.statuses} == {200}
        nursery.cancel_scope.cancel()
