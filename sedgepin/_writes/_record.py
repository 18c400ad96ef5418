"""What is known of one write: who may dispatch it, and how it ended."""

import datetime
import enum

import msgspec

from sedgepin import _model as model


class WriteHolder(msgspec.Struct, frozen=True, array_like=True):
    """The one request, on one life of one entry VM, that may dispatch."""

    vm_id: model.VmId
    incarnation: model.Incarnation
    request_id: model.RequestId


class Header(msgspec.Struct, frozen=True, array_like=True):
    """One header field of a kept answer, its name in lower case."""

    name: str
    value: str


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint's answer to a write, kept for resends."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""

    @property
    def size_bytes(self) -> int:
        """Return the length of the body and the headers together."""
        headers = sum(
            len(each.name) + len(each.value) for each in self.headers
        )
        return headers + len(self.body)


class WriteState(enum.IntEnum):
    """How far a write has come.

    ``FINISHED`` without an answer means that it ran and that its answer was
    not kept.
    """

    BEGUN = 0
    FINISHED = 1
    UNKNOWN = 2
    ABANDONED = 3


class WriteRecord(msgspec.Struct, frozen=True, array_like=True):
    """One customer's idempotency key and what became of it.

    ``abandoned`` holds the latest requests that gave the key up.  None of
    them is ever granted it again, so a begin that arrives after its abandon
    does no harm.
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
    """How long write records are kept, and how large they may be.

    It is part of the replicated state: control VMs that differed in it would
    purge different records.
    """

    retention: datetime.timedelta = datetime.timedelta(hours=24)
    future_skew: datetime.timedelta = datetime.timedelta(minutes=5)
    answer_limit_bytes: int = 4096
    undated_keys_per_customer: int = 100_000
