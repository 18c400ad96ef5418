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

from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin import _sockets as sockets
from sedgepin import _web as web
from sedgepin import _work as work

# A whole request with its body is one frame.
_FRAME_LIMIT_BYTES = 16 * 1024 * 1024
# A frame of an answer has what was read of it at once.
ANSWER_FRAME_LIMIT_BYTES = 262_144
_READ_BYTES = 65_536
# More than this is counted although it may be passed on at once.
_MIN_COUNTED_BYTES = 4096
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
    """The request to the endpoint.

    ``milliseconds_left`` is the time in which the other VM needs the end of
    the answer; ``None`` if it does not say.
    """

    method: bytes
    target: bytes
    headers: web.Headers
    body: bytes = b""
    milliseconds_left: int | None = None


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
    """The endpoint's answer broke off, or was no answer.

    ``is_invalid`` tells that the endpoint sent what is no answer.
    """

    reason: str
    is_invalid: bool = False


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
    Neither has a limit of time; the bytes that it waits with are held in
    ``account``, whose end must end the wait.
    """

    __slots__ = (
        "_account",
        "_buffer",
        "_kept_bytes",
        "_stream",
        "is_send_interrupted",
    )

    def __init__(
        self, stream: trio.abc.Stream, account: memory.Account | None = None
    ) -> None:
        self._stream = stream
        self._account = account
        self._buffer = bytearray()
        # What the reader has kept of the frames that it got.
        self._kept_bytes = 0
        # Set if a frame may have been sent in part; nothing may follow it.
        self.is_send_interrupted = False

    async def send(self, frame: Frame) -> None:
        """Send one frame."""
        data = _encoder.encode(frame)
        data = _LENGTH.pack(len(data)) + data
        is_counted = len(data) > _MIN_COUNTED_BYTES
        if is_counted:
            self._hold(len(data))
        self.is_send_interrupted = True
        await self._stream.send_all(data)
        self.is_send_interrupted = False
        if is_counted:
            self._hold(0)

    async def receive(self, limit_bytes: int = _FRAME_LIMIT_BYTES) -> Frame:
        """Return the next frame, of ``limit_bytes`` at most."""
        load = work.new_load()
        await self._fill(_LENGTH.size, load)
        (length,) = _LENGTH.unpack(self._buffer[: _LENGTH.size])
        if length > limit_bytes:
            raise trio.BrokenResourceError(
                f"a frame of {length} bytes is over {limit_bytes}"
            )
        end = _LENGTH.size + length
        await self._fill(end, load)
        body = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        try:
            return _decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise trio.BrokenResourceError(str(exc)) from exc

    def keep(self, kept_bytes: int) -> None:
        """State what the reader holds of the frames that it got."""
        self._kept_bytes = kept_bytes
        self._hold(0)

    async def wait_closed(self) -> None:
        """Return when the peer has closed the connection, or sent more."""
        try:
            await self._stream.receive_some(1)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _fill(self, count: int, load: work.MessageLoad) -> None:
        while len(self._buffer) < count:
            self._hold(0)
            received = await self._stream.receive_some(_READ_BYTES)
            if not received:
                raise trio.BrokenResourceError("closed by the peer")
            self._buffer += received
            if len(received) > _MIN_COUNTED_BYTES:
                self._hold(0)
            load.add(1, len(received))
            if load.is_too_fragmented:
                raise trio.BrokenResourceError("too many pieces of a frame")
            if load.is_costly:
                try:
                    await work.pass_turn(load)
                except work.WorkEnded as exc:
                    raise trio.BrokenResourceError(
                        "too many costly frames"
                    ) from exc

    def _hold(self, sent_bytes: int) -> None:
        if self._account is not None:
            self._account.hold(
                self._kept_bytes + len(self._buffer) + sent_bytes
            )
