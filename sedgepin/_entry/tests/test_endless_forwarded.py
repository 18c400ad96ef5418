"""Tests of answers without end that come through a forwarder."""

import datetime
import functools
import typing

import pytest
import trio

from sedgepin._entry import _effects
from sedgepin._entry import _engine_messages
from sedgepin._entry import _events
from sedgepin._entry import _forwarded_client
from sedgepin import _forwarding as forwarding
from sedgepin._forwarding import _frames
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _web as web
from sedgepin._web import _part_timer
from sedgepin import errors
from sedgepin.tests import endless_engine

_KEY = "key"
_ANSWER_LIMIT_BYTES = 1_000_000
_LIMIT_SECONDS = 0.3
_PAUSE_SECONDS = 0.02
_TIMEOUT = datetime.timedelta(seconds=1)
# Far longer than any processor takes to read as much as is allowed.
_PROBE_TIMEOUT = datetime.timedelta(seconds=60)
# What one read returns beside what is allowed.
_MAX_PROBE_BYTES = _engine_messages.MAX_STATE_BYTES + 65_536
_ANSWERS = {**endless_engine.HEADS, **endless_engine.BODIES}


class Policy(forwarding.ForwardingPolicy):
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


class _Endpoint:
    """An endless endpoint, a forwarder, and the client that uses both."""

    def __init__(self, kind: str, pause_seconds: float | None) -> None:
        self.engine = endless_engine.EndlessEngine(
            _ANSWERS[kind], pause_seconds
        )
        self.client = _forwarded_client.ForwardedClient(_ANSWER_LIMIT_BYTES)
        self.forwarder = protocol.Forwarder(model.VmId("two"), "", _KEY)
        self.emitted: list[_events.EntryEvent] = []

    async def start(self, nursery: trio.Nursery) -> None:
        await self.engine.start(nursery)
        server = forwarding.ForwardingServer(_KEY, Policy())
        listen = functools.partial(server.serve, "127.0.0.1:0")
        listeners: list[typing.Any] = await nursery.start(listen)
        port = listeners[0].socket.getsockname()[1]
        self.forwarder = protocol.Forwarder(
            model.VmId("two"), f"127.0.0.1:{port}", _KEY
        )

    async def call_service(self) -> None:
        request = _events.ServiceRequest(
            model.RequestId("r1"),
            model.CustomerId("c"),
            model.ServiceName("s"),
            "POST",
            "/x",
            (),
            b"",
            "",
            None,
            0,
        )
        effect = _effects.CallService(
            request,
            1,
            model.EndpointId("e"),
            f"http://{self.engine.address}",
            _TIMEOUT,
        )
        await self.client.call_service(
            effect, self.forwarder, self.emitted.append
        )

    async def run_stream(self) -> None:
        effect = _effects.StartStream(
            model.RequestId("r1"),
            1,
            model.Pipeline((self._stage(),)),
            model.ModelName("m"),
            "1",
            "prompt",
            (),
            0,
            8,
            0,
        )
        await self.client.run_stream(
            effect, self.forwarder, self.emitted.append
        )

    async def probe(self) -> None:
        effect = _effects.ProbeStages(
            model.RequestId("r1"), 1, 1, (self._stage(),), _PROBE_TIMEOUT
        )
        await self.client.probe(effect, self.forwarder, self.emitted.append)

    def _stage(self) -> model.Stage:
        return model.Stage(
            model.EndpointId("e"),
            f"http://{self.engine.address}",
            model.LayerRange(0, 1),
        )


def _record_pieces(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Record the sizes of all pieces of a body that are received."""
    sizes: list[int] = []
    receive = _frames.FrameStream.receive

    async def receive_and_record(
        stream: _frames.FrameStream, *arguments: typing.Any
    ) -> _frames.Frame:
        frame = await receive(stream, *arguments)
        if isinstance(frame, _frames.ForwardedData):
            sizes.append(len(frame.data))
        return frame

    monkeypatch.setattr(_frames.FrameStream, "receive", receive_and_record)
    return sizes


@pytest.fixture(autouse=True)
def _short_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_part_timer, "_LIMIT_SECONDS", _LIMIT_SECONDS)


class TestEndlessAnswer:
    @pytest.mark.parametrize("kind", list(_ANSWERS))
    @pytest.mark.parametrize("pause_seconds", [None, _PAUSE_SECONDS])
    async def test_call_fails_as_unknown_and_closes_the_connection(
        self, nursery: trio.Nursery, kind: str, pause_seconds: float | None
    ) -> None:
        endpoint = _Endpoint(kind, pause_seconds)
        await endpoint.start(nursery)
        with trio.fail_after(3):
            await endpoint.call_service()
            await endpoint.engine.wait_closed()
        (event,) = endpoint.emitted
        assert isinstance(event, _events.ServiceFailed)
        assert event.bytes_were_sent
        assert event.failure.outcome is errors.Outcome.UNKNOWN
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        ("kind", "pause_seconds"),
        [
            *((kind, None) for kind in _ANSWERS),
            ("one header line", _PAUSE_SECONDS),
            ("chunks", _PAUSE_SECONDS),
            ("body without length", _PAUSE_SECONDS),
        ],
    )
    async def test_stream_fails_as_unknown(
        self, nursery: trio.Nursery, kind: str, pause_seconds: float | None
    ) -> None:
        endpoint = _Endpoint(kind, pause_seconds)
        await endpoint.start(nursery)
        with trio.fail_after(3):
            await endpoint.run_stream()
            await endpoint.engine.wait_closed()
        (event,) = endpoint.emitted
        assert isinstance(event, _events.StreamFailed)
        assert event.crashed
        assert event.failure.outcome is errors.Outcome.UNKNOWN
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("kind", list(_ANSWERS))
    async def test_quick_answer_to_a_probe_is_not_read_beyond_its_limit(
        self,
        nursery: trio.Nursery,
        kind: str,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        endpoint = _Endpoint(kind, None)
        await endpoint.start(nursery)
        pieces = _record_pieces(monkeypatch)
        # It ends by what it has read, long before its time is over.
        with trio.fail_after(_PROBE_TIMEOUT.total_seconds() / 2):
            await endpoint.probe()
            await endpoint.engine.wait_closed()
        assert sum(pieces) <= _MAX_PROBE_BYTES
        assert len(pieces) <= _engine_messages.MAX_STATE_BYTES + 1
        (event,) = endpoint.emitted
        assert isinstance(event, _events.ProbeAnswered)
        nursery.cancel_scope.cancel()

    async def test_quick_tiny_chunks_hold_up_no_other_task(
        self, nursery: trio.Nursery, held_clock: trio.abc.Clock
    ) -> None:
        endpoint = _Endpoint("tiny chunks", None)
        await endpoint.start(nursery)
        nursery.start_soon(endpoint.run_stream)
        longest_pause = 0.0
        with trio.move_on_after(2):
            while not endpoint.emitted:
                before = trio.current_time()
                await trio.sleep(0.001)
                pause = trio.current_time() - before
                longest_pause = max(longest_pause, pause)
        assert longest_pause < 0.1
        nursery.cancel_scope.cancel()
