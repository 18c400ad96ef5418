"""The differences between two configurations, by entry and field."""

import collections
import collections.abc
import dataclasses
import enum

import msgspec

from sedgepin._catalog import _configuration


class Change(enum.Enum):
    """How an entry or a field differs in the newer configuration."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@dataclasses.dataclass(slots=True, frozen=True)
class Difference:
    """A difference between two configurations.

    ``section`` and ``name`` name the entry; the name is empty for the limits
    and the version.  Without a ``field`` the whole entry was added or removed.
    API keys are given as their number.
    """

    change: Change
    section: str
    name: str
    field: str = ""
    before: object = None
    after: object = None


@dataclasses.dataclass(slots=True, frozen=True)
class _Entry:
    section: str
    name: str


_Entries = dict[_Entry, msgspec.Struct]
# The order in which differences are listed.
_SECTIONS = {"routes": 0, "services": 1, "limits": 2, "customers": 3}
# The field that names a struct among others of its type.
_NAME_FIELDS: dict[type[msgspec.Struct], str] = {
    _configuration.Target: "service",
    _configuration.AcceleratorProfile: "name",
}


def compare(
    old: _configuration.Configuration, new: _configuration.Configuration
) -> tuple[Difference, ...]:
    """Return what was added, changed and removed from ``old`` to ``new``.

    Entries are matched by name; a route without a name that is unique in both
    configurations is matched by host and path prefix.  Their order does not
    count.
    """
    differences: list[Difference] = []
    if old.version != new.version:
        differences.append(
            Difference(
                Change.CHANGED, "version", "", "", old.version, new.version
            )
        )
    shared_names = _shared_route_names(old) | _shared_route_names(new)
    old_entries = _entries(old, shared_names)
    new_entries = _entries(new, shared_names)
    entries = dict.fromkeys((*old_entries, *new_entries))
    for entry in sorted(entries, key=lambda entry: _SECTIONS[entry.section]):
        before, after = old_entries.get(entry), new_entries.get(entry)
        if before is None:
            differences.append(
                Difference(Change.ADDED, entry.section, entry.name)
            )
        elif after is None:
            differences.append(
                Difference(Change.REMOVED, entry.section, entry.name)
            )
        else:
            differences += _compare_fields(entry, before, after)
    return tuple(differences)


def _shared_route_names(
    configuration: _configuration.Configuration,
) -> frozenset[str]:
    """Return the names of several routes, and the empty name."""
    counts = collections.Counter(route.name for route in configuration.routes)
    return frozenset(("", *(name for name in counts if counts[name] > 1)))


def _entries(
    configuration: _configuration.Configuration,
    shared_names: frozenset[str],
) -> _Entries:
    entries: _Entries = {}
    for route in configuration.routes:
        name = route.name
        if name in shared_names:
            name = f"{route.host}{route.path_prefix}"
        entries[_Entry("routes", name)] = route
    for service in configuration.services:
        entries[_Entry("services", service.name)] = service
    entries[_Entry("limits", "")] = configuration.limits
    counts: collections.Counter[str] = collections.Counter()
    for customer in configuration.customers:
        counts[customer.name] += 1
        number = counts[customer.name]
        name = customer.name if number == 1 else f"{customer.name} #{number}"
        entries[_Entry("customers", name)] = customer
    return entries


def _compare_fields(
    entry: _Entry, before: msgspec.Struct, after: msgspec.Struct
) -> collections.abc.Iterator[Difference]:
    old, new = dict(_fields(before, "")), dict(_fields(after, ""))
    for field in dict.fromkeys((*old, *new)):
        if old.get(field) == new.get(field):
            continue
        shown = (old.get(field), new.get(field))
        if isinstance(before, _configuration.Customer) and field == "keys":
            shown = _key_counts(before.keys, after)
        yield Difference(
            Change.CHANGED, entry.section, entry.name, field, *shown
        )


def _key_counts(keys: tuple[str, ...], after: object) -> tuple[str, str]:
    """Return a description of changed API keys without the keys."""
    assert isinstance(after, _configuration.Customer)
    old, new = set(keys), set(after.keys)
    added, removed = len(new - old), len(old - new)
    return (
        f"{len(old)} keys",
        f"{len(new)} keys ({added} added, {removed} removed)",
    )


def _fields(
    value: object, path: str
) -> collections.abc.Iterator[tuple[str, object]]:
    """Yield the path and the value of each field within a struct."""
    if isinstance(value, msgspec.Struct):
        prefix = f"{path}." if path else ""
        for name in value.__struct_fields__:
            if name != _NAME_FIELDS.get(type(value)):
                yield from _fields(getattr(value, name), prefix + name)
        return
    if isinstance(value, tuple) and any(
        isinstance(item, msgspec.Struct) for item in value
    ):
        for item in value:
            name = getattr(item, _NAME_FIELDS[type(item)])
            yield from _fields(item, f"{path}[{name}]")
        return
    # Nested lists without items and missing structs have no fields.
    if value not in (None, ()):
        yield path, value
