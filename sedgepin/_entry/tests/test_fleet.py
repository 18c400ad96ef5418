"""Tests of which release notes an entry VM follows."""

import datetime
import random

import pytest

from sedgepin._entry import _effects
from sedgepin._entry import _fleet
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _release as release
from sedgepin import clock

_CONTROL = model.VmId("control-1")
_NEIGHBOUR = model.VmId("entry-2")
_STEP = datetime.timedelta(milliseconds=100)


def _published(number: int, confirmed: bool) -> protocol.FleetPublished:
    raw = release.encode_fleet(release.Fleet(note_number=number))
    return protocol.FleetPublished(number, confirmed, raw)


class TestFleetFollower:
    """Only newer fleets are followed, and the first only if confirmed.

    A VM without a confirmed fleet follows the newest unconfirmed one after
    ``ISOLATION_TIMEOUT``.
    """

    def _follower(self, now: datetime.datetime) -> _fleet.FleetFollower:
        return _fleet.FleetFollower(
            frozenset((_CONTROL,)),
            frozenset((_NEIGHBOUR,)),
            random.Random(1),
            now,
        )

    def test_unconfirmed_fleet_is_followed_after_isolation_timeout(
        self,
    ) -> None:
        time = clock.ManualClock()
        follower = self._follower(time.now())
        follower.handle_published(_published(3, False), time.now())
        follower.handle_published(_published(5, False), time.now())
        follower.handle_published(_published(4, False), time.now())
        time.advance(_fleet.ISOLATION_TIMEOUT - _STEP)
        follower.tick(frozenset(), time.now())
        assert follower.fleet is None
        time.advance(_STEP)
        follower.tick(frozenset(), time.now())
        assert follower.number == 5

    @pytest.mark.parametrize(
        ("numbers", "followed"),
        [([2, 3], 3), ([3, 2], 3), ([3, 3], 3), ([0, 1], 1)],
    )
    def test_older_fleet_does_not_replace_a_newer_one(
        self, numbers: list[int], followed: int
    ) -> None:
        time = clock.ManualClock()
        follower = self._follower(time.now())
        for number in numbers:
            follower.handle_published(_published(number, True), time.now())
        assert follower.number == followed

    def test_pulls_from_all_peers_without_fleet_then_from_one_control_vm(
        self,
    ) -> None:
        time = clock.ManualClock()
        follower = self._follower(time.now())
        connected = frozenset((_CONTROL, _NEIGHBOUR))
        assert len(follower.tick(connected, time.now())) == 2
        follower.handle_published(_published(1, True), time.now())
        time.advance(2 * _fleet.PULL_INTERVAL)
        assert len(follower.tick(connected, time.now())) == 1

    def test_fleet_sent_to_a_neighbour_is_unconfirmed(self) -> None:
        time = clock.ManualClock()
        follower = self._follower(time.now())
        follower.handle_published(_published(2, True), time.now())
        (effect,) = follower.handle_wanted(
            _NEIGHBOUR, protocol.FleetWanted(-1)
        )
        assert isinstance(effect, _effects.SendMessage)
        assert isinstance(effect.message, protocol.FleetPublished)
        assert not effect.message.confirmed
