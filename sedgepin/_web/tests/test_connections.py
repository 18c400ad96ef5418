"""Tests of HTTP connections against raw sockets."""

import socket
import struct

import pytest
import result
import trio

from sedgepin import _web as web
from sedgepin import errors

_LIMITS = web.ServerLimits(2_048, 64, 0.3, 0.5)


class _Echo(web.Handler):
    """Answers with the request's body; counts callers that left."""

    def __init__(self) -> None:
        self.left = 0
        self.release = trio.Event()

    async def handle(self, exchange: web.Exchange) -> None:
        if exchange.request.target == b"/slow":
            try:
                await self.release.wait()
            except trio.Cancelled:
                self.left += 1
                raise
        if exchange.request.target == b"/started":
            await exchange.start(web.AnswerHead(200))
            await self.release.wait()
            await exchange.finish()
            return
        if exchange.request.target == b"/broken":
            raise trio.BrokenResourceError
        if exchange.request.target == b"/cancelled":
            await exchange.start(web.AnswerHead(200))
            with trio.CancelScope() as scope:
                scope.cancel()
                await exchange.finish()
            await exchange.send(b"more")
            await exchange.finish()
            return
        if exchange.request.target == b"/endless":
            await exchange.start(web.AnswerHead(200))
            while True:
                await exchange.send(b"x" * 100_000)
        if exchange.request.target == b"/cut":
            await exchange.start(web.AnswerHead(200))
            await exchange.send(b"part")
            return
        await exchange.answer(web.AnswerHead(200), exchange.request.body)

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        return web.AnswerHead(failure.http_status), failure.code.encode()

    def limits(self) -> web.ServerLimits:
        return _LIMITS


class _Served:
    """A server on a free port."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.handler = _Echo()
        self.server = web.Server(self.handler)
        self._nursery = nursery
        self.port = 0

    async def start(self) -> None:
        probe = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = probe[0].socket.getsockname()[1]
        await probe[0].aclose()
        await self._nursery.start(self.server.serve, f"127.0.0.1:{self.port}")

    async def connect(self) -> trio.SocketStream:
        return await trio.open_tcp_stream("127.0.0.1", self.port)


async def _read_all(stream: trio.SocketStream) -> bytes:
    read = b""
    with trio.move_on_after(2):
        while data := await stream.receive_some(65_536):
            read += data
    return read


class TestServer:
    async def test_answers_pipelined_requests_in_order(
        self, nursery: trio.Nursery
    ) -> None:
        served = _Served(nursery)
        await served.start()
        stream = await served.connect()
        one = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n"
        close = b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        close += b"Content-Length: 1\r\n\r\n2"
        await stream.send_all(one + b"1" + close)
        read = await _read_all(stream)
        assert read.count(b"200") == 2
        assert read.index(b"\r\n\r\n1") < read.index(b"\r\n\r\n2")

    @pytest.mark.parametrize(
        ("sent", "status"),
        [
            (b"NONSENSE\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 4_000, b"431"),
            (
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65\r\n\r\n"
                + b"a" * 65,
                b"413",
            ),
            (b"GET / HTTP/1.1\r\nHost:", b"408"),
            (
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na",
                b"408",
            ),
        ],
    )
    async def test_refuses_by_type_and_closes(
        self, nursery: trio.Nursery, sent: bytes, status: bytes
    ) -> None:
        served = _Served(nursery)
        await served.start()
        stream = await served.connect()
        await stream.send_all(sent)
        read = await _read_all(stream)
        assert read.split(b" ")[1] == status
        assert b"close" in read

    async def test_closes_idle_connections(
        self, nursery: trio.Nursery
    ) -> None:
        served = _Served(nursery)
        await served.start()
        stream = await served.connect()
        with trio.fail_after(2):
            assert await stream.receive_some(1) == b""

    async def test_cancels_when_the_caller_leaves(
        self, nursery: trio.Nursery
    ) -> None:
        served = _Served(nursery)
        await served.start()
        stream = await served.connect()
        await stream.send_all(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
        await trio.sleep(0.05)
        assert served.server.open_exchanges == 1
        await stream.aclose()
        with trio.fail_after(2):
            while served.server.open_exchanges:
                await trio.sleep(0.01)
        assert served.handler.left == 1

    async def test_broken_off_answer_never_looks_complete(
        self, nursery: trio.Nursery
    ) -> None:
        served = _Served(nursery)
        await served.start()
        stream = await served.connect()
        await stream.send_all(b"GET /cut HTTP/1.1\r\nHost: x\r\n\r\n")
        read = await _read_all(stream)
        assert b"part" in read
        assert not read.endswith(b"0\r\n\r\n")

    async def test_drain_finishes_what_is_open(
        self, nursery: trio.Nursery
    ) -> None:
        served = _Served(nursery)
        await served.start()
        busy = await served.connect()
        idle = await served.connect()
        await busy.send_all(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
        await trio.sleep(0.05)
        served.server.start_draining()
        served.server.finish_draining()
        with trio.fail_after(2):
            assert await idle.receive_some(1) == b""
        served.handler.release.set()
        read = await _read_all(busy)
        assert b"200" in read and b"close" in read

    async def test_no_request_is_taken_after_the_drain(
        self, nursery: trio.Nursery
    ) -> None:
        """The answer under way had begun before the drain."""
        served = _Served(nursery)
        await served.start()
        stream = await served.connect()
        await stream.send_all(b"GET /started HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"200" in await stream.receive_some(65_536)
        served.server.start_draining()
        served.server.finish_draining()
        served.handler.release.set()
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        read = await _read_all(stream)
        assert read.endswith(b"0\r\n\r\n")
        assert b"HTTP/1.1" not in read

    async def test_survives_a_broken_connection_in_a_handler(
        self, nursery: trio.Nursery
    ) -> None:
        served = _Served(nursery)
        await served.start()
        stream = await served.connect()
        await stream.send_all(b"GET /broken HTTP/1.1\r\nHost: x\r\n\r\n")
        assert await _read_all(stream) == b""
        assert served.server.open_exchanges == 0

    async def test_answer_whose_sending_was_cancelled_is_cut_off(
        self, nursery: trio.Nursery
    ) -> None:
        """Grown day trouble-1: a second end of an answer ended the VM."""
        served = _Served(nursery)
        await served.start()
        stream = await served.connect()
        await stream.send_all(b"GET /cancelled HTTP/1.1\r\nHost: a\r\n\r\n")
        answer = await _read_all(stream)
        assert b"more" not in answer
        assert not answer.endswith(b"0\r\n\r\n")
        again = await served.connect()
        await again.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await again.receive_some(100)).startswith(b"HTTP/1.1 200")

    async def test_survives_a_reset_while_it_sends(
        self, nursery: trio.Nursery
    ) -> None:
        served = _Served(nursery)
        await served.start()
        stream = await served.connect()
        await stream.send_all(b"GET /endless HTTP/1.1\r\nHost: x\r\n\r\n")
        await stream.receive_some(65_536)
        linger = struct.pack("ii", 1, 0)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.socket.close()
        with trio.fail_after(2):
            while served.server.open_exchanges:
                await trio.sleep(0.01)
        again = await served.connect()
        await again.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"200" in await again.receive_some(65_536)

    async def test_survives_connections_that_are_reset_at_once(
        self, nursery: trio.Nursery
    ) -> None:
        served = _Served(nursery)
        await served.start()
        for _attempt in range(20):
            stream = await served.connect()
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.socket.close()
        stream = await served.connect()
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"200" in await stream.receive_some(65_536)


class _Raw:
    """Answers one connection with fixed bytes."""

    def __init__(self, answer: bytes, resets: bool = False) -> None:
        self._answer = answer
        self._resets = resets

    async def serve(self, stream: trio.SocketStream) -> None:
        await stream.receive_some(65_536)
        await stream.send_all(self._answer)
        if not self._resets:
            await stream.send_eof()


class TestClient:
    @pytest.mark.parametrize(
        ("answer", "body"),
        [
            (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", b"hi"),
            (b"HTTP/1.1 200 OK\r\n\r\nto the end", b"to the end"),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", None),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"2\r\nhi",
                None,
            ),
            (b"not http at all\r\n\r\n", None),
            (b"", None),
        ],
    )
    async def test_tells_whole_answers_from_broken_ones(
        self, nursery: trio.Nursery, answer: bytes, body: bytes | None
    ) -> None:
        listeners = await nursery.start(trio.serve_tcp, _Raw(answer).serve, 0)
        port = listeners[0].socket.getsockname()[1]
        request = web.Request(b"GET", b"/", ((b"Host", b"x"),))
        asked = await web.send_request(f"127.0.0.1:{port}", request, 1.0)
        if body is None:
            assert isinstance(asked.unwrap_err(), web.AnswerBroken)
        else:
            assert asked.unwrap()[1] == body

    async def test_request_that_is_no_http_is_refused(
        self, nursery: trio.Nursery
    ) -> None:
        listeners = await nursery.start(trio.serve_tcp, _Raw(b"").serve, 0)
        port = listeners[0].socket.getsockname()[1]
        request = web.Request(b"GET", b"/", ())
        asked = await web.send_request(f"127.0.0.1:{port}", request, 1.0)
        assert isinstance(asked.unwrap_err(), web.AnswerBroken)

    async def test_nothing_sent_is_told_apart(self) -> None:
        request = web.Request(b"GET", b"/", ((b"Host", b"x"),))
        asked = await web.send_request("127.0.0.1:1", request, 1.0)
        assert isinstance(asked, result.Err)
        assert isinstance(asked.err_value, web.ConnectFailed)
        assert asked.err_value.outcome is errors.Outcome.NOT_RUN
