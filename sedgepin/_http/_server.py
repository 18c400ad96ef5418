"""An HTTP server on hypercorn that drains open requests before it stops."""

import abc
import typing

import hypercorn.config
import trio

from sedgepin._http import _connections
from sedgepin._http import _failures
from sedgepin._http import _messages
from sedgepin import settings

_BACKLOG_CONNECTIONS = 1024
# No request is open when hypercorn shuts down.  This is the time to send the
# last bytes that are still buffered.
_SHUTDOWN_TIMEOUT_SECONDS = 3.0
_KEEP_ALIVE_SECONDS = 30.0
_DEFAULT_HEADER_LIMIT_BYTES = 16_384


class HttpServer(abc.ABC):
    """Base of an HTTP server that counts its open requests.

    To stop it, call ``start_draining``, ``start_refusing`` if new requests are
    refused then, and ``finish_draining``.
    """

    __slots__ = (
        "_draining",
        "_header_limit_bytes",
        "_idle",
        "_is_refusing",
        "_open_count",
        "_stop",
    )

    def __init__(self) -> None:
        self._open_count = 0
        self._header_limit_bytes = _DEFAULT_HEADER_LIMIT_BYTES
        self._draining = False
        self._is_refusing = False
        self._idle = trio.Event()
        self._stop = trio.Event()

    @abc.abstractmethod
    async def answer(self, request: _messages.Request) -> None:
        """Send the complete answer to one request."""

    @property
    def open_requests(self) -> int:
        """Return how many requests are being answered."""
        return self._open_count

    def start_draining(self) -> None:
        """Add ``Connection: close`` to each answer from now on."""
        self._draining = True

    def start_refusing(self) -> None:
        """Wait for no request that begins from now on.

        All of them must be refused at once.  Callers may send them without a
        pause, so that some are always open.
        """
        self._is_refusing = True

    async def wait_idle(self) -> None:
        """Wait until no request is being answered.

        Those that began after ``start_refusing`` do not count.
        """
        while self._open_count:
            self._idle = trio.Event()
            await self._idle.wait()

    async def finish_draining(self) -> None:
        """Wait until no request is open, then let ``serve`` return."""
        await self.wait_idle()
        self._stop.set()

    async def serve(
        self,
        listen: str,
        tls: settings.CallerTls | None,
        header_limit_bytes: int,
    ) -> None:
        """Serve on the address ``listen`` until drained."""
        cfg = hypercorn.config.Config()
        cfg.bind = [listen]
        cfg.accesslog = None
        cfg.errorlog = None
        cfg.include_server_header = False
        cfg.backlog = _BACKLOG_CONNECTIONS
        cfg.graceful_timeout = _SHUTDOWN_TIMEOUT_SECONDS
        cfg.keep_alive_timeout = _KEEP_ALIVE_SECONDS
        # Heads slightly over the limit get a problem document from ``_app``.
        # The library refuses only those far over it, without such a document.
        self._header_limit_bytes = header_limit_bytes
        cfg.h11_max_incomplete_size = 4 * header_limit_bytes
        if tls is not None:
            cfg.certfile = tls.certificate
            cfg.keyfile = tls.key
        app = typing.cast(typing.Any, self._app)
        await _connections.serve(app, cfg, self._stop)

    async def _app(
        self,
        scope: _messages.Scope,
        receive: _messages.Receive,
        send: _messages.Send,
    ) -> None:
        if scope["type"] != "http":
            return
        wrapped_send = self._with_connection_close(send)
        request = _messages.Request.from_scope(scope, receive, wrapped_send)
        if self._is_refusing:
            await self._answer_within_limit(request)
            return
        self._open_count += 1
        try:
            await self._answer_within_limit(request)
        finally:
            self._open_count -= 1
            if not self._open_count:
                self._idle.set()

    async def _answer_within_limit(self, request: _messages.Request) -> None:
        if _header_bytes(request) > self._header_limit_bytes:
            refusal = _failures.HeadersTooLarge(self._header_limit_bytes)
            await _messages.send_problem(request, refusal)
            return
        await self.answer(request)

    def _with_connection_close(self, send: _messages.Send) -> _messages.Send:
        """Wrap ``send`` to add ``Connection: close`` while draining."""

        async def send_with_connection_close(message: typing.Any) -> None:
            if self._draining and message["type"] == "http.response.start":
                close = (b"connection", b"close")
                message["headers"] = [*message["headers"], close]
            await send(message)

        return send_with_connection_close


def _header_bytes(request: _messages.Request) -> int:
    """Return the total size of all header fields, the path and the query."""
    fields = sum(
        len(field.name) + len(field.value) for field in request.headers
    )
    return fields + len(request.path) + len(request.query)
