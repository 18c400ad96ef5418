"""The connection to an endpoint through another entry VM."""

import dataclasses
import math
import typing

import result
import trio

from sedgepin._forwarding import _frames
from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _response_heads as response_heads
from sedgepin import _sockets as sockets
from sedgepin import _web as web
from sedgepin import errors

# A forwarder that runs reads a request at once.
_UNACKNOWLEDGED_LIMIT_MILLISECONDS = 2_900
# As many as of an answer that comes directly.
_MAX_BODY_PIECES = 16_384
# What the object of a piece takes beside its bytes.
_PIECE_OVERHEAD_BYTES = 64
# A frame has no version; the forwarder checks that of the endpoint.
_FORWARDED_VERSION = b"1.1"


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardFailed(errors.Failure):
    """No connection through a forwarder; the endpoint got nothing.

    ``is_beyond`` tells whether the forwarder has answered that it cannot
    reach or use the endpoint, ``is_refused`` whether no process serves there,
    ``is_unknown`` that it does not know the endpoint, ``is_sound`` whether its
    own links are not the cause.
    """

    code: typing.ClassVar[str] = "forward_failed"
    title: typing.ClassVar[str] = "The endpoint cannot be reached by another"
    http_status: typing.ClassVar[int] = 503

    forwarder: str
    reason: str
    is_beyond: bool = False
    is_refused: bool = False
    is_unknown: bool = False
    is_sound: bool | None = None

    def detail(self) -> str:
        """Return the forwarder and the reason."""
        return f"through {self.forwarder}: {self.reason}"


class ForwardedConnection(web.AnswerConnection):
    """A connection for a single request, carried by a forwarder.

    The answer is complete only if the forwarder says so: the end of the
    connection is a failure, whatever the framing of the endpoint's answer.

    >>> opened = await ForwardedConnection.open(
    ...     forwarder, endpoint_id, incarnation, "10.0.0.9:80", 0.5
    ... )
    >>> conn = opened.unwrap()
    """

    __slots__ = (
        "_account",
        "_frames",
        "_name",
        "_stream",
        "deadline",
        "is_lost",
    )

    def __init__(
        self,
        name: str,
        stream: sockets.DirectStream,
        account: memory.Account | None = None,
    ) -> None:
        self._name = name
        self._stream = stream
        self._account = account
        self._frames = _frames.FrameStream(stream, account)
        # When the answer is of no use any more, by trio's clock.
        self.deadline = math.inf
        # Set if the connection to the forwarder itself broke.
        self.is_lost = False

    @classmethod
    async def open(
        cls,
        forwarder: protocol.Forwarder,
        endpoint_id: model.EndpointId,
        incarnation: int | None,
        address: str,
        timeout_seconds: float,
        request_id: str = "",
        account: memory.Account | None = None,
    ) -> result.Result["ForwardedConnection", ForwardFailed]:
        """Let a forwarder connect to an endpoint at an ``address``.

        The connection holds what it has not passed on in ``account``, whose
        end must end the reading.
        """
        host, _, port = forwarder.address.rpartition(":")
        frame = _frames.OpenForward(
            forwarder.key, endpoint_id, incarnation, address, request_id
        )
        conn: ForwardedConnection | None = None
        is_open = False
        try:
            with trio.fail_after(timeout_seconds):
                stream = await sockets.DirectStream.connect(host, int(port))
                conn = cls(forwarder.vm_id, stream, account)
                _frames.set_options(stream.socket)
                sockets.limit_unacknowledged_time(
                    stream.socket, _UNACKNOWLEDGED_LIMIT_MILLISECONDS
                )
                await conn._frames.send(frame)
                answer = await conn._frames.receive(
                    _frames.ANSWER_FRAME_LIMIT_BYTES
                )
            is_open = isinstance(answer, _frames.ForwardOpened)
            if is_open:
                return result.Ok(conn)
            if not isinstance(answer, _frames.ForwardRefused):
                answer = _frames.ForwardRefused("no answer in the protocol")
            return result.Err(
                ForwardFailed(
                    forwarder.vm_id,
                    answer.reason,
                    answer.is_beyond,
                    answer.is_refused,
                    answer.is_unknown,
                    answer.is_sound,
                )
            )
        except (
            OSError,
            ValueError,
            trio.TooSlowError,
            trio.BrokenResourceError,
        ) as exc:
            return result.Err(
                ForwardFailed(forwarder.vm_id, type(exc).__name__)
            )
        finally:
            if conn is not None and not is_open:
                conn.close()

    async def send(
        self, request: web.Request, nursery: trio.Nursery | None = None
    ) -> result.Result[None, web.AnswerBroken]:
        """Send a request; the forwarder reads the whole of it first."""
        milliseconds_left: int | None = None
        if self.deadline < math.inf:
            seconds = max(0.0, self.deadline - trio.current_time())
            milliseconds_left = math.ceil(seconds * 1000)
        frame = _frames.ForwardedRequest(
            request.method,
            request.target,
            request.headers,
            request.body,
            milliseconds_left,
        )
        try:
            await self._frames.send(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            return result.Err(self._broken(type(exc).__name__))
        return result.Ok(None)

    async def read_head(
        self,
    ) -> result.Result[web.AnswerHead, web.AnswerBroken]:
        """Return the head of the final answer."""
        frame = await self._receive()
        if not isinstance(frame, _frames.ForwardedHead):
            return result.Err(self._broken_by(frame))
        # The build before passes on what this one refuses.
        fault = response_heads.find_fault(
            response_heads.ResponseHead(
                _FORWARDED_VERSION,
                b"%d" % frame.status,
                b"",
                frame.headers,
            )
        )
        if fault is not None:
            return result.Err(
                self._broken(f"invalid response head: {fault}", True)
            )
        return result.Ok(web.AnswerHead(frame.status, frame.headers))

    async def read_data(
        self,
    ) -> result.Result[bytes | None, web.AnswerBroken]:
        """Return the next bytes of the body, or ``None`` at its end."""
        frame = await self._receive()
        if isinstance(frame, _frames.ForwardedData):
            return result.Ok(frame.data)
        if isinstance(frame, _frames.ForwardedEnd):
            return result.Ok(None)
        return result.Err(self._broken_by(frame))

    async def read_body(
        self, limit_bytes: int
    ) -> result.Result[bytes, web.AnswerBroken]:
        """Return the whole body, or a failure if it is over the limit."""
        try:
            return await self._read_body(limit_bytes)
        finally:
            self._frames.keep(0)

    async def _read_body(
        self, limit_bytes: int
    ) -> result.Result[bytes, web.AnswerBroken]:
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
            if size_bytes > limit_bytes:
                return result.Err(
                    self._broken(f"the body is over {limit_bytes} bytes")
                )
            self._frames.keep(size_bytes + len(pieces) * _PIECE_OVERHEAD_BYTES)
        return result.Err(
            self._broken(f"the body is in more than {_MAX_BODY_PIECES} pieces")
        )

    def close(self) -> None:
        """Close the connection at once; the forwarder ends the request."""
        self._stream.close()
        if self._account is not None:
            self._account.close()

    async def _receive(self) -> _frames.Frame:
        try:
            return await self._frames.receive(_frames.ANSWER_FRAME_LIMIT_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            self.is_lost = True
            return _frames.ForwardedBroken(type(exc).__name__)

    def _broken_by(self, frame: _frames.Frame) -> web.AnswerBroken:
        if isinstance(frame, _frames.ForwardedBroken):
            return self._broken(frame.reason, frame.is_invalid)
        return self._broken(f"unexpected {type(frame).__name__}")

    def _broken(
        self, reason: str, is_invalid: bool = False
    ) -> web.AnswerBroken:
        return web.AnswerBroken(
            f"through {self._name}", reason, is_invalid=is_invalid
        )
