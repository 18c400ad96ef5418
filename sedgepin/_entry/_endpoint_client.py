"""Talking to endpoints over HTTP, through httpcore.

Each stream and call has a connection of its own.  A pooled one may have gone
silent since it was last used, and a call that may not repeat must know that
no byte left before its connection stood; a connection costs far less than
either doubt.
"""

import abc
import collections.abc
import typing

import httpcore
import msgspec
import trio

from sedgepin import _answers as answers
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin import _http as http
from sedgepin import _model as model
from sedgepin import errors

_CONNECT_TIMEOUT_SECONDS = 1.0
_BUSY_STATUSES = frozenset((408, 425, 429, 503))
_CLIENT_ERRORS = range(400, 500)
_LINE_LIMIT_BYTES = 1_048_576

Emit: typing.TypeAlias = collections.abc.Callable[[_events.EntryEvent], None]

_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
# Of these httpcore says that no connection was made.
_NOT_CONNECTED = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_HEADERS_OF_ONE_CONNECTION = frozenset(
    (
        b"connection",
        b"content-length",
        b"host",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class PipelineRun(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/pipeline``: run a chain of stages."""

    request_id: model.RequestId
    attempt: int
    stages: tuple[model.Stage, ...]
    version: str
    prompt: str
    delivered: tuple[str, ...]
    position: int
    limit_tokens: int
    priority: int
    model: model.ModelName
    index: int = 0


class PieceLine(msgspec.Struct, frozen=True, tag="piece", tag_field="type"):
    """A line of the answer stream: one token."""

    request_id: model.RequestId
    attempt: int
    position: int
    text: str
    lineage: tuple[model.StageMark, ...]


class HeartbeatLine(
    msgspec.Struct, frozen=True, tag="heartbeat", tag_field="type"
):
    """A line that says only that the attempt is still being worked on."""


class EndLine(msgspec.Struct, frozen=True, tag="end", tag_field="type"):
    """The last line of a whole answer; ``token_count`` counts all of it."""

    token_count: int
    finish_reason: str = "stop"


class FailedLine(msgspec.Struct, frozen=True, tag="failed", tag_field="type"):
    """The last line of an attempt that a stage could not finish.

    ``ran`` is false when the stage refused before it ran anything.
    """

    endpoint_id: model.EndpointId
    code: str
    ran: bool = True


class AttemptState(msgspec.Struct, frozen=True):
    """The answer to ``GET /v1/attempts/{request}/{attempt}``."""

    state: answers.StreamState
    produced: int = 0
    incarnation: model.Incarnation | None = None
    received: int | None = None


_Line: typing.TypeAlias = PieceLine | HeartbeatLine | EndLine | FailedLine
_line_decoder: msgspec.json.Decoder[_Line] = msgspec.json.Decoder(_Line)


class EndpointClient(abc.ABC):
    """Runs attempts and calls on endpoints; emits what comes of them."""

    @abc.abstractmethod
    async def run_stream(
        self, effect: _effects.StartStream, emit: Emit
    ) -> None:
        """Run an attempt to its end or failure."""

    @abc.abstractmethod
    async def call_service(
        self, effect: _effects.CallService, emit: Emit
    ) -> None:
        """Send one call to a plain service, once."""

    @abc.abstractmethod
    async def probe(self, effect: _effects.ProbeStages, emit: Emit) -> None:
        """Ask all stages at once how an attempt is doing."""


class HttpEndpointClient(EndpointClient):
    """The real client."""

    __slots__ = ("_answer_limit_bytes", "_pool")

    def __init__(self, answer_limit_bytes: int) -> None:
        self._answer_limit_bytes = answer_limit_bytes
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None, max_keepalive_connections=0
        )

    async def run_stream(
        self, effect: _effects.StartStream, emit: Emit
    ) -> None:
        """Run an attempt to its end or failure."""
        first = effect.pipeline.stages[0]
        connected = False
        refusal: errors.Failure | None = None
        reason = "the stream ended without an end marker"
        try:
            async with self._pool.stream(
                "POST",
                f"{first.address}/v1/pipeline",
                headers=[(b"content-type", b"application/json")],
                content=msgspec.json.encode(_pipeline_run(effect)),
                extensions=_timeouts(),
            ) as response:
                connected = True
                if response.status != 200:
                    connected = False
                    refusal = _refusal(response.status)
                elif await _emit_lines(response, effect, emit):
                    return
        except _NOT_CONNECTED as exc:
            reason = type(exc).__name__
        except _BROKEN as exc:
            connected = True
            reason = type(exc).__name__
        except msgspec.DecodeError as exc:
            reason = f"a line cannot be read: {exc}"
        failure = refusal or _failures.EndpointFailed(reason)
        emit(
            _events.StreamFailed(
                effect.request_id,
                effect.attempt,
                first.endpoint_id,
                failure,
                crashed=connected,
            )
        )

    async def call_service(
        self, effect: _effects.CallService, emit: Emit
    ) -> None:
        """Send one call to a plain service, once."""
        request = effect.request
        identity = (request.request_id, effect.attempt)
        seconds = effect.timeout.total_seconds()
        try:
            with trio.fail_after(seconds):
                answered = await self._exchange(effect)
        except _NOT_CONNECTED:
            failure = _failures.EndpointUnreachable()
            emit(_events.ServiceFailed(*identity, failure, False))
        except (trio.TooSlowError, httpcore.TimeoutException):
            slow = _failures.EndpointTooSlow()
            emit(_events.ServiceFailed(*identity, slow, True))
        except _BROKEN as exc:
            broken = _failures.EndpointFailed(type(exc).__name__)
            emit(_events.ServiceFailed(*identity, broken, True))
        else:
            emit(answered)

    async def probe(self, effect: _effects.ProbeStages, emit: Emit) -> None:
        """Ask all stages at once how an attempt is doing."""
        reports: dict[model.EndpointId, _events.StageReport] = {}
        async with trio.open_nursery() as nursery:
            for stage in effect.stages:
                nursery.start_soon(self._ask_stage, effect, stage, reports)
        ordered = tuple(reports[one.endpoint_id] for one in effect.stages)
        emit(
            _events.ProbeAnswered(
                effect.request_id, effect.attempt, effect.probe, ordered
            )
        )

    async def _ask_stage(
        self,
        effect: _effects.ProbeStages,
        stage: model.Stage,
        reports: dict[model.EndpointId, _events.StageReport],
    ) -> None:
        endpoint_id = stage.endpoint_id
        reports[endpoint_id] = _events.StageReport(endpoint_id, None)
        path = f"/v1/attempts/{effect.request_id}/{effect.attempt}"
        try:
            with trio.fail_after(effect.timeout.total_seconds()):
                response = await self._pool.request(
                    "GET", stage.address + path, extensions=_timeouts()
                )
        except (trio.TooSlowError, *_BROKEN):
            return
        reports[endpoint_id] = _stage_report(endpoint_id, response)

    async def _exchange(
        self, effect: _effects.CallService
    ) -> _events.ServiceAnswered | _events.ServiceFailed:
        request = effect.request
        async with self._pool.stream(
            request.method,
            f"{effect.address}{request.path}",
            headers=_pass_on(request.headers),
            content=request.body,
            extensions=_timeouts(),
        ) as response:
            body = bytearray()
            async for chunk in response.aiter_stream():
                body += chunk
                if len(body) > self._answer_limit_bytes:
                    failure = _failures.EndpointFailed("too long an answer")
                    return _events.ServiceFailed(
                        request.request_id, effect.attempt, failure, True
                    )
        headers = tuple(
            http.HeaderField(name.lower(), value)
            for name, value in response.headers
            if name.lower() not in _HEADERS_OF_ONE_CONNECTION
        )
        return _events.ServiceAnswered(
            request.request_id,
            effect.attempt,
            response.status,
            headers,
            bytes(body),
        )


def _pipeline_run(effect: _effects.StartStream) -> PipelineRun:
    return PipelineRun(
        request_id=effect.request_id,
        attempt=effect.attempt,
        model=effect.model,
        version=effect.version,
        prompt=effect.prompt,
        delivered=effect.delivered,
        position=effect.position,
        limit_tokens=effect.limit_tokens,
        priority=effect.priority,
        stages=effect.pipeline.stages,
    )


def _stage_report(
    endpoint_id: model.EndpointId, response: httpcore.Response
) -> _events.StageReport:
    try:
        told = msgspec.json.decode(response.content, type=AttemptState)
    except msgspec.DecodeError:
        # It answers, but does not know this question.
        told = AttemptState(answers.StreamState.UNREPORTED)
    return _events.StageReport(
        endpoint_id,
        told.state,
        told.produced,
        told.incarnation,
        told.received,
    )


def _refusal(status: int) -> errors.Failure:
    """Return what an engine's status says where it is not 200."""
    if status in _BUSY_STATUSES:
        return _failures.EndpointBusy()
    if _CLIENT_ERRORS.start <= status < _CLIENT_ERRORS.stop:
        return _failures.EndpointRefused(status)
    return _failures.EndpointFailed(f"it answered {status}")


def _timeouts() -> dict[str, typing.Any]:
    return {"timeout": {"connect": _CONNECT_TIMEOUT_SECONDS}}


def _pass_on(
    headers: collections.abc.Iterable[http.HeaderField],
) -> list[tuple[bytes, bytes]]:
    """Return the headers that belong to the call, not to a connection."""
    return [
        (field.name, field.value)
        for field in headers
        if field.name not in _HEADERS_OF_ONE_CONNECTION
        and field.name != b"authorization"
    ]


async def _emit_lines(
    response: httpcore.Response, effect: _effects.StartStream, emit: Emit
) -> bool:
    """Emit each line; return whether the attempt came to a marked end."""
    rest = b""
    async for chunk in response.aiter_stream():
        *whole, rest = (rest + chunk).split(b"\n")
        if len(rest) > _LINE_LIMIT_BYTES:
            raise msgspec.DecodeError("it is too long")
        for raw in whole:
            line = _line_decoder.decode(raw)
            emit(_event_of(line, effect))
            if isinstance(line, EndLine | FailedLine):
                return True
    return False


def _event_of(line: _Line, effect: _effects.StartStream) -> _events.EntryEvent:
    identity = (effect.request_id, effect.attempt)
    if isinstance(line, PieceLine):
        piece = model.TokenPiece(
            line.request_id,
            line.attempt,
            line.position,
            line.text,
            line.lineage,
        )
        return _events.PieceArrived(*identity, piece)
    if isinstance(line, HeartbeatLine):
        return _events.EngineHeartbeatArrived(*identity)
    if isinstance(line, EndLine):
        return _events.StreamEnded(
            *identity, line.token_count, line.finish_reason
        )
    failure = _failures.EndpointFailed(line.code)
    return _events.StreamFailed(
        *identity, line.endpoint_id, failure, crashed=line.ran
    )
