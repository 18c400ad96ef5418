"""Tests of what a control VM logs of its calls to engines."""

import pytest
import trio

from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin._registrar import _effects
from sedgepin._registrar import _engine_calls
from sedgepin._registrar import _events
from sedgepin import _web as web
from sedgepin import errors
from sedgepin import events
from sedgepin import logs
from sedgepin.platform import _control as platform_control
from sedgepin.tests import processes


class _PlainEngine(web.Handler):
    """Has no report, and rejects requests without an id."""

    async def handle(self, exchange: web.Exchange) -> None:
        await exchange.answer(web.AnswerHead(400), b"")

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        return web.AnswerHead(failure.http_status), b""

    def limits(self) -> web.ServerLimits:
        return web.ServerLimits(16_384, 1024, 3.0, 15.0)


class TestSuspicion:
    @pytest.mark.parametrize(
        ("is_check", "has_process", "suspected"),
        [
            (True, True, []),
            (True, False, ["endpoint_suspected"]),
            (False, True, ["endpoint_suspected"]),
        ],
    )
    async def test_engine_that_answers_a_check_is_not_logged_as_suspected(
        self,
        nursery: trio.Nursery,
        monkeypatch: pytest.MonkeyPatch,
        is_check: bool,
        has_process: bool,
        suspected: list[str],
    ) -> None:
        lines: list[events.LogLine] = []
        monkeypatch.setattr(logs, "write", lines.append)
        submitted: list[_events.RegistrarEvent] = []
        calls = _engine_calls.EngineCalls(
            platform_control.ControlDialect(),
            memory.MemoryBudget(1_000_000),
            submitted.append,
        )
        address = f"127.0.0.1:{processes.free_port()}"
        if has_process:
            await nursery.start(web.Server(_PlainEngine()).serve, address)
        endpoint_id = model.EndpointId("e")
        await calls.inspect(
            _effects.InspectEngine(endpoint_id, 1, address, is_check)
        )
        assert [line.definition.name for line in lines] == suspected
        (inspected,) = [
            event
            for event in submitted
            if isinstance(event, _events.EngineInspected)
        ]
        assert inspected.report is None
