"""The HTTP server of an entry VM, for callers and endpoints."""

import collections.abc
import contextlib
import dataclasses
import hashlib
import hmac
import itertools
import string
import sys
import typing
import urllib.parse

import msgspec
import result
import trio

from sedgepin._entry import _completions
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _exchange
from sedgepin._entry import _refusals
from sedgepin import _http as http
from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin import _service_levels as service_levels
from sedgepin import documents
from sedgepin import errors
from sedgepin import settings

_MAX_ANNOUNCEMENT_BYTES = 262_144
_DEFAULT_PRIORITY = 1
_ROOT_PATH = "/"
Submit: typing.TypeAlias = collections.abc.Callable[[_events.EntryEvent], None]


@dataclasses.dataclass(slots=True, frozen=True)
class AnnouncementReply:
    """The response body to an endpoint's accepted announcement."""

    echo: str
    announce_again_after_seconds: float


class EntryServer(http.HttpServer):
    """Turns HTTP requests into events, and effects into HTTP responses."""

    __slots__ = (
        "_announcements",
        "_cfg",
        "_customers",
        "_exchange_ids",
        "_exchanges",
        "_is_ready",
        "_operator_digests",
        "_service_levels",
        "_status",
        "_submit",
        "_unread",
    )

    def __init__(
        self,
        cfg: settings.EntrySettings,
        submit: Submit,
        is_ready: collections.abc.Callable[[], bool],
        status: collections.abc.Callable[[], object],
        levels: collections.abc.Callable[[], object],
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        super().__init__(budget)
        self._cfg = cfg
        self._submit = submit
        self._is_ready = is_ready
        self._status = status
        self._service_levels = levels
        self._operator_digests = frozenset(
            operator.credential_sha256 for operator in cfg.operators
        )
        self._exchanges: dict[model.RequestId, _exchange.Exchange] = {}
        self._exchange_ids = itertools.count(1)
        # Of callers' requests that have begun, until they are there.
        self._unread: set[trio.CancelScope] = set()
        self._announcements: dict[
            int,
            trio.MemorySendChannel[
                _effects.ReplyAnnouncement | _effects.RefuseAnnouncement
            ],
        ] = {}
        self._customers = {
            customer.credential_sha256: model.CustomerId(customer.id)
            for customer in cfg.customers
        }

    @property
    def unanswered_requests(self) -> int:
        """Return how many requests were read and have no whole answer yet."""
        return len(self._exchanges)

    @property
    def owes_answers(self) -> bool:
        """Return whether callers' requests were not answered yet."""
        return bool(self._exchanges or self._unread)

    @property
    def unread_requests(self) -> int:
        """Return how many requests have begun and not been read whole."""
        return max(0, self.open_requests - self.unanswered_requests)

    def refuse_unread_requests(self) -> None:
        """Tell callers whose requests are not there that they have not run.

        To be called shortly before the end of the process.
        """
        for scope in tuple(self._unread):
            scope.cancel()

    def apply_effect(self, effect: _exchange.CallerEffect) -> None:
        """Pass an effect to its caller, unless the caller disconnected."""
        exchange = self._exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.put(effect)

    def reply_announcement(
        self,
        effect: _effects.ReplyAnnouncement | _effects.RefuseAnnouncement,
    ) -> None:
        """Pass the reducer's reply to the endpoint's announcement."""
        channel = self._announcements.pop(effect.exchange_id, None)
        if channel is not None:
            channel.send_nowait(effect)

    async def answer(self, request: http.Request) -> None:
        """Handle one HTTP request and send its complete response."""
        parts = request.path.strip("/").split("/")
        if parts == ["healthz"]:
            await http.send_document(request, {"alive": True})
        elif parts == ["readyz"]:
            await self._answer_readiness(request)
        elif parts == ["v1", "status"]:
            await http.send_document(request, self._status())
        elif request.path == service_levels.REPORT_PATH:
            await self._answer_service_levels(request)
        elif parts[:2] == ["v1", "endpoints"]:
            await self._answer_endpoint(request, parts[2:])
        elif parts[:2] == ["v1", "services"] and len(parts) >= 4:
            await self._answer_caller(request, parts[2], parts[3:])
        elif parts == ["v1", "completions"]:
            await self._answer_caller(request, None, ["completions"])
        else:
            await http.send_problem(request, http.NotFound())

    async def _answer_readiness(self, request: http.Request) -> None:
        ready = self._is_ready()
        status = 200 if ready else 503
        await http.send_document(request, {"ready": ready}, status)

    async def _answer_service_levels(self, request: http.Request) -> None:
        """Answer an operator; callers must not learn of each other."""
        if (http.bearer_digest(request) or "") not in self._operator_digests:
            await http.send_problem(request, http.CredentialRefused())
            return
        await http.send_document(request, self._service_levels())

    async def _answer_endpoint(
        self, request: http.Request, parts: list[str]
    ) -> None:
        if parts == ["schema"] and request.method == "GET":
            schema = msgspec.json.schema(model.Announcement)
            await http.send_document(request, schema)
            return
        if parts != ["announcements"] or request.method != "POST":
            await http.send_problem(request, http.NotFound())
            return
        expected = self._cfg.endpoint_credential_sha256
        digest = http.bearer_digest(request) or ""
        if expected is not None and not hmac.compare_digest(expected, digest):
            await http.send_problem(request, http.CredentialRefused())
            return
        body = await http.read_body(
            request, _MAX_ANNOUNCEMENT_BYTES, request.host
        )
        if isinstance(body, result.Err):
            await _send_unless_disconnected(request, body.err_value)
            return
        decoded = documents.decode_message(
            body.ok_value, model.Announcement, "announcement"
        )
        if isinstance(decoded, result.Err):
            await http.send_problem(request, decoded.err_value)
            return
        faults = model.validate_announcement(decoded.ok_value)
        if faults:
            refused = errors.DocumentRefused("announcement", faults)
            await http.send_problem(request, refused)
            return
        await self._handle_announcement(request, decoded.ok_value)

    async def _handle_announcement(
        self, request: http.Request, announcement: model.Announcement
    ) -> None:
        exchange_id = next(self._exchange_ids)
        sender, receiver = trio.open_memory_channel[
            _effects.ReplyAnnouncement | _effects.RefuseAnnouncement
        ](1)
        self._announcements[exchange_id] = sender
        self._submit(_events.AnnouncementReceived(exchange_id, announcement))
        effect = await receiver.receive()
        if isinstance(effect, _effects.RefuseAnnouncement):
            await http.send_problem(request, effect.failure)
            return
        seconds = effect.next_announcement_delay.total_seconds()
        await http.send_document(
            request, AnnouncementReply(effect.echo, seconds)
        )

    async def _answer_caller(
        self, request: http.Request, service: str | None, parts: list[str]
    ) -> None:
        digest = http.bearer_digest(request)
        customer = self._customers.get(digest or "")
        if customer is None:
            await http.send_problem(request, http.CredentialRefused())
            return
        body = await self._read_body(request, customer)
        if body is None:
            return
        if parts == ["completions"] and request.method == "POST":
            await self._handle_completion(request, service, customer, body)
        elif parts[0] == "call" and service is not None:
            await self._handle_service_call(request, service, customer, body)
        else:
            await http.send_problem(request, http.NotFound())

    async def _read_body(
        self, request: http.Request, customer: model.CustomerId
    ) -> bytes | None:
        """Return the body; ``None`` for a request that was refused instead."""
        scope = trio.CancelScope()
        self._unread.add(scope)
        try:
            failure = _refusals.at_end_of_grace(may_have_run=False)
            with scope:
                body = await http.read_body(
                    request, self._cfg.limits.body_bytes, customer
                )
                if isinstance(body, result.Ok):
                    return body.ok_value
                failure = body.err_value
            await _send_unless_disconnected(request, failure)
            return None
        finally:
            self._unread.remove(scope)

    async def _handle_completion(
        self,
        request: http.Request,
        service: str | None,
        customer: model.CustomerId,
        raw: bytes,
    ) -> None:
        try:
            body = msgspec.json.decode(raw, type=_completions.CompletionBody)
        except (msgspec.DecodeError, RecursionError) as exc:
            problem = http.RequestNotUnderstood(str(exc))
            await http.send_problem(request, problem)
            return
        generation = _completions.generate_request(
            self._cfg.limits, service, customer, raw, body
        )
        event = _events.GenerateRequested(generation)
        send_answer = (
            _completions.stream_answer
            if body.stream
            else _completions.send_whole_answer
        )
        exchange = _exchange.Exchange(
            request.holder,
            # The prompt is encoded anew for an attempt.
            len(raw) + 2 * sys.getsizeof(generation.prompt),
            keeps_answer=not body.stream,
        )
        if request.holder.is_ended:
            await http.send_problem(request, memory.MemoryExhausted())
            return
        async with self._open_exchange(
            request, generation.request_id, event, exchange
        ):
            await send_answer(request, exchange, generation)
        if request.holder.is_ended:
            await _completions.send_released(request, generation, body.stream)

    async def _handle_service_call(
        self,
        request: http.Request,
        service: str,
        customer: model.CustomerId,
        body: bytes,
    ) -> None:
        call = _service_request(request, service, customer, body)
        event = _events.ServiceCallRequested(call)
        request_id = call.request_id
        exchange = _exchange.Exchange(
            request.holder, len(body), keeps_answer=True
        )
        if request.holder.is_ended:
            await http.send_problem(request, memory.MemoryExhausted())
            return
        async with self._open_exchange(request, request_id, event, exchange):
            for effect in await exchange.receive():
                if isinstance(effect, _effects.AnswerCall):
                    await http.send_response(
                        request, effect.status, effect.headers, effect.body
                    )
                elif isinstance(effect, _effects.RefuseCaller):
                    await http.send_problem(
                        request, effect.failure, request_id
                    )
        if request.holder.is_ended and not request.holder.has_started_answer:
            await http.send_problem(
                request, http.RequestReleased(), request_id
            )

    @contextlib.asynccontextmanager
    async def _open_exchange(
        self,
        request: http.Request,
        request_id: model.RequestId,
        event: _events.EntryEvent,
        exchange: _exchange.Exchange,
    ) -> collections.abc.AsyncIterator[None]:
        """Submit an event whose effects go to the exchange in the block.

        If the caller disconnects first, or the request's holder is ended, the
        block is cancelled and the reducer gets a ``CallerDisconnected`` event.
        """
        finished = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, request, nursery.cancel_scope
            )
            self._exchanges[request_id] = exchange
            try:
                with request.holder.ends(nursery.cancel_scope):
                    self._submit(event)
                    yield
                    finished = True
            finally:
                del self._exchanges[request_id]
                if not finished:
                    self._submit(_events.CallerDisconnected(request_id))
                nursery.cancel_scope.cancel()


async def _cancel_on_disconnect(
    request: http.Request, scope: trio.CancelScope
) -> None:
    """Cancel ``scope`` once the caller has closed the connection.

    hypercorn also sends this event at the end of a response, before it closes
    the connection or, over HTTP/2, begins its idle time in the same call:
    cancelled there, it would leave the connection open.
    """
    while True:
        event = await request.receive()
        if event["type"] == "http.disconnect":
            if not request.holder.has_finished_answer:
                scope.cancel()
            return


def _quote_query(query: str) -> str:
    """Quote what no request target may contain; HTTP/2 callers may send it."""
    return urllib.parse.quote(query.encode("latin-1"), safe=string.punctuation)


def _service_request(
    request: http.Request,
    service: str,
    customer: model.CustomerId,
    body: bytes,
) -> _events.ServiceRequest:
    prefix = f"/v1/services/{service}/call"
    path = urllib.parse.quote(request.path[len(prefix) :]) or _ROOT_PATH
    if request.query:
        path = f"{path}?{_quote_query(request.query)}"
    digest = hashlib.sha256(f"{request.method} {path}\n".encode() + body)
    key = request.header(b"idempotency-key")
    return _events.ServiceRequest(
        request_id=_completions.new_request_id(),
        customer=customer,
        service=model.ServiceName(service),
        method=request.method,
        path=path,
        headers=request.headers,
        body=body,
        body_digest=digest.hexdigest(),
        idempotency_key=None if key is None else key.decode("latin-1"),
        priority=_DEFAULT_PRIORITY,
    )


async def _send_unless_disconnected(
    request: http.Request, failure: errors.Failure
) -> None:
    if not isinstance(failure, http.CallerGone):
        await http.send_problem(request, failure)
