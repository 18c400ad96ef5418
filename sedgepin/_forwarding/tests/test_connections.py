"""Tests of forwarded requests on loopback connections."""

import collections.abc
import contextlib
import functools

import result
import trio

from sedgepin import _forwarding as forwarding
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _web as web

_KEY = "secret"
_ENDPOINT = model.EndpointId("engine")
_REQUEST = web.Request(b"POST", b"/x", ((b"Host", b"e"),), b"body")
_STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_Script = collections.abc.Callable[
    [trio.SocketStream], collections.abc.Awaitable[None]
]


class _Policy(forwarding.ForwardingPolicy):
    """Allows all endpoints and records what it is told."""

    __slots__ = (
        "cut",
        "heads",
        "is_sound",
        "on_refusal",
        "opened_count",
        "refusals",
        "refuses",
    )

    def __init__(self) -> None:
        self.refuses: str | None = None
        self.is_sound = True
        self.heads: list[int] = []
        self.opened_count = 0
        self.refusals: list[str] = []
        self.cut: list[str] = []
        # Called when a request is checked, before the connection is made.
        self.on_refusal: collections.abc.Callable[[], None] = lambda: None

    def refusal(
        self, opening: forwarding.OpenForward
    ) -> forwarding.ForwardRefused | None:
        self.on_refusal()
        if self.refuses is None:
            return None
        return forwarding.ForwardRefused(self.refuses, True, is_sound=True)

    def record_unreached(self, opening: forwarding.OpenForward) -> bool:
        return self.is_sound

    def record_opened(
        self, opening: forwarding.OpenForward, open_count: int
    ) -> None:
        assert opening.request_id == "r1"
        self.opened_count += 1

    def record_refused(
        self,
        opening: forwarding.OpenForward,
        refusal: forwarding.ForwardRefused,
    ) -> None:
        self.refusals.append(refusal.reason)

    def record_cut(self, opening: forwarding.OpenForward) -> None:
        self.cut.append(opening.request_id)

    def record_head(
        self, opening: forwarding.OpenForward, head: web.AnswerHead
    ) -> None:
        self.heads.append(head.status)


class _Engine:
    """Reads one request on each connection, then follows a script."""

    def __init__(self, script: _Script) -> None:
        self._script = script
        self.requests: list[bytes] = []
        self.closed = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        received = b""
        while not received.endswith(b"body"):
            data = await stream.receive_some()
            if not data:
                return
            received += data
        self.requests.append(received)
        await self._script(stream)
        with contextlib.suppress(trio.BrokenResourceError):
            if not await stream.receive_some():
                self.closed.set()


class _Server(forwarding.ForwardingServer):
    """Handles no connection before it may."""

    def __init__(self, policy: _Policy) -> None:
        super().__init__(_KEY, policy)
        self.may_handle = trio.Event()

    async def _handle(self, accepted: trio.SocketStream) -> None:
        await self.may_handle.wait()
        await super()._handle(accepted)


class _Setup:
    """A forwarder and an engine on loopback."""

    def __init__(self, script: _Script) -> None:
        self.engine = _Engine(script)
        self.policy = _Policy()
        self.server = _Server(self.policy)
        self.server.may_handle.set()
        self.forwarder_scope = trio.CancelScope()
        self.engine_address = ""
        self.forwarder = protocol.Forwarder(model.VmId("one"), "", _KEY)

    def start_draining(self) -> None:
        self.server.is_draining = True

    async def start(self, nursery: trio.Nursery) -> None:
        serve = functools.partial(
            trio.serve_tcp, self.engine.serve, 0, host="127.0.0.1"
        )
        listeners = await nursery.start(serve)
        port = listeners[0].socket.getsockname()[1]
        self.engine_address = f"127.0.0.1:{port}"
        listeners = await nursery.start(self._serve_forwarder)
        port = listeners[0].socket.getsockname()[1]
        self.forwarder = protocol.Forwarder(
            model.VmId("one"), f"127.0.0.1:{port}", _KEY
        )

    async def _serve_forwarder(
        self,
        task_status: trio.TaskStatus[
            list[trio.SocketListener]
        ] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with self.forwarder_scope:
            await self.server.serve("127.0.0.1:0", task_status)

    async def open(
        self,
        key: str = _KEY,
        address: str | None = None,
        timeout_seconds: float = 2.0,
    ) -> result.Result[
        forwarding.ForwardedConnection, forwarding.ForwardFailed
    ]:
        return await forwarding.ForwardedConnection.open(
            protocol.Forwarder(
                self.forwarder.vm_id, self.forwarder.address, key
            ),
            _ENDPOINT,
            1,
            address or self.engine_address,
            timeout_seconds,
            "r1",
        )


def _play(
    script: _Script,
    check: collections.abc.Callable[[_Setup], collections.abc.Awaitable[None]],
) -> None:
    async def main() -> None:
        with trio.fail_after(10):
            setup = _Setup(script)
            async with trio.open_nursery() as nursery:
                await setup.start(nursery)
                await check(setup)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def _answer(stream: trio.SocketStream) -> None:
    await stream.send_all(
        b"HTTP/1.1 200 OK\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nok"
    )


async def _send_one_event(stream: trio.SocketStream) -> None:
    await stream.send_all(_STREAM_HEAD + b"3\r\none\r\n")


async def _answer_without_length(stream: trio.SocketStream) -> None:
    await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nall of it")
    await stream.send_eof()


async def _send_nothing(stream: trio.SocketStream) -> None:
    return


class TestAnswer:
    def test_it_comes_as_the_endpoint_sent_it(self) -> None:
        async def check(setup: _Setup) -> None:
            conn = (await setup.open()).unwrap()
            assert setup.engine.requests == []
            (await conn.send(_REQUEST)).unwrap()
            head = (await conn.read_head()).unwrap()
            assert head.status == 200
            assert head.find_header(b"x-mark") == b"m"
            assert (await conn.read_body(100)).unwrap() == b"ok"
            assert setup.policy.heads == [200]
            assert setup.engine.requests[0].startswith(b"POST /x ")

        _play(_answer, check)

    def test_data_is_passed_on_as_it_comes(self) -> None:
        async def check(setup: _Setup) -> None:
            conn = (await setup.open()).unwrap()
            (await conn.send(_REQUEST)).unwrap()
            (await conn.read_head()).unwrap()
            assert (await conn.read_data()).unwrap() == b"one"

        _play(_send_one_event, check)

    def test_answer_that_ends_with_its_connection_is_complete(self) -> None:
        async def check(setup: _Setup) -> None:
            conn = (await setup.open()).unwrap()
            (await conn.send(_REQUEST)).unwrap()
            head = (await conn.read_head()).unwrap()
            assert head.ends_with_connection(_REQUEST.method)
            assert (await conn.read_body(100)).unwrap() == b"all of it"

        _play(_answer_without_length, check)

    def test_end_of_the_forwarder_does_not_complete_it(self) -> None:
        async def check(setup: _Setup) -> None:
            conn = (await setup.open()).unwrap()
            (await conn.send(_REQUEST)).unwrap()
            (await conn.read_head()).unwrap()
            (await conn.read_data()).unwrap()
            setup.forwarder_scope.cancel()
            assert (await conn.read_data()).is_err()
            assert conn.is_lost

        _play(_send_one_event, check)


class TestClose:
    def test_it_ends_the_work_at_the_endpoint(self) -> None:
        async def check(setup: _Setup) -> None:
            conn = (await setup.open()).unwrap()
            (await conn.send(_REQUEST)).unwrap()
            (await conn.read_head()).unwrap()
            conn.close()
            await setup.engine.closed.wait()
            while setup.server.open_forwards:
                await trio.sleep(0.01)

        _play(_send_one_event, check)

    def test_it_ends_the_work_before_the_answer(self) -> None:
        async def check(setup: _Setup) -> None:
            conn = (await setup.open()).unwrap()
            (await conn.send(_REQUEST)).unwrap()
            while not setup.engine.requests:
                await trio.sleep(0.01)
            conn.close()
            await setup.engine.closed.wait()

        _play(_send_nothing, check)


class TestRefusal:
    def test_wrong_key_is_refused(self) -> None:
        async def check(setup: _Setup) -> None:
            for key in ("", "wrong", "sch\u00f6n"):
                failure = (await setup.open(key)).unwrap_err()
                assert not failure.is_beyond
            assert setup.engine.requests == []

        _play(_answer, check)

    def test_endpoint_that_refuses_is_named(self) -> None:
        async def check(setup: _Setup) -> None:
            failure = (await setup.open(address="127.0.0.1:1")).unwrap_err()
            assert failure.is_beyond
            assert setup.policy.refusals == [
                "127.0.0.1:1: ConnectionRefusedError"
            ]

        _play(_answer, check)

    def test_endpoint_that_must_get_nothing_is_not_called(self) -> None:
        async def check(setup: _Setup) -> None:
            setup.policy.refuses = "the endpoint leaves"
            failure = (await setup.open()).unwrap_err()
            assert failure.is_beyond

        _play(_answer, check)

    def test_forwarder_that_drains_takes_no_more(self) -> None:
        async def check(setup: _Setup) -> None:
            conn = (await setup.open()).unwrap()
            setup.server.is_draining = True
            failure = (await setup.open()).unwrap_err()
            assert not failure.is_beyond
            assert setup.policy.refusals == ["this VM drains"]
            assert setup.engine.requests == []
            (await conn.send(_REQUEST)).unwrap()
            (await conn.read_head()).unwrap()
            assert (await conn.read_body(100)).unwrap() == b"ok"

        _play(_answer, check)

    def test_forwarder_that_begins_to_drain_meanwhile_sends_nothing(
        self,
    ) -> None:
        """The signal comes while it connects to the endpoint."""

        async def check(setup: _Setup) -> None:
            setup.policy.on_refusal = setup.start_draining
            failure = (await setup.open()).unwrap_err()
            assert not failure.is_beyond
            assert setup.policy.refusals == ["this VM drains"]
            assert setup.policy.opened_count == 0
            assert setup.engine.requests == []

        _play(_answer, check)

    def test_forwarder_that_stops_records_what_it_cuts(self) -> None:
        """The other VM learns that the forwarder was lost."""

        async def check(setup: _Setup) -> None:
            conn = (await setup.open()).unwrap()
            (await conn.send(_REQUEST)).unwrap()
            (await conn.read_head()).unwrap()
            setup.server.is_draining = True
            setup.server.record_cut()
            setup.forwarder_scope.cancel()
            assert (await conn.read_data()).unwrap() == b"one"
            assert (await conn.read_data()).is_err()
            assert conn.is_lost
            assert setup.policy.cut == ["r1"]

        _play(_send_one_event, check)

    def test_forwarder_that_is_late_sends_nothing(self) -> None:
        """Who has given it up sends the request elsewhere."""

        async def check(setup: _Setup) -> None:
            setup.server.may_handle = trio.Event()
            failure = (await setup.open(timeout_seconds=0.05)).unwrap_err()
            assert failure.reason == "TooSlowError"
            assert not failure.is_beyond
            setup.server.may_handle.set()
            while not setup.policy.opened_count or setup.server.open_forwards:
                await trio.sleep(0.01)
            assert setup.engine.requests == []

        _play(_answer, check)

    def test_bytes_of_a_stranger_do_no_harm(self) -> None:
        async def check(setup: _Setup) -> None:
            host, _, port = setup.forwarder.address.rpartition(":")
            for junk in (
                b"GET / HTTP/1.1\r\n\r\n",
                b"\0\0\0\3abc",
                b"\0\1",
                b"",
            ):
                stream = await trio.open_tcp_stream(host, int(port))
                await stream.send_all(junk)
                await stream.send_eof()
                with contextlib.suppress(trio.BrokenResourceError):
                    assert await stream.receive_some() == b""
            (await setup.open()).unwrap()

        _play(_answer, check)
