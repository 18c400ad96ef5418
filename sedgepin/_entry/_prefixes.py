"""Hashes of a prompt's prefixes, as engines report them in cache events.

The prompt is divided into blocks of ``BLOCK_CHARACTERS``.  The hash of a
prefix is the BLAKE2b digest of all of its characters in UTF-8, so an engine
that reports the hash of a prefix caches all blocks of that prefix.
"""

import hashlib

BLOCK_CHARACTERS = 256
_DIGEST_BYTES = 8
_MAX_BLOCKS = 128


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return one hash for each complete block, shortest prefix first.

    A prompt has at most ``_MAX_BLOCKS`` hashes.

    >>> len(prefix_hashes("a" * 600))
    2
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    hashes = []
    block_count = min(len(prompt) // BLOCK_CHARACTERS, _MAX_BLOCKS)
    for block in range(block_count):
        start = block * BLOCK_CHARACTERS
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(digest.copy().hexdigest())
    return tuple(hashes)
