"""Tests of membership shared between entries."""

import datetime

import msgspec
import pytest

from sedgepin import _membership as membership
from sedgepin._membership.tests import network
from sedgepin import _model as model

_GRID = membership.MembershipSettings(mesh_limit_entries=1)
_LATEST = membership.MembershipSettings().eligible_age / 0.95


def _settled(count: int = 3, **fields: object) -> network.Network:
    cfg = msgspec.structs.replace(membership.MembershipSettings(), **fields)
    net = network.Network((1.0,) * count, cfg)
    net.add("g1", "e0")
    net.run(4)
    assert net.eligible("g1") == list(net.names)
    return net


def _assert_none_eligible(net: network.Network) -> None:
    assert net.eligible("g1") == []


class TestAge:
    def test_first_announcement_is_known_and_asked_for_again(self) -> None:
        net = network.Network((1.0,))
        endpoint = net.add("g1", "e0")
        entry = net.entries["e0"]
        heard = membership.AnnouncementReceived(endpoint.announce())
        effects = entry.node.handle(heard, entry.clock(net.now))
        reply = next(
            effect
            for effect in effects
            if isinstance(effect, membership.ReplyToAnnouncement)
        )
        assert reply.next_announcement_delay == datetime.timedelta()
        again = membership.AnnouncementReceived(endpoint.announce())
        effects = entry.node.handle(again, entry.clock(net.now))
        waits = [
            effect.next_announcement_delay
            for effect in effects
            if isinstance(effect, membership.ReplyToAnnouncement)
        ]
        assert waits[0] > 0.4 * network.SECOND
        assert entry.node.endpoints.find(model.EndpointId("g1"))
        assert net.eligible("g1") == []

    def test_relayed_announcement_keeps_its_age(self) -> None:
        """A frame held back for long brings no young announcement."""
        net = _settled()
        net.entries["e1"].is_frozen = True
        net.run(1)
        net.endpoints["g1"].is_silent = True
        net.run(3)
        assert net.eligible("g1") == []
        net.check = lambda: _assert_none_eligible(net)
        assert len(net.entries["e1"].inbox) > 10
        net.wake("e1")

    def test_age_of_a_later_incarnation_is_not_lent_to_the_earlier(
        self,
    ) -> None:
        net = network.Network((1.0,) * 3)
        net.run(1)
        endpoint = net.add("g1", "e0")
        for _ in range(2):
            heard = membership.AnnouncementReceived(endpoint.announce())
            net.handle("e0", heard)
        while net.flying:
            net.deliver()
        endpoint.incarnation = 2
        for _ in range(2):
            heard = membership.AnnouncementReceived(endpoint.announce())
            net.handle("e1", heard)
        net.flying = [
            message for message in net.flying if message.recipient == "e0"
        ]
        net.cuts.add(("e1", "e2"))
        endpoint.is_silent = True
        net.run(1)
        e0, e2 = (net.entries[name].node.endpoints for name in ("e0", "e2"))
        g1 = model.EndpointId("g1")
        assert e0.age(g1, net.entries["e0"].clock(net.now)) is not None
        assert e2.age(g1, net.entries["e2"].clock(net.now)) is None

    def test_without_echo_a_backlog_is_as_old_as_the_freeze(self) -> None:
        net = network.Network(
            (1.0,),
            membership.MembershipSettings(
                accept_announcements_without_echo=True
            ),
        )
        net.add("g1", "e0")
        net.cuts.add(("e0", "g1"))
        net.run(2)
        assert net.eligible("g1") == ["e0"]
        net.entries["e0"].is_frozen = True
        net.run(3)
        net.endpoints["g1"].is_silent = True
        net.wake("e0")
        assert net.eligible("g1") == []

    @pytest.mark.parametrize(
        "text", ["", "e0", "e0/1/", "e0/1/x", "/1/1", "e0/1/" + "9" * 99]
    )
    def test_echo_that_is_none_is_refused(self, text: str) -> None:
        assert membership.Echo.parse(text) is None

    @pytest.mark.parametrize("echo", ["e0/{}/99999999", "e0/7/0", "e9/{}/10"])
    def test_echo_of_another_life_or_of_the_future_bounds_nothing(
        self, echo: str
    ) -> None:
        net = network.Network((1.0,))
        endpoint = net.add("g1", "e0")
        endpoint.echo = echo.format(network.FIRST_LIFE)
        heard = membership.AnnouncementReceived(endpoint.announce())
        net.handle("e0", heard)
        assert net.eligible("g1") == []


class TestLeaving:
    @pytest.mark.parametrize("cfg", [membership.MembershipSettings(), _GRID])
    def test_leaving_is_told_at_once_and_is_final(
        self, cfg: membership.MembershipSettings
    ) -> None:
        net = network.Network((1.0,) * 9, cfg)
        endpoint = net.add("g1", "e0")
        net.run(4)
        assert net.eligible("g1") == list(net.names)
        endpoint.is_leaving = True
        heard = membership.AnnouncementReceived(endpoint.announce())
        net.handle("e0", heard)
        while net.flying:
            net.deliver()
        assert net.eligible("g1") == []
        endpoint.is_leaving = False
        net.run(3)
        assert net.eligible("g1") == []
        endpoint.incarnation += 1
        net.run(3)
        assert net.eligible("g1") == list(net.names)

    def test_lost_news_is_found_by_the_digest(self) -> None:
        net = _settled()
        net.cuts.add(("e0", "e1"))
        net.cuts.add(("e2", "e1"))
        net.leave("g1")
        net.run(0.1)
        assert "e1" in net.eligible("g1")
        net.cuts.clear()
        net.run(1)
        assert "e1" not in net.eligible("g1")
        assert net.entries["e1"].node.endpoints.tombstones()

    def test_cut_entry_stops_by_age_alone(self) -> None:
        net = _settled()
        net.cuts.update((name, "e1") for name in net.names)
        net.leave("g1")
        net.run(_LATEST / network.SECOND)
        assert net.eligible("g1") == []


class TestSpread:
    def test_partial_cut_is_bridged_by_asking_another(self) -> None:
        net = _settled()
        net.cuts.update({("e0", "e1"), ("e1", "e0")})
        for _ in range(10):
            net.run(1)
            assert "e2" in net.eligible("g1")
        assert "e1" in net.eligible("g1")

    def test_grid_reaches_all_and_replaces_a_lost_relay(self) -> None:
        net = network.Network((1.0,) * 16, _GRID)
        net.add("g1", "e0")
        net.run(4)
        node = net.entries["e0"].node
        assert len(node.neighbours()) == 6
        assert net.eligible("g1") == list(net.names)
        for lost in sorted(node.neighbours())[:3]:
            net.entries[lost].is_frozen = True
            for name in net.names:
                if name != lost:
                    down = membership.PeerDown(model.VmId(lost))
                    net.handle(name, down)
        net.run(4)
        up = [name for name in net.names if not net.entries[name].is_frozen]
        assert net.eligible("g1") == up

    def test_failure_holds_an_endpoint_back_everywhere_for_a_moment(
        self,
    ) -> None:
        net = _settled()
        failed = membership.EndpointFailed(model.EndpointId("g1"))
        net.handle("e0", failed)
        while net.flying:
            net.deliver()
        assert net.eligible("g1") == []
        net.run(1.5)
        assert net.eligible("g1") == list(net.names)
        net.handle("e0", failed)
        net.run(1.5)
        assert net.eligible("g1") == ["e1", "e2"]
        net.run(1)
        assert net.eligible("g1") == list(net.names)

    def test_lost_introduction_is_asked_for(self) -> None:
        net = _settled(2)
        net.cuts.add(("e0", "e1"))
        net.add("g2", "e0")
        net.run(1)
        net.cuts.clear()
        net.run(2)
        assert net.eligible("g2") == list(net.names)

    def test_what_is_held_of_a_peer_does_not_grow(self) -> None:
        net = _settled(2)
        endpoint = net.endpoints["g1"]
        for number in range(30):
            endpoint.adapters = (f"adapter-{number}",)
            net.run(0.5)
        assert net.eligible("g1") == list(net.names)
        known = net.entries["e1"].node.endpoints.find(model.EndpointId("g1"))
        assert known is not None and known.adapters[0] > "adapter-27"
        held = [
            net.entries[name].node.description_count() for name in net.names
        ]
        assert held == [2, 1]
        net.leave("g1")
        net.run(1)
        held = [
            net.entries[name].node.description_count() for name in net.names
        ]
        assert held == [0, 0]

    def test_peer_that_comes_back_counts_with_any_incarnation(self) -> None:
        net = _settled(2)
        old = net.entries["e0"]
        net.entries["e0"] = network.Entry(
            "e0", net.names, old.rate, net.cfg, net.now, 0
        )
        down = membership.PeerDown(model.VmId("e0"))
        net.handle("e1", down)
        net.connect("e0")
        net.connect("e1")
        net.run(4)
        assert net.eligible("g1") == list(net.names)

    def test_rumour_reaches_all_and_ends_everywhere(self) -> None:
        net = _settled()
        net.cuts.update({("e0", "e1"), ("e2", "e1")})
        entry = net.entries["e0"]
        until = entry.clock(net.now) + 20 * network.SECOND
        net.handle("e0", membership.RumourStarted("f1", until))
        net.run(1)
        assert self._holders(net) == ["e0", "e2"]
        net.cuts.clear()
        net.run(3)
        assert self._holders(net) == list(net.names)
        net.run(16)
        assert self._holders(net) == []

    def test_rumour_crosses_to_another_scope_and_left_marks_do_not(
        self,
    ) -> None:
        net = network.Network((1.0,) * 6)
        scopes = [
            membership.Scope(tuple(model.VmId(name) for name in names))
            for names in (net.names[:3], net.names[3:])
        ]
        for own, other in (scopes, scopes[::-1]):
            for name in own.entries:
                changed = membership.EntriesChanged(own.entries, (other,))
                net.handle(name, changed)
                net.connect(name)
        net.add("g1", "e0")
        net.run(3)
        assert net.eligible("g1") == list(net.names[:3])
        net.leave("g1")
        net.run(0.1)
        until = net.entries["e0"].clock(net.now) + 20 * network.SECOND
        net.handle("e0", membership.RumourStarted("f0", until))
        while net.flying:
            net.deliver()
        assert self._holders(net, "f0") == list(net.names)
        net.cuts.update((a, b) for a in net.names[:3] for b in net.names[3:])
        net.handle("e0", membership.RumourStarted("f1", until))
        net.run(1)
        assert self._holders(net) == list(net.names[:3])
        net.cuts.clear()
        net.run(3)
        assert self._holders(net) == list(net.names)
        told = net.news_count
        net.run(3)
        assert net.news_count == told
        marks = [
            len(entry.node.endpoints.tombstones())
            for entry in net.entries.values()
        ]
        assert marks == [1, 1, 1, 0, 0, 0]

    def _holders(
        self, net: network.Network, fingerprint: str = "f1"
    ) -> list[str]:
        return [
            name
            for name, entry in net.entries.items()
            if entry.node.rumours.is_active(fingerprint, entry.clock(net.now))
        ]

    def test_cache_events_survive_batching_in_order(self) -> None:
        net = _settled(2)
        endpoint = net.endpoints["g1"]
        endpoint.is_silent = True
        seen: list[int] = []
        for number in range(3):
            announcement = msgspec.structs.replace(
                endpoint.announce(),
                cache_events=(model.CacheEvent(number),),
            )
            net.handle("e0", membership.AnnouncementReceived(announcement))
        net.is_held = True
        net.run(0.6)
        entry = net.entries["e1"]
        for message in net.flying:
            if message.recipient != "e1" or isinstance(
                message.data, model.Announcement
            ):
                continue
            frame = msgspec.msgpack.decode(
                message.data, type=membership.GossipFrame
            )
            arrived = membership.GossipReceived(model.VmId("e0"), frame)
            for effect in entry.node.handle(arrived, entry.clock(net.now)):
                if isinstance(effect, membership.ApplyAnnouncement):
                    events = effect.announcement.cache_events
                    seen += [event.sequence for event in events]
        assert seen == [0, 1, 2]
