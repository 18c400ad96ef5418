"""Tests of the bounds on age."""

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
        asked_at=strategies.integers(0, 9000),
    )
    def test_bound_is_never_after_the_sending(
        self,
        own_rate: float,
        peer_rate: float,
        sent: list[tuple[int, int]],
        asked_at: int,
    ) -> None:
        """Frames come in any order, with any echo older than themselves."""

        def own(true_milliseconds: float) -> datetime.datetime:
            elapsed = true_milliseconds * own_rate * clocks.MILLISECOND
            return network.START + elapsed

        clock = clocks.PeerClock(model.Incarnation(1))
        for sent_at, held in sent:
            returned = own(max(sent_at - held, 0))
            bound = clock.observe(int(sent_at * peer_rate), returned)
            assert bound is not None
            assert bound <= own(sent_at)
        bound = clock.lower_bound(int(asked_at * peer_rate))
        assert bound is not None
        assert bound <= own(asked_at)


class TestRelayedAge:
    def test_age_at_the_sender_and_transit_add_up(self) -> None:
        """A slow sender's second is at most 1.106 of a fast reader's."""
        refresh = frames.Refresh(0, 1, age_centiseconds=100)
        sent = network.START
        now = sent + network.SECOND
        known = peers.max_relayed_age(refresh, sent, now)
        assert known == 2.106 * network.SECOND
        assert peers.max_relayed_age(refresh, None, now) is None
        unknown = frames.Refresh(0, 1, frames.UNKNOWN)
        assert peers.max_relayed_age(unknown, sent, now) is None
