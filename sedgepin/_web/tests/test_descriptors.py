"""Tests of a server whose process has no file descriptor left."""

import collections.abc
import contextlib
import os
import resource
import socket

import trio

from sedgepin import _web as web
from sedgepin import errors
from sedgepin.tests import processes

_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
_SPARE_DESCRIPTORS = 32


class _Handler(web.Handler):
    async def handle(self, exchange: web.Exchange) -> None:
        await exchange.answer(web.AnswerHead(200), b"answered")

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        return web.AnswerHead(failure.http_status), failure.code.encode()

    def limits(self) -> web.ServerLimits:
        return web.ServerLimits(2_048, 64, 0.4, 2.0)


@contextlib.contextmanager
def _descriptors_left(count: int) -> collections.abc.Iterator[None]:
    """Leave this process only some descriptors for the time being."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = max(map(int, os.listdir("/proc/self/fd")))
    most = highest + _SPARE_DESCRIPTORS
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, before[1]))
    taken: list[int] = []
    try:
        with contextlib.suppress(OSError):
            while True:
                taken.append(os.dup(0))
        for _descriptor in range(count):
            os.close(taken.pop())
        yield
    finally:
        for descriptor in taken:
            os.close(descriptor)
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


async def _serve(nursery: trio.Nursery) -> tuple[web.Server, int]:
    """Return a server and its port."""
    server = web.Server(_Handler())
    port = processes.free_port()
    await nursery.start(server.serve, f"127.0.0.1:{port}")
    return server, port


async def _ask(caller: socket.socket) -> bytes:
    """Send a request on a connection and return what comes first."""

    def ask() -> bytes:
        caller.sendall(_REQUEST)
        return caller.recv(65_536)

    return await trio.to_thread.run_sync(ask)


@contextlib.contextmanager
def _caller() -> collections.abc.Iterator[socket.socket]:
    """Return a socket that is connected to nothing yet."""
    with socket.socket() as caller:
        caller.settimeout(2)
        yield caller


class TestLastDescriptor:
    async def test_request_on_it_is_answered(
        self, nursery: trio.Nursery
    ) -> None:
        _server, port = await _serve(nursery)
        with _caller() as caller, _descriptors_left(1):
            caller.connect(("127.0.0.1", port))
            received = await _ask(caller)
        assert received.endswith(b"answered")

    async def test_connection_beyond_it_is_served_later(
        self, nursery: trio.Nursery
    ) -> None:
        _server, port = await _serve(nursery)
        with _caller() as first, _caller() as second:
            with _descriptors_left(1):
                first.connect(("127.0.0.1", port))
                await _ask(first)
                second.connect(("127.0.0.1", port))
                await trio.sleep(0.2)
            received = await _ask(second)
        assert received.endswith(b"answered")

    async def test_drain_without_one_answers_what_comes(
        self, nursery: trio.Nursery
    ) -> None:
        server, port = await _serve(nursery)
        with _caller() as caller:
            caller.connect(("127.0.0.1", port))
            await trio.sleep(0.1)
            with _descriptors_left(0):
                server.start_draining()
                server.finish_draining()
                received = await _ask(caller)
        assert b"Connection: close" in received
        assert received.endswith(b"answered")
