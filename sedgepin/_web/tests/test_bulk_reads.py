"""Tests that peers which send much delay no others."""

import trio

from sedgepin import _web as web
from sedgepin._web import _bulk_reads


class TestFlowMeter:
    """Which peers are read in turns."""

    def test_long_but_slow_stream_is_not_read_in_turns(self) -> None:
        meter = _bulk_reads.FlowMeter()
        for number in range(10_000):
            meter.add(100, 1, number * 0.01)
        assert not meter.is_bulk

    def test_flood_is_read_in_turns_until_it_ends(self) -> None:
        meter = _bulk_reads.FlowMeter()
        for number in range(4):
            meter.add(65_536, 1, number * 0.01)
        assert meter.is_bulk
        meter.add(100, 1, 5.0)
        assert not meter.is_bulk

    def test_many_tiny_parts_are_read_in_turns(self) -> None:
        meter = _bulk_reads.FlowMeter()
        meter.add(1000, 600, 0.5)
        assert meter.is_bulk


class TestTurns:
    """A flood of many peers at once."""

    async def test_floods_wait_for_their_turn_and_a_short_answer_comes(
        self, nursery: trio.Nursery
    ) -> None:
        async def engine(stream: trio.SocketStream) -> None:
            request = await stream.receive_some(65_536)
            if b"/short" in request:
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
                )
                return
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n"
            )
            while True:
                await stream.send_all(b"x" * 262_144)

        async def flood(address: str) -> None:
            conn = (await web.ClientConnection.open(address, 5.0)).unwrap()
            await conn.send(web.Request(b"GET", b"/flood", host))
            (await conn.read_head()).unwrap()
            while True:
                (await conn.read_data()).unwrap()

        host = ((b"Host", b"x"),)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, engine, listeners)
        port = listeners[0].socket.getsockname()[1]
        address = f"127.0.0.1:{port}"
        async with trio.open_nursery() as floods:
            for _flood in range(60):
                floods.start_soon(flood, address)
            await trio.sleep(0.5)
            with trio.fail_after(10):
                answer = await web.send_request(
                    address, web.Request(b"GET", b"/short", host), 10.0
                )
            assert answer.unwrap()[1] == b"hi"
            turns = _bulk_reads.turn()
            assert turns.statistics().tasks_waiting > 0
            floods.cancel_scope.cancel()
        nursery.cancel_scope.cancel()
