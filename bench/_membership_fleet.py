"""One data centre of a fleet, run from its reducers on a manual clock.

Every frame is encoded and decoded.  Data centres share nothing of endpoint
membership, so that one of them stands for all.
"""

import collections.abc
import dataclasses
import datetime
import heapq
import itertools
import random
import time

import msgspec

from sedgepin import _membership as membership
from sedgepin import _model as model

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
SECOND = datetime.timedelta(seconds=1)
HOP = datetime.timedelta(milliseconds=1)
_ENDPOINTS_PER_NODE = 1300 / 320


@dataclasses.dataclass(slots=True, frozen=True)
class Fleet:
    """A number of nodes over a number of data centres."""

    node_count: int
    data_centre_count: int
    subset_size: int = membership.MembershipSettings().subset_size

    @property
    def entry_count(self) -> int:
        """Return the entries of one data centre."""
        return -(-self.node_count // self.data_centre_count)

    @property
    def endpoint_count(self) -> int:
        """Return the endpoints of one data centre."""
        endpoints = self.node_count * _ENDPOINTS_PER_NODE
        return round(endpoints / self.data_centre_count)

    def __str__(self) -> str:
        return (
            f"{self.node_count} nodes, {self.data_centre_count} dc, "
            f"subset {min(self.subset_size, self.entry_count)}"
        )


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class _Due:
    """Something that happens at an instant; ``number`` breaks ties."""

    at: datetime.datetime
    number: int
    action: collections.abc.Callable[[], None] = dataclasses.field(
        compare=False
    )


class DataCentre:
    """The entries and endpoints of one data centre on one manual clock."""

    def __init__(self, fleet: Fleet, loss: float = 0.0) -> None:
        self.now = START
        self.random = random.Random(fleet.node_count)
        self.loss = loss
        self.message_count = 0
        self.frame_bytes = 0
        self.announcement_bytes = 0
        self.cpu_seconds = 0.0
        self.learned_at: dict[str, list[datetime.datetime]] = {}
        self._numbers = itertools.count()
        self._due: list[_Due] = []
        names = tuple(
            model.VmId(f"entry-{number:03}")
            for number in range(fleet.entry_count)
        )
        cfg = membership.MembershipSettings(subset_size=fleet.subset_size)
        self.nodes = {name: self._node(name, names, cfg) for name in names}
        self.announcements = [
            _announcement(number, self.random)
            for number in range(fleet.endpoint_count)
        ]
        self.subsets = [
            membership.choose_subset(found.endpoint_id, names, cfg.subset_size)
            for found in self.announcements
        ]
        self.homes = [self.random.choice(names) for _ in self.announcements]
        for name in names:
            self._connect(name)
        for index in range(fleet.endpoint_count):
            self._after(self.random.random() * SECOND / 2, index)

    def run(self, duration: datetime.timedelta) -> None:
        """Let time pass."""
        end = self.now + duration
        while self._due[0].at <= end:
            due = heapq.heappop(self._due)
            self.now = due.at
            due.action()
        self.now = end

    def leave(self, index: int) -> datetime.timedelta | None:
        """Have an endpoint leave; return when the last entry knew.

        ``None``: not every entry knew within two seconds.
        """
        left_at = self.now
        leaving = msgspec.structs.replace(
            self.announcements[index],
            leaving=True,
            sequence=self.announcements[index].sequence + 1,
        )
        self.announcements[index] = leaving
        self._handle(
            self.homes[index], membership.AnnouncementReceived(leaving)
        )
        self.run(2 * SECOND)
        learned = self.learned_at.get(leaving.endpoint_id, [])
        if len(learned) < len(self.nodes):
            return None
        return max(learned) - left_at

    def eligible_share(self) -> float:
        """Return the share of followed endpoints that may get work."""
        wanted = 0
        found = 0
        eligible = {
            name: {
                announcement.endpoint_id
                for announcement in node.endpoints.eligible(self.now)
            }
            for name, node in self.nodes.items()
        }
        for announcement, subset in zip(
            self.announcements, self.subsets, strict=True
        ):
            wanted += len(subset)
            found += sum(
                announcement.endpoint_id in eligible[name] for name in subset
            )
        return found / wanted

    def _node(
        self,
        name: model.VmId,
        names: tuple[model.VmId, ...],
        cfg: membership.MembershipSettings,
    ) -> membership.GossipNode:
        started_at = START - self.random.random() * SECOND
        return membership.GossipNode(
            name,
            model.Incarnation(1_700_000_000),
            names,
            cfg,
            random.Random(name),
            started_at,
        )

    def _connect(self, name: model.VmId) -> None:
        for other in sorted(self.nodes[name].neighbours()):
            self._handle(name, membership.PeerUp(other))
        self._handle(name, membership.TimerFired())

    def _after(self, wait: datetime.timedelta, index: int) -> None:
        self._at(self.now + wait, lambda: self._announce(index))

    def _at(
        self,
        instant: datetime.datetime,
        action: collections.abc.Callable[[], None],
    ) -> None:
        due = _Due(instant, next(self._numbers), action)
        heapq.heappush(self._due, due)

    def _announce(self, index: int) -> None:
        before = self.announcements[index]
        if before.leaving:
            return
        announcement = msgspec.structs.replace(
            before,
            sequence=before.sequence + 1,
            load=_load(self.random),
        )
        self.announcements[index] = announcement
        self.announcement_bytes += len(msgspec.json.encode(announcement))
        heard = membership.AnnouncementReceived(announcement)
        effects = self._handle(self.homes[index], heard)
        for effect in effects:
            if isinstance(effect, membership.ReplyToAnnouncement):
                self.announcements[index] = msgspec.structs.replace(
                    announcement, echo=effect.echo
                )
                wait = max(effect.next_announcement_delay, HOP)
                self._after(wait, index)

    def _handle(
        self, name: model.VmId, event: membership.Event
    ) -> list[membership.Effect]:
        begun = time.process_time()
        effects = self.nodes[name].handle(event, self.now)
        self.cpu_seconds += time.process_time() - begun
        for effect in effects:
            match effect:
                case membership.SendGossip(recipient, frame):
                    self._send(name, recipient, frame)
                case membership.WakeAt(instant):
                    self._wake(name, instant)
                case membership.ReportEndpointLeaving(endpoint_id, _):
                    learned = self.learned_at.setdefault(endpoint_id, [])
                    learned.append(self.now)
        return effects

    def _wake(self, name: model.VmId, instant: datetime.datetime) -> None:
        fired = membership.TimerFired()
        self._at(instant, lambda: _ignore(self._handle(name, fired)))

    def _send(
        self,
        sender: model.VmId,
        recipient: model.VmId,
        frame: membership.GossipFrame,
    ) -> None:
        begun = time.process_time()
        data = msgspec.msgpack.encode(frame)
        self.cpu_seconds += time.process_time() - begun
        self.message_count += 1
        self.frame_bytes += len(data)
        if self.random.random() >= self.loss:
            self._at(
                self.now + HOP,
                lambda: self._deliver(sender, recipient, data),
            )

    def _deliver(
        self, sender: model.VmId, recipient: model.VmId, data: bytes
    ) -> None:
        begun = time.process_time()
        frame = _DECODER.decode(data)
        self.cpu_seconds += time.process_time() - begun
        self._handle(recipient, membership.GossipReceived(sender, frame))


_DECODER = msgspec.msgpack.Decoder(membership.GossipFrame)


def _ignore(effects: list[membership.Effect]) -> None:
    """Drop effects that were carried out already."""


def _load(generator: random.Random) -> model.LoadReport:
    return model.LoadReport(
        running_requests=generator.randrange(64),
        queued_requests=generator.randrange(16),
        queued_tokens=generator.randrange(20_000),
        measured_before_milliseconds=generator.randrange(1000),
    )


def _announcement(number: int, generator: random.Random) -> model.Announcement:
    first = number % 4 * 20
    return model.Announcement(
        endpoint_id=model.EndpointId(f"engine-{number:04}"),
        incarnation=model.Incarnation(1_700_000_000),
        sequence=100_000,
        kind=model.EndpointKind.ENGINE,
        address=f"http://10.1.{number // 250}.{number % 250}:8000",
        data_centre=model.DataCentreId("ikeja"),
        services=(model.ServiceName("editors"),),
        model=model.ModelName(f"model-{number % 5}"),
        model_version="2026-11",
        adapters=("yoruba", "igbo"),
        layers=model.LayerRange(first, first + 20),
        accelerator=model.AcceleratorSpec("kind-1", 8, 40_000.0),
        checks_fencing=True,
        load=_load(generator),
    )
