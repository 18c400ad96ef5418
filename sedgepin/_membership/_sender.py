"""What one entry sends to the others, when, and to whom."""

import collections.abc
import datetime
import random

from sedgepin._membership import _age as age
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

# From this age on an endpoint is asked for at another entry, until it is so
# old that nobody can be expected to know better.
_ASK_FROM = datetime.timedelta(seconds=2.1)
_ASK_UNTIL = datetime.timedelta(seconds=5)
_ANSWER_BELOW = datetime.timedelta(seconds=1.5)
_ASK_LIMIT = 64
_WANTED_LIMIT = 4096


class GossipSender:
    """Peers, what is due to them, and the frames that carry it."""

    __slots__ = (
        "_cfg",
        "_endpoints",
        "_entries",
        "_far",
        "_heard",
        "_life",
        "_near",
        "_peers",
        "_random",
        "_relayed",
        "_relays",
        "_subsets",
        "_writer",
    )

    def __init__(
        self,
        life: age.LifeClock,
        cfg: settings.MembershipSettings,
        generator: random.Random,
        endpoints: directory.EndpointDirectory,
        held: rumours.RumourStore,
    ) -> None:
        self._life = life
        self._cfg = cfg
        self._random = generator
        self._endpoints = endpoints
        self._writer = writers.FrameWriter(life, endpoints, held)
        self._peers: dict[model.VmId, peers.Peer] = {}
        self._heard = pending.Pending()
        self._relayed = pending.Pending()
        self._subsets: dict[model.EndpointId, frozenset[model.VmId]] = {}
        self._entries: frozenset[model.VmId] = frozenset()
        self._far: frozenset[model.VmId] = frozenset()
        self._near: frozenset[model.VmId] = frozenset()
        self._relays = topology.Relays()

    def change_entries(
        self,
        entries: tuple[model.VmId, ...],
        other_scopes: collections.abc.Iterable[topology.Scope] = (),
    ) -> None:
        """Lay the entries out anew; peers that remain keep their state."""
        self._entries = frozenset(entries)
        self._far = topology.choose_all_bridges(
            self._life.vm_id, topology.Scope(entries), other_scopes
        )
        grid = topology.Grid(self._entries, self._cfg.mesh_limit_entries)
        self._relays = grid.relays(self._life.vm_id)
        self._near = grid.neighbours(self._life.vm_id)
        self._subsets.clear()
        for vm_id in self._peers.keys() - self._entries - self._far:
            del self._peers[vm_id]

    def neighbours(self) -> frozenset[model.VmId]:
        """Return the entries to keep a connection with.

        Beside those of the grid, the second choice of a column whose first
        was lost.
        """
        stand_ins = frozenset(
            column[1]
            for column in self._relays.across
            if len(column) > 1 and self._is_lost(column[0])
        )
        return self._near | self._far | stand_ins

    def description_count(self) -> int:
        """Return the descriptions held, own ones and those of peers."""
        theirs = sum(len(peer.theirs) for peer in self._peers.values())
        given = sum(len(peer.introduced) for peer in self._peers.values())
        return theirs + given

    def find(self, vm_id: model.VmId) -> peers.Peer | None:
        """Return the peer of that name; ``None`` for one not to talk to."""
        if vm_id not in self._entries | self._far:
            return None
        if vm_id == self._life.vm_id:
            return None
        return self._peers.setdefault(vm_id, peers.Peer())

    def set_up(self, vm_id: model.VmId) -> None:
        """Send to a peer from now on.

        A peer that was lost may be another life of it, with any incarnation:
        what was known of its clock and handles is dropped.
        """
        peer = self.find(vm_id)
        if peer is None:
            return
        if peer.is_lost:
            peer = self._peers[vm_id] = peers.Peer()
        peer.is_up = True
        peer.introduced.clear()

    def set_down(self, vm_id: model.VmId) -> None:
        """Send no more to a peer."""
        peer = self.find(vm_id)
        if peer is not None:
            peer.is_up = False
            peer.is_lost = True

    def take_requests(
        self, peer: peers.Peer, frame: frames.GossipFrame
    ) -> None:
        """Note what a peer introduces, and what it asks for."""
        for introduction in frame.introduced:
            peer.learn(self._writer.descriptions.share(introduction))
        peer.to_introduce.update(frame.wanted[:_WANTED_LIMIT])
        peer.answers.update(
            model.EndpointId(asked) for asked in frame.asked[:_ASK_LIMIT]
        )

    def answer(
        self, vm_id: model.VmId, now: datetime.datetime
    ) -> list[events.Effect]:
        """Send at once what a peer asked for, where this entry has it."""
        peer = self._peers[vm_id]
        answers = self._answers(peer, now)
        if not answers or not peer.is_up:
            return []
        return [self._frame(vm_id, now, relayed=answers)]

    def pass_on(
        self, announcement: model.Announcement, is_heard: bool
    ) -> None:
        """Have an announcement sent, from an endpoint or from across."""
        (self._heard if is_heard else self._relayed).put(announcement)

    def drop(self, endpoint_id: model.EndpointId) -> None:
        """Send nothing more of an endpoint that left or was lost."""
        self._heard.take(endpoint_id)
        self._relayed.take(endpoint_id)
        self._subsets.pop(endpoint_id, None)
        self._writer.descriptions.forget(endpoint_id)
        for peer in self._peers.values():
            peer.forget(endpoint_id)

    def flood(
        self,
        news: frames.News,
        sender: model.VmId | None,
        now: datetime.datetime,
    ) -> list[events.Effect]:
        """Send news to every peer but the one that it came from.

        Only rumours leave the scope.
        """
        is_for_all = isinstance(news, frames.Rumour)
        return [
            self._frame(vm_id, now, news=(news,))
            for vm_id in self._up()
            if vm_id != sender
            if is_for_all or vm_id not in self._far
        ]

    def push(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> list[events.Effect]:
        """Send what is pending of one endpoint without waiting."""
        heard = self._heard.take(endpoint_id)
        relayed = self._relayed.take(endpoint_id)
        across = self._across()
        sent: list[events.Effect] = []
        for vm_id in self._up():
            to_relay, to_keep = self._shares(vm_id, across, heard, relayed)
            if to_relay or to_keep:
                sent.append(self._frame(vm_id, now, to_relay, to_keep))
        return sent

    def send_tick(self, now: datetime.datetime) -> list[events.Effect]:
        """Send every peer what is pending; an empty frame where nothing is.

        Empty frames keep the bounds on the clocks tight.
        """
        heard = self._heard.take_all()
        relayed = self._relayed.take_all()
        across = self._across()
        up = self._up()
        asked = self._ageing(now)
        near = [vm_id for vm_id in up if vm_id not in self._far]
        chosen = self._random.choice(near) if asked and near else None
        sent: list[events.Effect] = []
        for vm_id in up:
            to_relay, to_keep = self._shares(vm_id, across, heard, relayed)
            to_ask = asked if vm_id == chosen else ()
            sent.append(self._frame(vm_id, now, to_relay, to_keep, to_ask))
        return sent

    def compare(
        self, vm_id: model.VmId, digest: int, now: datetime.datetime
    ) -> list[events.Effect]:
        """Send the left marks and rumours to a peer that holds others."""
        peer = self._peers[vm_id]
        is_far = vm_id in self._far
        if digest in (frames.UNKNOWN, self._writer.digest(is_far)):
            return []
        if not peer.is_up:
            return []
        if peer.inventory_at and now < peer.inventory_at:
            return []
        peer.inventory_at = now + self._cfg.digest_interval
        return [
            self._frame(vm_id, now, news=self._writer.inventory(is_far, now))
        ]

    def _up(self) -> list[model.VmId]:
        return sorted(
            vm_id for vm_id, peer in self._peers.items() if peer.is_up
        )

    def _is_lost(self, vm_id: model.VmId) -> bool:
        peer = self._peers.get(vm_id)
        return peer is not None and peer.is_lost

    def _across(self) -> dict[model.VmId, tuple[model.VmId, ...]]:
        up = frozenset(self._up())
        chosen = {}
        for column in self._relays.across:
            relay = next((vm_id for vm_id in column if vm_id in up), None)
            if relay is not None:
                chosen[relay] = column
        return chosen

    def _shares(
        self,
        vm_id: model.VmId,
        across: dict[model.VmId, tuple[model.VmId, ...]],
        heard: list[model.Announcement],
        relayed: list[model.Announcement],
    ) -> tuple[list[model.Announcement], list[model.Announcement]]:
        """Return what a peer is to relay, and what it is only to keep."""
        column = across.get(vm_id)
        if column is not None:
            return self._followed(heard, column), []
        if vm_id in self._relays.down:
            return [], self._followed(heard + relayed, (vm_id,))
        return [], []

    def _followed(
        self,
        announcements: list[model.Announcement],
        entries: tuple[model.VmId, ...],
    ) -> list[model.Announcement]:
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
        ageing = self._endpoints.with_age_between(_ASK_FROM, _ASK_UNTIL, now)
        followed = [
            endpoint_id
            for endpoint_id in ageing
            if self._life.vm_id in self._subset(endpoint_id)
        ]
        return tuple(followed[:_ASK_LIMIT])

    def _frame(
        self,
        vm_id: model.VmId,
        now: datetime.datetime,
        heard: collections.abc.Sequence[model.Announcement] = (),
        relayed: collections.abc.Sequence[model.Announcement] = (),
        asked: tuple[str, ...] = (),
        news: tuple[frames.News, ...] = (),
    ) -> events.SendGossip:
        frame = self._writer.write(
            self._peers[vm_id],
            vm_id in self._far,
            now,
            heard,
            relayed,
            asked,
            news,
        )
        return events.SendGossip(vm_id, frame)

    def _answers(
        self, peer: peers.Peer, now: datetime.datetime
    ) -> list[model.Announcement]:
        answers = []
        for endpoint_id in sorted(peer.answers):
            announcement = self._endpoints.find(endpoint_id)
            known = self._endpoints.age(endpoint_id, now)
            if announcement and known is not None and known < _ANSWER_BELOW:
                answers.append(announcement)
        peer.answers.clear()
        return answers
