"""Tests of routes without a target for the time of their answers."""

import trio

from sedgepin import _web as web
from sedgepin.platform.tests import running_system

_ANSWER_SECONDS = 0.2


class _SlowEngine(running_system.Engine):
    """Answers a little later than at once."""

    async def handle(self, exchange: web.Exchange) -> None:
        await trio.sleep(_ANSWER_SECONDS)
        await super().handle(exchange)


class TestRouteWithoutATarget:
    async def test_request_that_may_be_repeated_gets_its_answer(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        engine = _SlowEngine()
        await running_system.start_system(system, nursery, engine)
        await running_system.publish(
            [
                {
                    "host": "one.example",
                    "pathPrefix": "/read/",
                    "kind": "idempotent",
                    "timeoutMs": 2000,
                    "service": "s",
                    "public": True,
                    "maxAttempts": 2,
                }
            ]
        )
        status, body = await running_system.send(
            running_system.ENTRY,
            running_system.CALL_PORT,
            b"POST",
            b"/read/x",
        )
        assert (status, body) == (200, b"done")
        assert len(engine.runs) == 1
