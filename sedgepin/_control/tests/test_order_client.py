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
        self, nursery: trio.Nursery, kind: str
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
