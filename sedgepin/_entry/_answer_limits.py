"""Limits on endpoints' answers that httpcore leaves open."""

import typing

import httpcore
import trio

from sedgepin._entry import _answer_holder
from sedgepin import _http_client as http_client
from sedgepin import _web as web

_READ_BYTES = 16_384
# All interim answers in a read are parsed without a pause.
_HEAD_READ_BYTES = 4_096
# All interim answers and the head of the final one.
_MAX_HEAD_BYTES = 65_536
_MAX_BODY_PIECES = 16_384
# What a piece takes beside its bytes.
_PIECE_BYTES = 48
# Tiny chunks would otherwise hold up all other connections.
_PIECES_BETWEEN_CHECKPOINTS = 64
_HEAD_COMPLETE = "http11.receive_response_headers.complete"
_STREAM_EVENTS = (
    "connection.connect_tcp.complete",
    "connection.start_tls.complete",
)


class _LimitedStream(http_client.CheckedAsyncStream):
    """A connection that fails if the head of its answer has no end."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        super().__init__(stream)
        self._head_timer: web.PartTimer | None = web.PartTimer()
        self._head_bytes = 0
        self._holder = _answer_holder.AnswerHolder()

    def follow(self, holder: _answer_holder.AnswerHolder) -> None:
        """Count what arrives in ``holder``."""
        self._holder = holder

    def record_head(self) -> None:
        """Lift the limits after the head was received."""
        self._head_timer = None
        self._holder.keep(0)

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return some bytes.

        Raises ``httpcore.RemoteProtocolError`` if the head has no end or is
        invalid.
        """
        timer = self._head_timer
        limit = _READ_BYTES if timer is None else _HEAD_READ_BYTES
        data = await super().read(min(max_bytes, limit), timeout)
        self._holder.add_unparsed(len(data))
        if timer is None:
            return data
        self._head_bytes += len(data)
        is_endless = timer.add_bytes(trio.current_time())
        if data.endswith(b"\r\n\r\n"):
            timer.reset()
        if is_endless or self._head_bytes > _MAX_HEAD_BYTES:
            raise httpcore.RemoteProtocolError("the head has no end")
        return data


def open_backend() -> http_client.CheckedAsyncBackend:
    """Return a backend with limits on the heads of endpoints' answers.

    A request on its connections must have ``HeadLimit.trace`` as its extension
    ``trace``, which lifts the limits after the head.
    """
    return http_client.CheckedAsyncBackend(_LimitedStream)


class HeadLimit:
    """Follows one request, to lift the limits on the head after it."""

    def __init__(self, holder: _answer_holder.AnswerHolder) -> None:
        self._holder = holder
        self._stream: _LimitedStream | None = None

    async def trace(self, event: str, details: dict[str, typing.Any]) -> None:
        """Handle an event of httpcore."""
        if event in _STREAM_EVENTS:
            self._stream = details["return_value"]
            self._stream.follow(self._holder)
        if event == _HEAD_COMPLETE and self._stream is not None:
            self._stream.record_head()


class PieceCounter:
    """Lets other tasks run while a body of many pieces is read."""

    __slots__ = ("_count",)

    def __init__(self) -> None:
        self._count = 0

    async def record_piece(self) -> None:
        """Count a piece, and now and then let other tasks run."""
        self._count += 1
        if self._count % _PIECES_BETWEEN_CHECKPOINTS == 0:
            await trio.lowlevel.checkpoint()

    @property
    def is_over_limit(self) -> bool:
        """Return whether no whole answer has that many pieces."""
        return self._count > _MAX_BODY_PIECES


class BodyCollector:
    """Joins the pieces of a body, within limits."""

    __slots__ = (
        "_counter",
        "_holder",
        "_limit_bytes",
        "_pieces",
        "_size_bytes",
    )

    def __init__(
        self, limit_bytes: int, holder: _answer_holder.AnswerHolder
    ) -> None:
        self._limit_bytes = limit_bytes
        self._holder = holder
        # A single buffer would be moved as it grows, and take twice the
        # memory.
        self._pieces: list[bytes] = []
        self._size_bytes = 0
        self._counter = PieceCounter()

    async def add_piece(self, piece: bytes) -> bool:
        """Add a piece; return whether the body is within the limits."""
        self._pieces.append(piece)
        self._size_bytes += len(piece)
        self._holder.keep(self._size_bytes + _PIECE_BYTES * len(self._pieces))
        await self._counter.record_piece()
        is_over_size = self._size_bytes > self._limit_bytes
        return not (is_over_size or self._counter.is_over_limit)

    def join(self) -> bytes:
        """Return the pieces as one."""
        return b"".join(self._pieces)


async def read_body(
    response: httpcore.Response,
    limit_bytes: int,
    holder: _answer_holder.AnswerHolder,
) -> bytes | None:
    """Return the whole body, or ``None`` if it is over a limit."""
    collector = BodyCollector(limit_bytes, holder)
    async for piece in response.aiter_stream():
        if not await collector.add_piece(piece):
            return None
    return collector.join()
