"""Gossip of one entry VM about endpoints.

Regular announcements are batched and sent at each tick, to one entry VM in
each other column of the grid, which relays them within its column.  When an
endpoint joins, its announcement takes the same path without waiting.  Leaving
endpoints, failures and rumours are flooded: each entry VM to which they are
new sends them to all its neighbours, so that they spread over any remaining
path.  A digest in every frame detects lost tombstones and rumours.
"""

import datetime
import random

from sedgepin._membership import _clocks as clocks
from sedgepin._membership import _directory as directory
from sedgepin._membership import _encoding as encoding
from sedgepin._membership import _events as events
from sedgepin._membership import _frames as frames
from sedgepin._membership import _peer as peers
from sedgepin._membership import _rumours as rumours
from sedgepin._membership import _sender as senders
from sedgepin._membership import _settings as settings
from sedgepin import _model as model

_TICK_JITTER = 0.2
_MIN_ANNOUNCE_DELAY_RATIO = 0.9
# A received rumour that expires sooner is neither stored nor passed on.
_MIN_RUMOUR_TTL = datetime.timedelta(seconds=1)

_UPDATE_OUTCOMES = frozenset(
    (
        directory.AnnouncementOutcome.JOINED,
        directory.AnnouncementOutcome.REFRESHED,
    )
)


class GossipNode:
    """Endpoint membership at one entry VM.

    ``entries`` are the entry VMs of the scope, this one included.
    ``endpoints`` is the directory for routing, ``rumours`` is the store of
    rumours for admission.  The caller has to fire the timer at ``wake_at``.

    >>> now = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    >>> node = GossipNode(
    ...     model.VmId("e1"),
    ...     model.Incarnation(1),
    ...     (model.VmId("e1"),),
    ...     settings.MembershipSettings(),
    ...     random.Random(1),
    ...     now,
    ... )
    >>> effects = node.handle(events.TimerFired(), node.wake_at)
    >>> effects == [events.WakeAt(node.wake_at)]
    True
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_effects",
        "_freeze_detector",
        "_prompted_endpoints",
        "_random",
        "_sender",
        "endpoints",
        "rumours",
        "wake_at",
    )

    def __init__(
        self,
        vm_id: model.VmId,
        incarnation: model.Incarnation,
        entries: tuple[model.VmId, ...],
        cfg: settings.MembershipSettings,
        generator: random.Random,
        now: datetime.datetime,
    ) -> None:
        self._cfg = cfg
        self._random = generator
        self._clock = clocks.IncarnationClock(vm_id, incarnation, now)
        self._freeze_detector = clocks.FreezeDetector(cfg.freeze_limit)
        self._effects: list[events.Effect] = []
        self._prompted_endpoints: set[model.EndpointId] = set()
        self.endpoints = directory.EndpointDirectory(cfg)
        self.rumours = rumours.RumourStore(cfg.rumour_limit)
        self._sender = senders.GossipSender(
            self._clock,
            cfg,
            generator,
            self.endpoints,
            self.rumours,
        )
        self._sender.change_entries(entries)
        self.wake_at = now + cfg.tick

    def handle(
        self, event: events.Event, now: datetime.datetime
    ) -> list[events.Effect]:
        """Process one event; return its effects in order."""
        earliest_receipt = self._freeze_detector.earliest_receipt(
            now, self.wake_at
        )
        match event:
            case events.AnnouncementReceived(announcement):
                self._receive_announcement(announcement, earliest_receipt, now)
            case events.GossipReceived(sender, frame):
                self._receive_frame(sender, frame, now)
            case events.PeerUp(vm_id):
                self._sender.mark_connected(vm_id)
            case events.PeerDown(vm_id):
                self._sender.mark_disconnected(vm_id)
            case events.EntriesChanged(entries, other_scopes):
                self._sender.change_entries(entries, other_scopes)
            case events.EndpointFailed(endpoint_id):
                self._handle_failure(endpoint_id, now)
            case events.RumourStarted(fingerprint, until):
                self._start_rumour(fingerprint, until, now)
            case events.TimerFired():
                self._tick(now)
        effects, self._effects = self._effects, []
        return effects

    def neighbours(self) -> frozenset[model.VmId]:
        """Return the entry VMs to keep a connection with.

        They may change with each ``PeerUp``, ``PeerDown`` and
        ``EntriesChanged``.
        """
        return self._sender.neighbours()

    def description_count(self) -> int:
        """Return the number of stored descriptions of endpoints.

        It counts those received from and sent to peers, for metrics.
        """
        return self._sender.description_count()

    def _receive_announcement(
        self,
        announcement: model.Announcement,
        earliest_receipt: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        too_large = encoding.find_too_large(announcement)
        if too_large is not None:
            self._effects.append(events.RefuseAnnouncement(too_large))
            return
        sent_at = self._earliest_sent_at(announcement, earliest_receipt, now)
        max_age = None if sent_at is None else now - sent_at
        merged = self.endpoints.merge_announcement(announcement, max_age, now)
        failure = merged.err()
        if failure is not None:
            self._effects.append(events.RefuseAnnouncement(failure))
            return
        self._reply_to_announcement(
            announcement.endpoint_id, max_age is not None, now
        )
        outcome = merged.unwrap()
        if outcome in _UPDATE_OUTCOMES:
            self._sender.enqueue(announcement, is_direct=True)
        self._handle_outcome(announcement, outcome, None, now)

    def _receive_frame(
        self,
        sender: model.VmId,
        frame: frames.GossipFrame,
        now: datetime.datetime,
    ) -> None:
        peer = self._sender.find(sender)
        if peer is None:
            return
        peer_clock = peer.clock_of(model.Incarnation(frame.incarnation))
        if peer_clock is None:
            return
        echoed_at = self._clock.resolve_echo(
            frame.echo_incarnation, frame.echo_milliseconds, now
        )
        sent_at = peer_clock.observe(frame.instant_milliseconds, echoed_at)
        self._sender.record_requests(peer, frame)
        for refresh in frame.heard:
            self._apply_refresh(sender, peer, refresh, sent_at, now, True)
        for refresh in frame.relayed:
            self._apply_refresh(sender, peer, refresh, sent_at, now, False)
        for news in frame.news:
            self._receive_news(sender, news, sent_at, now)
        self._effects += self._sender.answer_requests(sender, now)
        self._effects += self._sender.reconcile(sender, frame.digest, now)

    def _apply_refresh(
        self,
        sender: model.VmId,
        peer: peers.Peer,
        refresh: frames.Refresh,
        sent_at: datetime.datetime | None,
        now: datetime.datetime,
        should_relay: bool,
    ) -> None:
        description = peer.descriptions.get(refresh.handle)
        if description is None:
            peer.unknown_handles.add(refresh.handle)
            return
        announcement = peers.to_announcement(description, refresh)
        max_age = peers.max_relayed_age(refresh, sent_at, now)
        merged = self.endpoints.merge_announcement(announcement, max_age, now)
        outcome = merged.unwrap_or(directory.AnnouncementOutcome.STALE)
        if should_relay and outcome in _UPDATE_OUTCOMES:
            self._sender.enqueue(announcement, is_direct=False)
        self._handle_outcome(announcement, outcome, sender, now)

    def _handle_outcome(
        self,
        announcement: model.Announcement,
        outcome: directory.AnnouncementOutcome,
        sender: model.VmId | None,
        now: datetime.datetime,
    ) -> None:
        endpoint_id = announcement.endpoint_id
        incarnation = announcement.incarnation
        if outcome is directory.AnnouncementOutcome.LEFT:
            self._handle_leaving(endpoint_id, incarnation, sender, now)
            return
        if outcome is directory.AnnouncementOutcome.STALE:
            return
        max_age = self.endpoints.age(endpoint_id, now)
        self._effects.append(events.ApplyAnnouncement(announcement, max_age))
        if outcome is directory.AnnouncementOutcome.JOINED:
            self._effects.append(
                events.ReportEndpointJoined(endpoint_id, incarnation)
            )
            self._effects += self._sender.send_pending(endpoint_id, now)

    def _handle_leaving(
        self,
        endpoint_id: model.EndpointId,
        incarnation: model.Incarnation,
        sender: model.VmId | None,
        now: datetime.datetime,
    ) -> None:
        if self.endpoints.find(endpoint_id) is None:
            self._remove_endpoint(endpoint_id)
        self._effects.append(
            events.ReportEndpointLeaving(endpoint_id, incarnation)
        )
        news = frames.EndpointLeft(endpoint_id, incarnation)
        self._effects += self._sender.flood(news, sender, now)

    def _handle_failure(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> None:
        announcement = self.endpoints.find(endpoint_id)
        if announcement is None:
            return
        is_new = not self.endpoints.is_suspected(endpoint_id, now)
        self.endpoints.mark_failed(endpoint_id, now)
        if is_new:
            news = frames.EndpointUnreachable(
                endpoint_id, announcement.incarnation
            )
            self._effects += self._sender.flood(news, None, now)

    def _start_rumour(
        self,
        fingerprint: str,
        until: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        if self.rumours.add(fingerprint, until, now):
            news = rumours.to_rumour(fingerprint, until, now)
            self._effects += self._sender.flood(news, None, now)

    def _receive_news(
        self,
        sender: model.VmId,
        news: frames.News,
        sent_at: datetime.datetime | None,
        now: datetime.datetime,
    ) -> None:
        match news:
            case frames.EndpointLeft(endpoint_id, incarnation):
                self._receive_leaving(
                    sender,
                    model.EndpointId(endpoint_id),
                    model.Incarnation(incarnation),
                    now,
                )
            case frames.EndpointUnreachable():
                self._receive_unreachable(sender, news, now)
            case frames.Rumour(fingerprint, remaining):
                self._receive_rumour(
                    sender, fingerprint, remaining, sent_at, now
                )

    def _receive_leaving(
        self,
        sender: model.VmId,
        endpoint_id: model.EndpointId,
        incarnation: model.Incarnation,
        now: datetime.datetime,
    ) -> None:
        merged = self.endpoints.mark_left(endpoint_id, incarnation, now)
        outcome = merged.unwrap_or(directory.AnnouncementOutcome.STALE)
        if outcome is directory.AnnouncementOutcome.LEFT:
            self._handle_leaving(endpoint_id, incarnation, sender, now)

    def _receive_unreachable(
        self,
        sender: model.VmId,
        news: frames.EndpointUnreachable,
        now: datetime.datetime,
    ) -> None:
        endpoint = self.endpoints.find(model.EndpointId(news.endpoint_id))
        if endpoint is None or endpoint.incarnation != news.incarnation:
            return
        if self.endpoints.is_suspected(endpoint.endpoint_id, now):
            return
        self.endpoints.mark_suspected(endpoint.endpoint_id, now)
        self._effects += self._sender.flood(news, sender, now)

    def _receive_rumour(
        self,
        sender: model.VmId,
        fingerprint: str,
        remaining_milliseconds: int,
        sent_at: datetime.datetime | None,
        now: datetime.datetime,
    ) -> None:
        # If known, the earliest possible time of sending is the start of the
        # remaining time, so that time in transit does not extend a rumour
        # beyond its expiry at its origin, however often it is relayed.
        until = (sent_at or now) + remaining_milliseconds * clocks.MILLISECOND
        if until - now < _MIN_RUMOUR_TTL:
            return
        if not self.rumours.add(fingerprint, until, now):
            return
        self._effects.append(events.ApplyRumour(fingerprint, until))
        news = rumours.to_rumour(fingerprint, until, now)
        self._effects += self._sender.flood(news, sender, now)

    def _tick(self, now: datetime.datetime) -> None:
        if now >= self.wake_at:
            self._remove_expired(now)
            self._effects += self._sender.send_tick(now)
            factor = self._random.uniform(1 - _TICK_JITTER, 1 + _TICK_JITTER)
            self.wake_at = now + self._cfg.tick * factor
        self._effects.append(events.WakeAt(self.wake_at))

    def _remove_expired(self, now: datetime.datetime) -> None:
        self.rumours.remove_expired(now)
        for announcement in self.endpoints.remove_expired(now):
            self._remove_endpoint(announcement.endpoint_id)
            self._effects.append(
                events.ReportEndpointLost(
                    announcement.endpoint_id, announcement.incarnation
                )
            )

    def _remove_endpoint(self, endpoint_id: model.EndpointId) -> None:
        self._sender.remove_endpoint(endpoint_id)
        self._prompted_endpoints.discard(endpoint_id)

    def _earliest_sent_at(
        self,
        announcement: model.Announcement,
        earliest_receipt: datetime.datetime,
        now: datetime.datetime,
    ) -> datetime.datetime | None:
        """Return a lower bound on when an endpoint sent an announcement.

        Return ``None`` if it is unknown.  The echo may have been issued by
        another entry VM, to which the endpoint announced before.
        """
        echo = clocks.Echo.parse(announcement.echo)
        sent_at = None if echo is None else self._resolve_echo(echo, now)
        if sent_at is not None and sent_at <= now:
            return sent_at
        if self._cfg.accept_announcements_without_echo:
            return earliest_receipt
        return None

    def _resolve_echo(
        self, echo: clocks.Echo, now: datetime.datetime
    ) -> datetime.datetime | None:
        milliseconds = echo.instant_milliseconds
        if echo.vm_id == self._clock.vm_id:
            return self._clock.resolve_echo(
                echo.incarnation, milliseconds, now
            )
        peer = self._sender.find(echo.vm_id)
        if peer is None or peer.clock is None:
            return None
        if peer.clock.incarnation != echo.incarnation:
            return None
        return peer.clock.lower_bound(milliseconds)

    def _reply_to_announcement(
        self,
        endpoint_id: model.EndpointId,
        is_age_known: bool,
        now: datetime.datetime,
    ) -> None:
        """Reply to an announcement.

        If the age of the announcement is unknown, the endpoint is told to
        announce again without delay, but only once: otherwise an endpoint
        that never returns an echo would announce in a loop.
        """
        echo = self._clock.create_echo(now)
        delay = self._cfg.announce_interval * self._random.uniform(
            _MIN_ANNOUNCE_DELAY_RATIO, 1
        )
        if is_age_known:
            self._prompted_endpoints.discard(endpoint_id)
        elif endpoint_id not in self._prompted_endpoints:
            self._prompted_endpoints.add(endpoint_id)
            delay = datetime.timedelta()
        self._effects.append(events.ReplyToAnnouncement(str(echo), delay))
