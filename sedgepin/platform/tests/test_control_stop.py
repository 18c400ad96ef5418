"""Tests of planned stops of a control VM, as its supervisor sees them."""

import itertools
import json
import signal

import pytest
import trio

from sedgepin import _web as web
from sedgepin.platform.tests import running_system

_GRACE_SECONDS = 2.0
# So long after SIGTERM a call is read whole.
_LATE_SECONDS = 1.2
_SIGNAL_SECONDS = 0.15
_SERIES = (signal.SIGHUP, signal.SIGTERM)
_CONFIG_TARGET = b"/v1/config"
_HEAD = b"%s /v1/config HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n"
_CALLS = (b"PUT", b"GET", b"PUT")
_REFUSED = b"HTTP/1.1 5"
_PUBLISHERS = 4


async def _connect() -> trio.SocketStream:
    with trio.fail_after(running_system.TIMEOUT_SECONDS):
        while True:
            try:
                return await trio.open_tcp_stream(
                    running_system.CONTROL, running_system.CALL_PORT
                )
            except OSError:
                await trio.sleep(0.1)


async def _publish_first() -> None:
    await running_system.poll_until(
        200,
        running_system.CONTROL,
        running_system.CALL_PORT,
        b"PUT",
        _CONFIG_TARGET,
        body=running_system.CONFIGURATION,
    )


async def _end_by_supervisor(
    system: running_system.System, further: tuple[signal.Signals, ...]
) -> int | None:
    """Stop the control VM with signals in series; kill it after the grace."""
    control = system.processes["control"]
    control.send_signal(signal.SIGTERM)
    numbers = itertools.cycle(further)
    with trio.move_on_after(_GRACE_SECONDS):
        while control.poll() is None:
            await trio.sleep(_SIGNAL_SECONDS)
            if further:
                control.send_signal(next(numbers))
    control.kill()
    return control.wait()


class TestGracePeriod:
    @pytest.mark.parametrize("further", [(), _SERIES], ids=["one", "series"])
    @pytest.mark.parametrize("trouble", ["no quorum", "full disk"])
    async def test_calls_read_late_beside_trouble_are_answered_in_it(
        self,
        system: running_system.System,
        trouble: str,
        further: tuple[signal.Signals],
    ) -> None:
        """They would wait for the log for longer than it lasts."""
        system.grace_seconds = _GRACE_SECONDS
        if trouble == "no quorum":
            system.controls = (
                running_system.CONTROL,
                running_system.ABSENT_CONTROL,
            )
        system.start("control", running_system.CONTROL)
        if trouble == "full disk":
            await _publish_first()
            system.full_disk_marker("control").touch()
        document = {**running_system.CONFIGURATION, "version": 2}
        body = json.dumps(document).encode()
        received: list[tuple[bytes, bytes]] = []

        async def call(method: bytes) -> None:
            async with await _connect() as stream:
                await stream.send_all(_HEAD % (method, len(body)) + body[:1])
                await trio.sleep(0.2 + _LATE_SECONDS)
                await stream.send_all(body[1:])
                answer = b""
                try:
                    while data := await stream.receive_some():
                        answer += data
                finally:
                    received.append((method, answer))

        (await _connect()).socket.close()
        async with trio.open_nursery() as calls:
            for method in _CALLS:
                calls.start_soon(call, method)
            await trio.sleep(0.2)
            exit_code = await _end_by_supervisor(system, further)
        assert len(received) == len(_CALLS)
        for method, answer in received:
            # A leader with a full disk still answers reads.
            is_read = method == b"GET" and trouble == "full disk"
            assert answer.startswith(b"HTTP/1.1 " if is_read else _REFUSED)
            assert b"connection: close" in answer.lower()
        assert exit_code == 0


class TestCallThatIsNotThereAtTheEnd:
    @pytest.mark.parametrize("grace_seconds", [2.0, 8.0])
    @pytest.mark.parametrize("sent_bytes", [1, 40, -1])
    async def test_its_caller_learns_that_it_has_not_run(
        self,
        system: running_system.System,
        grace_seconds: float,
        sent_bytes: int,
    ) -> None:
        """Its head or its body would end after the process."""
        system.grace_seconds = grace_seconds
        system.start("control", running_system.CONTROL)
        await _publish_first()
        control = system.processes["control"]
        document = {**running_system.CONFIGURATION, "version": 2}
        body = json.dumps(document).encode()
        call = _HEAD % (b"PUT", len(body)) + body
        received = b""
        async with await _connect() as stream:
            await stream.send_all(call[:sent_bytes])
            await trio.sleep(0.2)
            control.send_signal(signal.SIGTERM)
            with trio.fail_after(running_system.TIMEOUT_SECONDS):
                while data := await stream.receive_some():
                    received += data
                while control.poll() is None:
                    await trio.sleep(0.02)
        assert control.returncode == 0
        assert received.startswith(b"HTTP/1.1 503 ")
        assert b"connection: close" in received.lower()


class TestChanges:
    async def test_changes_beside_signals_in_series_are_answered_and_kept(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        """What was acknowledged before the stop is in force after it."""
        system.grace_seconds = _GRACE_SECONDS
        system.start("control", running_system.CONTROL)
        await _publish_first()
        versions = itertools.count(2)
        ends: list[tuple[int, int, str]] = []

        async def publish() -> None:
            address = f"{running_system.CONTROL}:{running_system.CALL_PORT}"
            while True:
                version = next(versions)
                document = {**running_system.CONFIGURATION, "version": version}
                request = web.Request(
                    b"PUT",
                    _CONFIG_TARGET,
                    ((b"Host", b"c"),),
                    json.dumps(document).encode(),
                )
                answered = await web.send_request(address, request, 4.0)
                if answered.is_ok():
                    status = answered.unwrap()[0].status
                    ends.append((version, status, ""))
                    continue
                failure = answered.unwrap_err()
                if isinstance(failure, web.ConnectFailed):
                    return
                ends.append((version, 0, failure.detail()))

        async with trio.open_nursery() as calls:
            for _publisher in range(_PUBLISHERS):
                calls.start_soon(publish)
            await trio.sleep(0.5)
            exit_code = await _end_by_supervisor(system, _SERIES)
        assert exit_code == 0
        assert [end for end in ends if not end[1]] == []
        acknowledged = [
            version for version, status, _ in ends if status == 200
        ]
        assert len(acknowledged) > _PUBLISHERS
        system.start("control", running_system.CONTROL)
        document = await running_system.poll_until(
            200,
            running_system.CONTROL,
            running_system.CALL_PORT,
            b"GET",
            _CONFIG_TARGET,
        )
        assert json.loads(document)["version"] >= max(acknowledged)
