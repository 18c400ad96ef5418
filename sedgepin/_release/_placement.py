"""Resolves what each endpoint should hold and the next order towards it."""

import msgspec

from sedgepin import _model
from sedgepin._release import _fleet
from sedgepin._release import _note
from sedgepin._release import _order

STANDBY_ROLE = "standby"

WEIGHT_STORE_ACTIONS = frozenset(
    (_order.OrderAction.LOAD_MODEL, _order.OrderAction.LOAD_ADAPTER)
)


class Placement(msgspec.Struct, frozen=True):
    """The role of an endpoint and the model, layers and adapters to hold."""

    role: str
    model: _model.ModelName | None = None
    version: str = ""
    layers: _model.LayerRange | None = None
    adapters: tuple[str, ...] = ()


class PlacementStep(msgspec.Struct, frozen=True):
    """A change that one order makes to bring an endpoint to its placement."""

    endpoint_id: _model.EndpointId
    incarnation: _model.Incarnation
    action: _order.OrderAction
    model: _model.ModelName | None = None
    version: str = ""
    layers: _model.LayerRange | None = None
    adapter: str = ""
    role: str = ""

    @property
    def uses_weight_store(self) -> bool:
        """Return whether the step loads from the weight store."""
        return self.action in WEIGHT_STORE_ACTIONS


def is_serving(announcement: _model.Announcement) -> bool:
    """Return whether an endpoint serves the layers that it holds."""
    return (
        announcement.model is not None
        and announcement.layers is not None
        and announcement.role != STANDBY_ROLE
        and not announcement.leaving
    )


def stops_serving(
    step: PlacementStep, announcement: _model.Announcement
) -> bool:
    """Return whether a step makes a serving endpoint stop serving."""
    if not is_serving(announcement):
        return False
    match step.action:
        case _order.OrderAction.LOAD_MODEL | _order.OrderAction.UNLOAD_MODEL:
            return True
        case _order.OrderAction.CHANGE_ROLE:
            return step.role == STANDBY_ROLE
    return False


def is_fulfilled(
    announcement: _model.Announcement, step: PlacementStep
) -> bool:
    """Return whether an announcement shows the result of a step.

    A step also counts as fulfilled once the endpoint has a new
    incarnation, because an order addresses one incarnation only.
    """
    if announcement.incarnation != step.incarnation:
        return True
    actions = _order.OrderAction
    match step.action:
        case actions.LOAD_MODEL | actions.UNLOAD_MODEL:
            current = (
                announcement.model,
                announcement.model_version,
                announcement.layers,
            )
            if step.model is None:
                return announcement.model is None
            return current == (step.model, step.version, step.layers)
        case actions.LOAD_ADAPTER:
            return step.adapter in announcement.adapters
        case actions.UNLOAD_ADAPTER:
            return step.adapter not in announcement.adapters
    return announcement.role == step.role


class PlacementResolver:
    """Resolves the placement of endpoints under one fleet."""

    __slots__ = ("_by_endpoint", "_by_selector", "_models", "fleet")

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self.fleet = fleet
        self._models = {item.name: item for item in fleet.models}
        self._by_endpoint: dict[_model.EndpointId, _note.Role] = {}
        self._by_selector: list[_note.Role] = []
        for role in sorted(
            fleet.roles, key=lambda role: -role.selector.specificity
        ):
            endpoint_id = role.selector.endpoint_id
            if endpoint_id is None:
                self._by_selector.append(role)
            else:
                self._by_endpoint[endpoint_id] = role

    def find_model(self, name: _model.ModelName | None) -> _note.Model | None:
        """Return the model named ``name``, if the fleet has it."""
        return self._models.get(name) if name else None

    def is_desired_version(self, name: _model.ModelName, version: str) -> bool:
        """Return whether the fleet assigns this version to any endpoint."""
        model = self.find_model(name)
        if model is None:
            return False
        if model.version == version:
            return True
        return any(
            role.model == name and role.version == version
            for role in self.fleet.roles
        )

    def next_step(
        self, announcement: _model.Announcement
    ) -> PlacementStep | None:
        """Return the next step, or ``None`` if the placement is reached."""
        placement = self.placement(announcement)
        if placement is None:
            return None
        if placement.model is None:
            if announcement.model is not None:
                action = _order.OrderAction.UNLOAD_MODEL
                return _make_step(announcement, placement, action)
            return _role_step(announcement, placement)
        current = (
            announcement.model,
            announcement.model_version,
            announcement.layers,
        )
        if current != (placement.model, placement.version, placement.layers):
            action = _order.OrderAction.LOAD_MODEL
            return _make_step(announcement, placement, action)
        return _role_step(announcement, placement) or _adapter_step(
            announcement, placement
        )

    def placement(self, announcement: _model.Announcement) -> Placement | None:
        """Return what an endpoint should hold.

        ``None`` means that nothing is required.  An endpoint that no role
        selects keeps its model and layers, at the version in force; a model
        that the fleet does not have is unloaded.
        """
        if announcement.kind is not _model.EndpointKind.ENGINE:
            return None
        if announcement.leaving or not self.fleet.note_number:
            return None
        role = self._role_for(announcement)
        if role is None:
            return self._kept_placement(announcement)
        model = self.find_model(role.model)
        if model is None:
            return Placement(role=role.role)
        return Placement(
            role=role.role,
            model=model.name,
            version=role.version or model.version,
            layers=role.layers or _model.LayerRange(0, model.layer_count),
            adapters=model.adapters,
        )

    def _kept_placement(
        self, announcement: _model.Announcement
    ) -> Placement | None:
        if announcement.model is None:
            return None
        model = self.find_model(announcement.model)
        if model is None:
            return Placement(role=announcement.role)
        return Placement(
            role=announcement.role,
            model=model.name,
            version=model.version,
            layers=announcement.layers
            or _model.LayerRange(0, model.layer_count),
            adapters=model.adapters,
        )

    def _role_for(
        self, announcement: _model.Announcement
    ) -> _note.Role | None:
        role = self._by_endpoint.get(announcement.endpoint_id)
        if role is not None and role.selector.matches(announcement):
            return role
        return next(
            (
                candidate
                for candidate in self._by_selector
                if candidate.selector.matches(announcement)
            ),
            None,
        )


def _make_step(
    announcement: _model.Announcement,
    placement: Placement,
    action: _order.OrderAction,
    adapter: str = "",
) -> PlacementStep:
    return PlacementStep(
        endpoint_id=announcement.endpoint_id,
        incarnation=announcement.incarnation,
        action=action,
        model=placement.model,
        version=placement.version,
        layers=placement.layers,
        adapter=adapter,
        role=placement.role,
    )


def _role_step(
    announcement: _model.Announcement, placement: Placement
) -> PlacementStep | None:
    if announcement.role == placement.role:
        return None
    return _make_step(announcement, placement, _order.OrderAction.CHANGE_ROLE)


def _adapter_step(
    announcement: _model.Announcement, placement: Placement
) -> PlacementStep | None:
    loaded = set(announcement.adapters)
    desired = set(placement.adapters)
    for name in sorted(desired - loaded):
        action = _order.OrderAction.LOAD_ADAPTER
        return _make_step(announcement, placement, action, name)
    for name in sorted(loaded - desired):
        action = _order.OrderAction.UNLOAD_ADAPTER
        return _make_step(announcement, placement, action, name)
    return None
