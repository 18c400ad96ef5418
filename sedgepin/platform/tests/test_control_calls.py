"""Tests of operators' and endpoints' calls to a control VM that stops."""

import trio

from sedgepin._registrar import _daemon
from sedgepin._registrar import _events
from sedgepin import _shell as shell
from sedgepin import _web as web
from sedgepin.platform import _control as platform_control
from sedgepin.tests import loopback

_ADDRESS = f"{loopback.address(72, 1)}:28229"
_READ = web.Request(b"GET", b"/v1/config", ((b"Host", b"c"),), b"")


class _Control:
    """A call handler on loopback whose reducer answers nothing."""

    def __init__(self) -> None:
        self.submitted: list[_events.RegistrarEvent] = []
        self.statuses: list[int] = []
        self.calls = _daemon.CallHandler(
            platform_control.ControlDialect(),
            self.submitted.append,
            shell.PrometheusSink(),
        )

    async def start(self, nursery: trio.Nursery) -> None:
        await nursery.start(web.Server(self.calls).serve, _ADDRESS)

    async def send_read(self) -> None:
        answer = await web.send_request(_ADDRESS, _READ, 5.0)
        self.statuses.append(answer.unwrap()[0].status)


class TestStop:
    async def test_pending_call_is_answered_and_later_ones_are_refused(
        self, nursery: trio.Nursery
    ) -> None:
        control = _Control()
        await control.start(nursery)
        nursery.start_soon(control.send_read)
        with trio.fail_after(1.0):
            while not control.submitted:
                await trio.sleep(0.01)
        assert control.calls.has_open_calls
        control.calls.stop()
        with trio.fail_after(0.5):
            await control.send_read()
        assert control.statuses == [503]
        assert len(control.submitted) == 1
        with trio.fail_after(3.0):
            while control.calls.has_open_calls:
                await trio.sleep(0.01)
            while len(control.statuses) < 2:
                await trio.sleep(0.01)
        assert control.statuses == [503, 504]
        nursery.cancel_scope.cancel()
