"""A replicated log: Raft as a reducer, without I/O or a clock of its own."""

from sedgepin._consensus._effects import ApplyEntry
from sedgepin._consensus._effects import Effect
from sedgepin._consensus._effects import NotifyLeaderChange
from sedgepin._consensus._effects import NotifyMemberChange
from sedgepin._consensus._effects import Persist
from sedgepin._consensus._effects import PersistSnapshot
from sedgepin._consensus._effects import RejectProposal
from sedgepin._consensus._effects import RequestSnapshot
from sedgepin._consensus._effects import RestoreSnapshot
from sedgepin._consensus._effects import SendMessage
from sedgepin._consensus._events import CommandsProposed
from sedgepin._consensus._events import Event
from sedgepin._consensus._events import LeadershipTransferRequested
from sedgepin._consensus._events import MemberAction
from sedgepin._consensus._events import MemberChangeProposed
from sedgepin._consensus._events import PeerMessageReceived
from sedgepin._consensus._events import Proposal
from sedgepin._consensus._events import SnapshotTaken
from sedgepin._consensus._events import StorageFilled
from sedgepin._consensus._events import StorageFreed
from sedgepin._consensus._events import TimerFired
from sedgepin._consensus._failures import LeaseLost
from sedgepin._consensus._failures import MemberChangeRefused
from sedgepin._consensus._failures import NotLeader
from sedgepin._consensus._failures import RefusalReason
from sedgepin._consensus._failures import TooManyProposals
from sedgepin._consensus._messages import RaftMessage
from sedgepin._consensus._node import RaftNode
from sedgepin._consensus._settings import RaftSettings

__all__ = [
    "ApplyEntry",
    "CommandsProposed",
    "Effect",
    "Event",
    "LeadershipTransferRequested",
    "LeaseLost",
    "MemberAction",
    "MemberChangeProposed",
    "MemberChangeRefused",
    "NotLeader",
    "NotifyLeaderChange",
    "NotifyMemberChange",
    "PeerMessageReceived",
    "Persist",
    "PersistSnapshot",
    "Proposal",
    "RaftMessage",
    "RaftNode",
    "RaftSettings",
    "RefusalReason",
    "RejectProposal",
    "RequestSnapshot",
    "RestoreSnapshot",
    "SendMessage",
    "SnapshotTaken",
    "StorageFilled",
    "StorageFreed",
    "TimerFired",
    "TooManyProposals",
]
