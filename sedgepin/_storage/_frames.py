"""Frames: how payloads lie in a file so that damage is seen.

A frame is a header (version, payload length, payload checksum, header
checksum), the payload and an end mark.  The payload checksum is seeded with
the one of the frame before, so that a frame lost or doubled in the middle
breaks the chain.  One group commit is one frame: a write that was cut short
can only concern the last one.
"""

import dataclasses
import struct
import zlib

import result

from sedgepin._storage import _failures

VERSION = 1
_HEADER = struct.Struct(">BIII")
_HEADER_SUM = struct.Struct(">I")
_END_MARK = b"\xa5"
_SECTOR_BYTES = 512


@dataclasses.dataclass(slots=True, frozen=True)
class Frame:
    """A payload and where its frame starts and ends."""

    offset_bytes: int
    end_bytes: int
    checksum: int
    payload: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Scan:
    """The frames of a file, and how much of its end was never synced."""

    frames: tuple[Frame, ...]
    sound_bytes: int
    torn_bytes: int

    @property
    def checksum(self) -> int:
        """Return the seed of the frame that follows."""
        return self.frames[-1].checksum if self.frames else 0


def encode(payload: bytes, seed: int) -> tuple[bytes, int]:
    """Return the frame and the seed of the next one."""
    checksum = zlib.crc32(payload, seed)
    header = struct.pack(">BII", VERSION, len(payload), checksum)
    header += _HEADER_SUM.pack(zlib.crc32(header))
    return header + payload + _END_MARK, checksum


def scan(file: str, data: bytes) -> result.Result[Scan, _failures.OpenFailure]:
    """Read all frames of a file.

    What a write cut short can leave at the end is counted as torn; anything
    else that does not fit is damage.
    """
    frames: list[Frame] = []
    offset, seed = 0, 0
    while offset < len(data):
        found = _read(file, data, offset, seed)
        if isinstance(found, result.Err):
            return found
        frame = found.ok_value
        if frame is None:
            break
        frames.append(frame)
        offset, seed = frame.end_bytes, frame.checksum
    return result.Ok(Scan(tuple(frames), offset, len(data) - offset))


def _read(
    file: str, data: bytes, offset: int, seed: int
) -> result.Result[Frame | None, _failures.OpenFailure]:
    """Return the frame at ``offset``, or ``None`` for a torn end."""
    payload_at = offset + _HEADER.size
    if payload_at > len(data):
        return result.Ok(None)
    version, length, checksum, header_sum = _HEADER.unpack_from(data, offset)
    summed = data[offset : payload_at - _HEADER_SUM.size]
    if zlib.crc32(summed) != header_sum:
        if not any(data[payload_at:]):
            return result.Ok(None)
        return _damaged(file, offset, "bad header checksum")
    if version != VERSION:
        return result.Err(
            _failures.LogVersionUnknown(file, offset, version, VERSION)
        )
    end = payload_at + length + len(_END_MARK)
    if end > len(data):
        return result.Ok(None)
    payload = data[payload_at : end - len(_END_MARK)]
    is_marked = data[end - len(_END_MARK) : end] == _END_MARK
    if is_marked and zlib.crc32(payload, seed) == checksum:
        return result.Ok(Frame(offset, end, checksum, payload))
    if _may_be_torn(data, payload_at, end):
        return result.Ok(None)
    return _damaged(file, offset, "bad payload checksum")


def _may_be_torn(data: bytes, payload_at: int, end: int) -> bool:
    """Tell whether a frame of full length may never have been synced.

    A file system may grow a file before it writes the blocks, which then
    read as zeros.
    """
    if any(data[end:]):
        return False
    if data[end - len(_END_MARK) : end] != _END_MARK:
        return data[end - 1] == 0
    first_sector = -(-payload_at // _SECTOR_BYTES) * _SECTOR_BYTES
    last_sector = end - _SECTOR_BYTES
    return any(
        not any(data[at : at + _SECTOR_BYTES])
        for at in range(first_sector, last_sector + 1, _SECTOR_BYTES)
    )


def _damaged(
    file: str, offset: int, problem: str
) -> result.Err[_failures.OpenFailure]:
    return result.Err(_failures.LogDamaged(file, offset, problem))
