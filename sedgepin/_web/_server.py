"""HTTP/1.1 server for callers' requests."""

import functools
import socket
import typing

import trio

from sedgepin import _memory as memory
from sedgepin import _sockets as sockets
from sedgepin._web import _caller_connection
from sedgepin._web import _exchange
from sedgepin._web import _server_state
from sedgepin import _work as work
from sedgepin import containment
from sedgepin import errors

# A caller that does not read its answer is disconnected when one send blocks
# for longer.
_SEND_TIMEOUT_SECONDS = 20.0
# A vanished caller is detected after 20 s too, while its answer is awaited.
_KEEPALIVE_IDLE_SECONDS = 5
_KEEPALIVE_INTERVAL_SECONDS = 5
_KEEPALIVE_PROBES = 3
_STALL_CHECK_INTERVAL_SECONDS = 1.0
_LISTEN_BACKLOG = 512


class Server:
    """Accepts connections and passes their requests to a handler.

    The bytes of requests that are received or answered count in ``budget``,
    with the caller's address as their sender.  Unless ``limits_heads``, a head
    is read as soon as its first bytes have come, beside any number of others
    in the process.
    """

    __slots__ = (
        "_connections",
        "_handler",
        "_is_closing_listeners",
        "_listeners",
        "_nursery",
        "_scope",
        "_state",
    )

    def __init__(
        self,
        handler: _exchange.Handler,
        budget: memory.MemoryBudget | None = None,
        limits_heads: bool = True,
    ) -> None:
        self._handler = handler
        self._connections: set[_caller_connection.CallerConnection] = set()
        self._scope = trio.CancelScope()
        self._listeners: list[trio.SocketListener] = []
        self._nursery: trio.Nursery | None = None
        # Tasks of connections that were just accepted may not have begun.
        self._is_closing_listeners = False
        self._state = _server_state.ServerState(handler, budget, limits_heads)

    @property
    def open_exchanges(self) -> int:
        """Return how many requests are being received or answered.

        A connection whose task has not begun counts as one.
        """
        busy = sum(connection.is_busy for connection in self._connections)
        return busy + self._is_closing_listeners

    @property
    def unread_requests(self) -> int:
        """Return how many requests have arrived in part."""
        return sum(connection.is_reading for connection in self._connections)

    async def serve(
        self,
        address: str,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve on ``address`` (``host:port``) until cancelled or drained.

        After ``finish_draining`` this returns once the last connection has
        ended.
        """
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(
            int(port), host=host, backlog=_LISTEN_BACKLOG
        )
        async with trio.open_nursery() as nursery:
            self._listeners = listeners
            self._nursery = nursery
            serve = functools.partial(
                trio.serve_listeners,
                self._handle_connection,
                listeners,
                handler_nursery=nursery,
            )
            nursery.start_soon(self._cancel_stalled_connections)
            with self._scope:
                await serve(task_status=_StartedForwarder(task_status))
            await trio.lowlevel.checkpoint()
            self._is_closing_listeners = False
            while self._connections:
                await trio.sleep(_STALL_CHECK_INTERVAL_SECONDS)
            nursery.cancel_scope.cancel()

    async def _cancel_stalled_connections(self) -> None:
        while True:
            await trio.sleep(_STALL_CHECK_INTERVAL_SECONDS)
            self.update_limits()
            began_before = trio.current_time() - _SEND_TIMEOUT_SECONDS
            for connection in tuple(self._connections):
                connection.cancel_if_stalled(began_before)

    def update_limits(self) -> None:
        """Take note that the limits of the handler may have changed.

        An idle timeout that is in force for less than a second, without a
        call meanwhile, may be missed.
        """
        self._state.update_limits()

    def start_draining(self) -> None:
        """Announce ``Connection: close`` with each answer from now on."""
        self._state.is_draining = True

    def stop_keeping_connections(self) -> None:
        """Keep no connection open between requests from now on.

        Idle ones are closed, so that their callers send the next request on a
        new connection, which can lead to another VM.  New ones are accepted.
        Those that are not idle, or whose caller may have sent the next
        request by now, are closed as described for ``finish_draining``.
        """
        self._state.keeps_connections = False
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def finish_draining(self) -> None:
        """Accept no new connections or requests and close idle connections.

        Requests that have arrived are answered, also those on connections
        that the kernel has accepted, and the first ones on new connections.
        Other connections are closed after their current answer, or, if it
        announced no close, after the next request or a short wait for it.
        """
        self._state.has_stopped_accepting = True
        self._state.keeps_connections = False
        self._is_closing_listeners = bool(self._listeners)
        self._scope.cancel()
        for listener in self._listeners:
            self._accept_backlog(listener)
            # What comes between the two is reset.
            listener.socket.close()
        self._listeners = []
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def refuse_unread_requests(self, failure: errors.Failure) -> None:
        """Answer the requests that have arrived in part with a failure.

        To be called shortly before the end: their callers learn that they
        have not run, instead of losing the connection.
        """
        for connection in tuple(self._connections):
            connection.refuse_if_reading(failure)

    def _accept_backlog(
        self, listener: trio.SocketListener, limit: int = _LISTEN_BACKLOG
    ) -> None:
        """Accept the connections that wait."""
        assert self._nursery is not None
        for accepted in sockets.accept_waiting(listener, limit):
            connection = self._open_connection(sockets.DirectStream(accepted))
            if connection is not None:
                self._nursery.start_soon(self._run_connection, connection)

    async def _handle_connection(self, accepted: trio.SocketStream) -> None:
        limit = work.connections_to_accept() - 1
        for listener in self._listeners:
            self._accept_backlog(listener, limit)
        stream = sockets.DirectStream.adopt(accepted)
        connection = self._open_connection(stream)
        if connection is not None:
            await self._run_connection(connection)

    def _open_connection(
        self, stream: sockets.DirectStream
    ) -> _caller_connection.CallerConnection | None:
        """Return a connection that counts as open, unless it was reset."""
        try:
            stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sockets.enable_keepalive(
                stream.socket,
                _KEEPALIVE_IDLE_SECONDS,
                _KEEPALIVE_INTERVAL_SECONDS,
                _KEEPALIVE_PROBES,
            )
        except OSError:
            # The caller reset the connection before this task started.
            stream.close()
            return None
        connection = _caller_connection.CallerConnection(
            stream, self._handler, self._state
        )
        self._connections.add(connection)
        return connection

    async def _run_connection(
        self, connection: _caller_connection.CallerConnection
    ) -> None:
        try:
            with containment.contain("connection"):
                await connection.run()
        finally:
            self._connections.discard(connection)
            connection.close()


class _StartedForwarder(trio.TaskStatus[typing.Any]):
    """Forwards ``started`` to another status without the value.

    ``trio.serve_listeners`` passes its listeners, which are of no use to
    callers of ``Server.serve``.
    """

    __slots__ = ("_status",)

    def __init__(self, status: trio.TaskStatus[None]) -> None:
        self._status = status

    def started(self, value: object = None) -> None:
        """Report to the outer status that the task has started."""
        self._status.started()
