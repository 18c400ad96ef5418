"""Engines of a plain service."""

import asyncio
import dataclasses
import itertools
import json
import random
import time

from stand_ins import http1
from stand_ins import world as worlds

HEARTBEAT_S = 1.2


@dataclasses.dataclass(slots=True)
class Run:
    """One request that an engine began to work on."""

    request_id: str
    engine_id: str
    method: str
    tenant: str
    at: float


class Engine:
    """A sound engine: it works, answers, and checks in."""

    def __init__(
        self, world: worlds.World, number: int, service: str, work_s: float
    ) -> None:
        self._world = world
        self._service = service
        self._work_s = work_s
        self._zone = worlds.ZONES[(number - 1) % len(worlds.ZONES)]
        self._born = time.time_ns() // 1_000_000
        self._sequence = itertools.count(1)
        self._seals = itertools.count(1)
        self._server: asyncio.Server | None = None
        self.slots = 96
        self.address = world.engine_address(number)
        self.engine_id = f"i-{number}{self._born:x}"
        self.runs: list[Run] = []
        # Those that were broken off when the engine ended.
        self.cut_runs: list[Run] = []
        # Where it checks in; ``None`` for any machine.
        self.check_in_at: str | None = None
        self._has_left = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._current: dict[str, Run] = {}

    async def start(self) -> None:
        """Listen, and begin to check in."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._world.spawn(self._check_in())

    def check_in_body(self) -> dict[str, object]:
        """Return the body of the next check-in."""
        return {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": next(self._sequence),
            "born": self._born,
        }

    async def _check_in(self) -> None:
        while not self._has_left:
            await check_in(
                self._world,
                self.engine_id,
                self.check_in_body(),
                self.check_in_at,
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self, control_address: str) -> bool:
        """Send DELETE, as engines do that never report ``draining``."""
        self._has_left = True
        path = f"/v1/instances/{self.engine_id}"
        answer = await http1.call(control_address, "DELETE", path)
        self._world.record.add(
            f"DELETE of {self.engine_id} at {control_address}: {answer.status}"
        )
        return 200 <= answer.status < 300

    async def exit(self) -> None:
        """End: refuse new channels and break off the requests at work."""
        if self._server is not None:
            self._server.close()
        self.cut_runs = list(self._current.values())
        for writer in self._writers:
            writer.transport.abort()
        self._world.record.add(f"{self.engine_id} has ended")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await http1.read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except (http1.Broken, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: http1.Message) -> bytes:
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Instance-Id": self.engine_id}
        if request.target == "/health":
            return http1.encode("HTTP/1.1 200 OK", headers, b"")
        if not request_id:
            headers["X-Not-Executed"] = "1"
            return http1.encode("HTTP/1.1 400 Bad Request", headers, b"")
        headers["X-Request-Id"] = request_id
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.engine_id):
            headers["X-Not-Executed"] = "1"
            return http1.encode("HTTP/1.1 421 Misdirected", headers, b"")
        run = Run(
            request_id,
            self.engine_id,
            request.method,
            request.headers.get("x-tenant", ""),
            self._world.record.now,
        )
        self.runs.append(run)
        self._world.record.add(
            f"{self.engine_id} runs {request_id}: {request.method}"
            f" {request.target} for {run.tenant}"
        )
        self._current[request_id] = run
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._current.pop(request_id, None)
        headers["X-Response-Seal"] = f"{self.engine_id}.{next(self._seals)}"
        headers["X-Instance-Load"] = f"{len(self._current)},0,{self.slots}"
        body = f"answer to {request_id}".encode()
        if request.method == "HEAD":
            headers["Content-Length"] = str(len(body))
            return http1.encode("HTTP/1.1 200 OK", headers, None)
        return http1.encode("HTTP/1.1 200 OK", headers, body)


async def check_in(
    world: worlds.World,
    engine_id: str,
    body: dict[str, object],
    first: str | None = None,
) -> bool:
    """Check in at one control machine after the other until one agrees.

    Without ``first`` they are called in a random order.
    """
    addresses = list(world.control_addresses)
    random.shuffle(addresses)
    if first is not None:
        addresses.remove(first)
        addresses.insert(0, first)
    for address in addresses:
        try:
            answer = await http1.call(
                address,
                "PUT",
                f"/v1/instances/{engine_id}",
                {"Content-Type": "application/json"},
                json.dumps(body).encode(),
            )
        except http1.Broken:
            continue
        if 200 <= answer.status < 300:
            return True
    return False
