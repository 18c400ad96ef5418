"""An HTTP server on hypercorn that drains open requests before it stops."""

import abc
import contextlib
import typing

import hypercorn.config
import trio

from sedgepin._http import _arrivals
from sedgepin._http import _caller_stream
from sedgepin._http import _connections
from sedgepin._http import _failures
from sedgepin._http import _holder
from sedgepin._http import _intake
from sedgepin._http import _messages
from sedgepin import _memory as memory
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
    refused then, with ``take_in`` before, and ``finish_draining``.  ``budget``
    bounds what is held for callers.
    """

    __slots__ = (
        "_arrivals",
        "_budget",
        "_draining",
        "_header_limit_bytes",
        "_idle",
        "_is_refusing",
        "_open_count",
        "_stop",
    )

    def __init__(self, budget: memory.MemoryBudget | None = None) -> None:
        self._arrivals = _arrivals.Arrivals()
        self._budget = budget
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

    async def take_in(self) -> None:
        """Return once the requests that have come by now are being answered.

        A process that did not run for a while has not read them yet.
        """
        await self._arrivals.take_in()

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
        await _connections.serve(
            app, cfg, self._stop, self._arrivals, self._budget
        )

    async def _app(
        self,
        scope: _messages.Scope,
        receive: _messages.Receive,
        send: _messages.Send,
    ) -> None:
        if scope["type"] != "http":
            return
        head_bytes = _header_bytes(scope)
        holder = _holder.RequestHolder(self._budget, head_bytes)
        intake = _intake.BodyIntake(receive)
        is_http2 = scope.get("http_version") == "2"
        stream = scope.get("state", {}).get(_connections.STREAM_KEY)
        request = _messages.Request.from_scope(
            scope,
            intake.receive,
            self._wrap_send(
                send, holder, intake if is_http2 else None, stream
            ),
            holder,
        )
        if stream is not None:
            holder.follow(stream)
        if self._is_refusing:
            with contextlib.closing(holder):
                await self._answer_within_limit(request, head_bytes)
            return
        self._open_count += 1
        try:
            await self._answer_within_limit(request, head_bytes)
        finally:
            holder.close()
            self._open_count -= 1
            if not self._open_count:
                self._idle.set()

    async def _answer_within_limit(
        self, request: _messages.Request, head_bytes: int
    ) -> None:
        if head_bytes > self._header_limit_bytes:
            refusal = _failures.HeadersTooLarge(self._header_limit_bytes)
            await _messages.send_problem(request, refusal)
            return
        await self.answer(request)

    def _wrap_send(
        self,
        send: _messages.Send,
        holder: _holder.RequestHolder,
        intake: _intake.BodyIntake | None,
        stream: _caller_stream.CallerStream | None,
    ) -> _messages.Send:
        """Wrap ``send`` to add ``Connection: close`` while draining.

        Not while the next request waits already: it is owed an answer.
        Over HTTP/2, which has ``intake``, an answer ends only after the rest
        of the body was read: hypercorn fails on data of an answered stream,
        and with it all streams beside it.
        """

        async def wrapped_send(message: typing.Any) -> None:
            if message["type"] == "http.response.start":
                holder.has_started_answer = True
                has_next = stream is not None and stream.has_next_request()
                if self._draining and not has_next:
                    close = (b"connection", b"close")
                    message["headers"] = [*message["headers"], close]
            elif not message.get("more_body", False):
                holder.has_finished_answer = True
                if intake is not None and not intake.is_complete:
                    await send({**message, "more_body": True})
                    await intake.discard()
                    message = {"type": message["type"]}
            await send(message)

        return wrapped_send


def _header_bytes(scope: _messages.Scope) -> int:
    """Return the total size of all header fields, the path and the query."""
    fields = sum(len(name) + len(value) for name, value in scope["headers"])
    query = scope.get("query_string", b"")
    return fields + len(scope["path"]) + len(query)
