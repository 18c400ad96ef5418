"""Fake engines that record every request they execute."""

import collections
import dataclasses
import itertools
import json
import math
import random
import time
import typing

import trio

from sedgepin import _web as web
from sedgepin import errors
from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _invariants
from sedgepin.platform.tests.soak import _record

LAYERS = 8
LAYER_MEGABYTES = 10.0
MEMORY_MEGABYTES = 60.0
MODEL_SERVICE = "model"
PLAIN_SERVICE = "ledger"
OTHER_PLAIN_SERVICE = "archive"
HEARTBEAT_SECONDS = 0.6
_LAYER_LOAD_SECONDS = 0.3
_EVENT_INTERVAL_SECONDS = 0.03
_LONG_PREFIXES = ("/tale/", "/feed/")
_STREAM_PREFIXES = ("/draft/", *_LONG_PREFIXES)
_PLAIN_CALL_SECONDS = 0.03
# A stream waits this long for a dead engine of its path, then breaks off.
_STALL_TIMEOUT_SECONDS = 1.0
# A draining engine still serves for this long after ``drainMs``.
_SHUTDOWN_DELAY_SECONDS = 0.5
_RESTART_SECONDS = 2.0

_Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(slots=True)
class _Incarnation:
    """State of one run of an engine, from its start to its end."""

    endpoint_id: str
    started_at_ms: int
    layers: tuple[int, int] | None = None
    order_count: int = 0
    fence: int = 0
    is_busy: bool = False
    is_draining: bool = False
    # Request id to the address of the engine that the request waits for.
    stalled: dict[str, str] = dataclasses.field(default_factory=dict)
    paths: dict[str, list[tuple[str, int, int]]] = dataclasses.field(
        default_factory=dict
    )
    open_attempts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Engine(web.Handler):
    """One engine across all its restarts."""

    def __init__(
        self,
        number: int,
        service: str,
        addresses: _addresses.Addresses,
        record: _record.Record,
        engines: dict[str, "Engine"],
        rng: random.Random,
    ) -> None:
        self.address = addresses.engine_address(number)
        self._listen_address = addresses.proxied_addresses()[
            f"engine-{number} work"
        ][1]
        self._zone = addresses.zone(number)
        self._control_addresses = addresses.control_addresses()
        self._number = number
        self._service = service
        self._record = record
        self._engines = engines
        self._rng = rng
        self._starts = itertools.count(1)
        self._seals = itertools.count(1)
        self._incarnation: _Incarnation | None = None
        self._scope = trio.CancelScope()
        self.slowdown = 1.0
        self.failure_rate = 0.0
        # How many requests the engine takes at once.
        self.max_open = math.inf
        self._open_count = 0
        # Set when the latest silence is over.
        self._silence_over = trio.Event()
        self._silence_over.set()
        # The limit of requests that the engine names, if it does.
        self._request_limit: float | None = None
        engines[self.address] = self
        record.link_names[self.address] = f"engine-{number} work"

    async def run(self) -> None:
        """Serve until cancelled; restart after each crash or drain."""
        while True:
            start = next(self._starts)
            started_at_ms = time.time_ns() // 1_000_000
            incarnation = _Incarnation(
                f"e{self._number}-{start}", started_at_ms
            )
            self._incarnation = incarnation
            with trio.CancelScope() as self._scope:
                async with trio.open_nursery() as nursery:
                    server = web.Server(self)
                    await nursery.start(server.serve, self._listen_address)
                    nursery.start_soon(self._send_check_ins, incarnation)
            self._incarnation = None
            self.drop_limit()
            await trio.sleep(_RESTART_SECONDS)

    def _record_ending(self) -> None:
        """Record that the engine has broken off what it was answering."""
        ending = _record.Ending(self.address, trio.current_time())
        self._record.endings.append(ending)

    async def fall_silent(self, seconds: float) -> None:
        """Send nothing for some time, then go on where it stopped."""
        over = trio.Event()
        self._silence_over = over
        await trio.sleep(seconds)
        over.set()

    def name_limit(self, requests_per_second: float) -> None:
        """Name a limit of requests in all answers from now on."""
        incarnation = self._incarnation
        if incarnation is None or self._request_limit is not None:
            return
        self._request_limit = requests_per_second
        self._record.limits.append(
            _record.NamedLimit(
                incarnation.endpoint_id,
                requests_per_second,
                trio.current_time(),
            )
        )

    def drop_limit(self) -> None:
        """Name no limit any more."""
        if self._request_limit is None:
            return
        self._request_limit = None
        for limit in self._record.limits:
            if limit.endpoint_id.startswith(f"e{self._number}-"):
                limit.until = min(limit.until, trio.current_time())

    def listen_host_and_port(self) -> tuple[str, int]:
        """Return where the engine itself listens, behind its proxy."""
        host, _, port = self._listen_address.rpartition(":")
        return host, int(port)

    def hold_all_layers(self) -> None:
        """Hold all layers at once, without an order."""
        assert self._incarnation is not None
        self._incarnation.layers = (0, LAYERS)

    def crash(self) -> None:
        """Break off all connections; ``run`` restarts the engine later."""
        # Callers may see it before this engine's tasks have ended.
        self._record_ending()
        self._scope.cancel()

    async def drain(self) -> None:
        """Announce the drain, wait ``drainMs``, deregister and stop."""
        incarnation = self._incarnation
        if incarnation is None or incarnation.is_draining:
            return
        incarnation.is_draining = True
        if await self._send_check_in(incarnation, next(_SEQUENCES)):
            self._record.leaving_acked_at[incarnation.endpoint_id] = (
                trio.current_time()
            )
        await trio.sleep(_invariants.DRAIN_SECONDS + _SHUTDOWN_DELAY_SECONDS)
        path = f"/v1/instances/{incarnation.endpoint_id}"
        await self._call_control_vm(b"DELETE", path, {})
        if self._incarnation is incarnation:
            self.crash()

    async def leave(self) -> None:
        """Deregister first, serve for ``drainMs`` and longer, and stop.

        Any control VM may receive the DELETE.
        """
        incarnation = self._incarnation
        if incarnation is None or incarnation.is_draining:
            return
        incarnation.is_draining = True
        path = f"/v1/instances/{incarnation.endpoint_id}"
        if await self._call_control_vm(b"DELETE", path, {}):
            self._record.leaving_acked_at[incarnation.endpoint_id] = (
                trio.current_time()
            )
        await trio.sleep(_invariants.DRAIN_SECONDS + _SHUTDOWN_DELAY_SECONDS)
        if self._incarnation is incarnation:
            self.crash()

    # Calls to control VMs.

    async def _send_check_ins(self, incarnation: _Incarnation) -> None:
        while True:
            await self._send_check_in(incarnation, next(_SEQUENCES))
            await trio.sleep(HEARTBEAT_SECONDS)

    async def _send_check_in(
        self, incarnation: _Incarnation, sequence: int
    ) -> bool:
        body: dict[str, typing.Any] = {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "state": "draining" if incarnation.is_draining else "ready",
            "born": incarnation.started_at_ms,
            "sequence": sequence,
            "slots": 96,
        }
        if self._service == MODEL_SERVICE:
            body["kind"] = "card"
            body["layers"] = _layers_document(incarnation.layers)
        path = f"/v1/instances/{incarnation.endpoint_id}"
        return await self._call_control_vm(b"PUT", path, body)

    async def _call_control_vm(
        self, method: bytes, path: str, body: dict[str, typing.Any]
    ) -> bool:
        """Call the control VMs in random order until one answers 200."""
        for address in self._rng.sample(
            self._control_addresses, len(self._control_addresses)
        ):
            headers = ((b"Host", address.encode()),)
            request = web.Request(
                method, path.encode(), headers, json.dumps(body).encode()
            )
            result = await web.send_request(address, request, 1.0)
            if result.is_ok() and result.unwrap()[0].status == 200:
                return True
        return False

    # Requests from entry VMs and control VMs.

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer to a malformed request."""
        return web.AnswerHead(400), b""

    def limits(self) -> web.ServerLimits:
        """Return limits that no request of the soak reaches."""
        return web.ServerLimits(65_536, 1_048_576, 5.0, 30.0)

    async def handle(self, exchange: web.Exchange) -> None:
        """Handle a status report, an order or a request."""
        incarnation = self._incarnation
        if incarnation is None:
            return
        await self._silence_over.wait()
        request = exchange.request
        if request.target == b"/v1/report":
            await self._answer(exchange, 200, self._make_report(incarnation))
            return
        expected = request.find_header(b"x-expect-instance")
        if expected not in (None, incarnation.endpoint_id.encode()):
            await self._reject(exchange, 421, None)
        elif request.target == b"/v1/order":
            status, body = self._handle_order(
                incarnation, json.loads(request.body)
            )
            await self._answer(exchange, status, body)
        elif self._open_count >= self.max_open:
            await self._reject(exchange, 503, None)
        else:
            self._open_count += 1
            try:
                await self._execute(exchange, incarnation)
            finally:
                self._open_count -= 1

    def _make_report(self, incarnation: _Incarnation) -> dict[str, typing.Any]:
        return {
            "sequence": incarnation.order_count,
            "busy": incarnation.is_busy,
            "born": incarnation.started_at_ms,
            "layers": _layers_document(incarnation.layers),
            "stalled": [
                {"id": request_id, "address": address}
                for request_id, address in incarnation.stalled.items()
            ],
        }

    def _handle_order(
        self, incarnation: _Incarnation, order: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        if order["op"] == "repath":
            return self._reroute(incarnation, order)
        if order["fence"] < incarnation.fence:
            return 412, {}
        incarnation.fence = order["fence"]
        if (
            incarnation.is_busy
            or order["precondition"] != incarnation.order_count
        ):
            return 409, {}
        layers = (order["from"], order["to"])
        if layers == incarnation.layers:
            return 200, {}
        if (layers[1] - layers[0]) * LAYER_MEGABYTES > MEMORY_MEGABYTES:
            self._record.overloaded_engines.append(
                f"{incarnation.endpoint_id}: {layers}"
            )
        incarnation.order_count += 1
        incarnation.is_busy = True
        trio.lowlevel.spawn_system_task(_load_layers, incarnation, layers)
        return 202, {}

    def _reroute(
        self, incarnation: _Incarnation, order: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        if order["id"] not in incarnation.paths:
            return 404, {}
        path = _parse_path(order["path"])
        missing = self._find_missing_engine(path)
        if missing is not None:
            return 409, {"address": missing}
        incarnation.paths[order["id"]] = path
        for run in self._record.runs:
            if run.request_id == order["id"]:
                run.path += tuple(address for address, _, _ in path)
        return 200, {}

    async def _execute(
        self, exchange: web.Exchange, incarnation: _Incarnation
    ) -> None:
        request = exchange.request
        path: list[tuple[str, int, int]] = []
        fault = ""
        if self._service == MODEL_SERVICE:
            path = _parse_path(
                (request.find_header(b"x-hop-count") or b"").decode()
            )
            fault = _find_path_fault(path, self.address)
            missing = self._find_missing_engine(path)
            if not fault and missing is not None:
                await self._reject(exchange, 503, missing)
                return
        run = _make_run(request, incarnation, trio.current_time(), fault)
        run.engine = self.address
        run.path = tuple(address for address, _, _ in path)
        self._record.runs.append(run)
        run.seal = f"{incarnation.endpoint_id}.{next(self._seals)}"
        if self._rng.random() < self.failure_rate:
            run.status = 500
            run.answer = b"failed"
            await exchange.answer(self._head(run), run.answer)
            return
        try:
            await self._run(exchange, incarnation, run, path)
        finally:
            run.ended_at = trio.current_time()

    async def _run(
        self,
        exchange: web.Exchange,
        incarnation: _Incarnation,
        run: _record.EngineRun,
        path: list[tuple[str, int, int]],
    ) -> None:
        """Answer a request that the engine executes."""
        if not run.target.startswith(_STREAM_PREFIXES):
            await trio.sleep(_PLAIN_CALL_SECONDS * self.slowdown)
            await self._silence_over.wait()
            run.answer = f"{run.request_id} by {run.seal}".encode()
            await exchange.answer(self._head(run), run.answer)
            return
        incarnation.paths[run.request_id] = path
        incarnation.open_attempts[run.request_id] += 1
        try:
            await self._stream(exchange, incarnation, run)
        finally:
            incarnation.open_attempts[run.request_id] -= 1
            # A further attempt may have come before the end of this one.
            if not incarnation.open_attempts[run.request_id]:
                incarnation.paths.pop(run.request_id, None)
                incarnation.stalled.pop(run.request_id, None)

    async def _stream(
        self,
        exchange: web.Exchange,
        incarnation: _Incarnation,
        run: _record.EngineRun,
    ) -> None:
        # A stream's target ends in the number of its events; a long one's has
        # the milliseconds between them before it.
        *others, last = run.target.split("/")
        last_number = int(last)
        interval_seconds = _EVENT_INTERVAL_SECONDS
        if run.target.startswith(_LONG_PREFIXES):
            interval_seconds = int(others[-1]) / 1000
        await exchange.start(self._head(run))
        for number in range(run.resume_after + 1, last_number + 1):
            await trio.sleep(interval_seconds * self.slowdown)
            await self._silence_over.wait()
            if not await self._wait_for_path(incarnation, run.request_id):
                self._record_ending()
                return
            if self._crashes_under(run.request_id):
                return
            data = _invariants.event_data(run.request_id, number)
            await exchange.send(b"id: %d\ndata: %s\n\n" % (number, data))
        await exchange.finish()

    def _crashes_under(self, request_id: str) -> bool:
        """Crash if the prompt contains a part that crashes engines."""
        sent = self._record.sent.get(request_id)
        if sent is not None and sent.crashing_part is not None:
            crashed_at = self._record.crashed_at
            crashed_at.setdefault(sent.crashing_part, []).append(
                trio.current_time()
            )
            self.crash()
            return True
        return False

    async def _wait_for_path(
        self, incarnation: _Incarnation, request_id: str
    ) -> bool:
        """Wait for all engines of a request's path.

        Returns false if one is still missing after the stall timeout.
        """
        with trio.move_on_after(_STALL_TIMEOUT_SECONDS):
            while True:
                missing = self._find_missing_engine(
                    incarnation.paths[request_id]
                )
                if missing is None:
                    incarnation.stalled.pop(request_id, None)
                    return True
                incarnation.stalled[request_id] = missing
                await trio.sleep(_EVENT_INTERVAL_SECONDS)
        return False

    def _find_missing_engine(
        self, path: list[tuple[str, int, int]]
    ) -> str | None:
        """Return the first engine that doesn't hold its layers, if any."""
        for address, first, end in path:
            engine = self._engines.get(address)
            if engine is None or not engine.holds_layers(first, end):
                return address
        return None

    def holds_layers(self, first: int, end: int) -> bool:
        """Return whether this engine runs and holds a range of layers."""
        incarnation = self._incarnation
        if incarnation is None or incarnation.layers is None:
            return False
        return incarnation.layers[0] <= first < end <= incarnation.layers[1]

    def _notice_headers(self) -> _Headers:
        """Return what all answers say of the engine."""
        headers: _Headers = ()
        if self._request_limit is not None:
            headers = ((b"Server-Limit", b"%.1f" % self._request_limit),)
        if self._incarnation is not None and self._incarnation.is_draining:
            headers += ((b"Server-Leaving", b"1"),)
        return headers

    def _head(self, run: _record.EngineRun) -> web.AnswerHead:
        headers = (
            (b"X-Request-Id", run.request_id.encode()),
            (b"X-Response-Seal", run.seal.encode()),
            *self._notice_headers(),
        )
        return web.AnswerHead(run.status, headers)

    async def _answer(
        self, exchange: web.Exchange, status: int, body: dict[str, typing.Any]
    ) -> None:
        head = web.AnswerHead(status, self._notice_headers())
        await exchange.answer(head, json.dumps(body).encode())

    async def _reject(
        self, exchange: web.Exchange, status: int, faulty_address: str | None
    ) -> None:
        request_id = exchange.request.find_header(b"x-request-id") or b""
        now = trio.current_time()
        self._record.rejections.append((request_id.decode(), now))
        headers = [
            (b"X-Not-Executed", b"1"),
            (b"X-Request-Id", request_id),
            *self._notice_headers(),
        ]
        if faulty_address is not None:
            headers.append((b"At-Server", faulty_address.encode()))
        await exchange.answer(web.AnswerHead(status, tuple(headers)), b"")


_SEQUENCES = itertools.count(1)


async def _load_layers(
    incarnation: _Incarnation, layers: tuple[int, int]
) -> None:
    await trio.sleep(_LAYER_LOAD_SECONDS)
    incarnation.layers = layers
    incarnation.is_busy = False


def _layers_document(
    layers: tuple[int, int] | None,
) -> dict[str, int] | None:
    if layers is None:
        return None
    return {"from": layers[0], "to": layers[1]}


def _parse_path(text: str) -> list[tuple[str, int, int]]:
    stages: list[tuple[str, int, int]] = []
    for part in text.split(",") if text else ():
        address, _, layers = part.partition("=")
        first, _, end = layers.partition("-")
        stages.append((address, int(first), int(end)))
    return stages


def _find_path_fault(
    path: list[tuple[str, int, int]], own_address: str
) -> str:
    """Describe the fault in a path; empty if it is valid."""
    bounds = [0, *(end for _, _, end in path)]
    firsts = [first for _, first, _ in path]
    if not path or path[0][0] != own_address:
        return f"a path that doesn't start at {own_address}: {path}"
    if firsts != bounds[:-1] or bounds[-1] != LAYERS:
        return f"a path that skips or repeats layers: {path}"
    return ""


def _make_run(
    request: web.Request, incarnation: _Incarnation, now: float, fault: str
) -> _record.EngineRun:
    def header_text(name: bytes) -> str:
        return (request.find_header(name) or b"").decode()

    time_left = header_text(b"x-deadline-ms")
    return _record.EngineRun(
        request_id=header_text(b"x-request-id"),
        endpoint_id=incarnation.endpoint_id,
        method=request.method.decode(),
        target=request.target.decode(),
        body=request.body,
        customer=header_text(b"x-tenant"),
        at=now,
        time_left_ms=int(time_left) if time_left else None,
        resume_after=int(header_text(b"last-event-id") or 0),
        status=200,
        answer=b"",
        seal="",
        pipeline_fault=fault,
    )
