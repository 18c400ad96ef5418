"""How an entry's frames are made."""

import collections.abc
import datetime

from sedgepin._membership import _age as age
from sedgepin._membership import _directory as directory
from sedgepin._membership import _frames as frames
from sedgepin._membership import _peer as peers
from sedgepin._membership import _rumours as rumours
from sedgepin import _model as model

_INVENTORY_LIMIT = 256


class FrameWriter:
    """Makes frames for peers from what the entry knows.

    ``is_far`` stands for a peer of another scope, which hears of rumours
    only.
    """

    __slots__ = ("_endpoints", "_life", "_rumours", "descriptions")

    def __init__(
        self,
        life: age.LifeClock,
        endpoints: directory.EndpointDirectory,
        held: rumours.RumourStore,
    ) -> None:
        self._life = life
        self._endpoints = endpoints
        self._rumours = held
        self.descriptions = peers.Descriptions()

    def write(
        self,
        peer: peers.Peer,
        is_far: bool,
        now: datetime.datetime,
        heard: collections.abc.Sequence[model.Announcement] = (),
        relayed: collections.abc.Sequence[model.Announcement] = (),
        asked: tuple[str, ...] = (),
        news: tuple[frames.News, ...] = (),
    ) -> frames.GossipFrame:
        """Return a frame, and note what it introduces and asks for."""
        clock = peer.clock
        self.descriptions.keep_used(peer.introduced)
        introduced = self._due_introductions(peer)
        frame = frames.GossipFrame(
            self._life.incarnation,
            self._life.to_milliseconds(now),
            clock.incarnation if clock else frames.UNKNOWN,
            clock.latest if clock else frames.UNKNOWN,
            self.digest(is_far),
            self._refreshes(peer, heard, introduced, now),
            self._refreshes(peer, relayed, introduced, now),
            tuple(introduced),
            tuple(sorted(peer.wanted)),
            asked,
            news,
        )
        peer.wanted.clear()
        return frame

    def digest(self, is_far: bool) -> int:
        """Return what a peer that holds the same would return."""
        if is_far:
            return self._rumours.digest
        return self._endpoints.tombstone_digest ^ self._rumours.digest

    def inventory(
        self, is_far: bool, now: datetime.datetime
    ) -> tuple[frames.News, ...]:
        """Return the rumours, and inside the scope the left marks."""
        held = self._rumours.active(now)[:_INVENTORY_LIMIT]
        if is_far:
            return held
        marks = sorted(
            self._endpoints.tombstones(),
            key=lambda mark: mark.heard_at,
            reverse=True,
        )
        left = [
            frames.EndpointLeft(mark.endpoint_id, mark.incarnation)
            for mark in marks[:_INVENTORY_LIMIT]
        ]
        return (*left, *held)

    def _refreshes(
        self,
        peer: peers.Peer,
        announcements: collections.abc.Iterable[model.Announcement],
        introduced: list[frames.Introduction],
        now: datetime.datetime,
    ) -> tuple[frames.Refresh, ...]:
        refreshes = []
        for announcement in announcements:
            if not self._is_current(announcement):
                continue
            described = self.descriptions.describe(announcement)
            if described.handle not in peer.introduced:
                introduced.append(peer.introduce(described))
            known = self._endpoints.age(announcement.endpoint_id, now)
            refreshes.append(peers.to_refresh(described, announcement, known))
        return tuple(refreshes)

    def _is_current(self, announcement: model.Announcement) -> bool:
        """Tell whether the age that is known is that of this incarnation.

        Another entry may have told of a later one, or of a leaving, since
        the announcement was put by.
        """
        known = self._endpoints.find(announcement.endpoint_id)
        if known is None:
            return False
        return known.incarnation == announcement.incarnation

    def _due_introductions(
        self, peer: peers.Peer
    ) -> list[frames.Introduction]:
        due = []
        for handle in sorted(peer.to_introduce):
            described = self.descriptions.find(handle)
            if described is not None:
                due.append(peer.introduce(described))
        peer.to_introduce.clear()
        return due
