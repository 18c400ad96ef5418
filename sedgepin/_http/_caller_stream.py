"""The connection of a caller, with limits that hypercorn leaves open."""

import collections.abc
import types

import trio

from sedgepin import _memory as memory
from sedgepin import _sockets as sockets
from sedgepin import _work as work

_READ_BYTES = 16_384
# A caller that does not read its answer is disconnected when this much of it
# cannot be sent in that time.
_SEND_BYTES = 65_536
_SEND_TIMEOUT_SECONDS = 20.0


class CallerStream(trio.abc.HalfCloseableStream):
    """A caller's connection that counts what arrives between its requests.

    That is the head of the next request, which hypercorn keeps until it is
    complete.  ``end`` is called at the bound for all, and must end the
    connection.
    """

    __slots__ = (
        "_account",
        "_head_bytes",
        "_head_load",
        "_open_requests",
        "_send_scope",
        "_stream",
        "_waiting_bytes",
        "has_next_request",
        "received_bytes",
        "socket",
    )

    def __init__(
        self,
        stream: trio.SocketStream,
        budget: memory.MemoryBudget | None,
        end: collections.abc.Callable[[], None],
    ) -> None:
        self.socket = stream.socket
        self._stream = stream
        self._account: memory.Account | None = None
        if budget is not None:
            self._account = budget.open(
                memory.HolderKind.REQUEST, _host(stream), end
            )
        self._head_bytes = 0
        # Of the head that is awaited.
        self._head_load = work.new_load()
        self._open_requests = 0
        self.received_bytes = 0
        # Of a head that waits for its turn.
        self._waiting_bytes = 0
        # Tells whether bytes have come after the request that is answered.
        self.has_next_request: collections.abc.Callable[[], bool] = bool
        self._send_scope: trio.CancelScope | None = None

    @property
    def unread_bytes(self) -> int:
        """Return how many bytes have come and were not received yet."""
        unread_bytes = sockets.count_unread_bytes(self.socket)
        return self._waiting_bytes + unread_bytes

    def begin_request(self) -> None:
        """State that the head of a request is complete."""
        self._open_requests += 1
        self._head_load = work.new_load()
        self._hold(0)

    def end_request(self) -> None:
        """State that a request was answered, or given up."""
        self._open_requests -= 1

    def cut_send(self) -> None:
        """Break the connection if its caller does not read what is sent."""
        if self._send_scope is not None:
            self._send_scope.cancel()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Wait for bytes and return some; ``b""`` at the end.

        Raises ``trio.BrokenResourceError`` for a head that costs too much.
        """
        data = await self._stream.receive_some(
            min(max_bytes or _READ_BYTES, _READ_BYTES)
        )
        if data and not self._open_requests and not self._head_bytes:
            await self._pass_head(len(data))
        self.received_bytes += len(data)
        if not self._open_requests:
            self._hold(self._head_bytes + len(data))
            await self._pass_turn(len(data))
        return bytes(data)

    async def _pass_head(self, size_bytes: int) -> None:
        """Wait until a head may begin, whose bytes are held meanwhile.

        A caller that goes meanwhile gives them back with the stream.
        """
        self._waiting_bytes = size_bytes
        if self._account is not None:
            self._account.hold(size_bytes)
        try:
            await work.pass_head()
        finally:
            self._waiting_bytes = 0

    async def _pass_turn(self, size_bytes: int) -> None:
        self._head_load.add(1, size_bytes)
        if not self._head_load.is_costly:
            return
        try:
            await work.pass_turn(self._head_load)
        except work.WorkEnded as exc:
            raise trio.BrokenResourceError("too many costly heads") from exc
        if self._head_load.is_too_fragmented:
            raise trio.BrokenResourceError("too many pieces of a head")

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes.

        Raises ``trio.BrokenResourceError`` if the caller does not read.
        """
        view = memoryview(data)
        for start in range(0, len(view), _SEND_BYTES):
            with trio.move_on_after(_SEND_TIMEOUT_SECONDS) as scope:
                self._send_scope = scope
                await self._stream.send_all(view[start : start + _SEND_BYTES])
            self._send_scope = None
            if scope.cancelled_caught:
                await trio.aclose_forcefully(self._stream)
                raise trio.BrokenResourceError("the caller does not read")

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until at least some bytes can be sent."""
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Tell the caller that nothing follows."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def __enter__(self) -> "CallerStream":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._hold(0)

    def _hold(self, head_bytes: int) -> None:
        self._head_bytes = head_bytes
        if self._account is not None:
            self._account.hold(head_bytes)


def _host(stream: trio.SocketStream) -> str:
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        # The caller has reset the connection.
        return ""
