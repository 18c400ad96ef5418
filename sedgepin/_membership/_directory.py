"""Endpoints known to one entry VM, and which are eligible for new work.

Merging announcements is commutative and idempotent: announcements are ordered
by (incarnation, leaving, sequence) and the highest wins, so that directories
that merged the same announcements agree, whatever the order and repetition.
"""

import dataclasses
import datetime
import enum
import zlib

import result

from sedgepin._membership import _failures as failures
from sedgepin._membership import _settings as settings
from sedgepin import _model as model

# A younger tombstone is never evicted, as announcements sent before the
# endpoint left may still be young enough to make it eligible for new work.
_MIN_TOMBSTONE_AGE = datetime.timedelta(seconds=5)

# Within this time after a failure, further failures of the same endpoint are
# not broadcast to the other entry VMs.
_FAILURE_BROADCAST_INTERVAL = datetime.timedelta(seconds=5)


class AnnouncementOutcome(enum.Enum):
    """How merging an announcement changed the directory."""

    JOINED = "joined"
    REFRESHED = "refreshed"
    LEFT = "left"
    STALE = "stale"


@dataclasses.dataclass(slots=True)
class _Record:
    """The newest announcement of an endpoint, and when it was sent.

    ``earliest_sent_at`` bounds the time of sending from below; it is ``None``
    if no bound is known.  ``updated_at`` is when the directory received it.
    """

    announcement: model.Announcement
    earliest_sent_at: datetime.datetime | None
    updated_at: datetime.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class _Suspicion:
    """The latest failure to reach an endpoint, and when to retry it.

    ``failure_count`` determines the backoff until ``retry_at``.
    """

    failed_at: datetime.datetime
    failure_count: int
    retry_at: datetime.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class Tombstone:
    """Records that an incarnation of an endpoint has left.

    It covers every earlier incarnation as well.  ``received_at`` is when this
    entry VM learned of the leaving.
    """

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation
    received_at: datetime.datetime

    @property
    def digest(self) -> int:
        """Return a checksum that is the same on every entry VM."""
        return zlib.crc32(f"{self.endpoint_id}/{self.incarnation}".encode())


_MergeResult = result.Result[AnnouncementOutcome, failures.DirectoryFull]


class EndpointDirectory:
    """The endpoints known to one entry VM, with tombstones and failures.

    ``tombstone_digest`` combines the digests of all tombstones.

    >>> directory = EndpointDirectory(settings.MembershipSettings())
    >>> now = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    >>> directory.eligible(now)
    ()
    """

    __slots__ = (
        "_cfg",
        "_records",
        "_suspicions",
        "_tombstones",
        "tombstone_digest",
    )

    def __init__(self, cfg: settings.MembershipSettings) -> None:
        self._cfg = cfg
        self._records: dict[model.EndpointId, _Record] = {}
        self._tombstones: dict[model.EndpointId, Tombstone] = {}
        self._suspicions: dict[model.EndpointId, _Suspicion] = {}
        self.tombstone_digest = 0

    def merge_announcement(
        self,
        announcement: model.Announcement,
        max_age: datetime.timedelta | None,
        now: datetime.datetime,
    ) -> _MergeResult:
        """Merge an announcement that is at most ``max_age`` old.

        With an unknown age (``None``) the endpoint is added, but this
        announcement does not make it eligible.  Fails if the directory is
        full.
        """
        endpoint_id = announcement.endpoint_id
        incarnation = announcement.incarnation
        if self.has_left(endpoint_id, incarnation):
            return result.Ok(AnnouncementOutcome.STALE)
        if announcement.leaving:
            return self.mark_left(endpoint_id, incarnation, now)
        earliest_sent_at = None if max_age is None else now - max_age
        record = self._records.get(endpoint_id)
        if record is None or incarnation > record.announcement.incarnation:
            return self._join(announcement, earliest_sent_at, now)
        if incarnation < record.announcement.incarnation:
            return result.Ok(AnnouncementOutcome.STALE)
        return result.Ok(_refresh(record, announcement, earliest_sent_at, now))

    def mark_left(
        self,
        endpoint_id: model.EndpointId,
        incarnation: model.Incarnation,
        now: datetime.datetime,
    ) -> _MergeResult:
        """Remove an endpoint whose incarnation is leaving; add a tombstone.

        Fails if the limit of tombstones is reached and none may be evicted.
        The endpoint is removed even then.
        """
        if self.has_left(endpoint_id, incarnation):
            return result.Ok(AnnouncementOutcome.STALE)
        record = self._records.get(endpoint_id)
        if record and record.announcement.incarnation <= incarnation:
            self._remove(endpoint_id)
        if not self._reserve_tombstone(endpoint_id, now):
            return result.Err(
                failures.DirectoryFull(self._cfg.tombstone_limit)
            )
        self._remove_tombstone(endpoint_id)
        tombstone = Tombstone(endpoint_id, incarnation, now)
        self._tombstones[endpoint_id] = tombstone
        self.tombstone_digest ^= tombstone.digest
        return result.Ok(AnnouncementOutcome.LEFT)

    def has_left(
        self, endpoint_id: model.EndpointId, incarnation: model.Incarnation
    ) -> bool:
        """Return whether a tombstone covers this incarnation."""
        tombstone = self._tombstones.get(endpoint_id)
        return tombstone is not None and tombstone.incarnation >= incarnation

    def eligible(
        self, now: datetime.datetime
    ) -> tuple[model.Announcement, ...]:
        """Return the endpoints that may receive new work at ``now``."""
        return tuple(
            record.announcement
            for record in self._records.values()
            if self._is_eligible(record, now)
        )

    def live(self, now: datetime.datetime) -> tuple[model.Announcement, ...]:
        """Return the endpoints that have neither left nor expired.

        An endpoint expires ``forget_after`` its last new announcement.
        """
        return tuple(
            record.announcement
            for record in self._records.values()
            if now - record.updated_at < self._cfg.forget_after
        )

    def find(self, endpoint_id: model.EndpointId) -> model.Announcement | None:
        """Return the newest announcement of an endpoint.

        ``None`` if the endpoint is unknown, has left or was removed.
        """
        record = self._records.get(endpoint_id)
        return None if record is None else record.announcement

    def age(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Return an upper bound on the age of the newest announcement.

        ``None`` if the endpoint or the bound is unknown.
        """
        record = self._records.get(endpoint_id)
        if record is None or record.earliest_sent_at is None:
            return None
        return now - record.earliest_sent_at

    def with_age_between(
        self,
        min_age: datetime.timedelta,
        max_age: datetime.timedelta,
        now: datetime.datetime,
    ) -> list[model.EndpointId]:
        """Return the endpoints whose newest announcement has a certain age.

        The bound on the age is at least ``min_age`` and below ``max_age``.
        """
        return [
            endpoint_id
            for endpoint_id, record in self._records.items()
            if record.earliest_sent_at is not None
            and min_age <= now - record.earliest_sent_at < max_age
        ]

    def tombstones(self) -> tuple[Tombstone, ...]:
        """Return the tombstones that have been neither removed nor evicted."""
        return tuple(self._tombstones.values())

    def mark_failed(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> None:
        """Record that this entry VM could not reach an endpoint.

        After the first failure, an announcement sent later makes the endpoint
        eligible again, even within the backoff.  After further failures it
        stays ineligible until an exponential backoff has passed.
        """
        if endpoint_id not in self._records:
            return
        previous = self._suspicions.get(endpoint_id)
        count = 1 if previous is None else previous.failure_count + 1
        backoff = min(
            self._cfg.first_backoff * 2 ** min(count - 1, 16),
            self._cfg.longest_backoff,
        )
        self._suspicions[endpoint_id] = _Suspicion(now, count, now + backoff)

    def mark_suspected(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> None:
        """Record that another entry VM could not reach an endpoint.

        It counts as a first failure, so that one entry VM with a broken link
        makes the endpoint ineligible at the others only briefly.
        """
        if endpoint_id in self._records:
            retry_at = now + self._cfg.first_backoff
            self._suspicions[endpoint_id] = _Suspicion(now, 1, retry_at)

    def is_suspected(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether a failure was recorded in the last few seconds.

        A further failure within that time need not be broadcast.
        """
        suspicion = self._suspicions.get(endpoint_id)
        if suspicion is None:
            return False
        return now - suspicion.failed_at < _FAILURE_BROADCAST_INTERVAL

    def mark_reached(self, endpoint_id: model.EndpointId) -> None:
        """Clear the failures of an endpoint that has answered."""
        self._suspicions.pop(endpoint_id, None)

    def remove_expired(
        self, now: datetime.datetime
    ) -> tuple[model.Announcement, ...]:
        """Remove expired endpoints, failures and tombstones.

        Returns the last announcements of the endpoints that expired.

        An announcement may be delayed until long after the tombstone of its
        incarnation is removed.  The echo that it carries bounds its age, so
        it can add the endpoint again but never make it eligible.
        """
        expired = [
            record.announcement
            for record in self._records.values()
            if now - record.updated_at >= self._cfg.forget_after
        ]
        for announcement in expired:
            self._remove(announcement.endpoint_id)
        for endpoint_id, suspicion in list(self._suspicions.items()):
            if now - suspicion.retry_at >= self._cfg.forget_after:
                del self._suspicions[endpoint_id]
        for tombstone in self.tombstones():
            if now - tombstone.received_at >= self._cfg.tombstone_life:
                self._remove_tombstone(tombstone.endpoint_id)
        return tuple(expired)

    def _join(
        self,
        announcement: model.Announcement,
        earliest_sent_at: datetime.datetime | None,
        now: datetime.datetime,
    ) -> _MergeResult:
        endpoint_id = announcement.endpoint_id
        is_full = len(self._records) >= self._cfg.endpoint_limit
        if is_full and endpoint_id not in self._records:
            return result.Err(failures.DirectoryFull(self._cfg.endpoint_limit))
        self._records[endpoint_id] = _Record(
            announcement, earliest_sent_at, now
        )
        self._suspicions.pop(endpoint_id, None)
        return result.Ok(AnnouncementOutcome.JOINED)

    def _is_eligible(self, record: _Record, now: datetime.datetime) -> bool:
        if record.earliest_sent_at is None:
            return False
        if now - record.earliest_sent_at >= self._cfg.eligible_age:
            return False
        suspicion = self._suspicions.get(record.announcement.endpoint_id)
        if suspicion is None or now >= suspicion.retry_at:
            return True
        if suspicion.failure_count > 1:
            return False
        return record.earliest_sent_at > suspicion.failed_at

    def _remove(self, endpoint_id: model.EndpointId) -> None:
        del self._records[endpoint_id]
        self._suspicions.pop(endpoint_id, None)

    def _remove_tombstone(self, endpoint_id: model.EndpointId) -> None:
        tombstone = self._tombstones.pop(endpoint_id, None)
        if tombstone is not None:
            self.tombstone_digest ^= tombstone.digest

    def _reserve_tombstone(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether a tombstone may be added, evicting one if needed."""
        if endpoint_id in self._tombstones:
            return True
        if len(self._tombstones) < self._cfg.tombstone_limit:
            return True
        oldest = min(
            self._tombstones.values(),
            key=lambda tombstone: tombstone.received_at,
        )
        if now - oldest.received_at < _MIN_TOMBSTONE_AGE:
            return False
        self._remove_tombstone(oldest.endpoint_id)
        return True


def _refresh(
    record: _Record,
    announcement: model.Announcement,
    earliest_sent_at: datetime.datetime | None,
    now: datetime.datetime,
) -> AnnouncementOutcome:
    # Announcements of one incarnation are sent in sequence, so that a lower
    # bound on the sending of any of them also holds for the newest.
    record.earliest_sent_at = _latest(
        record.earliest_sent_at, earliest_sent_at
    )
    if announcement.sequence <= record.announcement.sequence:
        return AnnouncementOutcome.STALE
    record.announcement = announcement
    record.updated_at = now
    return AnnouncementOutcome.REFRESHED


def _latest(
    first: datetime.datetime | None, second: datetime.datetime | None
) -> datetime.datetime | None:
    if first is None or second is None:
        return first or second
    return max(first, second)
