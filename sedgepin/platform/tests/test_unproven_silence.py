"""Tests of calls to engines that answer, though not with a report."""

import collections.abc
import socket
import struct

import pytest
import trio

from sedgepin._gateway import _calls
from sedgepin._gateway import _effects as gateway_effects
from sedgepin._gateway import _engine_calls as gateway_calls
from sedgepin._gateway import _events as gateway_events
from sedgepin._gateway import _relay
from sedgepin._gateway.tests import parts
from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects
from sedgepin._registrar import _engine_calls
from sedgepin._registrar import _events
from sedgepin._registrar.tests import cluster as clusters
from sedgepin import _web as web
from sedgepin.platform import _control
from sedgepin.platform import _gateway

_Engine = collections.abc.Callable[
    [trio.SocketStream], collections.abc.Awaitable[None]
]


async def _reset(stream: trio.SocketStream) -> None:
    """Reset a connection, as an engine does with one too many."""
    await stream.receive_some(65_536)
    linger = struct.pack("ii", 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def _refuse(stream: trio.SocketStream) -> None:
    await stream.receive_some(65_536)
    await stream.send_all(
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
    )


async def _serve(nursery: trio.Nursery, engine: _Engine) -> str:
    """Accept connections for an emulated engine; return its address."""
    listeners = await nursery.start(trio.serve_tcp, engine, 0)
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


class TestStallInspection:
    @pytest.mark.parametrize("engine", [_reset, _refuse])
    async def test_engine_that_answers_without_a_report_is_not_silent(
        self, nursery: trio.Nursery, engine: _Engine
    ) -> None:
        address = await _serve(nursery, engine)
        low = model.EndpointId("low")
        inspected = await gateway_calls.inspect_stalls(
            gateway_effects.InspectStalls(low, address),
            _gateway.GatewayDialect(),
            lambda event: None,
            parts.milliseconds(1000),
        )
        gateway = parts.Gateway()
        gateway.send_request("/draft/x")
        effects = gateway.handle(inspected)
        assert parts.has_no_effect(effects, gateway_effects.CancelAttempt)
        nursery.cancel_scope.cancel()


class TestCheckOfTheLeader:
    async def test_engine_that_resets_a_connection_is_not_lost(
        self, nursery: trio.Nursery
    ) -> None:
        """It may have as many connections as it accepts."""
        address = await _serve(nursery, _reset)
        cluster = clusters.Cluster()
        cluster.run(2)
        leader = cluster.leader()
        cluster.connect_entry(leader)
        cluster.register(leader, clusters.registration(address=address))
        endpoint_id = model.EndpointId("e")
        failed = protocol.EndpointFailed(endpoint_id, 1)
        entry = model.VmId("entry")
        cluster.handle(leader, protocol.PeerMessageReceived(entry, failed))
        check = cluster.engine_calls[-1]
        assert isinstance(check, _effects.InspectEngine)
        cluster.handle(leader, await self._inspect(check))
        cluster.run(0.1)
        assert not any(
            isinstance(message, protocol.EndpointLost)
            for message in cluster.entry_messages
        )
        nursery.cancel_scope.cancel()

    async def test_engine_that_ends_after_a_reset_is_lost(
        self, nursery: trio.Nursery
    ) -> None:
        """Its end is found by the same check, and proven."""
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]

        async def end() -> None:
            async with await listener.accept() as stream:
                await _reset(stream)
                await listener.aclose()

        nursery.start_soon(end)
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        check = _effects.InspectEngine(model.EndpointId("e"), 1, address, True)
        inspected = await self._inspect(check)
        assert isinstance(inspected, _events.EngineInspected)
        assert not inspected.has_answered
        assert not inspected.is_silent
        nursery.cancel_scope.cancel()

    async def test_engine_that_begins_its_answer_is_not_silent(
        self, nursery: trio.Nursery
    ) -> None:
        async def begin(stream: trio.SocketStream) -> None:
            await stream.receive_some(65_536)
            await stream.send_all(b"HTTP/1.1 200 OK\r\n")
            await trio.sleep_forever()

        address = await _serve(nursery, begin)
        check = _effects.InspectEngine(model.EndpointId("e"), 1, address)
        inspected = await self._inspect(check)
        assert isinstance(inspected, _events.EngineInspected)
        assert inspected.has_answered
        nursery.cancel_scope.cancel()

    async def _inspect(
        self, check: _effects.InspectEngine
    ) -> _events.RegistrarEvent:
        """Carry out a check as the daemon does, and return its event."""
        inspected: list[_events.RegistrarEvent] = []
        calls = _engine_calls.EngineCalls(
            _control.ControlDialect(),
            memory.MemoryBudget(1_000_000),
            inspected.append,
        )
        await calls.inspect(check)
        return inspected[-1]


class _Caller(web.Exchange):
    """A caller that waits for its answer."""

    has_caller_closed = True

    def __init__(self) -> None:
        self.request = web.Request(
            b"POST", b"/draft/x", ((b"Host", b"one.example"),)
        )
        self.has_started = False

    async def start(self, head: web.AnswerHead) -> None:
        self.has_started = True

    async def answer(self, head: web.AnswerHead, body: bytes) -> None:
        self.has_started = True

    async def send(self, data: bytes) -> None:
        raise NotImplementedError

    async def finish(self) -> None:
        raise NotImplementedError


class TestLateAnswerHead:
    async def test_attempt_goes_on(self, nursery: trio.Nursery) -> None:
        async def engine(stream: trio.SocketStream) -> None:
            await stream.receive_some(65_536)
            await trio.sleep(0.25)
            await stream.send_all(
                b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
            )

        address = await _serve(nursery, engine)
        dispatch = _calls.Dispatch(model.EndpointId("e"), address, None, None)
        caller = _Caller()
        submitted: list[gateway_events.GatewayEvent] = []

        def submit(event: gateway_events.GatewayEvent) -> None:
            submitted.append(event)
            if isinstance(event, gateway_events.RequestArrived):
                relay.handle_effect(
                    gateway_effects.StartAttempt(
                        1, dispatch, False, parts.milliseconds(100)
                    )
                )

        relay = _relay.Relay(
            1,
            caller,
            _calls.CallerRequest(
                "r1", "one.example", "/read/x", caller.request
            ),
            _gateway.GatewayDialect(),
            submit,
        )
        with trio.fail_after(2):
            await relay.run()
        late = gateway_events.AnswerHeadLate(1)
        assert submitted.count(late) == 2
        ended = submitted[-1]
        assert isinstance(ended, gateway_events.AttemptEnded)
        assert ended.outcome is gateway_events.AttemptOutcome.ANSWERED
        assert caller.has_started
        nursery.cancel_scope.cancel()


class TestCancelledBeforeItBegan:
    async def test_attempt_ends(self, nursery: trio.Nursery) -> None:
        """The reducer may cancel an attempt before its task has begun it."""

        async def engine(stream: trio.SocketStream) -> None:
            await trio.sleep(5)

        address = await _serve(nursery, engine)
        dispatch = _calls.Dispatch(model.EndpointId("e"), address, None, None)
        caller = _Caller()
        ended: list[gateway_events.AttemptEnded] = []

        def submit(event: gateway_events.GatewayEvent) -> None:
            if isinstance(event, gateway_events.RequestArrived):
                start = gateway_effects.StartAttempt(1, dispatch, True)
                relay.handle_effect(start)
                relay.handle_effect(gateway_effects.CancelAttempt(1))
            if isinstance(event, gateway_events.AttemptEnded):
                ended.append(event)

        relay = _relay.Relay(
            1,
            caller,
            _calls.CallerRequest(
                "r1", "one.example", "/draft/x", caller.request
            ),
            _gateway.GatewayDialect(),
            submit,
        )
        nursery.start_soon(relay.run)
        await trio.sleep(0.5)
        outcomes = [event.outcome for event in ended]
        assert outcomes == [gateway_events.AttemptOutcome.CANCELLED]
        nursery.cancel_scope.cancel()
