"""The HTTP client for endpoints, built on httpcore.

Each stream and call uses a new connection.  A pooled connection may have died
silently since its last use.  Besides, a call that must not run twice may be
retried only if it is certain that no byte of it was sent; that is the case if
no new connection could be established.  The cost of a new connection is small
compared with both uncertainties.
"""

import abc
import contextlib
import datetime
import functools
import typing
import urllib.parse

import httpcore
import msgspec
import trio

from sedgepin._entry import _answer_holder
from sedgepin._entry import _answer_limits
from sedgepin._entry import _effects
from sedgepin._entry import _endpoint_headers
from sedgepin._entry import _engine_messages
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin._entry import _unframed_answers
from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin import _web as web
from sedgepin import errors

_CONNECT_TIMEOUT = datetime.timedelta(seconds=1)

Emit = _engine_messages.Emit

# ``ValueError`` is raised for an invalid address.
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    ValueError,
)
# httpcore raises these only if no connection was made.
_CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


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
    is_reached = False
    with contextlib.suppress(OSError, ValueError):
        url = urllib.parse.urlsplit(effect.address)
        port = url.port or (443 if url.scheme == "https" else 80)
        with trio.move_on_after(_CONNECT_TIMEOUT.total_seconds()):
            stream = await trio.open_tcp_stream(url.hostname or "", port)
            is_reached = True
            await stream.aclose()
    emit(_events.PathProbed(effect.endpoint_id, is_reached))


class HttpEndpointClient(EndpointClient):
    """The client that connects to endpoints over HTTP.

    ``budget`` bounds what is held of all answers together.
    """

    __slots__ = ("_answer_limit_bytes", "_budget", "_pool")

    def __init__(
        self,
        answer_limit_bytes: int,
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        self._answer_limit_bytes = answer_limit_bytes
        self._budget = budget
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=0,
            network_backend=_answer_limits.open_backend(),
        )

    async def run_stream(
        self, effect: _effects.StartStream, emit: Emit
    ) -> None:
        """Run an attempt, and emit its pieces and its end or failure."""
        first = effect.pipeline.stages[0]
        with _answer_holder.open_holder(
            self._budget, first.endpoint_id
        ) as holder:
            await self._run_stream(effect, holder, emit)
            return
        emit(
            _events.StreamFailed(
                effect.request_id,
                effect.attempt,
                first.endpoint_id,
                _answer_holder.given_up(),
                True,
            )
        )

    async def _run_stream(
        self,
        effect: _effects.StartStream,
        holder: _answer_holder.AnswerHolder,
        emit: Emit,
    ) -> None:
        first = effect.pipeline.stages[0]
        crashed = False
        refusal: errors.Failure | None = None
        link_failure: _events.LinkFailure | None = None
        reason = "the stream ended without an end marker"
        try:
            async with self._pool.stream(
                "POST",
                f"{first.address}/v1/pipeline",
                headers=[(b"content-type", b"application/json")],
                content=msgspec.json.encode(
                    _engine_messages.pipeline_run(effect)
                ),
                extensions=_extensions(holder),
            ) as response:
                crashed = True
                if response.status != 200:
                    crashed = False
                    refusal = _engine_messages.refusal(response.status)
                elif await self._emit_lines(response, effect, holder, emit):
                    return
        except _CONNECT_ERRORS as exc:
            reason = type(exc).__name__
            link_failure = _events.LinkFailure.DIRECT
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
                crashed,
                link_failure,
            )
        )

    async def _emit_lines(
        self,
        response: httpcore.Response,
        effect: _effects.StartStream,
        holder: _answer_holder.AnswerHolder,
        emit: Emit,
    ) -> bool:
        """Emit an event for each line; return whether an end line came."""
        reader = _engine_messages.LineReader(
            effect, emit, holder, self._answer_limit_bytes
        )
        async for piece in response.aiter_stream():
            await reader.feed(piece)
            if reader.is_complete:
                return True
        return False

    async def call_service(
        self, effect: _effects.CallService, emit: Emit
    ) -> None:
        """Send a call to a plain service once, and emit its result."""
        with _answer_holder.open_holder(
            self._budget, effect.endpoint_id
        ) as holder:
            await self._call_service(effect, holder, emit)
            return
        emit(
            _events.ServiceFailed(
                effect.request.request_id,
                effect.attempt,
                _answer_holder.given_up(),
                True,
            )
        )

    async def _call_service(
        self,
        effect: _effects.CallService,
        holder: _answer_holder.AnswerHolder,
        emit: Emit,
    ) -> None:
        request = effect.request
        identity = (request.request_id, effect.attempt)
        seconds = effect.timeout.total_seconds()
        try:
            with trio.fail_after(seconds):
                event = await self._exchange(effect, holder)
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
        body = None
        try:
            with (
                trio.fail_after(effect.timeout.total_seconds()),
                _answer_holder.open_holder(
                    self._budget, endpoint_id
                ) as holder,
            ):
                async with self._pool.stream(
                    "GET",
                    stage.address + path,
                    # A link that is cut is to be told from a slow stage.
                    extensions=_extensions(holder, effect.timeout / 2),
                ) as response:
                    body = await _answer_limits.read_body(
                        response, _engine_messages.MAX_STATE_BYTES, holder
                    )
        except _CONNECT_ERRORS:
            reports[endpoint_id] = _events.StageReport(
                endpoint_id, None, link_failure=_events.LinkFailure.DIRECT
            )
            return
        except (trio.TooSlowError, *_CONNECTION_ERRORS):
            return
        if body is not None:
            reports[endpoint_id] = _engine_messages.stage_report(
                endpoint_id, body
            )

    async def _exchange(
        self,
        effect: _effects.CallService,
        holder: _answer_holder.AnswerHolder,
    ) -> _events.ServiceAnswered | _events.ServiceFailed:
        request = effect.request
        async with self._pool.stream(
            request.method,
            f"{effect.address}{request.path}",
            headers=_endpoint_headers.end_to_end_headers(request.headers),
            content=request.body,
            extensions=_extensions(holder),
        ) as response:
            body = await _answer_limits.read_body(
                response, self._answer_limit_bytes, holder
            )
        identity = (request.request_id, effect.attempt)
        if body is None:
            failure = _failures.EndpointFailed(
                "the answer is longer than "
                f"{self._answer_limit_bytes} bytes or in too many pieces"
            )
            return _events.ServiceFailed(*identity, failure, True)
        head = web.AnswerHead(response.status, tuple(response.headers))
        if head.ends_with_connection(request.method.encode("ascii")) and (
            await _unframed_answers.has_ended(
                functools.partial(
                    _unframed_answers.refuses_connection, effect.address
                )
            )
        ):
            failure = _failures.EndpointFailed(
                _unframed_answers.ENDED_BY_CRASH
            )
            return _events.ServiceFailed(*identity, failure, True)
        headers = _endpoint_headers.answer_headers(response.headers)
        return _events.ServiceAnswered(
            *identity, response.status, headers, body
        )


def _extensions(
    holder: _answer_holder.AnswerHolder,
    connect_timeout: datetime.timedelta = _CONNECT_TIMEOUT,
) -> dict[str, typing.Any]:
    return {
        "timeout": {"connect": connect_timeout.total_seconds()},
        "trace": _answer_limits.HeadLimit(holder).trace,
    }
