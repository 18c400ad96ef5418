"""Bringing engines to hold the layers that the plan gives them."""

import collections.abc
import dataclasses
import datetime

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin import events

# Endpoints register within about 3 s of each other at a system's start; the
# first plan waits until no new one has come for this long.
_SETTLE_TIME = datetime.timedelta(milliseconds=1500)
# A new leader waits for one heartbeat of every endpoint, 1.2 s, and a second
# one in case the first was lost.
_LEADER_SETTLE_TIME = datetime.timedelta(milliseconds=2500)
_PLAN_INTERVAL = datetime.timedelta(milliseconds=250)
# A load takes a second and more; asking this often delays its use by less.
_INSPECT_INTERVAL = datetime.timedelta(milliseconds=300)
# How long to leave an engine alone that refused an order or is silent.
_BACK_OFF = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True)
class _Task:
    """An engine on its way to the layers that it is to hold."""

    incarnation: int
    layers: model.LayerRange
    next_at: datetime.datetime
    is_waiting: bool = False


class LayerOrders:
    """The orders of the leader: at most one under way for each engine.

    Each order follows a look at the engine, so that it rests on what the
    engine holds and not on what an announcement said a while ago.
    """

    __slots__ = ("_may_plan_at", "_newest_at", "_plan_at", "_seen", "_tasks")

    def __init__(self) -> None:
        self._tasks: dict[model.EndpointId, _Task] = {}
        self._seen: set[tuple[model.EndpointId, int]] = set()
        self._newest_at: datetime.datetime | None = None
        self._may_plan_at: datetime.datetime | None = None
        self._plan_at: datetime.datetime | None = None

    def visit_leadership(self, now: datetime.datetime) -> None:
        """Begin to give orders, once the endpoints have been heard."""
        self._tasks.clear()
        self._may_plan_at = now + _LEADER_SETTLE_TIME

    def leave_leadership(self) -> None:
        """Give no more orders."""
        self._tasks.clear()
        self._may_plan_at = None

    def tick(
        self,
        live: collections.abc.Iterable[catalog.Registration],
        configuration: catalog.RouteTable | None,
        fencing_token: int,
        now: datetime.datetime,
    ) -> list[_effects.RegistrarEffect]:
        """Plan anew when it is time, and ask the engines that are due."""
        words = {one.endpoint_id: one for one in live}
        self._note_new(words.values(), now)
        if configuration is None or not self._may_plan(words.values(), now):
            return []
        if self._plan_at is None or now >= self._plan_at:
            self._plan_at = now + _PLAN_INTERVAL
            self._plan(words, configuration, now)
        made: list[_effects.RegistrarEffect] = []
        for endpoint_id, task in self._tasks.items():
            word = words.get(endpoint_id)
            if word is None or task.is_waiting or now < task.next_at:
                continue
            task.is_waiting = True
            made.append(
                _effects.InspectEngine(
                    endpoint_id, task.incarnation, word.address
                )
            )
        return made

    def inspected(
        self,
        event: _events.EngineInspected,
        word: catalog.Registration,
        fencing_token: int,
        now: datetime.datetime,
    ) -> list[_effects.RegistrarEffect]:
        """Order what an engine lacks, by its own report."""
        task = self._tasks.get(event.endpoint_id)
        if task is None or task.incarnation != event.incarnation:
            return []
        task.is_waiting = False
        report = event.report
        if report is None:
            task.next_at = now + _BACK_OFF
            return []
        task.next_at = now + _INSPECT_INTERVAL
        if report.layers == task.layers and not report.is_busy:
            del self._tasks[event.endpoint_id]
            return []
        if report.is_busy:
            return []
        task.is_waiting = True
        order = _effects.OrderLayers(
            event.endpoint_id,
            event.incarnation,
            word.address,
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
            held=shown(report.layers),
        )
        return [_effects.WriteLog(line), order]

    def ordered(
        self, event: _events.LayerOrderAnswered, now: datetime.datetime
    ) -> list[_effects.RegistrarEffect]:
        """Take in the answer to an order."""
        task = self._tasks.get(event.endpoint_id)
        if task is None or task.incarnation != event.incarnation:
            return []
        task.is_waiting = False
        task.next_at = now + _INSPECT_INTERVAL
        if event.is_accepted:
            return []
        task.next_at = now + _BACK_OFF
        line = events.LAYERS_ORDER_REFUSED.line(
            endpoint=event.endpoint_id,
            incarnation=event.incarnation,
            is_fenced=event.is_fenced,
        )
        return [_effects.WriteLog(line)]

    def _note_new(
        self,
        words: collections.abc.Iterable[catalog.Registration],
        now: datetime.datetime,
    ) -> None:
        lives = {(one.endpoint_id, one.incarnation) for one in words}
        if lives - self._seen:
            self._newest_at = now
        self._seen = lives

    def _may_plan(
        self,
        words: collections.abc.Collection[catalog.Registration],
        now: datetime.datetime,
    ) -> bool:
        if self._may_plan_at is None or self._newest_at is None:
            return False
        if any(one.layers is not None for one in words):
            return now >= self._may_plan_at
        return now - self._newest_at >= _SETTLE_TIME

    def _plan(
        self,
        words: dict[model.EndpointId, catalog.Registration],
        configuration: catalog.RouteTable,
        now: datetime.datetime,
    ) -> None:
        wanted: placement.Plan = {}
        for service in configuration.services:
            if service.engine is not None:
                engines = self._engines(words, service.name, service.engine)
                wanted.update(placement.plan(engines, service.engine))
        for endpoint_id, task in list(self._tasks.items()):
            word = words.get(endpoint_id)
            if word is None or word.incarnation != task.incarnation:
                del self._tasks[endpoint_id]
        for endpoint_id, layers in wanted.items():
            word = words[endpoint_id]
            held = self._tasks.get(endpoint_id)
            if held is not None and held.layers == layers:
                continue
            if held is None and word.layers == layers:
                continue
            self._tasks[endpoint_id] = _Task(word.incarnation, layers, now)

    def _engines(
        self,
        words: dict[model.EndpointId, catalog.Registration],
        service: model.ServiceName,
        profile: catalog.EngineProfile,
    ) -> list[placement.Engine]:
        found: list[placement.Engine] = []
        for word in words.values():
            accelerator = profile.accelerator(word.accelerator)
            if word.service != service or accelerator is None:
                continue
            if word.state is not catalog.EndpointState.READY:
                continue
            task = self._tasks.get(word.endpoint_id)
            layers = word.layers
            if task is not None and task.incarnation == word.incarnation:
                layers = task.layers
            found.append(
                placement.Engine(
                    word.endpoint_id, word.data_centre, accelerator, layers
                )
            )
        return found


def shown(layers: model.LayerRange | None) -> str:
    """Return layers as log lines have them."""
    return "none" if layers is None else f"{layers.first}-{layers.end}"
