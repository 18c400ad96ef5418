"""The HTTP client for endpoints, built on httpcore.

Each stream and call uses a new connection.  A pooled connection may have died
silently since its last use.  Besides, a call that must not run twice may be
retried only if it is certain that no byte of it was sent; that is the case if
no new connection could be established.  The cost of a new connection is small
compared with both uncertainties.
"""

import abc
import collections.abc
import contextlib
import typing
import urllib.parse

import httpcore
import msgspec
import trio

from sedgepin import _answers as answers
from sedgepin._entry import _answer_limits
from sedgepin._entry import _effects
from sedgepin._entry import _endpoint_headers
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin import _model as model
from sedgepin import _web as web
from sedgepin import errors

_CONNECT_TIMEOUT_SECONDS = 1.0
_BUSY_STATUSES = frozenset((408, 425, 429, 503))
_CLIENT_ERRORS = range(400, 500)
_MAX_LINE_BYTES = 1_048_576
_MAX_PROBE_BYTES = 16_384

Emit: typing.TypeAlias = collections.abc.Callable[[_events.EntryEvent], None]

_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
# httpcore raises these only if no connection was made.
_CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


class PipelineRun(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/pipeline``, which runs a pipeline of stages.

    ``index`` is the index of the receiving stage in ``stages``.
    """

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
    """A line that reports only that the attempt is still being processed."""


class EndLine(msgspec.Struct, frozen=True, tag="end", tag_field="type"):
    """The last line of a complete answer of ``token_count`` tokens."""

    token_count: int
    finish_reason: str = "stop"


class FailedLine(msgspec.Struct, frozen=True, tag="failed", tag_field="type"):
    """The last line of an attempt that a stage could not finish.

    ``ran`` is false if the stage refused the request before running it.
    """

    endpoint_id: model.EndpointId
    code: str
    ran: bool = True


class AttemptState(msgspec.Struct, frozen=True):
    """The response body of ``GET /v1/attempts/{request}/{attempt}``."""

    state: answers.StreamState
    produced: int = 0
    incarnation: model.Incarnation | None = None
    received: int | None = None


_Line: typing.TypeAlias = PieceLine | HeartbeatLine | EndLine | FailedLine
_line_decoder: msgspec.json.Decoder[_Line] = msgspec.json.Decoder(_Line)


class EndpointClient(abc.ABC):
    """Runs attempts and calls on endpoints and emits their events."""

    @abc.abstractmethod
    async def run_stream(
        self, effect: _effects.StartStream, emit: Emit
    ) -> None:
        """Run an attempt, and emit its pieces and its end or failure."""

    @abc.abstractmethod
    async def call_service(
        self, effect: _effects.CallService, emit: Emit
    ) -> None:
        """Send a call to a plain service once, and emit its result."""

    @abc.abstractmethod
    async def probe(self, effect: _effects.ProbeStages, emit: Emit) -> None:
        """Request an attempt's state from all stages concurrently."""


async def probe_path(effect: _effects.ProbePath, emit: Emit) -> None:
    """Connect to an endpoint, and emit whether that was possible."""
    url = urllib.parse.urlsplit(effect.address)
    port = url.port or (443 if url.scheme == "https" else 80)
    is_reached = False
    with contextlib.suppress(OSError):
        with trio.move_on_after(_CONNECT_TIMEOUT_SECONDS):
            stream = await trio.open_tcp_stream(url.hostname or "", port)
            is_reached = True
            await stream.aclose()
    emit(_events.PathProbed(effect.endpoint_id, is_reached))


class HttpEndpointClient(EndpointClient):
    """The client that connects to endpoints over HTTP."""

    __slots__ = ("_answer_limit_bytes", "_pool")

    def __init__(self, answer_limit_bytes: int) -> None:
        self._answer_limit_bytes = answer_limit_bytes
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=0,
            network_backend=_answer_limits.LimitedBackend(),
        )

    async def run_stream(
        self, effect: _effects.StartStream, emit: Emit
    ) -> None:
        """Run an attempt, and emit its pieces and its end or failure."""
        first = effect.pipeline.stages[0]
        crashed = False
        refusal: errors.Failure | None = None
        reason = "the stream ended without an end marker"
        try:
            async with self._pool.stream(
                "POST",
                f"{first.address}/v1/pipeline",
                headers=[(b"content-type", b"application/json")],
                content=msgspec.json.encode(_pipeline_run(effect)),
                extensions=_extensions(),
            ) as response:
                crashed = True
                if response.status != 200:
                    crashed = False
                    refusal = _refusal(response.status)
                elif await _emit_lines(response, effect, emit):
                    return
        except _CONNECT_ERRORS as exc:
            reason = type(exc).__name__
        except _CONNECTION_ERRORS as exc:
            crashed = True
            reason = type(exc).__name__
        except msgspec.DecodeError as exc:
            reason = f"cannot decode a line of the stream: {exc}"
        failure = refusal or _failures.EndpointFailed(reason)
        emit(
            _events.StreamFailed(
                effect.request_id,
                effect.attempt,
                first.endpoint_id,
                failure,
                crashed=crashed,
            )
        )

    async def call_service(
        self, effect: _effects.CallService, emit: Emit
    ) -> None:
        """Send a call to a plain service once, and emit its result."""
        request = effect.request
        identity = (request.request_id, effect.attempt)
        seconds = effect.timeout.total_seconds()
        try:
            with trio.fail_after(seconds):
                event = await self._exchange(effect)
        except _CONNECT_ERRORS:
            failure = _failures.EndpointUnreachable()
            link_failure = _events.LinkFailure.DIRECT
            emit(
                _events.ServiceFailed(*identity, failure, False, link_failure)
            )
        except (trio.TooSlowError, httpcore.TimeoutException):
            too_slow = _failures.EndpointTooSlow()
            emit(_events.ServiceFailed(*identity, too_slow, True))
        except _CONNECTION_ERRORS as exc:
            failed = _failures.EndpointFailed(type(exc).__name__)
            emit(_events.ServiceFailed(*identity, failed, True))
        else:
            emit(event)

    async def probe(self, effect: _effects.ProbeStages, emit: Emit) -> None:
        """Request an attempt's state from all stages concurrently."""
        reports: dict[model.EndpointId, _events.StageReport] = {}
        async with trio.open_nursery() as nursery:
            for stage in effect.stages:
                nursery.start_soon(self._probe_stage, effect, stage, reports)
        ordered = tuple(reports[stage.endpoint_id] for stage in effect.stages)
        emit(
            _events.ProbeAnswered(
                effect.request_id, effect.attempt, effect.probe, ordered
            )
        )

    async def _probe_stage(
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
                async with self._pool.stream(
                    "GET", stage.address + path, extensions=_extensions()
                ) as response:
                    body = await _answer_limits.read_body(
                        response, _MAX_PROBE_BYTES
                    )
        except (trio.TooSlowError, *_CONNECTION_ERRORS):
            return
        if body is not None:
            reports[endpoint_id] = _stage_report(endpoint_id, body)

    async def _exchange(
        self, effect: _effects.CallService
    ) -> _events.ServiceAnswered | _events.ServiceFailed:
        request = effect.request
        async with self._pool.stream(
            request.method,
            f"{effect.address}{request.path}",
            headers=_endpoint_headers.end_to_end_headers(request.headers),
            content=request.body,
            extensions=_extensions(),
        ) as response:
            body = await _answer_limits.read_body(
                response, self._answer_limit_bytes
            )
        if body is None:
            failure = _failures.EndpointFailed(
                "the answer is longer than "
                f"{self._answer_limit_bytes} bytes or in too many pieces"
            )
            return _events.ServiceFailed(
                request.request_id, effect.attempt, failure, True
            )
        headers = _endpoint_headers.answer_headers(response.headers)
        return _events.ServiceAnswered(
            request.request_id,
            effect.attempt,
            response.status,
            headers,
            body,
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
    endpoint_id: model.EndpointId, body: bytes
) -> _events.StageReport:
    try:
        attempt = msgspec.json.decode(body, type=AttemptState)
    except msgspec.DecodeError:
        # The stage is alive but does not implement this request.
        attempt = AttemptState(answers.StreamState.UNREPORTED)
    return _events.StageReport(
        endpoint_id,
        attempt.state,
        attempt.produced,
        attempt.incarnation,
        attempt.received,
    )


def _refusal(status: int) -> errors.Failure:
    """Return the failure for an engine's response whose status is not 200."""
    if status in _BUSY_STATUSES:
        return _failures.EndpointBusy()
    if _CLIENT_ERRORS.start <= status < _CLIENT_ERRORS.stop:
        return _failures.EndpointRefused(status)
    return _failures.EndpointFailed(f"the engine answered {status}")


def _extensions() -> dict[str, typing.Any]:
    return {
        "timeout": {"connect": _CONNECT_TIMEOUT_SECONDS},
        "trace": _answer_limits.HeadLimit().trace,
    }


async def _emit_lines(
    response: httpcore.Response, effect: _effects.StartStream, emit: Emit
) -> bool:
    """Emit an event for each line; return whether an end line was received."""
    counter = _answer_limits.PieceCounter()
    timer = web.PartTimer()
    partial = bytearray()
    async for piece in response.aiter_stream():
        await counter.record_piece()
        # Only new bytes are searched, so that the cost of a long line does
        # not grow with its square.
        if b"\n" not in piece:
            partial += piece
            lines: list[bytes] = []
            if timer.add_bytes(trio.current_time()):
                raise msgspec.DecodeError("the line has no end")
        else:
            timer.reset()
            first, *others, rest = piece.split(b"\n")
            lines = [bytes(partial) + first, *others]
            partial = bytearray(rest)
        if len(partial) > _MAX_LINE_BYTES:
            raise msgspec.DecodeError(
                f"the line is longer than {_MAX_LINE_BYTES} bytes"
            )
        for raw in lines:
            line = _line_decoder.decode(raw)
            emit(_line_event(line, effect))
            if isinstance(line, EndLine | FailedLine):
                return True
    return False


def _line_event(
    line: _Line, effect: _effects.StartStream
) -> _events.EntryEvent:
    identity = (effect.request_id, effect.attempt)
    if isinstance(line, PieceLine):
        piece = model.TokenPiece(
            line.request_id,
            line.attempt,
            line.position,
            line.text,
            line.lineage,
        )
        return _events.PieceReceived(*identity, piece)
    if isinstance(line, HeartbeatLine):
        return _events.EngineHeartbeatReceived(*identity)
    if isinstance(line, EndLine):
        return _events.StreamEnded(
            *identity, line.token_count, line.finish_reason
        )
    failure = _failures.EndpointFailed(line.code)
    return _events.StreamFailed(
        *identity, line.endpoint_id, failure, crashed=line.ran
    )
