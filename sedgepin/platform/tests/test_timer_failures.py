"""Tests of an entry VM whose timer fails as nobody expects."""

import pathlib

import pytest
import result
import trio

from sedgepin._gateway import _daemon
from sedgepin._gateway import _reducer
from sedgepin._gateway import _relay
from sedgepin._gateway.tests import parts
from sedgepin import _shell as shell
from sedgepin import _web as web
from sedgepin import clock
from sedgepin import events
from sedgepin import logs
from sedgepin.platform import _gateway as platform_gateway


def _make_daemon() -> _daemon.GatewayDaemon:
    cfg = parts.make_settings()
    source = shell.SettingsSource(
        pathlib.Path("none"), cfg, lambda path: result.Ok(cfg)
    )
    return _daemon.GatewayDaemon(
        source, platform_gateway.GatewayDialect(), clock.SystemClock()
    )


class _Caller(web.Exchange):
    """A caller that keeps what it is answered."""

    has_caller_closed = False

    def __init__(self, fields: web.Headers) -> None:
        self.request = web.Request(b"POST", b"/post/x", fields)
        self.has_started = False
        self.status = 0

    async def answer(self, head: web.AnswerHead, body: bytes) -> None:
        self.has_started = True
        self.status = head.status


class TestFailureOfTheTimer:
    """One that nobody expects; a request is held at the start meanwhile."""

    @pytest.fixture
    def lines(self, monkeypatch: pytest.MonkeyPatch) -> list[events.LogLine]:
        def fail(*_arguments: object) -> None:
            raise RuntimeError("nobody expects this")

        lines: list[events.LogLine] = []
        monkeypatch.setattr(logs, "write", lines.append)
        monkeypatch.setattr(_reducer.GatewayReducer, "_tick", fail)
        return lines

    async def test_request_is_refused_when_its_time_is_over(
        self, nursery: trio.Nursery, lines: list[events.LogLine]
    ) -> None:
        daemon = _make_daemon()
        caller = _Caller(
            (
                (b"Host", b"one.example"),
                (b"X-Request-Id", b"r"),
                (b"X-Deadline-Ms", b"300"),
            )
        )
        nursery.start_soon(daemon._tick, shell.StopSignal())
        with trio.fail_after(2):
            await daemon.relay(caller)
        assert caller.status == 503
        failures = [
            line for line in lines if line.definition is events.TASK_FAILED
        ]
        assert len(failures) > 1

    async def test_other_timers_go_on(
        self,
        nursery: trio.Nursery,
        lines: list[events.LogLine],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        checked = trio.Event()
        monkeypatch.setattr(
            _relay.Relay, "check_progress", lambda *_: checked.set()
        )
        daemon = _make_daemon()
        nursery.start_soon(daemon._tick, shell.StopSignal())
        caller = _Caller(((b"Host", b"one.example"), (b"X-Request-Id", b"r")))
        nursery.start_soon(daemon.relay, caller)
        with trio.fail_after(2):
            await checked.wait()
