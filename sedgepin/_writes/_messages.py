"""What entries propose about writes, and what they are told."""

import datetime

import msgspec

from sedgepin import _model as model
from sedgepin._writes import _failures
from sedgepin._writes import _record


class _WriteCommand(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The base: which write, by whom, and when the leader took it in."""

    at: datetime.datetime
    actor: str
    customer: model.CustomerId
    key: str
    holder: _record.WriteHolder


class BeginWrite(_WriteCommand, frozen=True, kw_only=True):
    """Asks for permission to dispatch; ``digest`` is that of the body."""

    digest: bytes


class FinishWrite(_WriteCommand, frozen=True, kw_only=True):
    """Records that the write ran, with its answer where it is kept."""

    answer: _record.StoredAnswer | None = None


class AbandonWrite(_WriteCommand, frozen=True, kw_only=True):
    """Records that this request has not dispatched and never will."""


class MarkWriteUnknown(_WriteCommand, frozen=True, kw_only=True):
    """Records that the holder sent the write and cannot tell its end."""


class _Reply(msgspec.Struct, frozen=True, tag=True):
    """The base of what an entry is told of a write."""


class WriteGranted(_Reply, frozen=True):
    """The holder, and nobody else, may dispatch, once."""


class WriteFinished(_Reply, frozen=True):
    """The write ran; without an answer, its answer is not kept."""

    answer: _record.StoredAnswer | None


class WriteInProgress(_Reply, frozen=True):
    """Another request holds the write."""

    holder: _record.WriteHolder


class WriteChanged(_Reply, frozen=True):
    """A finish, abandon or unknown mark is in the record.

    ``state`` is what was asked for, so that the reply to one change is never
    taken for that to another.
    """

    state: _record.WriteState


class WriteRefused(_Reply, frozen=True):
    """The write, or the change to its record, was refused."""

    code: str

    def failure(self) -> _failures.WriteFailure:
        """Return the failure that the code names."""
        return _failures.failure_with_code(self.code)


WriteCommand = BeginWrite | FinishWrite | AbandonWrite | MarkWriteUnknown
WriteReply = (
    WriteGranted
    | WriteFinished
    | WriteInProgress
    | WriteChanged
    | WriteRefused
)
