"""One connection of a caller."""

import collections.abc
import math
import socket

import h11
import result
import trio

from sedgepin import _memory as memory
from sedgepin import _sockets as sockets
from sedgepin._web import _exchange
from sedgepin._web import _failures
from sedgepin._web import _request_ends
from sedgepin._web import _request_reader
from sedgepin._web import _server_state
from sedgepin._web import _types
from sedgepin import _work as work
from sedgepin import containment
from sedgepin import errors

_READ_BYTES = 65_536
# A caller sends its first request as soon as it has connected.
_FIRST_REQUEST_SECONDS = 1.0
# Callers that keep a connection busy send the next request within this time.
_NEXT_REQUEST_SECONDS = 0.25
# Time for a caller to receive its last answer while it still sends.
_LINGER_SECONDS = 2.0
_ACKNOWLEDGEMENT_POLL_SECONDS = 0.02
_LINGER_BYTES = 16 * 1024 * 1024
_FIRST_FAILURE = 400


class CallerConnection(_exchange.AnswerSink):
    """A caller's connection; serves one request after the other."""

    __slots__ = (
        "_accepted_at",
        "_account",
        "_address",
        "_close_reason",
        "_evict_request",
        "_handler",
        "_has_sent",
        "_idle_scope",
        "_is_new",
        "_is_reading",
        "_is_refused",
        "_is_send_interrupted",
        "_label",
        "_pipelined",
        "_read_since",
        "_reader",
        "_refusal",
        "_scope",
        "_sending_since",
        "_server",
        "_status",
        "_stream",
        "is_busy",
    )

    def __init__(
        self,
        stream: sockets.DirectStream,
        handler: _exchange.Handler,
        server: _server_state.ServerState,
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._server = server
        self._idle_scope = trio.CancelScope()
        self._scope = trio.CancelScope()
        self._sending_since = math.inf
        # What is recorded at the end of the current request.
        self._close_reason = ""
        self._has_sent = False
        self._accepted_at = trio.current_time()
        self._is_new = True
        self._is_reading = False
        self._is_refused = False
        self._label = ""
        # Of the requests that came before the answers to earlier ones.
        self._pipelined = work.new_load()
        self._read_since = trio.current_time()
        self._status = 0
        self._is_send_interrupted = False
        self.is_busy = False
        self._reader = _request_reader.RequestReader(
            stream, handler.limits().header_bytes, self._hold
        )
        self._address = sockets.peer_ip(stream.socket)
        self._account: memory.Account | None = None
        # Why the request that is being read is refused instead.
        self._refusal: errors.Failure | None = None
        # Lets the current request go whose bytes are not held any longer.
        self._evict_request: collections.abc.Callable[[], None] | None = None

    @property
    def has_caller_closed(self) -> bool:
        """Whether the caller closed the connection first."""
        return self._reader.has_caller_closed

    @property
    def is_reading(self) -> bool:
        """Whether a request has begun to arrive and is not there yet."""
        return self._is_reading

    @property
    def closes_after_answer(self) -> bool:
        """Return whether answers must announce ``Connection: close``.

        Not while the next request waits already: it is owed an answer.
        """
        return self._server.is_draining and not self._reader.has_next_request

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.close()

    def close_if_idle(self) -> None:
        """Close the connection if no request has arrived on it."""
        if self.is_busy:
            return
        self._close_reason = "drain"
        deadline = self._drain_deadline()
        awaits_request = deadline > trio.current_time()
        self.is_busy = awaits_request or self._has_unread_bytes()
        self._idle_scope.deadline = deadline

    def refuse_if_reading(self, failure: errors.Failure) -> None:
        """Answer a request that is not read to its end with a failure."""
        if self._is_reading and self._evict_request is not None:
            self._refusal = failure
            self._evict_request()

    def _drain_deadline(self) -> float:
        """Return until when a request is awaited after the drain.

        The first one on a new connection may be under way, and so may the one
        after an answer that announced no close.
        """
        if self._is_new:
            return self._accepted_at + _FIRST_REQUEST_SECONDS
        return self._read_since + _NEXT_REQUEST_SECONDS

    def _has_unread_bytes(self) -> bool:
        return sockets.count_unread_bytes(self._stream.socket) > 0

    async def run(self) -> None:
        """Serve requests until the connection must be closed."""
        try:
            with self._scope:
                while await self._serve_request() and not self._must_close():
                    self._reader.parser.start_next_cycle()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
        ):
            return
        finally:
            self._hold(0)
            self._report_unread()
        if self._must_linger():
            self.is_busy = True
            await self._linger()

    def _must_linger(self) -> bool:
        """Return whether a close would reset an answer on its way."""
        is_complete = self._has_sent and self._end_kind().is_complete
        return bool(
            is_complete
            and not self.has_caller_closed
            and (
                self._is_followed_by_bytes()
                or sockets.count_unsent_bytes(self._stream.socket)
            )
        )

    def _is_followed_by_bytes(self) -> bool:
        """Return whether the caller sends more than the request."""
        return bool(
            self._is_refused
            or self._reader.kept_bytes
            or self._has_unread_bytes()
        )

    async def _linger(self) -> None:
        """Discard what the caller still sends (RFC 9112, section 9.6).

        A connection that is closed with unread bytes, or gets bytes after its
        close, is reset, and the answer is lost on its way.
        """
        bytes_left = _LINGER_BYTES
        load = work.new_load()
        load.is_useless = True
        with trio.move_on_after(_LINGER_SECONDS):
            while not self._is_followed_by_bytes():
                if not sockets.count_unsent_bytes(self._stream.socket):
                    return
                await trio.sleep(_ACKNOWLEDGEMENT_POLL_SECONDS)
            try:
                self._stream.socket.shutdown(socket.SHUT_WR)
                while bytes_left > 0:
                    await trio.lowlevel.wait_readable(self._stream.socket)
                    async with work.turn(load):
                        data = await self._stream.receive_some(_READ_BYTES)
                    if not data:
                        return
                    bytes_left -= len(data)
            except (OSError, trio.BrokenResourceError, work.WorkEnded):
                return

    def _report_unread(self) -> None:
        """Report bytes of a request that was not read to its end.

        What follows a refused request belongs to it.
        """
        if self._is_refused:
            return
        count = self._reader.kept_bytes
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
        has_ended = self._reader.parser.our_state in (
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
        """Return whether nothing can be sent after the current answer."""
        return self.has_caller_closed or self._is_send_interrupted

    def cancel_if_stalled(self, began_before: float) -> None:
        """Cancel the connection if a send began before a time and goes on."""
        if self._sending_since < began_before:
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
            sent = self._reader.parser.send(part)
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
            self._reader.has_caller_closed = True
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
            self._hold(0)
            self._report_end(self._end_kind())
            self._reset_if_incomplete()
        self._close_reason = "connection_ends"
        return self._reader.parser.our_state is h11.DONE and (
            self._reader.parser.their_state is h11.DONE
        )

    def _reset_if_incomplete(self) -> None:
        """Let the end of the connection not complete an answer for HTTP/1.0.

        Its body has neither a length nor chunks.
        """
        if self._reader.parser.our_state is not h11.SEND_BODY:
            return
        if (self._reader.parser.their_http_version or b"") < b"1.1":
            sockets.reset_when_closed(self._stream.socket)

    async def _handle(self, request: _types.Request) -> None:
        exchange = _exchange.Exchange(self, request)
        with containment.contain("request") as outcome:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._reader.watch_for_close, nursery.cancel_scope
                    )
                    exchange.on_eviction = nursery.cancel_scope.cancel
                    self._evict_request = exchange.evict
                    await self._handler.handle(exchange)
                    nursery.cancel_scope.cancel()
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                # The caller reset the connection during the answer, or a send
                # was interrupted.
                exchange.cut("send_interrupted")
            finally:
                self._label = exchange.label
        self._evict_request = None
        self._close_reason = exchange.cut_reason
        if outcome.failure is not None:
            self._close_reason = "handler_failed"
        # One whose handler was cancelled, or has given up, may have run.
        is_owed = not exchange.has_started and not self.has_caller_closed
        if outcome.failure is not None or is_owed:
            await self._send_error_response(_failures.HandlerFailed())

    async def _send_error_response(self, failure: errors.Failure) -> None:
        if self._reader.parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        head, body = self._handler.error_response(failure)
        if not _types.may_have_body(self._reader.method, head.status):
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
        self._reader.skip_empty_lines()
        if self._reader.kept_bytes:
            self._pipelined.add_head()
        else:
            if not self._reader.has_next_request:
                self._pipelined = work.new_load()
            if not await self._wait_for_request():
                return None
        # A connection may outlast many changes of the limits.
        limits = self._handler.limits()
        self._reader.set_header_bytes(limits.header_bytes)
        self._start_reading()
        received: result.Result[_types.Request, errors.Failure] | None = None
        with trio.CancelScope() as scope:
            self._evict_request = scope.cancel
            received = await self._read_parts(limits)
        self._evict_request = None
        if self._is_evicted:
            return result.Err(memory.MemoryExhausted())
        if scope.cancelled_caught and self._refusal is not None:
            return result.Err(self._refusal)
        return received

    async def _read_parts(
        self, limits: _types.ServerLimits
    ) -> result.Result[_types.Request, errors.Failure] | None:
        # What has come of the head may wait for long.
        self._hold(self._reader.kept_bytes)
        if self._server.limits_heads:
            await work.pass_head(self._pipelined.excess_pieces > 0)
        if self._pipelined.is_costly:
            try:
                await work.pass_turn(self._pipelined)
            except work.WorkEnded:
                return result.Err(work.WorkExhausted())
        received = await self._reader.read_head(limits)
        if not isinstance(received, result.Ok):
            return received
        head = received.ok_value
        fault = self._reader.find_body_fault(
            head, limits, self._handler.limits
        )
        if fault is not None:
            return result.Err(fault)
        if self._reader.parser.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self.write(informational)
        body = await self._reader.read_body(head, limits, self._handler.limits)
        if not isinstance(body, result.Ok):
            return body
        headers = tuple(head.headers.raw_items())
        return result.Ok(
            _types.Request(head.method, head.target, headers, body.ok_value)
        )

    async def _wait_for_request(self) -> bool:
        """Wait for the first bytes of a request; return false at the end.

        The idle timeout is the longest that was in force at any time of the
        wait, since callers reuse connections under each.  Bytes that have
        arrived when the connection is to be closed are read: a close that
        leaves them unread resets the connection.
        """
        self._read_since = trio.current_time()
        self._close_reason = ""
        while True:
            deadline = self._idle_deadline()
            if not self._server.keeps_connections:
                self._close_reason = "drain"
                self.is_busy = self._server.has_stopped_accepting
                deadline = self._drain_deadline()
            self._idle_scope = trio.CancelScope(deadline=deadline)
            with self._idle_scope:
                return await self._reader.receive_request()
            if self._reader.has_next_request:
                return await self._reader.receive_request()
            if self._close_reason or self._idle_deadline() <= deadline:
                break
        self.is_busy = False
        self._close_reason = self._close_reason or "idle_timeout"
        return False

    def _idle_deadline(self) -> float:
        seconds = self._server.idle_seconds_since(self._read_since)
        return self._read_since + seconds

    @property
    def _is_evicted(self) -> bool:
        return self._account is not None and self._account.is_ended

    def _hold(self, held_bytes: int) -> None:
        if self._account is not None:
            self._account.hold(held_bytes)

    def _evict(self) -> None:
        if self._evict_request is not None:
            self._evict_request()

    def _start_reading(self) -> None:
        budget = self._server.budget
        if budget is not None:
            self._account = budget.open(
                memory.HolderKind.REQUEST, self._address, self._evict
            )
        self._is_new = False
        self.is_busy = True
        self._is_reading = True
        self._close_reason = ""
        self._has_sent = False
        self._label = ""
        self._read_since = trio.current_time()
        self._status = 0
