"""Serving HTTP through hypercorn, and leaving without cutting anyone off."""

import abc
import typing

import hypercorn.config
import hypercorn.trio
import trio

from sedgepin._http import _failures
from sedgepin._http import _messages
from sedgepin import settings

_BACKLOG_CONNECTIONS = 1024
# Everything in flight has ended before the server is told to stop; this is
# only for the last bytes on their way out.
_LAST_BYTES_SECONDS = 3.0
_KEEP_ALIVE_SECONDS = 30.0
_HEADER_LIMIT_BYTES = 16_384


class HttpServer(abc.ABC):
    """An HTTP server that knows how many requests are open."""

    __slots__ = (
        "_draining",
        "_header_limit_bytes",
        "_idle",
        "_open",
        "_stop",
    )

    def __init__(self) -> None:
        self._open = 0
        self._header_limit_bytes = _HEADER_LIMIT_BYTES
        self._draining = False
        self._idle = trio.Event()
        self._stop = trio.Event()

    @abc.abstractmethod
    async def answer(self, request: _messages.Request) -> None:
        """Answer one request whole."""

    @property
    def open_requests(self) -> int:
        """Return how many requests are being answered."""
        return self._open

    def start_draining(self) -> None:
        """Ask callers to open no further requests on their connections."""
        self._draining = True

    async def wait_idle(self) -> None:
        """Return once no request is being answered."""
        while self._open:
            self._idle = trio.Event()
            await self._idle.wait()

    async def finish_draining(self) -> None:
        """Wait until nothing is in flight, then let ``serve`` return."""
        await self.wait_idle()
        self._stop.set()

    async def serve(
        self,
        listen: str,
        tls: settings.CallerTls | None,
        header_limit_bytes: int,
    ) -> None:
        """Serve on ``listen`` until drained."""
        cfg = hypercorn.config.Config()
        cfg.bind = [listen]
        cfg.accesslog = None
        cfg.errorlog = None
        cfg.include_server_header = False
        cfg.backlog = _BACKLOG_CONNECTIONS
        cfg.graceful_timeout = _LAST_BYTES_SECONDS
        cfg.keep_alive_timeout = _KEEP_ALIVE_SECONDS
        # Heads far over the limit are cut off by the library, which knows no
        # problem documents.
        self._header_limit_bytes = header_limit_bytes
        cfg.h11_max_incomplete_size = 4 * header_limit_bytes
        if tls is not None:
            cfg.certfile = tls.certificate
            cfg.keyfile = tls.key
        app = typing.cast(typing.Any, self._app)
        await hypercorn.trio.serve(app, cfg, shutdown_trigger=self._stop.wait)

    async def _app(
        self,
        scope: _messages.Scope,
        receive: _messages.Receive,
        send: _messages.Send,
    ) -> None:
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        closing_send = self._closing(send)
        request = _messages.Request.from_scope(scope, receive, closing_send)
        self._open += 1
        try:
            if _header_bytes(request) > self._header_limit_bytes:
                refusal = _failures.HeadersTooLarge(self._header_limit_bytes)
                await _messages.send_problem(request, refusal)
                return
            await self.answer(request)
        finally:
            self._open -= 1
            if not self._open:
                self._idle.set()

    def _closing(self, send: _messages.Send) -> _messages.Send:
        """Return ``send`` with ``Connection: close`` added while draining."""

        async def send_closing(message: typing.Any) -> None:
            if self._draining and message["type"] == "http.response.start":
                close = (b"connection", b"close")
                message["headers"] = [*message["headers"], close]
            await send(message)

        return send_closing


def _header_bytes(request: _messages.Request) -> int:
    """Return the size of all header fields, and of path and query."""
    fields = sum(
        len(field.name) + len(field.value) for field in request.headers
    )
    return fields + len(request.path) + len(request.query)


async def _serve_lifespan(
    receive: _messages.Receive, send: _messages.Send
) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
