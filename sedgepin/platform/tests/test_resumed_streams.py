"""Tests of streams that break off and go on at an engine that fails."""

import trio

from sedgepin import _web as web
from sedgepin.platform.tests import running_system

_EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 7))
_BEGUN = _EVENTS[: _EVENTS.index(b"id: 4")]
_ERROR = b"the engine is overloaded"
_TEXT = (b"Content-Type", b"text/plain")
_STREAM = (b"Content-Type", b"text/event-stream")
_NOT_RUN = (b"X-Not-Executed", b"1")
_RAW_HEAD = b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n\r\n"

# What the second engine answers: status, header fields and body.
_FAILING = {
    "500": (500, (_TEXT,), _ERROR),
    "500 as a stream": (500, (_STREAM,), b"id: 4\ndata: error\n\n"),
    "404": (404, (_TEXT,), _ERROR),
    "429": (429, (_TEXT,), _ERROR),
    "503": (503, (_TEXT,), _ERROR),
    "not run": (503, (_NOT_RUN,), _ERROR),
    "204": (204, (), b""),
    "202 with text": (202, (_TEXT,), _ERROR),
    "text": (200, (_TEXT,), _ERROR),
    "text with an end": (200, (_STREAM,), _ERROR + b"\n\n"),
    "text of an event": (200, (_TEXT,), b"id: 4\ndata: x\n\n"),
    "head": (200, (_STREAM,), _RAW_HEAD),
    "head, then events": (200, (_STREAM,), _RAW_HEAD + _EVENTS),
    "error event": (200, (_STREAM,), b"event: error\ndata: overloaded\n\n"),
    "later event": (200, (_STREAM,), b"id: 6\ndata: x\n\n"),
}


class _Engine(running_system.Engine):
    """Breaks off a stream inside event 4, and then fails."""

    def __init__(self) -> None:
        super().__init__()
        self.answer: tuple[int, web.Headers, bytes] = (200, (), b"")

    async def handle(self, exchange: web.Exchange) -> None:
        request = exchange.request
        resume_after = request.find_header(b"last-event-id")
        if not request.target.startswith(b"/draft/") or resume_after is None:
            self.fields = (_STREAM,)
            await super().handle(exchange)
            return
        self.runs.append((request.target, resume_after))
        status, fields, body = self.answer
        headers = (
            (b"X-Request-Id", request.find_header(b"x-request-id") or b""),
            (b"X-Response-Seal", b"seal"),
            *fields,
        )
        await exchange.answer(web.AnswerHead(status, headers), body)


async def _read_raw(version: bytes) -> tuple[bytes, bool]:
    """Return all bytes of a stream, and whether its connection was reset."""
    stream = await trio.open_tcp_stream(
        running_system.ENTRY, running_system.CALL_PORT
    )
    await stream.send_all(
        b"POST /draft/x HTTP/%s\r\nHost: one.example\r\n"
        b"X-Request-Id: raw%d\r\nX-Deadline-Ms: 2000\r\n"
        b"Connection: close\r\nContent-Length: 0\r\n\r\n"
        % (version, int(trio.current_time()))
    )
    received = b""
    is_reset = False
    with trio.fail_after(10):
        try:
            while data := await stream.receive_some(65_536):
                received += data
        except trio.BrokenResourceError:
            is_reset = True
    return received, is_reset


class TestFailureOfTheNextEngine:
    """Nothing of its answer gets into the stream, which has no end (ORDER)."""

    async def test_stream_that_has_begun_is_broken_off(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        engine = _Engine()
        await running_system.start_system(system, nursery, engine)
        wrong: dict[str, object] = {}
        for name, answer in _FAILING.items():
            engine.answer = answer
            engine.runs.clear()
            received, _is_reset = await _read_raw(b"1.1")
            assert (b"/draft/x", b"3") in engine.runs, name
            head, _, body = received.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 "), name
            if _unchunk(body) != (_BEGUN, False):
                wrong[name] = _unchunk(body)
        assert wrong == {}
        assert system.processes["entry"].poll() is None
        assert '"task_failed"' not in system.log_text("entry")
        nursery.cancel_scope.cancel()

    async def test_sound_engine_completes_the_stream(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        engine = _Engine()
        await running_system.start_system(system, nursery, engine)
        for fields in (
            (_STREAM,),
            ((b"Content-Type", b"Text/Event-Stream; charset=utf-8"),),
            (),
        ):
            for comment in (b"", b": ping\n\n"):
                rest = comment + _EVENTS[len(_BEGUN) :]
                engine.answer = (200, fields, rest)
                received, _is_reset = await _read_raw(b"1.1")
                body = received.partition(b"\r\n\r\n")[2]
                assert _unchunk(body) == (_BEGUN + rest, True), fields
        nursery.cancel_scope.cancel()

    async def test_stream_without_chunks_is_reset(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        """To an HTTP/1.0 caller the end of the connection completes it."""
        engine = _Engine()
        await running_system.start_system(system, nursery, engine)
        engine.answer = _FAILING["500"]
        received, is_reset = await _read_raw(b"1.0")
        assert is_reset
        assert _ERROR not in received
        engine.answer = (200, (_STREAM,), _EVENTS[len(_BEGUN) :])
        received, is_reset = await _read_raw(b"1.0")
        assert not is_reset
        assert received.endswith(_EVENTS)
        nursery.cancel_scope.cancel()


def _unchunk(body: bytes) -> tuple[bytes, bool]:
    """Return the content of a chunked body, and whether it is complete."""
    content = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            return content, True
        content += rest[:length]
        body = rest[length + 2 :]
    return content, False
