"""Tests of the idle timeouts that callers may rely on."""

import random

import trio

from sedgepin import _web as web
from sedgepin._web import _idle_limits
from sedgepin import errors
from sedgepin.tests import processes


class TestLongestLimit:
    def test_it_is_the_longest_at_any_time_of_the_wait(self) -> None:
        """Compared with all limits, for waits that may still go on."""
        rng = random.Random(46)
        for _history in range(200):
            changes = [(0.0, rng.choice((1.0, 2.0, 5.0)))]
            limits = _idle_limits.IdleLimits(changes[0][1])
            time = 0.0
            for _change in range(30):
                time += rng.choice((0.0, 0.1, 0.7, 2.0))
                changes.append((time, rng.choice((1.0, 2.0, 5.0, 9.0))))
                limits.record(changes[-1][1], time)
                for since in (time - 3.0, time - 0.4, time - 0.05, time):
                    ends = [at for at, _seconds in changes[1:]] + [time]
                    expected = max(
                        seconds
                        for (_at, seconds), end in zip(
                            changes, ends, strict=True
                        )
                        if end >= since
                    )
                    # A wait that ended before need not be remembered.
                    if since + expected >= time:
                        assert limits.longest_since(since) == expected

    def test_few_are_remembered(self) -> None:
        limits = _idle_limits.IdleLimits(1.0)
        for number in range(10_000):
            limits.record(1.0 + number % 7, number / 100)
        assert len(limits._past) <= 7


class _Handler(web.Handler):
    def __init__(self) -> None:
        self.idle_seconds = 1.5

    async def handle(self, exchange: web.Exchange) -> None:
        await exchange.answer(web.AnswerHead(200), b"")

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        return web.AnswerHead(failure.http_status), b""

    def limits(self) -> web.ServerLimits:
        return web.ServerLimits(2_048, 64, 0.4, self.idle_seconds)


class TestServer:
    async def test_timeout_that_held_for_a_second_is_noticed(
        self, nursery: trio.Nursery
    ) -> None:
        handler = _Handler()
        port = processes.free_port()
        await nursery.start(web.Server(handler).serve, f"127.0.0.1:{port}")
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await trio.sleep(0.1)
        handler.idle_seconds = 6.0
        await trio.sleep(1.2)
        handler.idle_seconds = 1.5
        await trio.sleep(1.2)
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        with trio.fail_after(1.0):
            assert b"200" in await stream.receive_some()
