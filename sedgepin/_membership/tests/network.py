"""Simulated entry VMs with drifting clocks, on a network with faults."""

import collections
import dataclasses
import datetime
import random
import typing

import msgspec

from sedgepin import _membership as membership
from sedgepin import _model as model

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
SECOND = datetime.timedelta(seconds=1)
STEP = 0.05 * SECOND
# As large as the number of nanoseconds since 1970.
FIRST_INCARNATION = 1_700_000_000_000_000_001
ANNOUNCE_INTERVAL = 0.5 * SECOND


@dataclasses.dataclass(slots=True, frozen=True)
class Message:
    """An encoded frame, or an announcement, in transit to an entry VM."""

    sender: str
    recipient: str
    data: bytes | model.Announcement


class Entry:
    """An entry VM whose clock has an offset and another rate."""

    def __init__(
        self,
        name: str,
        names: tuple[str, ...],
        rate: float,
        cfg: membership.MembershipSettings,
        true_now: datetime.datetime,
        incarnation: int = FIRST_INCARNATION,
    ) -> None:
        self.name = name
        self.rate = rate
        self.offset = random.Random(name).uniform(-9999, 9999) * SECOND
        self.inbox: collections.deque[Message] = collections.deque()
        self.is_frozen = False
        entries = tuple(model.VmId(vm_id) for vm_id in names)
        self.node = membership.GossipNode(
            model.VmId(name),
            model.Incarnation(incarnation),
            entries,
            cfg,
            random.Random(name),
            self.clock(true_now),
        )

    def clock(self, true_now: datetime.datetime) -> datetime.datetime:
        return START + self.offset + (true_now - START) * self.rate

    def eligible(
        self, true_now: datetime.datetime
    ) -> tuple[model.Announcement, ...]:
        return self.node.endpoints.eligible(self.clock(true_now))


class Endpoint:
    """An endpoint that announces twice a second to one entry VM."""

    def __init__(self, name: str, entry: str) -> None:
        self.name = name
        self.entry = entry
        self.incarnation = 1
        self.sequence = 0
        self.echo = ""
        self.adapters: tuple[str, ...] = ()
        self.is_leaving = False
        self.is_silent = False
        self.announce_at = START

    def announce(self) -> model.Announcement:
        self.sequence += 1
        return model.Announcement(
            endpoint_id=model.EndpointId(self.name),
            incarnation=model.Incarnation(self.incarnation),
            sequence=self.sequence,
            kind=model.EndpointKind.ENGINE,
            address="http://10.0.0.1:80",
            data_centre=model.DataCentreId("beja"),
            services=(model.ServiceName("gate"),),
            leaving=self.is_leaving,
            load=model.LoadReport(running_requests=3, queued_tokens=1000),
            echo=self.echo,
            adapters=self.adapters,
        )


class Network:
    """Entry VMs and endpoints in true time.

    ``broken_links`` are pairs of sender and recipient between which messages
    are lost.  While ``holds_messages``, messages stay in ``in_transit`` until
    the test delivers them.  ``left_at`` is when an incarnation of an endpoint
    left.  ``check`` is called before each message is read.
    """

    def __init__(
        self,
        rates: tuple[float, ...],
        cfg: membership.MembershipSettings | None = None,
    ) -> None:
        self.cfg = cfg or membership.MembershipSettings()
        self.now = START
        self.names = tuple(f"e{number}" for number in range(len(rates)))
        self.entries = {
            name: Entry(name, self.names, rate, self.cfg, START)
            for name, rate in zip(self.names, rates, strict=True)
        }
        self.endpoints: dict[str, Endpoint] = {}
        self.in_transit: list[Message] = []
        self.broken_links: set[tuple[str, str]] = set()
        self.holds_messages = False
        self.left_at: dict[tuple[str, int], datetime.datetime] = {}
        self.news_count = 0
        self.check: typing.Callable[[], None] = lambda: None
        for name in self.names:
            self.connect(name)

    def connect(self, name: str) -> None:
        for peer_name in self.names:
            if peer_name != name:
                self.handle(name, membership.PeerUp(model.VmId(peer_name)))

    def restart(self, name: str) -> None:
        previous = self.entries[name]
        incarnation = (
            FIRST_INCARNATION + int((self.now - START) / SECOND * 1000) + 1
        )
        self.entries[name] = Entry(
            name,
            self.names,
            previous.rate,
            self.cfg,
            self.now,
            incarnation,
        )
        self.connect(name)

    def add(self, name: str, entry: str) -> Endpoint:
        endpoint = Endpoint(name, entry)
        endpoint.announce_at = self.now
        self.endpoints[name] = endpoint
        return endpoint

    def leave(self, name: str) -> None:
        endpoint = self.endpoints[name]
        endpoint.is_leaving = True
        self.left_at.setdefault((name, endpoint.incarnation), self.now)
        endpoint.announce_at = self.now

    def handle(self, name: str, event: membership.Event) -> None:
        entry = self.entries[name]
        for effect in entry.node.handle(event, entry.clock(self.now)):
            if isinstance(effect, membership.SendGossip):
                self.news_count += len(effect.frame.news)
                data = msgspec.msgpack.encode(effect.frame)
                self.send(Message(name, effect.recipient, data))
            if isinstance(effect, membership.ReplyToAnnouncement):
                assert isinstance(event, membership.AnnouncementReceived)
                self._reply(name, event.announcement, effect)

    def _reply(
        self,
        name: str,
        announcement: model.Announcement,
        reply: membership.ReplyToAnnouncement,
    ) -> None:
        endpoint = self.endpoints[announcement.endpoint_id]
        if (name, endpoint.name) not in self.broken_links:
            endpoint.echo = reply.echo

    def send(self, message: Message) -> None:
        if (message.sender, message.recipient) not in self.broken_links:
            self.in_transit.append(message)

    def deliver(self, index: int = 0, duplicates: bool = False) -> None:
        """Deliver a message in transit, or a copy if ``duplicates``."""
        message = self.in_transit[index]
        if not duplicates:
            del self.in_transit[index]
        entry = self.entries[message.recipient]
        entry.inbox.append(message)
        self.read(entry)

    def read(self, entry: Entry) -> None:
        while entry.inbox and not entry.is_frozen:
            self.check()
            message = entry.inbox.popleft()
            if isinstance(message.data, model.Announcement):
                received = membership.AnnouncementReceived(message.data)
                self.handle(entry.name, received)
                continue
            frame = msgspec.msgpack.decode(
                message.data, type=membership.GossipFrame
            )
            sender = model.VmId(message.sender)
            self.handle(entry.name, membership.GossipReceived(sender, frame))

    def wake(self, name: str) -> None:
        self.entries[name].is_frozen = False
        self.read(self.entries[name])
        self.check()

    def run(self, seconds: float) -> None:
        end = self.now + seconds * SECOND
        while self.now < end:
            self.now += STEP
            self._announce()
            for name, entry in self.entries.items():
                if not entry.is_frozen:
                    self.handle(name, membership.TimerFired())
            while self.in_transit and not self.holds_messages:
                self.deliver()

    def _announce(self) -> None:
        for endpoint in self.endpoints.values():
            if endpoint.is_silent or self.now < endpoint.announce_at:
                continue
            endpoint.announce_at = self.now + ANNOUNCE_INTERVAL
            announcement = endpoint.announce()
            self.send(Message(endpoint.name, endpoint.entry, announcement))

    def eligible(self, endpoint: str) -> list[str]:
        """Return the entry VMs at which an endpoint is eligible."""
        return [
            name
            for name, entry in self.entries.items()
            for announcement in entry.eligible(self.now)
            if announcement.endpoint_id == endpoint
        ]
