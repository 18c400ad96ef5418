"""Forwards the requests of other entry VMs to endpoints."""

import abc
import hmac

import result
import trio

from sedgepin._forwarding import _frames
from sedgepin import _sockets as sockets
from sedgepin import _web as web
from sedgepin import containment

_CONNECT_TIMEOUT_SECONDS = 0.25
# The other VM asks at once, and sends the request as soon as it may.
_REQUEST_TIMEOUT_SECONDS = 3.0
# Until its key was checked, a peer may be anybody.
_OPENING_LIMIT_BYTES = 4096
# Each costs about as much as a request of an own caller.  Beyond this the
# callers of this VM would suffer.
_MAX_FORWARDED = 256


class ForwardingPolicy(abc.ABC):
    """Decides which requests of other entry VMs are forwarded."""

    __slots__ = ()

    def knows(self, opening: _frames.OpenForward) -> bool:
        """Return whether this VM knows the endpoint at its address."""
        return True

    @abc.abstractmethod
    def refusal(
        self, opening: _frames.OpenForward
    ) -> _frames.ForwardRefused | None:
        """Return why an endpoint must get no request, or ``None``."""

    @abc.abstractmethod
    def record_unreached(self, opening: _frames.OpenForward) -> bool:
        """Record that no connection to an endpoint could be made.

        Return whether this VM reaches others, so that only the endpoint can
        be the cause.
        """

    @abc.abstractmethod
    def record_opened(
        self, opening: _frames.OpenForward, open_count: int
    ) -> None:
        """Record that a connection to an endpoint was made."""

    @abc.abstractmethod
    def record_refused(
        self, opening: _frames.OpenForward, refusal: _frames.ForwardRefused
    ) -> None:
        """Record that a request is not forwarded."""

    @abc.abstractmethod
    def record_head(
        self, opening: _frames.OpenForward, head: web.AnswerHead
    ) -> None:
        """Heed what an endpoint tells this VM in the head of an answer."""


class ForwardingServer:
    """Carries requests of other entry VMs to endpoints, one a connection.

    A request goes to an endpoint only after the other VM knows that the
    connection is open, so that what it was told before is true: nothing was
    sent.  It ends when the other VM closes its connection.
    """

    __slots__ = ("_count", "_key", "_policy", "is_draining")

    def __init__(self, key: str, policy: ForwardingPolicy) -> None:
        self._key = key
        self._policy = policy
        self._count = 0
        self.is_draining = False

    @property
    def open_forwards(self) -> int:
        """Return how many connections of other entry VMs are open."""
        return self._count

    async def serve(
        self,
        address: str,
        task_status: trio.TaskStatus[
            list[trio.SocketListener]
        ] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve on ``address`` (``host:port``) until cancelled."""
        host, _, port = address.rpartition(":")
        await trio.serve_tcp(
            self._handle, int(port), host=host, task_status=task_status
        )

    async def _handle(self, accepted: trio.SocketStream) -> None:
        stream = sockets.DirectStream.adopt(accepted)
        try:
            with containment.contain("forward"):
                await self._serve_stream(stream)
        finally:
            stream.close()

    async def _serve_stream(self, stream: sockets.DirectStream) -> None:
        try:
            _frames.set_options(stream.socket)
            await self._forward(_frames.FrameStream(stream))
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _forward(self, frames: _frames.FrameStream) -> None:
        opening: _frames.Frame | None = None
        with trio.move_on_after(_REQUEST_TIMEOUT_SECONDS):
            opening = await frames.receive(_OPENING_LIMIT_BYTES)
        if not isinstance(opening, _frames.OpenForward):
            return
        if not self._is_key(opening.key):
            refusal = _frames.ForwardRefused("the key is wrong")
            self._policy.record_refused(opening, refusal)
            await frames.send(refusal)
            return
        self._count += 1
        try:
            await self._forward_opened(frames, opening)
        finally:
            self._count -= 1

    def _is_key(self, key: str) -> bool:
        return hmac.compare_digest(key.encode(), self._key.encode())

    async def _forward_opened(
        self, frames: _frames.FrameStream, opening: _frames.OpenForward
    ) -> None:
        connected = await self._connect(opening)
        if isinstance(connected, result.Err):
            refusal = connected.err_value
            self._policy.record_refused(opening, refusal)
            await frames.send(refusal)
            return
        conn = connected.ok_value
        try:
            self._policy.record_opened(opening, self._count)
            await frames.send(_frames.ForwardOpened())
            request: _frames.Frame | None = None
            with trio.move_on_after(_REQUEST_TIMEOUT_SECONDS):
                request = await frames.receive()
            if isinstance(request, _frames.ForwardedRequest):
                await self._relay(frames, conn, opening, request)
        finally:
            conn.close()

    async def _connect(
        self, opening: _frames.OpenForward
    ) -> result.Result[web.ClientConnection, _frames.ForwardRefused]:
        if self.is_draining:
            return result.Err(_frames.ForwardRefused("this VM drains"))
        if self._count > _MAX_FORWARDED:
            return result.Err(_frames.ForwardRefused("busy"))
        if not self._policy.knows(opening):
            return result.Err(
                _frames.ForwardRefused(
                    "the endpoint is unknown", is_unknown=True
                )
            )
        refusal = self._policy.refusal(opening)
        if refusal is not None:
            return result.Err(refusal)
        connected = await web.ClientConnection.open(
            opening.address, _CONNECT_TIMEOUT_SECONDS
        )
        if isinstance(connected, result.Err):
            failure = connected.err_value
            return result.Err(
                _frames.ForwardRefused(
                    failure.detail(),
                    True,
                    failure.is_refused,
                    is_sound=self._policy.record_unreached(opening),
                )
            )
        return connected

    async def _relay(
        self,
        frames: _frames.FrameStream,
        conn: web.ClientConnection,
        opening: _frames.OpenForward,
        request: _frames.ForwardedRequest,
    ) -> None:
        """Send a request and pass its answer on as it comes."""
        message = web.Request(
            request.method, request.target, request.headers, request.body
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_when_closed, frames, nursery.cancel_scope
            )
            try:
                sent = await conn.send(message, nursery)
                problem = sent.err()
                if problem is None:
                    problem = await self._pass_answer_on(frames, conn, opening)
                if problem is not None:
                    reason = problem.detail()
                    await frames.send(_frames.ForwardedBroken(reason))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            nursery.cancel_scope.cancel()

    async def _pass_answer_on(
        self,
        frames: _frames.FrameStream,
        conn: web.ClientConnection,
        opening: _frames.OpenForward,
    ) -> web.AnswerBroken | None:
        """Pass an answer on; return what broke it off, if anything."""
        head = await conn.read_head()
        if isinstance(head, result.Err):
            return head.err_value
        self._policy.record_head(opening, head.ok_value)
        await frames.send(
            _frames.ForwardedHead(head.ok_value.status, head.ok_value.headers)
        )
        while True:
            data = await conn.read_data()
            if isinstance(data, result.Err):
                return data.err_value
            if data.ok_value is None:
                await frames.send(_frames.ForwardedEnd())
                return None
            await frames.send(_frames.ForwardedData(data.ok_value))


async def _cancel_when_closed(
    frames: _frames.FrameStream, scope: trio.CancelScope
) -> None:
    await frames.wait_closed()
    scope.cancel()
