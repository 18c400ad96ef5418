"""Callers in a process of their own, who send without end.

Run as a module with an address and the number of callers.  Prints one JSON
object a second: how many connections are open.
"""

import json
import sys

import trio

_PAUSE_SECONDS = 0.2
_START_SECONDS = 0.005
_TRICKLE_SECONDS = 0.5
_LINE = b"POST /post/x HTTP/1.1\r\nHost: one.example\r\n"
_CHUNKED = _LINE + b"Transfer-Encoding: chunked\r\n\r\n"
_WHOLE = _LINE + b"X-Request-Id: endless\r\nContent-Length: 0\r\n\r\n"
_CHUNK = b"4000\r\n" + b"x" * 16_384 + b"\r\n"
# How a caller begins, what it sends again and again, and the time between.
_KINDS: tuple[tuple[bytes, bytes, float], ...] = (
    (_LINE, b"X-Field: " + b"x" * 1000 + b"\r\n", 0.0),
    (_LINE, b"X-Field: x\r\n", _TRICKLE_SECONDS),
    (_LINE + b"X-Field: ", b"x" * 1000, 0.0),
    (_CHUNKED, _CHUNK, 0.0),
    (_CHUNKED, b"1\r\nx\r\n", 0.0),
    (_CHUNKED, b"1\r\nx\r\n", _TRICKLE_SECONDS),
    (_CHUNKED, b"1", _TRICKLE_SECONDS),
    (_CHUNKED + b"0\r\n", b"X-Field: x\r\n", 0.0),
    (_WHOLE, b"x" * 16_384, 0.0),
    (_WHOLE, _WHOLE, 0.0),
)


class _Callers:
    """Callers that connect again whenever their connection has ended."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self.open_count = 0

    async def report(self) -> None:
        while True:
            line = {"open": self.open_count, "ends": {}}
            print(json.dumps(line), flush=True)
            await trio.sleep(1)

    async def call_again_and_again(self, number: int) -> None:
        kind = _KINDS[number % len(_KINDS)]
        while True:
            try:
                stream = await trio.open_tcp_stream(self._host, self._port)
                async with stream:
                    await self._call(stream, *kind)
            except (OSError, trio.BrokenResourceError):
                pass
            await trio.sleep(_PAUSE_SECONDS)

    async def _call(
        self,
        stream: trio.SocketStream,
        start: bytes,
        part: bytes,
        pause: float,
    ) -> None:
        self.open_count += 1
        try:
            await stream.send_all(start)
            while True:
                await stream.send_all(part)
                await trio.sleep(pause)
        finally:
            self.open_count -= 1


async def _run(address: str, count: int) -> None:
    callers = _Callers(address)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.report)
        for number in range(count):
            nursery.start_soon(callers.call_again_and_again, number)
            await trio.sleep(_START_SECONDS)


if __name__ == "__main__":
    trio.run(_run, sys.argv[1], int(sys.argv[2]))
