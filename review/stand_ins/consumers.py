"""Consumers that keep their channels, and what became of their requests."""

import asyncio
import dataclasses
import itertools

from stand_ins import http1
from stand_ins import world as worlds

_NUMBERS = itertools.count(1)
# What a request counts as that got an answer, or none.
CLOSED = "closed without an answer"
CUT = "cut inside an answer"
REFUSED = "channel refused"
LATE = "no answer in time"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One consumer attempt; ``is_kept`` if its channel was used before."""

    request_id: str
    entry: str
    method: str
    is_kept: bool
    status: int = 0
    outcome: str = ""
    ended_at: float = 0.0


class Channel:
    """A consumer's channel to one entry machine."""

    def __init__(self, world: worlds.World, machine: worlds.Machine) -> None:
        self._world = world
        self._machine = machine
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._used = 0

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self._used = 0

    async def send(
        self,
        method: str,
        target: str,
        key: str,
        deadline_ms: int = 4000,
        body: bytes | None = None,
        more_headers: dict[str, str] | None = None,
    ) -> Attempt:
        """Send a request on the channel, opened anew if need be."""
        record = self._world.record
        request_id = f"{next(_NUMBERS):08x}{id(self) & 0xFFFFFFFF:08x}"
        attempt = Attempt(
            request_id, self._machine.name, method, self._used > 0
        )
        kept = "kept" if attempt.is_kept else "new"
        record.add(
            f"sent {request_id} to {self._machine.name}: {method} {target}"
            f" on a {kept} channel"
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self._exchange(
                    attempt,
                    method,
                    target,
                    key,
                    deadline_ms,
                    body,
                    more_headers or {},
                )
        except TimeoutError:
            attempt.outcome = LATE
        if attempt.status == 0:
            self.close()
        attempt.ended_at = record.now
        record.add(
            f"answer to {request_id}: {attempt.status or attempt.outcome}"
        )
        return attempt

    async def _exchange(
        self,
        attempt: Attempt,
        method: str,
        target: str,
        key: str,
        deadline_ms: int,
        body: bytes | None,
        more_headers: dict[str, str],
    ) -> None:
        host, _, port = self._world.front(self._machine).rpartition(":")
        if self._reader is None or self._writer is None:
            try:
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port)
                )
            except OSError:
                attempt.outcome = REFUSED
                return
        headers = {
            "Host": worlds.HOST,
            "X-Request-Id": attempt.request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {key}",
            **more_headers,
        }
        data = http1.encode(f"{method} {target} HTTP/1.1", headers, body)
        try:
            self._writer.write(data)
            await self._writer.drain()
            answer = await http1.read_head(self._reader)
        except (http1.Broken, OSError) as exc:
            attempt.outcome = CUT if str(exc) == "cut" else CLOSED
            return
        try:
            if method != "HEAD":
                await http1.read_body(self._reader, answer)
        except http1.Broken:
            attempt.outcome = CUT
            return
        attempt.status = answer.status
        self._used += 1
        if answer.headers.get("connection", "").lower() == "close":
            self.close()


class Repeaters:
    """Consumers that ask again and again, each on its kept channel."""

    def __init__(
        self,
        world: worlds.World,
        method: str,
        target: str,
        key: str,
        channels_each: int = 6,
        body: bytes | None = None,
        more_headers: dict[str, str] | None = None,
        deadline_ms: int = 4000,
    ) -> None:
        self._world = world
        self._method = method
        self._target = target
        self._key = key
        self._channels_each = channels_each
        self._body = body
        self._more_headers = more_headers
        self._deadline_ms = deadline_ms
        self.attempts: list[Attempt] = []

    def start(self) -> None:
        """Begin to send."""
        for machine in self._world.entries:
            for _ in range(self._channels_each):
                self._world.spawn(self._repeat(machine))

    async def _repeat(self, machine: worlds.Machine) -> None:
        channel = Channel(self._world, machine)
        while True:
            attempt = await channel.send(
                self._method,
                self._target,
                self._key,
                self._deadline_ms,
                self._body,
                self._more_headers,
            )
            self.attempts.append(attempt)
            if attempt.status != 200:
                await asyncio.sleep(0.5)


def lost_on_kept_channels(
    attempts: list[Attempt], run_ids: set[str]
) -> list[Attempt]:
    """Return what the rule LOST counts.

    A request from a kept channel was passed on to a sound engine, and the
    channel was closed without an answer.
    """
    return [
        attempt
        for attempt in attempts
        if attempt.is_kept
        and attempt.outcome == CLOSED
        and attempt.request_id in run_ids
    ]
