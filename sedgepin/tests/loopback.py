"""Loopback addresses that no other run of the tests uses meanwhile."""

import socket

_GUARD_PORT = 27_001
_BLOCKS = range(100, 200)


def _claim_block() -> tuple[int, socket.socket]:
    for block in _BLOCKS:
        guard = socket.socket()
        try:
            guard.bind((f"127.{block}.0.1", _GUARD_PORT))
        except OSError:
            guard.close()
            continue
        return block, guard
    raise RuntimeError(f"all blocks from 127.{_BLOCKS[0]} on are in use")


# The second byte of this process's addresses. The bound socket keeps other
# processes from choosing the same.
BLOCK, _guard = _claim_block()


def address(third_byte: int, number: int) -> str:
    """Return an address of this process's block.

    >>> address(71, 1)
    '127.100.71.1'
    """
    return f"127.{BLOCK}.{third_byte}.{number}"
