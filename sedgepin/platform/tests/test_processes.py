"""Tests of the daemons as processes, with an emulated engine."""

import functools
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import typing

import pytest
import trio

from sedgepin import _web as web
from sedgepin import errors

_CONTROL = "127.0.71.1"
_ENTRY = "127.0.71.2"
_ENGINE = "127.0.71.3"
_PEER_PORT = 27340
_CALL_PORT = 28229
_READY_PORT = 28220
_METRICS_PORT = 29464
_ENGINE_PORT = 28080
_TIMEOUT_SECONDS = 15.0

_CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "host": "one.example",
            "pathPrefix": "/post/",
            "kind": "non_idempotent",
            "timeoutMs": 4000,
            "service": "s",
            "public": True,
        },
        {
            "host": "one.example",
            "pathPrefix": "/draft/",
            "kind": "streaming",
            "timeoutMs": 4000,
            "service": "s",
            "public": True,
            "maxAttempts": 2,
            "resumable": True,
        },
    ],
    "services": [{"name": "s"}],
}

_MODEL_CONFIGURATION = {
    "services": [
        {"name": "s"},
        {
            "name": "m",
            "engine": {
                "slots": 8,
                "step_ms": 1.0,
                "per_seq_ms": 0.01,
                "context_per_k": 0.01,
                "read_per_s": 1000.0,
                "kvTokenBytes": 1000,
                "kinds": [
                    {"name": "card", "mb": 100, "pace": 1.0, "readX": 1.0}
                ],
                "layers": 4,
                "layerMb": 1.0,
            },
        },
    ],
}


def _settings(folder: pathlib.Path, ip: str) -> str:
    return f"""
nodeName = "{ip}"
ip = "{ip}"
zone = "one"
internalPorts = [{_PEER_PORT}, {_PEER_PORT + 15}]
seeds = ["{_CONTROL}:{_CALL_PORT}"]
bootstrap = true
dataDir = "{folder / "data"}"
heartbeatMs = 1200
[listen]
control = "{ip}:{_CALL_PORT}"
front = "{ip}:{_CALL_PORT}"
ready = "{ip}:{_READY_PORT}"
[bounds]
graceS = 6
retryBudgetRatio = 0.2
budgetMinRetries = 100
"""


class _Engine(web.Handler):
    """Answers requests, and breaks off each stream once, inside event 4."""

    def __init__(self) -> None:
        self.runs: list[tuple[bytes, bytes | None]] = []

    async def handle(self, exchange: web.Exchange) -> None:
        request = exchange.request
        resume_after = request.find_header(b"last-event-id")
        self.runs.append((request.target, resume_after))
        headers = (
            (b"X-Request-Id", request.find_header(b"x-request-id") or b""),
            (b"X-Response-Seal", b"seal"),
        )
        if not request.target.startswith(b"/draft/"):
            await exchange.answer(web.AnswerHead(200, headers), b"done")
            return
        first = int(resume_after or b"0") + 1
        await exchange.start(web.AnswerHead(200, headers))
        for event_id in range(first, 7):
            if event_id == 4 and resume_after is None:
                await exchange.send(b"id: 4\ndata: half")
                return
            await exchange.send(b"id: %d\ndata: x\n\n" % event_id)
        await exchange.finish()

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        return web.AnswerHead(failure.http_status), b""

    def limits(self) -> web.ServerLimits:
        return web.ServerLimits(16_384, 65_536, 3.0, 15.0)


class _System:
    """Runs the daemons as processes and reads their logs."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = folder

    def start(self, role: str, ip: str) -> None:
        folder = self.folder(role)
        folder.mkdir(exist_ok=True)
        path = folder / "settings.toml"
        path.write_text(_settings(folder, ip))
        self.processes[role] = subprocess.Popen(
            [sys.executable, "-m", "sedgepin.platform", role]
            + [str(_METRICS_PORT)],
            env={**os.environ, "SEDGEPIN_NODE_FILE": str(path)},
            stdout=(folder / "log").open("wb"),
        )

    def folder(self, role: str) -> pathlib.Path:
        return self._folder / role

    def log_text(self, role: str) -> str:
        return (self.folder(role) / "log").read_text()

    def log_lines(self, role: str) -> list[dict[str, typing.Any]]:
        text = (self._folder / role / "log").read_text()
        return [json.loads(line) for line in text.splitlines()]

    def stop(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()


async def _send(
    ip: str, port: int, method: bytes, target: bytes, body: object = None
) -> tuple[int, bytes]:
    """Return the answer's status and body, or status 0 without an answer."""
    headers = (
        (b"Host", b"one.example"),
        (b"X-Request-Id", b"r%d" % trio.current_time()),
        (b"X-Deadline-Ms", b"4000"),
    )
    encoded = b"" if body is None else json.dumps(body).encode()
    request = web.Request(method, target, headers, encoded)
    response = await web.send_request(f"{ip}:{port}", request, 4.0)
    if response.is_err():
        return 0, b""
    head, answer = response.unwrap()
    return head.status, answer


async def _poll_until(
    status: int,
    ip: str,
    port: int,
    method: bytes,
    target: bytes,
    **body: object,
) -> bytes:
    """Repeat a request until its answer has ``status``; return the body."""
    with trio.fail_after(_TIMEOUT_SECONDS):
        while True:
            answer_status, answer = await _send(
                ip, port, method, target, **body
            )
            if answer_status == status:
                return answer
            await trio.sleep(0.1)


@pytest.fixture
def system(tmp_path: pathlib.Path) -> typing.Iterator[_System]:
    daemons = _System(tmp_path)
    yield daemons
    daemons.stop()


async def _renew_registration(
    body: dict[str, object], endpoint_id: bytes = b"i"
) -> None:
    """Send a check-in every 0.5 seconds, as an engine does."""
    for sequence in itertools.count(1):
        await _send(
            _CONTROL,
            _CALL_PORT,
            b"PUT",
            b"/v1/instances/" + endpoint_id,
            {**body, "sequence": sequence},
        )
        await trio.sleep(0.5)


async def _start_system(system: _System, nursery: trio.Nursery) -> _Engine:
    engine = _Engine()
    address = f"{_ENGINE}:{_ENGINE_PORT}"
    await nursery.start(web.Server(engine).serve, address)
    system.start("control", _CONTROL)
    system.start("entry", _ENTRY)
    await _poll_until(
        200, _CONTROL, _CALL_PORT, b"PUT", b"/v1/config", body=_CONFIGURATION
    )
    check_in = {
        "service": "s",
        "address": address,
        "zone": "one",
        "state": "ready",
        "born": 1,
    }
    nursery.start_soon(_renew_registration, check_in)
    await _poll_until(200, _ENTRY, _READY_PORT, b"GET", b"/ready")
    return engine


class TestProcesses:
    async def test_system_serves_resumes_reloads_and_drains(
        self, system: _System, nursery: trio.Nursery
    ) -> None:
        engine = await _start_system(system, nursery)
        answer = await _poll_until(
            200, _ENTRY, _CALL_PORT, b"POST", b"/post/x"
        )
        assert answer == b"done"
        stream = await _poll_until(
            200, _ENTRY, _CALL_PORT, b"POST", b"/draft/x"
        )
        expected = b"".join(
            b"id: %d\ndata: x\n\n" % event_id for event_id in range(1, 7)
        )
        assert stream == expected
        assert (b"/draft/x", b"3") in engine.runs
        configuration = await _poll_until(
            200, _CONTROL, _CALL_PORT, b"GET", b"/v1/config"
        )
        assert json.loads(configuration) == _CONFIGURATION
        entry = system.processes["entry"]
        entry.send_signal(signal.SIGHUP)
        with trio.fail_after(_TIMEOUT_SECONDS):
            while "settings_reloaded" not in str(system.log_lines("entry")):
                await trio.sleep(0.1)
        metrics = await _poll_until(
            200, _ENTRY, _METRICS_PORT, b"GET", b"/metrics"
        )
        assert b'sedgepin_events_total{event="request_answered"} 2' in metrics
        assert b'sedgepin_duration_seconds_bucket{le="1.0"' in metrics
        entry.send_signal(signal.SIGTERM)
        await _poll_until(503, _ENTRY, _READY_PORT, b"GET", b"/ready")
        request = web.Request(
            b"POST",
            b"/post/x",
            ((b"Host", b"one.example"), (b"X-Request-Id", b"last")),
        )
        response = await web.send_request(
            f"{_ENTRY}:{_CALL_PORT}", request, 4.0
        )
        head, _ = response.unwrap()
        assert (head.status, head.find_header(b"connection")) == (
            200,
            b"close",
        )
        with trio.fail_after(_TIMEOUT_SECONDS):
            while entry.poll() is None:
                await trio.sleep(0.1)
        assert entry.returncode == 0
        log_events = [line["event"] for line in system.log_lines("entry")]
        assert log_events[0] == "process_started"
        assert log_events[-1] == "process_stopped"


async def _wait_for_log_event(system: _System, role: str, event: str) -> None:
    with trio.fail_after(_TIMEOUT_SECONDS):
        while f'"event":"{event}"' not in system.log_text(role):
            await trio.sleep(0.1)


class TestLogEvents:
    """Each test provokes a fault and waits for the event in the log."""

    async def test_malformed_request_and_configuration_are_logged(
        self, system: _System, nursery: trio.Nursery
    ) -> None:
        await _start_system(system, nursery)
        stream = await trio.open_tcp_stream(_ENTRY, _CALL_PORT)
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await _wait_for_log_event(system, "entry", "request_unreadable")
        await _send(_CONTROL, _CALL_PORT, b"PUT", b"/v1/config", {})
        await _wait_for_log_event(system, "control", "control_call_refused")
        nursery.cancel_scope.cancel()

    async def test_failed_order_and_missing_report_are_logged(
        self, system: _System, nursery: trio.Nursery
    ) -> None:
        """One engine closes the connection on an order; one is unreachable."""

        async def engine(stream: trio.SocketStream) -> None:
            request = await stream.receive_some(65_536)
            if request.startswith(b"GET"):
                report = b'{"born": 1, "sequence": 0}'
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                await stream.send_all(head % len(report) + report)

        await _start_system(system, nursery)
        port = _ENGINE_PORT + 1
        serve = functools.partial(trio.serve_tcp, engine, port, host=_ENGINE)
        await nursery.start(serve)
        configuration = {
            **_MODEL_CONFIGURATION,
            "version": 2,
            "routes": _CONFIGURATION["routes"],
        }
        await _poll_until(
            200,
            _CONTROL,
            _CALL_PORT,
            b"PUT",
            b"/v1/config",
            body=configuration,
        )
        check_in = {
            "service": "m",
            "address": f"{_ENGINE}:{port}",
            "zone": "one",
            "state": "ready",
            "born": 1,
            "kind": "card",
        }
        nursery.start_soon(_renew_registration, check_in, b"m1")
        await _wait_for_log_event(system, "control", "order_failed")
        unreachable = {**check_in, "address": f"{_ENGINE}:{port + 1}"}
        nursery.start_soon(_renew_registration, unreachable, b"m2")
        await _wait_for_log_event(system, "control", "endpoint_suspected")
        nursery.cancel_scope.cancel()

    async def test_invalid_settings_are_refused_and_old_ones_kept(
        self, system: _System, nursery: trio.Nursery
    ) -> None:
        await _start_system(system, nursery)
        path = system.folder("entry") / "settings.toml"
        path.write_text("heartbeatMs = -1")
        system.processes["entry"].send_signal(signal.SIGHUP)
        await _wait_for_log_event(system, "entry", "settings_refused")
        await _poll_until(200, _ENTRY, _CALL_PORT, b"POST", b"/post/x")
        nursery.cancel_scope.cancel()

    async def test_damaged_raft_log_stops_control_vm(
        self, system: _System
    ) -> None:
        data = system.folder("control") / "data"
        data.mkdir(parents=True)
        (data / "log").write_bytes(b"damaged" * 100)
        system.start("control", _CONTROL)
        await _wait_for_log_event(system, "control", "log_refused")
        with trio.fail_after(_TIMEOUT_SECONDS):
            while system.processes["control"].poll() is None:
                await trio.sleep(0.1)
        assert system.processes["control"].returncode == 4


class TestImports:
    """Each VM starts its role's package only; a restart costs callers."""

    @pytest.mark.parametrize(
        ("role", "other"),
        [("entry", "sedgepin._registrar"), ("control", "sedgepin._gateway")],
    )
    def test_role_does_not_import_the_other_role(
        self, role: str, other: str
    ) -> None:
        package = {"entry": "_gateway", "control": "_registrar"}[role]
        dialect = {"entry": "_gateway", "control": "_control"}[role]
        script = (
            "import sys\n"
            "import sedgepin.platform.__main__\n"
            f"import sedgepin.{package}\n"
            f"import sedgepin.platform.{dialect}\n"
            f"print({other!r} in sys.modules,"
            " 'prometheus_client' in sys.modules)"
        )
        output = subprocess.run(
            [sys.executable, "-c", script],
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        assert output.split() == ["False", "False"]
