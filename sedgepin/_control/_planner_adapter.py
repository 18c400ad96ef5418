"""Orders: what the planner wants given, recorded and logged."""

import dataclasses
import datetime

from sedgepin._control import _effects
from sedgepin import _release as release
from sedgepin import _state as state
from sedgepin import events
from sedgepin import settings


@dataclasses.dataclass(slots=True, frozen=True)
class Planned:
    """What follows from an event: records for the log, and effects."""

    records: list[state.Command]
    effects: list[_effects.ControlEffect]


class Ordering:
    """The order planner of one control VM.

    The planner's timer is not needed: it is handed what endpoints announce
    several times a second.
    """

    __slots__ = ("_actor", "_planner")

    def __init__(self, cfg: settings.ControlSettings) -> None:
        self._actor = cfg.id
        self._planner = release.OrderPlanner(
            release.PlannerSettings(loads_per_second=cfg.loads_per_second)
        )

    def handle(
        self,
        event: release.PlannerEvent,
        holds_lease: bool,
        now: datetime.datetime,
    ) -> Planned:
        """Return what the event calls for; no order without the lease."""
        planned = Planned([], [])
        for effect in self._planner.handle(
            event, now, holds_lease=holds_lease
        ):
            match effect:
                case release.GiveOrder(order):
                    self._give(order, planned, now)
                case release.ReportFencingRefused(order):
                    line = events.ORDER_FAILED.line(
                        endpoint=order.endpoint_id,
                        failure="a higher fencing token was seen",
                    )
                    planned.effects.append(_effects.WriteLog(line))
        return planned

    def _give(
        self, order: release.Order, planned: Planned, now: datetime.datetime
    ) -> None:
        command = state.RecordOrder(at=now, actor=self._actor, order=order)
        planned.records.append(command)
        line = events.ORDER_GIVEN.line(
            endpoint=order.endpoint_id,
            action=order.action.value,
            epoch=order.epoch,
            sequence=order.sequence,
        )
        planned.effects.extend(
            (
                _effects.WriteLog(line),
                _effects.CountMetric("orders_given"),
                _effects.GiveOrder(order),
            )
        )
