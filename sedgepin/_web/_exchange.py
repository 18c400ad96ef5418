"""Requests of callers, and the interface that answers them."""

import abc
import collections.abc

import h11
import trio

from sedgepin._web import _request_ends
from sedgepin._web import _types
from sedgepin import errors


class AnswerSink(abc.ABC):
    """The connection that an answer is sent on."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def has_caller_closed(self) -> bool:
        """Whether the caller closed the connection first."""

    @property
    @abc.abstractmethod
    def closes_after_answer(self) -> bool:
        """Return whether answers must announce ``Connection: close``."""

    @abc.abstractmethod
    async def write(self, *parts: h11.Event) -> None:
        """Send parts of an answer.

        Raises ``trio.ClosedResourceError`` after a cancelled send.
        """


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
        "on_eviction",
        "request",
    )

    def __init__(
        self, connection: AnswerSink, request: _types.Request
    ) -> None:
        self._connection = connection
        self.request = request
        self.has_started = False
        # Name of the request in log lines, and why its answer was given up.
        self.label = ""
        self.cut_reason = "handler_returned"
        # Called when the bytes of the request are not held any longer.  The
        # server's own cancels the handler; one that knows whether the request
        # has run sets another, and answers.
        self.on_eviction: collections.abc.Callable[[], None] | None = None

    @property
    def has_caller_closed(self) -> bool:
        """Whether the caller closed the connection first."""
        return self._connection.has_caller_closed

    def evict(self) -> None:
        """Let the handler end the request, whose memory is needed."""
        self.cut("memory_exhausted")
        if self.on_eviction is not None:
            self.on_eviction()

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
        closed and the caller sees an incomplete answer; if none was begun, it
        gets that of ``HandlerFailed``.
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
