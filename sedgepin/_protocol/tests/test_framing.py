"""Tests of frames between processes."""

import zlib

import hypothesis
from hypothesis import strategies
import msgspec

from sedgepin import _model as model
from sedgepin import _protocol as protocol


class TestFraming:
    """Frames decode to the encoded messages; other bytes give a failure."""

    def test_decodes_the_encoded_messages(self) -> None:
        sent: list[protocol.PeerMessage] = [
            protocol.FleetWanted(3),
            protocol.Hello(
                model.VmId("a"),
                "entry",
                model.DataCentreId("beja"),
                model.Incarnation(1),
            ),
        ]
        frame = protocol.encode_messages(sent)
        decoded = protocol.decode_messages(frame[4:]).unwrap()
        assert list(decoded) == sent

    def test_message_of_an_unknown_type_is_skipped(self) -> None:
        known = protocol.FleetWanted(3)
        later = {"type": "LaterType", "field": 1}
        body = b"\x01" + msgspec.msgpack.encode([known, later, known])
        decoded = protocol.decode_messages(body).unwrap()
        assert list(decoded) == [known, known]

    def test_large_frame_is_compressed(self) -> None:
        sent = protocol.RegistrationsSeen(
            heard=tuple(
                model.EndpointId(f"i-{number:010x}") for number in range(400)
            )
        )
        frame = protocol.encode_messages([sent])
        assert len(frame) < len(msgspec.msgpack.encode([sent])) / 2
        decoded = protocol.decode_messages(frame[4:]).unwrap()
        assert list(decoded) == [sent]

    def test_small_frame_is_not_compressed(self) -> None:
        frame = protocol.encode_messages([protocol.FleetWanted(3)])
        assert frame[4:] == b"\x01" + msgspec.msgpack.encode(
            [protocol.FleetWanted(3)]
        )

    def test_frame_that_inflates_beyond_the_limit_is_refused(self) -> None:
        raw = bytes(protocol.FRAME_LIMIT_BYTES + 1)
        decoded = protocol.decode_messages(b"\x02" + zlib.compress(raw))
        assert "inflates" in decoded.unwrap_err().detail()

    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes_are_read_or_refused(self, raw: bytes) -> None:
        packed = zlib.compress(raw)
        for body in (raw, b"\x01" + raw, b"\x02" + raw, b"\x02" + packed):
            decoded = protocol.decode_messages(body)
            if decoded.is_err():
                assert isinstance(decoded.unwrap_err(), protocol.FrameRefused)

    @hypothesis.given(strategies.data())
    def test_a_damaged_frame_is_read_or_refused(
        self, data: strategies.DataObject
    ) -> None:
        frame = bytearray(protocol.encode_messages([protocol.FleetWanted(3)]))
        position = data.draw(strategies.integers(4, len(frame) - 1))
        frame[position] ^= data.draw(strategies.integers(1, 255))
        decoded = protocol.decode_messages(frame[4:])
        assert decoded.is_ok() or isinstance(
            decoded.unwrap_err(), protocol.FrameRefused
        )
