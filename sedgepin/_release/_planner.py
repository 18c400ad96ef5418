"""Decides which orders bring the endpoints to the fleet in force."""

import dataclasses
import datetime

import msgspec

from sedgepin import _model
from sedgepin._release import _fleet
from sedgepin._release import _layer_coverage
from sedgepin._release import _order
from sedgepin._release import _placement
from sedgepin._release import _planner_types
from sedgepin._release import _token_bucket
from sedgepin._release import _version_guard


_DOUBLINGS_LIMIT = 16


@dataclasses.dataclass(slots=True, frozen=True)
class _Given:
    """An order given, until the endpoint's announcement follows it."""

    need: _placement.Need
    order: _order.Order
    tries: int
    again_at: datetime.datetime


class OrderPlanner:
    """The leader's reducer from fleet and announcements to orders.

    It remembers nothing that it could not do without: an endpoint is where
    its announcement says, and an order that the announcement does not follow
    is given again.  So a new leader goes on from announcements alone, and an
    engine that obeyed a late order of an old leader is ordered back.

    >>> planner = OrderPlanner()
    >>> planner.handle(LeadershipGained(epoch=4), now, holds_lease=True)
    []
    >>> planner.handle(FleetChanged(fleet), now, holds_lease=True)
    []
    >>> planner.handle(EndpointsObserved(seen), now, holds_lease=True)
    [GiveOrder(Order(epoch=4, sequence=1, ...)), StartTimer(...)]
    """

    __slots__ = (
        "_epoch",
        "_gained_at",
        "_given",
        "_guard",
        "_observed",
        "_placer",
        "_sequence",
        "_settings",
        "_stores",
        "_wake_at",
        "_withheld",
    )

    def __init__(
        self, settings: _planner_types.PlannerSettings | None = None
    ) -> None:
        self._settings = settings or _planner_types.PlannerSettings()
        self._placer = _placement.Placer(_fleet.Fleet())
        self._epoch: int | None = None
        self._sequence = 0
        self._gained_at: datetime.datetime | None = None
        self._observed: tuple[_model.Announcement, ...] = ()
        self._given: dict[_model.EndpointId, _Given] = {}
        self._stores = self._new_stores()
        self._guard = self._new_guard()
        self._wake_at: list[datetime.datetime] = []
        self._withheld: list[_planner_types.Withheld] = []

    @property
    def withheld(self) -> tuple[_planner_types.Withheld, ...]:
        """Return the orders withheld to keep a last copy serving."""
        return tuple(self._withheld)

    def handle(
        self,
        event: _planner_types.PlannerEvent,
        now: datetime.datetime,
        *,
        holds_lease: bool = False,
    ) -> list[_planner_types.PlannerEffect]:
        """Return the orders that the event calls for.

        Without ``holds_lease`` there are none, whatever is due.
        """
        reports: list[_planner_types.PlannerEffect] = []
        match event:
            case _planner_types.FleetChanged(fleet):
                self._change_fleet(fleet)
            case _planner_types.EndpointsObserved(announcements):
                self._observed = announcements
            case _planner_types.OrderAnswered(order, verdict):
                reports = self._note_verdict(order, verdict, now)
            case _planner_types.LeadershipGained(epoch):
                self._gain(epoch, now)
            case _planner_types.LeadershipLost():
                self._lose()
        if self._epoch is None or not holds_lease:
            return reports
        return reports + self._plan(now)

    def _new_stores(self) -> _token_bucket.StoreBuckets:
        settings = self._settings
        return _token_bucket.StoreBuckets(
            settings.loads_per_second, settings.load_burst
        )

    def _new_guard(self) -> _version_guard.CopyGuard:
        return _version_guard.CopyGuard(self._settings.incomplete_time)

    def _change_fleet(self, fleet: _fleet.Fleet) -> None:
        if fleet.note_number > self._placer.fleet.note_number:
            self._placer = _placement.Placer(fleet)

    def _gain(self, epoch: int, now: datetime.datetime) -> None:
        if self._epoch is not None and epoch <= self._epoch:
            return
        self._lose()
        self._epoch = epoch
        self._sequence = 0
        self._gained_at = now

    def _lose(self) -> None:
        """Forget all but the fleet: the next term starts from what is seen."""
        self._epoch = None
        self._observed = ()
        self._given.clear()
        self._stores = self._new_stores()
        self._guard = self._new_guard()
        self._withheld.clear()

    def _note_verdict(
        self,
        order: _order.Order,
        verdict: _planner_types.OrderVerdict,
        now: datetime.datetime,
    ) -> list[_planner_types.PlannerEffect]:
        given = self._given.get(order.endpoint_id)
        if given is None or given.order != order:
            return []
        if verdict is _planner_types.OrderVerdict.ACCEPTED:
            return []
        again_at = now + self._backoff(
            self._settings.retry_interval, given.tries
        )
        self._given[order.endpoint_id] = dataclasses.replace(
            given, again_at=again_at
        )
        if verdict is _planner_types.OrderVerdict.FAILED:
            return []
        return [_planner_types.ReportFencingRefused(order)]

    def _backoff(
        self, first: datetime.timedelta, tries: int
    ) -> datetime.timedelta:
        factor = 1 << min(tries - 1, _DOUBLINGS_LIMIT)
        return min(first * factor, self._settings.follow_limit)

    def _plan(
        self, now: datetime.datetime
    ) -> list[_planner_types.PlannerEffect]:
        self._stores.open({each.data_centre for each in self._observed}, now)
        self._forget_given(now)
        needs = self._needs()
        coverage = self._count_coverage()
        self._guard.observe(coverage, self._placer, now)
        self._withheld.clear()
        self._wake_at.clear()
        effects: list[_planner_types.PlannerEffect] = []
        for announced in self._by_urgency(needs, coverage):
            need = needs[announced.endpoint_id]
            if self._may_give(need, announced, coverage, now):
                effects.append(self._give(need, announced, now))
        if self._wake_at:
            effects.append(_planner_types.StartTimer(min(self._wake_at)))
        return effects

    def _needs(self) -> dict[_model.EndpointId, _placement.Need]:
        needs = {}
        for announced in self._observed:
            need = self._next_need(announced)
            if need is not None:
                needs[announced.endpoint_id] = need
        return needs

    def _forget_given(self, now: datetime.datetime) -> None:
        """Forget orders that were followed or whose endpoint is gone.

        One that a later note made needless still counts until the time to
        repeat it: the engine may yet be about to obey.
        """
        observed = {each.endpoint_id: each for each in self._observed}
        for endpoint_id, given in list(self._given.items()):
            announced = observed.get(endpoint_id)
            if announced is None or _placement.follows(announced, given.need):
                del self._given[endpoint_id]
            elif now < given.again_at:
                continue
            elif given.need != self._next_need(announced):
                del self._given[endpoint_id]

    def _next_need(
        self, announced: _model.Announcement
    ) -> _placement.Need | None:
        need = self._placer.next_need(announced)
        return self._unfinished_load(announced) if need is None else need

    def _unfinished_load(
        self, announced: _model.Announcement
    ) -> _placement.Need | None:
        """Return the load that left an engine without a role empty."""
        given = self._given.get(announced.endpoint_id)
        if given is None or announced.model or announced.leaving:
            return None
        need = given.need
        found = self._placer.model(need.model)
        loading = need.action is _order.OrderAction.LOAD_MODEL
        if found is None or not loading:
            return None
        if need.incarnation != announced.incarnation:
            return None
        if self._placer.wants_version(found.name, need.version):
            return need
        return msgspec.structs.replace(need, version=found.version)

    def _count_coverage(self) -> _layer_coverage.Coverage:
        """Count what serves and has not been ordered to stop serving."""
        return _layer_coverage.Coverage(
            announced
            for announced in self._observed
            if _placement.is_serving(announced)
            and not self._is_being_taken_away(announced)
        )

    def _is_being_taken_away(self, announced: _model.Announcement) -> bool:
        given = self._given.get(announced.endpoint_id)
        if given is None:
            return False
        return _placement.takes_away(given.need, announced)

    def _by_urgency(
        self,
        needs: dict[_model.EndpointId, _placement.Need],
        coverage: _layer_coverage.Coverage,
    ) -> list[_model.Announcement]:
        """Return who needs an order: unserved layers, then most demanded."""

        def urgency(
            announced: _model.Announcement,
        ) -> tuple[bool, float, _model.EndpointId]:
            need = needs[announced.endpoint_id]
            served = coverage.serves_any(need.model, need.layers)
            demand = coverage.demand(need.model)
            return (served, -demand, announced.endpoint_id)

        waiting = (
            announced
            for announced in self._observed
            if announced.endpoint_id in needs
        )
        return sorted(waiting, key=urgency)

    def _may_give(
        self,
        need: _placement.Need,
        announced: _model.Announcement,
        coverage: _layer_coverage.Coverage,
        now: datetime.datetime,
    ) -> bool:
        given = self._given.get(need.endpoint_id)
        if given is not None and given.need == need and now < given.again_at:
            self._wake_at.append(given.again_at)
            return False
        counted = _placement.is_serving(
            announced
        ) and not self._is_being_taken_away(announced)
        removes = counted and _placement.takes_away(need, announced)
        if removes and not self._may_take_away(announced, coverage, now):
            return False
        if need.loads and not self._take_load(announced.data_centre, now):
            return False
        if removes:
            coverage.remove(announced)
        return True

    def _may_take_away(
        self,
        announced: _model.Announcement,
        coverage: _layer_coverage.Coverage,
        now: datetime.datetime,
    ) -> bool:
        assert self._gained_at is not None
        settled_at = self._gained_at + self._settings.settle_time
        if now < settled_at:
            self._wake_at.append(settled_at)
            return False
        if self._guard.may_go(announced, coverage, self._placer, now):
            return True
        unprotected_at = self._guard.unprotected_at(announced)
        if unprotected_at is not None:
            self._wake_at.append(unprotected_at)
        copy = _layer_coverage.copy_of(announced)
        self._withheld.append(
            _planner_types.Withheld(
                announced.endpoint_id, copy.model, copy.version
            )
        )
        return False

    def _take_load(
        self, data_centre: _model.DataCentreId, now: datetime.datetime
    ) -> bool:
        if self._stores.take(data_centre, now):
            return True
        self._wake_at.append(self._stores.next_at(data_centre, now))
        return False

    def _give(
        self,
        need: _placement.Need,
        announced: _model.Announcement,
        now: datetime.datetime,
    ) -> _planner_types.GiveOrder:
        assert self._epoch is not None
        self._sequence += 1
        order = _order.Order(
            epoch=self._epoch,
            sequence=self._sequence,
            endpoint_id=need.endpoint_id,
            incarnation=need.incarnation,
            address=announced.address,
            action=need.action,
            note_number=self._placer.fleet.note_number,
            model=need.model,
            version=need.version,
            layers=need.layers,
            adapter=need.adapter,
            role=need.role,
            weights=_weights(self._placer.fleet, need),
        )
        given = self._given.get(need.endpoint_id)
        repeated = given is not None and given.need == need
        tries = given.tries + 1 if given is not None and repeated else 1
        again_at = now + self._backoff(self._settings.follow_within, tries)
        self._given[need.endpoint_id] = _Given(need, order, tries, again_at)
        self._wake_at.append(again_at)
        return _planner_types.GiveOrder(order)


def _weights(fleet: _fleet.Fleet, need: _placement.Need) -> str:
    """Return where the weight store holds what is to be loaded."""
    if not need.loads:
        return ""
    if need.adapter:
        adapters = (
            item.weights
            for item in fleet.adapters
            if (item.model, item.name) == (need.model, need.adapter)
        )
        return next(adapters, "")
    versions = (
        item.weights
        for item in fleet.versions
        if (item.model, item.name) == (need.model, need.version)
    )
    return next(versions, "")
