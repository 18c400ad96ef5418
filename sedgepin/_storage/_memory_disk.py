"""An in-memory disk for tests that simulates crashes."""

import random

from sedgepin._storage import _disk


class MemoryDisk(_disk.Disk):
    """Files in memory; ``crash`` loses or tears unsynced writes.

    >>> disk = MemoryDisk()
    >>> disk.append("log", b"kept")
    >>> disk.sync("log")
    >>> disk.append("log", b"lost")
    >>> disk.crash(random.Random(1))
    >>> disk.read("log")[:4]
    b'kept'
    """

    __slots__ = ("_durable", "_written", "sync_count")

    def __init__(self) -> None:
        self._durable: dict[str, bytes] = {}
        self._written: dict[str, bytes] = {}
        self.sync_count = 0

    def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to a file."""
        self._written[name] = self._written.get(name, b"") + data

    def overwrite(self, name: str, offset_bytes: int, data: bytes) -> None:
        """Write ``data`` over that part of an existing file."""
        old = self._written[name]
        end = offset_bytes + len(data)
        self._written[name] = old[:offset_bytes] + data + old[end:]

    def sync(self, name: str) -> None:
        """Make all earlier writes to the file durable."""
        self.sync_count += 1
        self._durable[name] = self._written[name]

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        if name not in self._written:
            raise FileNotFoundError(name)
        return self._written[name]

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file, durably."""
        self.sync_count += 1
        self._written[name] = data
        self._durable[name] = data

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to ``size_bytes``."""
        self._written[name] = self._written[name][:size_bytes]

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._written)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._written.pop(name, None)
        self._durable.pop(name, None)

    def crash(self, rng: random.Random) -> None:
        """Simulate a power loss: keep synced data and part of the rest.

        Of the bytes appended since the last sync, nothing, a prefix, or the
        full length with zeros after some byte remains.
        """
        for name in list(self._written):
            durable = self._durable.get(name, b"")
            surviving = self._after_crash(durable, self._written[name], rng)
            self._written[name] = surviving
            self._durable[name] = surviving

    @staticmethod
    def _after_crash(
        durable: bytes, written: bytes, rng: random.Random
    ) -> bytes:
        if not written.startswith(durable):
            return rng.choice((durable, written))
        kept_size = rng.randint(len(durable), len(written))
        zeros = rng.choice((0, len(written) - kept_size))
        return written[:kept_size] + bytes(zeros)
