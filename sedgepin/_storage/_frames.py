"""Frames: a file format that detects corrupt and torn writes.

A frame is a header (version, payload length, payload checksum, header
checksum), the payload and an end mark.  Each payload checksum is seeded with
that of the previous frame, so that a missing or duplicated frame in the
middle breaks the chain.  A group commit is a single frame, so only the last
frame can be torn.
"""

import dataclasses
import struct
import zlib

import result

from sedgepin._storage import _failures

VERSION = 1
_HEADER = struct.Struct(">BIII")
_HEADER_CHECKSUM = struct.Struct(">I")
_END_MARK = b"\xa5"
_SECTOR_BYTES = 512


@dataclasses.dataclass(slots=True, frozen=True)
class Frame:
    """A payload, with the offsets of its frame in the file."""

    offset_bytes: int
    end_bytes: int
    checksum: int
    payload: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Scan:
    """The valid frames of a file and the size of its torn end."""

    frames: tuple[Frame, ...]
    valid_bytes: int
    torn_bytes: int

    @property
    def checksum(self) -> int:
        """Return the checksum seed for the next frame."""
        return self.frames[-1].checksum if self.frames else 0


def encode(payload: bytes, seed: int) -> tuple[bytes, int]:
    """Return the encoded frame and the checksum seed for the next one."""
    checksum = zlib.crc32(payload, seed)
    header = struct.pack(">BII", VERSION, len(payload), checksum)
    header += _HEADER_CHECKSUM.pack(zlib.crc32(header))
    return header + payload + _END_MARK, checksum


def scan(file: str, data: bytes) -> result.Result[Scan, _failures.OpenFailure]:
    """Read all frames of a file.

    An incomplete last frame, as a crash during a write leaves it, counts as
    torn.  Any other mismatch is a failure.
    """
    frames: list[Frame] = []
    offset, seed = 0, 0
    while offset < len(data):
        frame_result = _read_frame(file, data, offset, seed)
        if isinstance(frame_result, result.Err):
            return frame_result
        frame = frame_result.ok_value
        if frame is None:
            break
        frames.append(frame)
        offset, seed = frame.end_bytes, frame.checksum
    return result.Ok(Scan(tuple(frames), offset, len(data) - offset))


def _read_frame(
    file: str, data: bytes, offset: int, seed: int
) -> result.Result[Frame | None, _failures.OpenFailure]:
    """Return the frame at ``offset``, or ``None`` if it is torn."""
    payload_offset = offset + _HEADER.size
    if payload_offset > len(data):
        return result.Ok(None)
    version, length, checksum, header_checksum = _HEADER.unpack_from(
        data, offset
    )
    checksummed = data[offset : payload_offset - _HEADER_CHECKSUM.size]
    if zlib.crc32(checksummed) != header_checksum:
        if not any(data[payload_offset:]):
            return result.Ok(None)
        return _damaged(file, offset, "the header checksum does not match")
    if version != VERSION:
        return result.Err(
            _failures.LogVersionUnknown(file, offset, version, VERSION)
        )
    end = payload_offset + length + len(_END_MARK)
    if end > len(data):
        return result.Ok(None)
    payload = data[payload_offset : end - len(_END_MARK)]
    has_end_mark = data[end - len(_END_MARK) : end] == _END_MARK
    if has_end_mark and zlib.crc32(payload, seed) == checksum:
        return result.Ok(Frame(offset, end, checksum, payload))
    if _may_be_torn(data, payload_offset, end):
        return result.Ok(None)
    return _damaged(file, offset, "the payload checksum does not match")


def _may_be_torn(data: bytes, payload_offset: int, end: int) -> bool:
    """Return whether a frame of full length may never have been synced.

    A file system may extend a file before it writes the data blocks, which
    then read as zeros after a crash.
    """
    if any(data[end:]):
        return False
    if data[end - len(_END_MARK) : end] != _END_MARK:
        return data[end - 1] == 0
    first_sector = -(-payload_offset // _SECTOR_BYTES) * _SECTOR_BYTES
    last_sector = end - _SECTOR_BYTES
    return any(
        not any(data[sector : sector + _SECTOR_BYTES])
        for sector in range(first_sector, last_sector + 1, _SECTOR_BYTES)
    )


def _damaged(
    file: str, offset: int, problem: str
) -> result.Err[_failures.OpenFailure]:
    return result.Err(_failures.LogDamaged(file, offset, problem))
