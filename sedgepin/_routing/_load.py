"""Load estimates from delayed load reports and this VM's own dispatches."""

import collections
import dataclasses
import datetime
import math

from sedgepin import _model as model

# Weights of a new sample in exponential moving averages.
_LAYERS_PER_REQUEST_WEIGHT = 0.05
# Reports arrive twice a second, so this averages over several seconds, which
# is longer than a request takes to reach its last stage.
_REPORT_WEIGHT = 0.1
# An engine whose batch step exceeds the mean by this factor counts as slow.
_SLOW_STEP_RATIO = 1.2
_MAX_STEP_RATIO_EXCESS = 2.0
_SLOWDOWN_TIME_CONSTANT = datetime.timedelta(seconds=10)
_RECOVERY_TIME_CONSTANT = datetime.timedelta(seconds=60)
_MAX_SPEED_UPDATE_INTERVAL = datetime.timedelta(seconds=1)
_MIN_SPEED_FACTOR = 0.05
_ASSIGNED_WORK_TIME_CONSTANT = datetime.timedelta(seconds=20)
_MAX_PENDING_CHANGES = 1024
_REPORT_TTL = datetime.timedelta(seconds=10)


@dataclasses.dataclass(slots=True, frozen=True)
class _LoadChange:
    """The change in load when a request is dispatched or ends.

    At its end, ``requests`` and ``layers`` are negative and ``prompt_tokens``
    is 0.
    """

    changed_at: datetime.datetime
    requests: int
    layers: int
    prompt_tokens: int


class EndpointLoad:
    """The estimated load of one endpoint.

    ``requests`` is the number of resident requests, and ``layers`` the sum
    of the layers that each of them runs there, which is the number of
    layer-tokens in one batch step.  ``prompt_tokens`` counts the tokens
    that wait for prefill.  ``own_layers`` and ``own_requests`` count only
    requests of this entry VM.  ``average_own_layers`` and
    ``average_reported_layers`` are moving averages over the last reports.
    ``speed_factor`` is a learned correction of the announced speed; it is
    at most 1.
    """

    __slots__ = (
        "_assigned_at",
        "_assigned_layer_tokens",
        "_changes",
        "_recent_layers",
        "_recent_requests",
        "_recent_tokens",
        "_report_version",
        "_reported_requests",
        "_reported_tokens",
        "_speed_updated_at",
        "average_own_layers",
        "average_reported_layers",
        "layers",
        "layers_per_request",
        "measured_at",
        "own_layers",
        "own_requests",
        "prompt_tokens",
        "requests",
        "speed_factor",
    )

    def __init__(self, held_layers: int) -> None:
        self.layers_per_request = float(held_layers)
        self.measured_at: datetime.datetime | None = None
        self.requests = 0
        self.layers = 0.0
        self.prompt_tokens = 0
        self.average_own_layers = 0.0
        self.average_reported_layers = 0.0
        self._assigned_layer_tokens = 0.0
        self.speed_factor = 1.0
        self._speed_updated_at: datetime.datetime | None = None
        self._assigned_at: datetime.datetime | None = None
        self._report_version = (-1, -1)
        self._reported_requests = 0
        self._reported_tokens = 0
        self.own_requests = 0
        self.own_layers = 0
        self._recent_requests = 0
        self._recent_layers = 0
        self._recent_tokens = 0
        self._changes: collections.deque[_LoadChange] = collections.deque()

    def apply_report(
        self, announcement: model.Announcement, now: datetime.datetime
    ) -> None:
        """Update the estimate from a load report; ignore an outdated one."""
        version = (announcement.incarnation, announcement.sequence)
        if version <= self._report_version:
            return
        restarted = announcement.incarnation != self._report_version[0]
        self._report_version = version
        if restarted:
            self.speed_factor = 1.0
        load = announcement.load
        age = datetime.timedelta(
            milliseconds=load.measured_before_milliseconds
        )
        measured_at = now - age
        if self.measured_at and measured_at < self.measured_at:
            if not restarted:
                return
        self.measured_at = measured_at
        self._reported_requests = load.running_requests + load.queued_requests
        self._reported_tokens = load.queued_tokens
        while self._changes and self._changes[0].changed_at <= measured_at:
            self._apply_change(self._changes.popleft(), -1)
        self._update_averages()
        self._estimate()

    def add_request(
        self,
        layers: int,
        prompt_tokens: int,
        now: datetime.datetime,
        generated_tokens: float = 0.0,
    ) -> None:
        """Count a request that this entry VM dispatched to the endpoint.

        The request runs ``layers`` layers there and is expected to generate
        ``generated_tokens`` tokens.
        """
        layer_tokens = layers * (prompt_tokens + generated_tokens)
        self._assigned_layer_tokens = (
            self.assigned_layer_tokens(now) + layer_tokens
        )
        self._assigned_at = now
        self.own_requests += 1
        self.own_layers += layers
        self.layers_per_request += _LAYERS_PER_REQUEST_WEIGHT * (
            layers - self.layers_per_request
        )
        self._record_change(_LoadChange(now, 1, layers, prompt_tokens))

    def remove_request(self, layers: int, now: datetime.datetime) -> None:
        """Remove a request of this entry VM that ended."""
        self.own_requests -= 1
        self.own_layers -= layers
        self._record_change(_LoadChange(now, -1, -layers, 0))

    def requests_at(self, now: datetime.datetime) -> int:
        """Return the estimated number of resident requests.

        If the last report is too old, only those of this entry VM count.
        """
        if self.measured_at and now - self.measured_at <= _REPORT_TTL:
            return self.requests
        return self.own_requests

    def assigned_layer_tokens(self, now: datetime.datetime) -> float:
        """Return the layer-tokens that this entry VM assigned recently.

        Their weight decays exponentially with the time since assignment.
        """
        if self._assigned_at is None:
            return 0.0
        age = now - self._assigned_at
        return self._assigned_layer_tokens * math.exp(
            -(age / _ASSIGNED_WORK_TIME_CONSTANT)
        )

    def update_speed_factor(
        self, relative_step: float, now: datetime.datetime
    ) -> None:
        """Update the speed factor from the engine's batch step time.

        ``relative_step`` is the step time divided by the mean step time of
        engines with the same layers.  An engine whose requests pile up
        although it is assigned its fair share is slower than it announces.
        The factor drifts back to 1, so that an engine that has recovered is
        given its full share again.
        """
        updated_at = self._speed_updated_at
        self._speed_updated_at = now
        if updated_at is None:
            return
        elapsed = min(now - updated_at, _MAX_SPEED_UPDATE_INTERVAL)
        excess = min(
            max(0.0, relative_step - _SLOW_STEP_RATIO), _MAX_STEP_RATIO_EXCESS
        )
        self.speed_factor *= math.exp(
            -excess * (elapsed / _SLOWDOWN_TIME_CONSTANT)
        )
        self.speed_factor += (1.0 - self.speed_factor) * (
            elapsed / _RECOVERY_TIME_CONSTANT
        )
        self.speed_factor = max(self.speed_factor, _MIN_SPEED_FACTOR)

    def queued_prefill_seconds(self, seconds_per_layer_token: float) -> float:
        """Return the time that prefill of the queued prompts will take."""
        layer_tokens = self.prompt_tokens * self.layers_per_request
        return layer_tokens * seconds_per_layer_token

    def _record_change(self, change: _LoadChange) -> None:
        self._changes.append(change)
        self._apply_change(change, 1)
        if len(self._changes) > _MAX_PENDING_CHANGES:
            oldest = self._changes.popleft()
            self._apply_change(oldest, -1)
            self._reported_requests += oldest.requests
        self._estimate()

    def _update_averages(self) -> None:
        reported = self._reported_requests * self.layers_per_request
        self.average_reported_layers += _REPORT_WEIGHT * (
            reported - self.average_reported_layers
        )
        self.average_own_layers += _REPORT_WEIGHT * (
            self.own_layers - self.average_own_layers
        )

    def _apply_change(self, change: _LoadChange, sign: int) -> None:
        self._recent_requests += sign * change.requests
        self._recent_layers += sign * change.layers
        self._recent_tokens += sign * change.prompt_tokens

    def _estimate(self) -> None:
        reported = self._reported_requests
        layers = reported * self.layers_per_request + self._recent_layers
        requests = reported + self._recent_requests
        self.requests = max(requests, self.own_requests, 0)
        self.layers = max(layers, self.own_layers, 0.0)
        self.prompt_tokens = self._reported_tokens + self._recent_tokens


class LoadEstimator:
    """The load of every endpoint that was announced to this entry VM.

    A report covers the requests of all entry VMs at the time of its
    measurement.  The requests that this VM dispatched or saw finish since
    then are added; those of other entry VMs are unknown until the next
    report.
    """

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[model.EndpointId, EndpointLoad] = {}

    def observe(
        self, announcement: model.Announcement, now: datetime.datetime
    ) -> None:
        """Update the load of the announcing endpoint from its report."""
        self.get_or_create(announcement).apply_report(announcement, now)

    def get_or_create(self, announcement: model.Announcement) -> EndpointLoad:
        """Return the load of the announcing endpoint, a new one if unknown."""
        load = self._loads.get(announcement.endpoint_id)
        if load is None:
            held = announcement.layers.count if announcement.layers else 1
            load = EndpointLoad(held)
            self._loads[announcement.endpoint_id] = load
        return load

    def get(self, endpoint_id: model.EndpointId) -> EndpointLoad | None:
        """Return the load of an endpoint, or None if it is unknown."""
        return self._loads.get(endpoint_id)

    def remove(self, endpoint_id: model.EndpointId) -> None:
        """Discard the load of an endpoint that left or failed."""
        self._loads.pop(endpoint_id, None)
