"""Engines of a model, each of which can hold all of its layers."""

import asyncio
import json

from stand_ins import engines
from stand_ins import http1
from stand_ins import world as worlds

LAYERS = 8
KIND = "card"
EVENTS = 40
_PAUSE_S = 0.1
_LOAD_S = 0.3
# What the manifest says of the service.
PROFILE = {
    "slots": 96,
    "kvCapacityTokens": 50000,
    "kvTokenBytes": 1000,
    "linkMbps": 400000.0,
    "stride": 4,
    "models": [{"name": "daka", "pace": 1.0, "loadS": _LOAD_S, "warmS": 0.1}],
    "step_ms": 1.02,
    "per_seq_ms": 0.00918,
    "context_per_k": 0.0123,
    "read_per_s": 164000.0,
    "pairs_per_m": 0.199,
    "chunk": 512,
    "report_lag_ms": 0.0,
    "loadsPerS": 0.0,
    "loads_at_once": 6,
    "delays": [],
    "usual": {"prompt": 100, "answer": 100},
    "layers": LAYERS,
    "layerMb": 10.0,
    "activationBytes": 1000,
    "pipeMbps": 16000.0,
    "kinds": [{"name": KIND, "mb": 1000.0, "pace": 1.0, "readX": 1.0}],
}


class ModelEngine(engines.Engine):
    """A sound engine that streams events, and takes orders."""

    def __init__(
        self,
        world: worlds.World,
        number: int,
        service: str,
        engine_id: str | None = None,
    ) -> None:
        super().__init__(world, number, service, work_s=0.0)
        if engine_id is not None:
            self.engine_id = engine_id
        self._layers: dict[str, int] | None = None
        self._orders = 0
        self._fence = 0
        self._is_busy = False
        self.is_draining = False
        # Requests whose channel ended before their last event was sent.
        self.broken_off: list[str] = []

    @property
    def holds_all(self) -> bool:
        """Return whether all layers are loaded."""
        return self._layers == {"from": 0, "to": LAYERS}

    def check_in_body(self) -> dict[str, object]:
        """Return the body of the next check-in."""
        body = super().check_in_body()
        body["state"] = "draining" if self.is_draining else "ready"
        body["kind"] = KIND
        if self._layers is not None:
            body["layers"] = self._layers
        return body

    async def drain(self) -> None:
        """Report ``draining`` until it is confirmed."""
        self.is_draining = True
        self._has_left = True
        while not await engines.check_in(
            self._world, self.engine_id, self.check_in_body()
        ):
            await asyncio.sleep(0.2)
        self._world.record.add(f"{self.engine_id} drains, confirmed")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            request = await http1.read_message(reader)
            if request.target == "/v1/report":
                writer.write(_json(200, self._report()))
            elif request.target == "/v1/order":
                order = json.loads(request.body)
                writer.write(_json(*self._take_order(order)))
            else:
                await self._stream(request, writer)
            await writer.drain()
        except (http1.Broken, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _report(self) -> dict[str, object]:
        report: dict[str, object] = {
            "stage": "unified",
            "models": [],
            "busy": self._is_busy,
            "sequence": self._orders,
            "waiting": 0,
            "running": len(self._current),
            "kvUsed": 0,
            "kvTotal": 50000,
            "handles": 0,
            "pace": 1.0,
            "born": self._born,
            "stalled": [],
        }
        if self._layers is not None:
            report["layers"] = self._layers
        return report

    def _take_order(
        self, order: dict[str, object]
    ) -> tuple[int, dict[str, object]]:
        if order["op"] != "place":
            return 404, {}
        fence = int(str(order.get("fence", 0)))
        if fence < self._fence:
            return 412, {}
        self._fence = fence
        layers = {
            "from": int(str(order["from"])),
            "to": int(str(order["to"])),
        }
        if layers == self._layers:
            return 200, {}
        if self._is_busy or order.get("precondition") != self._orders:
            return 409, {}
        self._orders += 1
        self._is_busy = True
        self._world.spawn(self._load(layers))
        return 202, {}

    async def _load(self, layers: dict[str, int]) -> None:
        await asyncio.sleep(_LOAD_S)
        self._layers = layers
        self._is_busy = False

    async def _stream(
        self, request: http1.Message, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id}
        expected = request.headers.get("x-expect-instance")
        path = request.headers.get("x-hop-count", "")
        if expected not in (None, self.engine_id) or not self.holds_all:
            headers["X-Not-Executed"] = "1"
            writer.write(http1.encode("HTTP/1.1 421 No", headers, b""))
            return
        if path not in ("", f"{self.address}=0-{LAYERS}"):
            headers["X-Not-Executed"] = "1"
            writer.write(http1.encode("HTTP/1.1 503 No", headers, b""))
            return
        run = engines.Run(
            request_id,
            self.engine_id,
            request.method,
            request.headers.get("x-tenant", ""),
            self._world.record.now,
        )
        self.runs.append(run)
        self._current[request_id] = run
        record = self._world.record
        record.add(f"{self.engine_id} at {self.address} runs {request_id}")
        headers["X-Response-Seal"] = f"{self.engine_id}.{next(self._seals)}"
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        try:
            writer.write(http1.encode("HTTP/1.1 200 OK", headers, None))
            for number in range(1, EVENTS + 1):
                await asyncio.sleep(_PAUSE_S)
                if writer.is_closing():
                    raise http1.Broken("closed")
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        except (http1.Broken, OSError):
            self.broken_off.append(request_id)
            record.add(f"{self.engine_id}: {request_id} was broken off")
        finally:
            self._current.pop(request_id, None)


def _json(status: int, body: dict[str, object]) -> bytes:
    headers = {"Content-Type": "application/json"}
    encoded = json.dumps(body).encode()
    return http1.encode(f"HTTP/1.1 {status} Done", headers, encoded)
