"""Tests of the registrar's calls to engines whose answers never end."""

import pytest
import trio

from sedgepin._registrar import _engine_calls
from sedgepin import _web as web
from sedgepin.tests import endless_engine

_REPORT_REQUEST = web.Request(b"GET", b"/status", ((b"Host", b"x"),))
_TIMEOUT_SECONDS = 0.5
_ANSWERS = {**endless_engine.HEADS, **endless_engine.BODIES}


class TestReportRequest:
    @pytest.mark.parametrize("kind", list(_ANSWERS))
    @pytest.mark.parametrize("pause_seconds", [None, 0.02])
    async def test_endless_answer_is_closed_in_time_and_proves_no_end(
        self, nursery: trio.Nursery, kind: str, pause_seconds: float | None
    ) -> None:
        """A process that sends bytes runs, whatever they are.

        It once counted as ended like one that refuses connections.
        """
        engine = endless_engine.EndlessEngine(_ANSWERS[kind], pause_seconds)
        await engine.start(nursery)
        before = trio.current_time()
        response = await web.send_request(
            engine.address, _REPORT_REQUEST, _TIMEOUT_SECONDS
        )
        assert trio.current_time() - before < 2 * _TIMEOUT_SECONDS
        failure = response.unwrap_err()
        assert isinstance(failure, web.AnswerBroken)
        assert not _engine_calls._is_refusal(failure)
        with trio.fail_after(2):
            await engine.wait_closed()
        nursery.cancel_scope.cancel()

    async def test_refused_connection_proves_the_end(self) -> None:
        response = await web.send_request(
            "127.0.0.1:1", _REPORT_REQUEST, _TIMEOUT_SECONDS
        )
        failure = response.unwrap_err()
        assert _engine_calls._is_refusal(failure)
