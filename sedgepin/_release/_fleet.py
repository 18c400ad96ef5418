"""The desired state of the fleet: all accepted notes applied in order."""

import collections.abc
import typing

import msgspec
import result

from sedgepin._release import _fleet_draft
from sedgepin._release import _note
from sedgepin import errors

_ItemT = typing.TypeVar("_ItemT", bound=_note.Item)


class Fleet(msgspec.Struct, frozen=True, omit_defaults=True):
    """The result of applying notes 1 up to ``note_number``.

    The control VMs send it to every entry VM.  It is immutable: applying a
    note returns another fleet.  Number 0 is the empty fleet before any note.

    >>> fleet = Fleet()
    >>> fleet.with_note(note).unwrap().note_number
    1
    """

    note_number: int = 0
    note_id: str = ""
    note_digest: str = ""
    author: str = ""
    models: tuple[_note.Model, ...] = ()
    versions: tuple[_note.Version, ...] = ()
    adapters: tuple[_note.Adapter, ...] = ()
    services: tuple[_note.Service, ...] = ()
    roles: tuple[_note.Role, ...] = ()

    def with_note(
        self, note: _note.ReleaseNote
    ) -> result.Result["Fleet", errors.DocumentRefused]:
        """Return the fleet with ``note`` applied, or all its faults."""
        draft = _fleet_draft.FleetDraft(
            {item.key: item for item in self._items()}
        )
        draft.apply(note)
        if note.number != self.note_number + 1:
            problem = f"is {note.number}, but {self.note_number + 1} is next"
            draft.faults.insert(0, errors.FieldFault("number", problem))
        if draft.faults:
            return result.Err(
                errors.DocumentRefused("release note", tuple(draft.faults))
            )
        return result.Ok(_build_fleet(note, draft.items))

    def find_model(self, name: str) -> _note.Model | None:
        """Return the model named ``name``, or ``None``."""
        return _find_by_name(self.models, name)

    def find_service(self, name: str) -> _note.Service | None:
        """Return the service named ``name``, or ``None``."""
        return _find_by_name(self.services, name)

    def _items(self) -> collections.abc.Iterator[_note.Item]:
        yield from self.models
        yield from self.versions
        yield from self.adapters
        yield from self.services
        yield from self.roles


def encode_fleet(fleet: Fleet) -> bytes:
    """Return the fleet as MessagePack."""
    return msgspec.msgpack.encode(fleet)


def decode_fleet(raw: bytes) -> result.Result[Fleet, errors.DocumentRefused]:
    """Return the fleet that ``encode_fleet`` encoded, or the fault."""
    try:
        return result.Ok(msgspec.msgpack.decode(raw, type=Fleet))
    except (msgspec.MsgspecError, RecursionError) as exc:
        fault = errors.FieldFault("fleet", str(exc))
        return result.Err(errors.DocumentRefused("fleet", (fault,)))


def _find_by_name(items: tuple[_ItemT, ...], name: str) -> _ItemT | None:
    return next((item for item in items if item.name == name), None)


def _items_of_type(
    items: dict[_note.ItemKey, _note.Item], item_type: type[_ItemT]
) -> tuple[_ItemT, ...]:
    ordered = (items[key] for key in sorted(items))
    return tuple(item for item in ordered if isinstance(item, item_type))


def _build_fleet(
    note: _note.ReleaseNote, items: dict[_note.ItemKey, _note.Item]
) -> Fleet:
    models = tuple(
        _fleet_draft.with_adapter_names(items, item)
        for item in _items_of_type(items, _note.Model)
    )
    return Fleet(
        note_number=note.number,
        note_id=note.note_id,
        note_digest=note.digest,
        author=note.author,
        models=models,
        versions=_items_of_type(items, _note.Version),
        adapters=_items_of_type(items, _note.Adapter),
        services=_items_of_type(items, _note.Service),
        roles=_items_of_type(items, _note.Role),
    )
