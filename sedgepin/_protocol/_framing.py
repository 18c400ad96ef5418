"""Frames: a length, a version and the messages that wait to be sent.

A frame is four bytes of length (big endian), one byte of version and a
msgpack array of messages, in version 2 compressed with zlib.  Sending all
that waits in one frame is what keeps the cost of a message low when there
are many.
"""

import collections.abc
import dataclasses
import struct
import typing
import zlib

import msgspec
import result

from sedgepin._protocol import _messages
from sedgepin import errors

FRAME_LIMIT_BYTES = 16 * 1024 * 1024
LENGTH_BYTES = 4
VERSION = 1
COMPRESSED_VERSION = 2

# Smaller frames fit one packet as they are.
_COMPRESS_FROM_BYTES = 1_024
# The fastest level: identifiers and field names shrink most of what can.
_COMPRESSION_LEVEL = 1

_LENGTH = struct.Struct(">I")
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[tuple[_messages.PeerMessage, ...]] = (
    msgspec.msgpack.Decoder(tuple[_messages.PeerMessage, ...])
)
_raw_decoder: msgspec.msgpack.Decoder[tuple[msgspec.Raw, ...]] = (
    msgspec.msgpack.Decoder(tuple[msgspec.Raw, ...])
)
_one_decoder: msgspec.msgpack.Decoder[_messages.PeerMessage] = (
    msgspec.msgpack.Decoder(_messages.PeerMessage)
)


@dataclasses.dataclass(slots=True, frozen=True)
class FrameRefused(errors.Failure):
    """A frame that is too long, of another version, or not readable."""

    code: typing.ClassVar[str] = "frame_refused"
    title: typing.ClassVar[str] = "A frame from a peer cannot be read"

    reason: str

    def detail(self) -> str:
        """Return what is wrong with the frame."""
        return self.reason


def encode_messages(
    messages: collections.abc.Sequence[_messages.PeerMessage],
) -> bytes:
    """Return one frame that holds ``messages``."""
    body = _encoder.encode(messages)
    version = VERSION
    if len(body) >= _COMPRESS_FROM_BYTES:
        body = zlib.compress(body, _COMPRESSION_LEVEL)
        version = COMPRESSED_VERSION
    return _LENGTH.pack(len(body) + 1) + bytes([version]) + body


def decode_length(
    header: bytes | bytearray,
) -> result.Result[int, FrameRefused]:
    """Return how many bytes follow the first four of a frame."""
    (length,) = _LENGTH.unpack(header[:LENGTH_BYTES])
    if not 1 <= length <= FRAME_LIMIT_BYTES:
        return result.Err(FrameRefused(f"its length is {length} bytes"))
    return result.Ok(int(length))


def decode_messages(
    body: bytes | bytearray,
) -> result.Result[tuple[_messages.PeerMessage, ...], FrameRefused]:
    """Return the messages of a frame, given all that follows its length."""
    if not body or body[0] not in (VERSION, COMPRESSED_VERSION):
        return result.Err(FrameRefused("its version is not known"))
    content = memoryview(body)[1:]
    if body[0] == COMPRESSED_VERSION:
        inflated = _inflate(content)
        if isinstance(inflated, result.Err):
            return inflated
        content = memoryview(inflated.ok_value)
    try:
        return result.Ok(_decoder.decode(content))
    except msgspec.ValidationError:
        return _decode_known(content)
    except (msgspec.DecodeError, RecursionError) as exc:
        return result.Err(FrameRefused(str(exc)))


def _inflate(content: memoryview) -> result.Result[bytes, FrameRefused]:
    """Return what was compressed, up to the size that a frame may have."""
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(content, FRAME_LIMIT_BYTES)
    except zlib.error as exc:
        return result.Err(FrameRefused(str(exc)))
    if inflater.unconsumed_tail or not inflater.eof:
        return result.Err(FrameRefused("it inflates beyond the limit"))
    return result.Ok(inflated)


def _decode_known(
    content: memoryview,
) -> result.Result[tuple[_messages.PeerMessage, ...], FrameRefused]:
    """Return the messages that this version knows, passing over others.

    A peer of a later version may send kinds that are not known here; they
    count as lost, like any message.
    """
    known: list[_messages.PeerMessage] = []
    try:
        raws = _raw_decoder.decode(content)
    except (msgspec.DecodeError, RecursionError) as exc:
        return result.Err(FrameRefused(str(exc)))
    for raw in raws:
        try:
            known.append(_one_decoder.decode(raw))
        except (msgspec.DecodeError, RecursionError):
            continue
    return result.Ok(tuple(known))
