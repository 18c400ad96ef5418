"""Plans the orders that bring endpoints to the fleet in force."""

import dataclasses
import datetime

import msgspec

from sedgepin import _model
from sedgepin._release import _coverage
from sedgepin._release import _fleet
from sedgepin._release import _guard
from sedgepin._release import _order
from sedgepin._release import _placement
from sedgepin._release import _planner_types
from sedgepin._release import _token_bucket


# Bounds the backoff factor, which would otherwise overflow a timedelta.
_MAX_DOUBLINGS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class _PendingOrder:
    """An order that the endpoint's announcement does not reflect yet."""

    step: _placement.PlacementStep
    order: _order.Order
    attempts: int
    resend_at: datetime.datetime


class OrderPlanner:
    """Reducer of the Raft leader: fleet and announcements in, orders out.

    The state of an endpoint is taken from its announcement alone, and an
    order that the announcement does not reflect in time is sent again.  A
    new leader therefore needs nothing but announcements to continue, and it
    corrects an engine that executed a delayed order of a former leader.

    >>> planner = OrderPlanner()
    >>> planner.handle(LeadershipGained(epoch=4), now, holds_lease=True)
    []
    >>> planner.handle(FleetChanged(fleet), now, holds_lease=True)
    []
    >>> planner.handle(EndpointsObserved(announcements), now, holds_lease=True)
    [SendOrder(Order(epoch=4, sequence=1, ...)), StartTimer(...)]
    """

    __slots__ = (
        "_epoch",
        "_elected_at",
        "_pending",
        "_version_guard",
        "_observed",
        "_resolver",
        "_sequence",
        "_settings",
        "_weight_stores",
        "_wake_at",
        "_withheld",
    )

    def __init__(
        self, settings: _planner_types.PlannerSettings | None = None
    ) -> None:
        self._settings = settings or _planner_types.PlannerSettings()
        self._resolver = _placement.PlacementResolver(_fleet.Fleet())
        self._epoch: int | None = None
        self._sequence = 0
        self._elected_at: datetime.datetime | None = None
        self._observed: tuple[_model.Announcement, ...] = ()
        self._pending: dict[_model.EndpointId, _PendingOrder] = {}
        self._weight_stores = self._new_weight_stores()
        self._version_guard = self._new_version_guard()
        self._wake_at: list[datetime.datetime] = []
        self._withheld: list[_planner_types.WithheldOrder] = []

    @property
    def withheld_orders(self) -> tuple[_planner_types.WithheldOrder, ...]:
        """Return the orders held back by the last planning round.

        Each would have stopped the last serving copy of some layers.
        """
        return tuple(self._withheld)

    def handle(
        self,
        event: _planner_types.PlannerEvent,
        now: datetime.datetime,
        *,
        holds_lease: bool = False,
    ) -> list[_planner_types.PlannerEffect]:
        """Apply an event and return the effects to carry out.

        No order is returned unless this VM leads and ``holds_lease`` is set.
        """
        reports: list[_planner_types.PlannerEffect] = []
        match event:
            case _planner_types.FleetChanged(fleet):
                self._change_fleet(fleet)
            case _planner_types.EndpointsObserved(announcements):
                self._observed = announcements
            case _planner_types.OrderCompleted(order, outcome):
                reports = self._record_outcome(order, outcome, now)
            case _planner_types.LeadershipGained(epoch):
                self._gain_leadership(epoch, now)
            case _planner_types.LeadershipLost():
                self._lose_leadership()
        if self._epoch is None or not holds_lease:
            return reports
        return reports + self._plan(now)

    def _new_weight_stores(self) -> _token_bucket.WeightStoreLimiter:
        settings = self._settings
        return _token_bucket.WeightStoreLimiter(
            settings.loads_per_second, settings.load_burst
        )

    def _new_version_guard(self) -> _guard.VersionGuard:
        return _guard.VersionGuard(self._settings.incomplete_version_timeout)

    def _change_fleet(self, fleet: _fleet.Fleet) -> None:
        if fleet.note_number > self._resolver.fleet.note_number:
            self._resolver = _placement.PlacementResolver(fleet)

    def _gain_leadership(self, epoch: int, now: datetime.datetime) -> None:
        if self._epoch is not None and epoch <= self._epoch:
            return
        self._lose_leadership()
        self._epoch = epoch
        self._sequence = 0
        self._elected_at = now

    def _lose_leadership(self) -> None:
        """Clear all state but the fleet; it may be stale by the next term."""
        self._epoch = None
        self._observed = ()
        self._pending.clear()
        self._weight_stores = self._new_weight_stores()
        self._version_guard = self._new_version_guard()
        self._withheld.clear()

    def _record_outcome(
        self,
        order: _order.Order,
        outcome: _planner_types.OrderOutcome,
        now: datetime.datetime,
    ) -> list[_planner_types.PlannerEffect]:
        pending = self._pending.get(order.endpoint_id)
        if pending is None or pending.order != order:
            return []
        if outcome is _planner_types.OrderOutcome.ACCEPTED:
            return []
        resend_at = now + self._backoff(
            self._settings.retry_interval, pending.attempts
        )
        self._pending[order.endpoint_id] = dataclasses.replace(
            pending, resend_at=resend_at
        )
        if outcome is _planner_types.OrderOutcome.FAILED:
            return []
        return [_planner_types.ReportFencingRefused(order)]

    def _backoff(
        self, first_interval: datetime.timedelta, attempts: int
    ) -> datetime.timedelta:
        factor = 1 << min(attempts - 1, _MAX_DOUBLINGS)
        return min(first_interval * factor, self._settings.max_resend_interval)

    def _plan(
        self, now: datetime.datetime
    ) -> list[_planner_types.PlannerEffect]:
        self._weight_stores.add_data_centres(
            {announcement.data_centre for announcement in self._observed}, now
        )
        self._remove_completed(now)
        steps = self._next_steps()
        coverage = self._serving_coverage()
        self._version_guard.observe(coverage, self._resolver, now)
        self._withheld.clear()
        self._wake_at.clear()
        effects: list[_planner_types.PlannerEffect] = []
        for announcement in self._sorted_by_urgency(steps, coverage):
            step = steps[announcement.endpoint_id]
            if self._may_send(step, announcement, coverage, now):
                effects.append(self._send(step, announcement, now))
        if self._wake_at:
            effects.append(_planner_types.StartTimer(min(self._wake_at)))
        return effects

    def _next_steps(self) -> dict[_model.EndpointId, _placement.PlacementStep]:
        steps = {}
        for announcement in self._observed:
            step = self._next_step(announcement)
            if step is not None:
                steps[announcement.endpoint_id] = step
        return steps

    def _remove_completed(self, now: datetime.datetime) -> None:
        """Remove orders that are fulfilled or whose endpoint is gone.

        An order that a later note made obsolete stays until ``resend_at``,
        because the engine may still be about to execute it.
        """
        observed = {
            announcement.endpoint_id: announcement
            for announcement in self._observed
        }
        for endpoint_id, pending in list(self._pending.items()):
            announcement = observed.get(endpoint_id)
            if announcement is None or _placement.is_fulfilled(
                announcement, pending.step
            ):
                del self._pending[endpoint_id]
            elif now < pending.resend_at:
                continue
            elif pending.step != self._next_step(announcement):
                del self._pending[endpoint_id]

    def _next_step(
        self, announcement: _model.Announcement
    ) -> _placement.PlacementStep | None:
        step = self._resolver.next_step(announcement)
        return self._interrupted_load(announcement) if step is None else step

    def _interrupted_load(
        self, announcement: _model.Announcement
    ) -> _placement.PlacementStep | None:
        """Return the load to repeat on an empty engine that has no role.

        An engine unloads its model before it loads another.  If that load
        fails, neither a role nor an announced model says what the engine
        should hold; only the pending order does.
        """
        pending = self._pending.get(announcement.endpoint_id)
        if pending is None or announcement.model or announcement.leaving:
            return None
        step = pending.step
        model = self._resolver.find_model(step.model)
        is_load = step.action is _order.OrderAction.LOAD_MODEL
        if model is None or not is_load:
            return None
        if step.incarnation != announcement.incarnation:
            return None
        if self._resolver.is_desired_version(model.name, step.version):
            return step
        return msgspec.structs.replace(step, version=model.version)

    def _serving_coverage(self) -> _coverage.Coverage:
        """Count the copies that serve and have no pending order to stop."""
        return _coverage.Coverage(
            announcement
            for announcement in self._observed
            if _placement.is_serving(announcement)
            and not self._is_stopping(announcement)
        )

    def _is_stopping(self, announcement: _model.Announcement) -> bool:
        pending = self._pending.get(announcement.endpoint_id)
        if pending is None:
            return False
        return _placement.stops_serving(pending.step, announcement)

    def _sorted_by_urgency(
        self,
        steps: dict[_model.EndpointId, _placement.PlacementStep],
        coverage: _coverage.Coverage,
    ) -> list[_model.Announcement]:
        """Return the endpoints that need an order, the most urgent first.

        Endpoints for layers that nobody serves come first, then those of
        the model with the most outstanding work per endpoint.
        """

        def urgency(
            announcement: _model.Announcement,
        ) -> tuple[bool, float, _model.EndpointId]:
            step = steps[announcement.endpoint_id]
            served = coverage.serves_layers(step.model, step.layers)
            demand = coverage.demand(step.model)
            return (served, -demand, announcement.endpoint_id)

        candidates = (
            announcement
            for announcement in self._observed
            if announcement.endpoint_id in steps
        )
        return sorted(candidates, key=urgency)

    def _may_send(
        self,
        step: _placement.PlacementStep,
        announcement: _model.Announcement,
        coverage: _coverage.Coverage,
        now: datetime.datetime,
    ) -> bool:
        pending = self._pending.get(step.endpoint_id)
        if (
            pending is not None
            and pending.step == step
            and now < pending.resend_at
        ):
            self._wake_at.append(pending.resend_at)
            return False
        is_counted = _placement.is_serving(
            announcement
        ) and not self._is_stopping(announcement)
        removes_copy = is_counted and _placement.stops_serving(
            step, announcement
        )
        if removes_copy and not self._may_stop_serving(
            announcement, coverage, now
        ):
            return False
        if step.uses_weight_store and not self._acquire_load_token(
            announcement.data_centre, now
        ):
            return False
        if removes_copy:
            coverage.remove(announcement)
        return True

    def _may_stop_serving(
        self,
        announcement: _model.Announcement,
        coverage: _coverage.Coverage,
        now: datetime.datetime,
    ) -> bool:
        assert self._elected_at is not None
        settled_at = self._elected_at + self._settings.settle_time
        if now < settled_at:
            self._wake_at.append(settled_at)
            return False
        if self._version_guard.may_stop_serving(
            announcement, coverage, self._resolver, now
        ):
            return True
        protection_ends_at = self._version_guard.protection_ends_at(
            announcement
        )
        if protection_ends_at is not None:
            self._wake_at.append(protection_ends_at)
        version = _coverage.served_version(announcement)
        self._withheld.append(
            _planner_types.WithheldOrder(
                announcement.endpoint_id, version.model, version.version
            )
        )
        return False

    def _acquire_load_token(
        self, data_centre: _model.DataCentreId, now: datetime.datetime
    ) -> bool:
        if self._weight_stores.try_acquire(data_centre, now):
            return True
        self._wake_at.append(
            self._weight_stores.next_token_at(data_centre, now)
        )
        return False

    def _send(
        self,
        step: _placement.PlacementStep,
        announcement: _model.Announcement,
        now: datetime.datetime,
    ) -> _planner_types.SendOrder:
        assert self._epoch is not None
        self._sequence += 1
        order = _order.Order(
            epoch=self._epoch,
            sequence=self._sequence,
            endpoint_id=step.endpoint_id,
            incarnation=step.incarnation,
            address=announcement.address,
            action=step.action,
            note_number=self._resolver.fleet.note_number,
            model=step.model,
            version=step.version,
            layers=step.layers,
            adapter=step.adapter,
            role=step.role,
            weights=_weights_location(self._resolver.fleet, step),
        )
        pending = self._pending.get(step.endpoint_id)
        is_repeated = pending is not None and pending.step == step
        attempts = (
            pending.attempts + 1 if pending is not None and is_repeated else 1
        )
        resend_at = now + self._backoff(
            self._settings.resend_interval, attempts
        )
        self._pending[step.endpoint_id] = _PendingOrder(
            step, order, attempts, resend_at
        )
        self._wake_at.append(resend_at)
        return _planner_types.SendOrder(order)


def _weights_location(
    fleet: _fleet.Fleet, step: _placement.PlacementStep
) -> str:
    """Return where the weight store holds the weights of a load."""
    if not step.uses_weight_store:
        return ""
    if step.adapter:
        adapters = (
            item.weights
            for item in fleet.adapters
            if (item.model, item.name) == (step.model, step.adapter)
        )
        return next(adapters, "")
    versions = (
        item.weights
        for item in fleet.versions
        if (item.model, item.name) == (step.model, step.version)
    )
    return next(versions, "")
