"""Why a write was not answered with its endpoint's answer."""

import dataclasses
import datetime
import typing

from sedgepin import errors

_SOON = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class WriteFailure(errors.Failure):
    """The base of the failures of writes."""

    code: typing.ClassVar[str] = "write_failure"


@dataclasses.dataclass(slots=True, frozen=True)
class _TransientWriteFailure(WriteFailure):
    """A failure after which the same call may be sent again shortly."""

    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return how long to wait before asking again."""
        return _SOON


@dataclasses.dataclass(slots=True, frozen=True)
class IdempotencyKeyReused(WriteFailure):
    """The key came before with another body."""

    code: typing.ClassVar[str] = "idempotency_key_reused"
    title: typing.ClassVar[str] = "The key was used with another body"
    http_status: typing.ClassVar[int] = 409


@dataclasses.dataclass(slots=True, frozen=True)
class KeyMalformed(WriteFailure):
    """The key is empty or too long."""

    code: typing.ClassVar[str] = "idempotency_key_malformed"
    title: typing.ClassVar[str] = "The idempotency key is empty or too long"
    http_status: typing.ClassVar[int] = 400


@dataclasses.dataclass(slots=True, frozen=True)
class KeyTooOld(WriteFailure):
    """The key is older than write records are kept.

    This request was not run, but an earlier one under its key may have been:
    the outcome is unknown, so that nobody takes it for permission to make a
    new key.
    """

    code: typing.ClassVar[str] = "idempotency_key_too_old"
    title: typing.ClassVar[str] = "The key is older than records are kept"
    http_status: typing.ClassVar[int] = 410
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


@dataclasses.dataclass(slots=True, frozen=True)
class KeyFutureDated(WriteFailure):
    """The key carries a date in the future."""

    code: typing.ClassVar[str] = "idempotency_key_future_dated"
    title: typing.ClassVar[str] = "The key's date is in the future"
    http_status: typing.ClassVar[int] = 422


@dataclasses.dataclass(slots=True, frozen=True)
class UndatedKeysFull(WriteFailure):
    """The customer has as many undated keys as are kept for good."""

    code: typing.ClassVar[str] = "undated_keys_full"
    title: typing.ClassVar[str] = "Too many keys that carry no date"
    http_status: typing.ClassVar[int] = 422


@dataclasses.dataclass(slots=True, frozen=True)
class OutcomeUnknown(WriteFailure):
    """The write was sent, and nobody knows whether it ran."""

    code: typing.ClassVar[str] = "outcome_unknown"
    title: typing.ClassVar[str] = "It is not known whether the write ran"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerNotKept(WriteFailure):
    """The write ran, and its answer was too large or too old to keep."""

    code: typing.ClassVar[str] = "answer_not_kept"
    title: typing.ClassVar[str] = "The write ran; its answer is not kept"
    http_status: typing.ClassVar[int] = 409
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.RAN


@dataclasses.dataclass(slots=True, frozen=True)
class StillInProgress(_TransientWriteFailure):
    """Another request with the same key has not ended yet."""

    code: typing.ClassVar[str] = "write_in_progress"
    title: typing.ClassVar[str] = "The write is still in progress"
    http_status: typing.ClassVar[int] = 409
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


@dataclasses.dataclass(slots=True, frozen=True)
class ControlUnavailable(_TransientWriteFailure):
    """No quorum of control VMs gave permission to dispatch in time."""

    code: typing.ClassVar[str] = "control_unavailable"
    title: typing.ClassVar[str] = "Writes cannot be recorded at present"


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointNotReached(_TransientWriteFailure):
    """No byte reached an endpoint, or it refused before running."""

    code: typing.ClassVar[str] = "endpoint_not_reached"
    title: typing.ClassVar[str] = "No endpoint took the write"


@dataclasses.dataclass(slots=True, frozen=True)
class HolderLost(_TransientWriteFailure):
    """The entry VM that asks has been declared lost in this incarnation."""

    code: typing.ClassVar[str] = "holder_lost"
    title: typing.ClassVar[str] = "This entry VM was declared lost"


@dataclasses.dataclass(slots=True, frozen=True)
class WriteAbandoned(_TransientWriteFailure):
    """The request that asks has given its write up before."""

    code: typing.ClassVar[str] = "write_abandoned"
    title: typing.ClassVar[str] = "The request was given up before"


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeRefused(WriteFailure):
    """A finish, abandon or unknown mark that the record contradicts."""

    code: typing.ClassVar[str] = "write_change_refused"
    title: typing.ClassVar[str] = "The record says otherwise"
    http_status: typing.ClassVar[int] = 409
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


_BY_CODE: dict[str, type[WriteFailure]] = {
    kind.code: kind
    for kind in (
        AnswerNotKept,
        ChangeRefused,
        ControlUnavailable,
        EndpointNotReached,
        HolderLost,
        IdempotencyKeyReused,
        KeyFutureDated,
        KeyMalformed,
        KeyTooOld,
        OutcomeUnknown,
        StillInProgress,
        UndatedKeysFull,
        WriteAbandoned,
    )
}


def failure_with_code(code: str) -> WriteFailure:
    """Return the failure that a reply names.

    A code that a later release made up stands for an unknown outcome, the
    only reading that is safe whatever it means.
    """
    return _BY_CODE.get(code, OutcomeUnknown)()
