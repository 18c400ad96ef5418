"""The messages of engines: runs of pipelines, lines of streams, states."""

import collections.abc
import sys
import typing

import msgspec
import trio

from sedgepin import _answers as answers
from sedgepin._entry import _answer_holder
from sedgepin._entry import _answer_limits
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin import _model as model
from sedgepin import _web as web
from sedgepin import errors

_BUSY_STATUSES = frozenset((408, 425, 429, 503))
_CLIENT_ERRORS = range(400, 500)
_MAX_LINE_BYTES = 1_048_576
MAX_STATE_BYTES = 16_384

Emit: typing.TypeAlias = collections.abc.Callable[[_events.EntryEvent], None]


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


class LineReader:
    """Decodes the lines of an answer stream, and emits their events.

    ``is_complete`` is set by an end line, or the line of a stage that could
    not finish.
    """

    __slots__ = (
        "_counter",
        "_effect",
        "_emit",
        "_holder",
        "_kept_bytes",
        "_limit_bytes",
        "_partial",
        "_text_bytes",
        "_timer",
        "is_complete",
    )

    def __init__(
        self,
        effect: _effects.StartStream,
        emit: Emit,
        holder: _answer_holder.AnswerHolder,
        limit_bytes: int,
    ) -> None:
        self._effect = effect
        self._emit = emit
        self._holder = holder
        self._limit_bytes = limit_bytes
        self._text_bytes = 0
        # Tokens are kept until the whole answer is complete, for a resumption.
        self._kept_bytes = sum(map(sys.getsizeof, effect.delivered))
        self._counter = _answer_limits.PieceCounter()
        self._timer = web.PartTimer()
        self._partial = bytearray()
        self.is_complete = False

    async def feed(self, piece: bytes) -> None:
        """Decode the next bytes, and now and then let other tasks run.

        Raises ``msgspec.DecodeError`` for a line that cannot be decoded or
        has no end, and for one whose text is beyond the limit of an answer.
        """
        await self._counter.record_piece()
        lines = self._split(piece)
        self._holder.keep(self._kept_bytes + len(self._partial))
        for raw in lines:
            line = _decode_line(raw)
            if isinstance(line, PieceLine):
                self._add_text(line.text)
            self._emit(_line_event(line, self._effect))
            if isinstance(line, EndLine | FailedLine):
                self.is_complete = True
                return

    def _add_text(self, text: str) -> None:
        self._kept_bytes += sys.getsizeof(text)
        self._text_bytes += len(text)
        if self._text_bytes > self._limit_bytes:
            raise msgspec.DecodeError(
                f"the text is longer than {self._limit_bytes} characters"
            )

    def _split(self, piece: bytes) -> list[bytes]:
        """Return the lines that the bytes complete, and keep the rest."""
        # Only new bytes are searched, so that the cost of a long line does
        # not grow with its square.
        if b"\n" not in piece:
            self._partial += piece
            lines: list[bytes] = []
            if self._timer.add_bytes(trio.current_time()):
                raise msgspec.DecodeError("the line has no end")
        else:
            self._timer.reset()
            first, *others, rest = piece.split(b"\n")
            lines = [bytes(self._partial) + first, *others]
            self._partial = bytearray(rest)
        if len(self._partial) > _MAX_LINE_BYTES:
            raise msgspec.DecodeError(
                f"the line is longer than {_MAX_LINE_BYTES} bytes"
            )
        return lines


def _decode_line(raw: bytes) -> _Line:
    try:
        return _line_decoder.decode(raw)
    except RecursionError as exc:
        raise msgspec.DecodeError("the line is nested too deeply") from exc


def pipeline_run(effect: _effects.StartStream) -> PipelineRun:
    """Return the body of the request that starts an attempt."""
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


def stage_report(
    endpoint_id: model.EndpointId, body: bytes
) -> _events.StageReport:
    """Return what a stage has answered to a probe."""
    try:
        attempt = msgspec.json.decode(body, type=AttemptState)
    except (msgspec.DecodeError, RecursionError):
        # The stage is alive but does not implement this request.
        attempt = AttemptState(answers.StreamState.UNREPORTED)
    return _events.StageReport(
        endpoint_id,
        attempt.state,
        attempt.produced,
        attempt.incarnation,
        attempt.received,
    )


def refusal(status: int) -> errors.Failure:
    """Return the failure for an engine's response whose status is not 200."""
    if status in _BUSY_STATUSES:
        return _failures.EndpointBusy()
    if _CLIENT_ERRORS.start <= status < _CLIENT_ERRORS.stop:
        return _failures.EndpointRefused(status)
    return _failures.EndpointFailed(f"the engine answered {status}")


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
