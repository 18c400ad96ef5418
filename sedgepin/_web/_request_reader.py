"""Reads callers' requests with the parser of ``h11``."""

import collections.abc
import math
import typing

import h11
import result
import trio

from sedgepin import _sockets as sockets
from sedgepin._web import _failures
from sedgepin._web import _types
from sedgepin import _work as work
from sedgepin import errors

# What is read of a head, or of a body without a length, may go beyond its
# request.  So this is also the most that is held of the requests after it.
_READ_AHEAD_BYTES = 8_192
_BODY_READ_BYTES = 65_536
# Time between checks whether a caller has closed its side behind bytes that
# are not read yet.
_CLOSE_CHECK_SECONDS = 0.1
_PEEKED_BYTES = 64
# A body that arrives more slowly holds its connection for too long.
_MIN_BODY_BYTES_PER_SECOND = 16_384
# Each piece costs some 20 us, however small it is, so that a head costs 20 ms
# at most.
_MAX_HEAD_PIECES = 1_024
# The lengths, extensions and ends of the chunks of a body together, beyond
# half of its bytes: a chunk of 16 bytes needs 6 more.
_MAX_FRAMING_BYTES = 1_048_576
# Other tasks run after as many pieces that were received together, which
# take 0.3 ms.
_PIECES_IN_A_TURN = 16
# What the objects of a header field take beside its bytes.
_FIELD_BYTES = 200
_CONNECT = b"CONNECT"
_LINE_END = b"\r\n"

_Head: typing.TypeAlias = result.Result[h11.Request, errors.Failure] | None
_Body: typing.TypeAlias = result.Result[bytes, errors.Failure] | None


class _TooManyPieces(Exception):
    """A part of a request arrived in more pieces than are read."""


class RequestReader:
    """Reads the requests of a connection, one after the other.

    ``parser`` is shared with the sender of the answers.  ``hold`` is told how
    many bytes of the current request, and of those after it, are held.
    """

    __slots__ = (
        "_head_bytes",
        "_header_bytes",
        "_hold",
        "_load",
        "_max_pieces",
        "_pieces",
        "_received_bytes",
        "_stream",
        "has_caller_closed",
        "method",
        "parser",
    )

    def __init__(
        self,
        stream: sockets.DirectStream,
        header_bytes: int,
        hold: collections.abc.Callable[[int], None],
    ) -> None:
        self._stream = stream
        self._hold = hold
        self._header_bytes = header_bytes
        self.parser = _new_parser(header_bytes)
        self.has_caller_closed = False
        # What the head of the current request takes.
        self._head_bytes = 0
        # Those of the part of a request that is being read.
        self._max_pieces = math.inf
        self._pieces = 0
        self._received_bytes = 0
        # Of the whole request that is being read.
        self._load = work.new_load()
        # Method of the request that is being received or answered.
        self.method = b""

    @property
    def kept_bytes(self) -> int:
        """Return how many bytes were received and belong to no request."""
        return len(self.parser.trailing_data[0])

    @property
    def has_next_request(self) -> bool:
        """Whether bytes of a request after the current one have arrived.

        Some callers send an empty line after a body, which is none.
        """
        received = self.parser.trailing_data[0].lstrip(_LINE_END)
        if not received:
            unread = sockets.peek_unread_bytes(
                self._stream.socket, _PEEKED_BYTES
            )
            received = unread.lstrip(_LINE_END)
        return bool(received)

    def set_header_bytes(self, header_bytes: int) -> None:
        """Let the next request have a header section of ``header_bytes``."""
        if header_bytes != self._header_bytes:
            self._header_bytes = header_bytes
            self._renew_parser()

    def skip_empty_lines(self) -> None:
        """Forget empty lines that have arrived before the next request."""
        if self.parser.trailing_data[0].startswith((b"\r", b"\n")):
            self._renew_parser()

    def _renew_parser(self) -> None:
        received = self.parser.trailing_data[0].lstrip(_LINE_END)
        self.parser = _new_parser(self._header_bytes)
        if received:
            self.parser.receive_data(received)

    async def read_head(self, limits: _types.ServerLimits) -> _Head:
        """Return the head of a request or a failure; ``None`` at the end.

        The time of the limit begins with this call.
        """
        self.method = b""
        self._load = work.new_load()
        self._begin_part(_MAX_HEAD_PIECES)
        deadline = trio.current_time() + limits.header_timeout_seconds
        self._hold(self.kept_bytes)
        try:
            head = await self._next_event(deadline, _READ_AHEAD_BYTES)
        except trio.TooSlowError:
            return result.Err(_failures.RequestTooSlow())
        except _TooManyPieces:
            return result.Err(_failures.RequestTooFragmented())
        except work.WorkEnded:
            return result.Err(work.WorkExhausted())
        except h11.RemoteProtocolError as exc:
            if exc.error_status_hint == 431:
                return result.Err(_failures.HeadTooLarge())
            return result.Err(_failures.RequestUnreadable(str(exc)))
        if not isinstance(head, h11.Request):
            return None
        self._head_bytes = _held_bytes(head)
        self._hold(self._head_bytes + self.kept_bytes)
        self.method = head.method
        if head.method == _CONNECT:
            return result.Err(_failures.MethodUnsupported())
        return result.Ok(head)

    def find_body_fault(
        self,
        head: h11.Request,
        limits: _types.ServerLimits,
        current_limits: collections.abc.Callable[[], _types.ServerLimits],
    ) -> errors.Failure | None:
        """Return why a body must be refused before any of it is read.

        Its announced length is over ``limits`` and over ``current_limits``.
        """
        length = _body_length(head) or 0
        if length <= limits.body_bytes:
            return None
        if length <= current_limits().body_bytes:
            return None
        return _failures.BodyTooLarge()

    async def read_body(
        self,
        head: h11.Request,
        limits: _types.ServerLimits,
        current_limits: collections.abc.Callable[[], _types.ServerLimits],
    ) -> _Body:
        """Return the body of a request or a failure; ``None`` at the end.

        A body over ``limits`` is allowed by larger ``current_limits``.  The
        whole body has the time of the limit, and as much more as its bytes
        take at a minimum rate.
        """
        length = _body_length(head)
        max_bytes = _READ_AHEAD_BYTES
        body = bytearray()
        self._begin_part()
        started_at = trio.current_time()
        while True:
            deadline = started_at + limits.header_timeout_seconds
            deadline += len(body) / _MIN_BODY_BYTES_PER_SECOND
            if length is not None:
                max_bytes = min(max(1, length - len(body)), _BODY_READ_BYTES)
            try:
                event = await self._next_event(deadline, max_bytes)
            except trio.TooSlowError:
                return result.Err(_failures.RequestTooSlow())
            except _TooManyPieces:
                return result.Err(_failures.RequestTooFragmented())
            except work.WorkEnded:
                return result.Err(work.WorkExhausted())
            except h11.RemoteProtocolError as exc:
                return result.Err(_failures.RequestUnreadable(str(exc)))
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return None
            body += event.data
            self._hold(self._head_bytes + len(body) + self.kept_bytes)
            framing_bytes = self._received_bytes - len(body)
            if framing_bytes > _MAX_FRAMING_BYTES + len(body) // 2:
                return result.Err(_failures.RequestTooFragmented())
            if len(body) <= limits.body_bytes:
                continue
            limits = current_limits()
            if len(body) > limits.body_bytes:
                return result.Err(_failures.BodyTooLarge())
        return result.Ok(bytes(body))

    def _begin_part(self, max_pieces: float = math.inf) -> None:
        self._received_bytes = 0
        self._max_pieces = max_pieces
        self._pieces = 0

    async def _next_event(self, deadline: float, max_bytes: int) -> typing.Any:
        """Return the next part of a request; ``None`` at the end.

        Raises ``trio.TooSlowError`` after the deadline, and
        ``_TooManyPieces``.
        """
        while True:
            event = self.parser.next_event()
            self._pieces += 1
            size_bytes = 0
            if isinstance(event, h11.Data):
                size_bytes = len(event.data)
            self._load.add(1, size_bytes)
            has_too_many = self._pieces > self._max_pieces
            if has_too_many or self._load.is_too_fragmented:
                raise _TooManyPieces
            if event is not h11.NEED_DATA:
                if self._pieces % _PIECES_IN_A_TURN == 0:
                    await work.pass_turn(self._load)
                return event
            data = await self._receive_by(deadline, max_bytes)
            if not data:
                return None
            self._received_bytes += len(data)
            if not self.method:
                self._load.add(0, len(data))
            self.parser.receive_data(data)
            if not self.method:
                # A head is not taken out of the parser before its end.
                self._hold(self.kept_bytes)

    async def _receive_by(self, deadline: float, max_bytes: int) -> bytes:
        is_costly = self._load.is_costly
        with trio.CancelScope(deadline=deadline) as scope:
            if not is_costly:
                return await self._receive(max_bytes)
            await trio.lowlevel.wait_readable(self._stream.socket)
        # They may have arrived in time, while this process did not run.
        if scope.cancelled_caught and not sockets.count_unread_bytes(
            self._stream.socket
        ):
            raise trio.TooSlowError
        if not is_costly:
            return await self._receive(max_bytes)
        # The wait for a turn is not the caller's time.
        async with work.turn(self._load):
            return await self._receive(max_bytes)

    async def receive_request(self) -> bool:
        """Wait for the first bytes of a request; return false at the end.

        Empty lines before it are ignored (RFC 9112, section 2.2).
        """
        while data := await self._receive(_READ_AHEAD_BYTES):
            data = data.lstrip(_LINE_END)
            if data:
                self.parser.receive_data(data)
                return True
        return False

    async def _receive(self, max_bytes: int) -> bytes:
        try:
            data = await self._stream.receive_some(max_bytes)
        except trio.BrokenResourceError:
            self.has_caller_closed = True
            raise
        self.has_caller_closed = not data
        return data

    async def watch_for_close(self, scope: trio.CancelScope) -> None:
        """Cancel a scope when the caller closes its connection.

        Reads nothing: what the caller sends meanwhile stays in the socket,
        whose buffer bounds it.
        """
        try:
            if await self._stream.wait_for_bytes():
                while not sockets.has_peer_closed(self._stream.socket):
                    await trio.sleep(_CLOSE_CHECK_SECONDS)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.has_caller_closed = True
        scope.cancel()


def _new_parser(header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)


def _held_bytes(head: h11.Request) -> int:
    """Return how many bytes a head takes with its objects."""
    fields = sum(
        len(name) + len(value) + _FIELD_BYTES for name, value in head.headers
    )
    return len(head.target) + fields


def _body_length(head: h11.Request) -> int | None:
    """Return the length that a head states for its body, if it does."""
    headers = tuple(head.headers)
    if _types.find_header(headers, b"transfer-encoding") is not None:
        return None
    return int(_types.find_header(headers, b"content-length") or b"0")
