"""When a stream has been silent for longer than it should be."""

import dataclasses
import datetime


@dataclasses.dataclass(slots=True, frozen=True)
class ProgressSettings:
    """How long a healthy stream may be silent.

    Before the first token the expected prefill time, stretched by
    ``prefill_stretch``, is allowed; after it ``token_gap``.  An endpoint
    that has sent a heartbeat once is expected to go on: then
    ``heartbeat_gap`` is the most between any two signs of life.
    """

    prefill_stretch: float = 1.5
    prefill_floor: datetime.timedelta = datetime.timedelta(milliseconds=500)
    token_gap: datetime.timedelta = datetime.timedelta(milliseconds=500)
    heartbeat_gap: datetime.timedelta = datetime.timedelta(milliseconds=750)


class ProgressDeadline:
    """The progress deadline of one stream."""

    __slots__ = (
        "progress_deadline",
        "last_sign_at",
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
        self.last_sign_at = now
        self.sends_heartbeats = False
        allowed = expected_prefill * self._settings.prefill_stretch
        self.progress_deadline = now + max(
            allowed, self._settings.prefill_floor
        )

    @property
    def silent_at(self) -> datetime.datetime:
        """Return the instant at which the stream counts as silent."""
        if not self.sends_heartbeats:
            return self.progress_deadline
        return self.last_sign_at + self._settings.heartbeat_gap

    def heartbeat(self, now: datetime.datetime) -> None:
        """Note that the endpoint said it is at work."""
        self.sends_heartbeats = True
        self.last_sign_at = now

    def progress(self, now: datetime.datetime) -> None:
        """Note that a token came."""
        self.last_sign_at = now
        self.progress_deadline = now + self._settings.token_gap

    def extend(
        self, allowance: datetime.timedelta, now: datetime.datetime
    ) -> None:
        """Allow more time, after the endpoint said it is still at work."""
        self.last_sign_at = now
        self.progress_deadline = now + allowance

    def silent(self, now: datetime.datetime) -> bool:
        """Tell whether the stream has been silent for too long."""
        return now >= self.silent_at
