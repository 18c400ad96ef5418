"""Tests of the HTTP server and client against raw sockets."""

import contextlib
import socket
import struct

import pytest
import result
import trio

from sedgepin import _web as web
from sedgepin import errors

_LIMITS = web.ServerLimits(2_048, 64, 0.3, 0.5)
_LONG_IDLE_TIMEOUT = web.ServerLimits(2_048, 64, 0.3, 60.0)


class _EchoHandler(web.Handler):
    """Echoes the request body; some paths misbehave.

    ``disconnects`` counts the requests cancelled on ``/slow``.
    """

    def __init__(self) -> None:
        self.disconnects = 0
        self.release = trio.Event()
        self.in_force = _LIMITS

    async def handle(self, exchange: web.Exchange) -> None:
        if exchange.request.target == b"/slow":
            try:
                await self.release.wait()
            except trio.Cancelled:
                self.disconnects += 1
                raise
        if exchange.request.target == b"/started":
            await exchange.start(web.AnswerHead(200))
            await self.release.wait()
            await exchange.finish()
            return
        if exchange.request.target == b"/no-content":
            await exchange.answer(web.AnswerHead(204), b"text")
            return
        if exchange.request.target == b"/raises":
            raise RuntimeError("nobody expects this")
        if exchange.request.target == b"/raises-later":
            await exchange.start(web.AnswerHead(200))
            await exchange.send(b"part")
            raise ExceptionGroup("group", [RuntimeError("nor this")])
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
        return self.in_force


class _EchoServer:
    """A server with an echo handler on a free port."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.handler = _EchoHandler()
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
    received = b""
    with trio.move_on_after(2):
        while data := await stream.receive_some(65_536):
            received += data
    return received


class TestServer:
    async def test_answers_pipelined_requests_in_order(
        self, nursery: trio.Nursery
    ) -> None:
        echo = _EchoServer(nursery)
        await echo.start()
        stream = await echo.connect()
        keep_open = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n"
        close = b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        close += b"Content-Length: 1\r\n\r\n2"
        await stream.send_all(keep_open + b"1" + close)
        received = await _read_all(stream)
        assert received.count(b"200") == 2
        assert received.index(b"\r\n\r\n1") < received.index(b"\r\n\r\n2")

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
    async def test_refuses_invalid_request_with_a_status_and_closes(
        self, nursery: trio.Nursery, sent: bytes, status: bytes
    ) -> None:
        echo = _EchoServer(nursery)
        await echo.start()
        stream = await echo.connect()
        await stream.send_all(sent)
        received = await _read_all(stream)
        assert received.split(b" ")[1] == status
        assert b"close" in received

    async def test_closes_connection_after_the_idle_timeout(
        self, nursery: trio.Nursery
    ) -> None:
        echo = _EchoServer(nursery)
        await echo.start()
        stream = await echo.connect()
        with trio.fail_after(2):
            assert await stream.receive_some(1) == b""

    async def test_cancels_handler_when_the_caller_disconnects(
        self, nursery: trio.Nursery
    ) -> None:
        echo = _EchoServer(nursery)
        await echo.start()
        stream = await echo.connect()
        await stream.send_all(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
        await trio.sleep(0.05)
        assert echo.server.open_exchanges == 1
        await stream.aclose()
        with trio.fail_after(2):
            while echo.server.open_exchanges:
                await trio.sleep(0.01)
        assert echo.handler.disconnects == 1

    async def test_answer_cut_short_by_the_handler_is_not_terminated(
        self, nursery: trio.Nursery
    ) -> None:
        echo = _EchoServer(nursery)
        await echo.start()
        stream = await echo.connect()
        await stream.send_all(b"GET /cut HTTP/1.1\r\nHost: x\r\n\r\n")
        received = await _read_all(stream)
        assert b"part" in received
        assert not received.endswith(b"0\r\n\r\n")

    async def test_drain_completes_open_request_and_closes_idle_connection(
        self, nursery: trio.Nursery
    ) -> None:
        echo = _EchoServer(nursery)
        await echo.start()
        busy = await echo.connect()
        idle = await echo.connect()
        await busy.send_all(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
        await trio.sleep(0.05)
        echo.server.start_draining()
        echo.server.finish_draining()
        with trio.fail_after(2):
            assert await idle.receive_some(1) == b""
        echo.handler.release.set()
        received = await _read_all(busy)
        assert b"200" in received and b"close" in received

    async def test_one_more_request_at_most_is_served_after_the_drain(
        self, nursery: trio.Nursery
    ) -> None:
        """The head of the open answer was sent before the drain.

        It announced no ``Connection: close``, so the next request is owed an
        answer.  That one announces the close, and nothing follows it.
        """
        echo = _EchoServer(nursery)
        await echo.start()
        stream = await echo.connect()
        await stream.send_all(b"GET /started HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"200" in await stream.receive_some(65_536)
        echo.server.start_draining()
        echo.server.finish_draining()
        echo.handler.release.set()
        request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        await stream.send_all(request)
        await trio.sleep(0.1)
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(request)
        received = await _read_all(stream)
        end, separator, answer = received.partition(b"0\r\n\r\n")
        assert not end and separator
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert answer.count(b"HTTP/1.1") == 1
        assert b"Connection: close" in answer
        again = trio.open_tcp_stream("127.0.0.1", echo.port)
        with pytest.raises(OSError):
            await again

    async def test_idle_connection_is_closed_once_none_is_kept(
        self, nursery: trio.Nursery
    ) -> None:
        echo = _EchoServer(nursery)
        echo.handler.in_force = _LONG_IDLE_TIMEOUT
        await echo.start()
        request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        kept = await echo.connect()
        await kept.send_all(request)
        assert b"200" in await kept.receive_some(65_536)
        await trio.sleep(0.3)
        echo.server.start_draining()
        echo.server.stop_keeping_connections()
        with trio.fail_after(1):
            assert await kept.receive_some(1) == b""
        later = await echo.connect()
        await later.send_all(request)
        with trio.fail_after(1):
            received = await _read_all(later)
        assert b"200" in received and b"Connection: close" in received

    @pytest.mark.parametrize("sends_another", [False, True])
    async def test_open_answer_is_followed_by_one_more_once_none_is_kept(
        self, nursery: trio.Nursery, sends_another: bool
    ) -> None:
        """The open answer's head announced no ``Connection: close``."""
        echo = _EchoServer(nursery)
        echo.handler.in_force = _LONG_IDLE_TIMEOUT
        await echo.start()
        stream = await echo.connect()
        await stream.send_all(b"GET /started HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"200" in await stream.receive_some(65_536)
        echo.server.start_draining()
        echo.server.stop_keeping_connections()
        await trio.sleep(0.3)
        echo.handler.release.set()
        await trio.sleep(0.05)
        if sends_another:
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        with trio.fail_after(1):
            received = await _read_all(stream)
        end, separator, answer = received.partition(b"0\r\n\r\n")
        assert not end and separator
        assert answer.count(b"HTTP/1.1 200 ") == sends_another
        assert (b"Connection: close" in answer) == sends_another

    async def test_new_connection_without_a_request_holds_up_no_drain(
        self, nursery: trio.Nursery
    ) -> None:
        echo = _EchoServer(nursery)
        echo.handler.in_force = _LONG_IDLE_TIMEOUT
        await echo.start()
        echo.server.start_draining()
        echo.server.stop_keeping_connections()
        stream = await echo.connect()
        await trio.sleep(0.1)
        assert not echo.server.open_exchanges
        with trio.fail_after(2):
            assert await stream.receive_some(1) == b""

    async def test_broken_resource_error_in_a_handler_closes_the_connection(
        self, nursery: trio.Nursery
    ) -> None:
        echo = _EchoServer(nursery)
        await echo.start()
        stream = await echo.connect()
        await stream.send_all(b"GET /broken HTTP/1.1\r\nHost: x\r\n\r\n")
        received = await _read_all(stream)
        assert received.startswith(b"HTTP/1.1 502 ")
        assert b"Connection: close" in received
        assert echo.server.open_exchanges == 0

    @pytest.mark.parametrize("target", [b"/", b"/raises", b"/no-content"])
    async def test_answer_to_head_has_no_body(
        self, nursery: trio.Nursery, target: bytes
    ) -> None:
        """An error's body once ended the process (review/1)."""
        echo = _EchoServer(nursery)
        await echo.start()
        stream = await echo.connect()
        await stream.send_all(
            b"HEAD %s HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1"
            b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            b"Content-Length: 4\r\n\r\nnext" % target
        )
        received = await _read_all(stream)
        if target == b"/raises":
            assert received.startswith(b"HTTP/1.1 502 ")
            assert received.endswith(b"\r\n\r\n")
        else:
            first, second, body = received.split(b"\r\n\r\n")
            assert first.startswith(b"HTTP/1.1 20")
            assert second.startswith(b"HTTP/1.1 200 ")
            assert body == b"next"

    async def test_refusal_of_head_has_no_body(
        self, nursery: trio.Nursery
    ) -> None:
        echo = _EchoServer(nursery)
        await echo.start()
        stream = await echo.connect()
        head = b"HEAD / HTTP/1.1\r\nHost: x\r\nContent-Length: 65\r\n\r\n"
        await stream.send_all(head + b"a" * 65)
        received = await _read_all(stream)
        assert received.startswith(b"HTTP/1.1 413 ")
        assert received.endswith(b"\r\n\r\n")

    @pytest.mark.parametrize(
        ("target", "expected"),
        [
            (b"/raises", b"HTTP/1.1 502 "),
            (b"/raises-later", b"HTTP/1.1 200 "),
        ],
    )
    async def test_exception_in_a_handler_ends_its_connection_only(
        self, nursery: trio.Nursery, target: bytes, expected: bytes
    ) -> None:
        """It once ended the process with all others (review/1, 2, 4)."""
        echo = _EchoServer(nursery)
        await echo.start()
        other = await echo.connect()
        await other.send_all(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
        failing = await echo.connect()
        head = b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % target
        await failing.send_all(head)
        answer = await _read_all(failing)
        assert answer.startswith(expected)
        assert not answer.endswith(b"0\r\n\r\n")
        echo.handler.release.set()
        served = await other.receive_some(65_536)
        assert bytes(served).startswith(b"HTTP/1.1 200 ")

    async def test_nothing_is_sent_after_a_cancelled_send(
        self, nursery: trio.Nursery
    ) -> None:
        """Guards against a second end of an answer, which crashed the VM.

        A handler whose first ``finish`` is cancelled sends more and finishes
        again.
        """
        echo = _EchoServer(nursery)
        await echo.start()
        stream = await echo.connect()
        await stream.send_all(b"GET /cancelled HTTP/1.1\r\nHost: a\r\n\r\n")
        answer = await _read_all(stream)
        assert b"more" not in answer
        assert not answer.endswith(b"0\r\n\r\n")
        again = await echo.connect()
        await again.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await again.receive_some(100)).startswith(b"HTTP/1.1 200")

    async def test_survives_a_connection_reset_during_an_answer(
        self, nursery: trio.Nursery
    ) -> None:
        echo = _EchoServer(nursery)
        await echo.start()
        stream = await echo.connect()
        await stream.send_all(b"GET /endless HTTP/1.1\r\nHost: x\r\n\r\n")
        await stream.receive_some(65_536)
        linger = struct.pack("ii", 1, 0)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.socket.close()
        with trio.fail_after(2):
            while echo.server.open_exchanges:
                await trio.sleep(0.01)
        again = await echo.connect()
        await again.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"200" in await again.receive_some(65_536)

    async def test_survives_connections_reset_before_they_are_accepted(
        self, nursery: trio.Nursery
    ) -> None:
        echo = _EchoServer(nursery)
        await echo.start()
        for _attempt in range(20):
            stream = await echo.connect()
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.socket.close()
        stream = await echo.connect()
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"200" in await stream.receive_some(65_536)


class _RawServer:
    """Sends fixed bytes on a connection once it has received something."""

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
    async def test_distinguishes_complete_answers_from_broken_ones(
        self, nursery: trio.Nursery, answer: bytes, body: bytes | None
    ) -> None:
        listeners = await nursery.start(
            trio.serve_tcp, _RawServer(answer).serve, 0
        )
        port = listeners[0].socket.getsockname()[1]
        request = web.Request(b"GET", b"/", ((b"Host", b"x"),))
        response = await web.send_request(f"127.0.0.1:{port}", request, 1.0)
        if body is None:
            assert isinstance(response.unwrap_err(), web.AnswerBroken)
        else:
            assert response.unwrap()[1] == body

    async def test_invalid_request_gives_answer_broken(
        self, nursery: trio.Nursery
    ) -> None:
        listeners = await nursery.start(
            trio.serve_tcp, _RawServer(b"").serve, 0
        )
        port = listeners[0].socket.getsockname()[1]
        request = web.Request(b"GET", b"/", ())
        response = await web.send_request(f"127.0.0.1:{port}", request, 1.0)
        assert isinstance(response.unwrap_err(), web.AnswerBroken)

    @pytest.mark.parametrize(
        "address",
        ["127.0.0.1:80800", "127.0.0.1:0", "999.0.0.1:80", "a.example:80", ""],
    )
    async def test_invalid_address_gives_connect_failed(
        self, address: str
    ) -> None:
        """A port over 65535 once ended the process (review/2)."""
        opened = await web.ClientConnection.open(address, 1.0)
        failure = opened.unwrap_err()
        assert (failure.http_status, failure.is_refused) == (503, False)

    async def test_refused_connection_gives_connect_failed_and_not_run(
        self,
    ) -> None:
        request = web.Request(b"GET", b"/", ((b"Host", b"x"),))
        response = await web.send_request("127.0.0.1:1", request, 1.0)
        assert isinstance(response, result.Err)
        assert isinstance(response.err_value, web.ConnectFailed)
        assert response.err_value.outcome is errors.Outcome.NOT_RUN
