"""Orders that bring engines to hold the layers of the plan."""

import collections.abc
import dataclasses
import datetime

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin import events

# When a system starts, its endpoints register within about 3 s of each other.
# The first plan is made once no new endpoint has registered for this long.
_FIRST_PLAN_DELAY = datetime.timedelta(milliseconds=1500)
# A new leader waits for two heartbeats of each endpoint, 1.2 s apart, because
# one of them may be lost.
_NEW_LEADER_DELAY = datetime.timedelta(milliseconds=2500)
_PLAN_INTERVAL = datetime.timedelta(milliseconds=250)
# Interval between inspections of an engine that is loading layers.  A load
# takes 1 s or more, so its completion is noticed with little extra delay.
_INSPECTION_INTERVAL = datetime.timedelta(milliseconds=300)
# Delay until the next inspection of an engine that refused an order or did not
# respond.
_RETRY_DELAY = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True)
class _LayerTask:
    """The layers that an engine shall hold but does not hold yet.

    ``is_waiting`` is set while an inspection or an order is in progress.
    """

    incarnation: int
    layers: model.LayerRange
    next_inspection_at: datetime.datetime
    is_waiting: bool = False


class LayerOrders:
    """Plans layers and orders engines to hold them, on the leader only.

    At most one order is in progress for each engine.  Each order follows an
    inspection of the engine, so that it is based on the layers that the engine
    holds now and not on an outdated registration.
    """

    __slots__ = (
        "_incarnations",
        "_newest_incarnation_at",
        "_next_plan_at",
        "_planning_starts_at",
        "_tasks",
    )

    def __init__(self) -> None:
        self._tasks: dict[model.EndpointId, _LayerTask] = {}
        self._incarnations: set[tuple[model.EndpointId, int]] = set()
        self._newest_incarnation_at: datetime.datetime | None = None
        self._planning_starts_at: datetime.datetime | None = None
        self._next_plan_at: datetime.datetime | None = None

    def start_leading(self, now: datetime.datetime) -> None:
        """Start planning once all endpoints have had time for heartbeats."""
        self._tasks.clear()
        self._planning_starts_at = now + _NEW_LEADER_DELAY

    def stop_leading(self) -> None:
        """Drop all tasks and stop planning."""
        self._tasks.clear()
        self._planning_starts_at = None

    def tick(
        self,
        live: collections.abc.Iterable[catalog.Registration],
        table: catalog.RouteTable | None,
        fencing_token: int,
        now: datetime.datetime,
        paused: collections.abc.Container[model.EndpointId] = (),
    ) -> list[_effects.RegistrarEffect]:
        """Update the plan if it is due; inspect the engines that are due.

        Engines in ``paused`` want no requests now, or are silent; they stay in
        the plan.
        """
        registrations = {
            registration.endpoint_id: registration for registration in live
        }
        self._update_incarnations(registrations.values(), now)
        if table is None or not self._is_planning_allowed(
            registrations.values(), now
        ):
            return []
        if self._next_plan_at is None or now >= self._next_plan_at:
            self._next_plan_at = now + _PLAN_INTERVAL
            self._update_tasks(registrations, table, now)
        effects: list[_effects.RegistrarEffect] = []
        for endpoint_id, task in self._tasks.items():
            registration = registrations.get(endpoint_id)
            if (
                registration is None
                or task.is_waiting
                or endpoint_id in paused
                or now < task.next_inspection_at
            ):
                continue
            task.is_waiting = True
            effects.append(
                _effects.InspectEngine(
                    endpoint_id, task.incarnation, registration.address
                )
            )
        return effects

    def handle_inspection(
        self,
        event: _events.EngineInspected,
        registration: catalog.Registration,
        fencing_token: int,
        now: datetime.datetime,
    ) -> list[_effects.RegistrarEffect]:
        """Order an engine to hold its layers if its report shows others.

        A busy engine is inspected again later.
        """
        task = self._tasks.get(event.endpoint_id)
        if task is None or task.incarnation != event.incarnation:
            return []
        task.is_waiting = False
        report = event.report
        if report is None:
            task.next_inspection_at = now + _RETRY_DELAY
            return []
        task.next_inspection_at = now + _INSPECTION_INTERVAL
        if report.layers == task.layers and not report.is_busy:
            del self._tasks[event.endpoint_id]
            return []
        if report.is_busy:
            return []
        task.is_waiting = True
        order = _effects.OrderLayers(
            event.endpoint_id,
            event.incarnation,
            registration.address,
            task.layers,
            fencing_token,
            report.order_count,
        )
        line = events.LAYERS_ORDERED.line(
            endpoint=event.endpoint_id,
            incarnation=event.incarnation,
            first=task.layers.first,
            end=task.layers.end,
            fencing_token=fencing_token,
            held=format_layers(report.layers),
        )
        return [_effects.WriteLog(line), order]

    def handle_order_answer(
        self, event: _events.LayerOrderAnswered, now: datetime.datetime
    ) -> list[_effects.RegistrarEffect]:
        """Process the response to an order; retry later if it was refused."""
        task = self._tasks.get(event.endpoint_id)
        if task is None or task.incarnation != event.incarnation:
            return []
        task.is_waiting = False
        task.next_inspection_at = now + _INSPECTION_INTERVAL
        if event.is_accepted:
            return []
        task.next_inspection_at = now + _RETRY_DELAY
        line = events.LAYERS_ORDER_REFUSED.line(
            endpoint=event.endpoint_id,
            incarnation=event.incarnation,
            is_fenced=event.is_fenced,
        )
        return [_effects.WriteLog(line)]

    def _update_incarnations(
        self,
        registrations: collections.abc.Iterable[catalog.Registration],
        now: datetime.datetime,
    ) -> None:
        incarnations = {
            (registration.endpoint_id, registration.incarnation)
            for registration in registrations
        }
        if incarnations - self._incarnations:
            self._newest_incarnation_at = now
        self._incarnations = incarnations

    def _is_planning_allowed(
        self,
        registrations: collections.abc.Collection[catalog.Registration],
        now: datetime.datetime,
    ) -> bool:
        """Return whether enough is known about the endpoints to plan.

        If some engines hold layers already, only the delay of a new leader
        matters; in a new system, endpoints must have stopped arriving.
        """
        if (
            self._planning_starts_at is None
            or self._newest_incarnation_at is None
        ):
            return False
        if any(
            registration.layers is not None for registration in registrations
        ):
            return now >= self._planning_starts_at
        return now - self._newest_incarnation_at >= _FIRST_PLAN_DELAY

    def _update_tasks(
        self,
        registrations: dict[model.EndpointId, catalog.Registration],
        table: catalog.RouteTable,
        now: datetime.datetime,
    ) -> None:
        planned: placement.Plan = {}
        for service in table.services:
            if service.engine is not None:
                engines = self._engines_of(
                    registrations, service.name, service.engine
                )
                planned.update(placement.plan(engines, service.engine))
        for endpoint_id, task in list(self._tasks.items()):
            registration = registrations.get(endpoint_id)
            if (
                registration is None
                or registration.incarnation != task.incarnation
            ):
                del self._tasks[endpoint_id]
        for endpoint_id, layers in planned.items():
            registration = registrations[endpoint_id]
            task_before = self._tasks.get(endpoint_id)
            if task_before is not None and task_before.layers == layers:
                continue
            if task_before is None and registration.layers == layers:
                continue
            self._tasks[endpoint_id] = _LayerTask(
                registration.incarnation, layers, now
            )

    def _engines_of(
        self,
        registrations: dict[model.EndpointId, catalog.Registration],
        service: model.ServiceName,
        profile: catalog.EngineProfile,
    ) -> list[placement.Engine]:
        engines: list[placement.Engine] = []
        for registration in registrations.values():
            accelerator = profile.accelerator(registration.accelerator)
            if registration.service != service or accelerator is None:
                continue
            if registration.state is not catalog.EndpointState.READY:
                continue
            task = self._tasks.get(registration.endpoint_id)
            layers = registration.layers
            if (
                task is not None
                and task.incarnation == registration.incarnation
            ):
                layers = task.layers
            engines.append(
                placement.Engine(
                    registration.endpoint_id,
                    registration.data_centre,
                    accelerator,
                    layers,
                )
            )
        return engines


def format_layers(layers: model.LayerRange | None) -> str:
    """Format a layer range for log lines."""
    return "none" if layers is None else f"{layers.first}-{layers.end}"
