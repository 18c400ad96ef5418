"""Tests of the HTTP server with callers that break its protocols."""

import collections.abc
import contextlib
import struct

import h2.config
import h2.connection
import pytest
import trio

from sedgepin import _http as http
from sedgepin.tests import processes

_HEADER_LIMIT_BYTES = 16_384
_PAUSE_SECONDS = 0.1
_HEADERS = (
    (b":method", b"POST"),
    (b":authority", b"entry"),
    (b":scheme", b"http"),
)
_PRIORITY_FRAME = 2
# More than hypercorn keeps.
_STREAMS = 1200


class Server(http.HttpServer):
    """Answers each request at once."""

    async def answer(self, request: http.Request) -> None:
        await http.send_document(request, {"path": request.path})


@contextlib.asynccontextmanager
async def running(
    server: http.HttpServer,
) -> collections.abc.AsyncIterator[int]:
    """Run a server; yield its port."""
    port = processes.free_port()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            server.serve, f"127.0.0.1:{port}", None, _HEADER_LIMIT_BYTES
        )
        with trio.fail_after(5.0):
            while True:
                with contextlib.suppress(OSError):
                    stream = await trio.open_tcp_stream("127.0.0.1", port)
                    await stream.aclose()
                    break
                await trio.sleep(0.01)
        yield port
        nursery.cancel_scope.cancel()


async def get(port: int) -> bytes:
    """Return the first bytes of the answer to a sound request."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        with trio.fail_after(2.0):
            await stream.send_all(b"GET /sound HTTP/1.1\r\nHost: a\r\n\r\n")
            return bytes(await stream.receive_some(65_536))


def _client() -> h2.connection.H2Connection:
    config = h2.config.H2Configuration(client_side=True)
    client = h2.connection.H2Connection(config)
    client.initiate_connection()
    return client


async def _send_data_of_answered_stream(stream: trio.SocketStream) -> None:
    client = _client()
    client.send_headers(1, [*_HEADERS, (b":path", b"/")])
    await stream.send_all(client.data_to_send())
    await trio.sleep(_PAUSE_SECONDS)
    client.send_data(1, b"x")
    await stream.send_all(client.data_to_send())


async def _send_many_priorities(stream: trio.SocketStream) -> None:
    frames = [
        struct.pack(">I", 5)[1:]
        + bytes((_PRIORITY_FRAME, 0))
        + struct.pack(">IIB", 2 * number + 3, 0, 10)
        for number in range(_STREAMS)
    ]
    await stream.send_all(_client().data_to_send() + b"".join(frames))


async def _send_path_outside_ascii(stream: trio.SocketStream) -> None:
    client = _client()
    headers = [*_HEADERS, (b":path", b"/\xff")]
    client.send_headers(1, headers, end_stream=True)
    await stream.send_all(client.data_to_send())


class TestConnectionThatFails:
    """Such a connection ended the process, with all other requests."""

    @pytest.mark.parametrize(
        "send",
        [
            _send_data_of_answered_stream,
            _send_many_priorities,
            _send_path_outside_ascii,
        ],
    )
    async def test_others_are_served(
        self,
        send: collections.abc.Callable[
            [trio.SocketStream], collections.abc.Awaitable[None]
        ],
    ) -> None:
        async with running(Server()) as port:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            async with stream:
                await send(stream)
                await trio.sleep(_PAUSE_SECONDS)
                assert (await get(port)).startswith(b"HTTP/1.1 200")
