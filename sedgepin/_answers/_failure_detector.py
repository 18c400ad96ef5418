"""Decides whether a silent stream has a dead connection or endpoint.

A silent stream is first asked about over a fresh connection.  Success there
with tokens that never arrived here means that the old connection is dead;
repeated failure means that the endpoint is.  An endpoint that says it is
still prefilling is left to work, for as long as it says so.  One that has
made tokens and then makes no more, while it says that it is alive, has
stalled.
"""

import dataclasses
import datetime
import enum

from sedgepin._answers import _progress
from sedgepin import _model as model


class StreamState(enum.Enum):
    """What an endpoint says of a request when it is asked."""

    PREFILLING = "prefilling"
    PRODUCING = "producing"
    UNKNOWN = "unknown"
    UNREPORTED = "not_told"


@dataclasses.dataclass(slots=True, frozen=True)
class HeartbeatReceived:
    """A heartbeat came over the stream's own connection."""


@dataclasses.dataclass(slots=True, frozen=True)
class TokenReceived:
    """A token came; ``next_position`` is the next one to deliver."""

    next_position: int


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeSucceeded:
    """The endpoint answered on a fresh connection.

    ``UNREPORTED`` stands for an endpoint that cannot say how a request is
    doing.  ``produced`` is the number of the answer's tokens it has made.
    """

    probe: int
    state: StreamState
    produced: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeFailed:
    """No fresh connection, or no answer on it."""

    probe: int


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The time that ``StreamFailureDetector.wake_at`` named has come."""


FailureDetectorEvent = (
    HeartbeatReceived
    | TokenReceived
    | ProbeSucceeded
    | ProbeFailed
    | TimerFired
)


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeEndpoint:
    """Ask the endpoint about the request over a fresh connection."""

    endpoint_id: model.EndpointId
    request_id: model.RequestId
    probe: int
    timeout: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class DeclareConnectionDead:
    """Close the connection and resume over a new one, attempt raised."""

    endpoint_id: model.EndpointId
    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class DeclareEndpointDead:
    """Treat the endpoint as lost and resume on others, attempt raised."""

    endpoint_id: model.EndpointId
    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class DeclareStreamStalled:
    """Cancel the attempt and resume over another pipeline.

    The endpoint is alive but produces nothing: a stage behind it, or a link
    between two stages, may be lost.
    """

    endpoint_id: model.EndpointId
    request_id: model.RequestId


FailureDetectorEffect = (
    ProbeEndpoint
    | DeclareConnectionDead
    | DeclareEndpointDead
    | DeclareStreamStalled
)


@dataclasses.dataclass(slots=True, frozen=True)
class FailureDetectorSettings:
    """Probing.

    ``token_grace`` is how long tokens that the endpoint has made may be
    under way.  ``max_unreported_probes`` limits the consecutive successful
    probes that do not report the state of the request; each such probe
    doubles the time until the next.  ``stall_limit`` is the longest
    time between two tokens, whatever state the endpoint reports.
    """

    probe_timeout: datetime.timedelta = datetime.timedelta(milliseconds=500)
    probe_interval: datetime.timedelta = datetime.timedelta(milliseconds=500)
    probe_failures: int = 2
    token_grace: datetime.timedelta = datetime.timedelta(milliseconds=250)
    max_unreported_probes: int = 3
    stall_limit: datetime.timedelta = datetime.timedelta(seconds=10)
    progress: _progress.ProgressSettings = dataclasses.field(
        default_factory=_progress.ProgressSettings
    )


class StreamFailureDetector:
    """The reducer that watches one stream of one attempt.

    Feed it events through ``handle`` and call it with ``TimerFired`` at
    ``wake_at``.  After a verdict it stays quiet.
    """

    __slots__ = (
        "request_id",
        "endpoint_id",
        "finished",
        "_due_at",
        "_stalled_at",
        "_settings",
        "_watch",
        "_next_position",
        "_probe",
        "_probing",
        "_failures",
        "_untold",
        "_first_allowance",
        "_allowance",
        "_overdue_produced",
    )

    def __init__(
        self,
        request_id: model.RequestId,
        endpoint_id: model.EndpointId,
        expected_prefill: datetime.timedelta,
        next_position: int,
        now: datetime.datetime,
        settings: FailureDetectorSettings | None = None,
    ) -> None:
        self.request_id = request_id
        self.endpoint_id = endpoint_id
        self.finished = False
        self._settings = settings or FailureDetectorSettings()
        self._watch = _progress.ProgressDeadline(
            expected_prefill, now, self._settings.progress
        )
        self._next_position = next_position
        self._probe = 0
        self._probing = False
        self._failures = 0
        self._untold = 0
        self._first_allowance = max(
            expected_prefill, self._settings.probe_interval
        )
        self._allowance = self._first_allowance
        self._overdue_produced: int | None = None
        self._due_at = self._watch.silent_at
        self._stalled_at: datetime.datetime | None = None

    @property
    def wake_at(self) -> datetime.datetime:
        """Return when to feed ``TimerFired`` next."""
        if self._stalled_at is None:
            return self._due_at
        return min(self._due_at, self._stalled_at)

    def handle(
        self, event: FailureDetectorEvent, now: datetime.datetime
    ) -> list[FailureDetectorEffect]:
        """Take one event and return what is to be done."""
        if self.finished:
            return []
        match event:
            case TokenReceived(next_position):
                self._next_position = next_position
                self._stalled_at = now + self._settings.stall_limit
                self._first_allowance = self._settings.probe_interval
                self._watch.progress(now)
                self._settle()
            case HeartbeatReceived():
                self._watch.heartbeat(now)
                self._settle()
            case ProbeSucceeded():
                return self._probe_succeeded(event, now)
            case ProbeFailed(probe):
                return self._probe_failed(probe, now)
            case TimerFired():
                return self._timer_fired(now)
        return []

    def _settle(self) -> None:
        self._probing = False
        self._failures = 0
        self._untold = 0
        self._allowance = self._first_allowance
        self._overdue_produced = None
        self._due_at = self._watch.silent_at

    def _timer_fired(
        self, now: datetime.datetime
    ) -> list[FailureDetectorEffect]:
        if self._stalled_at is not None and now >= self._stalled_at:
            self.finished = True
            return [DeclareStreamStalled(self.endpoint_id, self.request_id)]
        if now < self._due_at:
            return []
        if self._probing:
            return self._probe_failed(self._probe, now)
        return self._ask(now)

    def _ask(self, now: datetime.datetime) -> list[FailureDetectorEffect]:
        self._probe += 1
        self._probing = True
        timeout = self._settings.probe_timeout
        self._due_at = now + timeout
        return [
            ProbeEndpoint(
                self.endpoint_id, self.request_id, self._probe, timeout
            )
        ]

    def _probe_failed(
        self, probe: int, now: datetime.datetime
    ) -> list[FailureDetectorEffect]:
        if not self._probing or probe != self._probe:
            return []
        self._failures += 1
        if self._failures < self._settings.probe_failures:
            return self._ask(now)
        self.finished = True
        return [DeclareEndpointDead(self.endpoint_id, self.request_id)]

    def _probe_succeeded(
        self, event: ProbeSucceeded, now: datetime.datetime
    ) -> list[FailureDetectorEffect]:
        if not self._probing or event.probe != self._probe:
            return []
        self._probing = False
        self._failures = 0
        match event.state:
            case StreamState.UNKNOWN:
                return self._connection_dead()
            case StreamState.PREFILLING:
                self._wait(self._settings.probe_interval, now)
                return []
            case StreamState.PRODUCING:
                return self._producing(event.produced, now)
            case StreamState.UNREPORTED:
                return self._not_told(now)

    def _producing(
        self, produced: int, now: datetime.datetime
    ) -> list[FailureDetectorEffect]:
        if produced <= self._next_position:
            self._overdue_produced = None
            self._wait(self._settings.probe_interval, now)
            return []
        if self._overdue_produced is not None:
            return self._connection_dead()
        self._overdue_produced = produced
        self._wait(self._settings.token_grace, now)
        return []

    def _not_told(self, now: datetime.datetime) -> list[FailureDetectorEffect]:
        self._untold += 1
        if self._untold > self._settings.max_unreported_probes:
            return self._connection_dead()
        self._wait(self._allowance, now)
        self._allowance *= 2
        return []

    def _wait(
        self, allowance: datetime.timedelta, now: datetime.datetime
    ) -> None:
        self._watch.extend(allowance, now)
        self._due_at = now + allowance

    def _connection_dead(self) -> list[FailureDetectorEffect]:
        self.finished = True
        return [DeclareConnectionDead(self.endpoint_id, self.request_id)]
