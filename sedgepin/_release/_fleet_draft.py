"""Applies one note's changes to a fleet's items, collecting every fault."""

import msgspec

from sedgepin._release import _note
from sedgepin import errors


class Draft:
    """The items of a fleet while a note is being applied to them.

    Changes are applied in the order of the note.  What refers to what is
    checked at the end, so that a note may add a role before its model.
    """

    __slots__ = ("_changed_at", "faults", "items")

    def __init__(self, items: dict[_note.ItemKey, _note.Item]) -> None:
        self.items = items
        self.faults: list[errors.FieldFault] = []
        self._changed_at: dict[_note.ItemKey, str] = {}

    def apply(self, note: _note.ReleaseNote) -> None:
        """Apply every change of ``note``."""
        for position, change in enumerate(note.changes):
            self._apply_change(change, f"changes[{position}].item")
        self._check_references()

    def _fault(self, path: str, problem: str) -> None:
        self.faults.append(errors.FieldFault(path, problem))

    def _apply_change(self, change: _note.Change, path: str) -> None:
        key = change.item.key
        if key in self._changed_at:
            first = self._changed_at[key]
            self._fault(path, f"{key} is already changed by {first}")
            return
        self._changed_at[key] = path
        match change:
            case _note.Added(item):
                if key in self.items:
                    self._fault(path, f"{key} is already in the fleet")
                self._put(item)
            case _note.Changed(item):
                if key not in self.items:
                    self._fault(path, f"{key} is not in the fleet")
                self._put(item)
            case _note.Withdrawn():
                if key not in self.items:
                    self._fault(path, f"{key} is not in the fleet")
                self._drop(key)

    def _put(self, item: _note.Item) -> None:
        self.items[item.key] = item
        if isinstance(item, _note.Model):
            self._put_parts(item)

    def _put_parts(self, item: _note.Model) -> None:
        """Make the adapters be those that ``item`` lists, and its version.

        An adapter that this note changes by itself is left as changed.
        """
        listed: list[_note.Adapter | _note.Version] = [
            _note.Adapter(model=item.name, name=name) for name in item.adapters
        ]
        listed.append(_note.Version(model=item.name, name=item.version))
        kept = {each.key for each in listed}
        for key in list(self.items):
            ours = key.type == "adapter" and key.model == item.name
            if ours and key not in kept and key not in self._changed_at:
                del self.items[key]
        for each in listed:
            if each.key not in self._changed_at:
                self.items.setdefault(each.key, each)

    def _drop(self, key: _note.ItemKey) -> None:
        self.items.pop(key, None)
        if key.type != "model":
            return
        for other in list(self.items):
            part = other.type in ("adapter", "version")
            if part and other.model == key.name:
                del self.items[other]

    def _check_references(self) -> None:
        for key in sorted(self.items):
            path = self._changed_at.get(key, f"fleet.{key}")
            item = self.items[key]
            match item:
                case _note.Role():
                    self._check_role(item, path)
                case _note.Service():
                    self._check_service(item, path)
                case _note.Model():
                    self._check_model(item, path)
                case _note.Adapter() | _note.Version():
                    self._known_model(item.model, f"{path}.model")
        self._check_endpoint_roles()

    def _known_model(self, name: str, path: str) -> _note.Model | None:
        found = self.items.get(_note.ItemKey("model", name))
        if isinstance(found, _note.Model):
            return found
        self._fault(path, f"model {name} is not in the fleet")
        return None

    def _known_version(self, model: str, version: str, path: str) -> None:
        if _note.ItemKey("version", version, model) not in self.items:
            self._fault(path, f"version {model}/{version} is not in the fleet")

    def _check_model(self, item: _note.Model, path: str) -> None:
        self._known_version(item.name, item.version, f"{path}.version")
        if len(set(item.adapters)) != len(item.adapters):
            self._fault(f"{path}.adapters", "names an adapter twice")

    def _check_service(self, item: _note.Service, path: str) -> None:
        if item.kind is _note.ServiceKind.MODEL:
            if item.model is None:
                self._fault(f"{path}.model", "is missing for kind model")
                return
            self._known_model(item.model, f"{path}.model")
        elif item.model is not None:
            self._fault(f"{path}.model", "is set for kind plain")

    def _check_role(self, item: _note.Role, path: str) -> None:
        if item.selector.specificity == 0:
            self._fault(f"{path}.selector", "selects by nothing")
        if item.model is None:
            if item.layers is not None:
                self._fault(f"{path}.layers", "is set without a model")
            if item.version:
                self._fault(f"{path}.version", "is set without a model")
            return
        known = self._known_model(item.model, f"{path}.model")
        if item.version:
            self._known_version(item.model, item.version, f"{path}.version")
        if item.layers is None:
            return
        if item.layers.count <= 0:
            self._fault(f"{path}.layers", "holds no layer")
        if known is not None and item.layers.end > known.layer_count:
            self._fault(
                f"{path}.layers",
                f"ends after the model's {known.layer_count} layers",
            )

    def _check_endpoint_roles(self) -> None:
        """Refuse two roles for one endpoint by its id."""
        first: dict[str, _note.ItemKey] = {}
        for key in sorted(self.items):
            item = self.items[key]
            if not isinstance(item, _note.Role):
                continue
            endpoint_id = item.selector.endpoint_id
            if endpoint_id is None:
                continue
            if endpoint_id in first:
                path = self._changed_at.get(key, f"fleet.{key}")
                self._fault(
                    f"{path}.selector.endpoint_id",
                    f"already has {first[endpoint_id]}",
                )
            first.setdefault(endpoint_id, key)


def with_adapter_names(
    items: dict[_note.ItemKey, _note.Item], item: _note.Model
) -> _note.Model:
    """Return the model listing the adapters that ``items`` hold for it."""
    names = sorted(
        key.name
        for key in items
        if key.type == "adapter" and key.model == item.name
    )
    return msgspec.structs.replace(item, adapters=tuple(names))
