"""Connects the order planner to the control VM's log and effects."""

import dataclasses
import datetime

from sedgepin._control import _effects
from sedgepin import _release as release
from sedgepin import _state as state
from sedgepin import events
from sedgepin import settings


@dataclasses.dataclass(slots=True, frozen=True)
class PlannerResult:
    """Commands to propose to the Raft log, and effects to carry out."""

    commands: list[state.Command]
    effects: list[_effects.ControlEffect]


class PlannerAdapter:
    """The order planner of a control VM.

    ``StartTimer`` effects of the planner are ignored: the reducer passes it
    the announcements several times a second anyway.
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
    ) -> PlannerResult:
        """Pass an event to the planner; no order is sent without the lease.

        Every order is recorded in the Raft log, logged and counted.
        """
        planner_result = PlannerResult([], [])
        for effect in self._planner.handle(
            event, now, holds_lease=holds_lease
        ):
            match effect:
                case release.SendOrder(order):
                    self._add_order(order, planner_result, now)
                case release.ReportFencingRefused(order):
                    line = events.ORDER_FAILED.line(
                        endpoint=order.endpoint_id,
                        failure=f"the engine has seen a higher fencing token "
                        f"than epoch {order.epoch}, "
                        f"sequence {order.sequence}",
                    )
                    planner_result.effects.append(_effects.WriteLog(line))
        return planner_result

    def _add_order(
        self,
        order: release.Order,
        planner_result: PlannerResult,
        now: datetime.datetime,
    ) -> None:
        command = state.RecordOrder(at=now, actor=self._actor, order=order)
        planner_result.commands.append(command)
        line = events.ORDER_GIVEN.line(
            endpoint=order.endpoint_id,
            action=order.action.value,
            epoch=order.epoch,
            sequence=order.sequence,
        )
        planner_result.effects.extend(
            (
                _effects.WriteLog(line),
                _effects.CountMetric("orders_given"),
                _effects.SendOrder(order),
            )
        )
