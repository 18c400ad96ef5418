"""Tests that a request that has arrived is answered before a close."""

import collections.abc

import pytest
import trio

from sedgepin import _web as web
from sedgepin import errors
from sedgepin.tests import processes

_REQUEST = b"POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
_CLOSE = b"\r\nConnection: close\r\n"


class _Handler(web.Handler):
    """Answers by path; some answers end once released."""

    def __init__(self) -> None:
        self.release = trio.Event()
        self.begun = 0
        self.ends: list[web.RequestEnd] = []

    async def handle(self, exchange: web.Exchange) -> None:
        self.begun += 1
        head = web.AnswerHead(200)
        match exchange.request.target:
            case b"/stream":
                await exchange.start(head)
                await self.release.wait()
                await exchange.finish()
            case b"/waits":
                await self.release.wait()
                await exchange.answer(head, b"waited")
            case b"/raises-after":
                await exchange.answer(head, b"complete")
                await self.release.wait()
                raise RuntimeError("nobody expects this")
            case b"/breaks-after":
                await exchange.answer(head, b"complete")
                await self.release.wait()
                raise trio.BrokenResourceError
            case b"/raises-before":
                raise RuntimeError("nobody expects this")
            case b"/breaks-before":
                raise trio.BrokenResourceError
            case b"/returns":
                return
            case _:
                await exchange.answer(head, b"next")

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        return web.AnswerHead(failure.http_status), failure.code.encode()

    def limits(self) -> web.ServerLimits:
        return web.ServerLimits(2_048, 64, 0.4, 2.0)

    def request_ended(self, end: web.RequestEnd) -> None:
        self.ends.append(end)

    @property
    def lost(self) -> list[web.RequestEnd]:
        return [end for end in self.ends if not end.kind.is_complete]


class _Call:
    """A server, and a connection with a request that it has begun."""

    def __init__(self) -> None:
        self.handler = _Handler()
        self.server = web.Server(self.handler)
        self.stream: trio.SocketStream

    async def begin(self, nursery: trio.Nursery, target: bytes) -> None:
        port = processes.free_port()
        await nursery.start(self.server.serve, f"127.0.0.1:{port}")
        self.stream = await trio.open_tcp_stream("127.0.0.1", port)
        await self.stream.send_all(_REQUEST % target)
        await _wait_for(lambda: self.handler.begun)

    async def read_until(self, part: bytes) -> bytes:
        received = b""
        with trio.move_on_after(2):
            while part not in received:
                received += await self.stream.receive_some(65_536)
        return received

    async def read_to_end(self) -> bytes:
        received = b""
        with trio.fail_after(2):
            while data := await self.stream.receive_some(65_536):
                received += data
        return received


async def _begin(nursery: trio.Nursery, target: bytes) -> _Call:
    call = _Call()
    await call.begin(nursery, target)
    return call


async def _wait_for(
    condition: collections.abc.Callable[[], object],
) -> None:
    with trio.fail_after(2):
        while not condition():
            await trio.sleep(0.01)


class TestEndOfTheDrain:
    async def test_request_behind_a_stream_from_before_is_answered(
        self, nursery: trio.Nursery
    ) -> None:
        """The head of the stream could not announce the close."""
        call = await _begin(nursery, b"stream")
        call.server.start_draining()
        await call.stream.send_all(_REQUEST % b"")
        await trio.sleep(0.1)
        call.server.finish_draining()
        call.handler.release.set()
        received = await call.read_to_end()
        assert received.count(b"HTTP/1.1 200") == 2
        assert _CLOSE in received and received.endswith(b"next")
        assert not call.handler.lost

    @pytest.mark.parametrize("seconds", [0.0, 0.05, 0.15])
    async def test_request_after_a_stream_from_before_is_answered(
        self, nursery: trio.Nursery, seconds: float
    ) -> None:
        call = await _begin(nursery, b"stream")
        call.server.start_draining()
        call.server.finish_draining()
        call.handler.release.set()
        await call.read_until(b"0\r\n\r\n")
        await trio.sleep(seconds)
        assert call.server.open_exchanges
        await call.stream.send_all(_REQUEST % b"")
        received = await call.read_to_end()
        assert received.startswith(b"HTTP/1.1 200")
        assert _CLOSE in received and received.endswith(b"next")

    @pytest.mark.parametrize("seconds", [0.0, 0.05, 0.15])
    async def test_request_after_an_answer_just_before_the_end_is_answered(
        self, nursery: trio.Nursery, seconds: float
    ) -> None:
        call = await _begin(nursery, b"waits")
        call.handler.release.set()
        await call.read_until(b"waited")
        call.server.start_draining()
        call.server.finish_draining()
        await trio.sleep(seconds)
        await call.stream.send_all(_REQUEST % b"")
        assert (await call.read_to_end()).endswith(b"next")

    async def test_connection_without_another_request_is_closed_soon(
        self, nursery: trio.Nursery
    ) -> None:
        call = await _begin(nursery, b"stream")
        call.server.start_draining()
        call.server.finish_draining()
        call.handler.release.set()
        started_at = trio.current_time()
        await call.read_to_end()
        assert trio.current_time() - started_at < 0.5
        await _wait_for(lambda: not call.server.open_exchanges)

    @pytest.mark.parametrize("finishes", [False, True])
    async def test_requests_that_have_arrived_before_the_answer_are_answered(
        self, nursery: trio.Nursery, finishes: bool
    ) -> None:
        """None of them was sent after a close was announced."""
        call = await _begin(nursery, b"waits")
        await call.stream.send_all(_REQUEST % b"" + _REQUEST % b"")
        call.server.start_draining()
        if finishes:
            call.server.finish_draining()
        call.handler.release.set()
        received = await call.read_to_end()
        assert received.count(b"HTTP/1.1 200") == 3
        assert received.count(_CLOSE) == 1
        assert not call.handler.lost

    async def test_part_of_a_request_behind_an_answer_is_refused(
        self, nursery: trio.Nursery
    ) -> None:
        call = await _begin(nursery, b"stream")
        await call.stream.send_all((_REQUEST % b"")[:-1])
        call.server.start_draining()
        call.server.finish_draining()
        call.handler.release.set()
        assert b"HTTP/1.1 408" in await call.read_to_end()

    async def test_empty_line_behind_an_answer_is_no_request(
        self, nursery: trio.Nursery
    ) -> None:
        call = await _begin(nursery, b"waits")
        await call.stream.send_all(b"\r\n")
        await trio.sleep(0.1)
        call.server.start_draining()
        call.server.finish_draining()
        call.handler.release.set()
        received = await call.read_to_end()
        assert received.endswith(b"waited") and _CLOSE in received


class TestEmptyLines:
    @pytest.mark.parametrize("pause_seconds", [0.0, 0.1])
    async def test_empty_line_between_requests_is_ignored(
        self, nursery: trio.Nursery, pause_seconds: float
    ) -> None:
        """Some callers send one after a body."""
        call = await _begin(nursery, b"waits")
        await call.stream.send_all(b"\r\n")
        call.handler.release.set()
        await call.read_until(b"waited")
        await trio.sleep(pause_seconds)
        await call.stream.send_all(b"\r\n" + _REQUEST % b"")
        received = await call.read_until(b"next")
        assert received.startswith(b"HTTP/1.1 200")

    async def test_empty_lines_do_not_keep_a_connection_open(
        self, nursery: trio.Nursery
    ) -> None:
        call = await _begin(nursery, b"")
        await call.read_until(b"next")
        started_at = trio.current_time()
        with pytest.raises(trio.BrokenResourceError):
            while trio.current_time() - started_at < 4.0:
                await call.stream.send_all(b"\r\n")
                await trio.sleep(0.05)
        assert not call.handler.lost


class TestFailedHandlers:
    @pytest.mark.parametrize(
        "target", [b"raises-before", b"breaks-before", b"returns"]
    )
    async def test_request_without_an_answer_is_answered_all_the_same(
        self, nursery: trio.Nursery, target: bytes
    ) -> None:
        call = await _begin(nursery, target)
        received = await call.read_to_end()
        assert received.startswith(b"HTTP/1.1 502")
        assert not call.handler.lost

    @pytest.mark.parametrize("target", [b"raises-after", b"breaks-after"])
    async def test_request_behind_a_complete_answer_is_answered(
        self, nursery: trio.Nursery, target: bytes
    ) -> None:
        call = await _begin(nursery, target)
        await call.stream.send_all(_REQUEST % b"")
        call.handler.release.set()
        received = await call.read_until(b"next")
        assert received.count(b"HTTP/1.1 200") == 2
