"""Tests of the endpoint client with endpoints whose answers never end."""

import datetime
import typing

import pytest
import trio

from sedgepin._entry import _effects
from sedgepin._entry import _endpoint_client
from sedgepin._entry import _events
from sedgepin import _model as model
from sedgepin._web import _part_timer
from sedgepin import errors
from sedgepin.tests import endless_engine
from sedgepin.tests import memory

_ANSWER_LIMIT_BYTES = 1_000_000
_AT_ONCE = 200
# The limit of an answer or a line, an eighth more, and two reads.
_HELD_BYTES = 1_048_576 * 9 // 8 + 2 * 65_536
_LIMIT_SECONDS = 0.3
_PAUSE_SECONDS = 0.02
_TIMEOUT = datetime.timedelta(seconds=1)
_ANSWERS = {**endless_engine.HEADS, **endless_engine.BODIES}


class _Endpoint:
    """An endless endpoint, and the client that calls it."""

    def __init__(self, kind: str, pause_seconds: float | None) -> None:
        self.engine = endless_engine.EndlessEngine(
            _ANSWERS[kind], pause_seconds
        )
        self.client = _endpoint_client.HttpEndpointClient(_ANSWER_LIMIT_BYTES)
        self.emitted: list[_events.EntryEvent] = []

    async def call_service(self, timeout: datetime.timedelta) -> None:
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
            timeout,
        )
        await self.client.call_service(effect, self.emitted.append)

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
        await self.client.run_stream(effect, self.emitted.append)

    async def probe(self) -> None:
        effect = _effects.ProbeStages(
            model.RequestId("r1"), 1, 1, (self._stage(),), _TIMEOUT
        )
        await self.client.probe(effect, self.emitted.append)

    async def run(self, call: str) -> None:
        """Make a call by the name of its method."""
        if call == "call_service":
            await self.call_service(datetime.timedelta(seconds=30))
        elif call == "run_stream":
            await self.run_stream()
        else:
            await self.probe()

    def _stage(self) -> model.Stage:
        return model.Stage(
            model.EndpointId("e"),
            f"http://{self.engine.address}",
            model.LayerRange(0, 1),
        )


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
        await endpoint.engine.start(nursery)
        with trio.fail_after(3):
            await endpoint.call_service(_TIMEOUT)
            await endpoint.engine.wait_closed()
        (event,) = endpoint.emitted
        assert isinstance(event, _events.ServiceFailed)
        assert event.bytes_were_sent
        assert event.failure.outcome is errors.Outcome.UNKNOWN
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        ("kind", "pause_seconds"),
        [
            (kind, pause_seconds)
            for kind in endless_engine.HEADS
            for pause_seconds in (None, _PAUSE_SECONDS)
            if (kind, pause_seconds) != ("interim answers", _PAUSE_SECONDS)
        ],
    )
    async def test_head_without_end_fails_long_before_the_deadline(
        self, nursery: trio.Nursery, kind: str, pause_seconds: float | None
    ) -> None:
        """A complete interim answer now and then is progress."""
        endpoint = _Endpoint(kind, pause_seconds)
        await endpoint.engine.start(nursery)
        with trio.fail_after(2):
            await endpoint.call_service(datetime.timedelta(seconds=30))
            await endpoint.engine.wait_closed()
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
        await endpoint.engine.start(nursery)
        with trio.fail_after(3):
            await endpoint.run_stream()
            await endpoint.engine.wait_closed()
        (event,) = endpoint.emitted
        assert isinstance(event, _events.StreamFailed)
        assert event.crashed
        assert event.failure.outcome is errors.Outcome.UNKNOWN
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("kind", list(_ANSWERS))
    async def test_cancelled_stream_closes_the_connection(
        self, nursery: trio.Nursery, kind: str
    ) -> None:
        endpoint = _Endpoint(kind, _PAUSE_SECONDS)
        await endpoint.engine.start(nursery)
        with trio.move_on_after(0.1):
            await endpoint.run_stream()
        with trio.fail_after(1):
            await endpoint.engine.wait_closed()
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("kind", list(_ANSWERS))
    async def test_quick_answer_to_a_probe_is_not_read_beyond_its_limit(
        self,
        nursery: trio.Nursery,
        held_clock: trio.abc.Clock,
        kind: str,
    ) -> None:
        """All that came within the timeout was once kept in memory."""
        endpoint = _Endpoint(kind, None)
        await endpoint.engine.start(nursery)
        before = trio.current_time()
        await endpoint.probe()
        assert trio.current_time() - before < _TIMEOUT.total_seconds() / 2
        with trio.fail_after(1):
            await endpoint.engine.wait_closed()
        (event,) = endpoint.emitted
        assert isinstance(event, _events.ProbeAnswered)
        nursery.cancel_scope.cancel()

    async def test_quick_tiny_chunks_hold_up_no_other_task(
        self, nursery: trio.Nursery, held_clock: trio.abc.Clock
    ) -> None:
        endpoint = _Endpoint("tiny chunks", None)
        await endpoint.engine.start(nursery)
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

    async def test_slow_head_is_received(self, nursery: trio.Nursery) -> None:
        """An endpoint that is silent within its head for a while is sound."""

        async def answer(stream: trio.SocketStream) -> None:
            await stream.receive_some(65_536)
            for part in (b"HTTP/1.1 200 OK\r\nA: b", b"\r\n", b"\r\n"):
                await stream.send_all(part)
                await trio.sleep(0.12)

        endpoint = _Endpoint("garbage", None)
        listeners: list[typing.Any] = await nursery.start(
            trio.serve_tcp, answer, 0
        )
        port = listeners[0].socket.getsockname()[1]
        endpoint.engine._port_address = f"127.0.0.1:{port}"
        with trio.fail_after(2):
            await endpoint.call_service(_TIMEOUT)
        (event,) = endpoint.emitted
        assert isinstance(event, _events.ServiceAnswered)
        nursery.cancel_scope.cancel()


class TestManyAtOnce:
    @pytest.mark.parametrize(
        "kind",
        ["headers", "interim answers", "tiny chunks", "body without length"],
    )
    @pytest.mark.parametrize("call", ["call_service", "run_stream", "probe"])
    async def test_200_at_once_take_bounded_memory_and_time(
        self, nursery: trio.Nursery, kind: str, call: str
    ) -> None:
        meter = memory.Meter()
        with memory.endless_engine_process(kind) as address:
            endpoints = [_Endpoint(kind, None) for _number in range(_AT_ONCE)]
            nursery.start_soon(meter.sample)
            before = trio.current_time()
            with trio.fail_after(60):
                async with trio.open_nursery() as calling:
                    for endpoint in endpoints:
                        endpoint.engine._port_address = address
                        calling.start_soon(endpoint.run, call)
            seconds = trio.current_time() - before
        growth = meter.growth_bytes
        print(
            f"{kind}, {call}: {growth / 1e6:.1f} MB, {seconds:.1f} s,"
            f" longest pause {meter.longest_pause_seconds:.2f} s"
        )
        assert all(len(endpoint.emitted) == 1 for endpoint in endpoints)
        assert growth < _AT_ONCE * _HELD_BYTES
        nursery.cancel_scope.cancel()
