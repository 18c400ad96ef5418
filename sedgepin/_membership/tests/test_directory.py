"""Tests of the endpoint directory."""

import datetime
import typing

import hypothesis
from hypothesis import strategies
import msgspec

from sedgepin import _membership as membership
from sedgepin._membership.tests import network
from sedgepin import _model as model

_NOW = network.START
_G1 = model.EndpointId("g1")
_BASE = network.Endpoint("g1", "e0").announce()

_RECEIVED = strategies.tuples(
    strategies.sampled_from(("g1", "g2")),
    strategies.integers(1, 3),
    strategies.integers(0, 3),
    strategies.booleans(),
    strategies.sampled_from((None, 0, 1, 2, 3)),
)
_Received = tuple[str, int, int, bool, int | None]


def _merge(
    directory: membership.EndpointDirectory,
    received: typing.Iterable[_Received],
) -> None:
    for endpoint_id, incarnation, sequence, leaving, seconds in received:
        announcement = msgspec.structs.replace(
            _BASE,
            endpoint_id=endpoint_id,
            incarnation=incarnation,
            sequence=sequence,
            leaving=leaving,
        )
        age = None if seconds is None else seconds * network.SECOND
        directory.merge_announcement(announcement, age, _NOW)


def _endpoint_id(item: model.Announcement | membership.Tombstone) -> str:
    return item.endpoint_id


def _contents(directory: membership.EndpointDirectory) -> object:
    return (
        sorted(directory.live(_NOW), key=_endpoint_id),
        [directory.age(model.EndpointId(name), _NOW) for name in ("g1", "g2")],
        sorted(directory.tombstones(), key=_endpoint_id),
        directory.tombstone_digest,
        sorted(directory.eligible(_NOW), key=_endpoint_id),
    )


def _directory(**fields: object) -> membership.EndpointDirectory:
    cfg = msgspec.structs.replace(membership.MembershipSettings(), **fields)
    return membership.EndpointDirectory(cfg)


class TestMerge:
    @hypothesis.given(
        strategies.lists(_RECEIVED, max_size=8).flatmap(
            lambda received: strategies.tuples(
                strategies.just(received), strategies.permutations(received)
            )
        )
    )
    def test_merge_is_commutative_and_idempotent(
        self, orders: tuple[list[_Received], list[_Received]]
    ) -> None:
        first, second = _directory(), _directory()
        _merge(first, orders[0])
        _merge(second, [*orders[1], *orders[0]])
        assert _contents(first) == _contents(second)


class TestLimits:
    def test_full_directory_refuses_the_next_endpoint(self) -> None:
        directory = _directory(endpoint_limit=1)
        _merge(directory, [("g1", 1, 0, False, 0), ("g2", 1, 0, False, 0)])
        assert [live.endpoint_id for live in directory.live(_NOW)] == ["g1"]
        refused = directory.merge_announcement(
            msgspec.structs.replace(_BASE, endpoint_id="g3"), None, _NOW
        )
        assert refused.unwrap_err() == membership.DirectoryFull(1)

    def test_recent_tombstone_is_never_evicted(self) -> None:
        directory = _directory(tombstone_limit=1)
        directory.mark_left(_G1, model.Incarnation(1), _NOW)
        second_id = model.EndpointId("g2")
        soon = _NOW + 4 * network.SECOND
        assert directory.mark_left(
            second_id, model.Incarnation(1), soon
        ).is_err()
        later = _NOW + 5 * network.SECOND
        assert directory.mark_left(
            second_id, model.Incarnation(1), later
        ).is_ok()
        assert len(directory.tombstones()) == 1

    def test_old_announcement_after_tombstone_expiry_is_not_eligible(
        self,
    ) -> None:
        directory = _directory()
        directory.mark_left(_G1, model.Incarnation(1), _NOW)
        later = _NOW + datetime.timedelta(minutes=10)
        directory.remove_expired(later)
        assert directory.tombstones() == ()
        assert directory.tombstone_digest == 0
        directory.merge_announcement(_BASE, later - _NOW, later)
        assert directory.find(_G1) is not None
        assert directory.eligible(later) == ()

    def test_endpoint_without_announcements_expires(self) -> None:
        directory = _directory()
        _merge(directory, [("g1", 1, 0, False, 0)])
        later = _NOW + datetime.timedelta(seconds=60)
        assert [
            expired.endpoint_id for expired in directory.remove_expired(later)
        ] == ["g1"]
        assert directory.find(_G1) is None


class TestSuspicion:
    def test_endpoint_is_eligible_after_later_announcement_or_backoff(
        self,
    ) -> None:
        directory = _directory()
        _merge(directory, [("g1", 1, 0, False, 0)])
        directory.mark_failed(_G1, _NOW)
        assert directory.eligible(_NOW) == ()
        assert directory.eligible(_NOW + network.SECOND) != ()
        soon = _NOW + 0.2 * network.SECOND
        newer = msgspec.structs.replace(_BASE, sequence=9)
        directory.merge_announcement(newer, 0.1 * network.SECOND, soon)
        assert directory.eligible(soon) == (newer,)
        directory.mark_failed(_G1, soon)
        newest = msgspec.structs.replace(_BASE, sequence=10)
        directory.merge_announcement(newest, datetime.timedelta(), soon)
        assert directory.eligible(soon + network.SECOND) == ()
        assert directory.eligible(soon + 2 * network.SECOND) == (newest,)
        directory.mark_failed(_G1, soon)
        directory.mark_reached(_G1)
        assert directory.eligible(soon) == (newest,)
