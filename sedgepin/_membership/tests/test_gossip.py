"""Tests of membership shared between entries."""

import datetime
import random

import msgspec

from sedgepin import _membership as membership
from sedgepin import _model as model

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_SECOND = datetime.timedelta(seconds=1)
_CFG = membership.MembershipSettings()


def announce(
    sequence: int, leaving: bool = False, echo: str = "", incarnation: int = 1
) -> model.Announcement:
    return model.Announcement(
        endpoint_id=model.EndpointId("g1"),
        incarnation=model.Incarnation(incarnation),
        sequence=sequence,
        kind=model.EndpointKind.ENGINE,
        address="http://10.0.0.1:80",
        data_centre=model.DataCentreId("beja"),
        services=(model.ServiceName("gate"),),
        leaving=leaving,
        load=model.LoadReport(running_requests=3, queued_tokens=1000),
        echo=echo,
    )


class Pair:
    """Two entries, a clock for both, and whatever was done."""

    def __init__(self) -> None:
        self.now = _START
        names = (model.VmId("e1"), model.VmId("e2"))
        self.nodes = {
            name: membership.GossipNode(
                name,
                model.Incarnation(5),
                names,
                _CFG,
                random.Random(name),
                _START,
            )
            for name in names
        }
        self.echo = ""
        for name, other in (names, names[::-1]):
            self.handle(name, membership.PeerUp(other))

    def handle(self, name: str, event: membership.Event) -> None:
        vm_id = model.VmId(name)
        for effect in self.nodes[vm_id].handle(event, self.now):
            match effect:
                case membership.SendGossip(recipient, frame):
                    data = msgspec.msgpack.encode(frame)
                    decoded = msgspec.msgpack.decode(
                        data, type=membership.GossipFrame
                    )
                    arrived = membership.GossipArrived(vm_id, decoded)
                    self.handle(recipient, arrived)
                case membership.ReplyAnnouncement(echo, _):
                    self.echo = echo

    def run(self, seconds: float) -> None:
        end = self.now + seconds * _SECOND
        while self.now < end:
            self.now += _SECOND / 20
            for name in self.nodes:
                self.handle(name, membership.TimerFired())

    def eligible(self, name: str) -> list[int]:
        node = self.nodes[model.VmId(name)]
        return [found.sequence for found in node.endpoints.eligible(self.now)]


class TestGossip:
    def test_announcement_needs_an_echo_and_reaches_the_other_entry(
        self,
    ) -> None:
        pair = Pair()
        pair.run(1)
        pair.handle("e1", membership.AnnouncementHeard(announce(1)))
        assert pair.eligible("e1") == []
        pair.handle(
            "e1", membership.AnnouncementHeard(announce(2, echo=pair.echo))
        )
        assert pair.eligible("e1") == [2]
        pair.run(0.6)
        assert pair.eligible("e2") == [2]
        pair.run(2)
        assert pair.eligible("e1") == pair.eligible("e2") == []

    def test_leaving_is_told_at_once_and_is_final(self) -> None:
        pair = Pair()
        pair.run(1)
        for sequence in (1, 2):
            heard = announce(sequence, echo=pair.echo)
            pair.handle("e1", membership.AnnouncementHeard(heard))
        pair.run(1)
        assert pair.eligible("e2") == [2]
        leaving = announce(3, leaving=True)
        pair.handle("e1", membership.AnnouncementHeard(leaving))
        assert pair.eligible("e1") == pair.eligible("e2") == []
        for name in ("e1", "e2"):
            late = announce(9, echo=pair.echo)
            pair.handle(name, membership.AnnouncementHeard(late))
        assert pair.eligible("e1") == pair.eligible("e2") == []
        again = announce(1, echo=pair.echo, incarnation=2)
        pair.handle("e2", membership.AnnouncementHeard(again))
        pair.run(0.6)
        assert pair.eligible("e1") == pair.eligible("e2") == [1]
