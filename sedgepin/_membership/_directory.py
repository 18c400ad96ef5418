"""What one entry knows of the endpoints, and which may get new work.

Two directories that took in the same announcements agree whatever the order
and however often each came: the order is (incarnation, leaving, sequence),
and the highest wins.
"""

import dataclasses
import datetime
import enum
import zlib

import result

from sedgepin._membership import _failures as failures
from sedgepin._membership import _settings as settings
from sedgepin import _model as model

# A left mark younger than this is never evicted: within it, announcements
# sent before the leaving may still be young enough to allow new work.
_SAFE_TOMBSTONE_AGE = datetime.timedelta(seconds=5)

# A failure this recent is not told to the other entries again.
_RECENT_FAILURE = datetime.timedelta(seconds=5)


class AnnouncementOutcome(enum.Enum):
    """What an announcement changed."""

    JOINED = "joined"
    REFRESHED = "refreshed"
    LEFT = "left"
    STALE = "stale"


@dataclasses.dataclass(slots=True)
class _Record:
    """One endpoint: its newest announcement and bounds on its sending."""

    announcement: model.Announcement
    sent_not_before: datetime.datetime | None
    changed_at: datetime.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class _Suspicion:
    """A failure to reach an endpoint, and when to try it again."""

    failed_at: datetime.datetime
    failure_count: int
    retry_at: datetime.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class Tombstone:
    """An incarnation of an endpoint that has left, and when it was heard.

    It covers every earlier incarnation as well.
    """

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation
    heard_at: datetime.datetime

    @property
    def digest(self) -> int:
        """Return a number that is the same on every entry."""
        return zlib.crc32(f"{self.endpoint_id}/{self.incarnation}".encode())


_Announced = result.Result[AnnouncementOutcome, failures.DirectoryFull]


class EndpointDirectory:
    """The endpoints that one entry knows.

    >>> directory = EndpointDirectory(settings.MembershipSettings())
    >>> now = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    >>> directory.eligible(now)
    ()
    """

    __slots__ = (
        "_cfg",
        "_left",
        "_records",
        "_suspicions",
        "tombstone_digest",
    )

    def __init__(self, cfg: settings.MembershipSettings) -> None:
        self._cfg = cfg
        self._records: dict[model.EndpointId, _Record] = {}
        self._left: dict[model.EndpointId, Tombstone] = {}
        self._suspicions: dict[model.EndpointId, _Suspicion] = {}
        self.tombstone_digest = 0

    def merge_announcement(
        self,
        announcement: model.Announcement,
        age: datetime.timedelta | None,
        now: datetime.datetime,
    ) -> _Announced:
        """Merge an announcement that is at most ``age`` old.

        ``None`` stands for an unknown age: the endpoint becomes known, but
        not eligible by this announcement.
        """
        endpoint_id = announcement.endpoint_id
        incarnation = announcement.incarnation
        if self.has_left(endpoint_id, incarnation):
            return result.Ok(AnnouncementOutcome.STALE)
        if announcement.leaving:
            return self.mark_left(endpoint_id, incarnation, now)
        sent = None if age is None else now - age
        record = self._records.get(endpoint_id)
        if record is None or incarnation > record.announcement.incarnation:
            return self._join(announcement, sent, now)
        if incarnation < record.announcement.incarnation:
            return result.Ok(AnnouncementOutcome.STALE)
        return result.Ok(_refresh(record, announcement, sent, now))

    def mark_left(
        self,
        endpoint_id: model.EndpointId,
        incarnation: model.Incarnation,
        now: datetime.datetime,
    ) -> _Announced:
        """Take in that an incarnation of an endpoint is leaving."""
        if self.has_left(endpoint_id, incarnation):
            return result.Ok(AnnouncementOutcome.STALE)
        record = self._records.get(endpoint_id)
        if record and record.announcement.incarnation <= incarnation:
            self._discard(endpoint_id)
        if not self._has_room_for_mark(endpoint_id, now):
            return result.Err(
                failures.DirectoryFull(self._cfg.tombstone_limit)
            )
        self._unmark(endpoint_id)
        mark = Tombstone(endpoint_id, incarnation, now)
        self._left[endpoint_id] = mark
        self.tombstone_digest ^= mark.digest
        return result.Ok(AnnouncementOutcome.LEFT)

    def has_left(
        self, endpoint_id: model.EndpointId, incarnation: model.Incarnation
    ) -> bool:
        """Tell whether this incarnation is remembered to have left."""
        mark = self._left.get(endpoint_id)
        return mark is not None and mark.incarnation >= incarnation

    def eligible(
        self, now: datetime.datetime
    ) -> tuple[model.Announcement, ...]:
        """Return the endpoints that may get new work at ``now``."""
        return tuple(
            record.announcement
            for record in self._records.values()
            if self._is_eligible(record, now)
        )

    def live(self, now: datetime.datetime) -> tuple[model.Announcement, ...]:
        """Return every endpoint that has not left and is not silent."""
        return tuple(
            record.announcement
            for record in self._records.values()
            if now - record.changed_at < self._cfg.forget_after
        )

    def find(self, endpoint_id: model.EndpointId) -> model.Announcement | None:
        """Return the newest announcement of an endpoint that has not left."""
        record = self._records.get(endpoint_id)
        return None if record is None else record.announcement

    def age(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Return the bound on the age of the newest announcement."""
        record = self._records.get(endpoint_id)
        if record is None or record.sent_not_before is None:
            return None
        return now - record.sent_not_before

    def with_age_between(
        self,
        least: datetime.timedelta,
        limit: datetime.timedelta,
        now: datetime.datetime,
    ) -> list[model.EndpointId]:
        """Return the endpoints at least ``least`` and under ``limit`` old."""
        return [
            endpoint_id
            for endpoint_id, record in self._records.items()
            if record.sent_not_before is not None
            and least <= now - record.sent_not_before < limit
        ]

    def tombstones(self) -> tuple[Tombstone, ...]:
        """Return the incarnations that have left, as far as remembered."""
        return tuple(self._left.values())

    def mark_failed(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> None:
        """Suspect an endpoint that could not be reached.

        The first time it is eligible again on an announcement sent after
        the failure; when it fails again, only after a growing backoff.
        """
        if endpoint_id not in self._records:
            return
        before = self._suspicions.get(endpoint_id)
        count = 1 if before is None else before.failure_count + 1
        backoff = min(
            self._cfg.first_backoff * 2 ** min(count - 1, 16),
            self._cfg.longest_backoff,
        )
        self._suspicions[endpoint_id] = _Suspicion(now, count, now + backoff)

    def mark_suspected(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> None:
        """Take in that another entry could not reach an endpoint.

        It counts as a first failure, so that one entry with a broken link
        holds the endpoint back at the others for a moment only.
        """
        if endpoint_id in self._records:
            retry_at = now + self._cfg.first_backoff
            self._suspicions[endpoint_id] = _Suspicion(now, 1, retry_at)

    def is_suspected(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Tell whether a failure of an endpoint is recent."""
        suspicion = self._suspicions.get(endpoint_id)
        if suspicion is None:
            return False
        return now - suspicion.failed_at < _RECENT_FAILURE

    def mark_reached(self, endpoint_id: model.EndpointId) -> None:
        """Drop the suspicion against an endpoint that has answered."""
        self._suspicions.pop(endpoint_id, None)

    def remove_expired(
        self, now: datetime.datetime
    ) -> tuple[model.Announcement, ...]:
        """Drop what is silent for too long; return the endpoints lost.

        A left mark may be dropped long before a late announcement of its
        incarnation comes in: that announcement's age is bounded by the echo
        that it returns, so it joins the known endpoints at most, and is
        never eligible.
        """
        lost = [
            record.announcement
            for record in self._records.values()
            if now - record.changed_at >= self._cfg.forget_after
        ]
        for announcement in lost:
            self._discard(announcement.endpoint_id)
        for endpoint_id, suspicion in list(self._suspicions.items()):
            if now - suspicion.retry_at >= self._cfg.forget_after:
                del self._suspicions[endpoint_id]
        for mark in self.tombstones():
            if now - mark.heard_at >= self._cfg.tombstone_life:
                self._unmark(mark.endpoint_id)
        return tuple(lost)

    def _join(
        self,
        announcement: model.Announcement,
        sent: datetime.datetime | None,
        now: datetime.datetime,
    ) -> _Announced:
        endpoint_id = announcement.endpoint_id
        is_full = len(self._records) >= self._cfg.endpoint_limit
        if is_full and endpoint_id not in self._records:
            return result.Err(failures.DirectoryFull(self._cfg.endpoint_limit))
        self._records[endpoint_id] = _Record(announcement, sent, now)
        self._suspicions.pop(endpoint_id, None)
        return result.Ok(AnnouncementOutcome.JOINED)

    def _is_eligible(self, record: _Record, now: datetime.datetime) -> bool:
        if record.sent_not_before is None:
            return False
        if now - record.sent_not_before >= self._cfg.eligible_age:
            return False
        suspicion = self._suspicions.get(record.announcement.endpoint_id)
        if suspicion is None or now >= suspicion.retry_at:
            return True
        if suspicion.failure_count > 1:
            return False
        return record.sent_not_before > suspicion.failed_at

    def _discard(self, endpoint_id: model.EndpointId) -> None:
        del self._records[endpoint_id]
        self._suspicions.pop(endpoint_id, None)

    def _unmark(self, endpoint_id: model.EndpointId) -> None:
        mark = self._left.pop(endpoint_id, None)
        if mark is not None:
            self.tombstone_digest ^= mark.digest

    def _has_room_for_mark(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        if endpoint_id in self._left:
            return True
        if len(self._left) < self._cfg.tombstone_limit:
            return True
        oldest = min(self._left.values(), key=lambda mark: mark.heard_at)
        if now - oldest.heard_at < _SAFE_TOMBSTONE_AGE:
            return False
        self._unmark(oldest.endpoint_id)
        return True


def _refresh(
    record: _Record,
    announcement: model.Announcement,
    sent: datetime.datetime | None,
    now: datetime.datetime,
) -> AnnouncementOutcome:
    # A later announcement was sent later, so that the bound on any earlier
    # one of the same incarnation holds for the newest as well.
    record.sent_not_before = _later(record.sent_not_before, sent)
    if announcement.sequence <= record.announcement.sequence:
        return AnnouncementOutcome.STALE
    record.announcement = announcement
    record.changed_at = now
    return AnnouncementOutcome.REFRESHED


def _later(
    first: datetime.datetime | None, second: datetime.datetime | None
) -> datetime.datetime | None:
    if first is None or second is None:
        return first or second
    return max(first, second)
