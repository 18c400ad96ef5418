"""Commands about writes that entry VMs propose, and the replies."""

import datetime

import msgspec

from sedgepin import _model as model
from sedgepin._writes import _failures
from sedgepin._writes import _record


class _WriteCommand(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base class of commands about one write.

    The leader sets ``at``.  ``actor`` is the entry VM that proposes it.
    """

    at: datetime.datetime
    actor: str
    customer: model.CustomerId
    key: str
    holder: _record.WriteHolder


class BeginWrite(_WriteCommand, frozen=True, kw_only=True):
    """Requests permission to dispatch the call with this ``digest``."""

    digest: bytes


class FinishWrite(_WriteCommand, frozen=True, kw_only=True):
    """Records that the write ran, with its answer if it is kept."""

    answer: _record.StoredAnswer | None = None


class AbandonWrite(_WriteCommand, frozen=True, kw_only=True):
    """Records that the holder has not dispatched and never will."""


class MarkWriteUnknown(_WriteCommand, frozen=True, kw_only=True):
    """Records that the holder sent the write, with unknown outcome."""


class _Reply(msgspec.Struct, frozen=True, tag=True):
    """Base class of the replies to commands about a write."""


class WriteGranted(_Reply, frozen=True):
    """The holder may dispatch the write, once; no other request may."""


class WriteFinished(_Reply, frozen=True):
    """The write ran; ``answer`` is ``None`` if it was not kept."""

    answer: _record.StoredAnswer | None


class WriteInProgress(_Reply, frozen=True):
    """Another request holds the write and has not finished."""

    holder: _record.WriteHolder


class WriteChanged(_Reply, frozen=True):
    """A finish, abandon or unknown mark was recorded.

    ``state`` is the requested state, so that the reply to one change is not
    mistaken for the reply to another.
    """

    state: _record.WriteState


class WriteRefused(_Reply, frozen=True):
    """The write, or the change to its record, was refused."""

    code: str

    def failure(self) -> _failures.WriteFailure:
        """Return the failure with this code."""
        return _failures.failure_with_code(self.code)


WriteCommand = BeginWrite | FinishWrite | AbandonWrite | MarkWriteUnknown
WriteReply = (
    WriteGranted
    | WriteFinished
    | WriteInProgress
    | WriteChanged
    | WriteRefused
)
