"""Tests of what callers send while their requests are answered."""

import collections.abc
import socket
import struct

import pytest
import trio

from sedgepin import _web as web
from sedgepin import errors
from sedgepin.tests import processes

_REQUEST = b"POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
# What the socket buffers of both sides take at most is far less.
_SENT_BYTES = 64 * 1024 * 1024
# The engine of a caller that has left stops within half a second.
_NOTICE_SECONDS = 0.4


class _Handler(web.Handler):
    """Answers ``/waits`` once released, and everything else at once."""

    def __init__(self) -> None:
        self.release = trio.Event()
        self.begun = 0
        self.cancelled = 0
        self.in_force = web.ServerLimits(2_048, 65_536, 0.4, 5.0)

    async def handle(self, exchange: web.Exchange) -> None:
        self.begun += 1
        try:
            if exchange.request.target == b"/waits":
                await self.release.wait()
        except trio.Cancelled:
            self.cancelled += 1
            raise
        await exchange.answer(web.AnswerHead(200), exchange.request.body)

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        return web.AnswerHead(failure.http_status), failure.code.encode()

    def limits(self) -> web.ServerLimits:
        return self.in_force


async def _serve(
    nursery: trio.Nursery,
) -> tuple[_Handler, trio.SocketStream]:
    handler = _Handler()
    port = processes.free_port()
    await nursery.start(web.Server(handler).serve, f"127.0.0.1:{port}")
    return handler, await trio.open_tcp_stream("127.0.0.1", port)


async def _wait_for(
    condition: collections.abc.Callable[[], object], seconds: float = 2.0
) -> None:
    with trio.fail_after(seconds):
        while not condition():
            await trio.sleep(0.01)


async def _send_until_blocked(stream: trio.SocketStream) -> int:
    """Send bytes until none is taken for 0.3 s; return how many were."""
    sent = 0
    piece = b"x" * 65_536
    while sent < _SENT_BYTES:
        with trio.move_on_after(0.3) as scope:
            sent += await stream.socket.send(piece)
        if scope.cancelled_caught:
            break
    return sent


def _close(stream: trio.SocketStream) -> None:
    stream.socket.close()


def _reset(stream: trio.SocketStream) -> None:
    linger = struct.pack("ii", 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


class TestBytesDuringAnAnswer:
    async def test_caller_that_sends_without_end_is_blocked(
        self, nursery: trio.Nursery
    ) -> None:
        """A VM once kept all of it."""
        handler, stream = await _serve(nursery)
        await stream.send_all(_REQUEST % b"waits")
        await _wait_for(lambda: handler.begun)
        assert await _send_until_blocked(stream) < _SENT_BYTES / 2
        assert not handler.cancelled

    async def test_blocked_caller_that_resets_is_noticed(
        self, nursery: trio.Nursery
    ) -> None:
        handler, stream = await _serve(nursery)
        await stream.send_all(_REQUEST % b"waits")
        await _wait_for(lambda: handler.begun)
        await _send_until_blocked(stream)
        _reset(stream)
        await _wait_for(lambda: handler.cancelled, _NOTICE_SECONDS)

    @pytest.mark.parametrize("closes", [_close, _reset])
    @pytest.mark.parametrize(
        "sent", [b"", b"\r\n", _REQUEST % b"", b"x" * 30_000]
    )
    async def test_close_behind_unread_bytes_is_noticed(
        self,
        nursery: trio.Nursery,
        closes: collections.abc.Callable[[trio.SocketStream], None],
        sent: bytes,
    ) -> None:
        handler, stream = await _serve(nursery)
        await stream.send_all(_REQUEST % b"waits")
        await _wait_for(lambda: handler.begun)
        await stream.send_all(sent)
        await trio.sleep(0.15)
        closes(stream)
        await _wait_for(lambda: handler.cancelled, _NOTICE_SECONDS)

    async def test_requests_that_wait_are_answered_in_order(
        self, nursery: trio.Nursery
    ) -> None:
        handler, stream = await _serve(nursery)
        await stream.send_all(_REQUEST % b"waits")
        await _wait_for(lambda: handler.begun)
        # More than is read at once.
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 30000\r\n\r\n"
        for letter in (b"a", b"b", b"c"):
            await stream.send_all(head + letter * 30_000)
        await trio.sleep(0.2)
        handler.release.set()
        received = b""
        with trio.fail_after(2):
            while received.count(b"c") < 30_000:
                received += await stream.receive_some(65_536)
        assert received.count(b"HTTP/1.1 200") == 4
        for letter in (b"a" * 30_000, b"b" * 30_000, b"c" * 30_000):
            assert letter in received
