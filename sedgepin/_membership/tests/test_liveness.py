"""Tests of VM leases at the leader, and of heartbeat relays."""

import datetime

import hypothesis
from hypothesis import strategies

from sedgepin import _membership as membership
from sedgepin import _model as model

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_SECOND = datetime.timedelta(seconds=1)
_E1 = model.VmId("e1")
_FIRST = model.Incarnation(1)
_TIMER = membership.LeaseTimerFired()


def _received_heartbeat(
    sequence: int, incarnation: int = 1, note: int = 0, age: int = 0
) -> membership.HeartbeatsReceived:
    heartbeat = membership.VmHeartbeat(
        _E1, incarnation, sequence, note, age_milliseconds=age
    )
    return membership.HeartbeatsReceived(
        membership.HeartbeatBatch((heartbeat,))
    )


def _create_leader() -> membership.VmLiveness:
    liveness = membership.VmLiveness()
    member = membership.VmIncarnation(_E1, _FIRST)
    liveness.handle(membership.LeadershipGained((member,)), _START)
    return liveness


class TestLease:
    def test_expired_lease_loses_the_incarnation_permanently(self) -> None:
        liveness = _create_leader()
        liveness.handle(_received_heartbeat(1), _START + _SECOND)
        assert liveness.handle(_TIMER, _START + 3.9 * _SECOND) == []
        lost = [membership.DeclareLost(_E1, _FIRST)]
        late = _START + 4 * _SECOND
        assert liveness.handle(_TIMER, late) == lost
        assert liveness.handle(_TIMER, late) == []
        notified = [membership.NotifyLost(_E1, _FIRST)]
        assert liveness.handle(_received_heartbeat(2), late) == notified
        second = model.Incarnation(2)
        joined = [membership.DeclareJoined(_E1, second)]
        assert (
            liveness.handle(_received_heartbeat(0, incarnation=2), late)
            == joined
        )

    def test_new_incarnation_replaces_the_previous_one(self) -> None:
        effects = _create_leader().handle(
            _received_heartbeat(0, incarnation=2), _START
        )
        assert effects == [
            membership.DeclareLost(_E1, _FIRST),
            membership.DeclareJoined(_E1, model.Incarnation(2)),
        ]

    def test_delayed_or_repeated_heartbeat_does_not_extend_lease(self) -> None:
        liveness = _create_leader()
        later = _START + 2 * _SECOND
        liveness.handle(_received_heartbeat(1, age=2500), later)
        liveness.handle(_received_heartbeat(1), later)
        lost = liveness.handle(_TIMER, _START + 3 * _SECOND)
        assert lost == [membership.DeclareLost(_E1, _FIRST)]

    def test_declares_nothing_after_losing_leadership(self) -> None:
        liveness = _create_leader()
        liveness.handle(membership.LeadershipLost(), _START)
        late = _START + 9 * _SECOND
        assert liveness.handle(_received_heartbeat(1), late) == []
        assert liveness.handle(_TIMER, late) == []

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 3),
                strategies.integers(0, 3),
                strategies.integers(0, 2),
            ),
            max_size=12,
        )
    )
    def test_incarnations_increase_and_are_lost_once(
        self, heartbeats: list[tuple[int, int, int]]
    ) -> None:
        liveness = _create_leader()
        now = _START
        joined, lost = [1], []
        for incarnation, sequence, seconds in heartbeats:
            now += seconds * _SECOND
            effects = liveness.handle(_TIMER, now)
            effects += liveness.handle(
                _received_heartbeat(sequence, incarnation), now
            )
            for effect in effects:
                if isinstance(effect, membership.DeclareJoined):
                    joined.append(effect.incarnation)
                if isinstance(effect, membership.DeclareLost):
                    lost.append(effect.incarnation)
        assert joined == sorted(set(joined))
        assert lost == sorted(set(lost))
        assert set(joined) - set(lost) <= {joined[-1]}


class TestCoverage:
    def test_vm_with_an_older_note_is_listed_as_lagging(self) -> None:
        liveness = _create_leader()
        liveness.handle(_received_heartbeat(1, note=4), _START)
        assert liveness.note_coverage(4).in_force_count == 1
        assert liveness.note_coverage(5).lagging == (_E1,)


class TestRelay:
    def test_batch_contains_only_the_newest_heartbeat_with_its_age(
        self,
    ) -> None:
        relay = membership.HeartbeatRelay()
        for sequence in (2, 1):
            relay.record_heartbeat(
                _received_heartbeat(sequence).batch.heartbeats[0], _START
            )
        batch = relay.flush(_START + _SECOND)
        assert batch.heartbeats == (
            membership.VmHeartbeat(_E1, 1, 2, age_milliseconds=1000),
        )
        assert relay.flush(_START + _SECOND).heartbeats == ()
