"""Decides which frames an entry VM sends, when and to which peers."""

import collections.abc
import datetime
import random

from sedgepin._membership import _clocks as clocks
from sedgepin._membership import _directory as directory
from sedgepin._membership import _events as events
from sedgepin._membership import _frames as frames
from sedgepin._membership import _peer as peers
from sedgepin._membership import _pending as pending
from sedgepin._membership import _rumours as rumours
from sedgepin._membership import _settings as settings
from sedgepin._membership import _topology as topology
from sedgepin._membership import _writer as writers
from sedgepin import _model as model

# A peer is asked for a refresh of an endpoint whose announcement is between
# these ages; beyond the second, no peer is likely to have a newer one.
_MIN_REQUEST_AGE = datetime.timedelta(seconds=2.1)
_MAX_REQUEST_AGE = datetime.timedelta(seconds=5)
# A requested refresh is sent only if its announcement is younger than this.
_MAX_ANSWER_AGE = datetime.timedelta(seconds=1.5)
_MAX_REQUESTED_ENDPOINTS = 64
_MAX_REQUESTED_HANDLES = 4096


class GossipSender:
    """Holds the peers and the pending announcements, and creates frames.

    Pending announcements are ``_direct`` if received from an endpoint, and
    ``_relayed`` if received from another column of the grid.
    """

    __slots__ = (
        "_bridges",
        "_cfg",
        "_clock",
        "_direct",
        "_endpoints",
        "_entries",
        "_grid_neighbours",
        "_peers",
        "_random",
        "_relayed",
        "_relays",
        "_subsets",
        "_writer",
    )

    def __init__(
        self,
        clock: clocks.IncarnationClock,
        cfg: settings.MembershipSettings,
        generator: random.Random,
        endpoints: directory.EndpointDirectory,
        rumour_store: rumours.RumourStore,
    ) -> None:
        self._clock = clock
        self._cfg = cfg
        self._random = generator
        self._endpoints = endpoints
        self._writer = writers.FrameWriter(clock, endpoints, rumour_store)
        self._peers: dict[model.VmId, peers.Peer] = {}
        self._direct = pending.PendingAnnouncements()
        self._relayed = pending.PendingAnnouncements()
        self._subsets: dict[model.EndpointId, frozenset[model.VmId]] = {}
        self._entries: frozenset[model.VmId] = frozenset()
        self._bridges: frozenset[model.VmId] = frozenset()
        self._grid_neighbours: frozenset[model.VmId] = frozenset()
        self._relays = topology.Relays()

    def change_entries(
        self,
        entries: tuple[model.VmId, ...],
        other_scopes: collections.abc.Iterable[topology.Scope] = (),
    ) -> None:
        """Recompute the topology; peers that remain keep their state."""
        self._entries = frozenset(entries)
        self._bridges = topology.choose_all_bridges(
            self._clock.vm_id, topology.Scope(entries), other_scopes
        )
        grid = topology.Grid(self._entries, self._cfg.mesh_limit_entries)
        self._relays = grid.relays(self._clock.vm_id)
        self._grid_neighbours = grid.neighbours(self._clock.vm_id)
        self._subsets.clear()
        for vm_id in self._peers.keys() - self._entries - self._bridges:
            del self._peers[vm_id]

    def neighbours(self) -> frozenset[model.VmId]:
        """Return the entry VMs to keep a connection with.

        These are the neighbours in the grid, the bridges to other scopes, and
        the second choice in each column whose first choice is disconnected.
        """
        second_choices = frozenset(
            column[1]
            for column in self._relays.other_columns
            if len(column) > 1 and self._is_disconnected(column[0])
        )
        return self._grid_neighbours | self._bridges | second_choices

    def description_count(self) -> int:
        """Return the number of descriptions from and introduced to peers."""
        received = sum(len(peer.descriptions) for peer in self._peers.values())
        sent = sum(
            len(peer.introduced_handles) for peer in self._peers.values()
        )
        return received + sent

    def find(self, vm_id: model.VmId) -> peers.Peer | None:
        """Return the state of a peer, created on first use.

        ``None`` for this VM itself, and for a VM that is neither in the scope
        nor a bridge.
        """
        if vm_id not in self._entries | self._bridges:
            return None
        if vm_id == self._clock.vm_id:
            return None
        return self._peers.setdefault(vm_id, peers.Peer())

    def mark_connected(self, vm_id: model.VmId) -> None:
        """Start sending to a peer.

        After a disconnection the peer may be a new process, with any
        incarnation, so the state of its clock and handles is discarded.
        """
        peer = self.find(vm_id)
        if peer is None:
            return
        if peer.is_disconnected:
            peer = self._peers[vm_id] = peers.Peer()
        peer.is_connected = True
        peer.introduced_handles.clear()

    def mark_disconnected(self, vm_id: model.VmId) -> None:
        """Stop sending to a peer."""
        peer = self.find(vm_id)
        if peer is not None:
            peer.is_connected = False
            peer.is_disconnected = True

    def record_requests(
        self, peer: peers.Peer, frame: frames.GossipFrame
    ) -> None:
        """Record the introductions and the requests in a peer's frame."""
        for introduction in frame.introduced:
            peer.add_description(
                self._writer.descriptions.intern(introduction)
            )
        peer.handles_to_introduce.update(frame.wanted[:_MAX_REQUESTED_HANDLES])
        peer.requested_endpoints.update(
            model.EndpointId(requested)
            for requested in frame.asked[:_MAX_REQUESTED_ENDPOINTS]
        )

    def answer_requests(
        self, vm_id: model.VmId, now: datetime.datetime
    ) -> list[events.Effect]:
        """Send a peer the refreshes that it requested, if recent enough."""
        peer = self._peers[vm_id]
        answers = self._pop_answers(peer, now)
        if not answers or not peer.is_connected:
            return []
        return [self._create_frame(vm_id, now, to_keep=answers)]

    def enqueue(
        self, announcement: model.Announcement, is_direct: bool
    ) -> None:
        """Queue an announcement for the next tick.

        ``is_direct`` tells whether it was received from the endpoint itself.
        """
        (self._direct if is_direct else self._relayed).add(announcement)

    def remove_endpoint(self, endpoint_id: model.EndpointId) -> None:
        """Discard the state of an endpoint that left or expired."""
        self._direct.pop(endpoint_id)
        self._relayed.pop(endpoint_id)
        self._subsets.pop(endpoint_id, None)
        self._writer.descriptions.remove_endpoint(endpoint_id)
        for peer in self._peers.values():
            peer.remove_endpoint(endpoint_id)

    def flood(
        self,
        news: frames.News,
        sender: model.VmId | None,
        now: datetime.datetime,
    ) -> list[events.Effect]:
        """Send news to every connected peer except its sender.

        Only rumours are sent to other scopes.
        """
        is_rumour = isinstance(news, frames.Rumour)
        return [
            self._create_frame(vm_id, now, news=(news,))
            for vm_id in self._connected()
            if vm_id != sender
            if is_rumour or vm_id not in self._bridges
        ]

    def send_pending(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> list[events.Effect]:
        """Send the pending announcements of an endpoint immediately."""
        direct = self._direct.pop(endpoint_id)
        relayed = self._relayed.pop(endpoint_id)
        relays = self._choose_relays()
        effects: list[events.Effect] = []
        for vm_id in self._connected():
            to_relay, to_keep = self._select_for(
                vm_id, relays, direct, relayed
            )
            if to_relay or to_keep:
                effects.append(
                    self._create_frame(vm_id, now, to_relay, to_keep)
                )
        return effects

    def send_tick(self, now: datetime.datetime) -> list[events.Effect]:
        """Send all pending announcements; a frame goes to every peer.

        Frames are sent even if empty, as they keep the clock bounds tight.
        One random peer of the scope is asked for refreshes of ageing
        endpoints.
        """
        direct = self._direct.pop_all()
        relayed = self._relayed.pop_all()
        relays = self._choose_relays()
        connected = self._connected()
        ageing = self._ageing(now)
        in_scope = [vm_id for vm_id in connected if vm_id not in self._bridges]
        chosen = self._random.choice(in_scope) if ageing and in_scope else None
        effects: list[events.Effect] = []
        for vm_id in connected:
            to_relay, to_keep = self._select_for(
                vm_id, relays, direct, relayed
            )
            requested = ageing if vm_id == chosen else ()
            effects.append(
                self._create_frame(vm_id, now, to_relay, to_keep, requested)
            )
        return effects

    def reconcile(
        self, vm_id: model.VmId, digest: int, now: datetime.datetime
    ) -> list[events.Effect]:
        """Send tombstones and rumours to a peer whose digest differs.

        At most once in ``digest_interval`` to each peer.
        """
        peer = self._peers[vm_id]
        is_bridge = vm_id in self._bridges
        if digest in (frames.UNKNOWN, self._writer.digest(is_bridge)):
            return []
        if not peer.is_connected:
            return []
        if peer.next_inventory_at and now < peer.next_inventory_at:
            return []
        peer.next_inventory_at = now + self._cfg.digest_interval
        return [
            self._create_frame(
                vm_id, now, news=self._writer.inventory(is_bridge, now)
            )
        ]

    def _connected(self) -> list[model.VmId]:
        return sorted(
            vm_id for vm_id, peer in self._peers.items() if peer.is_connected
        )

    def _is_disconnected(self, vm_id: model.VmId) -> bool:
        peer = self._peers.get(vm_id)
        return peer is not None and peer.is_disconnected

    def _choose_relays(self) -> dict[model.VmId, tuple[model.VmId, ...]]:
        """Map the first connected VM of each other column to its column."""
        connected = frozenset(self._connected())
        chosen = {}
        for column in self._relays.other_columns:
            relay = next(
                (vm_id for vm_id in column if vm_id in connected), None
            )
            if relay is not None:
                chosen[relay] = column
        return chosen

    def _select_for(
        self,
        vm_id: model.VmId,
        relays: dict[model.VmId, tuple[model.VmId, ...]],
        direct: list[model.Announcement],
        relayed: list[model.Announcement],
    ) -> tuple[list[model.Announcement], list[model.Announcement]]:
        """Return what a peer shall relay, and what it shall only keep."""
        column = relays.get(vm_id)
        if column is not None:
            return self._followed(direct, column), []
        if vm_id in self._relays.own_column:
            return [], self._followed(direct + relayed, (vm_id,))
        return [], []

    def _followed(
        self,
        announcements: list[model.Announcement],
        entries: tuple[model.VmId, ...],
    ) -> list[model.Announcement]:
        """Return announcements of endpoints that any of ``entries`` follow."""
        return [
            announcement
            for announcement in announcements
            if not self._subset(announcement.endpoint_id).isdisjoint(entries)
        ]

    def _subset(self, endpoint_id: model.EndpointId) -> frozenset[model.VmId]:
        subset = self._subsets.get(endpoint_id)
        if subset is None:
            subset = topology.choose_subset(
                endpoint_id, self._entries, self._cfg.subset_size
            )
            self._subsets[endpoint_id] = subset
        return subset

    def _ageing(self, now: datetime.datetime) -> tuple[str, ...]:
        """Return endpoints that this VM follows whose refresh is overdue."""
        ageing = self._endpoints.with_age_between(
            _MIN_REQUEST_AGE, _MAX_REQUEST_AGE, now
        )
        followed = [
            endpoint_id
            for endpoint_id in ageing
            if self._clock.vm_id in self._subset(endpoint_id)
        ]
        return tuple(followed[:_MAX_REQUESTED_ENDPOINTS])

    def _create_frame(
        self,
        vm_id: model.VmId,
        now: datetime.datetime,
        to_relay: collections.abc.Sequence[model.Announcement] = (),
        to_keep: collections.abc.Sequence[model.Announcement] = (),
        requested: tuple[str, ...] = (),
        news: tuple[frames.News, ...] = (),
    ) -> events.SendGossip:
        frame = self._writer.write(
            self._peers[vm_id],
            vm_id in self._bridges,
            now,
            to_relay,
            to_keep,
            requested,
            news,
        )
        return events.SendGossip(vm_id, frame)

    def _pop_answers(
        self, peer: peers.Peer, now: datetime.datetime
    ) -> list[model.Announcement]:
        answers = []
        for endpoint_id in sorted(peer.requested_endpoints):
            announcement = self._endpoints.find(endpoint_id)
            max_age = self._endpoints.age(endpoint_id, now)
            if (
                announcement
                and max_age is not None
                and max_age < _MAX_ANSWER_AGE
            ):
                answers.append(announcement)
        peer.requested_endpoints.clear()
        return answers
