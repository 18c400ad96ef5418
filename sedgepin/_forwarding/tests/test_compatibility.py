"""Tests that the build before reads what this one says, and the other way."""

import msgspec

from sedgepin._forwarding import _frames
from sedgepin import _protocol as protocol


class _OldForwardRefused(msgspec.Struct, frozen=True, tag="ForwardRefused"):
    """The frame without what the forwarder says of its own links."""

    reason: str
    is_beyond: bool = False
    is_refused: bool = False
    is_unknown: bool = False


class _OldForwardersAsked(msgspec.Struct, frozen=True, tag="ForwardersAsked"):
    """The message without what the asker says of itself."""


class TestForwardRefused:
    def test_build_before_reads_it(self) -> None:
        encoded = msgspec.msgpack.encode(
            _frames.ForwardRefused("gone", True, is_sound=True)
        )
        decoded = msgspec.msgpack.decode(encoded, type=_OldForwardRefused)
        assert decoded == _OldForwardRefused("gone", True)

    def test_that_of_the_build_before_is_read(self) -> None:
        encoded = msgspec.msgpack.encode(_OldForwardRefused("gone", True))
        decoded = msgspec.msgpack.decode(encoded, type=_frames.Frame)
        assert decoded == _frames.ForwardRefused("gone", True)
        assert decoded.is_sound is None


class TestForwardersAsked:
    def test_build_before_reads_it(self) -> None:
        encoded = msgspec.msgpack.encode(protocol.ForwardersAsked(True))
        decoded = msgspec.msgpack.decode(encoded, type=_OldForwardersAsked)
        assert decoded == _OldForwardersAsked()

    def test_that_of_the_build_before_is_read(self) -> None:
        encoded = msgspec.msgpack.encode(_OldForwardersAsked())
        decoded = msgspec.msgpack.decode(encoded, type=protocol.PeerMessage)
        assert decoded == protocol.ForwardersAsked(None)
