"""Tests of the HTTP surface of an entry VM with any input."""

import typing

import hypothesis
from hypothesis import strategies
import msgspec
import trio

from sedgepin._entry import _callers
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin import errors
from sedgepin import settings
from sedgepin.tests import processes

_BODY_LIMIT_BYTES = 500
_BEARER = b"Bearer " + processes.CALLER_CREDENTIAL.encode()
_PATHS = [
    "/",
    "/healthz",
    "/v1/completions",
    "/v1/services/a/completions",
    "/v1/services/a/call/x",
    "/v1/endpoints/announcements",
    "/v1/endpoints/schema",
    "/v1/services//",
]


class _Outside:
    """A caller that sends one request and keeps the answer."""

    def __init__(self, chunks: list[bytes], leaves: bool) -> None:
        self._chunks = chunks
        self._leaves = leaves
        self.sent: list[typing.Any] = []

    async def receive(self) -> typing.Any:
        if self._chunks:
            body = self._chunks.pop(0)
            more = bool(self._chunks) or self._leaves
            return {"type": "http.request", "body": body, "more_body": more}
        if not self._leaves:
            await trio.sleep_forever()
        return {"type": "http.disconnect"}

    async def send(self, message: typing.Any) -> None:
        self.sent.append(message)


class _Surface:
    """A server over a reducer that refuses everything."""

    def __init__(self) -> None:
        cfg = settings.EntrySettings(
            id="e",
            data_centre="d",
            peer_listen="127.0.0.1:1",
            caller_listen="127.0.0.1:2",
            controls=(),
            customers=(
                settings.Customer(
                    id="c",
                    credential_sha256=processes.digest_of(
                        processes.CALLER_CREDENTIAL
                    ),
                ),
            ),
            limits=settings.Limits(body_bytes=_BODY_LIMIT_BYTES),
        )
        self.submitted: list[_events.EntryEvent] = []
        self.server = _callers.EntryServer(
            cfg, self._submit, lambda: True, lambda: {}
        )

    def _submit(self, event: _events.EntryEvent) -> None:
        self.submitted.append(event)
        failure = errors.Failure()
        if isinstance(event, _events.AnnouncementArrived):
            self.server.reply_announcement(
                _effects.RefuseAnnouncement(event.exchange_id, failure)
            )
        elif isinstance(
            event, _events.GenerateRequested | _events.ServiceCallRequested
        ):
            self.server.carry_out(
                _effects.RefuseCaller(event.request.request_id, failure)
            )

    def ask(self, scope: dict[str, typing.Any], outside: _Outside) -> None:
        async def run() -> None:
            with trio.fail_after(5):
                await self.server._app(scope, outside.receive, outside.send)

        trio.run(run)


def _scope(
    method: str, path: str, headers: list[tuple[bytes, bytes]]
) -> dict[str, typing.Any]:
    return {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": b"",
        "headers": headers,
    }


class TestSurface:
    """Any request gets a typed answer, and memory stays bounded."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        method=strategies.sampled_from(["GET", "POST", "PUT", "X"]),
        path=strategies.sampled_from(_PATHS) | strategies.text(max_size=20),
        chunks=strategies.lists(strategies.binary(max_size=200), min_size=1),
        header=strategies.tuples(
            strategies.sampled_from(
                [b"content-length", b"idempotency-key", b"x"]
            ),
            strategies.binary(max_size=20),
        ),
        known=strategies.booleans(),
        leaves=strategies.booleans(),
    )
    def test_any_request_gets_a_typed_answer(
        self,
        method: str,
        path: str,
        chunks: list[bytes],
        header: tuple[bytes, bytes],
        known: bool,
        leaves: bool,
    ) -> None:
        surface = _Surface()
        outside = _Outside(list(chunks), leaves)
        headers = [header]
        if known:
            headers.append((b"authorization", _BEARER))
        surface.ask(_scope(method, path, headers), outside)
        if not outside.sent:
            assert leaves
            return
        status = outside.sent[0]["status"]
        body = b"".join(part.get("body", b"") for part in outside.sent[1:])
        document = msgspec.json.decode(body)
        if status >= 400 and path != "/readyz":
            assert document["code"]
            assert document["outcome"] in {"not_run", "ran", "unknown"}
        if sum(map(len, chunks)) > _BODY_LIMIT_BYTES:
            assert not any(
                isinstance(event, _events.ServiceCallRequested)
                for event in surface.submitted
            )

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_announcement_is_taken_or_refused(self, raw: bytes) -> None:
        surface = _Surface()
        outside = _Outside([raw], False)
        path = "/v1/endpoints/announcements"
        surface.ask(_scope("POST", path, []), outside)
        assert outside.sent[0]["status"] in {422, 500}
        assert not surface.submitted or outside.sent[0]["status"] == 500

    def test_headers_over_the_limit_are_refused_by_type(self) -> None:
        surface = _Surface()
        outside = _Outside([b""], False)
        headers = [(b"x", b"y" * 16_400), (b"authorization", _BEARER)]
        surface.ask(_scope("GET", "/healthz", headers), outside)
        assert outside.sent[0]["status"] == 431
        assert b"headers_too_large" in outside.sent[1]["body"]
