"""Tests of the bound for all answers that endpoints have begun."""

import collections.abc
import datetime
import functools
import typing

import pytest
import trio

from sedgepin._entry import _effects
from sedgepin._entry import _endpoint_client
from sedgepin._entry import _events
from sedgepin._entry import _forwarded_client
from sedgepin._entry.tests import parts
from sedgepin._entry.tests import test_endless_forwarded
from sedgepin import _forwarding as forwarding
from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import errors

_KEY = "key"
_AT_ONCE = 200
_HELD_BYTES = 20_000_000
_PART_BYTES = 1_000_000
_PAUSE_SECONDS = 0.01
_TIMEOUT = datetime.timedelta(seconds=60)
_ANSWER_LIMIT_BYTES = 4_194_304
_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_SOUND_LINE = b'{"type":"end","token_count":0}\n'
_SOUND = _HEAD + b"%x\r\n%s\r\n0\r\n\r\n" % (len(_SOUND_LINE), _SOUND_LINE)


class _Engines:
    """Engines that send a megabyte and then nothing, and a sound one."""

    def __init__(self) -> None:
        self.budget = memory.MemoryBudget(_HELD_BYTES)
        self.open_connections = 0
        self.emitted: list[_events.EntryEvent] = []
        self._addresses: dict[str, str] = {}
        self._forwarder: protocol.Forwarder | None = None

    async def start(self, nursery: trio.Nursery, is_forwarded: bool) -> None:
        for name, serve in (("stalled", self._stall), ("sound", self._answer)):
            listeners: list[typing.Any] = await nursery.start(
                functools.partial(
                    trio.serve_tcp, serve, 0, host="127.0.0.1", backlog=512
                )
            )
            port = listeners[0].socket.getsockname()[1]
            self._addresses[name] = f"http://127.0.0.1:{port}"
        if is_forwarded:
            server = forwarding.ForwardingServer(
                _KEY, test_endless_forwarded.Policy()
            )
            listen = functools.partial(server.serve, "127.0.0.1:0")
            listeners = await nursery.start(listen)
            port = listeners[0].socket.getsockname()[1]
            self._forwarder = protocol.Forwarder(
                model.VmId("two"), f"127.0.0.1:{port}", _KEY
            )

    async def run(self, name: str, is_stream: bool) -> None:
        """Run a stream or a call on an endpoint."""
        address = self._addresses[name]
        stream = parts.make_stream(address, name)
        call = _effects.CallService(
            _request(),
            1,
            model.EndpointId(name),
            address,
            _TIMEOUT,
        )
        emit = self.emitted.append
        if self._forwarder is None:
            client = _endpoint_client.HttpEndpointClient(
                _ANSWER_LIMIT_BYTES, self.budget
            )
            if is_stream:
                await client.run_stream(stream, emit)
            else:
                await client.call_service(call, emit)
            return
        forwarded = _forwarded_client.ForwardedClient(
            _ANSWER_LIMIT_BYTES, self.budget
        )
        if is_stream:
            await forwarded.run_stream(stream, self._forwarder, emit)
        else:
            await forwarded.call_service(call, self._forwarder, emit)

    async def _stall(self, stream: trio.SocketStream) -> None:
        self.open_connections += 1
        try:
            await stream.receive_some(65_536)
            length = b"%x\r\n" % (2 * _PART_BYTES)
            await stream.send_all(_HEAD + length + b"x" * _PART_BYTES)
            while await stream.receive_some(65_536):
                pass
        except trio.BrokenResourceError:
            pass
        finally:
            self.open_connections -= 1

    async def _answer(self, stream: trio.SocketStream) -> None:
        await stream.receive_some(65_536)
        await stream.send_all(_SOUND)


def _request() -> _events.ServiceRequest:
    return _events.ServiceRequest(
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


async def _wait_until(is_true: collections.abc.Callable[[], bool]) -> None:
    while not is_true():
        await trio.sleep(0.01)


class TestStalledAnswers:
    """Each was bounded: 200 of them held 200 megabytes, and none ended."""

    @pytest.mark.parametrize("is_forwarded", [False, True])
    @pytest.mark.parametrize("is_stream", [False, True])
    async def test_bound_for_all_holds(
        self, nursery: trio.Nursery, is_forwarded: bool, is_stream: bool
    ) -> None:
        engines = _Engines()
        await engines.start(nursery, is_forwarded)
        for _ in range(_AT_ONCE):
            nursery.start_soon(engines.run, "stalled", is_stream)
            # One loop runs the engines too, and connections have 0.5 s.
            await trio.sleep(_PAUSE_SECONDS)
        # As many as one endpoint may hold go on.
        kept = int(_HELD_BYTES * 0.5 / _PART_BYTES)
        with trio.fail_after(20):
            await _wait_until(
                lambda: len(engines.emitted) >= _AT_ONCE - kept - 1
            )
            await _wait_until(lambda: engines.open_connections <= kept + 1)
        assert engines.budget.total_bytes <= _HELD_BYTES
        for event in tuple(engines.emitted):
            assert isinstance(
                event, _events.StreamFailed | _events.ServiceFailed
            )
            assert event.failure.outcome is errors.Outcome.UNKNOWN
            assert "memory" in event.failure.detail()
            if isinstance(event, _events.ServiceFailed):
                assert event.bytes_were_sent
        with trio.fail_after(2):
            await engines.run("sound", is_stream)
        assert isinstance(
            engines.emitted[-1], _events.StreamEnded | _events.ServiceAnswered
        )
        nursery.cancel_scope.cancel()
