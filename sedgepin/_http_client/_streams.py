"""Checked connections, with and without ``trio``."""

import collections.abc
import ssl
import typing

import httpcore

from sedgepin import _response_heads as response_heads
from sedgepin import _sockets as sockets


class _ResponseCheck:
    """Checks the one response of a connection as its bytes arrive."""

    __slots__ = ("_delivery", "_scanner")

    def __init__(self, delivery: sockets.RequestDelivery) -> None:
        self._delivery = delivery
        self._scanner = response_heads.HeadScanner()

    def pieces(self, buffer: bytes) -> collections.abc.Iterator[memoryview]:
        """Yield the pieces in which a part of the request is to be sent."""
        return self._delivery.pieces(buffer)

    def check(self, data: bytes) -> None:
        """Check what was read.

        Raises ``httpcore.RemoteProtocolError`` if a head is invalid, and
        ``httpcore.ReadError`` at an end that is not that of a whole exchange.
        """
        fault = self._scanner.feed(data).err()
        if fault is not None:
            raise httpcore.RemoteProtocolError(
                f"invalid response head: {fault}"
            )
        gap = None if data else self._delivery.find_gap()
        if gap is not None:
            raise httpcore.ReadError(gap)


class CheckedAsyncStream(httpcore.AsyncNetworkStream):
    """A connection for one request and its checked response."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._check = _ResponseCheck(
            sockets.RequestDelivery(stream.get_extra_info("socket"))
        )

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return some bytes."""
        data = await self._stream.read(max_bytes, timeout)
        self._check.check(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes."""
        for piece in self._check.pieces(buffer):
            await self._stream.write(bytes(piece), timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection under TLS, with the same checks."""
        return type(self)(
            await self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> typing.Any:
        """Return what the connection under this one tells."""
        return self._stream.get_extra_info(info)


class CheckedAsyncBackend(httpcore.AsyncNetworkBackend):
    """Opens checked connections for a pool that keeps none alive.

    ``stream_type`` is their class; it may check more.
    """

    def __init__(
        self, stream_type: type[CheckedAsyncStream] = CheckedAsyncStream
    ) -> None:
        self._backend = httpcore.TrioBackend()
        self._stream_type = stream_type

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: typing.Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        return self._stream_type(
            await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )

    async def sleep(self, seconds: float) -> None:
        """Wait between two attempts to connect."""
        await self._backend.sleep(seconds)


class _CheckedStream(httpcore.NetworkStream):
    """A blocking connection for one request and its checked response."""

    def __init__(self, stream: httpcore.NetworkStream) -> None:
        self._stream = stream
        self._check = _ResponseCheck(
            sockets.RequestDelivery(stream.get_extra_info("socket"))
        )

    def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return some bytes."""
        data = self._stream.read(max_bytes, timeout)
        self._check.check(data)
        return data

    def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes."""
        for piece in self._check.pieces(buffer):
            self._stream.write(bytes(piece), timeout)

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.NetworkStream:
        """Return the connection under TLS, with the same checks."""
        return _CheckedStream(
            self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> typing.Any:
        """Return what the connection under this one tells."""
        return self._stream.get_extra_info(info)


class CheckedBackend(httpcore.NetworkBackend):
    """Opens blocking checked connections for a pool that keeps none alive."""

    def __init__(self) -> None:
        self._backend = httpcore.SyncBackend()

    def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: typing.Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.NetworkStream:
        """Open a connection."""
        return _CheckedStream(
            self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )
