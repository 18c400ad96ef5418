"""What members say to each other.

The messages are those of the Raft algorithm (Ongaro, "Consensus: Bridging
Theory and Practice", 2014), with pre-vote, and two by which a member finds
its cluster.
"""

import typing

import msgspec

from sedgepin import _storage as storage


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Stands at the head of each message.

    ``recipient_disk`` keeps a message meant for a lost disk from reaching
    the new one; 0 means any.  ``cluster_id`` keeps clusters apart.
    """

    term: int
    cluster_id: int
    sender_disk: storage.DiskId
    recipient_disk: storage.DiskId


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a vote, or with ``is_pre`` whether one would be given.

    ``is_transfer`` says that the leader gave up its lease and asked for
    this election.
    """

    header: Header
    is_pre: bool
    last_index: int
    last_term: int
    is_transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a ``VoteRequest`` that asked for ``asked_term``."""

    header: Header
    is_pre: bool
    asked_term: int
    is_granted: bool


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Entries after ``prev_index``; without entries a heartbeat.

    ``stamp_microseconds`` is the leader's clock at sending.  Only the
    leader reads it, when it comes back.
    """

    header: Header
    prev_index: int
    prev_term: int
    commit_index: int
    stamp_microseconds: int
    entries: tuple[storage.LogEntry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Says up to where the logs agree.

    With ``is_accepted`` the logs agree up to ``index``; without, the sender
    proposes ``index`` as the last one that may agree.
    """

    header: Header
    is_accepted: bool
    index: int
    stamp_microseconds: int


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Part of a snapshot; empty ``data`` asks how much has arrived."""

    header: Header
    index: int
    term: int
    configuration: storage.Configuration
    total_bytes: int
    offset_bytes: int
    stamp_microseconds: int
    data: bytes = b""


class SnapshotReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Says how much of a snapshot has arrived."""

    header: Header
    index: int
    received_bytes: int
    stamp_microseconds: int


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The leader gave up its lease: start an election at once."""

    header: Header


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A member that is no voter and hears no leader looks for one."""

    header: Header


class JoinReply(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Says whether the one who answers is empty as well."""

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
