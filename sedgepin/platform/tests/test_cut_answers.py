"""Tests of what callers get if engines cut their answers short."""

import contextlib
import functools
import itertools
import socket
import struct

import trio

from sedgepin.platform.tests import running_system

_BODY = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
_HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
_LENGTH = b"Content-Length: %d\r\n\r\n" % len(_BODY)
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_CHUNKS = b"1e\r\n" + _BODY + b"\r\n"
_SOUND = _HEAD + _LENGTH + _BODY
_CUTS = {
    "nothing": b"",
    "in the status line": b"HTTP/1.1 20",
    "after the status line": b"HTTP/1.1 200 OK\r\n",
    "in a header's name": _HEAD + b"Conte",
    "in the length": _HEAD + b"Content-Length: 1",
    "in the coding": _HEAD + b"Transfer-Encoding: chun",
    "after a header": _HEAD,
    "in the blank line": _HEAD + _LENGTH[:-1],
    "in an HTTP/1.0 head": b"HTTP/1.0" + _HEAD[8:],
    "in a head with bare LF": (_HEAD + _LENGTH[:-2]).replace(b"\r", b""),
    "after an interim answer": b"HTTP/1.1 100 Continue\r\n\r\n",
    "in a failure": b"HTTP/1.1 500 No\r\n" + _LENGTH,
    "in a refusal": b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n",
    "before the body": _HEAD + _LENGTH,
    "before the chunks": _CHUNKED,
    "in a chunk's size": _CHUNKED + b"1",
    "after a chunk's size": _CHUNKED + b"1e\r\n",
}
# A stream has begun when one of these ends.
_LATER_CUTS = {
    "in the body": (_HEAD + _LENGTH + _BODY)[:-1],
    "in a chunk": _CHUNKED + _CHUNKS[:-5],
    "before the last chunk": _CHUNKED + _CHUNKS,
    "in the last chunk": _CHUNKED + _CHUNKS + b"0\r\n",
    "in the trailers": _CHUNKED + _CHUNKS + b"0\r\nX-One: 1\r\n",
}
_ENDS = ("closed", "half-closed", "reset")
_REPEATABLE: dict[str, object] = {
    "host": "one.example",
    "pathPrefix": "/get/",
    "kind": "idempotent",
    "timeoutMs": 4000,
    "targetLatencyMs": 2000,
    "service": "s",
    "public": True,
    "maxAttempts": 2,
}


class _Engine:
    """Sends ``answers`` to the requests of callers, one after the other.

    It serves at two addresses, as two engines.
    """

    def __init__(self) -> None:
        self.answers: list[tuple[bytes, str]] = []
        self.run_count = 0

    async def start(self, nursery: trio.Nursery) -> None:
        for host in (running_system.ENGINE, running_system.SECOND_ENGINE):
            serve = functools.partial(trio.serve_tcp, self._handle, host=host)
            await nursery.start(serve, running_system.ENGINE_PORT)

    async def _handle(self, stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            received = b""
            while b"\r\n\r\n" not in received:
                data = await stream.receive_some(65_536)
                if not data:
                    return
                received += data
            if received.split(b" ")[1].startswith(b"/v1/"):
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                )
                return
            self.run_count += 1
            answer, end = self.answers.pop(0)
            await stream.send_all(answer)
            if end == "reset":
                linger = struct.pack("ii", 1, 0)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            if end == "half-closed":
                await stream.send_eof()
                await stream.receive_some(1)


class _Callers:
    """Sends requests, each with its own id and path."""

    def __init__(self, engine: _Engine) -> None:
        self._engine = engine
        self._count = 0

    async def call(
        self, prefix: str, version: str, *answers: tuple[bytes, str]
    ) -> tuple[int, bytes, bool]:
        """Return status, body and whether the answer is complete."""
        self._count += 1
        self._engine.run_count = 0
        self._engine.answers = [*answers]
        stream = await trio.open_tcp_stream(
            running_system.ENTRY, running_system.CALL_PORT
        )
        await stream.send_all(
            f"POST {prefix}{self._count} HTTP/{version}\r\n"
            "Host: one.example\r\n"
            f"X-Request-Id: cut{self._count}\r\nX-Deadline-Ms: 3000\r\n"
            "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
        )
        received = b""
        is_complete = True
        with trio.fail_after(10):
            try:
                while data := await stream.receive_some(65_536):
                    received += data
            except trio.BrokenResourceError:
                is_complete = False
        head, _, body = received.partition(b"\r\n\r\n")
        if b"\r\ntransfer-encoding: chunked" in head.lower():
            is_complete = is_complete and body.endswith(b"0\r\n\r\n")
            body = b"".join(body.split(b"\r\n")[1::2])
        return int(head.split(b" ")[1]), body, is_complete


async def _start(
    system: running_system.System, nursery: trio.Nursery
) -> tuple[_Engine, _Callers]:
    engine = _Engine()
    await engine.start(nursery)
    # Each case takes a retry.
    system.min_retries = 1000
    await running_system.start_daemons(system, nursery)
    second = running_system.check_in(running_system.SECOND_ENGINE)
    nursery.start_soon(running_system.renew_registration, second, b"j")
    await running_system.publish([_REPEATABLE])
    return engine, _Callers(engine)


class TestAnswerThatIsCutShort:
    """Callers get no success that the engine didn't finish (issue 43)."""

    async def test_request_that_may_not_be_repeated_runs_once(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        engine, callers = await _start(system, nursery)
        wrong: dict[str, object] = {}
        for name, answer in {**_CUTS, **_LATER_CUTS}.items():
            for end, version in itertools.product(_ENDS, ("1.0", "1.1")):
                status, _body, _is_complete = await callers.call(
                    "/post/", version, (answer, end), (_SOUND, "closed")
                )
                if (status, engine.run_count) != (502, 1):
                    wrong[f"{name}, {end}"] = (status, engine.run_count)
        assert wrong == {}
        nursery.cancel_scope.cancel()

    async def test_request_that_may_be_repeated_is_or_fails(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        engine, callers = await _start(system, nursery)
        wrong: dict[str, object] = {}
        cases = zip(
            (
                (prefix, name, answer)
                for prefix in ("/get/", "/draft/")
                for name, answer in _CUTS.items()
            ),
            itertools.cycle(itertools.product(_ENDS, ("1.0", "1.1"))),
        )
        for (prefix, name, answer), (end, version) in cases:
            case = f"{prefix}, {name}, {end}"
            cut = (answer, end)
            outcome: tuple[object, ...] = await callers.call(
                prefix, version, cut, (_SOUND, "closed")
            )
            if (*outcome, engine.run_count) != (200, _BODY, True, 2):
                wrong[case] = (*outcome, engine.run_count)
            status, _body, _is_complete = await callers.call(
                prefix, version, cut, cut, (_SOUND, "closed")
            )
            if (status, engine.run_count) != (502, 2):
                wrong[f"{case} twice"] = (status, engine.run_count)
        assert wrong == {}
        nursery.cancel_scope.cancel()

    async def test_stream_that_has_begun_has_no_end(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        engine, callers = await _start(system, nursery)
        wrong: dict[str, object] = {}
        for name, answer in _LATER_CUTS.items():
            for version in ("1.0", "1.1"):
                outcome = await callers.call(
                    "/draft/",
                    version,
                    (answer, "closed"),
                    (_CUTS["nothing"], "closed"),
                )
                status, body, is_complete = outcome
                if status != 200 or is_complete or not _BODY.startswith(body):
                    wrong[f"{name}, {version}"] = outcome
        assert wrong == {}
        nursery.cancel_scope.cancel()
