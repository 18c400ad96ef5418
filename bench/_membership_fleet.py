"""One data centre of a fleet: real reducers on a manual clock.

Every frame is encoded and decoded.  Endpoint membership is not shared between
data centres, so one of them represents them all.
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
    """The size of a fleet, with entry VMs spread evenly over data centres."""

    node_count: int
    data_centre_count: int
    subset_size: int = membership.MembershipSettings().subset_size

    @property
    def entry_count(self) -> int:
        """Return the number of entry VMs of one data centre, rounded up."""
        return -(-self.node_count // self.data_centre_count)

    @property
    def endpoint_count(self) -> int:
        """Return the number of endpoints of one data centre."""
        endpoints = self.node_count * _ENDPOINTS_PER_NODE
        return round(endpoints / self.data_centre_count)

    def __str__(self) -> str:
        return (
            f"{self.node_count} nodes, {self.data_centre_count} dc, "
            f"subset {min(self.subset_size, self.entry_count)}"
        )


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class _ScheduledAction:
    """An action scheduled at an instant; ``number`` breaks ties."""

    instant: datetime.datetime
    number: int
    action: collections.abc.Callable[[], None] = dataclasses.field(
        compare=False
    )


class DataCentre:
    """The entry VMs and endpoints of one data centre on one manual clock.

    ``loss`` is the probability that a gossip frame is lost.
    """

    def __init__(self, fleet: Fleet, loss: float = 0.0) -> None:
        self.now = START
        self.rng = random.Random(fleet.node_count)
        self.loss = loss
        self.message_count = 0
        self.frame_bytes = 0
        self.announcement_bytes = 0
        self.cpu_seconds = 0.0
        self.leaving_known_at: dict[str, list[datetime.datetime]] = {}
        self._sequence_numbers = itertools.count()
        self._scheduled_actions: list[_ScheduledAction] = []
        vm_ids = tuple(
            model.VmId(f"entry-{number:03}")
            for number in range(fleet.entry_count)
        )
        settings = membership.MembershipSettings(subset_size=fleet.subset_size)
        self.nodes = {
            vm_id: self._make_node(vm_id, vm_ids, settings) for vm_id in vm_ids
        }
        self.announcements = [
            _make_announcement(number, self.rng)
            for number in range(fleet.endpoint_count)
        ]
        self.subsets = [
            membership.choose_subset(
                announcement.endpoint_id, vm_ids, settings.subset_size
            )
            for announcement in self.announcements
        ]
        self.announcement_targets = [
            self.rng.choice(vm_ids) for _ in self.announcements
        ]
        for vm_id in vm_ids:
            self._connect_neighbours(vm_id)
        for index in range(fleet.endpoint_count):
            self._announce_after(self.rng.random() * SECOND / 2, index)

    def run(self, duration: datetime.timedelta) -> None:
        """Advance the clock and run all actions that become due."""
        end = self.now + duration
        while self._scheduled_actions[0].instant <= end:
            scheduled = heapq.heappop(self._scheduled_actions)
            self.now = scheduled.instant
            scheduled.action()
        self.now = end

    def leave(self, index: int) -> datetime.timedelta | None:
        """Have an endpoint leave; return how long until all entry VMs know.

        Return ``None`` if not all of them know within two seconds.
        """
        left_at = self.now
        leaving = msgspec.structs.replace(
            self.announcements[index],
            leaving=True,
            sequence=self.announcements[index].sequence + 1,
        )
        self.announcements[index] = leaving
        self._handle(
            self.announcement_targets[index],
            membership.AnnouncementReceived(leaving),
        )
        self.run(2 * SECOND)
        leave_times = self.leaving_known_at.get(leaving.endpoint_id, [])
        if len(leave_times) < len(self.nodes):
            return None
        return max(leave_times) - left_at

    def eligible_share(self) -> float:
        """Return the share of endpoints that are eligible on their entry VMs.

        Only the entry VMs in an endpoint's subset count.
        """
        expected_count = 0
        eligible_count = 0
        eligible = {
            vm_id: {
                announcement.endpoint_id
                for announcement in node.endpoints.eligible(self.now)
            }
            for vm_id, node in self.nodes.items()
        }
        for announcement, subset in zip(
            self.announcements, self.subsets, strict=True
        ):
            expected_count += len(subset)
            eligible_count += sum(
                announcement.endpoint_id in eligible[vm_id] for vm_id in subset
            )
        return eligible_count / expected_count

    def _make_node(
        self,
        vm_id: model.VmId,
        vm_ids: tuple[model.VmId, ...],
        settings: membership.MembershipSettings,
    ) -> membership.GossipNode:
        started_at = START - self.rng.random() * SECOND
        return membership.GossipNode(
            vm_id,
            model.Incarnation(1_700_000_000),
            vm_ids,
            settings,
            random.Random(vm_id),
            started_at,
        )

    def _connect_neighbours(self, vm_id: model.VmId) -> None:
        for neighbour in sorted(self.nodes[vm_id].neighbours()):
            self._handle(vm_id, membership.PeerUp(neighbour))
        self._handle(vm_id, membership.TimerFired())

    def _announce_after(self, delay: datetime.timedelta, index: int) -> None:
        self._schedule(self.now + delay, lambda: self._announce(index))

    def _schedule(
        self,
        instant: datetime.datetime,
        action: collections.abc.Callable[[], None],
    ) -> None:
        scheduled = _ScheduledAction(
            instant, next(self._sequence_numbers), action
        )
        heapq.heappush(self._scheduled_actions, scheduled)

    def _announce(self, index: int) -> None:
        previous = self.announcements[index]
        if previous.leaving:
            return
        announcement = msgspec.structs.replace(
            previous,
            sequence=previous.sequence + 1,
            load=_make_load(self.rng),
        )
        self.announcements[index] = announcement
        self.announcement_bytes += len(msgspec.json.encode(announcement))
        event = membership.AnnouncementReceived(announcement)
        effects = self._handle(self.announcement_targets[index], event)
        for effect in effects:
            if isinstance(effect, membership.ReplyToAnnouncement):
                self.announcements[index] = msgspec.structs.replace(
                    announcement, echo=effect.echo
                )
                delay = max(effect.next_announcement_delay, HOP)
                self._announce_after(delay, index)

    def _handle(
        self, vm_id: model.VmId, event: membership.Event
    ) -> list[membership.Effect]:
        start = time.process_time()
        effects = self.nodes[vm_id].handle(event, self.now)
        self.cpu_seconds += time.process_time() - start
        for effect in effects:
            match effect:
                case membership.SendGossip(recipient, frame):
                    self._send(vm_id, recipient, frame)
                case membership.WakeAt(instant):
                    self._wake(vm_id, instant)
                case membership.ReportEndpointLeaving(endpoint_id, _):
                    leave_times = self.leaving_known_at.setdefault(
                        endpoint_id, []
                    )
                    leave_times.append(self.now)
        return effects

    def _wake(self, vm_id: model.VmId, instant: datetime.datetime) -> None:
        fired = membership.TimerFired()
        self._schedule(instant, lambda: _discard(self._handle(vm_id, fired)))

    def _send(
        self,
        sender: model.VmId,
        recipient: model.VmId,
        frame: membership.GossipFrame,
    ) -> None:
        start = time.process_time()
        data = msgspec.msgpack.encode(frame)
        self.cpu_seconds += time.process_time() - start
        self.message_count += 1
        self.frame_bytes += len(data)
        if self.rng.random() >= self.loss:
            self._schedule(
                self.now + HOP,
                lambda: self._deliver(sender, recipient, data),
            )

    def _deliver(
        self, sender: model.VmId, recipient: model.VmId, data: bytes
    ) -> None:
        start = time.process_time()
        frame = _DECODER.decode(data)
        self.cpu_seconds += time.process_time() - start
        self._handle(recipient, membership.GossipReceived(sender, frame))


_DECODER = msgspec.msgpack.Decoder(membership.GossipFrame)


def _discard(effects: list[membership.Effect]) -> None:
    """Discard effects; ``DataCentre._handle`` has executed them."""


def _make_load(rng: random.Random) -> model.LoadReport:
    return model.LoadReport(
        running_requests=rng.randrange(64),
        queued_requests=rng.randrange(16),
        queued_tokens=rng.randrange(20_000),
        measured_before_milliseconds=rng.randrange(1000),
    )


def _make_announcement(number: int, rng: random.Random) -> model.Announcement:
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
        load=_make_load(rng),
    )
