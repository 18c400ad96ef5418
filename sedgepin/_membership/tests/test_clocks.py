"""Tests of the bounds on message age."""

import datetime

import hypothesis
from hypothesis import strategies

from sedgepin._membership import _clocks as clocks
from sedgepin._membership import _frames as frames
from sedgepin._membership import _peer as peers
from sedgepin._membership.tests import network
from sedgepin import _model as model

_RATES = strategies.sampled_from((0.95, 1.0, 1.05))
_SENT = strategies.tuples(
    strategies.integers(0, 9000), strategies.integers(0, 9000)
)


class TestPeerClock:
    @hypothesis.given(
        own_rate=_RATES,
        peer_rate=_RATES,
        sent=strategies.lists(_SENT, min_size=1, max_size=6),
        queried_at=strategies.integers(0, 9000),
    )
    def test_bound_is_never_after_the_sending(
        self,
        own_rate: float,
        peer_rate: float,
        sent: list[tuple[int, int]],
        queried_at: int,
    ) -> None:
        """Frames arrive in any order, each with any earlier echo."""

        def own(true_milliseconds: float) -> datetime.datetime:
            elapsed = true_milliseconds * own_rate * clocks.MILLISECOND
            return network.START + elapsed

        clock = clocks.PeerClock(model.Incarnation(1))
        for sent_at, echo_age in sent:
            echoed_at = own(max(sent_at - echo_age, 0))
            bound = clock.observe(int(sent_at * peer_rate), echoed_at)
            assert bound is not None
            assert bound <= own(sent_at)
        bound = clock.lower_bound(int(queried_at * peer_rate))
        assert bound is not None
        assert bound <= own(queried_at)


class TestRelayedAge:
    def test_relayed_age_adds_age_at_sender_and_transit_time(self) -> None:
        """One second of the slowest sender is 1.106 s of a fast recipient."""
        refresh = frames.Refresh(0, 1, age_centiseconds=100)
        sent_at = network.START
        now = sent_at + network.SECOND
        max_age = peers.max_relayed_age(refresh, sent_at, now)
        assert max_age == 2.106 * network.SECOND
        assert peers.max_relayed_age(refresh, None, now) is None
        unknown = frames.Refresh(0, 1, frames.UNKNOWN)
        assert peers.max_relayed_age(unknown, sent_at, now) is None
