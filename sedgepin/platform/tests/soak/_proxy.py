"""A loopback TCP proxy that injects faults into its connections."""

import collections.abc
import enum
import functools
import math
import socket
import struct

import trio

_READ_BYTES = 65_536
_CONNECT_TIMEOUT_SECONDS = 1.0


class LinkFault(enum.Enum):
    """What a proxy does to the connections through it.

    ``REFUSE`` resets new connections, ``RESET`` the open ones.
    """

    NONE = "none"
    DELAY = "delay"
    # Bytes to the target are held back; answers pass.
    HOLD_REQUESTS = "cut towards"
    # Bytes from the target are held back; requests pass.
    HOLD_ANSWERS = "cut from"
    HOLD_BOTH = "silence"
    RESET = "reset"
    REFUSE = "refuse"


class Proxy:
    """Forwards connections from one address to another.

    ``observe`` is called with bytes that are about to go to the target.

    >>> proxy = Proxy("127.90.1.1:80", "127.90.2.1:80")
    >>> await nursery.start(proxy.serve)
    >>> await proxy.inject(LinkFault.HOLD_BOTH, seconds=2.0)
    """

    def __init__(
        self,
        address: str,
        target: str,
        observe: collections.abc.Callable[[bytes], None] | None = None,
    ) -> None:
        self._address = address
        self._target = target
        self._observe = observe
        self._fault = LinkFault.NONE
        self._delay_seconds = 0.0
        self._fault_over = trio.Event()
        self._fault_over.set()
        self._scopes: set[trio.CancelScope] = set()

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept and forward connections until cancelled."""
        host, _, port = self._address.rpartition(":")
        async with trio.open_nursery() as nursery:
            serve = functools.partial(
                trio.serve_tcp, self._forward, int(port), host=host
            )
            await nursery.start(serve)
            task_status.started()
            await trio.sleep_forever()

    async def inject(
        self, fault: LinkFault, seconds: float, delay_seconds: float = 0.1
    ) -> None:
        """Inject a fault for ``seconds``; a reset takes no time.

        ``delay_seconds`` is how long ``DELAY`` delays each chunk of data.
        """
        if fault is LinkFault.RESET:
            for scope in tuple(self._scopes):
                scope.cancel()
            return
        self._fault_over = trio.Event()
        self._fault = fault
        self._delay_seconds = delay_seconds
        try:
            await trio.sleep(seconds)
        finally:
            self._fault = LinkFault.NONE
            self._fault_over.set()

    async def _forward(self, stream: trio.SocketStream) -> None:
        if self._fault is LinkFault.REFUSE:
            _reset(stream)
            return
        host, _, port = self._target.rpartition(":")
        target: trio.SocketStream | None = None
        with trio.move_on_after(_CONNECT_TIMEOUT_SECONDS):
            try:
                target = await trio.open_tcp_stream(host, int(port))
            except OSError:
                pass
        if target is None:
            _reset(stream)
            return
        holding_requests = frozenset(
            (LinkFault.HOLD_REQUESTS, LinkFault.HOLD_BOTH)
        )
        holding_answers = frozenset(
            (LinkFault.HOLD_ANSWERS, LinkFault.HOLD_BOTH)
        )
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._copy,
                    stream,
                    target,
                    holding_requests,
                    scope,
                    self._observe,
                )
                nursery.start_soon(
                    self._copy, target, stream, holding_answers, scope
                )
        self._scopes.discard(scope)
        _reset(stream)
        _reset(target)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        holding_faults: frozenset[LinkFault],
        scope: trio.CancelScope,
        observe: collections.abc.Callable[[bytes], None] | None = None,
    ) -> None:
        """Copy bytes in one direction.

        An error in either direction closes both; after the end of input the
        other direction stays open.
        """
        try:
            while True:
                data = await source.receive_some(_READ_BYTES)
                while self._fault in holding_faults:
                    await self._fault_over.wait()
                if self._fault is LinkFault.DELAY:
                    await trio.sleep(self._delay_seconds)
                if not data:
                    break
                if observe is not None:
                    observe(data)
                await sink.send_all(data)
            await sink.send_eof()
            await trio.sleep(math.inf if _is_open(sink) else 0)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


def _is_open(stream: trio.SocketStream) -> bool:
    """Return whether a half-closed connection can still carry answers."""
    return stream.socket.fileno() >= 0


def _reset(stream: trio.SocketStream) -> None:
    """Close a connection with a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        # The connection is already closed.
        return
    stream.socket.close()
