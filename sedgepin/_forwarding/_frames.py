"""The frames between an entry VM and the one that forwards for it.

Each frame is a four-byte big-endian length and one msgpack message.  Fields
are only added, with defaults; a message of an unknown type ends the
connection.
"""

import socket
import struct
import typing

import msgspec
import trio

from sedgepin import _model as model
from sedgepin import _sockets as sockets
from sedgepin import _web as web

# A whole request with its body is one frame.
_FRAME_LIMIT_BYTES = 16 * 1024 * 1024
_READ_BYTES = 65_536
_LENGTH = struct.Struct(">I")
# A vanished VM is detected after about 3 s.
_KEEPALIVE_IDLE_SECONDS = 1
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 2


class OpenForward(msgspec.Struct, frozen=True, tag=True):
    """Asks to connect to an endpoint.

    ``key`` is the one that the forwarder has told the control VMs;
    ``request_id`` is for the logs.
    """

    key: str
    endpoint_id: model.EndpointId
    incarnation: int | None
    address: str
    request_id: str = ""


class ForwardOpened(msgspec.Struct, frozen=True, tag=True):
    """The connection to the endpoint is open; nothing has been sent on it."""


class ForwardRefused(msgspec.Struct, frozen=True, tag=True):
    """The request is not forwarded; nothing has been sent to the endpoint.

    ``is_beyond`` tells whether the cause lies between the forwarder and the
    endpoint, rather than at the forwarder; ``is_refused`` that no process
    serves at the endpoint's address; ``is_unknown`` that the forwarder does
    not know the endpoint, of which that says nothing.  ``is_sound`` tells
    whether the forwarder knows that its own links are not the cause; ``None``
    if it does not say.
    """

    reason: str
    is_beyond: bool = False
    is_refused: bool = False
    is_unknown: bool = False
    is_sound: bool | None = None


class ForwardedRequest(msgspec.Struct, frozen=True, tag=True):
    """The request to the endpoint."""

    method: bytes
    target: bytes
    headers: web.Headers
    body: bytes = b""


class ForwardedHead(msgspec.Struct, frozen=True, tag=True):
    """The head of the endpoint's answer."""

    status: int
    headers: web.Headers


class ForwardedData(msgspec.Struct, frozen=True, tag=True):
    """Some bytes of the answer's body."""

    data: bytes


class ForwardedEnd(msgspec.Struct, frozen=True, tag=True):
    """The answer is complete."""


class ForwardedBroken(msgspec.Struct, frozen=True, tag=True):
    """The endpoint's answer broke off, or was no answer."""

    reason: str


Frame: typing.TypeAlias = (
    OpenForward
    | ForwardOpened
    | ForwardRefused
    | ForwardedRequest
    | ForwardedHead
    | ForwardedData
    | ForwardedEnd
    | ForwardedBroken
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def set_options(sock: socket.socket) -> None:
    """Set the options of a connection between two entry VMs."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sockets.enable_keepalive(
        sock,
        _KEEPALIVE_IDLE_SECONDS,
        _KEEPALIVE_INTERVAL_SECONDS,
        _KEEPALIVE_PROBES,
    )


class FrameStream:
    """Sends and receives frames on a connection.

    Both raise ``trio.BrokenResourceError`` if the connection is broken, and
    ``receive`` also at its end or for a frame that cannot be decoded.
    """

    __slots__ = ("_buffer", "_stream")

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def send(self, frame: Frame) -> None:
        """Send one frame."""
        body = _encoder.encode(frame)
        await self._stream.send_all(_LENGTH.pack(len(body)) + body)

    async def receive(self, limit_bytes: int = _FRAME_LIMIT_BYTES) -> Frame:
        """Return the next frame, of ``limit_bytes`` at most."""
        await self._fill(_LENGTH.size)
        (length,) = _LENGTH.unpack(self._buffer[: _LENGTH.size])
        if length > limit_bytes:
            raise trio.BrokenResourceError(
                f"a frame of {length} bytes is over {limit_bytes}"
            )
        end = _LENGTH.size + length
        await self._fill(end)
        body = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        try:
            return _decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise trio.BrokenResourceError(str(exc)) from exc

    async def wait_closed(self) -> None:
        """Return when the peer has closed the connection, or sent more."""
        try:
            await self._stream.receive_some(1)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _fill(self, count: int) -> None:
        while len(self._buffer) < count:
            received = await self._stream.receive_some(_READ_BYTES)
            if not received:
                raise trio.BrokenResourceError("closed by the peer")
            self._buffer += received
