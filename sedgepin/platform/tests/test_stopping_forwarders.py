"""Tests of entry VMs that forward for others, and stop."""

import json
import signal

import trio

from sedgepin import _web as web
from sedgepin.platform.tests import running_system
from sedgepin.tests import loopback

_GRACE_SECONDS = 3.0
_FORWARDERS = {
    "first": loopback.address(71, 5),
    "second": loopback.address(71, 6),
}
_EVENT_SECONDS = 0.1
# They last twice the grace period.
_EVENTS = 60
_LONG_SECONDS = 6.0
_TIMEOUT_MILLISECONDS = 20_000
_STREAMS = 6
_POSTS = 6
_LATE_STREAMS = 3
_STARTING_SECONDS = 0.5
_ROUTES: list[dict[str, object]] = [
    {
        "host": "one.example",
        "pathPrefix": "/long/",
        "kind": "streaming",
        "timeoutMs": _TIMEOUT_MILLISECONDS,
        "service": "s",
        "public": True,
        "maxAttempts": 3,
        "resumable": True,
    },
    {
        "host": "one.example",
        "pathPrefix": "/once/",
        "kind": "non_idempotent",
        "timeoutMs": _TIMEOUT_MILLISECONDS,
        "service": "s",
        "public": True,
    },
]


class _LongEngine(running_system.Engine):
    """Streams ``_EVENTS`` events, and answers what runs once late."""

    def __init__(self) -> None:
        super().__init__()
        self.ran: list[bytes] = []

    async def handle(self, exchange: web.Exchange) -> None:
        request = exchange.request
        request_id = request.find_header(b"x-request-id") or b""
        self.ran.append(request_id)
        head = web.AnswerHead(
            200, ((b"X-Request-Id", request_id), (b"X-Response-Seal", b"s"))
        )
        if request.target.startswith(b"/once/"):
            await trio.sleep(_LONG_SECONDS)
        if not request.target.startswith(b"/long/"):
            await exchange.answer(head, b"done")
            return
        first = int(request.find_header(b"last-event-id") or b"0") + 1
        await exchange.start(head)
        for event_id in range(first, _EVENTS + 1):
            await exchange.send(b"id: %d\ndata: x\n\n" % event_id)
            await trio.sleep(_EVENT_SECONDS)
        await exchange.finish()


class _Answers:
    """The answers to requests by their ids, 0 and no body without one."""

    def __init__(self) -> None:
        self.by_id: dict[str, tuple[int, bytes]] = {}

    async def send(self, request_id: str, target: bytes) -> None:
        headers = (
            (b"Host", b"one.example"),
            (b"X-Request-Id", request_id.encode()),
            (b"X-Deadline-Ms", b"%d" % _TIMEOUT_MILLISECONDS),
        )
        request = web.Request(b"POST", target, headers, b"")
        address = f"{running_system.ENTRY}:{running_system.CALL_PORT}"
        seconds = _TIMEOUT_MILLISECONDS / 1000
        answered = await web.send_request(address, request, seconds)
        self.by_id[request_id] = (0, b"")
        if answered.is_ok():
            head, body = answered.unwrap()
            self.by_id[request_id] = (head.status, body)


def _whole_stream() -> bytes:
    return b"".join(
        b"id: %d\ndata: x\n\n" % event_id for event_id in range(1, _EVENTS + 1)
    )


def _logged(
    system: running_system.System, name: str, event: str
) -> list[dict[str, object]]:
    return [line for line in system.log_lines(name) if line["event"] == event]


async def _start(system: running_system.System, nursery: trio.Nursery) -> None:
    """Start three entry VMs, of which the first is then cut off."""
    system.grace_seconds = _GRACE_SECONDS
    engine = _LongEngine()
    await running_system.start_system(system, nursery, engine)
    for name, ip in _FORWARDERS.items():
        system.start("entry", ip, name)
    for ip in _FORWARDERS.values():
        await running_system.poll_until(
            200, ip, running_system.READY_PORT, b"GET", b"/ready"
        )
    await running_system.publish(_ROUTES)
    system.cut_links_marker("entry").touch()
    answers = _Answers()
    with trio.fail_after(running_system.TIMEOUT_SECONDS):
        while not any(
            line.get("forwarder")
            for line in _logged(system, "entry", "request_dispatched")
        ):
            await answers.send("warm", b"/post/x")
            await trio.sleep(_EVENT_SECONDS)


class TestForwarderThatStops:
    """A cut-off VM goes to another one, and its callers get answers."""

    async def test_streams_that_last_past_its_grace_period_are_whole(
        self, system: running_system.System
    ) -> None:
        answers = _Answers()
        async with trio.open_nursery() as nursery:
            await _start(system, nursery)
            async with trio.open_nursery() as callers:
                for number in range(_STREAMS):
                    callers.start_soon(answers.send, f"s{number}", b"/long/x")
                    callers.start_soon(answers.send, f"o{number}", b"/once/x")
                await trio.sleep(_STARTING_SECONDS)
                stopping = "first"
                system.processes[stopping].send_signal(signal.SIGTERM)
                await running_system.wait_for_log_event(
                    system, stopping, "process_draining"
                )
                for number in range(_LATE_STREAMS):
                    callers.start_soon(answers.send, f"l{number}", b"/long/x")
                with trio.fail_after(running_system.TIMEOUT_SECONDS):
                    while system.processes[stopping].poll() is None:
                        await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        streams = {
            request_id: answer
            for request_id, answer in answers.by_id.items()
            if request_id[0] in "sl"
        }
        assert len(streams) == _STREAMS + _LATE_STREAMS
        assert set(streams.values()) == {(200, _whole_stream())}
        # What may run once was sent before the signal, and outlasts the stop.
        cut_forwards = _logged(system, stopping, "forward_cut")
        cut = {str(line["request"]) for line in cut_forwards}
        opened = _logged(system, stopping, "forward_opened")
        # The first request has ended before, at whichever forwarder.
        assert cut == {str(line["request"]) for line in opened} - {"warm"}
        assert cut
        ended = _logged(system, stopping, "drain_ended")
        assert [line["cut_forwards"] for line in ended] == [len(cut)]
        for number in range(_POSTS):
            request_id = f"o{number}"
            status, body = answers.by_id[request_id]
            if request_id not in cut:
                assert (status, body) == (200, b"done")
                continue
            assert status == 502
            assert json.loads(body)["error"] == "outcome_unknown"
        assert not cut & {f"l{number}" for number in range(_LATE_STREAMS)}
