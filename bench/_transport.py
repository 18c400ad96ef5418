"""What a message between two processes of the system costs.

Both ends run in one process over 127.0.0.1, so that the processor time is
that of both.  Two ways carry the same messages, plain and under mutual TLS:
frames of msgpack on a trio stream, and one bidirectional gRPC stream of
``grpclib`` on the loop of ``trio-asyncio``.  Imports are made one after the
other, for the memory that each adds to those before it.
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
_BATCHES = (1, 16)
_ROUND_TRIPS = 300
_RUNS = 5
_PAGE_BYTES = resource.getpagesize()
_LENGTH = struct.Struct(">I")
_READ_BYTES = 65536
_HOST = "127.0.0.1"
_IMPORTS = ("trio", "ssl", "trio_asyncio", "grpclib.client", "grpclib.server")

# A Raft leader's heartbeats, each of them answered.
_HEARTBEATS_PER_SECOND = 20 * 4
# Gossip frames that an entry sends or receives at 320 nodes.
_GOSSIP_FRAMES_PER_SECOND = 66
_NODE_LIMIT_CPU_MILLISECONDS = 36


class Message(msgspec.Struct, frozen=True, array_like=True):
    """One message of the measured size."""

    number: int
    payload: bytes


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The messages of one tick."""

    messages: tuple[Message, ...]


_DECODER = msgspec.msgpack.Decoder(Batch)


class Way(abc.ABC):
    """A way to carry batches to the other end and answers back."""

    name: typing.ClassVar[str]

    @abc.abstractmethod
    def run(self, batch: Batch, round_trips: int) -> float:
        """Return the processor time in seconds of so many round trips."""


class FramedWay(Way):
    """Length-prefixed msgpack on a trio stream."""

    name = "msgpack frames on trio"

    def run(self, batch: Batch, round_trips: int) -> float:
        """Return the processor time in seconds of so many round trips."""
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
            await self._exchange(stream, reader, batch, 20)
            begun = time.process_time()
            await self._exchange(stream, reader, batch, round_trips)
            spent = time.process_time() - begun
            nursery.cancel_scope.cancel()
        return spent

    async def _exchange(
        self,
        stream: typing.Any,
        reader: "FrameReader",
        batch: Batch,
        round_trips: int,
    ) -> None:
        for _ in range(round_trips):
            await stream.send_all(_to_frame(batch))
            _DECODER.decode(await reader.read())

    async def _serve(self, task_status: typing.Any) -> None:
        import trio

        await trio.serve_tcp(
            self._answer, 0, host=_HOST, task_status=task_status
        )

    async def _answer(self, plain: typing.Any) -> None:
        stream = self.accept(plain)
        reader = FrameReader(stream)
        while True:
            batch = _DECODER.decode(await reader.read())
            await stream.send_all(_to_frame(Batch(batch.messages[:1])))

    async def connect(self, port: int) -> typing.Any:
        """Return the client's stream."""
        import trio

        return await trio.open_tcp_stream(_HOST, port)

    def accept(self, plain: typing.Any) -> typing.Any:
        """Return the server's stream."""
        return plain


class TlsWay(FramedWay):
    """The same frames under mutual TLS."""

    name = "msgpack frames on trio, mutual TLS"

    def __init__(self) -> None:
        self._client, self._server = _make_contexts()

    async def connect(self, port: int) -> typing.Any:
        """Return the client's stream."""
        import trio

        plain = await trio.open_tcp_stream(_HOST, port)
        return trio.SSLStream(plain, self._client, server_hostname=_HOST)

    def accept(self, plain: typing.Any) -> typing.Any:
        """Return the server's stream."""
        import trio

        return trio.SSLStream(plain, self._server, server_side=True)


class GrpcWay(Way):
    """One bidirectional gRPC stream."""

    name = "grpclib stream on trio-asyncio"
    _PATH: typing.ClassVar[str] = "/bench.Peer/Exchange"
    _client: ssl.SSLContext | None = None
    _server: ssl.SSLContext | None = None

    def run(self, batch: Batch, round_trips: int) -> float:
        """Return the processor time in seconds of so many round trips."""
        import trio

        return trio.run(self._run, batch, round_trips)

    async def _run(self, batch: Batch, round_trips: int) -> float:
        import trio_asyncio

        async with trio_asyncio.open_loop():
            run: typing.Any = trio_asyncio.aio_as_trio(self._run_asyncio)
            spent = await run(batch, round_trips)
            assert isinstance(spent, float)
            return spent

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
            await self._exchange(stream, batch, 20)
            begun = time.process_time()
            await self._exchange(stream, batch, round_trips)
            spent = time.process_time() - begun
            await stream.end()
        channel.close()
        listener.close()
        await listener.wait_closed()
        return spent

    async def _exchange(
        self, stream: typing.Any, batch: Batch, round_trips: int
    ) -> None:
        for _ in range(round_trips):
            await stream.send_message(batch)
            await stream.recv_message()

    async def _answer(self, stream: typing.Any) -> None:
        async for batch in stream:
            await stream.send_message(Batch(batch.messages[:1]))

    def __mapping__(self) -> dict[str, typing.Any]:
        from grpclib import const

        handler = const.Handler(
            self._answer, const.Cardinality.STREAM_STREAM, Batch, Batch
        )
        return {self._PATH: handler}


class GrpcTlsWay(GrpcWay):
    """The same gRPC stream under mutual TLS."""

    name = "grpclib stream on trio-asyncio, mutual TLS"

    def __init__(self) -> None:
        self._client, self._server = _make_contexts()
        for context in (self._client, self._server):
            context.set_alpn_protocols(["h2"])


class FrameReader:
    """Cuts what a stream brings into frames."""

    __slots__ = ("_buffer", "_stream")

    def __init__(self, stream: typing.Any) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> bytes:
        """Return the next frame, without its length."""
        await self._fill(_LENGTH.size)
        (length,) = _LENGTH.unpack_from(self._buffer)
        end = _LENGTH.size + length
        await self._fill(end)
        frame = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        return frame

    async def _fill(self, count: int) -> None:
        while len(self._buffer) < count:
            self._buffer += await self._stream.receive_some(_READ_BYTES)


def _to_frame(batch: Batch) -> bytes:
    data = msgspec.msgpack.encode(batch)
    return _LENGTH.pack(len(data)) + data


def _make_contexts() -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Return the client's and the server's context, under one authority."""
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
    for name in _IMPORTS:
        before = _resident_bytes()
        importlib.import_module(name)
        added = (_resident_bytes() - before) / 1e6
        figures.append(figure.Figure(f"memory_of_import_{name}", added, "MB"))
    return figures


def _batch(size_bytes: int, count: int) -> Batch:
    payload = bytes(size_bytes)
    return Batch(tuple(Message(number, payload) for number in range(count)))


def _measure_ways(
    ways: collections.abc.Sequence[Way], size_bytes: int, count: int
) -> list[figure.Figure]:
    batch = _batch(size_bytes, count)
    spent: dict[str, list[float]] = {way.name: [] for way in ways}
    for _ in range(_RUNS):
        for way in ways:
            seconds = way.run(batch, _ROUND_TRIPS)
            spent[way.name].append(1e6 * seconds / _ROUND_TRIPS / count)
    setting = f"{size_bytes} B, {count} a batch"
    return [
        figure.Figure(
            way.name,
            statistics.median(spent[way.name]),
            "us/message",
            setting,
            f"{min(spent[way.name]):.0f}..{max(spent[way.name]):.0f}",
        )
        for way in ways
    ]


def _relate(
    figures: collections.abc.Iterable[figure.Figure],
) -> list[figure.Figure]:
    """Relate one end's half of a round trip to a node's limit.

    A heartbeat and its answer are a round trip; a gossip frame, sent or
    received, is half of one.
    """
    related = []
    for found in figures:
        if found.setting != "100 B, 1 a batch":
            continue
        end_milliseconds = found.value / 1000 / 2
        leader = end_milliseconds * _HEARTBEATS_PER_SECOND
        gossip = end_milliseconds / 2 * _GOSSIP_FRAMES_PER_SECOND
        related.append(
            figure.Figure(
                f"{found.name}: leader and gossip",
                (leader + gossip) / _NODE_LIMIT_CPU_MILLISECONDS,
                "of the limit",
                f"heartbeats {leader:.1f}, gossip {gossip:.1f} ms/s",
            )
        )
    return related


def measure() -> list[figure.Figure]:
    """Return the cost of each way, and how it relates to the limit."""
    figures = _measure_imports()
    ways = (FramedWay(), TlsWay(), GrpcWay(), GrpcTlsWay())
    costs: list[figure.Figure] = []
    for size_bytes in _SIZES_BYTES:
        for count in _BATCHES:
            costs += _measure_ways(ways, size_bytes, count)
    return figures + costs + _relate(costs)


def main() -> None:
    """Print the figures."""
    for found in measure():
        print(
            f"{found.name:<52} {found.value:>9.4g} {found.unit:<14}"
            f" {found.setting:<32} {found.spread}"
        )


if __name__ == "__main__":
    main()
