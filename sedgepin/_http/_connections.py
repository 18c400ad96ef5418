"""Accepts connections and serves each of them with hypercorn."""

import functools
import typing

import hypercorn.config
import hypercorn.trio.tcp_server
import hypercorn.trio.worker_context
import hypercorn.typing
import hypercorn.utils
import trio

from sedgepin import containment


async def serve(
    app: hypercorn.typing.ASGIFramework,
    cfg: hypercorn.config.Config,
    stop: trio.Event,
) -> None:
    """Serve connections until ``stop``, then those that are open.

    After ``stop`` they have ``cfg.graceful_timeout`` seconds to end.

    ``hypercorn.trio.serve`` passes an exception of its protocols on, which
    ends the process: HTTP/2 has several that any caller can raise, such as
    data of a stream that was answered.  Here it ends its connection.
    """
    wrapped = hypercorn.utils.wrap_app(app, cfg.wsgi_max_body_size, "asgi")
    context = hypercorn.trio.worker_context.WorkerContext(None)
    state = hypercorn.typing.ConnectionState(hypercorn.typing.LifespanState())

    async def serve_connection(
        stream: "trio.SSLStream[trio.SocketStream]",
    ) -> None:
        with containment.contain("connection"):
            await hypercorn.trio.tcp_server.TCPServer(
                wrapped, cfg, context, state, stream
            )

    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    serve_connection,
                    _listeners(cfg),
                    handler_nursery=connections,
                )
            )
            await stop.wait()
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        deadline = trio.current_time() + cfg.graceful_timeout
        connections.cancel_scope.deadline = deadline


def _listeners(cfg: hypercorn.config.Config) -> list[typing.Any]:
    sockets = cfg.create_sockets()
    for sock in (*sockets.secure_sockets, *sockets.insecure_sockets):
        sock.listen(cfg.backlog)
    plain = [_listener(sock) for sock in sockets.insecure_sockets]
    tls = cfg.create_ssl_context()
    if tls is None:
        return plain
    return plain + [
        trio.SSLListener(_listener(sock), tls, https_compatible=True)
        for sock in sockets.secure_sockets
    ]


def _listener(sock: typing.Any) -> trio.SocketListener:
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))
