"""A disk in memory that runs out of space for a while."""

import errno
import os
import random

from sedgepin import _storage as storage


class FullDisk(storage.MemoryDisk):
    """Refuses writes while ``is_full``; a refused append leaves a torn end.

    With ``syncs_fail_only`` writes succeed and syncs are refused, as on a file
    system that allocates space late.  What a refused sync has covered counts
    as written from then on, though it never reaches the disk: a later sync of
    the same bytes succeeds and a crash turns them to zeros.
    """

    __slots__ = (
        "_lost_ranges",
        "is_full",
        "refused_count",
        "syncs_fail_only",
        "truncation_fails",
    )

    def __init__(self) -> None:
        super().__init__()
        self.is_full = False
        self.syncs_fail_only = False
        self.truncation_fails = False
        self.refused_count = 0
        self._lost_ranges: dict[str, tuple[int, int]] = {}

    def append(self, name: str, data: bytes) -> None:
        """Append ``data``, or a part of it if the disk is full."""
        if self.is_full and not self.syncs_fail_only:
            super().append(name, data[: len(data) // 2])
            self._refuse()
        super().append(name, data)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file, unless the disk is full."""
        if self.is_full:
            self._refuse()
        self._lost_ranges.pop(name, None)
        super().replace(name, data)

    def overwrite(self, name: str, offset_bytes: int, data: bytes) -> None:
        """Write ``data`` over that part, unless the disk is full."""
        if self.is_full and not self.syncs_fail_only:
            self._refuse()
        super().overwrite(name, offset_bytes, data)
        start, end = self._lost_ranges.get(name, (0, 0))
        if offset_bytes <= start and end <= offset_bytes + len(data):
            self._lost_ranges.pop(name, None)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file; what a refused sync had lost is cut off."""
        if self.is_full and self.truncation_fails:
            self._refuse()
        super().truncate(name, size_bytes)
        start, end = self._lost_ranges.pop(name, (0, 0))
        if start < min(end, size_bytes):
            self._lost_ranges[name] = (start, min(end, size_bytes))

    def sync(self, name: str) -> None:
        """Make writes durable, except those lost in a refused sync."""
        if self.is_full:
            size_bytes = len(self._written[name])
            self._lost_ranges[name] = (
                len(self._durable.get(name, b"")),
                size_bytes,
            )
            self._refuse()
        super().sync(name)
        start, end = self._lost_ranges.get(name, (0, 0))
        durable = self._durable[name]
        self._durable[name] = (
            durable[:start] + bytes(end - start) + durable[end:]
        )

    def crash(self, rng: random.Random) -> None:
        """Simulate a power loss, as ``MemoryDisk`` does."""
        super().crash(rng)
        self._lost_ranges.clear()

    def lose_power(self) -> None:
        """Leave only what is durable."""
        self._written = dict(self._durable)
        self._lost_ranges.clear()

    def _refuse(self) -> None:
        self.refused_count += 1
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
