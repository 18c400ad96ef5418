"""Tests of how ends of requests are recorded."""

import collections.abc
import socket
import struct

import pytest
import trio

from sedgepin import _web as web
from sedgepin._web import _server
from sedgepin import errors
from sedgepin.tests import processes

_HEAD = b"POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
_ANSWER = web.AnswerHead(200)


class _Handler(web.Handler):
    """Answers by path, and keeps the recorded ends."""

    def __init__(self, idle_seconds: float = 5.0) -> None:
        self.ends: list[web.RequestEnd] = []
        self._limits = web.ServerLimits(2_048, 64, 0.4, idle_seconds)

    async def handle(self, exchange: web.Exchange) -> None:
        exchange.label = exchange.request.target.decode()
        match exchange.label:
            case "/waits":
                await trio.sleep_forever()
            case "/begins":
                await exchange.start(_ANSWER)
                await trio.sleep_forever()
            case "/gives-up":
                await exchange.start(_ANSWER)
                exchange.cut("engine_lost")
            case "/raises":
                await exchange.start(_ANSWER)
                raise RuntimeError("nobody expects this")
            case "/refuses":
                await exchange.answer(web.AnswerHead(503), b"")
            case "/endless":
                await exchange.start(_ANSWER)
                while True:
                    await exchange.send(b"x" * 100_000)
            case _:
                await exchange.answer(_ANSWER, b"")

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        return web.AnswerHead(failure.http_status), b""

    def limits(self) -> web.ServerLimits:
        return self._limits

    def request_ended(self, end: web.RequestEnd) -> None:
        self.ends.append(end)

    @property
    def only_end(self) -> tuple[str, str, str]:
        (end,) = self.ends
        return end.kind.value, end.closed_by.value, end.reason


async def _serve(
    nursery: trio.Nursery, handler: web.Handler
) -> tuple[web.Server, trio.CancelScope, trio.SocketStream]:
    port = processes.free_port()
    server = web.Server(handler)
    scope = trio.CancelScope()

    async def run(
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with scope:
            await server.serve(f"127.0.0.1:{port}", task_status)

    await nursery.start(run)
    return server, scope, await trio.open_tcp_stream("127.0.0.1", port)


def _close(stream: trio.SocketStream) -> None:
    stream.socket.close()


def _reset(stream: trio.SocketStream) -> None:
    linger = struct.pack("ii", 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


async def _wait_for(
    condition: collections.abc.Callable[[], object],
) -> None:
    with trio.fail_after(3):
        while not condition():
            await trio.sleep(0.01)


class TestRequestEnds:
    @pytest.mark.parametrize(
        ("sent", "end"),
        [
            (_HEAD % b"/" + b"hi", ("answered", "nobody", "")),
            (_HEAD % b"/refuses" + b"hi", ("failed", "nobody", "")),
            (b"NONSENSE\r\n\r\n", ("failed", "nobody", "")),
            (_HEAD % b"/", ("failed", "nobody", "")),
            (
                _HEAD % b"/gives-up" + b"hi",
                ("incomplete", "server", "engine_lost"),
            ),
            (
                _HEAD % b"/raises" + b"hi",
                ("incomplete", "server", "handler_failed"),
            ),
        ],
    )
    async def test_end_by_the_server_is_recorded_with_its_reason(
        self,
        nursery: trio.Nursery,
        sent: bytes,
        end: tuple[str, str, str],
    ) -> None:
        handler = _Handler()
        _server_, _scope, stream = await _serve(nursery, handler)
        await stream.send_all(sent)
        await _wait_for(lambda: handler.ends)
        assert handler.only_end == end

    @pytest.mark.parametrize("closes", [_close, _reset])
    @pytest.mark.parametrize(
        ("sent", "kind"),
        [
            (_HEAD % b"/waits" + b"hi", "unanswered"),
            (_HEAD % b"/begins" + b"hi", "incomplete"),
            (_HEAD % b"/endless" + b"hi", "incomplete"),
            (_HEAD % b"/", "unread"),
            (b"POST / HT", "unread"),
        ],
    )
    async def test_close_by_the_caller_is_not_laid_on_the_server(
        self,
        nursery: trio.Nursery,
        closes: collections.abc.Callable[[trio.SocketStream], None],
        sent: bytes,
        kind: str,
    ) -> None:
        handler = _Handler()
        _server_, _scope, stream = await _serve(nursery, handler)
        await stream.send_all(sent)
        await trio.sleep(0.1)
        closes(stream)
        await _wait_for(lambda: handler.ends)
        assert handler.only_end == (kind, "caller", "caller")

    @pytest.mark.parametrize(
        ("sent", "kind"),
        [
            (_HEAD % b"/waits" + b"hi", "unanswered"),
            (_HEAD % b"/begins" + b"hi", "incomplete"),
            (_HEAD % b"/", "unread"),
        ],
    )
    async def test_end_of_the_process_is_not_laid_on_the_caller(
        self, nursery: trio.Nursery, sent: bytes, kind: str
    ) -> None:
        handler = _Handler()
        _server_, scope, stream = await _serve(nursery, handler)
        await stream.send_all(sent)
        await trio.sleep(0.1)
        scope.cancel()
        await _wait_for(lambda: handler.ends)
        assert handler.only_end == (kind, "server", "process_end")

    async def test_caller_that_does_not_read_is_recorded_as_cut(
        self, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_server, "_SEND_TIMEOUT_SECONDS", 0.3)
        monkeypatch.setattr(_server, "_STALL_CHECK_INTERVAL_SECONDS", 0.05)
        handler = _Handler()
        _server_, _scope, stream = await _serve(nursery, handler)
        await stream.send_all(_HEAD % b"/endless" + b"hi")
        await _wait_for(lambda: handler.ends)
        assert handler.only_end == ("incomplete", "server", "send_timeout")

    async def test_connection_that_ends_between_requests_is_not_recorded(
        self, nursery: trio.Nursery
    ) -> None:
        handler = _Handler(idle_seconds=0.1)
        server, _scope, stream = await _serve(nursery, handler)
        await stream.send_all(_HEAD % b"/" + b"hi")
        assert b"200" in await stream.receive_some(4_096)
        assert await stream.receive_some(4_096) == b""
        assert handler.only_end == ("answered", "nobody", "")
