"""Callers: they send requests as the platform's do and keep what they get."""

import itertools
import random

import h11
import trio

from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _operator
from sedgepin.platform.tests.soak import _record

REQUESTS_PER_SECOND = 20.0
_READ_BYTES = 65_536
_CONNECT_SECONDS = 1.0
# Kinds of request: share of the traffic and time budget.
_KINDS = {"write": (0.35, 3000), "read": (0.25, 3000), "stream": (0.4, 6000)}
_STREAM_EVENTS = (3, 40)
# Callers that leave before their answer is complete, and when.
_LEAVING_SHARE = 0.03
_LEAVING_SECONDS = 0.2
# Answers after which a connection is kept for the next request.
_KEEPING_SHARE = 0.6


class _Line:
    """One open connection of a caller."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._conn = h11.Connection(h11.CLIENT)

    async def send(self, sent: _record.Sent) -> None:
        headers = [
            ("Host", _operator.HOST),
            ("X-Request-Id", sent.request_id),
            ("X-Deadline-Ms", str(sent.time_left_ms)),
            ("Authorization", f"Token {sent.key}"),
            ("Content-Length", str(len(sent.body))),
        ]
        if sent.kind == "stream":
            headers.append(("X-Token-Usage", "10,10"))
        request = h11.Request(
            method="POST", target=sent.target, headers=headers
        )
        data = self._conn.send(request) or b""
        data += self._conn.send(h11.Data(data=sent.body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(data)

    async def receive(self, request_id: str) -> _record.Answer:
        """Return what comes, up to a break or the end of the answer."""
        status = 0
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
                    status = event.status_code
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
            # What came until then is judged.
            is_complete = False
        return _record.Answer(
            request_id,
            status,
            headers.get(b"x-response-seal", b"").decode(),
            bytes(body),
            is_complete,
            trio.current_time(),
            b"retry-after" in headers,
        )

    def may_be_used_again(self) -> bool:
        """Tell whether another request may follow on this connection."""
        if self._conn.our_state is not h11.DONE:
            return False
        if self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        return True

    def close(self) -> None:
        self._stream.socket.close()


class Callers:
    """All callers of one day."""

    def __init__(
        self,
        places: _addresses.Addresses,
        record: _record.Record,
        rng: random.Random,
    ) -> None:
        self._places = places
        self._record = record
        self._rng = rng
        self._numbers = itertools.count(1)
        self._kept: dict[int, list[_Line]] = {}
        # Entry VMs that said that they are ready.
        self.ready: set[int] = set()

    async def run(self) -> None:
        """Send requests at random times until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in range(1, self._places.counts["entry"] + 1):
                nursery.start_soon(self._watch_ready, number)
            while True:
                pause = self._rng.expovariate(REQUESTS_PER_SECOND)
                await trio.sleep(pause)
                nursery.start_soon(self._one)

    async def _watch_ready(self, number: int) -> None:
        """Ask an entry VM whether it is ready, as the balancer does."""
        misses = 0
        while True:
            is_ready = await _operator.is_ready(self._places.ready(number))
            misses = 0 if is_ready else misses + 1
            if is_ready:
                self.ready.add(number)
            elif misses >= 2:
                self.ready.discard(number)
            await trio.sleep(0.5)

    def _make(self) -> _record.Sent:
        kinds = list(_KINDS)
        shares = [_KINDS[one][0] for one in kinds]
        kind = self._rng.choices(kinds, shares)[0]
        number = next(self._numbers)
        target = f"/{_operator.PREFIXES[kind]}/{number}"
        if kind == "stream":
            events = self._rng.randint(*_STREAM_EVENTS)
            target = f"/{_operator.PREFIXES[kind]}/{number}/{events}"
        return _record.Sent(
            request_id=f"r{number}",
            kind=kind,
            target=target,
            body=self._rng.randbytes(self._rng.randint(0, 400)),
            key=self._rng.choice(_operator.KEYS),
            at=trio.current_time(),
            time_left_ms=_KINDS[kind][1],
        )

    async def _one(self) -> None:
        entries = sorted(self.ready)
        if not entries:
            entries = list(range(1, self._places.counts["entry"] + 1))
        number = self._rng.choice(entries)
        sent = self._make()
        self._record.sent[sent.request_id] = sent
        line = await self._line(number)
        if line is None:
            return
        keeps = False
        seconds = sent.time_left_ms / 1000
        if self._rng.random() < _LEAVING_SHARE:
            seconds = _LEAVING_SECONDS * self._rng.random()
        with trio.move_on_after(seconds) as scope:
            try:
                await line.send(sent)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                line.close()
                return
            answer = await line.receive(sent.request_id)
            self._record.answers[sent.request_id] = answer
            keeps = line.may_be_used_again()
        if scope.cancelled_caught:
            self._record.left.add(sent.request_id)
        if keeps and self._rng.random() < _KEEPING_SHARE:
            self._kept.setdefault(number, []).append(line)
        else:
            line.close()

    async def _line(self, number: int) -> _Line | None:
        """Return a kept connection or a new one."""
        kept = self._kept.get(number)
        if kept:
            return kept.pop()
        host, _, port = self._places.front(number).rpartition(":")
        with trio.move_on_after(_CONNECT_SECONDS):
            try:
                return _Line(await trio.open_tcp_stream(host, int(port)))
            except OSError:
                # Nobody listens; the request counts as not served.
                return None
        return None
