"""A proxy on the loopback that harms the connections that cross it."""

import enum
import functools
import math
import socket
import struct

import trio

_READ_BYTES = 65_536
_CONNECT_SECONDS = 1.0


class Harm(enum.Enum):
    """What a proxy does to the connections through it."""

    NONE = "none"
    DELAY = "delay"
    # Bytes towards the target are held back; answers pass.
    CUT_TOWARDS = "cut towards"
    # Bytes from the target are held back; requests pass.
    CUT_FROM = "cut from"
    SILENCE = "silence"
    RESET = "reset"
    REFUSE = "refuse"


class Proxy:
    """Forwards connections from one address to another.

    >>> proxy = Proxy("127.90.1.1:80", "127.90.2.1:80")
    >>> await nursery.start(proxy.serve)
    >>> await proxy.harm(Harm.SILENCE, seconds=2.0)
    """

    def __init__(self, address: str, target: str) -> None:
        self._address = address
        self._target = target
        self._harm = Harm.NONE
        self._delay_seconds = 0.0
        self._is_healed = trio.Event()
        self._is_healed.set()
        self._scopes: set[trio.CancelScope] = set()

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward until cancelled."""
        host, _, port = self._address.rpartition(":")
        async with trio.open_nursery() as nursery:
            serve = functools.partial(
                trio.serve_tcp, self._forward, int(port), host=host
            )
            await nursery.start(serve)
            task_status.started()
            await trio.sleep_forever()

    async def harm(
        self, harm: Harm, seconds: float, delay_seconds: float = 0.1
    ) -> None:
        """Harm what crosses the proxy for some time."""
        if harm is Harm.RESET:
            for scope in tuple(self._scopes):
                scope.cancel()
            return
        self._is_healed = trio.Event()
        self._harm = harm
        self._delay_seconds = delay_seconds
        try:
            await trio.sleep(seconds)
        finally:
            self._harm = Harm.NONE
            self._is_healed.set()

    async def _forward(self, stream: trio.SocketStream) -> None:
        if self._harm is Harm.REFUSE:
            _reset(stream)
            return
        host, _, port = self._target.rpartition(":")
        target: trio.SocketStream | None = None
        with trio.move_on_after(_CONNECT_SECONDS):
            try:
                target = await trio.open_tcp_stream(host, int(port))
            except OSError:
                pass
        if target is None:
            _reset(stream)
            return
        towards = frozenset((Harm.CUT_TOWARDS, Harm.SILENCE))
        back = frozenset((Harm.CUT_FROM, Harm.SILENCE))
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pass, stream, target, towards, scope)
                nursery.start_soon(self._pass, target, stream, back, scope)
        self._scopes.discard(scope)
        _reset(stream)
        _reset(target)

    async def _pass(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        held_by: frozenset[Harm],
        scope: trio.CancelScope,
    ) -> None:
        """Pass bytes one way; the end of one side ends both."""
        try:
            while True:
                data = await source.receive_some(_READ_BYTES)
                while self._harm in held_by:
                    await self._is_healed.wait()
                if self._harm is Harm.DELAY:
                    await trio.sleep(self._delay_seconds)
                if not data:
                    break
                await sink.send_all(data)
            await sink.send_eof()
            await trio.sleep(math.inf if _is_open(sink) else 0)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


def _is_open(stream: trio.SocketStream) -> bool:
    """Tell whether a peer that sends no more may still be answered."""
    return stream.socket.fileno() >= 0


def _reset(stream: trio.SocketStream) -> None:
    """Close a connection so that its peer sees a reset."""
    linger = struct.pack("ii", 1, 0)
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        # The connection has ended already.
        return
    stream.socket.close()
