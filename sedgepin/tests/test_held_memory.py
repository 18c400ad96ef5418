"""Tests of the memory of real processes beside senders without end."""

import collections.abc
import contextlib
import functools
import itertools
import pathlib
import typing

import pytest
import trio

from sedgepin.tests import processes

_MEGABYTE = 1_000_000
_HELD_BYTES = 20 * _MEGABYTE
# The limit, the tasks and buffers of the senders' connections, and what the
# allocator keeps.
_GROWTH_BYTES = 2 * _HELD_BYTES + 40 * _MEGABYTE
_VM_BYTES = 200 * _MEGABYTE
_SOUND_REQUESTS = 25
_SOUND_PAUSE_SECONDS = 0.15
_SOUND_SECONDS = 10.0
_SENDERS = 40
# Before a sender whose connection was closed connects again.
_RECONNECT_SECONDS = 1.0
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _head(
    path: bytes, credential: str, body_bytes: int, method: bytes = b"POST"
) -> bytes:
    return (
        b"%s %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n"
        b"Content-Length: %d\r\n\r\n"
        % (method, path, credential.encode(), body_bytes)
    )


async def _send_again(address: str, first: bytes, unit: bytes) -> None:
    """Send ``first`` and then ``unit``, once or without end, and again.

    Each connection is kept until the process closes it.
    """
    host, _, port = address.rpartition(":")
    while True:
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream, trio.open_nursery() as nursery:
                nursery.start_soon(_send, stream, first, unit)
                while await stream.receive_some(65_536):
                    pass
                nursery.cancel_scope.cancel()
        await trio.sleep(_RECONNECT_SECONDS)


async def _send(stream: trio.SocketStream, first: bytes, unit: bytes) -> None:
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(first)
        for _ in itertools.count():
            if not unit:
                return
            await stream.send_all(unit)


async def _stall(stream: trio.SocketStream) -> None:
    """Answer with a megabyte of a chunk, and then nothing."""
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.receive_some(65_536)
        chunk = b"%x\r\n" % (2 * _MEGABYTE) + bytes(_MEGABYTE)
        await stream.send_all(_CHUNKED + chunk)
        while await stream.receive_some(65_536):
            pass


async def _count_served(
    send: collections.abc.Callable[[], processes.Answer],
) -> int:
    """Return how many sound requests were served."""
    served = 0

    async def request() -> None:
        nonlocal served
        with trio.move_on_after(_SOUND_SECONDS):
            with contextlib.suppress(*processes.CONNECTION_ERRORS):
                answer = await trio.to_thread.run_sync(
                    send, abandon_on_cancel=True
                )
                served += answer.status == 200

    async with trio.open_nursery() as nursery:
        for _ in range(_SOUND_REQUESTS):
            nursery.start_soon(request)
            await trio.sleep(_SOUND_PAUSE_SECONDS)
    return served


async def _check(
    system: processes.Processes,
    name: str,
    send: collections.abc.Callable[[], processes.Answer],
    senders: list[tuple[bytes, bytes]],
) -> None:
    """Check the memory of a process and its sound requests."""
    before = await _count_served(send)
    start_bytes = system.peak_resident_bytes(name)
    async with trio.open_nursery() as nursery:
        for first, unit in senders:
            for _ in range(_SENDERS):
                nursery.start_soon(
                    _send_again, system.address(name), first, unit
                )
        served = await _count_served(send)
        nursery.cancel_scope.cancel()
    peak_bytes = system.peak_resident_bytes(name)
    print(
        f"{name}: {start_bytes / 1e6:.0f} to {peak_bytes / 1e6:.0f} MB,"
        f" {served} of {before} served"
    )
    assert system.running[name].poll() is None
    assert peak_bytes - start_bytes < _GROWTH_BYTES
    assert peak_bytes < _VM_BYTES
    assert served >= 0.95 * before
    assert before >= 0.95 * _SOUND_REQUESTS
    assert "holder_ended" in system.read_log(name)


@pytest.fixture
async def stalled_port(nursery: trio.Nursery) -> int:
    """Serve a service that sends a megabyte and then nothing."""
    serve = functools.partial(
        trio.serve_tcp, _stall, 0, host="127.0.0.1", backlog=512
    )
    listeners: list[typing.Any] = await nursery.start(serve)
    return int(listeners[0].socket.getsockname()[1])


class TestEndlessSenders:
    """Everything was bounded one by one, and a VM has 200 MB for all."""

    async def test_entry_and_control_stay_within_the_bound(
        self,
        nursery: trio.Nursery,
        stalled_port: int,
        tmp_path: pathlib.Path,
    ) -> None:
        system = processes.Processes(
            tmp_path,
            controls=1,
            entries=1,
            replicas=1,
            held_bytes=_HELD_BYTES,
        )
        system.announced_ports["ledger"] = stalled_port

        def publish() -> None:
            system.publish(processes.first_note())

        def get_ready() -> None:
            processes.wait_until(
                lambda: (
                    system.send_request(
                        "control-1",
                        "GET",
                        "/v1/status",
                        credential=processes.OPERATOR_CREDENTIAL,
                    ).status
                    == 200
                ),
                "the leader holds its lease",
            )
            publish()
            system.wait_ready()
            system.wait_serving()

        with system:
            await trio.to_thread.run_sync(get_ready)
            await _check(
                system,
                "entry-1",
                functools.partial(system.complete, "entry-1", "tare", 5),
                _entry_senders(),
            )
            await _check(
                system,
                "control-1",
                functools.partial(
                    system.send_request,
                    "control-1",
                    "GET",
                    "/v1/status",
                    credential=processes.OPERATOR_CREDENTIAL,
                ),
                _control_senders(),
            )
        nursery.cancel_scope.cancel()


def _entry_senders() -> list[tuple[bytes, bytes]]:
    """Return what callers send first, and what they send without end."""
    credential = processes.CALLER_CREDENTIAL
    completions = b"/v1/services/assistant/completions"
    # The service stops within its answer.
    call = b"/v1/services/ledger/call/stalled"
    return [
        # Bodies that stop before their end.
        (_head(completions, credential, 1_000_000) + bytes(900_000), b""),
        # Large requests.
        (_head(call, credential, 900_000, b"GET") + bytes(900_000), b""),
        # Bytes without end while a request is answered.
        (_head(call, credential, 0, b"GET"), bytes(65_536)),
        # Heads that stop before their end.
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 60_000, b""),
    ]


def _control_senders() -> list[tuple[bytes, bytes]]:
    credential = processes.OPERATOR_CREDENTIAL
    status = _head(b"/v1/status", credential, 0, b"GET")
    return [
        (_head(b"/v1/notes", credential, 1_000_000) + bytes(900_000), b""),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 60_000, b""),
        (status, bytes(65_536)),
    ]
