"""A leader's record of one other member's replication progress."""

import datetime

from sedgepin import _storage as storage

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)
_MICROSECOND = datetime.timedelta(microseconds=1)
NEVER = _EPOCH


def to_stamp(now: datetime.datetime) -> int:
    """Return an instant as microseconds since the epoch, for a message."""
    return (now - _EPOCH) // _MICROSECOND


def from_stamp(stamp_microseconds: int) -> datetime.datetime:
    """Return the instant encoded by ``to_stamp``."""
    return _EPOCH + stamp_microseconds * _MICROSECOND


class Progress:
    """Replication progress and last contact of one member.

    ``acked_send_at`` is the leader's clock when it sent the latest message
    that the member answered, not when the answer arrived: a lease counts
    from the sending.
    """

    __slots__ = (
        "acked_send_at",
        "chunk_sent_at",
        "is_caught_up",
        "match_index",
        "next_index",
        "round_end_index",
        "round_started_at",
        "sent_at",
        "snapshot",
        "snapshot_offset_bytes",
        "tracked_since",
    )

    def __init__(self, next_index: int, now: datetime.datetime) -> None:
        self.tracked_since = now
        self.match_index = 0
        self.next_index = next_index
        self.acked_send_at = NEVER
        self.sent_at = NEVER
        self.snapshot: storage.Snapshot | None = None
        self.snapshot_offset_bytes = 0
        self.chunk_sent_at = NEVER
        self.is_caught_up = False
        self.round_end_index = next_index
        self.round_started_at = NEVER

    def record_reply(
        self, stamp_microseconds: int, now: datetime.datetime
    ) -> None:
        """Record an answer to a message sent at the stamped instant."""
        sent_at = min(from_stamp(stamp_microseconds), now)
        self.acked_send_at = max(self.acked_send_at, sent_at)

    def record_match(self, index: int) -> None:
        """Record that the logs match up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.snapshot and self.match_index >= self.snapshot.index:
            self.snapshot = None
            self.next_index = self.match_index + 1

    def record_mismatch(self, last_possible_match: int) -> None:
        """Move ``next_index`` back to just after the last possible match."""
        if self.snapshot is None:
            matched = max(self.match_index, last_possible_match)
            self.next_index = min(self.next_index, matched + 1)

    def start_snapshot(self, snapshot: storage.Snapshot) -> None:
        """Start to send a snapshot from its first byte."""
        self.snapshot = snapshot
        self.snapshot_offset_bytes = 0
        self.chunk_sent_at = NEVER

    def update_catch_up(
        self,
        now: datetime.datetime,
        last_index: int,
        max_round_duration: datetime.timedelta,
    ) -> None:
        """Update ``is_caught_up`` when a replication round ends.

        A round replicates all entries that were in the log when it started.
        The member has caught up once a round took at most
        ``max_round_duration``.
        """
        if self.match_index < self.round_end_index:
            return
        if now - self.round_started_at <= max_round_duration:
            self.is_caught_up = True
        self.round_end_index = last_index
        self.round_started_at = now
