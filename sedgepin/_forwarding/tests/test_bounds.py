"""Tests of forwarded requests and answers that never end."""

import collections.abc
import functools

import pytest
import trio

from sedgepin import _forwarding as forwarding
from sedgepin._forwarding import _client
from sedgepin._forwarding import _server
from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _web as web

_KEY = "secret"
_ENDPOINT = model.EndpointId("engine")
_REQUEST = web.Request(b"POST", b"/x", ((b"Host", b"e"),), b"body")
_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_LIMIT_BYTES = 4_000_000
_PIECE_BYTES = 1_000_000
_Script = collections.abc.Callable[
    [trio.SocketStream], collections.abc.Awaitable[None]
]


class _Policy(forwarding.ForwardingPolicy):
    def refusal(
        self, opening: forwarding.OpenForward
    ) -> forwarding.ForwardRefused | None:
        return None

    def record_unreached(self, opening: forwarding.OpenForward) -> bool:
        return True

    def record_opened(
        self, opening: forwarding.OpenForward, open_count: int
    ) -> None:
        pass

    def record_refused(
        self,
        opening: forwarding.OpenForward,
        refusal: forwarding.ForwardRefused,
    ) -> None:
        pass

    def record_head(
        self, opening: forwarding.OpenForward, head: web.AnswerHead
    ) -> None:
        pass


class _Forwarder:
    """A forwarder with a budget, before an engine that follows a script."""

    def __init__(self, script: _Script) -> None:
        self._script = script
        self.evictions: list[memory.Eviction] = []
        self.budget = memory.MemoryBudget(_LIMIT_BYTES, self.evictions.append)
        self.server = forwarding.ForwardingServer(_KEY, _Policy(), self.budget)
        self.engine_address = ""
        self._forwarder = protocol.Forwarder(model.VmId("two"), "", _KEY)

    async def start(self, nursery: trio.Nursery) -> None:
        serve = functools.partial(
            trio.serve_tcp, self._script, 0, host="127.0.0.1"
        )
        listeners = await nursery.start(serve)
        port = listeners[0].socket.getsockname()[1]
        self.engine_address = f"127.0.0.1:{port}"
        listeners = await nursery.start(self.server.serve, "127.0.0.1:0")
        port = listeners[0].socket.getsockname()[1]
        self._forwarder = protocol.Forwarder(
            model.VmId("two"), f"127.0.0.1:{port}", _KEY
        )

    async def open(
        self, account: memory.Account | None = None
    ) -> forwarding.ForwardedConnection:
        opened = await forwarding.ForwardedConnection.open(
            self._forwarder,
            _ENDPOINT,
            1,
            self.engine_address,
            2.0,
            account=account,
        )
        return opened.unwrap()

    async def wait_idle(self) -> None:
        while self.server.open_forwards:
            await trio.sleep(0.01)


async def _send_head_only(stream: trio.SocketStream) -> None:
    await stream.receive_some(65_536)
    await stream.send_all(_HEAD)
    await trio.sleep_forever()


async def _send_nothing(stream: trio.SocketStream) -> None:
    await trio.sleep_forever()


async def _send_tiny_pieces(stream: trio.SocketStream) -> None:
    await stream.receive_some(65_536)
    await stream.send_all(_HEAD + b"1\r\nx\r\n" * 200)
    await trio.sleep_forever()


class TestTime:
    async def test_forward_ends_with_the_time_left_of_its_request(
        self, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The other VM once had to close its connection."""
        monkeypatch.setattr(_server, "_DEADLINE_MARGIN_SECONDS", 0.1)
        forwarder = _Forwarder(_send_head_only)
        await forwarder.start(nursery)
        conn = await forwarder.open()
        conn.deadline = trio.current_time() + 0.3
        (await conn.send(_REQUEST)).unwrap()
        (await conn.read_head()).unwrap()
        with trio.fail_after(2):
            broken = (await conn.read_data()).unwrap_err()
            await forwarder.wait_idle()
        assert broken.reason == "no answer in the time of the request"
        conn.close()
        nursery.cancel_scope.cancel()

    async def test_silent_engine_is_awaited_within_that_time(
        self, nursery: trio.Nursery
    ) -> None:
        async def answer_late(stream: trio.SocketStream) -> None:
            await stream.receive_some(65_536)
            await trio.sleep(1.2)
            await stream.send_all(_HEAD)
            await trio.sleep_forever()

        forwarder = _Forwarder(answer_late)
        await forwarder.start(nursery)
        conn = await forwarder.open()
        conn.deadline = trio.current_time() + 1.0
        (await conn.send(_REQUEST)).unwrap()
        assert (await conn.read_head()).unwrap().status == 200
        conn.close()
        nursery.cancel_scope.cancel()


class TestMemory:
    async def test_requests_are_bounded_together(
        self, nursery: trio.Nursery
    ) -> None:
        """Those that are ended are told so, and the others go on."""
        forwarder = _Forwarder(_send_nothing)
        await forwarder.start(nursery)
        request = web.Request(
            b"POST", b"/x", ((b"Host", b"e"),), b"x" * _PIECE_BYTES
        )
        reasons: list[str] = []

        async def forward(conn: forwarding.ForwardedConnection) -> None:
            (await conn.send(request)).unwrap()
            reasons.append((await conn.read_head()).unwrap_err().reason)

        with trio.fail_after(10):
            for _number in range(3):
                nursery.start_soon(forward, await forwarder.open())
            while not forwarder.evictions or not reasons:
                await trio.sleep(0.01)
        assert forwarder.budget.total_bytes <= _LIMIT_BYTES
        assert forwarder.server.open_forwards >= 1
        assert set(reasons) == {
            "the forwarder's memory for requests was used up"
        }
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("ends_by_its_answer", [False, True])
    async def test_forward_that_is_ended_counts_no_longer_at_all(
        self, nursery: trio.Nursery, ends_by_its_answer: bool
    ) -> None:
        """Its other account once went on, and others were ended for it."""

        async def send_half_a_head(stream: trio.SocketStream) -> None:
            await stream.receive_some(65_536)
            await stream.send_all(_HEAD[:-2] + b"X-Field: " + b"x" * 60_000)
            await trio.sleep_forever()

        forwarder = _Forwarder(send_half_a_head)
        await forwarder.start(nursery)
        request = web.Request(
            b"POST", b"/x", ((b"Host", b"e"),), b"x" * _PIECE_BYTES
        )
        conn = await forwarder.open()
        (await conn.send(request)).unwrap()
        budget = forwarder.budget
        with trio.fail_after(10):
            while not 2_060_000 <= budget.total_bytes <= 2_061_000:
                await trio.sleep(0.01)
        sender, sizes = "other", [1_990_000]
        if ends_by_its_answer:
            sender, sizes = forwarder.engine_address, [55_000] * 36
        for size in sizes:
            kind = memory.HolderKind.REQUEST
            budget.open(kind, sender, trio.CancelScope().cancel).hold(size)
        (eviction,) = forwarder.evictions
        assert eviction.kind is (
            memory.HolderKind.FORWARDED_ANSWER
            if ends_by_its_answer
            else memory.HolderKind.FORWARDED_REQUEST
        )
        assert budget.total_bytes == sum(sizes)
        conn.close()
        nursery.cancel_scope.cancel()

    async def test_answer_that_the_other_vm_does_not_read_is_let_go(
        self, nursery: trio.Nursery
    ) -> None:
        async def send_without_end(stream: trio.SocketStream) -> None:
            await stream.receive_some(65_536)
            await stream.send_all(_HEAD)
            chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
            try:
                while True:
                    await stream.send_all(chunk)
            except trio.BrokenResourceError:
                return

        forwarder = _Forwarder(send_without_end)
        await forwarder.start(nursery)
        conns = [await forwarder.open() for _number in range(40)]
        with trio.fail_after(10):
            for conn in conns:
                (await conn.send(_REQUEST)).unwrap()
            while not forwarder.evictions:
                await trio.sleep(0.01)
            # Each forward has two accounts.
            ended = (len(forwarder.evictions) + 1) // 2
            while forwarder.server.open_forwards > 40 - ended:
                await trio.sleep(0.01)
        assert forwarder.budget.total_bytes <= _LIMIT_BYTES
        for conn in conns:
            conn.close()
        nursery.cancel_scope.cancel()

    async def test_body_in_many_pieces_is_none(
        self, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_client, "_MAX_BODY_PIECES", 100)
        forwarder = _Forwarder(_send_tiny_pieces)
        await forwarder.start(nursery)
        conn = await forwarder.open()
        (await conn.send(_REQUEST)).unwrap()
        (await conn.read_head()).unwrap()
        with trio.fail_after(2):
            broken = (await conn.read_body(1000)).unwrap_err()
        assert broken.reason == "the body is in more than 100 pieces"
        conn.close()
        nursery.cancel_scope.cancel()

    async def test_what_is_kept_of_an_answer_is_counted(
        self, nursery: trio.Nursery
    ) -> None:
        forwarder = _Forwarder(_send_tiny_pieces)
        await forwarder.start(nursery)
        budget = memory.MemoryBudget(_LIMIT_BYTES)
        scope = trio.CancelScope()
        account = budget.open(memory.HolderKind.ANSWER, "e", scope.cancel)
        conn = await forwarder.open(account)
        (await conn.send(_REQUEST)).unwrap()
        (await conn.read_head()).unwrap()
        nursery.start_soon(conn.read_body, 1000)
        with trio.fail_after(2):
            while account.held_bytes < 200 * 64:
                await trio.sleep(0.01)
        conn.close()
        assert budget.total_bytes == 0
        nursery.cancel_scope.cancel()
