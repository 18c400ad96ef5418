"""Fake engine process that holds a range of a model's layers.

Run as ``python -m sedgepin.tests.fake_engine JSON``; the JSON object has the
fields of ``Options``.  It implements the protocol of ``docs/ENDPOINTS.md``:
it runs its layers, forwards the request to the next stage of its pipeline,
streams tokens back, announces itself and accepts orders.  A prompt that
contains ``crash_word`` kills the process; one that contains ``silence_word``
is never answered.

The text at a position depends only on the prompt and the position, so that
a resumed answer can be compared with an uninterrupted one.
"""

import collections
import collections.abc
import hashlib
import os
import signal
import sys
import typing

import httpcore
import hypercorn.config
import hypercorn.trio
import msgspec
import trio

from sedgepin._entry._prefixes import prefix_hashes
from sedgepin import _model as model

_FORWARD_TIMEOUT_SECONDS = 60.0
_HEARTBEAT_SECONDS = 0.2
_CACHE_EVENTS_SENT = 16


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Identity, placement and timing of a fake engine.

    ``announced_port`` replaces ``port`` in announcements unless it is 0.  A
    call of a plain service takes ``call_seconds`` beside the time of a token.
    """

    endpoint_id: str
    port: int
    announced_port: int = 0
    entries: tuple[str, ...]
    data_centre: str = "dc1"
    services: tuple[str, ...] = ("assistant",)
    model: str | None = "beet-32"
    first_layer: int = 0
    end_layer: int = 8
    token_seconds: float = 0.01
    prefill_seconds: float = 0.05
    call_seconds: float = 0.0
    crash_word: str = "CRASH"
    silence_word: str = "SILENCE"
    checks_fencing: bool = True
    incarnation: int = 1
    announce_seconds: float = 0.5
    credential: str = ""


class Engine:
    """State of one fake engine."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.sequence = 0
        self.echoes: dict[str, str] = {}
        self.leaving = False
        self.produced_counts: dict[tuple[str, int], int] = {}
        self.reported_running = 0
        self.cached: set[str] = set()
        self.cache_sequence = 0
        self.cache_events: list[model.CacheEvent] = []
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.highest_token = (0, 0)
        self.orders: list[dict[str, typing.Any]] = []
        self.current_role: dict[str, typing.Any] = {}
        self.pool = httpcore.AsyncConnectionPool()

    def announcement(self, entry: str) -> bytes:
        """Return the next announcement for one entry VM, as JSON."""
        options = self.options
        self.sequence += 1
        port = options.announced_port or options.port
        announcement = model.Announcement(
            endpoint_id=model.EndpointId(options.endpoint_id),
            incarnation=model.Incarnation(options.incarnation),
            sequence=self.sequence,
            kind=model.EndpointKind.ENGINE,
            address=f"http://127.0.0.1:{port}",
            data_centre=model.DataCentreId(options.data_centre),
            services=tuple(model.ServiceName(s) for s in options.services),
            model=model.ModelName(options.model) if options.model else None,
            model_version=self.current_role.get("version", "1"),
            layers=model.LayerRange(options.first_layer, options.end_layer),
            accelerator=model.AcceleratorSpec("fake", 8, 8000.0),
            checks_fencing=options.checks_fencing,
            leaving=self.leaving,
            load=model.LoadReport(
                running_requests=self.reported_running,
                measured_before_milliseconds=int(
                    1000 * options.announce_seconds
                ),
            ),
            cache_events=tuple(self.cache_events[-_CACHE_EVENTS_SENT:]),
            echo=self.echoes.get(entry, ""),
        )
        self.reported_running = len(self.produced_counts)
        return msgspec.json.encode(announcement)

    async def announce(self, entry: str) -> None:
        """Announce this engine to one entry VM until cancelled."""
        headers = [("content-type", "application/json")]
        if self.options.credential:
            bearer = f"Bearer {self.options.credential}"
            headers.append(("authorization", bearer))
        while True:
            pause = self.options.announce_seconds
            try:
                with trio.fail_after(1):
                    response = await self.pool.request(
                        "POST",
                        f"http://{entry}/v1/endpoints/announcements",
                        headers=headers,
                        content=self.announcement(entry),
                    )
                reply = msgspec.json.decode(response.content)
                self.echoes[entry] = reply.get("echo", "")
                pause = reply.get("announce_again_after_seconds", pause)
            except (httpcore.NetworkError, httpcore.TimeoutException):
                pass
            except (trio.TooSlowError, httpcore.ProtocolError):
                pass
            await trio.sleep(min(pause, self.options.announce_seconds))

    async def run_stage(
        self, body: dict[str, typing.Any]
    ) -> collections.abc.AsyncIterator[dict[str, typing.Any]]:
        """Yield an attempt's lines, from this stage and those after it."""
        prompt = body["prompt"]
        if self.options.crash_word in prompt:
            os.kill(os.getpid(), signal.SIGKILL)
        if self.options.silence_word in prompt:
            await trio.sleep_forever()
        attempt = (body["request_id"], body["attempt"])
        self.produced_counts[attempt] = 0
        self.run_counts[body["request_id"]] += 1
        stage = body["stages"][body["index"]]
        mark = {
            "endpoint_id": self.options.endpoint_id,
            "layers": stage["layers"],
        }
        try:
            async for line in self.prefill(body["prompt"]):
                yield line
            last = body["index"] + 1 == len(body["stages"])
            generated = self.generate(body) if last else self.forward(body)
            async for line in generated:
                if line["type"] == "piece":
                    line["lineage"].insert(0, mark)
                    self.produced_counts[attempt] = line["position"] + 1
                yield line
        finally:
            self.produced_counts.pop(attempt, None)

    async def prefill(
        self, prompt: str
    ) -> collections.abc.AsyncIterator[dict[str, typing.Any]]:
        """Simulate prefill with heartbeats, then cache the prefixes."""
        remaining_seconds = self.options.prefill_seconds
        while remaining_seconds > 0:
            await trio.sleep(min(remaining_seconds, _HEARTBEAT_SECONDS))
            remaining_seconds -= _HEARTBEAT_SECONDS
            yield {"type": "heartbeat"}
        new_prefixes = tuple(
            name for name in prefix_hashes(prompt) if name not in self.cached
        )
        if new_prefixes:
            self.cached.update(new_prefixes)
            event = model.CacheEvent(self.cache_sequence, added=new_prefixes)
            self.cache_sequence += 1
            self.cache_events.append(event)

    async def generate(
        self, body: dict[str, typing.Any]
    ) -> collections.abc.AsyncIterator[dict[str, typing.Any]]:
        """Yield the attempt's tokens, as its last stage does."""
        for position in range(body["position"], body["limit_tokens"]):
            await trio.sleep(self.options.token_seconds)
            yield {
                "type": "piece",
                "request_id": body["request_id"],
                "attempt": body["attempt"],
                "position": position,
                "text": token_text(body["prompt"], position),
                "lineage": [],
            }
        yield {
            "type": "end",
            "token_count": body["limit_tokens"],
            "finish_reason": "length",
        }

    async def forward(
        self, body: dict[str, typing.Any]
    ) -> collections.abc.AsyncIterator[dict[str, typing.Any]]:
        """Forward the request to the next stage and yield its lines.

        A lost stage is reported in a ``failed`` line; its ``ran`` is false
        only if the stage never received the request.
        """
        next_stage = body["stages"][body["index"] + 1]
        ran = False
        content = msgspec.json.encode({**body, "index": body["index"] + 1})
        try:
            async with self.pool.stream(
                "POST",
                f"{next_stage['address']}/v1/pipeline",
                headers=[("content-type", "application/json")],
                content=content,
                extensions={"timeout": {"read": _FORWARD_TIMEOUT_SECONDS}},
            ) as response:
                ran = True
                async for line in parse_json_lines(response.aiter_stream()):
                    yield line
                    if line["type"] in ("end", "failed"):
                        return
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            pass
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            ran = True
        yield {
            "type": "failed",
            "endpoint_id": next_stage["endpoint_id"],
            "code": "stage_lost",
            "ran": ran,
        }

    def accept_order(self, order: dict[str, typing.Any]) -> int:
        """Accept an order; return HTTP 409 if its fencing token is stale."""
        token = (order["epoch"], order["sequence"])
        if self.options.checks_fencing and token <= self.highest_token:
            return 409
        self.highest_token = max(self.highest_token, token)
        self.orders.append(order)
        self.current_role.update(order)
        return 200

    def attempt_state(
        self, request_id: str, attempt: str
    ) -> dict[str, typing.Any]:
        """Return state of an attempt, as the answer to a probe."""
        produced = self.produced_counts.get((request_id, int(attempt)))
        state = "producing" if produced else "prefilling"
        return {
            "state": "unknown" if produced is None else state,
            "produced": produced or 0,
            "received": produced or 0,
            "incarnation": self.options.incarnation,
        }

    async def app(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Handle one HTTP request, as an ASGI application."""
        raw = b""
        while True:
            event = await receive()
            raw += event.get("body", b"")
            if not event.get("more_body", False):
                break
        path = scope["path"]
        if path == "/v1/pipeline":
            await self.answer_stream(msgspec.json.decode(raw), send)
            return
        status, body = 200, {}
        if path == "/v1/orders":
            status = self.accept_order(msgspec.json.decode(raw))
        elif path == "/v1/leave":
            self.leaving = True
        elif path.startswith("/v1/attempts/"):
            body = self.attempt_state(*path.split("/")[3:])
        elif path == "/v1/produced":
            body = {
                key[0]: token_count
                for key, token_count in self.produced_counts.items()
            }
        elif path == "/v1/runs":
            body = dict(self.run_counts)
        await send_json(send, status, body)

    async def answer_stream(
        self, body: dict[str, typing.Any], send: typing.Any
    ) -> None:
        """Stream the lines of an attempt as newline-delimited JSON."""
        start = {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-type", b"application/x-ndjson")],
        }
        await send(start)
        async for line in self.run_stage(body):
            chunk = msgspec.json.encode(line) + b"\n"
            await send(
                {
                    "type": "http.response.body",
                    "body": chunk,
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": b""})


def token_text(prompt: str, position: int) -> str:
    """Return the token that follows ``prompt`` at ``position``."""
    digest = hashlib.sha256(f"{prompt}/{position}".encode()).hexdigest()
    return f"{digest[:5]} "


async def parse_json_lines(
    chunks: collections.abc.AsyncIterable[bytes],
) -> collections.abc.AsyncIterator[dict[str, typing.Any]]:
    """Yield the JSON lines in a stream of chunks."""
    buffer = b""
    async for chunk in chunks:
        buffer += chunk
        *complete_lines, buffer = buffer.split(b"\n")
        for line in complete_lines:
            yield msgspec.json.decode(line)


async def send_json(send: typing.Any, status: int, body: typing.Any) -> None:
    """Send a complete JSON response."""
    headers = [(b"content-type", b"application/json")]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send(
        {"type": "http.response.body", "body": msgspec.json.encode(body)}
    )


async def serve(app: typing.Any, port: int) -> None:
    """Serve an ASGI application on loopback until cancelled."""
    cfg = hypercorn.config.Config()
    cfg.bind = [f"127.0.0.1:{port}"]
    cfg.loglevel = "CRITICAL"
    cfg.accesslog = None
    cfg.errorlog = None

    async def with_lifespan(
        scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        if scope["type"] != "lifespan":
            await app(scope, receive, send)
            return
        while True:
            message = await receive()
            await send({"type": f"{message['type']}.complete"})

    await hypercorn.trio.serve(with_lifespan, cfg)


async def run(options: Options) -> None:
    """Serve requests and announce the engine until cancelled."""
    engine = Engine(options)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve, engine.app, options.port)
        for entry in options.entries:
            nursery.start_soon(engine.announce, entry)


if __name__ == "__main__":
    trio.run(run, msgspec.json.decode(sys.argv[1], type=Options))
