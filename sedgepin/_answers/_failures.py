"""Failures of answer assembly."""

import dataclasses
import enum
import typing

from sedgepin import _model as model
from sedgepin import errors


class DropReason(enum.Enum):
    """Why a piece or an end marker was dropped."""

    FOREIGN_REQUEST = "foreign_request"
    OLDER_ATTEMPT = "older_attempt"
    UNKNOWN_ATTEMPT = "unknown_attempt"
    POSITION_HELD = "position_held"
    UNEXPECTED_LINEAGE = "unexpected_lineage"
    BEYOND_WINDOW = "beyond_window"
    BEYOND_LIMIT = "beyond_limit"
    BEYOND_END = "beyond_end"
    CONTRADICTS_END = "contradicts_end"


@dataclasses.dataclass(slots=True, frozen=True)
class PieceDropped(errors.Failure):
    """A piece or end marker was dropped.

    For an end marker, ``position`` is the token count that it carries.
    """

    code: typing.ClassVar[str] = "piece_dropped"
    title: typing.ClassVar[str] = "A piece of an answer was dropped"
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.RAN

    reason: DropReason
    request_id: model.RequestId
    attempt: int
    position: int

    def detail(self) -> str:
        """Return the reason, the attempt and the position."""
        return (
            f"{self.reason.value}: attempt {self.attempt}, "
            f"position {self.position}"
        )


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerClosed(errors.Failure):
    """An attempt was started after the whole answer was delivered."""

    code: typing.ClassVar[str] = "answer_closed"
    title: typing.ClassVar[str] = "The answer is already complete"
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.RAN


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptsExhausted(errors.Failure):
    """The last allowed attempt failed before the end of the answer."""

    code: typing.ClassVar[str] = "attempts_exhausted"
    title: typing.ClassVar[str] = "The answer was cut off too often"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.RAN

    attempts: int
    delivered_tokens: int

    def detail(self) -> str:
        """Return the numbers of failed attempts and delivered tokens."""
        return (
            f"{self.attempts} attempts failed; "
            f"{self.delivered_tokens} tokens were delivered"
        )
