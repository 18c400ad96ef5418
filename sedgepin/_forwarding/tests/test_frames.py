"""Tests of frames that cannot be decoded."""

import struct

import pytest
import trio
import trio.testing

from sedgepin._forwarding import _frames

_DEPTH = 100_000


class TestFrames:
    @pytest.mark.parametrize(
        "body",
        [
            b"\xc1",
            b"\x81\xa4type\x01",
            b"\x81\xa1x" + b"\x91" * _DEPTH + b"\xc0",
        ],
    )
    async def test_body_that_is_none_breaks_the_stream_only(
        self, body: bytes
    ) -> None:
        """A deeply nested one once raised ``RecursionError`` (issue 40)."""
        ours, theirs = trio.testing.memory_stream_pair()
        await theirs.send_all(struct.pack(">I", len(body)) + body)
        with pytest.raises(trio.BrokenResourceError):
            await _frames.FrameStream(ours).receive()
