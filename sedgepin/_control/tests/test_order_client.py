"""Tests of orders to engines whose answers never end."""

import pytest
import trio

from sedgepin._control import _order_client
from sedgepin import _model as model
from sedgepin import _release as release
from sedgepin.tests import endless_engine

_ENDLESS_AFTER_HEAD = [
    "chunks",
    "tiny chunks",
    "blank lines",
    "body without length",
    "body of a great length",
]


class TestEndlessAnswer:
    @pytest.mark.parametrize("kind", _ENDLESS_AFTER_HEAD)
    async def test_order_fails_before_much_was_received(
        self,
        nursery: trio.Nursery,
        held_clock: trio.abc.Clock,
        kind: str,
    ) -> None:
        """All that came within 2 s was once kept in memory."""
        answer = endless_engine.BODIES[kind]
        engine = endless_engine.EndlessEngine(answer, None)
        await engine.start(nursery)
        client = _order_client.OrderClient("", lambda: True)
        order = release.Order(
            1,
            1,
            model.EndpointId("e"),
            model.Incarnation(1),
            f"http://{engine.address}",
            next(iter(release.OrderAction)),
        )
        with trio.fail_after(1.5):
            outcome = await client.send(order)
            await engine.wait_closed()
        assert outcome is release.OrderOutcome.FAILED
        nursery.cancel_scope.cancel()


class TestAnswerThatIsCutShort:
    """An engine stops within its answer to an order (issue 43)."""

    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 202 OK\r\nContent-Length: 2\r\n\r\n{}",
            b"HTTP/1.1 202 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\n{}\r\n0\r\n\r\n",
        ],
        ids=["length", "chunks"],
    )
    async def test_order_is_not_taken_for_accepted(
        self, nursery: trio.Nursery, answer: bytes
    ) -> None:
        sent = b""

        async def engine(stream: trio.SocketStream) -> None:
            received = b""
            while not received.endswith(b"}"):
                received += await stream.receive_some(65_536)
            await stream.send_all(sent)

        listeners = await nursery.start(trio.serve_tcp, engine, 0)
        port = listeners[0].socket.getsockname()[1]
        client = _order_client.OrderClient("", lambda: True)
        order = release.Order(
            1,
            1,
            model.EndpointId("e"),
            model.Incarnation(1),
            f"http://127.0.0.1:{port}",
            next(iter(release.OrderAction)),
        )
        outcomes = set()
        with trio.fail_after(10):
            for position in range(len(answer)):
                sent = answer[:position]
                outcomes.add(await client.send(order))
            sent = answer
            assert await client.send(order) is release.OrderOutcome.ACCEPTED
        assert outcomes == {release.OrderOutcome.FAILED}
        nursery.cancel_scope.cancel()
