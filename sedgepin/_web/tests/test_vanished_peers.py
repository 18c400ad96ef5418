"""Tests of connections whose peer vanishes or is silent for a while."""

import collections.abc
import socket

import pytest
import result
import trio

from sedgepin import _web as web
from sedgepin._web import _server
from sedgepin import errors
from sedgepin.tests import processes
from sedgepin.tests import vanished_peer

_STATED_SECONDS = 3.0
_MARGIN_SECONDS = 0.7
_SILENT_SECONDS = 1.5
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


class _Engine:
    """Takes one connection, which ``prepare`` sees before its request."""

    def __init__(
        self,
        prepare: collections.abc.Callable[[trio.SocketStream], None],
        has_answer: trio.Event,
    ) -> None:
        self._prepare = prepare
        self._has_answer = has_answer
        self.is_prepared = trio.Event()
        self.stream: trio.SocketStream | None = None

    async def serve(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self._prepare(stream)
        self.is_prepared.set()
        await stream.receive_some(65_536)
        await self._has_answer.wait()
        await stream.send_all(_ANSWER)
        await trio.sleep_forever()


def _vanish(stream: trio.SocketStream) -> None:
    with socket.fromfd(stream.socket.fileno(), 0, 0) as sock:
        vanished_peer.vanish(sock)


def _reappear(stream: trio.SocketStream) -> None:
    with socket.fromfd(stream.socket.fileno(), 0, 0) as sock:
        vanished_peer.reappear(sock)


def _do_nothing(stream: trio.SocketStream) -> None:
    pass


async def _connect(
    nursery: trio.Nursery, engine: _Engine
) -> web.ClientConnection:
    listeners = await nursery.start(trio.serve_tcp, engine.serve, 0)
    port = listeners[0].socket.getsockname()[1]
    connected = await web.ClientConnection.open(f"127.0.0.1:{port}", 1.0)
    await engine.is_prepared.wait()
    return connected.unwrap()


class TestEngineConnection:
    @pytest.mark.parametrize("gets_request", [True, False])
    async def test_vanished_engine_is_found_in_the_stated_time(
        self, nursery: trio.Nursery, gets_request: bool
    ) -> None:
        """Before or after it has acknowledged the request.

        Without ``TCP_USER_TIMEOUT``, the former took the kernel 15 minutes.
        """
        prepare = _do_nothing if gets_request else _vanish
        engine = _Engine(prepare, trio.Event())
        connection = await _connect(nursery, engine)
        request = web.Request(b"POST", b"/", ((b"Host", b"x"),), b"body")
        assert (await connection.send(request)).is_ok()
        if gets_request:
            await trio.sleep(0.1)
            assert engine.stream is not None
            _vanish(engine.stream)
        before = trio.current_time()
        head: object = None
        with trio.move_on_after(_STATED_SECONDS + _MARGIN_SECONDS):
            head = await connection.read_head()
        assert isinstance(head, result.Err)
        seconds = trio.current_time() - before
        assert seconds > _STATED_SECONDS - _MARGIN_SECONDS
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("gets_request", [True, False])
    async def test_engine_silent_for_a_while_is_not_given_up(
        self, nursery: trio.Nursery, gets_request: bool
    ) -> None:
        prepare = _do_nothing if gets_request else _vanish
        has_answer = trio.Event()
        engine = _Engine(prepare, has_answer)
        connection = await _connect(nursery, engine)
        request = web.Request(b"POST", b"/", ((b"Host", b"x"),), b"body")
        assert (await connection.send(request)).is_ok()
        if gets_request:
            await trio.sleep(0.1)
            assert engine.stream is not None
            _vanish(engine.stream)
        await trio.sleep(_SILENT_SECONDS)
        assert engine.stream is not None
        _reappear(engine.stream)
        has_answer.set()
        with trio.fail_after(_STATED_SECONDS):
            head = await connection.read_head()
        assert head.unwrap().status == 200
        nursery.cancel_scope.cancel()

    async def test_engine_that_reads_a_long_body_late_is_not_given_up(
        self, nursery: trio.Nursery
    ) -> None:
        """``TCP_USER_TIMEOUT`` would end it, though its host answers."""
        body = b"x" * 16_000_000
        received = 0

        async def serve(stream: trio.SocketStream) -> None:
            nonlocal received
            await trio.sleep(_STATED_SECONDS + 1.0)
            while received < len(body):
                received += len(await stream.receive_some(1_000_000))
            await stream.send_all(_ANSWER)

        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        connected = await web.ClientConnection.open(f"127.0.0.1:{port}", 1.0)
        connection = connected.unwrap()
        request = web.Request(b"POST", b"/", ((b"Host", b"x"),), body)
        with trio.fail_after(8):
            await connection.send(request, nursery)
            head = await connection.read_head()
        assert head.unwrap().status == 200
        nursery.cancel_scope.cancel()

    async def test_options_agree_with_the_stated_time(
        self, nursery: trio.Nursery
    ) -> None:
        engine = _Engine(_do_nothing, trio.Event())
        connection = await _connect(nursery, engine)
        sock = connection._stream.socket
        tcp = socket.IPPROTO_TCP
        request = web.Request(b"GET", b"/", ((b"Host", b"x"),))
        await connection.send(request)
        user_timeout = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT) / 1000
        idle = sock.getsockopt(tcp, socket.TCP_KEEPIDLE)
        interval = sock.getsockopt(tcp, socket.TCP_KEEPINTVL)
        count = sock.getsockopt(tcp, socket.TCP_KEEPCNT)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert idle + interval * count == _STATED_SECONDS
        # A probe must give up at its third time, not at the one after.
        assert idle + interval < user_timeout < _STATED_SECONDS
        nursery.cancel_scope.cancel()


class _WaitingHandler(web.Handler):
    """Never answers; records when its caller was found to be gone."""

    def __init__(self) -> None:
        self.has_request = trio.Event()
        self.is_abandoned = trio.Event()

    async def handle(self, exchange: web.Exchange) -> None:
        self.has_request.set()
        try:
            await trio.sleep_forever()
        finally:
            self.is_abandoned.set()

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        return web.AnswerHead(failure.http_status), b""

    def limits(self) -> web.ServerLimits:
        return web.ServerLimits(2_048, 64, 1.0, 1.0)


class TestCallerConnection:
    async def test_vanished_caller_is_found_while_it_awaits_its_answer(
        self, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Its request once ran to the deadline.  Shortened from 20 s."""
        monkeypatch.setattr(_server, "_KEEPALIVE_IDLE_SECONDS", 1)
        monkeypatch.setattr(_server, "_KEEPALIVE_INTERVAL_SECONDS", 1)
        handler, stream = await self._send_request(nursery)
        await trio.sleep(0.1)
        _vanish(stream)
        with trio.fail_after(6):
            await handler.is_abandoned.wait()
        nursery.cancel_scope.cancel()

    async def test_silent_caller_keeps_its_connection(
        self, nursery: trio.Nursery
    ) -> None:
        handler, stream = await self._send_request(nursery)
        _vanish(stream)
        await trio.sleep(_SILENT_SECONDS)
        _reappear(stream)
        await trio.sleep(1.0)
        assert not handler.is_abandoned.is_set()
        nursery.cancel_scope.cancel()

    async def test_options_agree_with_the_stated_time(self) -> None:
        """Slow callers may not read for longer, so no user timeout is set."""
        seconds = _server._KEEPALIVE_IDLE_SECONDS
        seconds += (
            _server._KEEPALIVE_INTERVAL_SECONDS * _server._KEEPALIVE_PROBES
        )
        assert seconds == _server._SEND_TIMEOUT_SECONDS
        async with trio.open_nursery() as nursery:
            _handler, stream = await self._send_request(nursery)
            accepted = [
                connection._stream.socket
                for connection in self._server._connections
            ]
            assert len(accepted) == 1
            sock = accepted[0]
            tcp = socket.IPPROTO_TCP
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            assert sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT) == 0
            assert stream.socket.fileno() >= 0
            nursery.cancel_scope.cancel()

    async def _send_request(
        self, nursery: trio.Nursery
    ) -> tuple[_WaitingHandler, trio.SocketStream]:
        handler = _WaitingHandler()
        self._server = web.Server(handler)
        address = f"127.0.0.1:{processes.free_port()}"
        await nursery.start(self._server.serve, address)
        port = int(address.rpartition(":")[2])
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await handler.has_request.wait()
        return handler, stream
