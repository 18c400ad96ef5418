"""The record of one write: who may dispatch it and how it ended."""

import datetime
import enum

import msgspec

from sedgepin import _model as model


class WriteHolder(msgspec.Struct, frozen=True, array_like=True):
    """The only request that may dispatch a write.

    It belongs to one incarnation of one entry VM.
    """

    vm_id: model.VmId
    incarnation: model.Incarnation
    request_id: model.RequestId


class Header(msgspec.Struct, frozen=True, array_like=True):
    """One header field of a stored answer, with its name in lower case."""

    name: str
    value: str


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint's answer to a write, stored for resends."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""

    @property
    def size_bytes(self) -> int:
        """Return the total length of body and headers, in bytes."""
        headers = sum(
            len(header.name) + len(header.value) for header in self.headers
        )
        return headers + len(self.body)


class WriteState(enum.IntEnum):
    """State of a write.

    ``FINISHED`` without an answer means that the write ran but its answer was
    not kept.
    """

    BEGUN = 0
    FINISHED = 1
    UNKNOWN = 2
    ABANDONED = 3


class WriteRecord(msgspec.Struct, frozen=True, array_like=True):
    """The state of the write under one customer's idempotency key.

    ``abandoned`` are the latest holders that abandoned the key.  They are
    never granted it again, so a begin that arrives after its abandon has no
    effect.
    """

    customer: model.CustomerId
    key: str
    digest: bytes
    state: WriteState
    holder: WriteHolder
    changed_milliseconds: int
    answer: StoredAnswer | None = None
    abandoned: tuple[WriteHolder, ...] = ()


class WritePolicy(msgspec.Struct, frozen=True):
    """Retention and limits of write records.

    The policy is part of the replicated state, because control VMs with
    different policies would purge different records.  Dated keys are refused
    if they are older than ``retention`` or more than ``future_skew`` ahead.
    """

    retention: datetime.timedelta = datetime.timedelta(hours=24)
    future_skew: datetime.timedelta = datetime.timedelta(minutes=5)
    answer_limit_bytes: int = 4096
    undated_keys_per_customer: int = 100_000
