"""Tests of the order planner."""

import collections.abc
import datetime
import random

import msgspec
import pytest

from sedgepin import _model as model
from sedgepin import _release as release
from sedgepin import clock

_SECOND = datetime.timedelta(seconds=1)
_ACTIONS = release.OrderAction
_TARE = model.ModelName("tare")


def _note(number: int, *changes: release.Change) -> release.ReleaseNote:
    return release.ReleaseNote(
        number=number,
        note_id=f"n{number}",
        author="amel",
        title="t",
        changes=changes,
    )


def _fleet(*notes: collections.abc.Sequence[release.Change]) -> release.Fleet:
    fleet = release.Fleet()
    for number, changes in enumerate(notes, 1):
        fleet = fleet.with_note(_note(number, *changes)).unwrap()
    return fleet


def _tare_model(version: str, *adapters: str) -> release.Model:
    return release.Model(
        name=_TARE, layer_count=8, version=version, adapters=adapters
    )


_V1 = (release.Added(_tare_model("v1")),)
_V2 = (release.Changed(_tare_model("v2")),)


def _role(endpoint_id: str, role: str) -> release.Role:
    return release.Role(
        name=f"for-{endpoint_id}",
        selector=release.Selector(endpoint_id=model.EndpointId(endpoint_id)),
        role=role,
        model=_TARE,
    )


def _engine(
    endpoint_id: str,
    version: str = "v1",
    layers: model.LayerRange | None = model.LayerRange(0, 8),
    **changes: object,
) -> model.Announcement:
    announcement = model.Announcement(
        endpoint_id=model.EndpointId(endpoint_id),
        incarnation=model.Incarnation(1),
        sequence=1,
        kind=model.EndpointKind.ENGINE,
        address="http://127.0.0.1:1",
        data_centre=model.DataCentreId("beja"),
        services=(),
        model=_TARE if version else None,
        model_version=version,
        layers=layers if version else None,
    )
    return msgspec.structs.replace(announcement, **changes)


class _Leader:
    """A planner on the leader, with its clock."""

    def __init__(self, fleet: release.Fleet, epoch: int = 1) -> None:
        self.clock = clock.ManualClock()
        settings = release.PlannerSettings(loads_per_second=1, load_burst=2)
        self.planner = release.OrderPlanner(settings)
        self.handle(release.FleetChanged(fleet))
        self.handle(release.LeadershipGained(epoch))

    def handle(
        self, event: release.PlannerEvent, holds_lease: bool = True
    ) -> list[release.Order]:
        effects = self.planner.handle(
            event, self.clock.now(), holds_lease=holds_lease
        )
        return [
            effect.order
            for effect in effects
            if isinstance(effect, release.SendOrder)
        ]

    def observe(
        self,
        *announcements: model.Announcement,
        after: float = 0,
        lease: bool = True,
    ) -> list[release.Order]:
        self.clock.advance(after * _SECOND)
        return self.handle(release.EndpointsObserved(announcements), lease)


class TestOrderPlanner:
    """Single decisions of the planner."""

    def test_no_order_without_lease_or_leadership(self) -> None:
        leader = _Leader(_fleet(_V1))
        empty = _engine("e1", "")
        role = _fleet(_V1, (release.Added(_role("e1", "serve")),))
        leader.handle(release.FleetChanged(role))
        leader.observe(empty)
        assert leader.observe(empty, after=10, lease=False) == []
        assert len(leader.observe(empty)) == 1
        leader.handle(release.LeadershipLost())
        assert leader.observe(empty, after=1000) == []

    def test_last_copy_serves_until_the_new_version_is_complete(self) -> None:
        leader = _Leader(_fleet(_V1, _V2))
        low, high = model.LayerRange(0, 4), model.LayerRange(4, 8)
        old = [
            _engine("a1", layers=low),
            _engine("a2", layers=low),
            _engine("b1", layers=high),
            _engine("b2", layers=high),
        ]
        assert leader.observe(*old, after=1) == [], "settle_time is not over"
        leader.observe(*old, after=5)
        leader.observe(*old, after=5)
        withheld = leader.planner.withheld_orders
        assert {order.endpoint_id for order in withheld} == {"a2", "b2"}
        half = [_engine("a1", "v2", low), *old[1:]]
        assert leader.observe(*half, after=20) == []
        both = [half[0], old[1], _engine("b1", "v2", high), old[3]]
        orders = leader.observe(*both, after=20)
        assert {order.endpoint_id for order in orders} == {"a2", "b2"}

    def test_only_copy_is_never_stopped(self) -> None:
        leader = _Leader(_fleet(_V1, _V2))
        for _ in range(100):
            assert leader.observe(_engine("e1"), after=10) == []
        withheld = release.WithheldOrder(model.EndpointId("e1"), _TARE, "v1")
        assert leader.planner.withheld_orders == (withheld,)

    def test_incomplete_version_loses_its_protection(self) -> None:
        leader = _Leader(_fleet(_V1, _V2))
        half = _engine("e1", layers=model.LayerRange(0, 4))
        leader.observe(half)
        assert leader.observe(half, after=29) == []
        (order,) = leader.observe(half, after=2)
        assert (order.version, order.layers) == ("v2", half.layers)

    def test_withdrawn_model_is_unloaded(self) -> None:
        withdrawn = (release.Withdrawn(release.WithdrawnModel(name="tare")),)
        leader = _Leader(_fleet(_V1, withdrawn))
        leader.observe(_engine("e1"))
        orders = leader.observe(_engine("e1"), after=10)
        assert [order.action for order in orders] == [_ACTIONS.UNLOAD_MODEL]

    def test_one_note_swaps_two_roles(self) -> None:
        roles = (
            release.Added(_role("e1", "decode")),
            release.Added(_role("e2", "prefill")),
        )
        leader = _Leader(_fleet(_V1, roles))
        announcements = [
            _engine("e1", role="prefill"),
            _engine("e2", role="decode"),
        ]
        actions = {
            order.endpoint_id: (order.action, order.role)
            for order in leader.observe(*announcements)
        }
        assert actions == {
            "e1": (_ACTIONS.CHANGE_ROLE, "decode"),
            "e2": (_ACTIONS.CHANGE_ROLE, "prefill"),
        }

    def test_adapters_are_loaded_then_unloaded(self) -> None:
        leader = _Leader(_fleet((release.Added(_tare_model("v1", "sugar")),)))
        leader.observe(_engine("e1", adapters=("old",)))
        (load,) = leader.observe(_engine("e1", adapters=("old",)), after=2)
        assert (load.action, load.adapter) == (_ACTIONS.LOAD_ADAPTER, "sugar")
        (drop,) = leader.observe(_engine("e1", adapters=("old", "sugar")))
        assert (drop.action, drop.adapter) == (_ACTIONS.UNLOAD_ADAPTER, "old")

    def test_load_rate_is_bounded_in_every_window(self) -> None:
        role = release.Role(
            name="all",
            selector=release.Selector(data_centre=model.DataCentreId("beja")),
            model=_TARE,
        )
        leader = _Leader(_fleet(_V1, (release.Added(role),)))
        empty = [_engine(f"e{number:02}", "") for number in range(60)]
        sent_at: list[float] = []
        leader.observe(_engine("idle"))
        leader.observe(_engine("idle"), after=30)
        for step in range(200):
            orders = leader.observe(*empty, after=0.1)
            sent_at += [step / 10] * len(orders)
        assert len(sent_at) >= 18
        for first in sent_at:
            for last in [at for at in sent_at if at >= first]:
                count = sum(first <= at <= last for at in sent_at)
                assert count <= 2 + (last - first) + 1e-6

    def test_unserved_then_most_loaded_model_comes_first(self) -> None:
        models = [model.ModelName(name) for name in ("calm", "busy", "gone")]
        changes: list[release.Change] = []
        for name in models:
            item = release.Model(name=name, layer_count=8, version="v1")
            selector = release.Selector(endpoint_id=model.EndpointId(name))
            role = release.Role(name=name, selector=selector, model=name)
            changes += [release.Added(item), release.Added(role)]
        leader = _Leader(_fleet(changes))
        busy = model.LoadReport(queued_tokens=900)
        announcements = [_engine(name, "") for name in models] + [
            _engine("s1", model="calm"),
            _engine("s2", model="busy", load=busy),
        ]
        leader.observe(*announcements)
        orders = leader.observe(*announcements, after=2)
        assert [order.endpoint_id for order in orders] == ["gone", "busy"]

    def test_unfulfilled_order_is_resent_with_backoff(self) -> None:
        leader = _Leader(_fleet(_V1, (release.Added(_role("e1", "serve")),)))
        empty = _engine("e1", "")
        leader.observe(empty)
        (first,) = leader.observe(empty, after=5)
        assert leader.observe(empty, after=59) == []
        (second,) = leader.observe(empty, after=2)
        assert leader.observe(empty, after=100) == []
        (third,) = leader.observe(empty, after=30)
        assert first.fencing_token < second.fencing_token < third.fencing_token
        refused = release.OrderOutcome.REFUSED_FENCING
        effects = leader.planner.handle(
            release.OrderCompleted(third, refused), leader.clock.now()
        )
        assert effects == [release.ReportFencingRefused(third)]
        assert len(leader.observe(empty, after=5)) == 1

    def test_empty_engine_without_role_is_ordered_to_load_again(self) -> None:
        leader = _Leader(_fleet(_V1, _V2))
        pair = [_engine("e1"), _engine("e2")]
        leader.observe(*pair)
        (first,) = leader.observe(*pair, after=5)
        empty = [_engine("e1", ""), pair[1]]
        failed = release.OrderOutcome.FAILED
        leader.handle(release.OrderCompleted(first, failed))
        (again,) = leader.observe(*empty, after=2)
        assert (again.endpoint_id, again.version) == ("e1", "v2")
        v3 = _fleet(_V1, _V2, (release.Changed(_tare_model("v3")),))
        (newer,) = leader.handle(release.FleetChanged(v3))
        assert (newer.endpoint_id, newer.version) == ("e1", "v3")

    def test_tokens_of_a_later_epoch_are_higher(self) -> None:
        leader = _Leader(_fleet(_V1, (release.Added(_role("e1", "serve")),)))
        empty = _engine("e1", "")
        leader.observe(empty)
        (before,) = leader.observe(empty, after=5)
        leader.handle(release.LeadershipLost())
        assert leader.handle(release.LeadershipGained(7)) == []
        leader.observe(empty)
        (after,) = leader.observe(empty, after=5)
        assert after.fencing_token > before.fencing_token
        assert after.epoch == 7

    def test_late_order_of_a_former_leader_keeps_the_last_copy(self) -> None:
        """An engine may execute an order after its leader was replaced.

        The new leader sees it empty and must keep the other copy serving.
        """
        leader = _Leader(_fleet(_V1, _V2))
        pair = [_engine("e1"), _engine("e2")]
        leader.observe(*pair)
        (delayed,) = leader.observe(*pair, after=5)
        assert delayed.endpoint_id == "e1"
        leader.handle(release.LeadershipLost())
        leader.handle(release.LeadershipGained(2))
        for _ in range(5):
            assert leader.observe(*pair, after=0.5) == []
        executed = [_engine("e1", ""), pair[1]]
        assert leader.observe(*executed, after=60) == []
        loaded = [_engine("e1", "v2"), pair[1]]
        (last,) = leader.observe(*loaded, after=10)
        assert last.endpoint_id == "e2"

    def test_older_fleet_is_ignored(self) -> None:
        leader = _Leader(_fleet(_V1, _V2))
        leader.handle(release.FleetChanged(_fleet(_V1)))
        spare = [_engine("e1"), _engine("e2", "v2")]
        leader.observe(*spare)
        orders = leader.observe(*spare, after=10)
        assert [order.version for order in orders] == ["v2"]


class _FakeEngine:
    """An engine that loads slowly and checks fencing if it announces so."""

    def __init__(self, announcement: model.Announcement) -> None:
        self.announcement = announcement
        self.highest_token: release.FencingToken | None = None
        self.loading: model.Announcement | None = None
        self.ready_at = 0.0

    def execute(
        self, order: release.Order, at: float, load_seconds: float
    ) -> bool:
        checks_fencing = self.announcement.checks_fencing
        if (
            checks_fencing
            and self.highest_token
            and order.fencing_token < self.highest_token
        ):
            return False
        self.highest_token = order.fencing_token
        if order.action is not _ACTIONS.LOAD_MODEL:
            return True
        self.loading = msgspec.structs.replace(
            self.announcement,
            model=order.model,
            model_version=order.version,
            layers=order.layers,
        )
        self.announcement = msgspec.structs.replace(
            self.announcement, model=None, model_version="", layers=None
        )
        self.ready_at = at + load_seconds
        return True

    def run_to(self, at: float) -> None:
        if self.loading is not None and at >= self.ready_at:
            self.announcement = self.loading
            self.loading = None


def _is_any_version_complete(engines: list[_FakeEngine]) -> bool:
    """Return whether the engines hold every layer of some version."""
    for version in ("v1", "v2", "v3"):
        held_layers: set[int] = set()
        for engine in engines:
            layers = engine.announcement.layers
            if engine.announcement.model_version == version and layers:
                held_layers.update(range(layers.first, layers.end))
        if held_layers == set(range(8)):
            return True
    return False


class TestRollout:
    """A rollout with delayed orders, lost answers and leader changes."""

    @pytest.mark.parametrize("seed", range(12))
    def test_some_version_is_complete_at_every_instant(
        self, seed: int
    ) -> None:
        rng = random.Random(seed)
        engines = [
            _FakeEngine(
                _engine(
                    f"e{number}",
                    layers=model.LayerRange(
                        number % 2 * 4, number % 2 * 4 + 4
                    ),
                    checks_fencing=rng.random() < 0.5,
                )
            )
            for number in range(6)
        ]
        fleets = [_fleet(_V1, _V2)]
        changed = (release.Changed(_tare_model("v3")),)
        fleets.append(_fleet(_V1, _V2, changed))
        leader = _Leader(fleets[0])
        in_transit: list[tuple[float, release.Order]] = []
        announcements = [engine.announcement for engine in engines]
        for step in range(2400):
            at = step / 4
            if step == 160:
                leader.handle(release.FleetChanged(fleets[1]))
            if rng.random() < 0.01:
                leader.handle(release.LeadershipLost())
                leader.handle(release.LeadershipGained(step + 2))
            for order in leader.observe(*announcements, after=0.25):
                if rng.random() < 0.8:
                    in_transit.append((at + rng.choice([0, 0, 2]), order))
                if rng.random() < 0.2:
                    outcome = release.OrderOutcome.FAILED
                    leader.handle(release.OrderCompleted(order, outcome))
            for due, order in [item for item in in_transit if item[0] <= at]:
                in_transit.remove((due, order))
                engine = engines[int(order.endpoint_id[1:])]
                engine.execute(order, at, rng.uniform(0, 20))
            assert _is_any_version_complete(engines), (
                f"no version is complete at {at} s"
            )
            announcements = [engine.announcement for engine in engines]
            for engine in engines:
                engine.run_to(at)
        versions = {engine.announcement.model_version for engine in engines}
        assert versions == {"v3"}
