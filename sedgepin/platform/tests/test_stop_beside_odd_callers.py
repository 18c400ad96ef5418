"""Tests that a planned stop loses no request of callers that send oddly.

Bodies come in chunks and pieces, requests behind others, answers are read
late.  Each request that was sent whole gets a whole answer, or has a line
with its id, a count and a reason.
"""

import dataclasses
import itertools
import random
import re
import signal
import socket
import typing

import pytest
import trio

from sedgepin import _web as web
from sedgepin.platform.tests import running_system

_GRACE_SECONDS = 4.0
_CALLERS = 24
_SECONDS = re.compile(rb"/([0-9.]+)s/")
_LENGTH = re.compile(rb"content-length: ([0-9]+)", re.IGNORECASE)
_BODY = b"abcdefgh" * 40
# Events of lines that name a request without a whole answer.
_NAMING = ("answer_cut", "caller_closed")
_UNREADABLE = "request_unreadable"
_LARGE_EVENT = b"x" * 20_000


class _Engine(running_system.Engine):
    """Answers after the seconds in the target, streams in pieces."""

    def __init__(self) -> None:
        super().__init__()
        self.ran: set[str] = set()

    async def handle(self, exchange: web.Exchange) -> None:
        request = exchange.request
        request_id = request.find_header(b"x-request-id") or b""
        self.ran.add(request_id.decode())
        found = _SECONDS.search(request.target)
        seconds = 0.0 if found is None else float(found[1])
        headers = (
            (b"X-Request-Id", request_id),
            (b"X-Response-Seal", b"seal"),
        )
        head = web.AnswerHead(200, headers)
        if not request.target.startswith(b"/draft/"):
            await trio.sleep(seconds)
            await exchange.answer(head, b"done")
            return
        data = b"x" if b"/large/" not in request.target else _LARGE_EVENT
        await exchange.start(head)
        for event_id in range(1, max(2, int(seconds * 10) + 1)):
            await exchange.send(b"id: %d\ndata: %s\n\n" % (event_id, data))
            await trio.sleep(0.1)
        await exchange.finish()


@dataclasses.dataclass
class _Call:
    """A request, and what its caller has seen of it."""

    request_id: str
    way: str
    connection: int
    sent_at: float = 0.0
    status: int | None = None
    has_begun: bool = False
    ended_at: float = 0.0

    @property
    def was_sent(self) -> bool:
        return self.sent_at > 0.0

    @property
    def is_answered(self) -> bool:
        return self.status is not None


class _Connection:
    """A connection that finds the ends of the answers on it."""

    def __init__(self, stream: trio.SocketStream, number: int) -> None:
        self.stream = stream
        self.number = number
        self._received = b""

    async def read_answer(self, call: _Call, pause_seconds: float) -> bool:
        """Read an answer; return whether the connection is kept."""
        while True:
            head, found, rest = self._received.partition(b"\r\n\r\n")
            if found and head.startswith(b"HTTP/1.1 100"):
                self._received = rest
                continue
            call.has_begun = call.has_begun or bool(head)
            length = _end_of_body(head, rest) if found else None
            if length is not None:
                self._received = rest[length:]
                call.status = int(head.split(b" ", 2)[1])
                call.ended_at = trio.current_time()
                return b"\r\nconnection: close" not in head.lower()
            await trio.sleep(pause_seconds)
            data = await self.stream.receive_some(8_192)
            if not data:
                call.ended_at = trio.current_time()
                return False
            self._received += data


def _end_of_body(head: bytes, rest: bytes) -> int | None:
    """Return where a body ends, or ``None`` if it has not come."""
    length = _LENGTH.search(head)
    if length is not None:
        end = int(length[1])
        return end if len(rest) >= end else None
    position = rest.find(b"0\r\n\r\n")
    while position > 0 and rest[position - 2 : position] != b"\r\n":
        position = rest.find(b"0\r\n\r\n", position + 1)
    return None if position < 0 else position + 5


class _Callers:
    """Callers that send in odd ways until nobody listens."""

    def __init__(self, seed: int) -> None:
        self.calls: list[_Call] = []
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self.is_over = False

    async def run(self, way: str) -> None:
        while not self.is_over:
            try:
                stream = await trio.open_tcp_stream(
                    running_system.ENTRY, running_system.CALL_PORT
                )
            except OSError:
                # Nobody listens.
                await trio.sleep(0.05)
                continue
            if way == "slow":
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            async with stream:
                connection = _Connection(stream, next(self._numbers))
                try:
                    while await self._exchange(connection, way):
                        await trio.sleep(self._rng.uniform(0.0, 0.2))
                except trio.BrokenResourceError:
                    pass

    async def _exchange(self, connection: _Connection, way: str) -> bool:
        if way == "behind":
            return await self._send_behind(connection)
        call = self._add(way, connection)
        await self._send(connection, call)
        pause = self._rng.uniform(0.0, 0.15) if way == "slow" else 0.0
        return await connection.read_answer(call, pause)

    async def _send_behind(self, connection: _Connection) -> bool:
        """Send requests at once; return whether the connection is kept."""
        calls = [self._add("behind", connection) for _call in range(3)]
        data = b"".join(
            self._head(call, b"Content-Length: 2") + b"hi" for call in calls
        )
        await connection.stream.send_all(data)
        for call in calls:
            call.sent_at = trio.current_time()
        for call in calls:
            if not await connection.read_answer(call, 0.0):
                return False
        return True

    async def _send(self, connection: _Connection, call: _Call) -> None:
        stream = connection.stream
        pieces = [_BODY[start : start + 40] for start in range(0, 320, 40)]
        framing = b"Content-Length: %d" % len(_BODY)
        if call.way in ("chunks", "late"):
            framing = b"Transfer-Encoding: chunked"
            pieces = [b"%x\r\n%s\r\n" % (len(one), one) for one in pieces]
            pieces.append(b"0\r\n\r\n")
        if call.way == "continue":
            framing += b"\r\nExpect: 100-continue"
        await stream.send_all(self._head(call, framing))
        if call.way == "continue":
            await trio.sleep(self._rng.uniform(0.0, 0.3))
        for piece in pieces[:-1]:
            await stream.send_all(piece)
            if call.way in ("chunks", "pieces"):
                await trio.sleep(self._rng.uniform(0.0, 0.03))
        if call.way == "late":
            await trio.sleep(self._rng.uniform(0.2, 2.0))
        await stream.send_all(pieces[-1])
        call.sent_at = trio.current_time()

    def _add(self, way: str, connection: _Connection) -> _Call:
        request_id = f"{way}{next(self._numbers)}"
        call = _Call(request_id, way, connection.number)
        self.calls.append(call)
        return call

    def _head(self, call: _Call, framing: bytes) -> bytes:
        seconds = self._rng.choice([0.0, 0.05, 0.3, 1.0, 2.0, 6.0])
        route = self._rng.choice([b"post", b"draft"])
        if call.way == "slow":
            route = b"draft/large"
        return (
            b"POST /%s/%.2fs/ HTTP/1.1\r\nHost: one.example\r\n"
            b"X-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\n%s\r\n\r\n"
            % (route, seconds, call.request_id.encode(), framing)
        )


_WAYS = ("chunks", "pieces", "late", "continue", "behind", "slow")


def _check(
    callers: _Callers,
    engine: _Engine,
    lines: list[dict[str, typing.Any]],
) -> None:
    """Check that each request without an answer has a line.

    One names it, or tells of the unread bytes of its connection.
    """
    named = {line["request"] for line in lines if line["event"] in _NAMING}
    nameless = [
        call
        for call in callers.calls
        if call.was_sent
        and not call.is_answered
        and call.request_id not in named
    ]
    assert not [call for call in nameless if call.request_id in engine.ran]
    assert not [call for call in nameless if call.has_begun]
    connections = {call.connection for call in nameless}
    unread = [line for line in lines if line["event"] == "request_unread"]
    assert len(connections) <= len(unread), (nameless, unread)


class TestRequestThatIsNotThereAtTheEnd:
    @pytest.mark.parametrize("framing", [b"chunked", b"a length", b"no end"])
    async def test_its_caller_learns_that_it_has_not_run(
        self,
        system: running_system.System,
        nursery: trio.Nursery,
        framing: bytes,
    ) -> None:
        """Its last piece would come after the end of the process."""
        system.grace_seconds = 2.0
        await running_system.start_system(system, nursery, _Engine())
        entry = system.processes["entry"]
        head = b"POST /post/x HTTP/1.1\r\nHost: one.example\r\n"
        parts = {
            b"chunked": b"Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
            b"a length": b"Content-Length: 8\r\n\r\nabcd",
            b"no end": b"X-Request-Id: r1\r\n",
        }
        entry.send_signal(signal.SIGTERM)
        await trio.sleep(0.5)
        stream = await trio.open_tcp_stream(
            running_system.ENTRY, running_system.CALL_PORT
        )
        received = b""
        async with stream:
            await stream.send_all(head + parts[framing])
            with trio.fail_after(running_system.TIMEOUT_SECONDS):
                while data := await stream.receive_some():
                    received += data
                while entry.poll() is None:
                    await trio.sleep(0.02)
        assert entry.returncode == 0
        assert received.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nretry-after: " in received.lower()
        assert b"\r\nconnection: close\r\n" in received.lower()
        lines = system.log_lines("entry")
        (ended,) = [one for one in lines if one["event"] == "drain_ended"]
        assert ended["unread_requests"] == 1
        (line,) = [one for one in lines if one["event"] == _UNREADABLE]
        assert line["code"] == "draining"


class TestStopBesideOddCallers:
    @pytest.mark.parametrize("seed", [1, 2])
    async def test_each_whole_request_has_an_answer_or_a_line(
        self, system: running_system.System, nursery: trio.Nursery, seed: int
    ) -> None:
        system.grace_seconds = _GRACE_SECONDS
        engine = _Engine()
        await running_system.start_system(system, nursery, engine)
        callers = _Callers(seed)
        entry = system.processes["entry"]
        async with trio.open_nursery() as calls:
            for number in range(_CALLERS):
                calls.start_soon(callers.run, _WAYS[number % len(_WAYS)])
            await trio.sleep(2.0)
            entry.send_signal(signal.SIGTERM)
            with trio.fail_after(running_system.TIMEOUT_SECONDS):
                while entry.poll() is None:
                    await trio.sleep(0.01)
            # What is on its way is read to its end.
            callers.is_over = True
            calls.cancel_scope.deadline = trio.current_time() + 20.0
        assert entry.returncode == 0
        _check(callers, engine, system.log_lines("entry"))
