"""An emulated engine whose answers never end, for tests of HTTP clients."""

import dataclasses
import itertools
import sys

import trio

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_QUICK_BYTES = 262_144


@dataclasses.dataclass(slots=True, frozen=True)
class EndlessAnswer:
    """An answer that begins with ``start`` and repeats ``unit``.

    Without a ``unit`` nothing follows, and the connection stays open.
    """

    start: bytes
    unit: bytes

    def with_headers(self, headers: bytes) -> "EndlessAnswer":
        """Return the answer with more headers, if its head is complete."""
        if b"\r\n\r\n" not in self.start:
            return self
        start = self.start.replace(_OK, _OK + headers)
        return EndlessAnswer(start, self.unit)


# Engines whose heads never end.
HEADS = {
    "garbage": EndlessAnswer(b"", b"\x00\xff\n"),
    "garbage in one line": EndlessAnswer(b"", b"\x80x"),
    "garbage after a status": EndlessAnswer(b"HTTP/1.1 200 ", b"x"),
    "headers": EndlessAnswer(_OK, b"X-A: b\r\n"),
    "one header line": EndlessAnswer(_OK + b"X-A: ", b"b"),
    "interim answers": EndlessAnswer(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "interim headers": EndlessAnswer(b"HTTP/1.1 103 E\r\n", b"X-A: b\r\n"),
}
# Engines whose bodies never end, and never complete an event.
BODIES = {
    "chunks": EndlessAnswer(_CHUNKED, b"4\r\ndata\r\n"),
    "tiny chunks": EndlessAnswer(_CHUNKED, b"1\r\nx\r\n"),
    "blank lines": EndlessAnswer(_CHUNKED, b"2\r\n\n\n\r\n"),
    "garbage for chunks": EndlessAnswer(_CHUNKED, b"\xff"),
    "one chunk length": EndlessAnswer(_CHUNKED + b"1;", b"a"),
    "trailers": EndlessAnswer(_CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    "body without length": EndlessAnswer(_OK + b"\r\n", b"x"),
    "body of a great length": EndlessAnswer(
        _OK + b"Content-Length: 99999999999\r\n\r\n", b"x"
    ),
}
# Engines that send most of an answer or event at once, and then nothing.
_PIECE = b"x" * 1_000_000
PIECES = {
    "one piece": EndlessAnswer(
        _OK + b"Content-Length: 1000001\r\n\r\n" + _PIECE, b""
    ),
    "one chunk": EndlessAnswer(_CHUNKED + b"f4241\r\n" + _PIECE, b""),
}


class EndlessEngine:
    """Sends an endless answer on each connection, until it is closed.

    ``pause_seconds`` is the time between two units; without it, the engine
    sends as fast as it can.
    """

    def __init__(
        self, answer: EndlessAnswer, pause_seconds: float | None
    ) -> None:
        self._answer = answer
        self._pause_seconds = pause_seconds
        self._port_address = ""
        self.open_connections = 0
        self.accepted_connections = 0

    @property
    def address(self) -> str:
        """Return the ``host:port`` that the engine accepts at."""
        return self._port_address

    async def start(self, nursery: trio.Nursery) -> None:
        """Accept connections until the nursery is cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self._port_address = f"127.0.0.1:{port}"
        nursery.start_soon(trio.serve_listeners, self._answer_on, listeners)

    async def wait_closed(self) -> None:
        """Wait until connections were accepted and all of them are closed."""
        while not self.accepted_connections or self.open_connections:
            await trio.sleep(0.01)

    async def _answer_on(self, stream: trio.SocketStream) -> None:
        self.accepted_connections += 1
        self.open_connections += 1
        try:
            await stream.receive_some(65_536)
            await stream.send_all(self._answer.start)
            unit = self._answer.unit
            if not unit:
                await stream.receive_some(1)
                return
            if self._pause_seconds is None:
                unit *= _QUICK_BYTES // len(unit)
            for _unit in itertools.repeat(unit):
                await stream.send_all(unit)
                await trio.sleep(self._pause_seconds or 0)
        except trio.BrokenResourceError:
            pass
        finally:
            self.open_connections -= 1


async def _serve(kind: str, headers: bytes, pause: float | None) -> None:
    """Run an engine, by default as fast as it can, and print its address."""
    answer = {**HEADS, **BODIES, **PIECES}[kind].with_headers(headers)
    engine = EndlessEngine(answer, pause)
    async with trio.open_nursery() as nursery:
        await engine.start(nursery)
        print(engine.address, flush=True)


if __name__ == "__main__":
    _pause = float(sys.argv[3]) if len(sys.argv) > 3 else None
    trio.run(_serve, sys.argv[1], sys.argv[2].encode(), _pause)
