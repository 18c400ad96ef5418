"""Transport of messages between processes, one long-lived stream per pair.

``Transport`` is the interface that the reducers' send effects run on.  A
message that cannot be sent is lost, as on any network, and reducers must
tolerate that.  ``StreamTransport`` implements it over TCP, with or without
mutual TLS.
"""

import abc
import collections.abc
import dataclasses
import functools
import math
import ssl
import typing

import trio

from sedgepin import _memory as memory
from sedgepin._model import VmId
from sedgepin._protocol import _dialling
from sedgepin._protocol import _frame_cache
from sedgepin._protocol import _framing
from sedgepin._protocol import _messages
from sedgepin._protocol import _tls
from sedgepin import _sockets as sockets
from sedgepin import _work as work
from sedgepin import errors
from sedgepin import events
from sedgepin import logs
from sedgepin import settings

_QUEUE_LIMIT_MESSAGES = 4096
_HANDSHAKE_TIMEOUT_SECONDS = 1.0
_REDIAL_INTERVAL_SECONDS = 0.25
_KEEPALIVE_INTERVAL_SECONDS = 0.5
# A stream fails when nothing arrives for five keepalive intervals, or when
# sending one frame takes as long.  A peer that stops for 1.5 s just before its
# next frame, or bytes lost in such a cut, come later than four intervals.
_STREAM_TIMEOUT_SECONDS = 2.5
# A frame takes less even over a slow link; a peer introduces itself at once.
_FRAME_TIMEOUT_SECONDS = 10.0
_READ_BYTES = 65_536
# Less than this of a frame is not counted.
_MIN_COUNTED_BYTES = 4096


@dataclasses.dataclass(slots=True, frozen=True)
class PeerConnected:
    """A peer has sent its ``Hello`` on a new stream."""

    hello: _messages.Hello


@dataclasses.dataclass(slots=True, frozen=True)
class PeerDisconnected:
    """The last stream to a peer has ended."""

    peer_id: VmId


@dataclasses.dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A peer sent a message."""

    sender: VmId
    message: _messages.PeerMessage


@dataclasses.dataclass(slots=True, frozen=True)
class PeerRefused:
    """A stream was closed because its peer failed a check.

    The TLS handshake failed, a frame could not be decoded, or the id in the
    ``Hello`` is not in the peer's certificate.
    """

    address: str
    failure: errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class IdentityNotProved(errors.Failure):
    """The id in a peer's ``Hello`` is not a name in its certificate."""

    code: typing.ClassVar[str] = "identity_not_proved"
    title: typing.ClassVar[str] = "The peer's certificate has another id"

    claimed_id: str

    def detail(self) -> str:
        """Return the claimed id."""
        return f"the peer claimed to be {self.claimed_id!r}"


PeerEvent: typing.TypeAlias = (
    PeerConnected | PeerDisconnected | PeerMessageReceived | PeerRefused
)


class Transport(abc.ABC):
    """Sends messages to peers.

    A message may be lost, delayed or duplicated.
    """

    @abc.abstractmethod
    def send(self, recipient: VmId, message: _messages.PeerMessage) -> None:
        """Send ``message`` without blocking; on failure it is lost."""


class _Outbox:
    """The queue of messages to send on one stream.

    Beyond its limit new messages are dropped.
    """

    __slots__ = ("_messages", "_wakeup")

    def __init__(self) -> None:
        self._messages: list[_messages.PeerMessage] = []
        self._wakeup = trio.Event()

    def put(self, message: _messages.PeerMessage) -> None:
        if len(self._messages) >= _QUEUE_LIMIT_MESSAGES:
            return
        self._messages.append(message)
        self._wakeup.set()

    async def drain(self) -> list[_messages.PeerMessage]:
        """Wait for messages and return all of them.

        Returns an empty list after a keepalive interval without messages;
        it is sent as a keepalive.
        """
        with trio.move_on_after(_KEEPALIVE_INTERVAL_SECONDS):
            await self._wakeup.wait()
        messages, self._messages = self._messages, []
        self._wakeup = trio.Event()
        return messages


class StreamTransport(Transport):
    """Streams to all peers; dials some of them and accepts the others."""

    __slots__ = (
        "_budget",
        "_client_tls",
        "_dial_scopes",
        "_dialled_peers",
        "_frame_cache",
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
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        self._hello = hello
        # Without one, a share of the VM's memory for the streams alone.
        self._budget = budget or memory.MemoryBudget(
            memory.default_held_bytes()
        )
        self._listen = listen
        self._dialled_peers = {peer.id: peer for peer in dials}
        self._dial_scopes: dict[str, trio.CancelScope] = {}
        self._frame_cache = _frame_cache.FrameCache()
        self._nursery: trio.Nursery | None = None
        self._on_event = on_event
        self._outboxes: dict[VmId, list[_Outbox]] = {}
        self._server_tls = _tls.server_context(tls) if tls else None
        self._client_tls = _tls.client_context(tls) if tls else None

    def send(self, recipient: VmId, message: _messages.PeerMessage) -> None:
        """Queue ``message`` on the newest stream to ``recipient``.

        Without a stream, or with a full queue, the message is dropped.
        """
        outboxes = self._outboxes.get(recipient)
        if outboxes:
            outboxes[-1].put(message)

    def dial(self, peer: settings.Peer) -> None:
        """Connect to one more peer and reconnect whenever the stream ends.

        Has no effect for a peer that is dialled already.  May be called
        before or during ``run``.
        """
        if peer.id in self._dialled_peers:
            return
        self._dialled_peers[peer.id] = peer
        if self._nursery is not None:
            self._nursery.start_soon(self._maintain_connection, peer)

    def hang_up(self, peer_id: VmId) -> None:
        """Close the stream to a dialled peer and do not connect to it again.

        Streams that the peer itself has opened stay.
        """
        self._dialled_peers.pop(peer_id, None)
        scope = self._dial_scopes.pop(peer_id, None)
        if scope is not None:
            scope.cancel()

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept and dial peers until cancelled."""
        host, port = split_address(self._listen)
        async with trio.open_nursery() as nursery:
            serve = functools.partial(
                trio.serve_tcp, self._accept, port, host=host
            )
            await nursery.start(serve)
            self._nursery = nursery
            for peer in tuple(self._dialled_peers.values()):
                nursery.start_soon(self._maintain_connection, peer)
            task_status.started()

    async def _accept(self, stream: trio.SocketStream) -> None:
        try:
            peername = stream.socket.getpeername()
        except OSError:
            # The peer reset the connection before this task started.
            await trio.aclose_forcefully(stream)
            return
        address = f"{peername[0]}:{peername[1]}"
        if self._server_tls is None:
            direct = sockets.DirectStream.adopt(stream)
            await self._run_stream(direct, address, None)
            return
        tls_stream = trio.SSLStream(
            stream, self._server_tls, server_side=True, https_compatible=True
        )
        await self._run_tls_stream(tls_stream, address)

    async def _maintain_connection(self, peer: settings.Peer) -> None:
        with trio.CancelScope() as scope:
            if self._dialled_peers.get(peer.id) is not peer:
                # Hung up before this task started.
                return
            self._dial_scopes[peer.id] = scope
            is_eager = True
            while True:
                stream = await self._dial(peer, is_eager)
                connected_at = trio.current_time()
                is_eager = False
                if stream is not None:
                    try:
                        await self._run_dialled_stream(peer, stream)
                    except OSError:
                        # The peer reset the connection meanwhile.
                        pass
                    # A peer that ends each stream soon is not dialled eagerly
                    # again.
                    duration = trio.current_time() - connected_at
                    is_eager = duration >= 2 * _dialling.EAGER_SECONDS
                await trio.sleep(_REDIAL_INTERVAL_SECONDS)

    async def _dial(
        self, peer: settings.Peer, is_eager: bool
    ) -> trio.SocketStream | None:
        try:
            host, port = split_address(peer.address)
        except ValueError:
            return None
        return await _dialling.connect(host, port, is_eager)

    async def _run_dialled_stream(
        self, peer: settings.Peer, stream: trio.SocketStream
    ) -> None:
        if self._client_tls is None:
            direct = sockets.DirectStream.adopt(stream)
            await self._run_stream(direct, peer.address, None)
            return
        tls_stream = trio.SSLStream(
            stream,
            self._client_tls,
            server_hostname=peer.id,
            https_compatible=True,
        )
        await self._run_tls_stream(tls_stream, peer.address)

    async def _run_tls_stream(
        self, stream: "trio.SSLStream[trio.SocketStream]", address: str
    ) -> None:
        try:
            with trio.fail_after(_HANDSHAKE_TIMEOUT_SECONDS):
                await stream.do_handshake()
        except (trio.BrokenResourceError, trio.TooSlowError) as exc:
            reason = type(exc.__cause__ or exc).__name__
            failure = _framing.FrameRefused(f"TLS handshake: {reason}")
            self._on_event(PeerRefused(address, failure))
            await trio.aclose_forcefully(stream)
            return
        names = _tls.subject_alternative_names(
            typing.cast(ssl.SSLObject, stream)
        )
        await self._run_stream(stream, address, names)

    async def _run_stream(
        self,
        stream: trio.abc.Stream,
        address: str,
        certificate_names: tuple[str, ...] | None,
    ) -> None:
        """Send and receive messages on one stream until it ends.

        ``certificate_names`` is ``None`` without TLS.
        """
        outbox = _Outbox()
        outbox.put(self._hello)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._send_messages, stream, outbox, nursery.cancel_scope
            )
            account = self._budget.open(
                memory.HolderKind.PEER_MESSAGE,
                address.rpartition(":")[0],
                nursery.cancel_scope.cancel,
            )
            try:
                await self._receive_messages(
                    _receive_frames(stream, account),
                    outbox,
                    address,
                    certificate_names,
                )
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                trio.TooSlowError,
            ):
                pass
            finally:
                account.close()
                self._remove_outbox(outbox)
                nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(stream)

    async def _receive_messages(
        self,
        frames: collections.abc.AsyncIterator[bytes],
        outbox: _Outbox,
        address: str,
        certificate_names: tuple[str, ...] | None,
    ) -> None:
        sender: VmId | None = None
        async for body in frames:
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
                if (
                    certificate_names is not None
                    and message.id not in certificate_names
                ):
                    refusal = IdentityNotProved(message.id)
                    self._on_event(PeerRefused(address, refusal))
                    return
                sender = message.id
                self._outboxes.setdefault(sender, []).append(outbox)
                self._on_event(PeerConnected(message))
            if sender is None:
                # The first frame of any build has its Hello.
                return

    async def _send_messages(
        self,
        stream: trio.abc.Stream,
        outbox: _Outbox,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while True:
                frame = self._encode(await outbox.drain())
                with trio.fail_after(_STREAM_TIMEOUT_SECONDS):
                    await stream.send_all(frame)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
        ):
            scope.cancel()

    def _encode(self, messages: list[_messages.PeerMessage]) -> bytes:
        """Return a frame with the messages that can be encoded.

        The others count as lost.
        """
        try:
            return self._frame_cache.encode(messages)
        except _framing.ENCODING_ERRORS as exc:
            encodable = list(filter(_framing.is_encodable, messages))
            line = events.MESSAGES_NOT_SENT.line(
                count=len(messages) - len(encodable), failure=str(exc)
            )
            logs.write(line)
            return self._frame_cache.encode(encodable)

    def _remove_outbox(self, outbox: _Outbox) -> None:
        for peer_id, outboxes in list(self._outboxes.items()):
            if outbox not in outboxes:
                continue
            outboxes.remove(outbox)
            if not outboxes:
                del self._outboxes[peer_id]
                self._on_event(PeerDisconnected(peer_id))


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``address``.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def _receive_frames(
    stream: trio.abc.Stream, account: memory.Account
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the body of each frame until the stream ends.

    An invalid frame length ends the iteration too.
    Raises ``trio.TooSlowError`` if nothing arrives within the stream timeout,
    or if a frame that has begun, or the first one, is not complete in time.
    """
    buffer = bytearray()
    frame_end = math.inf
    deadline = trio.current_time() + _FRAME_TIMEOUT_SECONDS
    # Of the frames that have arrived together.  Keepalives, of a few bytes
    # each, must not add up over the life of an idle stream.
    load = work.new_load()
    while True:
        if frame_end is math.inf and len(buffer) >= _framing.LENGTH_BYTES:
            length = _framing.decode_length(buffer)
            if length.is_err():
                return
            frame_end = length.unwrap() + _framing.LENGTH_BYTES
        if len(buffer) >= frame_end:
            end = int(frame_end)
            load.add(1, 0)
            yield bytes(buffer[_framing.LENGTH_BYTES : end])
            del buffer[:end]
            frame_end = math.inf
            deadline = math.inf
            if not buffer:
                load = work.new_load()
            continue
        now = trio.current_time()
        if buffer and deadline is math.inf:
            deadline = now + _FRAME_TIMEOUT_SECONDS
        size_bytes = len(buffer)
        account.hold(size_bytes if size_bytes > _MIN_COUNTED_BYTES else 0)
        with trio.fail_after(
            max(0.0, min(_STREAM_TIMEOUT_SECONDS, deadline - now))
        ):
            received = await stream.receive_some(_READ_BYTES)
        if not received:
            return
        buffer += received
        load.add(1, len(received))
        if load.is_too_fragmented:
            return
        if load.may_be_ended:
            turn_began = trio.current_time()
            try:
                await work.pass_turn(load)
            except work.WorkEnded:
                return
            # The wait for a turn is not the peer's time.
            deadline += trio.current_time() - turn_began
