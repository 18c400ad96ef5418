"""A caller's connection to an entry VM."""

import select

import h11
import trio

from sedgepin.platform.tests.soak import _configurations
from sedgepin.platform.tests.soak import _record

_READ_BYTES = 65_536
_CONNECT_TIMEOUT_SECONDS = 1.0


class Connection:
    """One open HTTP connection of a caller."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._conn = h11.Connection(h11.CLIENT)
        # Status of the answer that is being received, 0 before its head.
        self.status = 0
        self.opened_at = trio.current_time()
        self.idle_since: float | None = None

    async def send(self, sent: _record.SentRequest) -> None:
        """Send a request, with the body in the pieces that it names."""
        headers = [
            ("Host", _configurations.HOST),
            ("X-Request-Id", sent.request_id),
            ("X-Deadline-Ms", str(sent.time_left_ms)),
            ("Authorization", f"Token {sent.key}"),
        ]
        sending = sent.sending
        if sending.is_chunked:
            headers.append(("Transfer-Encoding", "chunked"))
        else:
            headers.append(("Content-Length", str(len(sent.body))))
        if sent.token_usage is not None:
            headers.append(("X-Token-Usage", sent.token_usage))
        if sent.length_hint is not None:
            headers.append(("X-Length-Hint", sent.length_hint))
        if sent.parts:
            entries = ",".join(f"{part}:2" for part in sent.parts)
            headers.append(("X-Prompt-Prefix", entries))
        request = h11.Request(
            method="POST", target=sent.target, headers=headers
        )
        self.status = 0
        data = self._conn.send(request) or b""
        pieces = _split(sent.body, sending.pieces)
        for number, piece in enumerate(pieces):
            if number:
                await self._stream.send_all(data)
                data = b""
                is_last = number == len(pieces) - 1
                await trio.sleep(
                    sending.last_pause_seconds
                    if is_last
                    else sending.pause_seconds
                )
            data += self._conn.send(h11.Data(data=piece)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(data)

    async def receive(self, request_id: str) -> _record.ReceivedAnswer:
        """Return what is received until the answer ends or breaks off."""
        headers: dict[bytes, bytes] = {}
        body = bytearray()
        is_complete = False
        try:
            while not is_complete:
                event = self._conn.next_event()
                if event is h11.NEED_DATA:
                    data = await self._stream.receive_some(_READ_BYTES)
                    self._conn.receive_data(data)
                elif isinstance(event, h11.Response):
                    self.status = event.status_code
                    headers = dict(event.headers)
                elif isinstance(event, h11.Data):
                    body += event.data
                else:
                    is_complete = isinstance(event, h11.EndOfMessage)
                    if not is_complete:
                        break
        except (
            h11.RemoteProtocolError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            # The part received before the failure is still checked.
            is_complete = False
        return _record.ReceivedAnswer(
            request_id,
            self.status,
            headers.get(b"x-response-seal", b"").decode(),
            bytes(body),
            is_complete,
            trio.current_time(),
            b"retry-after" in headers,
        )

    def start_next_cycle(self) -> bool:
        """Prepare for another request; return whether that is possible."""
        if self._conn.our_state is not h11.DONE:
            return False
        if self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        self.idle_since = trio.current_time()
        return True

    def is_closed(self) -> bool:
        """Return whether the other side has closed an idle connection."""
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Close the connection."""
        self._stream.socket.close()


async def connect(address: str) -> Connection | None:
    """Return a new connection, if the address accepts it."""
    host, _, port = address.rpartition(":")
    with trio.move_on_after(_CONNECT_TIMEOUT_SECONDS):
        try:
            return Connection(await trio.open_tcp_stream(host, int(port)))
        except OSError:
            # The request then counts as not served.
            return None
    return None


def _split(body: bytes, count: int) -> list[bytes]:
    """Split a body into pieces of about the same length."""
    size = max(1, -(-len(body) // count))
    return [body[at : at + size] for at in range(0, len(body), size)]
