"""Settings of admission control."""

import datetime
import typing

import msgspec

_Positive = typing.Annotated[int, msgspec.Meta(ge=1)]
_Rate = typing.Annotated[float, msgspec.Meta(gt=0)]


class CustomerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one customer on one entry VM.

    ``weight`` is its share relative to other customers.  Without
    ``tokens_per_second`` only this share limits its rate; with it, the
    tokens of up to ``burst_seconds`` may be used at once.
    """

    weight: _Rate = 1.0
    open_requests: _Positive = 1024
    queued_requests: _Positive = 256
    tokens_per_second: _Rate | None = None
    burst_seconds: _Rate = 10.0


class AdmissionSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Limits of admission control on one entry VM.

    ``default`` applies to every customer not listed in ``customers``.
    ``queued_requests`` limits the queued requests of all customers together.
    ``quantum_tokens`` are the tokens that a customer of weight 1 may start in
    one round.  A customer that stays below its share saves up to
    ``saved_rounds`` rounds, so that its bursts run before the requests of
    customers that are always active.  A request is queued only if its
    predicted wait is at most ``wait_share`` of the time left before its
    latest start; the rest is a margin for predictions that are too short, so
    that few requests are refused after waiting.

    A delay that a refused caller is told to wait is at least
    ``retry_after_floor``, and at most ``retry_after_ceiling`` if it is
    predicted from the queue.  It is then multiplied by a random factor from 1
    to 1 + ``retry_after_jitter``, so that callers refused together do not
    retry together.
    """

    default: CustomerLimits = CustomerLimits()
    customers: dict[str, CustomerLimits] = msgspec.field(default_factory=dict)
    queued_requests: _Positive = 1024
    quantum_tokens: _Positive = 512
    saved_rounds: _Positive = 8
    wait_share: typing.Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.5
    retry_after_floor: datetime.timedelta = datetime.timedelta(seconds=1)
    retry_after_ceiling: datetime.timedelta = datetime.timedelta(seconds=60)
    retry_after_jitter: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5
