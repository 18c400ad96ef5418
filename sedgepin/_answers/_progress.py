"""The deadline for the next token or heartbeat of a stream."""

import dataclasses
import datetime


@dataclasses.dataclass(slots=True, frozen=True)
class ProgressSettings:
    """Timeouts of a stream.

    The first token is due after the expected prefill time multiplied by
    ``prefill_factor``, but not before ``min_prefill_timeout``.  Later
    tokens are due ``token_timeout`` after the one before.  Once an endpoint
    has sent a heartbeat, only ``heartbeat_timeout`` counts: the next token
    or heartbeat is due that long after the last one.
    """

    prefill_factor: float = 1.5
    min_prefill_timeout: datetime.timedelta = datetime.timedelta(
        milliseconds=500
    )
    token_timeout: datetime.timedelta = datetime.timedelta(milliseconds=500)
    heartbeat_timeout: datetime.timedelta = datetime.timedelta(
        milliseconds=750
    )


class ProgressDeadline:
    """Tracks when the next token or heartbeat of one stream is due."""

    __slots__ = (
        "token_deadline",
        "last_activity_at",
        "sends_heartbeats",
        "_settings",
    )

    def __init__(
        self,
        expected_prefill: datetime.timedelta,
        now: datetime.datetime,
        settings: ProgressSettings | None = None,
    ) -> None:
        self._settings = settings or ProgressSettings()
        self.last_activity_at = now
        self.sends_heartbeats = False
        prefill_timeout = expected_prefill * self._settings.prefill_factor
        self.token_deadline = now + max(
            prefill_timeout, self._settings.min_prefill_timeout
        )

    @property
    def expires_at(self) -> datetime.datetime:
        """Return the instant at which a token or heartbeat is overdue."""
        if not self.sends_heartbeats:
            return self.token_deadline
        return self.last_activity_at + self._settings.heartbeat_timeout

    def record_heartbeat(self, now: datetime.datetime) -> None:
        """Restart the heartbeat timeout, which replaces that of tokens."""
        self.sends_heartbeats = True
        self.last_activity_at = now

    def record_token(self, now: datetime.datetime) -> None:
        """Restart the token and heartbeat timeouts."""
        self.last_activity_at = now
        self.token_deadline = now + self._settings.token_timeout

    def extend(
        self, timeout: datetime.timedelta, now: datetime.datetime
    ) -> None:
        """Restart the timeouts, after a probe succeeded.

        ``timeout`` replaces the token timeout until the next token.
        """
        self.last_activity_at = now
        self.token_deadline = now + timeout

    def is_expired(self, now: datetime.datetime) -> bool:
        """Return whether a token or heartbeat is overdue."""
        return now >= self.expires_at
