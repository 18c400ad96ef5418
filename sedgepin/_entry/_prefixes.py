"""Names of a prompt's prefixes, as engines name them in cache events.

The prompt is cut into blocks of ``BLOCK_CHARACTERS``.  The name of a prefix
is the BLAKE2b digest of all of its characters in UTF-8, so holding one block
implies all before it.
"""

import hashlib

BLOCK_CHARACTERS = 256
_DIGEST_BYTES = 8
_BLOCKS_LIMIT = 128


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return the names of the whole blocks of ``prompt``, shortest first.

    >>> len(prefix_hashes("a" * 600))
    2
    """
    running = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    names = []
    blocks = min(len(prompt) // BLOCK_CHARACTERS, _BLOCKS_LIMIT)
    for block in range(blocks):
        start = block * BLOCK_CHARACTERS
        running.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        names.append(running.copy().hexdigest())
    return tuple(names)
