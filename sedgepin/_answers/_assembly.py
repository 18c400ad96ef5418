"""Assembles one answer from the pieces of all its attempts.

Every piece carries its request, attempt and position.  The pieces delivered
to the caller are always a prefix of one answer, without duplicates, gaps or
pieces of other requests.
"""

import collections
import dataclasses
import datetime
import enum

import result

from sedgepin._answers import _failures
from sedgepin import _model as model
from sedgepin import errors

MAX_BUFFERED_PIECES = 64


class FinishReason(enum.Enum):
    """Why an engine ended an answer, as its end marker reports it."""

    STOP = "stop"
    LENGTH = "length"


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerComplete:
    """All tokens that the end marker counts were delivered."""

    token_count: int
    finish_reason: FinishReason


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerIncomplete:
    """The end marker arrived, but tokens from ``next_position`` on did not."""

    next_position: int
    token_count: int


AnswerEnd = AnswerComplete | AnswerIncomplete


@dataclasses.dataclass(slots=True, frozen=True)
class ResumePoint:
    """The position from which the next attempt generates tokens.

    ``delivered`` holds the texts of the tokens at positions 0 up to, and
    not including, ``next_position``: they are prefilled after the prompt
    and never generated again.  ``tokens_left`` is the number of tokens
    that may still be generated.
    """

    next_position: int
    delivered: tuple[str, ...]
    tokens_left: int

    @property
    def text(self) -> str:
        """Return the concatenated texts of the delivered tokens."""
        return "".join(self.delivered)


class AnswerAssembly:
    """The state of one answer, from its first attempt to its end.

    ``start_attempt`` starts an attempt and discards the buffered pieces of
    the one before, because the new attempt may sample other tokens at these
    positions.  ``drop_counts`` counts the dropped pieces and end markers.

    >>> import datetime
    >>> now = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    >>> layers = model.LayerRange(0, 4)
    >>> stage = model.Stage(model.EndpointId("e"), "http://127.0.0.1", layers)
    >>> assembly = AnswerAssembly(model.RequestId("r"), limit_tokens=8)
    >>> attempt = assembly.start_attempt(model.Pipeline((stage,)), now)
    >>> lineage = (model.StageMark(stage.endpoint_id, layers),)
    >>> piece = model.TokenPiece(
    ...     assembly.request_id, attempt, 0, "Bonjour", lineage
    ... )
    >>> assembly.accept(piece, now).unwrap() == (piece,)
    True
    """

    __slots__ = (
        "request_id",
        "limit_tokens",
        "attempt",
        "pipeline",
        "drop_counts",
        "last_progress_at",
        "_attempt_open",
        "_lineage",
        "_delivered",
        "_buffered",
        "_end",
    )

    def __init__(self, request_id: model.RequestId, limit_tokens: int) -> None:
        self.request_id = request_id
        self.limit_tokens = limit_tokens
        self.attempt = 0
        self.pipeline: model.Pipeline | None = None
        self.drop_counts: collections.Counter[_failures.DropReason] = (
            collections.Counter()
        )
        self.last_progress_at: datetime.datetime | None = None
        self._attempt_open = False
        self._lineage: tuple[model.StageMark, ...] = ()
        self._delivered: list[str] = []
        self._buffered: dict[int, model.TokenPiece] = {}
        self._end: AnswerComplete | None = None

    @property
    def next_position(self) -> int:
        """Return the position of the next token to deliver."""
        return len(self._delivered)

    @property
    def buffered_count(self) -> int:
        """Return how many pieces are buffered until an earlier one arrives."""
        return len(self._buffered)

    @property
    def completion(self) -> AnswerComplete | None:
        """Return the end of the answer, or None until all is delivered."""
        end = self._end
        if end is not None and end.token_count == len(self._delivered):
            return end
        return None

    @property
    def resume_point(self) -> ResumePoint:
        """Return the position from which another attempt has to continue."""
        next_position = len(self._delivered)
        return ResumePoint(
            next_position,
            tuple(self._delivered),
            self.limit_tokens - next_position,
        )

    def start_attempt(
        self, pipeline: model.Pipeline, now: datetime.datetime
    ) -> int:
        """Start the next attempt over ``pipeline`` and return its number.

        It must not be called after the answer is complete; it raises
        ``FailureRaised`` with ``AnswerClosed`` then.
        """
        if self.completion is not None:
            raise errors.FailureRaised(_failures.AnswerClosed())
        self.attempt += 1
        self.pipeline = pipeline
        self.last_progress_at = now
        self._lineage = tuple(
            model.StageMark(stage.endpoint_id, stage.layers)
            for stage in pipeline.stages
        )
        self._attempt_open = True
        self._buffered.clear()
        self._end = None
        return self.attempt

    def close_attempt(self, attempt: int, now: datetime.datetime) -> None:
        """Close an attempt, so that its later pieces are dropped.

        Closing an earlier attempt has no effect.
        """
        if attempt == self.attempt:
            self._attempt_open = False
            self._buffered.clear()

    def accept(
        self, piece: model.TokenPiece, now: datetime.datetime
    ) -> result.Result[tuple[model.TokenPiece, ...], _failures.PieceDropped]:
        """Return the pieces that may be delivered now that one has arrived.

        The tuple is empty if the piece is buffered until an earlier one
        arrives.
        """
        reason = self._reason_to_drop(piece)
        if reason is not None:
            return self._drop(reason, piece.attempt, piece.position)
        if piece.position != len(self._delivered):
            self._buffered[piece.position] = piece
            return result.Ok(())
        self._delivered.append(piece.text)
        self.last_progress_at = now
        if not self._buffered:
            return result.Ok((piece,))
        return result.Ok((piece, *self._release_buffered()))

    def accept_end(
        self,
        attempt: int,
        token_count: int,
        finish_reason: FinishReason,
    ) -> result.Result[AnswerEnd, _failures.PieceDropped]:
        """Accept the end marker of an attempt.

        ``token_count`` is the length of the whole answer, from position 0.
        Pieces that arrive later may complete an incomplete answer, so check
        ``completion`` after each.  A marker that contradicts the pieces
        received, or an earlier marker, is dropped.
        """
        reason = self._reason_to_drop_end(attempt, token_count)
        if reason is not None:
            return self._drop(reason, attempt, token_count)
        self._end = AnswerComplete(token_count, finish_reason)
        if self.completion is not None:
            return result.Ok(self._end)
        return result.Ok(AnswerIncomplete(self.next_position, token_count))

    def complete_at_limit(self) -> AnswerComplete | None:
        """Complete an answer that has reached its token limit.

        If an attempt fails after the last allowed token was delivered and
        before the end marker arrived, there is nothing left to generate.
        Returns None if the answer is shorter than the limit.
        """
        if len(self._delivered) != self.limit_tokens:
            return None
        if self._end is None:
            self._end = AnswerComplete(self.limit_tokens, FinishReason.LENGTH)
        return self.completion

    def _reason_to_drop(
        self, piece: model.TokenPiece
    ) -> _failures.DropReason | None:
        reasons = _failures.DropReason
        if piece.request_id != self.request_id:
            return reasons.FOREIGN_REQUEST
        if piece.attempt != self.attempt or not self._attempt_open:
            return self._reason_for_attempt(piece.attempt)
        if piece.lineage != self._lineage:
            return reasons.UNEXPECTED_LINEAGE
        position = piece.position
        next_position = len(self._delivered)
        if position < next_position or position in self._buffered:
            return reasons.POSITION_HELD
        if position >= self.limit_tokens:
            return reasons.BEYOND_LIMIT
        if self._end is not None and position >= self._end.token_count:
            return reasons.BEYOND_END
        if position - next_position > MAX_BUFFERED_PIECES:
            return reasons.BEYOND_WINDOW
        return None

    def _reason_for_attempt(self, attempt: int) -> _failures.DropReason:
        if attempt <= self.attempt:
            return _failures.DropReason.OLDER_ATTEMPT
        return _failures.DropReason.UNKNOWN_ATTEMPT

    def _reason_to_drop_end(
        self, attempt: int, token_count: int
    ) -> _failures.DropReason | None:
        if attempt != self.attempt or not self._attempt_open:
            return self._reason_for_attempt(attempt)
        if token_count > self.limit_tokens:
            return _failures.DropReason.BEYOND_LIMIT
        buffered_end = max(self._buffered, default=-1) + 1
        if token_count < max(len(self._delivered), buffered_end):
            return _failures.DropReason.CONTRADICTS_END
        if self._end is not None and token_count != self._end.token_count:
            return _failures.DropReason.CONTRADICTS_END
        return None

    def _drop(
        self, reason: _failures.DropReason, attempt: int, position: int
    ) -> result.Err[_failures.PieceDropped]:
        self.drop_counts[reason] += 1
        return result.Err(
            _failures.PieceDropped(reason, self.request_id, attempt, position)
        )

    def _release_buffered(self) -> list[model.TokenPiece]:
        released = []
        while (
            piece := self._buffered.pop(len(self._delivered), None)
        ) is not None:
            self._delivered.append(piece.text)
            released.append(piece)
        return released
