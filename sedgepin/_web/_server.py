"""HTTP/1.1 server for callers' requests."""

import abc
import functools
import math
import socket
import typing

import h11
import result
import trio

from sedgepin import _sockets as sockets
from sedgepin._web import _failures
from sedgepin._web import _request_ends
from sedgepin._web import _types
from sedgepin import containment
from sedgepin import errors

_READ_BYTES = 65_536
# A caller that does not read its answer is disconnected when one send blocks
# for longer.
_SEND_TIMEOUT_SECONDS = 20.0
# A vanished caller is detected after 20 s too, while its answer is awaited.
_KEEPALIVE_IDLE_SECONDS = 5
_KEEPALIVE_INTERVAL_SECONDS = 5
_KEEPALIVE_PROBES = 3
_STALL_CHECK_INTERVAL_SECONDS = 1.0
_LISTEN_BACKLOG = 512
# A caller sends its first request as soon as it has connected.
_FIRST_REQUEST_SECONDS = 1.0
# Time for a caller to receive its last answer while it still sends.
_LINGER_SECONDS = 2.0
_FIRST_FAILURE = 400
_CONNECT = b"CONNECT"


class Exchange:
    """One request of a caller, and the methods that send its answer.

    Either ``answer`` is called once, or ``start``, then ``send`` for each
    part of the body, then ``finish``.  All of them raise
    ``trio.BrokenResourceError`` or ``trio.ClosedResourceError`` when the
    connection is broken.
    """

    __slots__ = (
        "_connection",
        "cut_reason",
        "has_started",
        "label",
        "request",
    )

    def __init__(
        self, connection: "_Connection", request: _types.Request
    ) -> None:
        self._connection = connection
        self.request = request
        self.has_started = False
        # Name of the request in log lines, and why its answer was given up.
        self.label = ""
        self.cut_reason = "handler_returned"

    @property
    def has_caller_closed(self) -> bool:
        """Whether the caller closed the connection first."""
        return self._connection.has_caller_closed

    def cut(self, reason: str) -> None:
        """State why the handler returns without a complete answer."""
        self.cut_reason = reason

    async def answer(self, head: _types.AnswerHead, body: bytes) -> None:
        """Send a complete answer; only its head to a HEAD request."""
        length = (b"Content-Length", b"%d" % len(body))
        if not _types.may_have_body(self.request.method, head.status):
            body = b""
        await self._send_head(head, length, body)
        await self._connection.write(h11.EndOfMessage())

    async def start(self, head: _types.AnswerHead) -> None:
        """Send the head of an answer with a chunked body."""
        chunked = (b"Transfer-Encoding", b"chunked")
        await self._send_head(head, chunked, b"")

    async def send(self, data: bytes) -> None:
        """Send a part of the body of a started answer."""
        await self._connection.write(h11.Data(data=data))

    async def finish(self) -> None:
        """Mark a started answer as complete."""
        await self._connection.write(h11.EndOfMessage())

    async def _send_head(
        self,
        head: _types.AnswerHead,
        framing: tuple[bytes, bytes],
        body: bytes,
    ) -> None:
        # An answer that is cancelled before its first byte leaves no trace.
        await trio.lowlevel.checkpoint_if_cancelled()
        self.has_started = True
        headers = [*head.headers, framing]
        if self._connection.closes_after_answer:
            headers.append((b"Connection", b"close"))
        response = h11.Response(status_code=head.status, headers=headers)
        await self._connection.write(response, h11.Data(data=body))


class Handler(abc.ABC):
    """Answers the requests of a server."""

    @abc.abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Answer one request; cancelled when the caller disconnects.

        When this returns before the answer is complete, the connection is
        closed and the caller sees an incomplete answer.
        """

    @abc.abstractmethod
    def error_response(
        self, failure: errors.Failure
    ) -> tuple[_types.AnswerHead, bytes]:
        """Return the answer to a request that was not handled.

        It could not be read, or its handler has failed (``HandlerFailed``).
        """

    @abc.abstractmethod
    def limits(self) -> _types.ServerLimits:
        """Return the limits that are in force."""

    def request_ended(self, end: _request_ends.RequestEnd) -> None:
        """Record how a request ended on its connection."""


class Server:
    """Accepts connections and passes their requests to a handler."""

    __slots__ = (
        "_connections",
        "_handler",
        "_is_closing_listeners",
        "_listeners",
        "_nursery",
        "_scope",
        "has_stopped_accepting",
        "is_draining",
    )

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._connections: set[_Connection] = set()
        self._scope = trio.CancelScope()
        self._listeners: list[trio.SocketListener] = []
        self._nursery: trio.Nursery | None = None
        # Tasks of connections that were just accepted may not have begun.
        self._is_closing_listeners = False
        self.is_draining = False
        self.has_stopped_accepting = False

    @property
    def open_exchanges(self) -> int:
        """Return how many requests are being received or answered.

        A connection whose task has not begun counts as one.
        """
        busy = sum(connection.is_busy for connection in self._connections)
        return busy + self._is_closing_listeners

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
            for connection in tuple(self._connections):
                connection.cancel_if_stalled(trio.current_time())

    def start_draining(self) -> None:
        """Announce ``Connection: close`` with each answer from now on."""
        self.is_draining = True

    def finish_draining(self) -> None:
        """Accept no new connections or requests and close idle connections.

        Requests that have arrived are answered, also those on connections
        that the kernel has accepted, and the first ones on new connections.
        Other connections are closed after their current answer, even if its
        head was sent before ``start_draining`` and announced no close.
        """
        self.has_stopped_accepting = True
        self._is_closing_listeners = bool(self._listeners)
        self._scope.cancel()
        for listener in self._listeners:
            self._accept_backlog(listener)
            # What is accepted between the two is reset.
            listener.socket.close()
        self._listeners = []
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def _accept_backlog(self, listener: trio.SocketListener) -> None:
        """Accept the connections that wait, before they are reset."""
        assert self._nursery is not None
        listening = listener.socket
        with socket.fromfd(
            listening.fileno(), listening.family, socket.SOCK_STREAM
        ) as waiting:
            while True:
                try:
                    accepted, _address = waiting.accept()
                except ConnectionAbortedError:
                    continue
                except OSError:
                    return
                accepted.setblocking(False)
                stream = sockets.DirectStream(accepted)
                connection = self._open_connection(stream)
                if connection is not None:
                    self._nursery.start_soon(self._run_connection, connection)

    async def _handle_connection(self, accepted: trio.SocketStream) -> None:
        stream = sockets.DirectStream.adopt(accepted)
        connection = self._open_connection(stream)
        if connection is not None:
            await self._run_connection(connection)

    def _open_connection(
        self, stream: sockets.DirectStream
    ) -> "_Connection | None":
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
        connection = _Connection(stream, self._handler, self)
        self._connections.add(connection)
        return connection

    async def _run_connection(self, connection: "_Connection") -> None:
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


class _Connection:
    """A caller's connection; serves one request after the other."""

    __slots__ = (
        "_accepted_at",
        "_close_reason",
        "_h11",
        "_handler",
        "_has_failed",
        "_has_sent",
        "_header_bytes",
        "_idle_scope",
        "_is_new",
        "_is_reading",
        "_is_refused",
        "_is_send_interrupted",
        "_label",
        "_method",
        "_read_since",
        "_scope",
        "_sending_since",
        "_server",
        "_status",
        "_stream",
        "has_caller_closed",
        "is_busy",
    )

    def __init__(
        self,
        stream: sockets.DirectStream,
        handler: Handler,
        server: Server,
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._server = server
        self._idle_scope = trio.CancelScope()
        self._scope = trio.CancelScope()
        self._sending_since = math.inf
        self.has_caller_closed = False
        self._has_failed = False
        # What is recorded at the end of the current request.
        self._close_reason = ""
        self._has_sent = False
        self._accepted_at = trio.current_time()
        self._is_new = True
        self._is_reading = False
        self._is_refused = False
        self._label = ""
        self._read_since = trio.current_time()
        self._status = 0
        # Method of the request that is being received or answered.
        self._method = b""
        self._is_send_interrupted = False
        self.is_busy = False
        self._header_bytes = handler.limits().header_bytes
        self._h11 = _new_parser(self._header_bytes)

    def _renew_parser(self, header_bytes: int) -> None:
        """Let the next request have a header section of ``header_bytes``."""
        received = self._h11.trailing_data[0]
        self._header_bytes = header_bytes
        self._h11 = _new_parser(header_bytes)
        self._h11.receive_data(received)

    @property
    def closes_after_answer(self) -> bool:
        """Return whether answers must announce ``Connection: close``."""
        return self._server.is_draining

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.close()

    def close_if_idle(self) -> None:
        """Close the connection if no request has arrived on it."""
        if self.is_busy:
            return
        self._close_reason = "drain"
        deadline = self._drain_deadline()
        awaits_first = deadline > trio.current_time()
        self.is_busy = awaits_first or self._has_unread_bytes()
        self._idle_scope.deadline = deadline

    def _drain_deadline(self) -> float:
        """Return until when a request is awaited after the drain.

        The first one on a new connection may be under way.
        """
        if self._is_new:
            return self._accepted_at + _FIRST_REQUEST_SECONDS
        return -math.inf

    def _has_unread_bytes(self) -> bool:
        return sockets.count_unread_bytes(self._stream.socket) > 0

    async def run(self) -> None:
        """Serve requests until the connection must be closed."""
        try:
            with self._scope:
                while await self._serve_request() and not self._must_close():
                    self._h11.start_next_cycle()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
        ):
            return
        finally:
            self._report_unread()
        if self._must_linger():
            self.is_busy = True
            await self._linger()

    def _must_linger(self) -> bool:
        """Return whether a close would reset an answer on its way."""
        is_complete = self._has_sent and self._end_kind().is_complete
        return (
            is_complete
            and not self.has_caller_closed
            and (self._is_refused or self._has_unread_bytes())
        )

    async def _linger(self) -> None:
        """Discard what the caller still sends (RFC 9112, section 9.6).

        A connection that is closed with unread bytes, or gets bytes after its
        close, is reset, and the answer is lost on its way.
        """
        with trio.move_on_after(_LINGER_SECONDS):
            try:
                self._stream.socket.shutdown(socket.SHUT_WR)
                while await self._stream.receive_some(_READ_BYTES):
                    pass
            except (OSError, trio.BrokenResourceError):
                return

    def _report_unread(self) -> None:
        """Report bytes of a request that was not read to its end.

        What follows a refused request belongs to it.
        """
        if self._is_refused:
            return
        count = len(self._h11.trailing_data[0])
        count += sockets.count_unread_bytes(self._stream.socket)
        if count or self._is_reading:
            self._report_end(_request_ends.EndKind.UNREAD, count)

    def _report_end(
        self, kind: _request_ends.EndKind, unread_bytes: int = 0
    ) -> None:
        closed_by = _request_ends.Closer.NOBODY
        reason = ""
        if not kind.is_complete:
            closed_by = _request_ends.Closer.SERVER
            reason = self._close_reason or "process_end"
        if not kind.is_complete and self.has_caller_closed:
            closed_by = _request_ends.Closer.CALLER
            reason = "caller"
        seconds = trio.current_time() - self._read_since
        end = _request_ends.RequestEnd(
            kind,
            closed_by,
            reason,
            self._label,
            round(seconds * 1000),
            unread_bytes,
        )
        self._handler.request_ended(end)

    def _end_kind(self) -> _request_ends.EndKind:
        """Return how the request that was read has ended."""
        has_ended = self._h11.our_state in (
            h11.DONE,
            h11.MUST_CLOSE,
            h11.CLOSED,
        )
        if not has_ended or self._is_send_interrupted:
            if self._has_sent:
                return _request_ends.EndKind.INCOMPLETE
            return _request_ends.EndKind.UNANSWERED
        if self._status < _FIRST_FAILURE:
            return _request_ends.EndKind.ANSWERED
        return _request_ends.EndKind.FAILED

    def _must_close(self) -> bool:
        return (
            self.has_caller_closed
            or self._has_failed
            or self._is_send_interrupted
            or self._server.has_stopped_accepting
        )

    def cancel_if_stalled(self, time: float) -> None:
        """Cancel the connection if a send exceeds the timeout at ``time``."""
        if time - self._sending_since > _SEND_TIMEOUT_SECONDS:
            self._close_reason = "send_timeout"
            self._scope.cancel()

    async def write(self, *parts: h11.Event) -> None:
        """Send parts of an answer.

        Raises ``trio.ClosedResourceError`` after a cancelled send: part of
        its data may be missing, so nothing may follow it on the connection.
        """
        if self._is_send_interrupted:
            raise trio.ClosedResourceError
        data = bytearray()
        for part in parts:
            sent = self._h11.send(part)
            if sent:
                data += sent
            if isinstance(part, h11.Response):
                self._status = part.status_code
        if not data:
            return
        # If the send below is cancelled, the flag stays set.
        self._is_send_interrupted = True
        self._sending_since = trio.current_time()
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            self.has_caller_closed = True
            raise
        self._sending_since = math.inf
        self._is_send_interrupted = False
        self._has_sent = self._status != 0

    async def _serve_request(self) -> bool:
        """Read and answer one request.

        Returns whether the connection can serve another one.
        """
        received = await self._read_request()
        if received is None:
            return False
        self._is_reading = False
        try:
            if isinstance(received, result.Err):
                self._is_refused = True
                await self._send_error_response(received.err_value)
                return False
            await self._handle(received.ok_value)
        except h11.LocalProtocolError:
            self._close_reason = "answer_not_encodable"
            raise
        finally:
            self.is_busy = False
            self._report_end(self._end_kind())
            self._reset_if_incomplete()
        self._close_reason = "connection_ends"
        return self._h11.our_state is h11.DONE and (
            self._h11.their_state is h11.DONE
        )

    def _reset_if_incomplete(self) -> None:
        """Let the end of the connection not complete an answer for HTTP/1.0.

        Its body has neither a length nor chunks.
        """
        if self._h11.our_state is not h11.SEND_BODY:
            return
        if (self._h11.their_http_version or b"") < b"1.1":
            sockets.reset_when_closed(self._stream.socket)

    async def _handle(self, request: _types.Request) -> None:
        exchange = Exchange(self, request)
        with containment.contain("request") as outcome:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._watch_for_disconnect, nursery.cancel_scope
                    )
                    await self._handler.handle(exchange)
                    nursery.cancel_scope.cancel()
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                # The caller reset the connection during the answer, or a send
                # was interrupted.
                self._has_failed = True
                exchange.cut("send_interrupted")
            finally:
                self._label = exchange.label
        self._close_reason = exchange.cut_reason
        if outcome.failure is not None:
            self._has_failed = True
            self._close_reason = "handler_failed"
            await self._send_error_response(_failures.HandlerFailed())

    async def _watch_for_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the exchange when the caller closes its connection."""
        try:
            while True:
                data = await self._stream.receive_some(_READ_BYTES)
                if not data:
                    break
                self._h11.receive_data(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.has_caller_closed = True
        scope.cancel()

    async def _send_error_response(self, failure: errors.Failure) -> None:
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        head, body = self._handler.error_response(failure)
        if not _types.may_have_body(self._method, head.status):
            body = b""
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
        """Return the next request or a failure; ``None`` at the end."""
        if not self._h11.trailing_data[0]:
            if not await self._wait_for_request():
                return None
        # A connection may outlast many changes of the limits.
        limits = self._handler.limits()
        if limits.header_bytes != self._header_bytes:
            self._renew_parser(limits.header_bytes)
        self._start_reading()
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
        self._method = head.method
        if head.method == _CONNECT:
            return result.Err(_failures.MethodUnsupported())
        return await self._read_body(head, limits)

    async def _wait_for_request(self) -> bool:
        """Wait for the first bytes of a request; return false at the end.

        The idle timeout is the longest that was in force at its beginning or
        end, since callers reuse connections under either.  Bytes that have
        arrived when the connection is to be closed are read: a close that
        leaves them unread resets the connection.
        """
        self._read_since = trio.current_time()
        self._close_reason = ""
        idle_seconds = self._handler.limits().idle_timeout_seconds
        while True:
            deadline = self._read_since + idle_seconds
            if self._server.has_stopped_accepting:
                self._close_reason = "drain"
                deadline = self._drain_deadline()
            self._idle_scope = trio.CancelScope(deadline=deadline)
            with self._idle_scope:
                return await self._receive_bytes()
            if self._has_unread_bytes():
                return await self._receive_bytes()
            longest = self._handler.limits().idle_timeout_seconds
            if self._close_reason or longest <= idle_seconds:
                break
            idle_seconds = longest
        self.is_busy = False
        self._close_reason = self._close_reason or "idle_timeout"
        return False

    def _start_reading(self) -> None:
        self._is_new = False
        self.is_busy = True
        self._is_reading = True
        self._method = b""
        self._close_reason = ""
        self._has_sent = False
        self._label = ""
        self._read_since = trio.current_time()
        self._status = 0

    async def _read_body(
        self, head: h11.Request, limits: _types.ServerLimits
    ) -> result.Result[_types.Request, errors.Failure] | None:
        body = bytearray()
        if self._h11.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self.write(informational)
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
            if len(body) <= limits.body_bytes:
                continue
            limits = self._handler.limits()
            if len(body) > limits.body_bytes:
                return result.Err(_failures.BodyTooLarge())
        headers = tuple(head.headers.raw_items())
        return result.Ok(
            _types.Request(head.method, head.target, headers, bytes(body))
        )

    async def _next_event(self) -> typing.Any:
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            if not await self._receive_bytes():
                return None

    async def _receive_bytes(self) -> bool:
        """Pass received bytes to the parser; return false at the end."""
        try:
            data = await self._stream.receive_some(_READ_BYTES)
        except trio.BrokenResourceError:
            self.has_caller_closed = True
            raise
        self._h11.receive_data(data)
        self.has_caller_closed = not data
        return bool(data)


def _new_parser(header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
