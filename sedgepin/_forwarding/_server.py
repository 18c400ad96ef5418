"""Forwards the requests of other entry VMs to endpoints."""

import abc
import hmac
import types

import result
import trio

from sedgepin._forwarding import _frames
from sedgepin import _memory as memory
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
# The other VM ends a request itself at its deadline.
_DEADLINE_MARGIN_SECONDS = 1.0
# For a VM of an earlier build, which does not state the time left.
_MAX_ANSWER_SECONDS = 3600.0
# Time to tell the other VM why its request has ended.
_LAST_FRAME_SECONDS = 0.5
# The parsed request, and the bytes that are sent of it.
_COPIES = 2
_ENDED_FOR_MEMORY = "the forwarder's memory for requests was used up"
_DRAINS = _frames.ForwardRefused("this VM drains")
_TIME_IS_OVER = "no answer in the time of the request"


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

    def record_cut(self, opening: _frames.OpenForward) -> None:
        """Record that this VM stops before the end of a request."""

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

    __slots__ = ("_budget", "_key", "_open", "_policy", "is_draining")

    def __init__(
        self,
        key: str,
        policy: ForwardingPolicy,
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        self._key = key
        self._policy = policy
        # Without one, a share of the VM's memory for this server alone.
        self._budget = budget or memory.MemoryBudget(
            memory.default_held_bytes()
        )
        self._open: list[_frames.OpenForward] = []
        self.is_draining = False

    @property
    def open_forwards(self) -> int:
        """Return how many connections of other entry VMs are open."""
        return len(self._open)

    def record_cut(self) -> None:
        """Record all that is open, as the end of the process cuts it.

        The other VMs are sent nothing: a connection that breaks tells them
        that this VM has ended, and not the endpoint.
        """
        for opening in self._open:
            self._policy.record_cut(opening)

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
            sender = stream.socket.getpeername()[0]
            _frames.set_options(stream.socket)
            with (
                trio.CancelScope() as scope,
                _ForwardAccounts(self._budget, sender, scope) as accounts,
            ):
                frames = _frames.FrameStream(stream, accounts.request)
                await self._forward(frames, accounts)
            if scope.cancelled_caught and not frames.is_send_interrupted:
                with trio.move_on_after(_LAST_FRAME_SECONDS):
                    await frames.send(
                        _frames.ForwardedBroken(_ENDED_FOR_MEMORY)
                    )
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _forward(
        self,
        frames: _frames.FrameStream,
        accounts: "_ForwardAccounts",
    ) -> None:
        opening: _frames.Frame | None = None
        with trio.move_on_after(_REQUEST_TIMEOUT_SECONDS):
            opening = await frames.receive(_OPENING_LIMIT_BYTES)
        if not isinstance(opening, _frames.OpenForward):
            return
        if not self._is_key(opening.key):
            refusal = _frames.ForwardRefused("the key is wrong")
            self._policy.record_refused(opening, refusal)
            await _refuse(frames, refusal)
            return
        self._open.append(opening)
        try:
            await self._forward_opened(frames, opening, accounts)
        finally:
            self._open.remove(opening)

    def _is_key(self, key: str) -> bool:
        return hmac.compare_digest(key.encode(), self._key.encode())

    async def _forward_opened(
        self,
        frames: _frames.FrameStream,
        opening: _frames.OpenForward,
        accounts: "_ForwardAccounts",
    ) -> None:
        answer = accounts.open_answer(opening.address)
        connected = await self._connect(opening, answer)
        if isinstance(connected, result.Err):
            refusal = connected.err_value
            self._policy.record_refused(opening, refusal)
            await _refuse(frames, refusal)
            return
        conn = connected.ok_value
        try:
            if self.is_draining:
                # Nothing was sent, and the other VM has others to ask.
                self._policy.record_refused(opening, _DRAINS)
                await _refuse(frames, _DRAINS)
                return
            self._policy.record_opened(opening, len(self._open))
            request: _frames.Frame | None = None
            with trio.move_on_after(_REQUEST_TIMEOUT_SECONDS):
                await frames.send(_frames.ForwardOpened())
                request = await frames.receive()
            if isinstance(request, _frames.ForwardedRequest):
                frames.keep(len(request.body) * _COPIES)
                await self._relay_in_time(frames, conn, opening, request)
        finally:
            conn.close()

    async def _relay_in_time(
        self,
        frames: _frames.FrameStream,
        conn: web.ClientConnection,
        opening: _frames.OpenForward,
        request: _frames.ForwardedRequest,
    ) -> None:
        """Relay a request until the other VM needs no answer any more."""
        seconds = _MAX_ANSWER_SECONDS
        if request.milliseconds_left is not None:
            seconds = request.milliseconds_left / 1000
            seconds += _DEADLINE_MARGIN_SECONDS
        with trio.move_on_after(seconds) as scope:
            await self._relay(frames, conn, opening, request)
        if scope.cancelled_caught and not frames.is_send_interrupted:
            with trio.move_on_after(_LAST_FRAME_SECONDS):
                await frames.send(_frames.ForwardedBroken(_TIME_IS_OVER))

    async def _connect(
        self, opening: _frames.OpenForward, account: memory.Account
    ) -> result.Result[web.ClientConnection, _frames.ForwardRefused]:
        if self.is_draining:
            return result.Err(_DRAINS)
        if len(self._open) > _MAX_FORWARDED:
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
            opening.address, _CONNECT_TIMEOUT_SECONDS, account
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
                    await frames.send(
                        _frames.ForwardedBroken(
                            problem.detail(), problem.is_invalid
                        )
                    )
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


class _ForwardAccounts:
    """The accounts of one forward, which end together.

    One that counted on after the other's end would end other forwards.
    """

    __slots__ = ("_answer", "_budget", "_scope", "request")

    def __init__(
        self, budget: memory.MemoryBudget, sender: str, scope: trio.CancelScope
    ) -> None:
        self._budget = budget
        self._scope = scope
        self._answer: memory.Account | None = None
        self.request = budget.open(
            memory.HolderKind.FORWARDED_REQUEST, sender, self._end
        )

    def open_answer(self, address: str) -> memory.Account:
        """Return an account for the answer of the endpoint at an address."""
        self._answer = self._budget.open(
            memory.HolderKind.FORWARDED_ANSWER, address, self._end
        )
        return self._answer

    def _end(self) -> None:
        """End the forward; none of its bytes count any longer."""
        self._scope.cancel()
        self.request.close()
        if self._answer is not None:
            self._answer.close()

    def __enter__(self) -> "_ForwardAccounts":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.request.close()


async def _refuse(
    frames: _frames.FrameStream, refusal: _frames.ForwardRefused
) -> None:
    with trio.move_on_after(_LAST_FRAME_SECONDS):
        await frames.send(refusal)


async def _cancel_when_closed(
    frames: _frames.FrameStream, scope: trio.CancelScope
) -> None:
    await frames.wait_closed()
    scope.cancel()
