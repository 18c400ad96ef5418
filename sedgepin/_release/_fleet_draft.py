"""Applies the changes of a note to a fleet and collects all faults."""

import msgspec

from sedgepin._release import _note
from sedgepin import errors


class FleetDraft:
    """The items of a fleet while a note is applied to them.

    Changes are applied in the order of the note.  References between items
    are checked at the end, so that a note may add a role before its model.
    """

    __slots__ = ("_changed_paths", "faults", "items")

    def __init__(self, items: dict[_note.ItemKey, _note.Item]) -> None:
        self.items = items
        self.faults: list[errors.FieldFault] = []
        self._changed_paths: dict[_note.ItemKey, str] = {}

    def apply(self, note: _note.ReleaseNote) -> None:
        """Apply all changes of ``note``; faults are added to ``faults``."""
        for position, change in enumerate(note.changes):
            self._apply_change(change, f"changes[{position}].item")
        self._check_references()

    def _add_fault(self, path: str, problem: str) -> None:
        self.faults.append(errors.FieldFault(path, problem))

    def _apply_change(self, change: _note.Change, path: str) -> None:
        key = change.item.key
        if key in self._changed_paths:
            first_path = self._changed_paths[key]
            self._add_fault(path, f"{key} is already changed by {first_path}")
            return
        self._changed_paths[key] = path
        match change:
            case _note.Added(item):
                if key in self.items:
                    self._add_fault(path, f"{key} is already in the fleet")
                self._put_item(item)
            case _note.Changed(item):
                if key not in self.items:
                    self._add_fault(path, f"{key} is not in the fleet")
                self._put_item(item)
            case _note.Withdrawn():
                if key not in self.items:
                    self._add_fault(path, f"{key} is not in the fleet")
                self._remove_item(key)

    def _put_item(self, item: _note.Item) -> None:
        self.items[item.key] = item
        if isinstance(item, _note.Model):
            self._put_model_parts(item)

    def _put_model_parts(self, item: _note.Model) -> None:
        """Add the version and adapters that a model names.

        Its other adapters are dropped, its other versions kept.  Items that
        the note itself changes are left as they are.
        """
        listed: list[_note.Adapter | _note.Version] = [
            _note.Adapter(model=item.name, name=name) for name in item.adapters
        ]
        listed.append(_note.Version(model=item.name, name=item.version))
        listed_keys = {part.key for part in listed}
        for key in list(self.items):
            is_own = key.type == "adapter" and key.model == item.name
            if (
                is_own
                and key not in listed_keys
                and key not in self._changed_paths
            ):
                del self.items[key]
        for part in listed:
            if part.key not in self._changed_paths:
                self.items.setdefault(part.key, part)

    def _remove_item(self, key: _note.ItemKey) -> None:
        self.items.pop(key, None)
        if key.type != "model":
            return
        for part_key in list(self.items):
            is_part = part_key.type in ("adapter", "version")
            if is_part and part_key.model == key.name:
                del self.items[part_key]

    def _check_references(self) -> None:
        for key in sorted(self.items):
            path = self._changed_paths.get(key, f"fleet.{key}")
            item = self.items[key]
            match item:
                case _note.Role():
                    self._check_role(item, path)
                case _note.Service():
                    self._check_service(item, path)
                case _note.Model():
                    self._check_model(item, path)
                case _note.Adapter() | _note.Version():
                    self._require_model(item.model, f"{path}.model")
        self._check_endpoint_roles()

    def _require_model(self, name: str, path: str) -> _note.Model | None:
        model = self.items.get(_note.ItemKey("model", name))
        if isinstance(model, _note.Model):
            return model
        self._add_fault(path, f"model {name} is not in the fleet")
        return None

    def _require_version(self, model: str, version: str, path: str) -> None:
        if _note.ItemKey("version", version, model) not in self.items:
            self._add_fault(
                path, f"version {model}/{version} is not in the fleet"
            )

    def _check_model(self, item: _note.Model, path: str) -> None:
        self._require_version(item.name, item.version, f"{path}.version")
        if len(set(item.adapters)) != len(item.adapters):
            self._add_fault(f"{path}.adapters", "names an adapter twice")

    def _check_service(self, item: _note.Service, path: str) -> None:
        if item.kind is _note.ServiceKind.MODEL:
            if item.model is None:
                self._add_fault(f"{path}.model", "is missing for kind model")
                return
            self._require_model(item.model, f"{path}.model")
        elif item.model is not None:
            self._add_fault(f"{path}.model", "is set for kind plain")

    def _check_role(self, item: _note.Role, path: str) -> None:
        if item.selector.specificity == 0:
            self._add_fault(f"{path}.selector", "sets no field")
        if item.model is None:
            if item.layers is not None:
                self._add_fault(f"{path}.layers", "is set without a model")
            if item.version:
                self._add_fault(f"{path}.version", "is set without a model")
            return
        model = self._require_model(item.model, f"{path}.model")
        if item.version:
            self._require_version(item.model, item.version, f"{path}.version")
        if item.layers is None:
            return
        if item.layers.count <= 0:
            self._add_fault(
                f"{path}.layers",
                f"is empty: {item.layers.first} up to {item.layers.end}",
            )
        if model is not None and item.layers.end > model.layer_count:
            self._add_fault(
                f"{path}.layers",
                f"ends at {item.layers.end}, but the model has "
                f"{model.layer_count} layers",
            )

    def _check_endpoint_roles(self) -> None:
        """Add a fault for every second role that names an endpoint by id."""
        first_roles: dict[str, _note.ItemKey] = {}
        for key in sorted(self.items):
            item = self.items[key]
            if not isinstance(item, _note.Role):
                continue
            endpoint_id = item.selector.endpoint_id
            if endpoint_id is None:
                continue
            if endpoint_id in first_roles:
                path = self._changed_paths.get(key, f"fleet.{key}")
                self._add_fault(
                    f"{path}.selector.endpoint_id",
                    f"{endpoint_id} is already selected by "
                    f"{first_roles[endpoint_id]}",
                )
            first_roles.setdefault(endpoint_id, key)


def with_adapter_names(
    items: dict[_note.ItemKey, _note.Item], item: _note.Model
) -> _note.Model:
    """Return the model with the names of all its adapters in ``items``."""
    names = sorted(
        key.name
        for key in items
        if key.type == "adapter" and key.model == item.name
    )
    return msgspec.structs.replace(item, adapters=tuple(names))
