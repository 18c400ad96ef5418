"""Tests of frames between processes."""

import hypothesis
from hypothesis import strategies
import msgspec

from sedgepin import _model as model
from sedgepin import _protocol as protocol


class TestFraming:
    """What is sent is read again; anything else is refused by type."""

    def test_messages_come_back(self) -> None:
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
        read = protocol.decode_messages(frame[4:]).unwrap()
        assert list(read) == sent

    def test_a_kind_of_a_later_version_is_passed_over(self) -> None:
        known = protocol.FleetWanted(3)
        later = {"type": "LaterKind", "field": 1}
        body = b"\x01" + msgspec.msgpack.encode([known, later, known])
        read = protocol.decode_messages(body).unwrap()
        assert list(read) == [known, known]

    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes_are_read_or_refused(self, raw: bytes) -> None:
        for body in (raw, b"\x01" + raw):
            read = protocol.decode_messages(body)
            if read.is_err():
                assert isinstance(read.unwrap_err(), protocol.FrameRefused)

    @hypothesis.given(strategies.data())
    def test_a_damaged_frame_is_read_or_refused(
        self, data: strategies.DataObject
    ) -> None:
        frame = bytearray(protocol.encode_messages([protocol.FleetWanted(3)]))
        at = data.draw(strategies.integers(4, len(frame) - 1))
        frame[at] ^= data.draw(strategies.integers(1, 255))
        read = protocol.decode_messages(frame[4:])
        assert read.is_ok() or isinstance(
            read.unwrap_err(), protocol.FrameRefused
        )
