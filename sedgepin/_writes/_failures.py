"""Failures of writes and of changes to their records."""

import dataclasses
import datetime
import typing

from sedgepin import errors

_RETRY_DELAY = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class WriteFailure(errors.Failure):
    """Base class of the failures of writes."""

    code: typing.ClassVar[str] = "write_failure"


@dataclasses.dataclass(slots=True, frozen=True)
class _TransientWriteFailure(WriteFailure):
    """Base class of failures after which a resend is expected to help."""

    http_status: typing.ClassVar[int] = 503

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return the time after which the caller should retry."""
        return _RETRY_DELAY


@dataclasses.dataclass(slots=True, frozen=True)
class IdempotencyKeyReused(WriteFailure):
    """The key was used before with another method, path or body."""

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
    """The key is older than the retention of write records.

    This request was not run, but an earlier one with the same key may have
    been.  The outcome is unknown, so that callers do not take it as safe to
    retry with a new key.
    """

    code: typing.ClassVar[str] = "idempotency_key_too_old"
    title: typing.ClassVar[str] = "The key is older than records are kept"
    http_status: typing.ClassVar[int] = 410
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


@dataclasses.dataclass(slots=True, frozen=True)
class KeyFutureDated(WriteFailure):
    """The date in the key is too far in the future."""

    code: typing.ClassVar[str] = "idempotency_key_future_dated"
    title: typing.ClassVar[str] = "The key's date is in the future"
    http_status: typing.ClassVar[int] = 422


@dataclasses.dataclass(slots=True, frozen=True)
class UndatedKeysFull(WriteFailure):
    """The customer has reached its limit of undated keys.

    Their records are kept for good, except those of abandoned writes.
    """

    code: typing.ClassVar[str] = "undated_keys_full"
    title: typing.ClassVar[str] = "Too many keys that carry no date"
    http_status: typing.ClassVar[int] = 422


@dataclasses.dataclass(slots=True, frozen=True)
class OutcomeUnknown(WriteFailure):
    """The write was sent, and it cannot be known whether it ran."""

    code: typing.ClassVar[str] = "outcome_unknown"
    title: typing.ClassVar[str] = "It is not known whether the write ran"
    http_status: typing.ClassVar[int] = 502
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerNotKept(WriteFailure):
    """The write ran, but its answer was too large or too old to be kept."""

    code: typing.ClassVar[str] = "answer_not_kept"
    title: typing.ClassVar[str] = "The write ran; its answer is not kept"
    http_status: typing.ClassVar[int] = 409
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.RAN


@dataclasses.dataclass(slots=True, frozen=True)
class StillInProgress(_TransientWriteFailure):
    """Another request with the same key has not finished yet."""

    code: typing.ClassVar[str] = "write_in_progress"
    title: typing.ClassVar[str] = "The write is still in progress"
    http_status: typing.ClassVar[int] = 409
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


@dataclasses.dataclass(slots=True, frozen=True)
class ControlUnavailable(_TransientWriteFailure):
    """No quorum of control VMs granted permission to dispatch in time."""

    code: typing.ClassVar[str] = "control_unavailable"
    title: typing.ClassVar[str] = "Writes cannot be recorded at present"


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointNotReached(_TransientWriteFailure):
    """No byte reached an endpoint, or it refused before running the call."""

    code: typing.ClassVar[str] = "endpoint_not_reached"
    title: typing.ClassVar[str] = "No endpoint took the write"


@dataclasses.dataclass(slots=True, frozen=True)
class HolderLost(_TransientWriteFailure):
    """This incarnation of the requesting entry VM was declared lost."""

    code: typing.ClassVar[str] = "holder_lost"
    title: typing.ClassVar[str] = "This entry VM was declared lost"


@dataclasses.dataclass(slots=True, frozen=True)
class WriteAbandoned(_TransientWriteFailure):
    """The requesting holder has already abandoned the write."""

    code: typing.ClassVar[str] = "write_abandoned"
    title: typing.ClassVar[str] = "The request was given up before"


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeRefused(WriteFailure):
    """A finish, abandon or unknown mark contradicts the write record."""

    code: typing.ClassVar[str] = "write_change_refused"
    title: typing.ClassVar[str] = "The record says otherwise"
    http_status: typing.ClassVar[int] = 409
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN


_FAILURES_BY_CODE: dict[str, type[WriteFailure]] = {
    failure.code: failure
    for failure in (
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
    """Return the failure with the ``code`` of a reply.

    A code unknown to this release means an unknown outcome, which is the only
    safe interpretation.
    """
    return _FAILURES_BY_CODE.get(code, OutcomeUnknown)()
