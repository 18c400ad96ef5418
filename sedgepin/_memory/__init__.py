"""One bound for the bytes that a process holds for callers and endpoints."""

from sedgepin._memory._budget import Account
from sedgepin._memory._budget import Eviction
from sedgepin._memory._budget import HolderKind
from sedgepin._memory._budget import MemoryBudget
from sedgepin._memory._failures import MemoryExhausted
from sedgepin._memory._limit import default_held_bytes
from sedgepin._memory._limit import held_bytes_for

__all__ = [
    "Account",
    "Eviction",
    "HolderKind",
    "MemoryBudget",
    "MemoryExhausted",
    "default_held_bytes",
    "held_bytes_for",
]
