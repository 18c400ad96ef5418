"""HTTP/1.1 connections from callers: reading requests, sending answers."""

import abc
import functools
import math
import socket
import typing

import h11
import result
import trio

from sedgepin._web import _failures
from sedgepin._web import _types
from sedgepin import errors

_READ_BYTES = 65_536
# A caller that does not read is given up after this long without progress.
_SEND_TIMEOUT_SECONDS = 20.0
_STUCK_CHECK_SECONDS = 1.0
_LISTEN_BACKLOG = 512


class Exchange:
    """One request of a caller, and the way back for its answer."""

    __slots__ = ("_connection", "has_started", "request")

    def __init__(
        self, connection: "_Connection", request: _types.Request
    ) -> None:
        self._connection = connection
        self.request = request
        self.has_started = False

    async def answer(self, head: _types.AnswerHead, body: bytes) -> None:
        """Send a whole answer."""
        length = (b"Content-Length", b"%d" % len(body))
        await self._begin(head, length, body)
        await self._connection.write(h11.EndOfMessage())

    async def start(self, head: _types.AnswerHead) -> None:
        """Send the head of an answer whose length is not known yet."""
        chunked = (b"Transfer-Encoding", b"chunked")
        await self._begin(head, chunked, b"")

    async def send(self, data: bytes) -> None:
        """Send a piece of a started answer."""
        await self._connection.write(h11.Data(data=data))

    async def finish(self) -> None:
        """End a started answer as complete."""
        await self._connection.write(h11.EndOfMessage())

    async def _begin(
        self,
        head: _types.AnswerHead,
        framing: tuple[bytes, bytes],
        body: bytes,
    ) -> None:
        self.has_started = True
        headers = [*head.headers, framing]
        if self._connection.closes_after_answer:
            headers.append((b"Connection", b"close"))
        response = h11.Response(status_code=head.status, headers=headers)
        await self._connection.write(response, h11.Data(data=body))


class Handler(abc.ABC):
    """Answers requests; ends without an answer only to break one off."""

    @abc.abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Answer one request; cancelled when its caller has left."""

    @abc.abstractmethod
    def error_response(
        self, failure: errors.Failure
    ) -> tuple[_types.AnswerHead, bytes]:
        """Return the answer to a request that could not be read."""

    @abc.abstractmethod
    def limits(self) -> _types.ServerLimits:
        """Return the limits in force."""


class Server:
    """Listens for callers and hands their requests to a handler."""

    __slots__ = (
        "_connections",
        "_handler",
        "_scope",
        "has_left",
        "is_draining",
    )

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._connections: set[_Connection] = set()
        self._scope = trio.CancelScope()
        self.is_draining = False
        self.has_left = False

    @property
    def open_exchanges(self) -> int:
        """Return how many requests are read and not answered in full."""
        return sum(one.is_busy for one in self._connections)

    async def serve(
        self,
        address: str,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen on an address until cancelled or drained."""
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(
            int(port), host=host, backlog=_LISTEN_BACKLOG
        )
        async with trio.open_nursery() as nursery:
            serve = functools.partial(
                trio.serve_listeners,
                self._converse,
                listeners,
                handler_nursery=nursery,
            )
            nursery.start_soon(self._end_stuck_connections)
            with self._scope:
                await serve(task_status=_Forward(task_status))
            while self._connections:
                await trio.sleep(_STUCK_CHECK_SECONDS)
            nursery.cancel_scope.cancel()

    async def _end_stuck_connections(self) -> None:
        while True:
            await trio.sleep(_STUCK_CHECK_SECONDS)
            for connection in tuple(self._connections):
                connection.end_if_stuck(trio.current_time())

    def start_draining(self) -> None:
        """Say with each answer that the connection ends after it."""
        self.is_draining = True

    def finish_draining(self) -> None:
        """Take no new connection or request, and close what is idle.

        A connection whose answer began before the drain was not told that it
        ends; it is closed after that answer.
        """
        self.has_left = True
        self._scope.cancel()
        for connection in tuple(self._connections):
            connection.close_if_idle()

    async def _converse(self, stream: trio.SocketStream) -> None:
        try:
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            # The caller reset the connection before it was looked at.
            await trio.aclose_forcefully(stream)
            return
        connection = _Connection(stream, self._handler, self)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)


class _Forward(trio.TaskStatus[typing.Any]):
    """Passes on that a task has started, without its value."""

    __slots__ = ("_status",)

    def __init__(self, status: trio.TaskStatus[None]) -> None:
        self._status = status

    def started(self, value: object = None) -> None:
        """Tell the outer status."""
        self._status.started()


class _Connection:
    """One caller's connection, request by request."""

    __slots__ = (
        "_conn",
        "_handler",
        "_idle_scope",
        "_is_cut_off",
        "_is_over",
        "_scope",
        "_sending_since",
        "_server",
        "_stream",
        "is_busy",
    )

    def __init__(
        self, stream: trio.SocketStream, handler: Handler, server: Server
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._server = server
        self._idle_scope = trio.CancelScope()
        self._scope = trio.CancelScope()
        self._sending_since = math.inf
        self._is_over = False
        self._is_cut_off = False
        self.is_busy = False
        self._conn = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=handler.limits().header_bytes,
        )

    @property
    def closes_after_answer(self) -> bool:
        """Tell whether the answer must announce the connection's end."""
        return self._server.is_draining

    def close_if_idle(self) -> None:
        """End the connection if no request is being read or answered."""
        if not self.is_busy:
            self._idle_scope.cancel()

    async def run(self) -> None:
        """Answer requests until the connection ends."""
        try:
            with self._scope:
                while await self._serve_one() and not self._must_end():
                    self._conn.start_next_cycle()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
        ):
            return

    def _must_end(self) -> bool:
        return self._is_over or self._is_cut_off or self._server.has_left

    def end_if_stuck(self, time: float) -> None:
        """End the connection if its caller does not read what is sent."""
        if time - self._sending_since > _SEND_TIMEOUT_SECONDS:
            self._scope.cancel()

    async def write(self, *parts: h11.Event) -> None:
        """Send parts of an answer.

        After a sending that was cancelled nothing more can be sent; the
        connection counts as closed.
        """
        if self._is_cut_off:
            raise trio.ClosedResourceError
        data = bytearray()
        for part in parts:
            sent = self._conn.send(part)
            if sent:
                data += sent
        if not data:
            return
        # What is cancelled from here on is sent in part or not at all.
        self._is_cut_off = True
        self._sending_since = trio.current_time()
        await self._stream.send_all(data)
        self._sending_since = math.inf
        self._is_cut_off = False

    async def _serve_one(self) -> bool:
        """Read and answer one request; return whether to go on."""
        read = await self._read_request()
        if read is None:
            return False
        try:
            if isinstance(read, result.Err):
                await self._refuse(read.err_value)
                return False
            await self._handle(read.ok_value)
        finally:
            self.is_busy = False
        return self._conn.our_state is h11.DONE and (
            self._conn.their_state is h11.DONE
        )

    async def _handle(self, request: _types.Request) -> None:
        exchange = Exchange(self, request)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_caller, nursery.cancel_scope)
                await self._handler.handle(exchange)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller reset its connection while it was sent an answer.
            self._is_over = True

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        """Cancel the exchange once the caller has closed its connection."""
        try:
            while True:
                data = await self._stream.receive_some(_READ_BYTES)
                if not data:
                    break
                self._conn.receive_data(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self._is_over = True
        scope.cancel()

    async def _refuse(self, failure: errors.Failure) -> None:
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        head, body = self._handler.error_response(failure)
        headers = [
            *head.headers,
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", b"close"),
        ]
        await self.write(
            h11.Response(status_code=head.status, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def _read_request(
        self,
    ) -> result.Result[_types.Request, errors.Failure] | None:
        """Return a whole request, why there is none, or nothing at the end."""
        limits = self._handler.limits()
        if not self._conn.trailing_data[0]:
            self._idle_scope = trio.CancelScope(
                deadline=trio.current_time() + limits.idle_timeout_seconds
            )
            with self._idle_scope:
                if not await self._receive():
                    return None
            if not self._conn.trailing_data[0]:
                return None
        self.is_busy = True
        try:
            with trio.fail_after(limits.header_timeout_seconds):
                head = await self._next_event()
        except trio.TooSlowError:
            return result.Err(_failures.RequestTooSlow())
        except h11.RemoteProtocolError as exc:
            if exc.error_status_hint == 431:
                return result.Err(_failures.HeadTooLarge())
            return result.Err(_failures.RequestUnreadable(str(exc)))
        if not isinstance(head, h11.Request):
            return None
        return await self._read_body(head, limits)

    async def _read_body(
        self, head: h11.Request, limits: _types.ServerLimits
    ) -> result.Result[_types.Request, errors.Failure] | None:
        body = bytearray()
        if self._conn.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            await self.write(proceed)
        while True:
            try:
                with trio.fail_after(limits.header_timeout_seconds):
                    event = await self._next_event()
            except trio.TooSlowError:
                return result.Err(_failures.RequestTooSlow())
            except h11.RemoteProtocolError as exc:
                return result.Err(_failures.RequestUnreadable(str(exc)))
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return None
            body += event.data
            if len(body) > limits.body_bytes:
                return result.Err(_failures.BodyTooLarge())
        headers = tuple(head.headers.raw_items())
        return result.Ok(
            _types.Request(head.method, head.target, headers, bytes(body))
        )

    async def _next_event(self) -> typing.Any:
        while True:
            event = self._conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            if not await self._receive():
                return None

    async def _receive(self) -> bool:
        """Take in more bytes; return whether there were any."""
        data = await self._stream.receive_some(_READ_BYTES)
        self._conn.receive_data(data)
        return bool(data)
