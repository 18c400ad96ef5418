"""Tests of gossip between entry VMs."""

import datetime

import msgspec
import pytest

from sedgepin import _membership as membership
from sedgepin._membership.tests import network
from sedgepin import _model as model

_GRID = membership.MembershipSettings(mesh_limit_entries=1)
# True time that ``eligible_age`` takes on a clock that runs 5% slow.
_MAX_ELIGIBLE_TIME = membership.MembershipSettings().eligible_age / 0.95


def _settled_network(count: int = 3, **fields: object) -> network.Network:
    cfg = msgspec.structs.replace(membership.MembershipSettings(), **fields)
    net = network.Network((1.0,) * count, cfg)
    net.add("g1", "e0")
    net.run(4)
    assert net.eligible("g1") == list(net.names)
    return net


def _assert_none_eligible(net: network.Network) -> None:
    assert net.eligible("g1") == []


class TestAge:
    def test_first_announcement_prompts_for_another_only_once(self) -> None:
        net = network.Network((1.0,))
        endpoint = net.add("g1", "e0")
        entry = net.entries["e0"]
        received = membership.AnnouncementReceived(endpoint.announce())
        effects = entry.node.handle(received, entry.clock(net.now))
        reply = next(
            effect
            for effect in effects
            if isinstance(effect, membership.ReplyToAnnouncement)
        )
        assert reply.next_announcement_delay == datetime.timedelta()
        again = membership.AnnouncementReceived(endpoint.announce())
        effects = entry.node.handle(again, entry.clock(net.now))
        delays = [
            effect.next_announcement_delay
            for effect in effects
            if isinstance(effect, membership.ReplyToAnnouncement)
        ]
        assert delays[0] > 0.4 * network.SECOND
        assert entry.node.endpoints.find(model.EndpointId("g1"))
        assert net.eligible("g1") == []

    def test_relayed_announcement_keeps_its_age(self) -> None:
        """A delayed frame does not make its announcement look recent."""
        net = _settled_network()
        net.entries["e1"].is_frozen = True
        net.run(1)
        net.endpoints["g1"].is_silent = True
        net.run(3)
        assert net.eligible("g1") == []
        net.check = lambda: _assert_none_eligible(net)
        assert len(net.entries["e1"].inbox) > 10
        net.wake("e1")

    def test_age_of_later_incarnation_is_not_used_for_earlier_one(
        self,
    ) -> None:
        net = network.Network((1.0,) * 3)
        net.run(1)
        endpoint = net.add("g1", "e0")
        for _ in range(2):
            received = membership.AnnouncementReceived(endpoint.announce())
            net.handle("e0", received)
        while net.in_transit:
            net.deliver()
        endpoint.incarnation = 2
        for _ in range(2):
            received = membership.AnnouncementReceived(endpoint.announce())
            net.handle("e1", received)
        net.in_transit = [
            message for message in net.in_transit if message.recipient == "e0"
        ]
        net.broken_links.add(("e1", "e2"))
        endpoint.is_silent = True
        net.run(1)
        e0, e2 = (net.entries[name].node.endpoints for name in ("e0", "e2"))
        g1 = model.EndpointId("g1")
        assert e0.age(g1, net.entries["e0"].clock(net.now)) is not None
        assert e2.age(g1, net.entries["e2"].clock(net.now)) is None

    def test_backlog_without_echo_counts_as_old_as_the_freeze(self) -> None:
        net = network.Network(
            (1.0,),
            membership.MembershipSettings(
                accept_announcements_without_echo=True
            ),
        )
        net.add("g1", "e0")
        net.broken_links.add(("e0", "g1"))
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
    def test_malformed_echo_is_rejected(self, text: str) -> None:
        assert membership.Echo.parse(text) is None

    @pytest.mark.parametrize("echo", ["e0/{}/99999999", "e0/7/0", "e9/{}/10"])
    def test_echo_of_other_incarnation_or_future_does_not_bound_age(
        self, echo: str
    ) -> None:
        net = network.Network((1.0,))
        endpoint = net.add("g1", "e0")
        endpoint.echo = echo.format(network.FIRST_INCARNATION)
        received = membership.AnnouncementReceived(endpoint.announce())
        net.handle("e0", received)
        assert net.eligible("g1") == []


class TestLeaving:
    @pytest.mark.parametrize("cfg", [membership.MembershipSettings(), _GRID])
    def test_leaving_spreads_immediately_and_is_final(
        self, cfg: membership.MembershipSettings
    ) -> None:
        net = network.Network((1.0,) * 9, cfg)
        endpoint = net.add("g1", "e0")
        net.run(4)
        assert net.eligible("g1") == list(net.names)
        endpoint.is_leaving = True
        received = membership.AnnouncementReceived(endpoint.announce())
        net.handle("e0", received)
        while net.in_transit:
            net.deliver()
        assert net.eligible("g1") == []
        endpoint.is_leaving = False
        net.run(3)
        assert net.eligible("g1") == []
        endpoint.incarnation += 1
        net.run(3)
        assert net.eligible("g1") == list(net.names)

    def test_digest_recovers_a_lost_tombstone(self) -> None:
        net = _settled_network()
        net.broken_links.add(("e0", "e1"))
        net.broken_links.add(("e2", "e1"))
        net.leave("g1")
        net.run(0.1)
        assert "e1" in net.eligible("g1")
        net.broken_links.clear()
        net.run(1)
        assert "e1" not in net.eligible("g1")
        assert net.entries["e1"].node.endpoints.tombstones()

    def test_unreachable_entry_drops_a_leaving_endpoint_by_age(self) -> None:
        net = _settled_network()
        net.broken_links.update((name, "e1") for name in net.names)
        net.leave("g1")
        net.run(_MAX_ELIGIBLE_TIME / network.SECOND)
        assert net.eligible("g1") == []


class TestSpread:
    def test_refresh_from_third_entry_bridges_partial_partition(self) -> None:
        net = _settled_network()
        net.broken_links.update({("e0", "e1"), ("e1", "e0")})
        for _ in range(10):
            net.run(1)
            assert "e2" in net.eligible("g1")
        assert "e1" in net.eligible("g1")

    def test_grid_reaches_all_entries_and_replaces_lost_relays(self) -> None:
        net = network.Network((1.0,) * 16, _GRID)
        net.add("g1", "e0")
        net.run(4)
        node = net.entries["e0"].node
        assert len(node.neighbours()) == 6
        assert net.eligible("g1") == list(net.names)
        for lost_name in sorted(node.neighbours())[:3]:
            net.entries[lost_name].is_frozen = True
            for name in net.names:
                if name != lost_name:
                    down = membership.PeerDown(model.VmId(lost_name))
                    net.handle(name, down)
        net.run(4)
        running = [
            name for name in net.names if not net.entries[name].is_frozen
        ]
        assert net.eligible("g1") == running

    def test_failure_makes_endpoint_ineligible_everywhere_briefly(
        self,
    ) -> None:
        net = _settled_network()
        failed = membership.EndpointFailed(model.EndpointId("g1"))
        net.handle("e0", failed)
        while net.in_transit:
            net.deliver()
        assert net.eligible("g1") == []
        net.run(1.5)
        assert net.eligible("g1") == list(net.names)
        net.handle("e0", failed)
        net.run(1.5)
        assert net.eligible("g1") == ["e1", "e2"]
        net.run(1)
        assert net.eligible("g1") == list(net.names)

    def test_lost_introduction_is_requested_again(self) -> None:
        net = _settled_network(2)
        net.broken_links.add(("e0", "e1"))
        net.add("g2", "e0")
        net.run(1)
        net.broken_links.clear()
        net.run(2)
        assert net.eligible("g2") == list(net.names)

    def test_number_of_stored_descriptions_is_bounded(self) -> None:
        net = _settled_network(2)
        endpoint = net.endpoints["g1"]
        for number in range(30):
            endpoint.adapters = (f"adapter-{number}",)
            net.run(0.5)
        assert net.eligible("g1") == list(net.names)
        newest = net.entries["e1"].node.endpoints.find(model.EndpointId("g1"))
        assert newest is not None and newest.adapters[0] > "adapter-27"
        counts = [
            net.entries[name].node.description_count() for name in net.names
        ]
        assert counts == [2, 1]
        net.leave("g1")
        net.run(1)
        counts = [
            net.entries[name].node.description_count() for name in net.names
        ]
        assert counts == [0, 0]

    def test_reconnected_peer_is_accepted_with_any_incarnation(self) -> None:
        net = _settled_network(2)
        previous = net.entries["e0"]
        net.entries["e0"] = network.Entry(
            "e0", net.names, previous.rate, net.cfg, net.now, 0
        )
        down = membership.PeerDown(model.VmId("e0"))
        net.handle("e1", down)
        net.connect("e0")
        net.connect("e1")
        net.run(4)
        assert net.eligible("g1") == list(net.names)

    def test_rumour_reaches_all_entries_and_expires_everywhere(self) -> None:
        net = _settled_network()
        net.broken_links.update({("e0", "e1"), ("e2", "e1")})
        entry = net.entries["e0"]
        until = entry.clock(net.now) + 20 * network.SECOND
        net.handle("e0", membership.RumourStarted("f1", until))
        net.run(1)
        assert self._entries_with_rumour(net) == ["e0", "e2"]
        net.broken_links.clear()
        net.run(3)
        assert self._entries_with_rumour(net) == list(net.names)
        net.run(16)
        assert self._entries_with_rumour(net) == []

    def test_rumours_cross_scopes_but_tombstones_do_not(
        self,
    ) -> None:
        net = network.Network((1.0,) * 6)
        scopes = [
            membership.Scope(tuple(model.VmId(name) for name in names))
            for names in (net.names[:3], net.names[3:])
        ]
        for own, remote in (scopes, scopes[::-1]):
            for name in own.entries:
                changed = membership.EntriesChanged(own.entries, (remote,))
                net.handle(name, changed)
                net.connect(name)
        net.add("g1", "e0")
        net.run(3)
        assert net.eligible("g1") == list(net.names[:3])
        net.leave("g1")
        net.run(0.1)
        until = net.entries["e0"].clock(net.now) + 20 * network.SECOND
        net.handle("e0", membership.RumourStarted("f0", until))
        while net.in_transit:
            net.deliver()
        assert self._entries_with_rumour(net, "f0") == list(net.names)
        net.broken_links.update(
            (a, b) for a in net.names[:3] for b in net.names[3:]
        )
        net.handle("e0", membership.RumourStarted("f1", until))
        net.run(1)
        assert self._entries_with_rumour(net) == list(net.names[:3])
        net.broken_links.clear()
        net.run(3)
        assert self._entries_with_rumour(net) == list(net.names)
        news_count = net.news_count
        net.run(3)
        assert net.news_count == news_count
        tombstone_counts = [
            len(entry.node.endpoints.tombstones())
            for entry in net.entries.values()
        ]
        assert tombstone_counts == [1, 1, 1, 0, 0, 0]

    def _entries_with_rumour(
        self, net: network.Network, fingerprint: str = "f1"
    ) -> list[str]:
        return [
            name
            for name, entry in net.entries.items()
            if entry.node.rumours.is_active(fingerprint, entry.clock(net.now))
        ]

    def test_cache_events_survive_batching_in_order(self) -> None:
        net = _settled_network(2)
        endpoint = net.endpoints["g1"]
        endpoint.is_silent = True
        sequences: list[int] = []
        for number in range(3):
            announcement = msgspec.structs.replace(
                endpoint.announce(),
                cache_events=(model.CacheEvent(number),),
            )
            net.handle("e0", membership.AnnouncementReceived(announcement))
        net.holds_messages = True
        net.run(0.6)
        entry = net.entries["e1"]
        for message in net.in_transit:
            if message.recipient != "e1" or isinstance(
                message.data, model.Announcement
            ):
                continue
            frame = msgspec.msgpack.decode(
                message.data, type=membership.GossipFrame
            )
            received = membership.GossipReceived(model.VmId("e0"), frame)
            for effect in entry.node.handle(received, entry.clock(net.now)):
                if isinstance(effect, membership.ApplyAnnouncement):
                    events = effect.announcement.cache_events
                    sequences += [event.sequence for event in events]
        assert sequences == [0, 1, 2]
