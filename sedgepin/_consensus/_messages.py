"""Messages between members.

They are those of Raft (Ongaro, "Consensus: Bridging Theory and Practice",
2014) with pre-vote, plus ``JoinRequest`` and ``JoinReply``, by which a member
finds its cluster.
"""

import typing

import msgspec

from sedgepin import _storage as storage


class Header(msgspec.Struct, frozen=True, array_like=True):
    """The fields that all messages have in common.

    A member ignores messages whose ``recipient_disk`` is not its own, so
    that a message to a lost disk does not reach its replacement; in a
    ``JoinRequest`` it is 0 for any disk.  It also ignores messages of
    another cluster.
    """

    term: int
    cluster_id: int
    sender_disk: storage.DiskId
    recipient_disk: storage.DiskId


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Requests a vote, or a pre-vote if ``is_pre`` is set.

    ``is_transfer`` is set if the leader released its lease and asked for
    this election.
    """

    header: Header
    is_pre: bool
    last_index: int
    last_term: int
    is_transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to a ``VoteRequest`` for ``asked_term``."""

    header: Header
    is_pre: bool
    asked_term: int
    is_granted: bool


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Entries after ``prev_index``; a heartbeat if there are none.

    ``stamp_microseconds`` is the leader's clock at sending.  The reply
    echoes it, and only the leader interprets it.
    """

    header: Header
    prev_index: int
    prev_term: int
    commit_index: int
    stamp_microseconds: int
    entries: tuple[storage.LogEntry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The answer to an ``AppendRequest``, or to a completed snapshot.

    If accepted, the logs match up to ``index``.  Otherwise ``index`` is the
    last one that may match, or 0 if the request was of an earlier term.
    """

    header: Header
    is_accepted: bool
    index: int
    stamp_microseconds: int


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Part of a snapshot; empty ``data`` probes how much was received."""

    header: Header
    index: int
    term: int
    configuration: storage.Configuration
    total_bytes: int
    offset_bytes: int
    stamp_microseconds: int
    data: bytes = b""


class SnapshotReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The number of bytes of a snapshot received so far."""

    header: Header
    index: int
    received_bytes: int
    stamp_microseconds: int


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Tells the transfer target to start an election at once.

    The leader has released its lease before it sends this.
    """

    header: Header


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A request to join the cluster, sent by a member without a leader."""

    header: Header


class JoinReply(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The answer to a ``JoinRequest``.

    ``is_blank`` is set if the log of the replying member is empty.
    """

    header: Header
    is_blank: bool


RaftMessage: typing.TypeAlias = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
    | JoinRequest
    | JoinReply
)
