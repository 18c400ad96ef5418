"""The completions interface: request bodies, streamed and whole answers."""

import datetime
import hashlib
import typing
import uuid

import msgspec

from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _exchange
from sedgepin import _http as http
from sedgepin import _model as model
from sedgepin import settings

_DEFAULT_PRIORITY = 1
_DEFAULT_MAX_TOKENS = 256
_SSE_HEADERS = (
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
)


class CompletionBody(msgspec.Struct, frozen=True):
    """The body of a completions request; unknown fields are ignored.

    The fields follow the completions interface that language-model clients
    commonly use (OpenAI API reference, "Completions").
    """

    prompt: str
    model: str = ""
    max_tokens: typing.Annotated[int, msgspec.Meta(gt=0)] = _DEFAULT_MAX_TOKENS
    stream: bool = False
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=9)] = (
        _DEFAULT_PRIORITY
    )
    timeout_seconds: typing.Annotated[float, msgspec.Meta(gt=0)] | None = None


def new_request_id() -> model.RequestId:
    """Return a new unique request id."""
    return model.RequestId(uuid.uuid4().hex)


def generate_request(
    limits: settings.Limits,
    service: str | None,
    customer: model.CustomerId,
    raw: bytes,
    body: CompletionBody,
) -> _events.GenerateRequest:
    """Build the reducer's request from a completions body.

    ``raw`` is the encoded body, whose digest identifies repeated requests.
    """
    timeout = None
    if body.timeout_seconds is not None:
        timeout = datetime.timedelta(seconds=body.timeout_seconds)
    return _events.GenerateRequest(
        request_id=new_request_id(),
        customer=customer,
        service=model.ServiceName(service or body.model),
        prompt=body.prompt,
        limit_tokens=min(body.max_tokens, limits.generated_tokens),
        priority=body.priority,
        timeout=timeout,
        body_digest=hashlib.sha256(raw).hexdigest(),
        is_streamed=body.stream,
    )


async def stream_answer(
    request: http.Request,
    exchange: _exchange.Exchange,
    generation: _events.GenerateRequest,
) -> None:
    """Send the answer as server-sent events.

    A failure before the first token is sent as a problem document; a later
    one as an ``error`` event.
    """
    started = False
    while True:
        effects = await exchange.receive()
        first = effects[0]
        if not started and isinstance(first, _effects.RefuseCaller):
            failure = first.failure
            await http.send_problem(request, failure, generation.request_id)
            return
        if not started:
            started = True
            start = {
                "type": "http.response.start",
                "status": 200,
                "headers": list(_SSE_HEADERS),
            }
            await request.send(start)
        chunk, ended = _encode_events(effects, generation)
        await request.send(
            {
                "type": "http.response.body",
                "body": chunk,
                "more_body": not ended,
            }
        )
        if ended:
            return


async def send_released(
    request: http.Request,
    generation: _events.GenerateRequest,
    is_stream: bool,
) -> None:
    """Tell that a request was given up, if it has no complete answer yet.

    A stream ends with an ``error`` event, a begun document stays cut.
    """
    failure = http.RequestReleased()
    if not request.holder.has_started_answer:
        await http.send_problem(request, failure, generation.request_id)
    elif is_stream and not request.holder.has_finished_answer:
        refusal = _effects.RefuseCaller(generation.request_id, failure)
        last, _ = _encode_events([refusal], generation)
        await request.send({"type": "http.response.body", "body": last})


def _encode_events(
    effects: list[_exchange.CallerEffect],
    generation: _events.GenerateRequest,
) -> tuple[bytes, bool]:
    """Return the server-sent events for ``effects``, and if they are the last.

    All queued tokens are sent as one event, so a slow reader causes fewer,
    larger writes.
    """
    texts: list[str] = []
    closing = b""
    for effect in effects:
        if isinstance(effect, _effects.DeliverPieces):
            texts.extend(effect.texts)
        elif isinstance(effect, _effects.EndAnswer):
            last = _encode_completion(generation, "", effect.finish_reason)
            closing = b"data: " + last + b"\n\ndata: [DONE]\n\n"
        elif isinstance(effect, _effects.RefuseCaller):
            problem = http.problem_document(
                effect.failure, generation.request_id
            )
            closing = b"event: error\ndata: " + problem + b"\n\n"
    chunk = b""
    if texts:
        completion = _encode_completion(generation, "".join(texts), None)
        chunk = b"data: " + completion + b"\n\n"
    return chunk + closing, bool(closing)


async def send_whole_answer(
    request: http.Request,
    exchange: _exchange.Exchange,
    generation: _events.GenerateRequest,
) -> None:
    """Send the complete answer as one JSON document."""
    texts: list[str] = []
    while True:
        for effect in await exchange.receive():
            if isinstance(effect, _effects.DeliverPieces):
                texts.extend(effect.texts)
            elif isinstance(effect, _effects.EndAnswer):
                body = _encode_completion(
                    generation, "".join(texts), effect.finish_reason
                )
                headers = (
                    http.HeaderField(b"content-type", b"application/json"),
                )
                await http.send_response(request, 200, headers, body)
                return
            elif isinstance(effect, _effects.RefuseCaller):
                failure = effect.failure
                await http.send_problem(
                    request, failure, generation.request_id
                )
                return


class _Choice(msgspec.Struct, frozen=True):
    text: str
    index: int
    finish_reason: str | None


class _Completion(msgspec.Struct, frozen=True):
    id: model.RequestId
    model: model.ServiceName
    choices: tuple[_Choice, ...]
    object: str = "text_completion"


def _encode_completion(
    generation: _events.GenerateRequest, text: str, finish_reason: str | None
) -> bytes:
    choice = _Choice(text, 0, finish_reason)
    return msgspec.json.encode(
        _Completion(generation.request_id, generation.service, (choice,))
    )
