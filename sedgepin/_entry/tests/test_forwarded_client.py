"""Tests of calls to endpoints through another entry VM, on loopback."""

import collections.abc
import contextlib
import datetime
import functools
import typing

import pytest
import trio

from sedgepin import _answers as answers
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
    def knows(self, opening: forwarding.OpenForward) -> bool:
        return opening.endpoint_id != "unknown"

    def refusal(
        self, opening: forwarding.OpenForward
    ) -> forwarding.ForwardRefused | None:
        if opening.endpoint_id != "refused":
            return None
        return forwarding.ForwardRefused("refused", True, is_sound=True)

    def record_unreached(self, opening: forwarding.OpenForward) -> bool:
        return opening.endpoint_id != "unproven"

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
        while not _is_whole(self.received):
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


def _is_whole(received: bytes) -> bool:
    head, end, body = received.partition(b"\r\n\r\n")
    lengths = [
        int(line.split(b":")[1])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length:")
    ]
    return bool(end) and len(body) >= sum(lengths)


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


def _stage(setup: _Setup, endpoint_id: str = "engine") -> model.Stage:
    return model.Stage(
        model.EndpointId(endpoint_id),
        f"http://{setup.address}",
        model.LayerRange(0, 1),
    )


def _attempt(setup: _Setup, endpoint_id: str = "engine") -> entry.StartStream:
    return entry.StartStream(
        request_id=model.RequestId("r1"),
        attempt=1,
        pipeline=model.Pipeline((_stage(setup, endpoint_id),)),
        model=model.ModelName("beet"),
        version="1",
        prompt="prompt",
        delivered=(),
        position=0,
        limit_tokens=2,
        priority=1,
        forwarder=setup.forwarder,
    )


def _probe(setup: _Setup, *endpoint_ids: str) -> entry.ProbeStages:
    return entry.ProbeStages(
        model.RequestId("r1"),
        1,
        1,
        tuple(_stage(setup, one) for one in endpoint_ids),
        datetime.timedelta(seconds=0.3),
        setup.forwarder,
    )


def _answer(body: bytes, status: bytes = b"200 OK") -> bytes:
    length = b"%d" % len(body)
    return (
        b"HTTP/1.1 "
        + status
        + b"\r\nContent-Length: "
        + length
        + b"\r\nConnection: close\r\n\r\n"
        + body
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
            ("ledger", _UNUSED_ADDRESS, _KEY, entry.LinkFailure.ENDPOINT),
            ("refused", None, _KEY, entry.LinkFailure.ENDPOINT),
            ("unknown", None, _KEY, entry.LinkFailure.UNKNOWN),
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


_PIECE = (
    b'{"type":"piece","request_id":"r1","attempt":1,"position":0,'
    b'"text":"a","lineage":[]}\n'
)
_END = b'{"type":"end","token_count":1}\n'


class TestRunStream:
    def _run_stream(
        self, setup: _Setup, endpoint_id: str = "engine"
    ) -> list[entry.EntryEvent]:
        async def test() -> None:
            await setup.client.run_stream(
                _attempt(setup, endpoint_id),
                setup.forwarder,
                setup.events.append,
            )

        _run(setup, test)
        return setup.events

    def test_pieces_and_end_are_passed_on(self) -> None:
        setup = _Setup(_answer(_PIECE + _END))
        piece, ended = self._run_stream(setup)
        assert isinstance(piece, entry.PieceReceived)
        assert piece.piece.text == "a"
        assert isinstance(ended, entry.StreamEnded)
        assert setup.received.startswith(b"POST /v1/pipeline HTTP/1.1\r\n")
        assert b'"prompt":"prompt"' in setup.received

    @pytest.mark.parametrize(
        ("answer", "code", "crashed"),
        [
            (_answer(_PIECE), "endpoint_failed", True),
            (_answer(_PIECE + _END)[:-1], "endpoint_failed", True),
            (_answer(_PIECE + b"no JSON\n"), "endpoint_failed", True),
            (_answer(b"", b"503 Busy"), "endpoint_busy", False),
            (_answer(b"", b"400 Bad"), "endpoint_refused", False),
        ],
    )
    def test_early_end_is_told_from_a_refusal(
        self, answer: bytes, code: str, crashed: bool
    ) -> None:
        *_, failed = self._run_stream(_Setup(answer))
        assert isinstance(failed, entry.StreamFailed)
        assert (failed.failure.code, failed.crashed) == (code, crashed)
        assert failed.link_failure is None

    def test_engine_that_is_not_reached_gets_nothing(self) -> None:
        setup = _Setup(_answer(_PIECE + _END))
        (failed,) = self._run_stream(setup, "refused")
        assert isinstance(failed, entry.StreamFailed)
        assert not failed.crashed
        assert failed.link_failure is entry.LinkFailure.ENDPOINT
        assert setup.received == b""


class TestProbe:
    def test_states_and_link_failures_are_reported(self) -> None:
        setup = _Setup(_answer(b'{"state":"producing","produced":3}'))

        async def test() -> None:
            await setup.client.probe(
                _probe(setup, "engine", "refused"),
                setup.forwarder,
                setup.events.append,
            )

        _run(setup, test)
        (answered,) = setup.events
        assert isinstance(answered, entry.ProbeAnswered)
        reached, not_reached = answered.reports
        assert reached.state is answers.StreamState.PRODUCING
        assert (reached.produced, reached.link_failure) == (3, None)
        assert not_reached.state is None
        assert not_reached.link_failure is entry.LinkFailure.ENDPOINT

    def test_silent_stage_is_no_link_failure(self) -> None:
        setup = _Setup(None)

        async def test() -> None:
            await setup.client.probe(
                _probe(setup, "engine"), setup.forwarder, setup.events.append
            )

        _run(setup, test)
        (answered,) = setup.events
        assert isinstance(answered, entry.ProbeAnswered)
        (report,) = answered.reports
        assert (report.state, report.link_failure) == (None, None)
