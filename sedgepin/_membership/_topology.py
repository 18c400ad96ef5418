"""Which entries follow an endpoint, and which entries talk to each other.

All is worked out from the list of entries alone, so that every entry comes
to the same answer without asking.
"""

import collections.abc
import dataclasses
import hashlib
import itertools
import math

from sedgepin import _model as model

_HASH_BYTES = 8
_BRIDGE_COUNT = 2


def rank(key: str, vm_id: model.VmId) -> int:
    """Return the weight of an entry for a key in rendezvous hashing.

    The entry with the highest weight is the key's first choice (Thaler and
    Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996).
    """
    text = f"{key}\n{vm_id}".encode()
    digest = hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def choose_subset(
    endpoint_id: model.EndpointId,
    entries: collections.abc.Iterable[model.VmId],
    size: int,
) -> frozenset[model.VmId]:
    """Return the entries that follow an endpoint.

    When an entry joins or is lost, only the endpoints that it follows move.
    """
    listed = tuple(entries)
    if len(listed) <= size:
        return frozenset(listed)
    ranked = sorted(listed, key=lambda vm_id: rank(endpoint_id, vm_id))
    return frozenset(ranked[-size:])


@dataclasses.dataclass(slots=True, frozen=True)
class Relays:
    """Whom one entry sends to: first across its row, then down its column.

    Each group of ``across`` is one column, in order of preference: what an
    entry hears from an endpoint goes to the first that is up.  It passes on
    what came across to all of ``down``.
    """

    across: tuple[tuple[model.VmId, ...], ...] = ()
    down: tuple[model.VmId, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Scope:
    """The entries that share what they hear of endpoints."""

    entries: tuple[model.VmId, ...]


def choose_bridges(
    vm_id: model.VmId, own: Scope, other: Scope
) -> frozenset[model.VmId]:
    """Return the entries of another scope that an entry talks to.

    Both sides come to the same few pairs; other pairs of scopes get others,
    so that no entry stands for all.
    """
    if not own.entries or not other.entries:
        return frozenset()
    key = "\n".join(sorted((min(own.entries), min(other.entries))))
    pairs = zip(
        sorted(own.entries, key=lambda entry: rank(key, entry)),
        sorted(other.entries, key=lambda entry: rank(key, entry)),
        strict=False,
    )
    chosen = itertools.islice(pairs, _BRIDGE_COUNT)
    return frozenset(far for near, far in chosen if near == vm_id)


def choose_all_bridges(
    vm_id: model.VmId, own: Scope, others: collections.abc.Iterable[Scope]
) -> frozenset[model.VmId]:
    """Return the entries of all other scopes that an entry talks to."""
    chosen = [choose_bridges(vm_id, own, other) for other in others]
    return frozenset().union(*chosen)


class Grid:
    """Entries laid out in rows and columns by the hash of their names.

    Every entry is reached from every other in two steps, and by one copy,
    with about twice the square root of their number as neighbours.  A scope
    that is small enough is a full mesh: one row.

    >>> names = [model.VmId(f"e{number}") for number in range(3)]
    >>> Grid(names, mesh_limit=8).relays("e0").down
    ()
    """

    __slots__ = ("_columns", "_places")

    def __init__(
        self,
        entries: collections.abc.Iterable[model.VmId],
        mesh_limit: int,
    ) -> None:
        ranked = sorted(entries, key=lambda vm_id: rank("grid", vm_id))
        width = _width(len(ranked), mesh_limit)
        self._columns = [ranked[column::width] for column in range(width)]
        self._places = {
            vm_id: divmod(place, width) for place, vm_id in enumerate(ranked)
        }

    def relays(self, vm_id: model.VmId) -> Relays:
        """Return whom an entry sends to; nobody where it is not listed."""
        place = self._places.get(vm_id)
        if place is None:
            return Relays()
        row, own_column = place
        across = tuple(
            _start_at(column, row)
            for number, column in enumerate(self._columns)
            if number != own_column and column
        )
        mates = _start_at(self._columns[own_column], row)
        return Relays(across, mates[1:])

    def neighbours(self, vm_id: model.VmId) -> frozenset[model.VmId]:
        """Return the peers that an entry keeps connections with."""
        return frozenset(
            other
            for other in self._places
            if other != vm_id
            and (other in self._sends_to(vm_id))
            | (vm_id in self._sends_to(other))
        )

    def _sends_to(self, vm_id: model.VmId) -> set[model.VmId]:
        relays = self.relays(vm_id)
        return {column[0] for column in relays.across} | set(relays.down)


def _width(entry_count: int, mesh_limit: int) -> int:
    if entry_count <= mesh_limit:
        return max(entry_count, 1)
    return math.ceil(math.sqrt(entry_count))


def _start_at(column: list[model.VmId], row: int) -> tuple[model.VmId, ...]:
    first = row % len(column)
    return tuple(column[first:] + column[:first])
