"""Assignment of endpoints to entry VMs, and the gossip topology.

Both are functions of the list of entry VMs only, so that all entry VMs with
the same list agree without communication.
"""

import collections.abc
import dataclasses
import hashlib
import itertools
import math

from sedgepin import _model as model

_HASH_BYTES = 8
_BRIDGES_PER_SCOPE = 2


def rendezvous_weight(key: str, vm_id: model.VmId) -> int:
    """Return the weight of an entry VM for a key in rendezvous hashing.

    The entry VM with the highest weight is the key's first choice (Thaler and
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
    """Return the entry VMs that follow the load of an endpoint.

    When an entry VM joins or is lost, only the endpoints that it follows are
    reassigned.
    """
    candidates = tuple(entries)
    if len(candidates) <= size:
        return frozenset(candidates)
    ranked = sorted(
        candidates, key=lambda vm_id: rendezvous_weight(endpoint_id, vm_id)
    )
    return frozenset(ranked[-size:])


@dataclasses.dataclass(slots=True, frozen=True)
class Relays:
    """The entry VMs to which one entry VM sends in the grid.

    Each group in ``other_columns`` is one column, in order of preference.  An
    announcement received from an endpoint goes to the first connected entry
    VM of each other column and to all of ``own_column``.  An announcement
    received from another column goes to all of ``own_column``.
    """

    other_columns: tuple[tuple[model.VmId, ...], ...] = ()
    own_column: tuple[model.VmId, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Scope:
    """A group of entry VMs that exchange announcements of endpoints.

    Between scopes, only rumours are exchanged.
    """

    entries: tuple[model.VmId, ...]


def choose_bridges(
    vm_id: model.VmId, own: Scope, other: Scope
) -> frozenset[model.VmId]:
    """Return the entry VMs of another scope that an entry VM connects to.

    Both sides compute the same few pairs.  Different pairs of scopes use
    different entry VMs, so that none becomes the bridge to all scopes.
    """
    if not own.entries or not other.entries:
        return frozenset()
    key = "\n".join(sorted((min(own.entries), min(other.entries))))
    pairs = zip(
        sorted(own.entries, key=lambda entry: rendezvous_weight(key, entry)),
        sorted(other.entries, key=lambda entry: rendezvous_weight(key, entry)),
        strict=False,
    )
    chosen = itertools.islice(pairs, _BRIDGES_PER_SCOPE)
    return frozenset(remote for local, remote in chosen if local == vm_id)


def choose_all_bridges(
    vm_id: model.VmId, own: Scope, others: collections.abc.Iterable[Scope]
) -> frozenset[model.VmId]:
    """Return the entry VMs of all other scopes that one VM connects to."""
    chosen = [choose_bridges(vm_id, own, other) for other in others]
    return frozenset().union(*chosen)


class Grid:
    """Entry VMs laid out in rows and columns by the hash of their names.

    From each entry VM, every other is reached in at most two hops and by
    exactly one copy, while each has about twice the square root of their
    number as neighbours.  A scope of up to ``mesh_limit`` entry VMs is a full
    mesh: one row.

    >>> names = [model.VmId(f"e{number}") for number in range(3)]
    >>> Grid(names, mesh_limit=8).relays("e0").own_column
    ()
    """

    __slots__ = ("_columns", "_positions")

    def __init__(
        self,
        entries: collections.abc.Iterable[model.VmId],
        mesh_limit: int,
    ) -> None:
        ranked = sorted(
            entries, key=lambda vm_id: rendezvous_weight("grid", vm_id)
        )
        width = _choose_width(len(ranked), mesh_limit)
        self._columns = [ranked[column::width] for column in range(width)]
        self._positions = {
            vm_id: divmod(index, width) for index, vm_id in enumerate(ranked)
        }

    def relays(self, vm_id: model.VmId) -> Relays:
        """Return the relays of an entry VM; none if it is not in the grid."""
        position = self._positions.get(vm_id)
        if position is None:
            return Relays()
        row, own_index = position
        other_columns = tuple(
            _rotate(column, row)
            for index, column in enumerate(self._columns)
            if index != own_index and column
        )
        own_column = _rotate(self._columns[own_index], row)
        return Relays(other_columns, own_column[1:])

    def neighbours(self, vm_id: model.VmId) -> frozenset[model.VmId]:
        """Return the entry VMs that one VM sends to or receives from."""
        return frozenset(
            peer_id
            for peer_id in self._positions
            if peer_id != vm_id
            and (peer_id in self._recipients(vm_id))
            | (vm_id in self._recipients(peer_id))
        )

    def _recipients(self, vm_id: model.VmId) -> set[model.VmId]:
        relays = self.relays(vm_id)
        return {column[0] for column in relays.other_columns} | set(
            relays.own_column
        )


def _choose_width(entry_count: int, mesh_limit: int) -> int:
    if entry_count <= mesh_limit:
        return max(entry_count, 1)
    return math.ceil(math.sqrt(entry_count))


def _rotate(column: list[model.VmId], row: int) -> tuple[model.VmId, ...]:
    """Return a column starting at a row, wrapped around if it is shorter."""
    first = row % len(column)
    return tuple(column[first:] + column[:first])
