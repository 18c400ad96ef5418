"""Accepts connections and serves each of them with hypercorn."""

import contextlib
import functools
import ssl
import typing

import h11
import hypercorn.config
import hypercorn.events
import hypercorn.protocol.h2
import hypercorn.trio.tcp_server
import hypercorn.trio.worker_context
import hypercorn.typing
import hypercorn.utils
import trio

from sedgepin._http import _arrivals
from sedgepin._http import _caller_stream
from sedgepin import _memory as memory
from sedgepin import _sockets as sockets
from sedgepin import containment

# Of the stream in the state of a request's scope.
STREAM_KEY = "sedgepin.stream"
# Empty lines may follow a body and belong to no request.
_LINE_END = b"\r\n"
_READ_BYTES = 65_536


class _ConnectionServer(hypercorn.trio.tcp_server.TCPServer):
    """Ends the sends of HTTP/2 streams whose caller has gone.

    hypercorn wakes no send that waits for the flow-control window of a stream
    that was reset, or of a connection that was lost.
    """

    async def _read_data(self) -> None:
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            data = None
            while data != b"":
                data = bytes(await self.stream.receive_some(_READ_BYTES))
                await self.protocol.handle(hypercorn.events.RawData(data))
                await self._end_lost_sends()
        await self.protocol.handle(hypercorn.events.Closed())
        await self._end_lost_sends()
        # It would keep a connection that has ended for up to 30 s.
        await self.idle_task.stop()

    async def _end_lost_sends(self) -> None:
        protocol = self.protocol.protocol
        if not isinstance(protocol, hypercorn.protocol.h2.H2Protocol):
            return
        if protocol.closed:
            # A closed buffer counts as sent: a caller that has only stopped
            # sending must not get the end of a response that was cut.
            protocol.connection.close_connection()
        for number, buffer in tuple(protocol.stream_buffers.items()):
            stream = protocol.connection.streams.get(number)
            if protocol.closed or stream is None or stream.closed:
                await buffer.close()


async def serve(
    app: hypercorn.typing.ASGIFramework,
    cfg: hypercorn.config.Config,
    stop: trio.Event,
    arrivals: _arrivals.Arrivals,
    budget: memory.MemoryBudget | None,
) -> None:
    """Serve connections until ``stop``, then those that are open.

    After ``stop`` they have ``cfg.graceful_timeout`` seconds to end.
    ``arrivals`` is told of the connections, and how to accept those that wait.

    ``hypercorn.trio.serve`` passes an exception of its protocols on, which
    ends the process: HTTP/2 has several that any caller can raise, such as
    data of a stream that was answered.  Here it ends its connection.
    """
    wrapped = hypercorn.utils.wrap_app(app, cfg.wsgi_max_body_size, "asgi")
    context = hypercorn.trio.worker_context.WorkerContext(None)
    tls = cfg.create_ssl_context()
    listeners = _listeners(cfg)

    async def serve_connection(socket_stream: trio.SocketStream) -> None:
        with (
            containment.contain("connection"),
            trio.CancelScope() as scope,
            _caller_stream.CallerStream(
                socket_stream, budget, scope.cancel
            ) as stream,
        ):
            # It names the stream for the requests on it.
            state = hypercorn.typing.LifespanState({STREAM_KEY: stream})
            arrivals.add_stream(stream)
            server = _ConnectionServer(
                wrapped,
                cfg,
                context,
                hypercorn.typing.ConnectionState(state),
                _with_tls(stream, tls),
            )
            stream.has_next_request = functools.partial(
                _has_next_request, server, stream
            )
            try:
                await server
            finally:
                arrivals.remove_stream(stream)

    async def serve_and_close(accepted: trio.SocketStream) -> None:
        try:
            await serve_connection(accepted)
        finally:
            await trio.aclose_forcefully(accepted)

    def accept_waiting_callers() -> None:
        for listener in listeners:
            # Listeners are closed before the connections end.
            if listener.socket.fileno() < 0:
                continue
            for sock in sockets.accept_waiting(listener, cfg.backlog):
                accepted = trio.SocketStream(
                    trio.socket.from_stdlib_socket(sock)
                )
                connections.start_soon(serve_and_close, accepted)

    arrivals.set_accept(accept_waiting_callers)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    serve_connection,
                    listeners,
                    handler_nursery=connections,
                )
            )
            await stop.wait()
            # The kernel resets what waits at a listener that is closed.
            accept_waiting_callers()
            accepting.cancel_scope.cancel()
        # hypercorn closes connections without an open request next.
        await arrivals.take_in()
        await context.terminated.set()
        deadline = trio.current_time() + cfg.graceful_timeout
        connections.cancel_scope.deadline = deadline


def _has_next_request(
    server: hypercorn.trio.tcp_server.TCPServer,
    stream: _caller_stream.CallerStream,
) -> bool:
    """Return whether bytes have come after the request that is answered.

    Over HTTP/2 requests do not wait behind each other.
    """
    protocol = server.protocol.protocol
    connection = getattr(protocol, "connection", None)
    if not isinstance(connection, h11.Connection):
        return False
    if connection.their_state is not h11.DONE:
        return False
    kept = connection.trailing_data[0].lstrip(_LINE_END)
    return bool(kept) or stream.unread_bytes > 0


def _with_tls(
    stream: _caller_stream.CallerStream, tls: ssl.SSLContext | None
) -> typing.Any:
    if tls is None:
        return stream
    return trio.SSLStream(stream, tls, server_side=True, https_compatible=True)


def _listeners(cfg: hypercorn.config.Config) -> list[trio.SocketListener]:
    created = cfg.create_sockets()
    listeners = []
    for sock in (*created.secure_sockets, *created.insecure_sockets):
        sock.listen(cfg.backlog)
        own_socket = trio.socket.from_stdlib_socket(sock)
        listeners.append(trio.SocketListener(own_socket))
    return listeners
