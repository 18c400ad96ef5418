"""HTTP client that opens a new connection for each request."""

import socket
import typing

import h11
import result
import trio

from sedgepin import _memory as memory
from sedgepin import _response_heads as response_heads
from sedgepin import _sockets as sockets
from sedgepin._web import _bulk_reads
from sedgepin._web import _connection
from sedgepin._web import _failures
from sedgepin._web import _part_timer
from sedgepin._web import _types

_READ_BYTES = 65_536
# Counting costs time, so it is done for this much at once.
_MIN_COUNTED_BYTES = 4096
_HEAD_LIMIT_BYTES = 65_536
_MAX_INTERIM_ANSWERS = 100
# Each piece of a body costs some 10 us, however small it is.
_MAX_BODY_PIECES = 16_384
# Beyond so many, their mean size counts.
_MAX_TINY_PIECES = 4096
_TINY_PIECE_BYTES = 16
# What the object of a piece takes beside its bytes.
_PIECE_OVERHEAD_BYTES = 64
# Tiny chunks would otherwise hold up all other connections.
_EVENTS_BETWEEN_CHECKPOINTS = 64
# A request up to this size fits into the socket's send buffer.  Sending it
# cannot block on an endpoint that answers before it has read everything.
_INLINE_SEND_LIMIT_BYTES = 8_192
# A vanished host is detected after about 3 s, while an endpoint that is only
# slow keeps its connection.
_KEEPALIVE_IDLE_SECONDS = 1
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 2
# It also decides when probes give up; at 3 s sharp, most would do so at 4 s.
_UNACKNOWLEDGED_LIMIT_MILLISECONDS = 2_900

_HeadResult: typing.TypeAlias = result.Result[
    _types.AnswerHead, _failures.AnswerBroken
]
_DataResult: typing.TypeAlias = result.Result[
    bytes | None, _failures.AnswerBroken
]


class ClientConnection(_connection.AnswerConnection):
    """A connection for a single request and its answer.

    >>> connected = await ClientConnection.open("127.0.0.1:80", 0.5)
    >>> conn = connected.unwrap()
    >>> await conn.send(request)
    >>> head = (await conn.read_head()).unwrap()
    >>> data = (await conn.read_data()).unwrap()  # None at the end
    """

    __slots__ = (
        "_account",
        "_address",
        "_body_bytes",
        "_conn",
        "_delivery",
        "_event_count",
        "_flow",
        "_has_data",
        "_has_ended",
        "_part_timer",
        "_scanner",
        "_stream",
        "_uncounted_bytes",
        "_unsent_bytes",
    )

    def __init__(
        self,
        address: str,
        stream: sockets.DirectStream,
        account: memory.Account | None = None,
    ) -> None:
        self._address = address
        self._stream = stream
        self._delivery = sockets.RequestDelivery(stream.socket)
        # Holds what was received of an incomplete part, or of a whole body,
        # and a long request until it was sent.
        self._account = account
        self._body_bytes = 0
        # Received since the account was changed, whether passed on or not.
        self._uncounted_bytes = 0
        # Of a request that is sent while its answer is read.
        self._unsent_bytes = 0
        self._has_data = False
        self._event_count = 0
        self._flow = _bulk_reads.FlowMeter()
        self._has_ended = False
        self._part_timer = _part_timer.PartTimer()
        self._scanner = response_heads.HeadScanner()
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_HEAD_LIMIT_BYTES
        )

    @classmethod
    async def open(
        cls,
        address: str,
        timeout_seconds: float,
        account: memory.Account | None = None,
    ) -> result.Result["ClientConnection", _failures.ConnectFailed]:
        """Connect to an IPv4 ``address`` of the form ``host:port``.

        The connection holds what it has not passed on in ``account``, whose
        end must end the reading.
        """
        host, _, port = address.rpartition(":")
        try:
            with trio.fail_after(timeout_seconds):
                stream = await sockets.DirectStream.connect(host, int(port))
        except (OSError, ValueError, trio.TooSlowError) as exc:
            reason = type(exc).__name__
            return result.Err(_failures.ConnectFailed(address, reason))
        stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sockets.enable_keepalive(
            stream.socket,
            _KEEPALIVE_IDLE_SECONDS,
            _KEEPALIVE_INTERVAL_SECONDS,
            _KEEPALIVE_PROBES,
        )
        return result.Ok(cls(address, stream, account))

    async def send(
        self, request: _types.Request, nursery: trio.Nursery | None = None
    ) -> result.Result[None, _failures.AnswerBroken]:
        """Send a request.

        With a ``nursery``, a task in it sends a request with a long body, so
        that an answer that comes before the whole body is sent can be read.
        ``read_head`` then reports a failure to send.
        """
        headers = [*request.headers]
        if request.body or request.method not in (b"GET", b"HEAD"):
            length = b"%d" % len(request.body)
            headers.append((b"Content-Length", length))
        try:
            head = h11.Request(
                method=request.method, target=request.target, headers=headers
            )
            data = self._conn.send(head)
            data += self._conn.send(h11.Data(data=request.body))
            data += self._conn.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            return result.Err(self._answer_broken(exc))
        if len(data) <= _INLINE_SEND_LIMIT_BYTES:
            # An endpoint may be slow to read a long body.
            sockets.limit_unacknowledged_time(
                self._stream.socket, _UNACKNOWLEDGED_LIMIT_MILLISECONDS
            )
        elif nursery is not None:
            self._unsent_bytes = len(data)
            self._hold()
            nursery.start_soon(self._send_in_background, data)
            return result.Ok(None)
        try:
            await self._send_pieces(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            return result.Err(self._answer_broken(exc))
        return result.Ok(None)

    async def read_head(self) -> _HeadResult:
        """Return the head of the final answer, skipping 1xx responses."""
        for _interim in range(_MAX_INTERIM_ANSWERS + 1):
            outcome = await self._next_event()
            if isinstance(outcome, result.Err):
                return outcome
            event = outcome.ok_value
            if isinstance(event, h11.Response):
                headers = tuple(event.headers.raw_items())
                return result.Ok(_types.AnswerHead(event.status_code, headers))
            if not isinstance(event, h11.InformationalResponse):
                return result.Err(self._answer_broken("no answer"))
        return result.Err(
            self._answer_broken(
                f"more than {_MAX_INTERIM_ANSWERS} interim answers", True
            )
        )

    async def read_data(self) -> _DataResult:
        """Return the next bytes of the body, or ``None`` at its end."""
        outcome = await self._next_event()
        if isinstance(outcome, result.Err):
            return outcome
        event = outcome.ok_value
        if isinstance(event, h11.Data):
            return result.Ok(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            return result.Ok(None)
        return result.Err(
            self._answer_broken("closed before the end of the body")
        )

    async def read_body(
        self, limit_bytes: int
    ) -> result.Result[bytes, _failures.AnswerBroken]:
        """Return the whole body, or a failure if it is over the limit."""
        try:
            return await self._read_body(limit_bytes)
        finally:
            self._body_bytes = 0
            self._hold()

    async def _read_body(
        self, limit_bytes: int
    ) -> result.Result[bytes, _failures.AnswerBroken]:
        # One buffer would be moved as it grows, and take twice the memory.
        pieces: list[bytes] = []
        size_bytes = 0
        for _piece in range(_MAX_BODY_PIECES):
            data = await self.read_data()
            if isinstance(data, result.Err):
                return data
            if data.ok_value is None:
                return result.Ok(b"".join(pieces))
            pieces.append(data.ok_value)
            size_bytes += len(data.ok_value)
            if len(pieces) > _MAX_TINY_PIECES and (
                size_bytes < len(pieces) * _TINY_PIECE_BYTES
            ):
                return result.Err(
                    self._answer_broken(
                        f"the body is in {len(pieces)} pieces of less than"
                        f" {_TINY_PIECE_BYTES} bytes",
                        True,
                    )
                )
            self._body_bytes = size_bytes + len(pieces) * _PIECE_OVERHEAD_BYTES
            if size_bytes > limit_bytes:
                return result.Err(
                    self._answer_broken(
                        f"the body is over {limit_bytes} bytes", True
                    )
                )
        return result.Err(
            self._answer_broken(
                f"the body is in more than {_MAX_BODY_PIECES} pieces", True
            )
        )

    def timed_out(self, timeout_seconds: float) -> _failures.AnswerBroken:
        """Return the failure of an exchange that took too long."""
        reason = f"no answer within {timeout_seconds} s"
        return _failures.AnswerBroken(
            self._address, reason, True, self._has_data
        )

    def released(self) -> _failures.AnswerBroken:
        """Return the failure of an exchange whose bytes are not held."""
        return self._answer_broken("the memory for answers was used up")

    def was_reset(self) -> bool:
        """Return whether the connection was reset, also after its end."""
        return sockets.was_reset(self._stream.socket)

    def close(self) -> None:
        """Close the connection at once, also during an answer."""
        self._stream.close()
        if self._account is not None:
            self._account.close()

    def _hold(self) -> None:
        """State what is held of the answer, and of the request."""
        self._uncounted_bytes = 0
        if self._account is not None:
            self._account.hold(
                self._body_bytes
                + self._unsent_bytes
                + self._scanner.buffered_bytes
                + len(self._conn.trailing_data[0])
            )

    async def _next_event(
        self,
    ) -> result.Result[typing.Any, _failures.AnswerBroken]:
        self._event_count += 1
        if self._event_count % _EVENTS_BETWEEN_CHECKPOINTS == 0:
            await self._let_others_run()
        try:
            while True:
                event = self._conn.next_event()
                if event is not h11.NEED_DATA:
                    self._part_timer.reset()
                    return result.Ok(event)
                if self._uncounted_bytes > _MIN_COUNTED_BYTES:
                    self._hold()
                received = await self._receive()
                self._has_data = self._has_data or bool(received)
                problem = self._check(received)
                if problem is not None:
                    return result.Err(problem)
                if len(received) > _MIN_COUNTED_BYTES:
                    self._hold()
                self._uncounted_bytes += len(received)
                time = trio.current_time()
                self._flow.add(len(received), 0, time)
                if self._part_timer.add_bytes(time):
                    return result.Err(
                        self._answer_broken("a part has no end", True)
                    )
        except h11.RemoteProtocolError as exc:
            # An answer that its connection cut short may have been valid.
            return result.Err(self._answer_broken(exc, not self._has_ended))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            return result.Err(self._answer_broken(exc))

    def _check(self, received: bytes) -> _failures.AnswerBroken | None:
        """Let the parser have what is checked; return what is wrong."""
        self._has_ended = not received
        if self._has_ended:
            gap = self._delivery.find_gap()
            if gap is not None:
                return self._answer_broken(gap)
            rest = self._scanner.take_rest()
            if rest:
                self._conn.receive_data(rest)
            self._conn.receive_data(b"")
            return None
        checked = self._scanner.feed(received)
        if isinstance(checked, result.Err):
            reason = f"invalid response head: {checked.err_value}"
            return self._answer_broken(reason, True)
        if self._scanner.buffered_bytes > _HEAD_LIMIT_BYTES:
            reason = f"a head is over {_HEAD_LIMIT_BYTES} bytes"
            return self._answer_broken(reason, True)
        if checked.ok_value:
            self._conn.receive_data(checked.ok_value)
        return None

    async def _let_others_run(self) -> None:
        self._flow.add(0, _EVENTS_BETWEEN_CHECKPOINTS, trio.current_time())
        if not self._flow.is_bulk:
            await trio.lowlevel.checkpoint()
            return
        async with _bulk_reads.turn():
            await trio.lowlevel.checkpoint()

    async def _receive(self) -> bytes:
        if not self._flow.is_bulk:
            return await self._stream.receive_some(_READ_BYTES)
        await trio.lowlevel.wait_readable(self._stream.socket)
        async with _bulk_reads.turn():
            return await self._stream.receive_some(_READ_BYTES)

    async def _send_in_background(self, data: bytes) -> None:
        try:
            await self._send_pieces(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # A response with a length or chunks may be whole all the same.
            # Any other is checked at its end.
            return
        self._unsent_bytes = 0
        self._hold()

    async def _send_pieces(self, data: bytes) -> None:
        for piece in self._delivery.pieces(data):
            await self._stream.send_all(piece)

    def _answer_broken(
        self, reason: Exception | str, is_invalid: bool = False
    ) -> _failures.AnswerBroken:
        text = reason if isinstance(reason, str) else type(reason).__name__
        return _failures.AnswerBroken(
            self._address,
            text,
            has_data=self._has_data,
            is_invalid=is_invalid,
        )
