"""A TCP connection that reads only when there is something to read."""

import errno
import os
import socket

import trio

_MAX_PORT = 65_535


class DirectStream(trio.abc.Stream):
    """A connected stream socket.

    ``trio.SocketStream`` tries each read before it waits, and lets other
    tasks run after each write.  On a connection that carries events with
    pauses between them, such a read always fails, and the pause after a write
    only polls all sockets once more.  A gateway relays thousands of events, so
    this stream waits first, and does not wait after a write.

    >>> stream = await DirectStream.connect("127.0.0.1", 80)
    >>> await stream.send_all(b"GET / HTTP/1.1\\r\\n\\r\\n")
    >>> data = await stream.receive_some(65_536)
    >>> stream.close()
    """

    __slots__ = ("socket",)

    def __init__(self, sock: socket.socket) -> None:
        """Take over a connected, non-blocking socket."""
        self.socket = sock

    @classmethod
    def adopt(cls, stream: trio.SocketStream) -> "DirectStream":
        """Take over the socket of a stream, which must not be used again."""
        family, proto = stream.socket.family, stream.socket.proto
        sock = socket.socket(
            family, socket.SOCK_STREAM, proto, stream.socket.detach()
        )
        sock.setblocking(False)
        return cls(sock)

    @classmethod
    async def connect(cls, host: str, port: int) -> "DirectStream":
        """Connect to an IPv4 address.

        Raises ``OSError`` if the address is invalid, refuses or cannot be
        reached.
        """
        # The socket module would look up a name, which blocks all tasks.
        socket.inet_pton(socket.AF_INET, host)
        if not 0 < port <= _MAX_PORT:
            raise OSError(
                errno.EINVAL, f"port {port} is not between 1 and {_MAX_PORT}"
            )
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            code = sock.connect_ex((host, port))
            if code == errno.EINPROGRESS:
                await trio.lowlevel.wait_writable(sock)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code))
        except BaseException:
            _close(sock)
            raise
        return cls(sock)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Wait for bytes and return some; ``b""`` at the end.

        Raises ``trio.BrokenResourceError`` if the connection was reset.
        """
        while True:
            self._check_open()
            await trio.lowlevel.wait_readable(self.socket)
            try:
                return self.socket.recv(max_bytes or 65_536)
            except BlockingIOError:
                continue
            except OSError as exc:
                raise trio.BrokenResourceError(str(exc)) from exc

    async def wait_for_bytes(self) -> bool:
        """Wait until bytes can be read; return false at the end.

        Reads none.  Raises ``trio.BrokenResourceError`` if the connection was
        reset.
        """
        while True:
            self._check_open()
            await trio.lowlevel.wait_readable(self.socket)
            try:
                return bool(self.socket.recv(1, socket.MSG_PEEK))
            except BlockingIOError:
                continue
            except OSError as exc:
                raise trio.BrokenResourceError(str(exc)) from exc

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; waits only if the peer does not read.

        Sends nothing in a cancelled scope.  Raises
        ``trio.BrokenResourceError`` if the connection was reset.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        remaining = memoryview(data)
        while remaining:
            self._check_open()
            try:
                sent = self.socket.send(remaining)
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self.socket)
                continue
            except OSError as exc:
                raise trio.BrokenResourceError(str(exc)) from exc
            remaining = remaining[sent:]

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until at least some bytes can be sent."""
        self._check_open()
        await trio.lowlevel.wait_writable(self.socket)

    def close(self) -> None:
        """Close the connection at once, also during a read or a write."""
        _close(self.socket)

    async def aclose(self) -> None:
        """Close the connection, and let other tasks run."""
        self.close()
        await trio.lowlevel.checkpoint()

    def _check_open(self) -> None:
        if self.socket.fileno() < 0:
            raise trio.ClosedResourceError("the connection was closed")


def _close(sock: socket.socket) -> None:
    if sock.fileno() >= 0:
        trio.lowlevel.notify_closing(sock)
        sock.close()
