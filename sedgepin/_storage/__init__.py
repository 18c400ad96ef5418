"""Durable storage of the Raft log and its snapshots."""

from sedgepin._storage._disk import Disk
from sedgepin._storage._failures import FolderLocked
from sedgepin._storage._failures import LogDamaged
from sedgepin._storage._failures import LogVersionUnknown
from sedgepin._storage._failures import OpenFailure
from sedgepin._storage._folder_disk import FolderDisk
from sedgepin._storage._folder_disk import FolderLock
from sedgepin._storage._log_store import LogStore
from sedgepin._storage._memory_disk import MemoryDisk
from sedgepin._storage._records import Configuration
from sedgepin._storage._records import DiskId
from sedgepin._storage._records import EntryKind
from sedgepin._storage._records import HardState
from sedgepin._storage._records import LogEntry
from sedgepin._storage._records import MemberId
from sedgepin._storage._records import RecoveredState
from sedgepin._storage._records import Snapshot
from sedgepin._storage._retrying_disk import DiskFull
from sedgepin._storage._retrying_disk import RetryingDisk

__all__ = [
    "Configuration",
    "Disk",
    "DiskFull",
    "DiskId",
    "EntryKind",
    "FolderDisk",
    "FolderLock",
    "FolderLocked",
    "HardState",
    "LogDamaged",
    "LogEntry",
    "LogStore",
    "LogVersionUnknown",
    "MemberId",
    "MemoryDisk",
    "OpenFailure",
    "RecoveredState",
    "RetryingDisk",
    "Snapshot",
]
