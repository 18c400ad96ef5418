"""How one entry takes in what it hears of endpoints.

Ordinary reports go out batched on a tick, across the sender's row of the
grid and from there down each column.  A join goes the same way at once.  A
leaving mark, a failure and a rumour are flooded: whoever did not know passes
them to all its neighbours, so that any path that is left carries them.  A
digest in every frame finds what was lost.
"""

import datetime
import random

from sedgepin._membership import _age as age
from sedgepin._membership import _directory as directory
from sedgepin._membership import _events as events
from sedgepin._membership import _frames as frames
from sedgepin._membership import _load as load
from sedgepin._membership import _peer as peers
from sedgepin._membership import _rumours as rumours
from sedgepin._membership import _sender as senders
from sedgepin._membership import _settings as settings
from sedgepin import _model as model

_TICK_JITTER = 0.2
_SHORTEST_REPLY_RATIO = 0.9
_SHORTEST_RUMOUR = datetime.timedelta(seconds=1)

_NEWER = frozenset(
    (
        directory.AnnouncementOutcome.JOINED,
        directory.AnnouncementOutcome.REFRESHED,
    )
)


class GossipNode:
    """Endpoint membership at one entry.

    ``entries`` are the VMs of the scope, this one included.  ``endpoints``
    is the directory that routing reads, ``rumours`` the book that admission
    reads.

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
        "_effects",
        "_guard",
        "_hurried",
        "_life",
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
        self._life = age.LifeClock(vm_id, incarnation, now)
        self._guard = age.FreezeGuard(cfg.freeze_limit)
        self._effects: list[events.Effect] = []
        self._hurried: set[model.EndpointId] = set()
        self.endpoints = directory.EndpointDirectory(cfg)
        self.rumours = rumours.RumourStore(cfg.rumour_limit)
        self._sender = senders.GossipSender(
            self._life,
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
        """Take in one event; return what is to be done, in order."""
        received_from = self._guard.earliest_receipt(now, self.wake_at)
        match event:
            case events.AnnouncementReceived(announcement):
                self._hear(announcement, received_from, now)
            case events.GossipReceived(sender, frame):
                self._take_frame(sender, frame, now)
            case events.PeerUp(vm_id):
                self._sender.set_up(vm_id)
            case events.PeerDown(vm_id):
                self._sender.set_down(vm_id)
            case events.EntriesChanged(entries, other_scopes):
                self._sender.change_entries(entries, other_scopes)
            case events.EndpointFailed(endpoint_id):
                self._fail(endpoint_id, now)
            case events.RumourStarted(fingerprint, until):
                self._start_rumour(fingerprint, until, now)
            case events.TimerFired():
                self._tick(now)
        effects, self._effects = self._effects, []
        return effects

    def neighbours(self) -> frozenset[model.VmId]:
        """Return the entries to keep a connection with.

        The answer may change with each ``PeerUp``, ``PeerDown`` and
        ``EntriesChanged``.
        """
        return self._sender.neighbours()

    def description_count(self) -> int:
        """Return how many descriptions of endpoints are held, for metrics."""
        return self._sender.description_count()

    def _hear(
        self,
        announcement: model.Announcement,
        received_from: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        too_large = load.find_too_large(announcement)
        if too_large is not None:
            self._effects.append(events.RefuseAnnouncement(too_large))
            return
        sent = self._earliest_sending(announcement, received_from, now)
        known = None if sent is None else now - sent
        announced = self.endpoints.merge_announcement(announcement, known, now)
        failure = announced.err()
        if failure is not None:
            self._effects.append(events.RefuseAnnouncement(failure))
            return
        self._reply(announcement.endpoint_id, known is not None, now)
        outcome = announced.unwrap()
        if outcome in _NEWER:
            self._sender.pass_on(announcement, is_heard=True)
        self._follow(announcement, outcome, None, now)

    def _take_frame(
        self,
        sender: model.VmId,
        frame: frames.GossipFrame,
        now: datetime.datetime,
    ) -> None:
        peer = self._sender.find(sender)
        if peer is None:
            return
        clock = peer.visit(model.Incarnation(frame.incarnation))
        if clock is None:
            return
        returned = self._life.returned(
            frame.echo_incarnation, frame.echo_milliseconds, now
        )
        sent = clock.observe(frame.instant_milliseconds, returned)
        self._sender.take_requests(peer, frame)
        for refresh in frame.heard:
            self._take_refresh(sender, peer, refresh, sent, now, True)
        for refresh in frame.relayed:
            self._take_refresh(sender, peer, refresh, sent, now, False)
        for news in frame.news:
            self._take_news(sender, news, sent, now)
        self._effects += self._sender.answer(sender, now)
        self._effects += self._sender.compare(sender, frame.digest, now)

    def _take_refresh(
        self,
        sender: model.VmId,
        peer: peers.Peer,
        refresh: frames.Refresh,
        sent: datetime.datetime | None,
        now: datetime.datetime,
        is_to_pass_on: bool,
    ) -> None:
        described = peer.theirs.get(refresh.handle)
        if described is None:
            peer.wanted.add(refresh.handle)
            return
        announcement = peers.to_announcement(described, refresh)
        known = peers.relayed_age(refresh, sent, now)
        announced = self.endpoints.merge_announcement(announcement, known, now)
        outcome = announced.unwrap_or(directory.AnnouncementOutcome.STALE)
        if is_to_pass_on and outcome in _NEWER:
            self._sender.pass_on(announcement, is_heard=False)
        self._follow(announcement, outcome, sender, now)

    def _follow(
        self,
        announcement: model.Announcement,
        outcome: directory.AnnouncementOutcome,
        sender: model.VmId | None,
        now: datetime.datetime,
    ) -> None:
        endpoint_id = announcement.endpoint_id
        incarnation = announcement.incarnation
        if outcome is directory.AnnouncementOutcome.LEFT:
            self._leave(endpoint_id, incarnation, sender, now)
            return
        if outcome is directory.AnnouncementOutcome.STALE:
            return
        known = self.endpoints.age(endpoint_id, now)
        self._effects.append(events.ApplyAnnouncement(announcement, known))
        if outcome is directory.AnnouncementOutcome.JOINED:
            self._effects.append(
                events.ReportEndpointJoined(endpoint_id, incarnation)
            )
            self._effects += self._sender.push(endpoint_id, now)

    def _leave(
        self,
        endpoint_id: model.EndpointId,
        incarnation: model.Incarnation,
        sender: model.VmId | None,
        now: datetime.datetime,
    ) -> None:
        if self.endpoints.find(endpoint_id) is None:
            self._drop(endpoint_id)
        self._effects.append(
            events.ReportEndpointLeaving(endpoint_id, incarnation)
        )
        news = frames.EndpointLeft(endpoint_id, incarnation)
        self._effects += self._sender.flood(news, sender, now)

    def _fail(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> None:
        known = self.endpoints.find(endpoint_id)
        if known is None:
            return
        is_new = not self.endpoints.is_suspected(endpoint_id, now)
        self.endpoints.mark_failed(endpoint_id, now)
        if is_new:
            news = frames.EndpointUnreachable(endpoint_id, known.incarnation)
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

    def _take_news(
        self,
        sender: model.VmId,
        news: frames.News,
        sent: datetime.datetime | None,
        now: datetime.datetime,
    ) -> None:
        match news:
            case frames.EndpointLeft(endpoint_id, incarnation):
                self._take_left(
                    sender,
                    model.EndpointId(endpoint_id),
                    model.Incarnation(incarnation),
                    now,
                )
            case frames.EndpointUnreachable():
                self._take_unreachable(sender, news, now)
            case frames.Rumour(fingerprint, remaining):
                self._take_rumour(sender, fingerprint, remaining, sent, now)

    def _take_left(
        self,
        sender: model.VmId,
        endpoint_id: model.EndpointId,
        incarnation: model.Incarnation,
        now: datetime.datetime,
    ) -> None:
        marked = self.endpoints.mark_left(endpoint_id, incarnation, now)
        outcome = marked.unwrap_or(directory.AnnouncementOutcome.STALE)
        if outcome is directory.AnnouncementOutcome.LEFT:
            self._leave(endpoint_id, incarnation, sender, now)

    def _take_unreachable(
        self,
        sender: model.VmId,
        news: frames.EndpointUnreachable,
        now: datetime.datetime,
    ) -> None:
        known = self.endpoints.find(model.EndpointId(news.endpoint_id))
        if known is None or known.incarnation != news.incarnation:
            return
        if self.endpoints.is_suspected(known.endpoint_id, now):
            return
        self.endpoints.mark_suspected(known.endpoint_id, now)
        self._effects += self._sender.flood(news, sender, now)

    def _take_rumour(
        self,
        sender: model.VmId,
        fingerprint: str,
        remaining_milliseconds: int,
        sent: datetime.datetime | None,
        now: datetime.datetime,
    ) -> None:
        # Counted from the earliest sending, a rumour that goes round never
        # outlives the entry that started it.
        until = (sent or now) + remaining_milliseconds * age.MILLISECOND
        if until - now < _SHORTEST_RUMOUR:
            return
        if not self.rumours.add(fingerprint, until, now):
            return
        self._effects.append(events.ApplyRumour(fingerprint, until))
        news = rumours.to_rumour(fingerprint, until, now)
        self._effects += self._sender.flood(news, sender, now)

    def _tick(self, now: datetime.datetime) -> None:
        if now >= self.wake_at:
            self._forget(now)
            self._effects += self._sender.send_tick(now)
            stretch = self._random.uniform(1 - _TICK_JITTER, 1 + _TICK_JITTER)
            self.wake_at = now + self._cfg.tick * stretch
        self._effects.append(events.WakeAt(self.wake_at))

    def _forget(self, now: datetime.datetime) -> None:
        self.rumours.remove_expired(now)
        for announcement in self.endpoints.remove_expired(now):
            self._drop(announcement.endpoint_id)
            self._effects.append(
                events.ReportEndpointLost(
                    announcement.endpoint_id, announcement.incarnation
                )
            )

    def _drop(self, endpoint_id: model.EndpointId) -> None:
        self._sender.drop(endpoint_id)
        self._hurried.discard(endpoint_id)

    def _earliest_sending(
        self,
        announcement: model.Announcement,
        received_from: datetime.datetime,
        now: datetime.datetime,
    ) -> datetime.datetime | None:
        echo = age.Echo.parse(announcement.echo)
        sent = None if echo is None else self._translate(echo, now)
        if sent is not None and sent <= now:
            return sent
        if self._cfg.accept_announcements_without_echo:
            return received_from
        return None

    def _translate(
        self, echo: age.Echo, now: datetime.datetime
    ) -> datetime.datetime | None:
        milliseconds = echo.instant_milliseconds
        if echo.vm_id == self._life.vm_id:
            return self._life.returned(echo.incarnation, milliseconds, now)
        peer = self._sender.find(echo.vm_id)
        if peer is None or peer.clock is None:
            return None
        if peer.clock.incarnation != echo.incarnation:
            return None
        return peer.clock.earliest(milliseconds)

    def _reply(
        self,
        endpoint_id: model.EndpointId,
        is_age_known: bool,
        now: datetime.datetime,
    ) -> None:
        """Ask for the next announcement at once, but once only.

        An endpoint that returns no echo would never stop otherwise.
        """
        echo = self._life.issue(now)
        wait = self._cfg.announce_interval * self._random.uniform(
            _SHORTEST_REPLY_RATIO, 1
        )
        if is_age_known:
            self._hurried.discard(endpoint_id)
        elif endpoint_id not in self._hurried:
            self._hurried.add(endpoint_id)
            wait = datetime.timedelta()
        self._effects.append(events.ReplyToAnnouncement(str(echo), wait))
