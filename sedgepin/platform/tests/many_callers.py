"""Callers in a process of their own, who count how their requests end.

Run as a module with an address, a target and the number of callers.  Prints
one JSON object a second: how many are open, and the ends so far.
"""

import collections
import itertools
import json
import sys

import trio

_PAUSE_SECONDS = 0.2
_START_SECONDS = 0.005
_DEADLINE_MILLISECONDS = 8000
_CUT = "cut"


class _Callers:
    """Callers that send a request each, and another after its end."""

    def __init__(self, address: str, target: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._target = target
        self.open_count = 0
        self.ends: collections.Counter[str] = collections.Counter()

    async def report(self) -> None:
        while True:
            line = {"open": self.open_count, "ends": self.ends}
            print(json.dumps(line), flush=True)
            await trio.sleep(1)

    async def call_again_and_again(self, number: int) -> None:
        for attempt in itertools.count():
            try:
                await self._call(f"{self._target}-{number}-{attempt}")
            except (OSError, trio.BrokenResourceError):
                self.ends["unconnected"] += 1
            await trio.sleep(_PAUSE_SECONDS)

    async def _call(self, request_id: str) -> None:
        stream = await trio.open_tcp_stream(self._host, self._port)
        async with stream:
            await stream.send_all(
                f"POST {self._target} HTTP/1.1\r\nHost: one.example\r\n"
                f"X-Request-Id: {request_id}\r\nContent-Length: 0\r\n"
                f"X-Deadline-Ms: {_DEADLINE_MILLISECONDS}\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            self.open_count += 1
            try:
                start = await stream.receive_some(65_536)
                status = start[9:12].decode("latin-1") or _CUT
                self.ends[status] += 1
            except trio.BrokenResourceError:
                self.ends[_CUT] += 1
            finally:
                self.open_count -= 1


async def _run(address: str, target: str, count: int) -> None:
    callers = _Callers(address, target)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.report)
        for number in range(count):
            nursery.start_soon(callers.call_again_and_again, number)
            await trio.sleep(_START_SECONDS)


if __name__ == "__main__":
    trio.run(_run, sys.argv[1], sys.argv[2], int(sys.argv[3]))
