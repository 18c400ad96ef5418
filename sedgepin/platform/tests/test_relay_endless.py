"""Tests of the relay with engines whose answers never end."""

import datetime
import typing

import pytest
import trio

from sedgepin._gateway import _calls
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _relay
from sedgepin import _memory
from sedgepin import _model as model
from sedgepin import _web as web
from sedgepin._web import _part_timer
from sedgepin.platform import _gateway as platform_gateway
from sedgepin.tests import endless_engine
from sedgepin.tests import memory

_UNKNOWN = _events.AttemptOutcome.UNKNOWN
_ANSWERED = _events.AttemptOutcome.ANSWERED
_NOT_SENT = _events.AttemptOutcome.NOT_SENT
_AT_ONCE = 200
# A VM of 200 MB, of which an entry program that holds nothing takes the rest.
_VM_BYTES = 200_000_000
_GROWTH_LIMIT_BYTES = _VM_BYTES - 60_000_000
_LIMIT_SECONDS = 0.3
_PAUSE_SECONDS = 0.02
_SIGNATURE = b"X-Request-Id: r1\r\nX-Response-Seal: s\r\n"
_BODIES = {
    kind: answer.with_headers(_SIGNATURE)
    for kind, answer in endless_engine.BODIES.items()
}
_ANSWERS = {**endless_engine.HEADS, **_BODIES}


class _Caller(web.Exchange):
    """A caller that takes whatever is sent to it."""

    has_caller_closed = True

    def __init__(self) -> None:
        self.request = web.Request(
            b"POST", b"/draft/x", ((b"Host", b"one.example"),)
        )
        self.has_started = False
        self.is_finished = False
        self.received = b""

    async def start(self, head: web.AnswerHead) -> None:
        self.has_started = True

    async def answer(self, head: web.AnswerHead, body: bytes) -> None:
        self.has_started = True
        self.received += body
        self.is_finished = True

    async def send(self, data: bytes) -> None:
        self.received += data

    async def finish(self) -> None:
        self.is_finished = True


class _Attempt:
    """One attempt of a relay at an engine, and its stalls."""

    def __init__(
        self,
        address: str,
        is_stream: bool,
        budget: _memory.MemoryBudget | None = None,
        caller: _Caller | None = None,
    ) -> None:
        self.caller = caller or _Caller()
        self.ended: _events.AttemptEnded | None = None
        self.stall_count = 0
        request = _calls.CallerRequest(
            "r1", "one.example", "/draft/x", self.caller.request
        )
        self._dispatch = _calls.Dispatch(
            model.EndpointId("e"), address, None, None
        )
        self._is_stream = is_stream
        self.relay = _relay.Relay(
            1,
            self.caller,
            request,
            platform_gateway.GatewayDialect(),
            self._submit,
            budget,
        )

    async def wait_ended(self, nursery: trio.Nursery) -> _events.AttemptEnded:
        """Run the attempt to its end."""
        nursery.start_soon(self.relay.run)
        while self.ended is None:
            self.relay.check_progress(trio.current_time())
            await trio.sleep(0.01)
        return self.ended

    def _submit(self, event: typing.Any) -> None:
        if isinstance(event, _events.RequestArrived):
            start = _effects.StartAttempt(1, self._dispatch, self._is_stream)
            self.relay.handle_effect(start)
        if isinstance(event, _events.StreamStalled):
            self.stall_count += 1
        if isinstance(event, _events.AttemptEnded):
            self.ended = event


def _vm_budget() -> _memory.MemoryBudget:
    return _memory.MemoryBudget(_memory.held_bytes_for(_VM_BYTES))


class TestEndlessAnswer:
    @pytest.mark.parametrize("kind", list(_ANSWERS))
    @pytest.mark.parametrize("is_stream", [True, False])
    @pytest.mark.parametrize("pause_seconds", [None, _PAUSE_SECONDS])
    async def test_attempt_ends_as_unknown_and_closes_the_connection(
        self,
        nursery: trio.Nursery,
        monkeypatch: pytest.MonkeyPatch,
        kind: str,
        is_stream: bool,
        pause_seconds: float | None,
    ) -> None:
        """Only the caller's deadline ends a slow body that is no stream.

        Its bytes are progress.  It is the same with interim answers, until
        there are many.
        """
        monkeypatch.setattr(_part_timer, "_LIMIT_SECONDS", _LIMIT_SECONDS)
        engine = endless_engine.EndlessEngine(_ANSWERS[kind], pause_seconds)
        await engine.start(nursery)
        attempt = _Attempt(engine.address, is_stream)
        is_progress = (
            pause_seconds is not None
            and not is_stream
            and kind
            in (
                "chunks",
                "tiny chunks",
                "blank lines",
                "body without length",
                "body of a great length",
            )
        )
        if is_progress:
            attempt.relay.handle_effect(
                _effects.SetDeadline(1, datetime.timedelta(seconds=0.5))
            )
            with trio.fail_after(5):
                nursery.start_soon(attempt.relay.run)
                await trio.sleep(0.1)
                assert engine.open_connections == 1
                await engine.wait_closed()
        else:
            with trio.fail_after(5):
                ended = await attempt.wait_ended(nursery)
                await engine.wait_closed()
            assert ended.outcome is _UNKNOWN
            assert ended.is_invalid_answer
        assert not attempt.caller.is_finished
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("is_stream", [True, False])
    async def test_bytes_after_the_length_are_no_part_of_the_answer(
        self, nursery: trio.Nursery, is_stream: bool
    ) -> None:
        """The answer is complete; its connection is never used again."""
        start = b"HTTP/1.1 200 OK\r\n" + _SIGNATURE
        start += b"Content-Length: 9\r\n\r\ndata: x\n\n"
        answer = endless_engine.EndlessAnswer(start, b"garbage")
        engine = endless_engine.EndlessEngine(answer, None)
        await engine.start(nursery)
        attempt = _Attempt(engine.address, is_stream)
        with trio.fail_after(5):
            ended = await attempt.wait_ended(nursery)
            await engine.wait_closed()
        assert ended.outcome is _ANSWERED
        assert attempt.caller.received == b"data: x\n\n"
        nursery.cancel_scope.cancel()

    async def test_bytes_that_complete_no_event_are_stalls(
        self, nursery: trio.Nursery
    ) -> None:
        """A byte now and then once kept a stalled stream from showing."""
        answer = _BODIES["tiny chunks"]
        engine = endless_engine.EndlessEngine(answer, _PAUSE_SECONDS)
        await engine.start(nursery)
        attempt = _Attempt(engine.address, True)
        with trio.move_on_after(0.8):
            await attempt.wait_ended(nursery)
        assert attempt.stall_count >= 2
        nursery.cancel_scope.cancel()

    async def test_slow_stream_of_events_goes_on(
        self, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Each event takes less than the limit, and all of them more."""
        monkeypatch.setattr(_part_timer, "_LIMIT_SECONDS", _LIMIT_SECONDS)
        answer = _BODIES["chunks"]
        pieces = (b"da", b"ta: ", b"x\n", b"\n")
        unit = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces)
        engine = endless_engine.EndlessEngine(
            endless_engine.EndlessAnswer(answer.start, unit), 0.15
        )
        await engine.start(nursery)
        attempt = _Attempt(engine.address, True)
        with trio.move_on_after(1.5):
            await attempt.wait_ended(nursery)
        assert attempt.ended is None
        assert attempt.caller.received.count(b"data: x\n\n") >= 6
        nursery.cancel_scope.cancel()

    async def test_quick_tiny_chunks_hold_up_no_other_task(
        self, nursery: trio.Nursery
    ) -> None:
        answer = _BODIES["tiny chunks"]
        engine = endless_engine.EndlessEngine(answer, None)
        await engine.start(nursery)
        attempt = _Attempt(engine.address, True)
        longest_pause = 0.0
        nursery.start_soon(attempt.relay.run)
        with trio.move_on_after(3):
            while attempt.ended is None:
                before = trio.current_time()
                await trio.sleep(0.001)
                pause = trio.current_time() - before
                longest_pause = max(longest_pause, pause)
        assert longest_pause < 0.1
        nursery.cancel_scope.cancel()


class TestManyAtOnce:
    @pytest.mark.parametrize(
        "kind",
        ["headers", "interim answers", "tiny chunks", "body without length"],
    )
    @pytest.mark.parametrize("is_stream", [True, False])
    async def test_200_at_once_take_bounded_memory_and_time(
        self, nursery: trio.Nursery, kind: str, is_stream: bool
    ) -> None:
        """Whatever is sent, all of it fits into a VM."""
        meter = memory.Meter()
        budget = _vm_budget()
        with memory.endless_engine_process(kind, _SIGNATURE) as address:
            attempts = [
                _Attempt(address, is_stream, budget)
                for _number in range(_AT_ONCE)
            ]
            nursery.start_soon(meter.sample)
            before = trio.current_time()
            with trio.fail_after(60):
                async with trio.open_nursery() as waiting:
                    for attempt in attempts:
                        waiting.start_soon(attempt.wait_ended, nursery)
            seconds = trio.current_time() - before
        growth = meter.growth_bytes
        print(
            f"{kind}, stream {is_stream}: {growth / 1e6:.1f} MB,"
            f" {seconds:.1f} s,"
            f" longest pause {meter.longest_pause_seconds:.2f} s"
        )
        for attempt in attempts:
            assert attempt.ended is not None
            assert attempt.ended.outcome in (_UNKNOWN, _NOT_SENT)
        assert growth < _GROWTH_LIMIT_BYTES
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("kind", list(endless_engine.PIECES))
    @pytest.mark.parametrize("is_stream", [True, False])
    async def test_200_that_stay_open_take_bounded_memory(
        self, nursery: trio.Nursery, kind: str, is_stream: bool
    ) -> None:
        """None of the answers is over a limit of its own."""
        meter = memory.Meter()
        budget = _vm_budget()
        with memory.endless_engine_process(kind, _SIGNATURE) as address:
            attempts = [
                _Attempt(address, is_stream, budget)
                for _number in range(_AT_ONCE)
            ]
            nursery.start_soon(meter.sample)
            for attempt in attempts:
                nursery.start_soon(attempt.wait_ended, nursery)
            with trio.move_on_after(30):
                await meter.wait_settled()
        growth = meter.growth_bytes
        ended = [attempt.ended for attempt in attempts if attempt.ended]
        print(
            f"{kind}, stream {is_stream}: {growth / 1e6:.1f} MB,"
            f" {len(ended)} ended"
        )
        assert growth < _GROWTH_LIMIT_BYTES
        assert 0 < len(ended) < _AT_ONCE
        for end in ended:
            assert end.outcome is _UNKNOWN
            assert end.detail == "the memory for answers was used up"
        nursery.cancel_scope.cancel()
