"""What an endpoint shall hold, and the next order that brings it there."""

import msgspec

from sedgepin import _model
from sedgepin._release import _fleet
from sedgepin._release import _note
from sedgepin._release import _order

STANDBY_ROLE = "standby"

LOADING_ACTIONS = frozenset(
    (_order.OrderAction.LOAD_MODEL, _order.OrderAction.LOAD_ADAPTER)
)


class Placement(msgspec.Struct, frozen=True):
    """A model, version, layers and adapters to hold, and a role."""

    role: str
    model: _model.ModelName | None = None
    version: str = ""
    layers: _model.LayerRange | None = None
    adapters: tuple[str, ...] = ()


class Need(msgspec.Struct, frozen=True):
    """One step from what an endpoint announces to what it shall hold."""

    endpoint_id: _model.EndpointId
    incarnation: _model.Incarnation
    action: _order.OrderAction
    model: _model.ModelName | None = None
    version: str = ""
    layers: _model.LayerRange | None = None
    adapter: str = ""
    role: str = ""

    @property
    def loads(self) -> bool:
        """Tell whether the step reads from the weight store."""
        return self.action in LOADING_ACTIONS


def is_serving(announced: _model.Announcement) -> bool:
    """Tell whether an endpoint serves the layers that it holds."""
    return (
        announced.model is not None
        and announced.layers is not None
        and announced.role != STANDBY_ROLE
        and not announced.leaving
    )


def takes_away(need: Need, announced: _model.Announcement) -> bool:
    """Tell whether a step ends the serving of what is held now."""
    if not is_serving(announced):
        return False
    match need.action:
        case _order.OrderAction.LOAD_MODEL | _order.OrderAction.UNLOAD_MODEL:
            return True
        case _order.OrderAction.CHANGE_ROLE:
            return need.role == STANDBY_ROLE
    return False


def follows(announced: _model.Announcement, need: Need) -> bool:
    """Tell whether an endpoint announces what a step was to bring."""
    if announced.incarnation != need.incarnation:
        return True
    actions = _order.OrderAction
    match need.action:
        case actions.LOAD_MODEL | actions.UNLOAD_MODEL:
            held = (announced.model, announced.model_version, announced.layers)
            if need.model is None:
                return announced.model is None
            return held == (need.model, need.version, need.layers)
        case actions.LOAD_ADAPTER:
            return need.adapter in announced.adapters
        case actions.UNLOAD_ADAPTER:
            return need.adapter not in announced.adapters
    return announced.role == need.role


class Placer:
    """Answers what each endpoint shall hold under one fleet."""

    __slots__ = ("_by_endpoint", "_by_selector", "_models", "fleet")

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self.fleet = fleet
        self._models = {item.name: item for item in fleet.models}
        self._by_endpoint: dict[_model.EndpointId, _note.Role] = {}
        self._by_selector: list[_note.Role] = []
        for role in sorted(
            fleet.roles, key=lambda each: -each.selector.specificity
        ):
            endpoint_id = role.selector.endpoint_id
            if endpoint_id is None:
                self._by_selector.append(role)
            else:
                self._by_endpoint[endpoint_id] = role

    def model(self, name: _model.ModelName | None) -> _note.Model | None:
        """Return the model of that name."""
        return self._models.get(name) if name else None

    def wants_version(self, name: _model.ModelName, version: str) -> bool:
        """Tell whether any endpoint shall hold this version."""
        found = self.model(name)
        if found is None:
            return False
        if found.version == version:
            return True
        return any(
            role.model == name and role.version == version
            for role in self.fleet.roles
        )

    def next_need(self, announced: _model.Announcement) -> Need | None:
        """Return the next step of an endpoint, or none if it is there."""
        placement = self.placement(announced)
        if placement is None:
            return None
        if placement.model is None:
            if announced.model is not None:
                action = _order.OrderAction.UNLOAD_MODEL
                return _need(announced, placement, action)
            return _role_need(announced, placement)
        held = (announced.model, announced.model_version, announced.layers)
        if held != (placement.model, placement.version, placement.layers):
            action = _order.OrderAction.LOAD_MODEL
            return _need(announced, placement, action)
        return _role_need(announced, placement) or _adapter_need(
            announced, placement
        )

    def placement(self, announced: _model.Announcement) -> Placement | None:
        """Return what an endpoint shall hold; none if that is all the same.

        Without a role an endpoint keeps its model and layers, at the version
        in force; a model that is in no note is unloaded.
        """
        if announced.kind is not _model.EndpointKind.ENGINE:
            return None
        if announced.leaving or not self.fleet.note_number:
            return None
        role = self._role_for(announced)
        if role is None:
            return self._kept_placement(announced)
        found = self.model(role.model)
        if found is None:
            return Placement(role=role.role)
        return Placement(
            role=role.role,
            model=found.name,
            version=role.version or found.version,
            layers=role.layers or _model.LayerRange(0, found.layer_count),
            adapters=found.adapters,
        )

    def _kept_placement(
        self, announced: _model.Announcement
    ) -> Placement | None:
        if announced.model is None:
            return None
        found = self.model(announced.model)
        if found is None:
            return Placement(role=announced.role)
        return Placement(
            role=announced.role,
            model=found.name,
            version=found.version,
            layers=announced.layers or _model.LayerRange(0, found.layer_count),
            adapters=found.adapters,
        )

    def _role_for(self, announced: _model.Announcement) -> _note.Role | None:
        role = self._by_endpoint.get(announced.endpoint_id)
        if role is not None and role.selector.matches(announced):
            return role
        return next(
            (
                each
                for each in self._by_selector
                if each.selector.matches(announced)
            ),
            None,
        )


def _need(
    announced: _model.Announcement,
    placement: Placement,
    action: _order.OrderAction,
    adapter: str = "",
) -> Need:
    return Need(
        endpoint_id=announced.endpoint_id,
        incarnation=announced.incarnation,
        action=action,
        model=placement.model,
        version=placement.version,
        layers=placement.layers,
        adapter=adapter,
        role=placement.role,
    )


def _role_need(
    announced: _model.Announcement, placement: Placement
) -> Need | None:
    if announced.role == placement.role:
        return None
    return _need(announced, placement, _order.OrderAction.CHANGE_ROLE)


def _adapter_need(
    announced: _model.Announcement, placement: Placement
) -> Need | None:
    held = set(announced.adapters)
    wanted = set(placement.adapters)
    for name in sorted(wanted - held):
        action = _order.OrderAction.LOAD_ADAPTER
        return _need(announced, placement, action, name)
    for name in sorted(held - wanted):
        action = _order.OrderAction.UNLOAD_ADAPTER
        return _need(announced, placement, action, name)
    return None
