"""Property tests with malformed and extreme frames and announcements."""

import hypothesis
from hypothesis import strategies
import msgspec

from sedgepin import _membership as membership
from sedgepin._membership import _frames as frames
from sedgepin._membership.tests import network
from sedgepin import _model as model

_SMALL = strategies.integers(0, 1)
_LARGE = strategies.sampled_from((-1, 2**36, 2**40, 2**53, 2**63 - 1))
_NUMBERS = _SMALL | _LARGE | strategies.integers(-(2**63), 2**64 - 1)
_NAMES = strategies.sampled_from(("g1", "g2", "e0", "", "x" * 128, "é/1"))
_BASE = network.Endpoint("g1", "e0").announce()
_REFRESHES = strategies.lists(
    strategies.builds(
        frames.Refresh,
        _SMALL,
        _SMALL | _LARGE,
        _SMALL | _LARGE,
        _SMALL | _LARGE,
        _SMALL | _LARGE,
    ),
    max_size=2,
)
_FRAMES = strategies.builds(
    frames.GossipFrame,
    strategies.just(network.FIRST_INCARNATION) | _NUMBERS,
    _NUMBERS,
    strategies.just(network.FIRST_INCARNATION) | _NUMBERS,
    _NUMBERS,
    _NUMBERS,
    _REFRESHES,
    _REFRESHES,
    strategies.lists(
        strategies.builds(
            frames.Introduction, _SMALL, _NUMBERS, strategies.just(_BASE)
        ),
        max_size=2,
    ),
    strategies.lists(_NUMBERS, max_size=2),
    strategies.lists(_NAMES, max_size=2),
    strategies.lists(
        strategies.builds(frames.EndpointLeft, _NAMES, _NUMBERS)
        | strategies.builds(frames.EndpointUnreachable, _NAMES, _NUMBERS)
        | strategies.builds(frames.Rumour, _NAMES, _NUMBERS),
        max_size=2,
    ),
)


class TestFrames:
    @hypothesis.given(strategies.lists(_FRAMES, max_size=4))
    def test_entry_survives_any_frame(
        self, sent: list[membership.GossipFrame]
    ) -> None:
        net = network.Network((1.0, 1.0))
        net.add("g2", "e1")
        net.run(0.5)
        for frame in sent:
            data = msgspec.msgpack.encode(frame)
            try:
                decoded = msgspec.msgpack.decode(
                    data, type=membership.GossipFrame
                )
            except msgspec.ValidationError:
                continue
            received = membership.GossipReceived(model.VmId("e0"), decoded)
            net.handle("e1", received)
            net.run(0.6)


class TestAnnouncements:
    @hypothesis.given(
        number=strategies.integers(0, 2**70),
        large=strategies.sampled_from(("sequence", "incarnation", "cache")),
        echo=strategies.integers(0, 2**70),
    )
    def test_announcement_with_too_large_number_is_refused(
        self, number: int, large: str, echo: int
    ) -> None:
        net = network.Network((1.0, 1.0))
        net.add("g1", "e0")
        net.run(0.6)
        cache = (model.CacheEvent(number),)
        announcement = msgspec.structs.replace(
            _BASE,
            sequence=number if large == "sequence" else 9,
            incarnation=number if large == "incarnation" else 1,
            cache_events=cache if large == "cache" else (),
            echo=f"e1/{network.FIRST_INCARNATION}/{echo}",
        )
        entry = net.entries["e0"]
        received = membership.AnnouncementReceived(announcement)
        effects = entry.node.handle(received, entry.clock(net.now))
        refused = [
            effect
            for effect in effects
            if isinstance(effect, membership.RefuseAnnouncement)
        ]
        assert bool(refused) == (number >= 2**63)
        net.run(0.6)
