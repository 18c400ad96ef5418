"""Settings of admission."""

import datetime
import typing

import msgspec

_Positive = typing.Annotated[int, msgspec.Meta(ge=1)]
_Rate = typing.Annotated[float, msgspec.Meta(gt=0)]


class CustomerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one customer may use on one entry VM.

    ``weight`` is its share against the other customers.  Without
    ``tokens_per_second`` its rate is bounded by its share alone;
    ``burst_seconds`` of that rate may be used at once.
    """

    weight: _Rate = 1.0
    open_requests: _Positive = 1024
    queued_requests: _Positive = 256
    tokens_per_second: _Rate | None = None
    burst_seconds: _Rate = 10.0


class AdmissionSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Limits of one entry VM.

    ``quantum_tokens`` is what a customer of weight 1 may start in one round.
    A customer that stays below its share saves up to ``saved_rounds`` of
    them, so that its own bursts go before those that are always busy.  A
    request may be predicted to wait for ``wait_share`` of the time that its
    deadline leaves; the rest is for predictions that prove too short, so
    that few are refused after they have waited.
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
