"""Stand-in engines that keep a true record of what they ran."""

import dataclasses
import itertools
import json
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
HEARTBEAT_SECONDS = 0.6
_LOAD_SECONDS = 0.3
_EVENT_SECONDS = 0.03
_PLAIN_SECONDS = 0.03
# How long work waits for an engine that is dead before it is cut off.
_STALL_SECONDS = 1.0
# An engine that leaves serves on for this long after ``drainMs``.
_LINGER_SECONDS = 0.5
_REUSE_SECONDS = 2.0

_Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(slots=True)
class _Life:
    """One start of an engine."""

    endpoint_id: str
    born_ms: int
    layers: tuple[int, int] | None = None
    order_count: int = 0
    fence: int = 0
    is_busy: bool = False
    is_draining: bool = False
    # Requests that wait for another engine, and its address.
    stalled: dict[str, str] = dataclasses.field(default_factory=dict)
    paths: dict[str, list[tuple[str, int, int]]] = dataclasses.field(
        default_factory=dict
    )


class Engine(web.Handler):
    """One engine, over all its starts."""

    def __init__(
        self,
        number: int,
        service: str,
        places: _addresses.Addresses,
        record: _record.Record,
        others: dict[str, "Engine"],
        rng: random.Random,
    ) -> None:
        self.address = places.engine(number)
        self._behind = places.pairs()[f"engine-{number} work"][1]
        self._zone = places.zone(number)
        self._calls = places.calls()
        self._number = number
        self._service = service
        self._record = record
        self._others = others
        self._rng = rng
        self._boots = itertools.count(1)
        self._seals = itertools.count(1)
        self._life: _Life | None = None
        self._scope = trio.CancelScope()
        self.slowness = 1.0
        self.failing_share = 0.0
        others[self.address] = self

    async def live(self) -> None:
        """Start again and again until cancelled."""
        while True:
            boot = next(self._boots)
            born_ms = time.time_ns() // 1_000_000
            life = _Life(f"e{self._number}-{boot}", born_ms)
            self._life = life
            with trio.CancelScope() as self._scope:
                async with trio.open_nursery() as nursery:
                    server = web.Server(self)
                    await nursery.start(server.serve, self._behind)
                    nursery.start_soon(self._check_in, life)
            self._life = None
            await trio.sleep(_REUSE_SECONDS)

    def crash(self) -> None:
        """Cut everything off; the next start follows after a while."""
        self._scope.cancel()

    async def leave(self) -> None:
        """Leave as announced: drain, say farewell, and end."""
        life = self._life
        if life is None or life.is_draining:
            return
        life.is_draining = True
        if await self._tell(life, next(_SEQUENCES)):
            self._record.leaving[life.endpoint_id] = trio.current_time()
        await trio.sleep(_invariants.DRAIN_SECONDS + _LINGER_SECONDS)
        path = f"/v1/instances/{life.endpoint_id}"
        await self._call(b"DELETE", path, {})
        if self._life is life:
            self._scope.cancel()

    # What control VMs are told.

    async def _check_in(self, life: _Life) -> None:
        while True:
            await self._tell(life, next(_SEQUENCES))
            await trio.sleep(HEARTBEAT_SECONDS)

    async def _tell(self, life: _Life, sequence: int) -> bool:
        body: dict[str, typing.Any] = {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "state": "draining" if life.is_draining else "ready",
            "born": life.born_ms,
            "sequence": sequence,
            "slots": 96,
        }
        if self._service == MODEL_SERVICE:
            body["kind"] = "card"
            body["layers"] = _layers_document(life.layers)
        path = f"/v1/instances/{life.endpoint_id}"
        return await self._call(b"PUT", path, body)

    async def _call(
        self, method: bytes, path: str, body: dict[str, typing.Any]
    ) -> bool:
        """Call one control VM after the other until one answers."""
        for address in self._rng.sample(self._calls, len(self._calls)):
            headers = ((b"Host", address.encode()),)
            request = web.Request(
                method, path.encode(), headers, json.dumps(body).encode()
            )
            asked = await web.send_request(address, request, 1.0)
            if asked.is_ok() and asked.unwrap()[0].status == 200:
                return True
        return False

    # What entries and control VMs ask.

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer to a request that could not be read."""
        return web.AnswerHead(400), b""

    def limits(self) -> web.ServerLimits:
        """Return generous limits."""
        return web.ServerLimits(65_536, 1_048_576, 5.0, 30.0)

    async def handle(self, exchange: web.Exchange) -> None:
        """Answer a report, an order or a request."""
        life = self._life
        if life is None:
            return
        request = exchange.request
        if request.target == b"/v1/report":
            await _answer(exchange, 200, self._report(life))
            return
        expected = request.find_header(b"x-expect-instance")
        if expected not in (None, life.endpoint_id.encode()):
            await self._turn_away(exchange, 421, None)
        elif request.target == b"/v1/order":
            status, body = self._order(life, json.loads(request.body))
            await _answer(exchange, status, body)
        else:
            await self._work(exchange, life)

    def _report(self, life: _Life) -> dict[str, typing.Any]:
        return {
            "sequence": life.order_count,
            "busy": life.is_busy,
            "born": life.born_ms,
            "layers": _layers_document(life.layers),
            "stalled": [
                {"id": request_id, "address": address}
                for request_id, address in life.stalled.items()
            ],
        }

    def _order(
        self, life: _Life, order: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        if order["op"] == "repath":
            return self._repath(life, order)
        if order["fence"] < life.fence:
            return 412, {}
        life.fence = order["fence"]
        if life.is_busy or order["precondition"] != life.order_count:
            return 409, {}
        wanted = (order["from"], order["to"])
        if wanted == life.layers:
            return 200, {}
        if (wanted[1] - wanted[0]) * LAYER_MEGABYTES > MEMORY_MEGABYTES:
            self._record.overfull.append(f"{life.endpoint_id}: {wanted}")
        life.order_count += 1
        life.is_busy = True
        trio.lowlevel.spawn_system_task(_load, life, wanted)
        return 202, {}

    def _repath(
        self, life: _Life, order: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        if order["id"] not in life.paths:
            return 404, {}
        path = _path(order["path"])
        missing = self._missing(path)
        if missing is not None:
            return 409, {"address": missing}
        life.paths[order["id"]] = path
        return 200, {}

    async def _work(self, exchange: web.Exchange, life: _Life) -> None:
        request = exchange.request
        path: list[tuple[str, int, int]] = []
        fault = ""
        if self._service == MODEL_SERVICE:
            path = _path((request.find_header(b"x-hop-count") or b"").decode())
            fault = _path_fault(path, self.address)
            missing = self._missing(path)
            if not fault and missing is not None:
                await self._turn_away(exchange, 503, missing)
                return
        run = _run_of(request, life, trio.current_time(), fault)
        self._record.runs.append(run)
        run.seal = f"{life.endpoint_id}.{next(self._seals)}"
        if self._rng.random() < self.failing_share:
            run.status = 500
            run.answer = b"failed"
            await exchange.answer(_head(run), run.answer)
            return
        if not request.target.startswith(b"/draft/"):
            await trio.sleep(_PLAIN_SECONDS * self.slowness)
            run.answer = f"{run.request_id} by {run.seal}".encode()
            await exchange.answer(_head(run), run.answer)
            return
        life.paths[run.request_id] = path
        try:
            await self._stream(exchange, life, run)
        finally:
            life.paths.pop(run.request_id, None)
            life.stalled.pop(run.request_id, None)

    async def _stream(
        self, exchange: web.Exchange, life: _Life, run: _record.Run
    ) -> None:
        last = int(run.target.rsplit("/", 1)[1])
        await exchange.start(_head(run))
        for number in range(run.resume_after + 1, last + 1):
            await trio.sleep(_EVENT_SECONDS * self.slowness)
            if not await self._is_whole(life, run.request_id):
                return
            data = _invariants.event_data(run.request_id, number)
            await exchange.send(b"id: %d\ndata: %s\n\n" % (number, data))
        await exchange.finish()

    async def _is_whole(self, life: _Life, request_id: str) -> bool:
        """Wait for the engines of a request's path; return if all work."""
        with trio.move_on_after(_STALL_SECONDS):
            while True:
                missing = self._missing(life.paths[request_id])
                if missing is None:
                    life.stalled.pop(request_id, None)
                    return True
                life.stalled[request_id] = missing
                await trio.sleep(_EVENT_SECONDS)
        return False

    def _missing(self, path: list[tuple[str, int, int]]) -> str | None:
        """Return the address of an engine that cannot do its part."""
        for address, first, end in path:
            other = self._others.get(address)
            if other is None or not other.holds(first, end):
                return address
        return None

    def holds(self, first: int, end: int) -> bool:
        """Tell whether this engine runs and holds layers."""
        life = self._life
        if life is None or life.layers is None:
            return False
        return life.layers[0] <= first < end <= life.layers[1]

    async def _turn_away(
        self, exchange: web.Exchange, status: int, at_fault: str | None
    ) -> None:
        request_id = exchange.request.find_header(b"x-request-id") or b""
        now = trio.current_time()
        self._record.turned_away.append((request_id.decode(), now))
        headers = [(b"X-Not-Executed", b"1"), (b"X-Request-Id", request_id)]
        if at_fault is not None:
            headers.append((b"At-Server", at_fault.encode()))
        await exchange.answer(web.AnswerHead(status, tuple(headers)), b"")


_SEQUENCES = itertools.count(1)


async def _load(life: _Life, wanted: tuple[int, int]) -> None:
    await trio.sleep(_LOAD_SECONDS)
    life.layers = wanted
    life.is_busy = False


async def _answer(
    exchange: web.Exchange, status: int, body: dict[str, typing.Any]
) -> None:
    await exchange.answer(web.AnswerHead(status), json.dumps(body).encode())


def _head(run: _record.Run) -> web.AnswerHead:
    headers: _Headers = (
        (b"X-Request-Id", run.request_id.encode()),
        (b"X-Response-Seal", run.seal.encode()),
    )
    return web.AnswerHead(run.status, headers)


def _layers_document(
    layers: tuple[int, int] | None,
) -> dict[str, int] | None:
    if layers is None:
        return None
    return {"from": layers[0], "to": layers[1]}


def _path(text: str) -> list[tuple[str, int, int]]:
    found: list[tuple[str, int, int]] = []
    for part in text.split(",") if text else ():
        address, _, layers = part.partition("=")
        first, _, end = layers.partition("-")
        found.append((address, int(first), int(end)))
    return found


def _path_fault(path: list[tuple[str, int, int]], own: str) -> str:
    """Return what is wrong with a path, if anything."""
    bounds = [0, *(end for _, _, end in path)]
    firsts = [first for _, first, _ in path]
    if not path or path[0][0] != own:
        return f"a path that begins elsewhere: {path}"
    if firsts != bounds[:-1] or bounds[-1] != LAYERS:
        return f"a path that skips or repeats layers: {path}"
    return ""


def _run_of(
    request: web.Request, life: _Life, now: float, fault: str
) -> _record.Run:
    def text(name: bytes) -> str:
        return (request.find_header(name) or b"").decode()

    left = text(b"x-deadline-ms")
    return _record.Run(
        request_id=text(b"x-request-id"),
        endpoint_id=life.endpoint_id,
        method=request.method.decode(),
        target=request.target.decode(),
        body=request.body,
        customer=text(b"x-tenant"),
        at=now,
        time_left_ms=int(left) if left else None,
        resume_after=int(text(b"last-event-id") or 0),
        status=200,
        answer=b"",
        seal="",
        pipeline_fault=fault,
    )
