"""Carrying messages between processes: one long-lived stream a pair.

``Transport`` is what reducers' effects are carried out on; a message that
cannot be sent is lost, as on any network, and the reducers expect that.
``StreamTransport`` is the real one, over TCP with or without mutual TLS.
"""

import abc
import collections.abc
import dataclasses
import functools
import math
import ssl
import typing

import trio

from sedgepin._model import VmId
from sedgepin._protocol import _framing
from sedgepin._protocol import _messages
from sedgepin._protocol import _trust
from sedgepin import errors
from sedgepin import settings

_QUEUE_LIMIT_MESSAGES = 4096
_DIAL_TIMEOUT_SECONDS = 1.0
_REDIAL_SECONDS = 0.25
_KEEPALIVE_SECONDS = 0.5
# Four keepalives may be late before a stream counts as silent for good.
_SILENCE_SECONDS = 2.0
_READ_BYTES = 65_536


@dataclasses.dataclass(slots=True, frozen=True)
class PeerConnected:
    """A stream to a peer came up."""

    hello: _messages.Hello


@dataclasses.dataclass(slots=True, frozen=True)
class PeerDisconnected:
    """The stream to a peer ended."""

    peer_id: VmId


@dataclasses.dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A peer sent a message."""

    sender: VmId
    message: _messages.PeerMessage


@dataclasses.dataclass(slots=True, frozen=True)
class PeerRefused:
    """A peer failed to prove who it is, or sent what cannot be read."""

    address: str
    failure: errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class IdentityNotProved(errors.Failure):
    """A peer whose certificate does not carry the id that it claims."""

    code: typing.ClassVar[str] = "identity_not_proved"
    title: typing.ClassVar[str] = "The peer's certificate has another id"

    claimed: str

    def detail(self) -> str:
        """Return the id that the peer claimed."""
        return f"the peer claimed to be {self.claimed!r}"


PeerEvent: typing.TypeAlias = (
    PeerConnected | PeerDisconnected | PeerMessageReceived | PeerRefused
)


class Transport(abc.ABC):
    """Sends messages to peers; any may be lost, late or doubled."""

    @abc.abstractmethod
    def send(self, recipient: VmId, message: _messages.PeerMessage) -> None:
        """Send ``message`` without waiting; it is lost if that fails."""


class _Outbox:
    """Messages that wait for one stream, taken all at once."""

    __slots__ = ("_messages", "_wakeup")

    def __init__(self) -> None:
        self._messages: list[_messages.PeerMessage] = []
        self._wakeup = trio.Event()

    def put(self, message: _messages.PeerMessage) -> None:
        if len(self._messages) >= _QUEUE_LIMIT_MESSAGES:
            return
        self._messages.append(message)
        self._wakeup.set()

    async def take(self) -> list[_messages.PeerMessage]:
        """Return all that waits, or nothing when it is time to say so."""
        with trio.move_on_after(_KEEPALIVE_SECONDS):
            await self._wakeup.wait()
        taken, self._messages = self._messages, []
        self._wakeup = trio.Event()
        return taken


class StreamTransport(Transport):
    """Streams to all peers: dials some, listens for the others."""

    __slots__ = (
        "_client_tls",
        "_dials",
        "_hello",
        "_listen",
        "_nursery",
        "_on_event",
        "_outboxes",
        "_server_tls",
    )

    def __init__(
        self,
        hello: _messages.Hello,
        listen: str,
        dials: collections.abc.Sequence[settings.Peer],
        tls: settings.Tls | None,
        on_event: collections.abc.Callable[[PeerEvent], None],
    ) -> None:
        self._hello = hello
        self._listen = listen
        self._dials = {peer.id: peer for peer in dials}
        self._nursery: trio.Nursery | None = None
        self._on_event = on_event
        self._outboxes: dict[VmId, list[_Outbox]] = {}
        self._server_tls = _trust.server_context(tls) if tls else None
        self._client_tls = _trust.client_context(tls) if tls else None

    def send(self, recipient: VmId, message: _messages.PeerMessage) -> None:
        """Queue ``message`` on the stream to ``recipient``, if one is up."""
        outboxes = self._outboxes.get(recipient)
        if outboxes:
            outboxes[-1].put(message)

    def dial(self, peer: settings.Peer) -> None:
        """Keep a stream to one more peer; one dialled already stays."""
        if peer.id in self._dials:
            return
        self._dials[peer.id] = peer
        if self._nursery is not None:
            self._nursery.start_soon(self._keep_dialling, peer)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and dial until cancelled."""
        host, port = split_address(self._listen)
        async with trio.open_nursery() as nursery:
            serve = functools.partial(
                trio.serve_tcp, self._welcome, port, host=host
            )
            await nursery.start(serve)
            self._nursery = nursery
            for peer in tuple(self._dials.values()):
                nursery.start_soon(self._keep_dialling, peer)
            task_status.started()

    async def _welcome(self, stream: trio.SocketStream) -> None:
        try:
            peername = stream.socket.getpeername()
        except OSError:
            # The peer reset the connection before it was looked at.
            await trio.aclose_forcefully(stream)
            return
        address = f"{peername[0]}:{peername[1]}"
        if self._server_tls is None:
            await self._converse(stream, address, None)
            return
        secured = trio.SSLStream(
            stream, self._server_tls, server_side=True, https_compatible=True
        )
        await self._converse_secured(secured, address)

    async def _keep_dialling(self, peer: settings.Peer) -> None:
        while True:
            try:
                await self._dial(peer)
            except OSError:
                pass
            await trio.sleep(_REDIAL_SECONDS)

    async def _dial(self, peer: settings.Peer) -> None:
        host, port = split_address(peer.address)
        stream: trio.SocketStream | None = None
        with trio.move_on_after(_DIAL_TIMEOUT_SECONDS):
            stream = await trio.open_tcp_stream(host, port)
        if stream is None:
            return
        if self._client_tls is None:
            await self._converse(stream, peer.address, None)
            return
        secured = trio.SSLStream(
            stream,
            self._client_tls,
            server_hostname=peer.id,
            https_compatible=True,
        )
        await self._converse_secured(secured, peer.address)

    async def _converse_secured(
        self, stream: "trio.SSLStream[trio.SocketStream]", address: str
    ) -> None:
        try:
            with trio.fail_after(_DIAL_TIMEOUT_SECONDS):
                await stream.do_handshake()
        except (trio.BrokenResourceError, trio.TooSlowError) as exc:
            reason = type(exc.__cause__ or exc).__name__
            failure = _framing.FrameRefused(f"TLS handshake: {reason}")
            self._on_event(PeerRefused(address, failure))
            await trio.aclose_forcefully(stream)
            return
        names = _trust.proved_names(typing.cast(ssl.SSLObject, stream))
        await self._converse(stream, address, names)

    async def _converse(
        self,
        stream: trio.abc.Stream,
        address: str,
        proved: tuple[str, ...] | None,
    ) -> None:
        """Exchange messages on one stream until it ends."""
        outbox = _Outbox()
        outbox.put(self._hello)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_write, stream, outbox, nursery.cancel_scope)
            try:
                await self._read(stream, outbox, address, proved)
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                trio.TooSlowError,
            ):
                pass
            finally:
                self._forget(outbox)
                nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(stream)

    async def _read(
        self,
        stream: trio.abc.Stream,
        outbox: _Outbox,
        address: str,
        proved: tuple[str, ...] | None,
    ) -> None:
        sender: VmId | None = None
        async for body in _frames(stream):
            decoded = _framing.decode_messages(body)
            if decoded.is_err():
                failure = decoded.unwrap_err()
                self._on_event(PeerRefused(address, failure))
                return
            for message in decoded.unwrap():
                if sender is not None:
                    self._on_event(PeerMessageReceived(sender, message))
                    continue
                if not isinstance(message, _messages.Hello):
                    return
                if proved is not None and message.id not in proved:
                    refusal = IdentityNotProved(message.id)
                    self._on_event(PeerRefused(address, refusal))
                    return
                sender = message.id
                self._outboxes.setdefault(sender, []).append(outbox)
                self._on_event(PeerConnected(message))

    def _forget(self, outbox: _Outbox) -> None:
        for peer_id, known in list(self._outboxes.items()):
            if outbox not in known:
                continue
            known.remove(outbox)
            if not known:
                del self._outboxes[peer_id]
                self._on_event(PeerDisconnected(peer_id))


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``address``.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def _write(
    stream: trio.abc.Stream, outbox: _Outbox, scope: trio.CancelScope
) -> None:
    try:
        while True:
            messages = await outbox.take()
            with trio.fail_after(_SILENCE_SECONDS):
                await stream.send_all(_framing.encode_messages(messages))
    except (
        trio.BrokenResourceError,
        trio.ClosedResourceError,
        trio.TooSlowError,
    ):
        scope.cancel()


async def _frames(
    stream: trio.abc.Stream,
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the body of each frame until the stream ends or goes silent."""
    buffer = bytearray()
    wanted = math.inf
    while True:
        if wanted is math.inf and len(buffer) >= _framing.LENGTH_BYTES:
            length = _framing.decode_length(buffer)
            if length.is_err():
                return
            wanted = length.unwrap() + _framing.LENGTH_BYTES
        if len(buffer) >= wanted:
            end = int(wanted)
            yield bytes(buffer[_framing.LENGTH_BYTES : end])
            del buffer[:end]
            wanted = math.inf
            continue
        with trio.fail_after(_SILENCE_SECONDS):
            received = await stream.receive_some(_READ_BYTES)
        if not received:
            return
        buffer += received
