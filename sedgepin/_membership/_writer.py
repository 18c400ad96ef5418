"""Assembles gossip frames for peers."""

import collections.abc
import datetime

from sedgepin._membership import _clocks as clocks
from sedgepin._membership import _directory as directory
from sedgepin._membership import _frames as frames
from sedgepin._membership import _peer as peers
from sedgepin._membership import _rumours as rumours
from sedgepin import _model as model

# Applies to rumours and tombstones separately.
_MAX_INVENTORY_ITEMS = 256


class FrameWriter:
    """Builds frames for peers from the state of this entry VM.

    ``is_bridge`` marks a peer in another scope, which receives only rumours.
    """

    __slots__ = ("_clock", "_endpoints", "_rumours", "descriptions")

    def __init__(
        self,
        clock: clocks.IncarnationClock,
        endpoints: directory.EndpointDirectory,
        rumour_store: rumours.RumourStore,
    ) -> None:
        self._clock = clock
        self._endpoints = endpoints
        self._rumours = rumour_store
        self.descriptions = peers.Descriptions()

    def write(
        self,
        peer: peers.Peer,
        is_bridge: bool,
        now: datetime.datetime,
        to_relay: collections.abc.Sequence[model.Announcement] = (),
        to_keep: collections.abc.Sequence[model.Announcement] = (),
        requested: tuple[str, ...] = (),
        news: tuple[frames.News, ...] = (),
    ) -> frames.GossipFrame:
        """Return a frame, and record its introductions and requests as sent.

        The peer relays the announcements in ``to_relay``, but not those in
        ``to_keep``.  ``requested`` are endpoints of which a refresh is needed.
        """
        peer_clock = peer.clock
        self.descriptions.prune_outdated(peer.introduced_handles)
        introductions = self._pop_introductions(peer)
        frame = frames.GossipFrame(
            self._clock.incarnation,
            self._clock.to_milliseconds(now),
            peer_clock.incarnation if peer_clock else frames.UNKNOWN,
            peer_clock.latest_milliseconds if peer_clock else frames.UNKNOWN,
            self.digest(is_bridge),
            self._build_refreshes(peer, to_relay, introductions, now),
            self._build_refreshes(peer, to_keep, introductions, now),
            tuple(introductions),
            tuple(sorted(peer.unknown_handles)),
            requested,
            news,
        )
        peer.unknown_handles.clear()
        return frame

    def digest(self, is_bridge: bool) -> int:
        """Return a checksum of the rumours and, within the scope, tombstones.

        Peers with the same rumours and tombstones have the same digest.
        """
        if is_bridge:
            return self._rumours.digest
        return self._endpoints.tombstone_digest ^ self._rumours.digest

    def inventory(
        self, is_bridge: bool, now: datetime.datetime
    ) -> tuple[frames.News, ...]:
        """Return the rumours and, within the scope, the newest tombstones."""
        active = self._rumours.active(now)[:_MAX_INVENTORY_ITEMS]
        if is_bridge:
            return active
        newest = sorted(
            self._endpoints.tombstones(),
            key=lambda tombstone: tombstone.received_at,
            reverse=True,
        )
        left = [
            frames.EndpointLeft(tombstone.endpoint_id, tombstone.incarnation)
            for tombstone in newest[:_MAX_INVENTORY_ITEMS]
        ]
        return (*left, *active)

    def _build_refreshes(
        self,
        peer: peers.Peer,
        announcements: collections.abc.Iterable[model.Announcement],
        introductions: list[frames.Introduction],
        now: datetime.datetime,
    ) -> tuple[frames.Refresh, ...]:
        refreshes = []
        for announcement in announcements:
            if not self._is_current(announcement):
                continue
            description = self.descriptions.get_or_create(announcement)
            if description.handle not in peer.introduced_handles:
                introductions.append(peer.introduce(description))
            max_age = self._endpoints.age(announcement.endpoint_id, now)
            refreshes.append(
                peers.to_refresh(description, announcement, max_age)
            )
        return tuple(refreshes)

    def _is_current(self, announcement: model.Announcement) -> bool:
        """Return whether the directory's age bound is for this incarnation.

        Since the announcement was queued, another entry VM may have reported
        a later incarnation, or that the endpoint is leaving.
        """
        newest = self._endpoints.find(announcement.endpoint_id)
        if newest is None:
            return False
        return newest.incarnation == announcement.incarnation

    def _pop_introductions(
        self, peer: peers.Peer
    ) -> list[frames.Introduction]:
        introductions = []
        for handle in sorted(peer.handles_to_introduce):
            description = self.descriptions.find(handle)
            if description is not None:
                introductions.append(peer.introduce(description))
        peer.handles_to_introduce.clear()
        return introductions
