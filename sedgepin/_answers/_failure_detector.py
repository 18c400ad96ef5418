"""Detects streams whose connection or endpoint has failed.

When a token or heartbeat is overdue, the endpoint is probed over a new
connection.  If the endpoint reports generated tokens that never arrived on
the stream, the old connection is declared dead.  If several probes in a row
fail, the endpoint is declared dead.  Each report that the prompt is still
being prefilled extends the deadline.  A stream is stalled if its endpoint is
alive and has generated tokens but generates no more.
"""

import dataclasses
import datetime
import enum

from sedgepin._answers import _progress
from sedgepin import _model as model


class StreamState(enum.Enum):
    """The state of a request, as an endpoint reports it to a probe.

    ``UNKNOWN`` is reported by an endpoint that does not know the request,
    and ``UNREPORTED`` stands for an endpoint that can't report any state.
    """

    PREFILLING = "prefilling"
    PRODUCING = "producing"
    UNKNOWN = "unknown"
    UNREPORTED = "not_told"


@dataclasses.dataclass(slots=True, frozen=True)
class HeartbeatReceived:
    """A heartbeat arrived on the stream's own connection."""


@dataclasses.dataclass(slots=True, frozen=True)
class TokenReceived:
    """A token arrived on the stream.

    ``next_position`` is the position of the next token to deliver.
    """

    next_position: int


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeSucceeded:
    """The endpoint answered a probe on a new connection.

    ``probe`` is the number of the probe.  ``produced`` is the number of
    tokens of the answer that the endpoint has generated.
    """

    probe: int
    state: StreamState
    produced: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeFailed:
    """The new connection of a probe failed, or no answer arrived on it."""

    probe: int


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The time ``StreamFailureDetector.wake_at`` has passed."""


FailureDetectorEvent = (
    HeartbeatReceived
    | TokenReceived
    | ProbeSucceeded
    | ProbeFailed
    | TimerFired
)


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeEndpoint:
    """Probe the state of the request on the endpoint, on a new connection.

    Report the result as ``ProbeSucceeded`` or ``ProbeFailed`` with the same
    ``probe`` number.  No result within ``timeout`` counts as a failure.
    """

    endpoint_id: model.EndpointId
    request_id: model.RequestId
    probe: int
    timeout: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class DeclareConnectionDead:
    """Close the connection and resume in a new attempt over another one."""

    endpoint_id: model.EndpointId
    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class DeclareEndpointDead:
    """Mark the endpoint as failed and resume in a new attempt on others."""

    endpoint_id: model.EndpointId
    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class DeclareStreamStalled:
    """Cancel the attempt and resume on another pipeline.

    The endpoint is alive but generates no tokens: a later stage, or a link
    between two stages, may have failed.
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
    """Timeouts and limits of the failure detector.

    A probe fails after ``probe_timeout``, and an endpoint after
    ``max_probe_failures`` failed probes in a row.  ``probe_interval`` is the
    time until the next probe of an endpoint that is working.
    ``token_grace`` is the time that generated tokens may take to arrive.
    ``max_unreported_probes`` limits the successful probes that do not report
    the state of the request, without a token or heartbeat between them.
    The time to the next probe is at first ``probe_interval``, or before the
    first token the expected prefill time if that is longer; it doubles
    after each such probe.  ``stall_limit`` is the longest time between two
    tokens, whatever state the endpoint reports.
    """

    probe_timeout: datetime.timedelta = datetime.timedelta(milliseconds=500)
    probe_interval: datetime.timedelta = datetime.timedelta(milliseconds=500)
    max_probe_failures: int = 2
    token_grace: datetime.timedelta = datetime.timedelta(milliseconds=250)
    max_unreported_probes: int = 3
    stall_limit: datetime.timedelta = datetime.timedelta(seconds=10)
    progress: _progress.ProgressSettings = dataclasses.field(
        default_factory=_progress.ProgressSettings
    )


class StreamFailureDetector:
    """The reducer that detects failures of the stream of one attempt.

    Pass events to ``handle``, and ``TimerFired`` at ``wake_at``.  Once it has
    declared a failure, ``is_finished`` is true and it returns no effects.
    """

    __slots__ = (
        "request_id",
        "endpoint_id",
        "is_finished",
        "_probe_timer_at",
        "_stall_deadline",
        "_settings",
        "_deadline",
        "_next_position",
        "_probe_number",
        "_is_probing",
        "_failed_probes",
        "_unreported_probes",
        "_initial_unreported_timeout",
        "_unreported_timeout",
        "_undelivered_produced",
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
        self.is_finished = False
        self._settings = settings or FailureDetectorSettings()
        self._deadline = _progress.ProgressDeadline(
            expected_prefill, now, self._settings.progress
        )
        self._next_position = next_position
        self._probe_number = 0
        self._is_probing = False
        self._failed_probes = 0
        self._unreported_probes = 0
        self._initial_unreported_timeout = max(
            expected_prefill, self._settings.probe_interval
        )
        self._unreported_timeout = self._initial_unreported_timeout
        self._undelivered_produced: int | None = None
        self._probe_timer_at = self._deadline.expires_at
        self._stall_deadline: datetime.datetime | None = None

    @property
    def wake_at(self) -> datetime.datetime:
        """Return when to pass ``TimerFired`` to ``handle`` next."""
        if self._stall_deadline is None:
            return self._probe_timer_at
        return min(self._probe_timer_at, self._stall_deadline)

    def handle(
        self, event: FailureDetectorEvent, now: datetime.datetime
    ) -> list[FailureDetectorEffect]:
        """Apply one event and return the effects to carry out."""
        if self.is_finished:
            return []
        match event:
            case TokenReceived(next_position):
                self._next_position = next_position
                self._stall_deadline = now + self._settings.stall_limit
                self._initial_unreported_timeout = (
                    self._settings.probe_interval
                )
                self._deadline.record_token(now)
                self._reset()
            case HeartbeatReceived():
                self._deadline.record_heartbeat(now)
                self._reset()
            case ProbeSucceeded():
                return self._handle_probe_success(event, now)
            case ProbeFailed(probe):
                return self._handle_probe_failure(probe, now)
            case TimerFired():
                return self._handle_timer(now)
        return []

    def _reset(self) -> None:
        self._is_probing = False
        self._failed_probes = 0
        self._unreported_probes = 0
        self._unreported_timeout = self._initial_unreported_timeout
        self._undelivered_produced = None
        self._probe_timer_at = self._deadline.expires_at

    def _handle_timer(
        self, now: datetime.datetime
    ) -> list[FailureDetectorEffect]:
        if self._stall_deadline is not None and now >= self._stall_deadline:
            self.is_finished = True
            return [DeclareStreamStalled(self.endpoint_id, self.request_id)]
        if now < self._probe_timer_at:
            return []
        if self._is_probing:
            return self._handle_probe_failure(self._probe_number, now)
        return self._start_probe(now)

    def _start_probe(
        self, now: datetime.datetime
    ) -> list[FailureDetectorEffect]:
        self._probe_number += 1
        self._is_probing = True
        timeout = self._settings.probe_timeout
        self._probe_timer_at = now + timeout
        return [
            ProbeEndpoint(
                self.endpoint_id, self.request_id, self._probe_number, timeout
            )
        ]

    def _handle_probe_failure(
        self, probe: int, now: datetime.datetime
    ) -> list[FailureDetectorEffect]:
        if not self._is_probing or probe != self._probe_number:
            return []
        self._failed_probes += 1
        if self._failed_probes < self._settings.max_probe_failures:
            return self._start_probe(now)
        self.is_finished = True
        return [DeclareEndpointDead(self.endpoint_id, self.request_id)]

    def _handle_probe_success(
        self, event: ProbeSucceeded, now: datetime.datetime
    ) -> list[FailureDetectorEffect]:
        if not self._is_probing or event.probe != self._probe_number:
            return []
        self._is_probing = False
        self._failed_probes = 0
        match event.state:
            case StreamState.UNKNOWN:
                return self._declare_connection_dead()
            case StreamState.PREFILLING:
                self._extend_deadline(self._settings.probe_interval, now)
                return []
            case StreamState.PRODUCING:
                return self._handle_producing(event.produced, now)
            case StreamState.UNREPORTED:
                return self._handle_unreported(now)

    def _handle_producing(
        self, produced: int, now: datetime.datetime
    ) -> list[FailureDetectorEffect]:
        if produced <= self._next_position:
            self._undelivered_produced = None
            self._extend_deadline(self._settings.probe_interval, now)
            return []
        if self._undelivered_produced is not None:
            return self._declare_connection_dead()
        self._undelivered_produced = produced
        self._extend_deadline(self._settings.token_grace, now)
        return []

    def _handle_unreported(
        self, now: datetime.datetime
    ) -> list[FailureDetectorEffect]:
        self._unreported_probes += 1
        if self._unreported_probes > self._settings.max_unreported_probes:
            return self._declare_connection_dead()
        self._extend_deadline(self._unreported_timeout, now)
        self._unreported_timeout *= 2
        return []

    def _extend_deadline(
        self, timeout: datetime.timedelta, now: datetime.datetime
    ) -> None:
        self._deadline.extend(timeout, now)
        self._probe_timer_at = now + timeout

    def _declare_connection_dead(self) -> list[FailureDetectorEffect]:
        self.is_finished = True
        return [DeclareConnectionDead(self.endpoint_id, self.request_id)]
