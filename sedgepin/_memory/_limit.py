"""How much of a VM's memory may be held for callers and endpoints."""

import os

# The rest is for the program, its state and the objects of open requests.
_HELD_SHARE = 0.2


def held_bytes_for(memory_bytes: int) -> int:
    """Return the limit of a process that may use ``memory_bytes``.

    >>> held_bytes_for(200_000_000)
    40000000
    """
    return int(memory_bytes * _HELD_SHARE)


def default_held_bytes() -> int:
    """Return the limit of a process that has its VM to itself."""
    pages = os.sysconf("SC_PHYS_PAGES")
    return held_bytes_for(pages * os.sysconf("SC_PAGE_SIZE"))
