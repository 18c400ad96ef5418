"""Encoding and decoding of frames, the unit that peers send on a stream.

A frame is a four-byte big-endian length, a one-byte version and a msgpack
array of messages, which version 2 compresses with zlib.  All queued messages
go into one frame, so that the cost per message stays low under load.
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
# A number of more than 64 bits, and text that is no Unicode.
ENCODING_ERRORS = (OverflowError, UnicodeEncodeError)

# A smaller frame fits into one packet without compression.
_COMPRESSION_THRESHOLD_BYTES = 1_024
# The fastest level; it already removes most of the redundancy, which is in
# identifiers and field names.
_COMPRESSION_LEVEL = 1

_LENGTH = struct.Struct(">I")
_encoder = msgspec.msgpack.Encoder()
_batch_decoder: msgspec.msgpack.Decoder[tuple[_messages.PeerMessage, ...]] = (
    msgspec.msgpack.Decoder(tuple[_messages.PeerMessage, ...])
)
_raw_decoder: msgspec.msgpack.Decoder[tuple[msgspec.Raw, ...]] = (
    msgspec.msgpack.Decoder(tuple[msgspec.Raw, ...])
)
_message_decoder: msgspec.msgpack.Decoder[_messages.PeerMessage] = (
    msgspec.msgpack.Decoder(_messages.PeerMessage)
)


@dataclasses.dataclass(slots=True, frozen=True)
class FrameRefused(errors.Failure):
    """A frame has an invalid length, an unknown version or a malformed body.

    Also reported for a failed TLS handshake.
    """

    code: typing.ClassVar[str] = "frame_refused"
    title: typing.ClassVar[str] = "A frame from a peer cannot be read"

    reason: str

    def detail(self) -> str:
        """Return the reason."""
        return self.reason


def is_encodable(message: _messages.PeerMessage) -> bool:
    """Return whether a message has only values that msgpack can carry."""
    try:
        _encoder.encode(message)
    except ENCODING_ERRORS:
        return False
    return True


def encode_messages(
    messages: collections.abc.Sequence[_messages.PeerMessage],
) -> bytes:
    """Return ``messages`` as one frame, its length included.

    Raises one of ``ENCODING_ERRORS`` if a message cannot be encoded.
    """
    body = _encoder.encode(messages)
    version = VERSION
    if len(body) >= _COMPRESSION_THRESHOLD_BYTES:
        body = zlib.compress(body, _COMPRESSION_LEVEL)
        version = COMPRESSED_VERSION
    return _LENGTH.pack(len(body) + 1) + bytes([version]) + body


def decode_length(
    header: bytes | bytearray,
) -> result.Result[int, FrameRefused]:
    """Return how many bytes follow the length field of a frame.

    ``header`` starts with the four bytes of that field.
    """
    (length,) = _LENGTH.unpack(header[:LENGTH_BYTES])
    if not 1 <= length <= FRAME_LIMIT_BYTES:
        return result.Err(
            FrameRefused(
                f"frame length {length} is not between 1 and"
                f" {FRAME_LIMIT_BYTES} bytes"
            )
        )
    return result.Ok(int(length))


def decode_messages(
    body: bytes | bytearray,
) -> result.Result[tuple[_messages.PeerMessage, ...], FrameRefused]:
    """Return the messages of a frame.

    ``body`` is what follows the length field: version and content.  Messages
    of unknown types are skipped.
    """
    if not body or body[0] not in (VERSION, COMPRESSED_VERSION):
        return result.Err(
            FrameRefused(f"unknown frame version {bytes(body[:1]).hex()!r}")
        )
    content = memoryview(body)[1:]
    if body[0] == COMPRESSED_VERSION:
        decompressed = _decompress(content)
        if isinstance(decompressed, result.Err):
            return decompressed
        content = memoryview(decompressed.ok_value)
    try:
        return result.Ok(_batch_decoder.decode(content))
    except msgspec.ValidationError:
        return _decode_known_messages(content)
    except (msgspec.DecodeError, RecursionError) as exc:
        return result.Err(FrameRefused(str(exc)))


def _decompress(content: memoryview) -> result.Result[bytes, FrameRefused]:
    """Return the decompressed content, up to the frame limit.

    The bound keeps a small malicious frame from exhausting memory.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(content, FRAME_LIMIT_BYTES)
    except zlib.error as exc:
        return result.Err(FrameRefused(str(exc)))
    if decompressor.unconsumed_tail or not decompressor.eof:
        return result.Err(
            FrameRefused(
                "content is truncated or inflates to over"
                f" {FRAME_LIMIT_BYTES} bytes"
            )
        )
    return result.Ok(decompressed)


def _decode_known_messages(
    content: memoryview,
) -> result.Result[tuple[_messages.PeerMessage, ...], FrameRefused]:
    """Decode messages one by one, skipping those that cannot be decoded.

    A peer of a later version may send types that this version does not know.
    Such a message counts as lost, which any receiver must tolerate.
    """
    messages: list[_messages.PeerMessage] = []
    try:
        raws = _raw_decoder.decode(content)
    except (msgspec.DecodeError, RecursionError) as exc:
        return result.Err(FrameRefused(str(exc)))
    for raw in raws:
        try:
            messages.append(_message_decoder.decode(raw))
        except (msgspec.DecodeError, RecursionError):
            continue
    return result.Ok(tuple(messages))
