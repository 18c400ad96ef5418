"""Cost of messages between two processes, by transport.

Both ends run in one process over 127.0.0.1, so the CPU time includes both.
Two transports carry the same messages, with and without mutual TLS: msgpack
frames on a trio stream, and one bidirectional ``grpclib`` stream on the
``trio-asyncio`` event loop.  Modules are imported one by one, to measure the
memory that each adds to the previous ones.
"""

import abc
import collections.abc
import importlib
import resource
import ssl
import statistics
import struct
import time
import typing

import msgspec

from bench import _figure as figure

_SIZES_BYTES = (100, 4096)
_BATCH_SIZES = (1, 16)
_ROUND_TRIP_COUNT = 300
_RUN_COUNT = 5
_PAGE_BYTES = resource.getpagesize()
_LENGTH_PREFIX = struct.Struct(">I")
_READ_BYTES = 65536
_HOST = "127.0.0.1"
_IMPORTED_MODULES = (
    "trio",
    "ssl",
    "trio_asyncio",
    "grpclib.client",
    "grpclib.server",
)

# Heartbeats of a Raft leader, each with a response: 20 a second to each of
# 4 followers.
_HEARTBEATS_PER_SECOND = 20 * 4
# Gossip frames that an entry VM sends or receives in a fleet of 320 nodes.
_GOSSIP_FRAMES_PER_SECOND = 66
_NODE_LIMIT_CPU_MS_PER_SECOND = 36


class Message(msgspec.Struct, frozen=True, array_like=True):
    """One message of the measured size."""

    number: int
    payload: bytes


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The messages of one tick."""

    messages: tuple[Message, ...]


_DECODER = msgspec.msgpack.Decoder(Batch)


class Transport(abc.ABC):
    """Carries batches to the other end, and a response to each back."""

    name: typing.ClassVar[str]

    @abc.abstractmethod
    def run(self, batch: Batch, round_trips: int) -> float:
        """Return the CPU time of ``round_trips`` round trips, in seconds."""


class FramedTransport(Transport):
    """Length-prefixed msgpack on a trio stream."""

    name = "msgpack frames on trio"

    def run(self, batch: Batch, round_trips: int) -> float:
        """Return the CPU time of ``round_trips`` round trips, in seconds."""
        import trio

        return trio.run(self._run, batch, round_trips)

    async def _run(self, batch: Batch, round_trips: int) -> float:
        import trio

        async with trio.open_nursery() as nursery:
            serve: typing.Any = self._serve
            listeners = await nursery.start(serve)
            port = listeners[0].socket.getsockname()[1]
            stream = await self.connect(port)
            reader = FrameReader(stream)
            await self._run_round_trips(stream, reader, batch, 20)
            start = time.process_time()
            await self._run_round_trips(stream, reader, batch, round_trips)
            cpu_seconds = time.process_time() - start
            nursery.cancel_scope.cancel()
        return cpu_seconds

    async def _run_round_trips(
        self,
        stream: typing.Any,
        reader: "FrameReader",
        batch: Batch,
        round_trips: int,
    ) -> None:
        for _ in range(round_trips):
            await stream.send_all(_encode_frame(batch))
            _DECODER.decode(await reader.read())

    async def _serve(self, task_status: typing.Any) -> None:
        import trio

        await trio.serve_tcp(
            self._serve_connection, 0, host=_HOST, task_status=task_status
        )

    async def _serve_connection(self, tcp_stream: typing.Any) -> None:
        stream = self.accept(tcp_stream)
        reader = FrameReader(stream)
        while True:
            batch = _DECODER.decode(await reader.read())
            await stream.send_all(_encode_frame(Batch(batch.messages[:1])))

    async def connect(self, port: int) -> typing.Any:
        """Connect to the server and return the client's stream."""
        import trio

        return await trio.open_tcp_stream(_HOST, port)

    def accept(self, tcp_stream: typing.Any) -> typing.Any:
        """Return the server's stream on an accepted TCP connection."""
        return tcp_stream


class FramedTlsTransport(FramedTransport):
    """The same frames under mutual TLS."""

    name = "msgpack frames on trio, mutual TLS"

    def __init__(self) -> None:
        self._client, self._server = _make_contexts()

    async def connect(self, port: int) -> typing.Any:
        """Connect to the server and return the client's stream."""
        import trio

        tcp_stream = await trio.open_tcp_stream(_HOST, port)
        return trio.SSLStream(tcp_stream, self._client, server_hostname=_HOST)

    def accept(self, tcp_stream: typing.Any) -> typing.Any:
        """Return the server's stream on an accepted TCP connection."""
        import trio

        return trio.SSLStream(tcp_stream, self._server, server_side=True)


class GrpcTransport(Transport):
    """One bidirectional gRPC stream."""

    name = "grpclib stream on trio-asyncio"
    _PATH: typing.ClassVar[str] = "/bench.Peer/Exchange"
    _client: ssl.SSLContext | None = None
    _server: ssl.SSLContext | None = None

    def run(self, batch: Batch, round_trips: int) -> float:
        """Return the CPU time of ``round_trips`` round trips, in seconds."""
        import trio

        return trio.run(self._run, batch, round_trips)

    async def _run(self, batch: Batch, round_trips: int) -> float:
        import trio_asyncio

        async with trio_asyncio.open_loop():
            run: typing.Any = trio_asyncio.aio_as_trio(self._run_asyncio)
            cpu_seconds = await run(batch, round_trips)
            assert isinstance(cpu_seconds, float)
            return cpu_seconds

    async def _run_asyncio(self, batch: Batch, round_trips: int) -> float:
        from grpclib import client
        from grpclib import server

        codec = _make_codec()
        listener = server.Server([self], codec=codec)
        await listener.start(_HOST, 0, ssl=self._server)
        sockets = typing.cast(typing.Any, listener)._server.sockets
        port = sockets[0].getsockname()[1]
        channel = client.Channel(_HOST, port, ssl=self._client, codec=codec)
        method = client.StreamStreamMethod(channel, self._PATH, Batch, Batch)
        async with method.open() as stream:
            await self._run_round_trips(stream, batch, 20)
            start = time.process_time()
            await self._run_round_trips(stream, batch, round_trips)
            cpu_seconds = time.process_time() - start
            await stream.end()
        channel.close()
        listener.close()
        await listener.wait_closed()
        return cpu_seconds

    async def _run_round_trips(
        self, stream: typing.Any, batch: Batch, round_trips: int
    ) -> None:
        for _ in range(round_trips):
            await stream.send_message(batch)
            await stream.recv_message()

    async def _serve_connection(self, stream: typing.Any) -> None:
        async for batch in stream:
            await stream.send_message(Batch(batch.messages[:1]))

    def __mapping__(self) -> dict[str, typing.Any]:
        from grpclib import const

        handler = const.Handler(
            self._serve_connection,
            const.Cardinality.STREAM_STREAM,
            Batch,
            Batch,
        )
        return {self._PATH: handler}


class GrpcTlsTransport(GrpcTransport):
    """The same gRPC stream under mutual TLS."""

    name = "grpclib stream on trio-asyncio, mutual TLS"

    def __init__(self) -> None:
        self._client, self._server = _make_contexts()
        for context in (self._client, self._server):
            context.set_alpn_protocols(["h2"])


class FrameReader:
    """Reads length-prefixed frames from a stream."""

    __slots__ = ("_buffer", "_stream")

    def __init__(self, stream: typing.Any) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> bytes:
        """Return the next frame, without its length prefix."""
        await self._fill(_LENGTH_PREFIX.size)
        (length,) = _LENGTH_PREFIX.unpack_from(self._buffer)
        end = _LENGTH_PREFIX.size + length
        await self._fill(end)
        frame = bytes(self._buffer[_LENGTH_PREFIX.size : end])
        del self._buffer[:end]
        return frame

    async def _fill(self, count: int) -> None:
        while len(self._buffer) < count:
            self._buffer += await self._stream.receive_some(_READ_BYTES)


def _encode_frame(batch: Batch) -> bytes:
    data = msgspec.msgpack.encode(batch)
    return _LENGTH_PREFIX.pack(len(data)) + data


def _make_contexts() -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Return TLS contexts of the client and the server.

    Their certificates are issued by the same authority, which both trust.
    """
    import trustme

    authority = trustme.CA()
    client = ssl.create_default_context()
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server.verify_mode = ssl.CERT_REQUIRED
    for context in (client, server):
        authority.configure_trust(context)
        authority.issue_cert(_HOST).configure_cert(context)
    return client, server


def _make_codec() -> typing.Any:
    from grpclib.encoding import base

    class MsgpackCodec(base.CodecBase):
        """Encodes messages as msgpack."""

        __content_subtype__ = "msgpack"

        def encode(
            self, message: typing.Any, message_type: typing.Any
        ) -> bytes:
            return msgspec.msgpack.encode(message)

        def decode(self, data: bytes, message_type: typing.Any) -> typing.Any:
            return _DECODER.decode(data)

    return MsgpackCodec()


def _resident_bytes() -> int:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * _PAGE_BYTES


def _measure_imports() -> list[figure.Figure]:
    figures = []
    for name in _IMPORTED_MODULES:
        before = _resident_bytes()
        importlib.import_module(name)
        added_megabytes = (_resident_bytes() - before) / 1e6
        figures.append(
            figure.Figure(f"memory_of_import_{name}", added_megabytes, "MB")
        )
    return figures


def _make_batch(size_bytes: int, count: int) -> Batch:
    payload = bytes(size_bytes)
    return Batch(tuple(Message(number, payload) for number in range(count)))


def _measure_transports(
    transports: collections.abc.Sequence[Transport],
    size_bytes: int,
    count: int,
) -> list[figure.Figure]:
    batch = _make_batch(size_bytes, count)
    microseconds: dict[str, list[float]] = {
        transport.name: [] for transport in transports
    }
    for _ in range(_RUN_COUNT):
        for transport in transports:
            seconds = transport.run(batch, _ROUND_TRIP_COUNT)
            microseconds[transport.name].append(
                1e6 * seconds / _ROUND_TRIP_COUNT / count
            )
    setting = f"{size_bytes} B, {count} a batch"
    return [
        figure.Figure(
            transport.name,
            statistics.median(microseconds[transport.name]),
            "us/message",
            setting,
            f"{min(microseconds[transport.name]):.0f}"
            f"..{max(microseconds[transport.name]):.0f}",
        )
        for transport in transports
    ]


def _share_of_limit(
    figures: collections.abc.Iterable[figure.Figure],
) -> list[figure.Figure]:
    """Return the CPU time of a node's messages as a share of its limit.

    Each end uses half of the CPU time of a round trip.  A heartbeat and its
    response are one round trip; a gossip frame, sent or received, is half of
    one.
    """
    shares = []
    for result in figures:
        if result.setting != "100 B, 1 a batch":
            continue
        end_milliseconds = result.value / 1000 / 2
        heartbeat_milliseconds = end_milliseconds * _HEARTBEATS_PER_SECOND
        gossip_milliseconds = end_milliseconds / 2 * _GOSSIP_FRAMES_PER_SECOND
        shares.append(
            figure.Figure(
                f"{result.name}: leader and gossip",
                (heartbeat_milliseconds + gossip_milliseconds)
                / _NODE_LIMIT_CPU_MS_PER_SECOND,
                "of the limit",
                f"heartbeats {heartbeat_milliseconds:.1f},"
                f" gossip {gossip_milliseconds:.1f} ms/s",
            )
        )
    return shares


def measure() -> list[figure.Figure]:
    """Return import memory, costs by transport, and shares of the limit."""
    figures = _measure_imports()
    transports = (
        FramedTransport(),
        FramedTlsTransport(),
        GrpcTransport(),
        GrpcTlsTransport(),
    )
    transport_figures: list[figure.Figure] = []
    for size_bytes in _SIZES_BYTES:
        for count in _BATCH_SIZES:
            transport_figures += _measure_transports(
                transports, size_bytes, count
            )
    return figures + transport_figures + _share_of_limit(transport_figures)


def main() -> None:
    """Print the figures."""
    for result in measure():
        print(
            f"{result.name:<52} {result.value:>9.4g} {result.unit:<14}"
            f" {result.setting:<32} {result.spread}"
        )


if __name__ == "__main__":
    main()
