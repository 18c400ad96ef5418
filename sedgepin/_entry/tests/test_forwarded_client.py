"""Tests of calls to endpoints through another entry VM, on loopback."""

import collections.abc
import contextlib
import datetime
import functools
import typing

import pytest
import trio

from sedgepin import _entry as entry
from sedgepin._entry import _forwarded_client
from sedgepin import _forwarding as forwarding
from sedgepin import _http as http
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _web as web

_KEY = "key"
_ANSWER = (
    b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\nX-One: 1\r\n"
    b"Connection: close\r\n\r\nok"
)
_UNUSED_ADDRESS = "127.0.0.1:1"


class _Policy(forwarding.ForwardingPolicy):
    def refusal(self, opening: forwarding.OpenForward) -> str | None:
        return "unknown" if opening.endpoint_id == "unknown" else None

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


class _Setup:
    """A forwarder and an endpoint that sends ``answer`` and closes.

    Without an answer it keeps the connection open.
    """

    def __init__(self, answer: bytes | None) -> None:
        self._answer = answer
        self.received = b""
        self.has_request = trio.Event()
        self.is_closed = trio.Event()
        self.address = ""
        self.forwarder = protocol.Forwarder(model.VmId("two"), "", _KEY)
        self.events: list[entry.EntryEvent] = []
        self.client = _forwarded_client.ForwardedClient(1000)

    async def start(self, nursery: trio.Nursery) -> None:
        serve = functools.partial(
            trio.serve_tcp, self._serve, 0, host="127.0.0.1"
        )
        self.address = _address(await nursery.start(serve))
        server = forwarding.ForwardingServer(_KEY, _Policy())
        listen = functools.partial(server.serve, "127.0.0.1:0")
        address = _address(await nursery.start(listen))
        self.forwarder = protocol.Forwarder(model.VmId("two"), address, _KEY)

    async def _serve(self, stream: trio.SocketStream) -> None:
        while b"\r\n\r\n" not in self.received:
            data = await stream.receive_some()
            if not data:
                return
            self.received += data
        self.has_request.set()
        if self._answer is not None:
            await stream.send_all(self._answer)
            return
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some()
        self.is_closed.set()


def _address(listeners: list[trio.SocketListener]) -> str:
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


def _call(
    setup: _Setup,
    endpoint_id: str = "ledger",
    address: str | None = None,
    timeout_seconds: float = 5.0,
) -> entry.CallService:
    request = entry.ServiceRequest(
        request_id=model.RequestId("r1"),
        customer=model.CustomerId("a"),
        service=model.ServiceName("ledger"),
        method="GET",
        path="/receipts?n=1",
        headers=(
            http.HeaderField(b"authorization", b"secret"),
            http.HeaderField(b"x-two", b"2"),
        ),
        body=b"",
        body_digest="",
        idempotency_key=None,
        priority=1,
    )
    return entry.CallService(
        request,
        1,
        model.EndpointId(endpoint_id),
        f"http://{address or setup.address}",
        datetime.timedelta(seconds=timeout_seconds),
        setup.forwarder,
    )


def _run(
    setup: _Setup, test: collections.abc.Callable[[], typing.Any]
) -> None:
    async def main() -> None:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                await setup.start(nursery)
                await test()
                nursery.cancel_scope.cancel()

    trio.run(main)


class TestCallService:
    def test_answer_is_passed_on_without_credentials(self) -> None:
        setup = _Setup(_ANSWER)

        async def test() -> None:
            await setup.client.call_service(
                _call(setup), setup.forwarder, setup.events.append
            )

        _run(setup, test)
        (answered,) = setup.events
        assert isinstance(answered, entry.ServiceAnswered)
        assert (answered.status, answered.body) == (201, b"ok")
        assert answered.headers == (http.HeaderField(b"x-one", b"1"),)
        head = setup.received.lower()
        assert head.startswith(b"get /receipts?n=1 http/1.1\r\n")
        assert b"x-two: 2" in head
        assert f"host: {setup.address}".encode() in head
        assert b"secret" not in head

    @pytest.mark.parametrize(
        ("endpoint_id", "address", "key", "expected"),
        [
            ("ledger", _UNUSED_ADDRESS, _KEY, entry.LinkFailure.BEYOND),
            ("unknown", None, _KEY, entry.LinkFailure.BEYOND),
            ("ledger", None, "other", entry.LinkFailure.FORWARDER),
        ],
    )
    def test_nothing_is_sent_without_a_connection(
        self,
        endpoint_id: str,
        address: str | None,
        key: str,
        expected: entry.LinkFailure,
    ) -> None:
        setup = _Setup(_ANSWER)

        async def test() -> None:
            forwarder = protocol.Forwarder(
                setup.forwarder.vm_id, setup.forwarder.address, key
            )
            await setup.client.call_service(
                _call(setup, endpoint_id, address),
                forwarder,
                setup.events.append,
            )

        _run(setup, test)
        (failed,) = setup.events
        assert isinstance(failed, entry.ServiceFailed)
        assert not failed.bytes_were_sent
        assert failed.link_failure is expected
        assert setup.received == b""

    def test_forwarder_that_is_gone_is_told_from_an_endpoint(self) -> None:
        setup = _Setup(_ANSWER)

        async def test() -> None:
            gone = protocol.Forwarder(
                setup.forwarder.vm_id, _UNUSED_ADDRESS, _KEY
            )
            await setup.client.call_service(
                _call(setup), gone, setup.events.append
            )

        _run(setup, test)
        (failed,) = setup.events
        assert isinstance(failed, entry.ServiceFailed)
        assert not failed.bytes_were_sent
        assert failed.link_failure is entry.LinkFailure.FORWARDER

    @pytest.mark.parametrize(
        "answer", [b"", _ANSWER[:-1], b"no HTTP\r\n\r\n", _ANSWER[:30]]
    )
    def test_early_end_is_no_answer_and_may_have_run(
        self, answer: bytes
    ) -> None:
        setup = _Setup(answer)

        async def test() -> None:
            await setup.client.call_service(
                _call(setup), setup.forwarder, setup.events.append
            )

        _run(setup, test)
        (failed,) = setup.events
        assert isinstance(failed, entry.ServiceFailed)
        assert failed.bytes_were_sent
        assert failed.link_failure is None

    def test_silence_ends_at_the_timeout_and_may_have_run(self) -> None:
        setup = _Setup(None)

        async def test() -> None:
            await setup.client.call_service(
                _call(setup, timeout_seconds=0.2),
                setup.forwarder,
                setup.events.append,
            )
            await setup.is_closed.wait()

        _run(setup, test)
        (failed,) = setup.events
        assert isinstance(failed, entry.ServiceFailed)
        assert failed.bytes_were_sent

    def test_cancelled_call_ends_the_work_at_the_endpoint(self) -> None:
        setup = _Setup(None)

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    setup.client.call_service,
                    _call(setup),
                    setup.forwarder,
                    setup.events.append,
                )
                await setup.has_request.wait()
                nursery.cancel_scope.cancel()
            await setup.is_closed.wait()

        _run(setup, test)
        assert setup.events == []
