"""What a leader knows of one other member."""

import datetime

from sedgepin import _storage as storage

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)
_MICROSECOND = datetime.timedelta(microseconds=1)
LONG_AGO = _EPOCH


def to_stamp(now: datetime.datetime) -> int:
    """Return an instant as microseconds, for a message."""
    return (now - _EPOCH) // _MICROSECOND


def from_stamp(stamp_microseconds: int) -> datetime.datetime:
    """Return the instant that a stamp stands for."""
    return _EPOCH + stamp_microseconds * _MICROSECOND


class Progress:
    """How far a member's log agrees, and when it was last heard.

    ``heard_at`` is the leader's clock when it sent the message that was
    answered, not when the answer came: a lease counts from there.
    """

    __slots__ = (
        "chunk_sent_at",
        "heard_at",
        "is_caught_up",
        "known_since",
        "match_index",
        "next_index",
        "round_end_index",
        "round_started_at",
        "sent_at",
        "snapshot",
        "snapshot_offset_bytes",
    )

    def __init__(self, next_index: int, now: datetime.datetime) -> None:
        self.known_since = now
        self.match_index = 0
        self.next_index = next_index
        self.heard_at = LONG_AGO
        self.sent_at = LONG_AGO
        self.snapshot: storage.Snapshot | None = None
        self.snapshot_offset_bytes = 0
        self.chunk_sent_at = LONG_AGO
        self.is_caught_up = False
        self.round_end_index = next_index
        self.round_started_at = LONG_AGO

    def hear(self, stamp_microseconds: int, now: datetime.datetime) -> None:
        """Note that a message sent at the stamped instant was answered."""
        sent_at = min(from_stamp(stamp_microseconds), now)
        self.heard_at = max(self.heard_at, sent_at)

    def agree(self, index: int) -> None:
        """Note that the logs agree up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.snapshot and self.match_index >= self.snapshot.index:
            self.snapshot = None
            self.next_index = self.match_index + 1

    def disagree(self, last_candidate_index: int) -> None:
        """Go back to the last entry that may agree."""
        if self.snapshot is None:
            agreed = max(self.match_index, last_candidate_index)
            self.next_index = min(self.next_index, agreed + 1)

    def start_snapshot(self, snapshot: storage.Snapshot) -> None:
        """Start to send a snapshot."""
        self.snapshot = snapshot
        self.snapshot_offset_bytes = 0
        self.chunk_sent_at = LONG_AGO

    def close_round(
        self,
        now: datetime.datetime,
        last_index: int,
        longest: datetime.timedelta,
    ) -> None:
        """See whether the member has caught up, round by round.

        A round copies what the log held when the round started.  A member
        has caught up once a round took no longer than ``longest``.
        """
        if self.match_index < self.round_end_index:
            return
        if now - self.round_started_at <= longest:
            self.is_caught_up = True
        self.round_end_index = last_index
        self.round_started_at = now
