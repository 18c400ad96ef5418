"""Tests of the soak's callers that go on with VMs that stop."""

import dataclasses
import random

import trio

from sedgepin.platform.tests.soak import _connections
from sedgepin.platform.tests.soak import _losses
from sedgepin.platform.tests.soak import _record
from sedgepin.platform.tests.soak import _stop_callers

_BODY = b"0123456789"


async def _draw(count: int, wrong_share: float) -> list[_record.SentRequest]:
    rng = random.Random(1)
    return [
        _stop_callers.make_request(rng, number, wrong_share)
        for number in range(count)
    ]


async def _draw_for_model(
    count: int, wrong_share: float
) -> list[_record.SentRequest]:
    requests = await _draw(count, wrong_share)
    return [sent for sent in requests if sent.route == "long"]


def _usual_seconds(sent: _record.SentRequest) -> float:
    *_, interval_ms, event_count = sent.target.split("/")
    return int(interval_ms) * int(event_count) / 1000


class TestRequests:
    async def test_answers_end_at_once_and_beyond_the_grace_period(
        self,
    ) -> None:
        requests = await _draw(300, 0.0)
        seconds = sorted(map(_usual_seconds, requests))
        assert seconds[0] < 0.4
        assert seconds[30] < 1
        assert seconds[-30] > _losses.GRACE_SECONDS
        for sent in requests:
            assert sent.time_left_ms == 20_000

    async def test_bodies_come_in_one_piece_in_several_and_late(self) -> None:
        sendings = [sent.sending for sent in await _draw(300, 0.0)]
        for is_chunked in (False, True):
            pieces = [
                sending.pieces
                for sending in sendings
                if sending.is_chunked is is_chunked
            ]
            assert {1, 2, 5} <= set(pieces)
        late = [one for one in sendings if one.last_pause_seconds > 0.5]
        assert 20 < len(late) < 150

    async def test_stated_lengths_are_right_without_a_wrong_share(
        self,
    ) -> None:
        hinted = 0
        for sent in await _draw_for_model(100, 0.0):
            event_count = sent.target.rpartition("/")[2]
            assert sent.token_usage == f"10,{event_count}"
            assert sent.length_hint in (None, event_count)
            hinted += sent.length_hint is not None
        assert 20 < hinted < 80

    async def test_wrong_lengths_are_too_much_or_too_little(self) -> None:
        kinds = set()
        for sent in await _draw_for_model(300, 1.0):
            event_count = int(sent.target.rpartition("/")[2])
            assert sent.token_usage is not None
            most = int(sent.token_usage.partition(",")[2])
            kinds.add("less" if most < event_count else "more")
            if sent.length_hint is not None:
                hint = int(sent.length_hint)
                assert hint <= most
                kinds.add("low hint" if hint < event_count else "high hint")
        assert kinds == {"less", "more", "low hint", "high hint"}

    async def test_plain_service_hears_of_no_length(self) -> None:
        feeds = [
            sent for sent in await _draw(300, 1.0) if sent.route == "feed"
        ]
        assert 40 < len(feeds) < 120
        for sent in feeds:
            assert (sent.token_usage, sent.length_hint) == (None, None)
            assert not sent.parts


class TestSending:
    async def _send(self, sending: _record.Sending) -> tuple[bytes, float]:
        """Return what is sent, and how long the last piece takes to come."""
        sent = _record.SentRequest(
            "s1", "long", "/tale/1/40/3", _BODY, "k1", 0.0, 20_000
        )
        sent = dataclasses.replace(sent, sending=sending)
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        connection = await _connections.connect(f"127.0.0.1:{port}")
        assert connection is not None
        received = b""
        seconds = 0.0
        async with await listener.accept() as stream, listener:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.send, sent)
                end = b"0\r\n\r\n" if sending.is_chunked else _BODY[-1:]
                with trio.fail_after(5):
                    while not received.endswith(end):
                        waits_since = trio.current_time()
                        received += await stream.receive_some()
                        seconds = trio.current_time() - waits_since
        connection.close()
        return received, seconds

    async def test_body_with_a_length(self) -> None:
        sending = _record.Sending(pieces=3, last_pause_seconds=0.4)
        received, seconds = await self._send(sending)
        head, _, body = received.partition(b"\r\n\r\n")
        assert b"Content-Length: 10" in head
        assert body == _BODY
        assert seconds > 0.3

    async def test_body_in_chunks(self) -> None:
        sending = _record.Sending(True, pieces=3, last_pause_seconds=0.4)
        received, seconds = await self._send(sending)
        head, _, body = received.partition(b"\r\n\r\n")
        assert b"Transfer-Encoding: chunked" in head
        assert b"Content-Length" not in head
        assert body == (b"4\r\n0123\r\n4\r\n4567\r\n2\r\n89\r\n0\r\n\r\n")
        assert seconds > 0.3
