"""How loaded each endpoint is, from late reports and own dispatches."""

import collections
import dataclasses
import datetime
import math

from sedgepin import _model as model

_SMOOTHING = 0.05
# Reports come twice a second; their differences are averaged over seconds,
# longer than a request takes to reach its last stage.
_REPORT_SMOOTHING = 0.1
# A step this much longer than the mean marks an engine as slow.
_SLOW_STEP = 1.2
_SLOWEST_EXCESS = 2.0
_SLOWDOWN_TIME = datetime.timedelta(seconds=10)
_RECOVERY_TIME = datetime.timedelta(seconds=60)
_LONGEST_LESSON = datetime.timedelta(seconds=1)
_LEAST_SPEED = 0.05
_ASSIGNED_LIFETIME = datetime.timedelta(seconds=20)
_DELTAS_LIMIT = 1024
_REPORT_LIFETIME = datetime.timedelta(seconds=10)


@dataclasses.dataclass(slots=True, frozen=True)
class _Delta:
    """A change that this entry made to an endpoint's load."""

    at: datetime.datetime
    requests: int
    layers: int
    prompt_tokens: int


class EndpointLoad:
    """The estimated load of one endpoint.

    ``layers`` is the sum, over the requests resident on the endpoint, of
    the layers that each runs there: the layer-tokens of one batch step.
    ``prompt_tokens`` is what waits for its prefill.  ``own_layers`` and
    ``own_requests`` count this entry's part alone; the ``usual`` figures
    are averages over the last reports.  ``speed`` is a learned correction
    of the announced speed, at most 1.
    """

    __slots__ = (
        "_assigned",
        "_assigned_when",
        "_deltas",
        "_order",
        "_recent_layers",
        "_recent_requests",
        "_recent_tokens",
        "_reported_requests",
        "_reported_tokens",
        "_speed_learned_at",
        "layers",
        "layers_per_request",
        "measured_at",
        "own_layers",
        "own_requests",
        "prompt_tokens",
        "requests",
        "speed",
        "usual_own_layers",
        "usual_reported_layers",
    )

    def __init__(self, held_layers: int) -> None:
        self.layers_per_request = float(held_layers)
        self.measured_at: datetime.datetime | None = None
        self.requests = 0
        self.layers = 0.0
        self.prompt_tokens = 0
        self.usual_own_layers = 0.0
        self.usual_reported_layers = 0.0
        self._assigned = 0.0
        self.speed = 1.0
        self._speed_learned_at: datetime.datetime | None = None
        self._assigned_when: datetime.datetime | None = None
        self._order = (-1, -1)
        self._reported_requests = 0
        self._reported_tokens = 0
        self.own_requests = 0
        self.own_layers = 0
        self._recent_requests = 0
        self._recent_layers = 0
        self._recent_tokens = 0
        self._deltas: collections.deque[_Delta] = collections.deque()

    def report(
        self, announcement: model.Announcement, now: datetime.datetime
    ) -> None:
        """Take in a report, unless a newer one is known."""
        order = (announcement.incarnation, announcement.sequence)
        if order <= self._order:
            return
        restarted = announcement.incarnation != self._order[0]
        self._order = order
        if restarted:
            self.speed = 1.0
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
        while self._deltas and self._deltas[0].at <= measured_at:
            self._add(self._deltas.popleft(), -1)
        self._smooth()
        self._estimate()

    def visit(
        self,
        layers: int,
        prompt_tokens: int,
        now: datetime.datetime,
        generated_tokens: float = 0.0,
    ) -> None:
        """Add a request that this entry dispatched."""
        work = layers * (prompt_tokens + generated_tokens)
        self._assigned = self.assigned_at(now) + work
        self._assigned_when = now
        self.own_requests += 1
        self.own_layers += layers
        self.layers_per_request += _SMOOTHING * (
            layers - self.layers_per_request
        )
        self._change(_Delta(now, 1, layers, prompt_tokens))

    def leave(self, layers: int, now: datetime.datetime) -> None:
        """Take away a request that this entry dispatched."""
        self.own_requests -= 1
        self.own_layers -= layers
        self._change(_Delta(now, -1, -layers, 0))

    def requests_at(self, now: datetime.datetime) -> int:
        """Return the resident requests; an old report counts for nothing."""
        if self.measured_at and now - self.measured_at <= _REPORT_LIFETIME:
            return self.requests
        return self.own_requests

    def assigned_at(self, now: datetime.datetime) -> float:
        """Return the layer-tokens that this entry assigned lately.

        Older work counts for less, by a factor of e each lifetime.
        """
        if self._assigned_when is None:
            return 0.0
        age = now - self._assigned_when
        return self._assigned * math.exp(-(age / _ASSIGNED_LIFETIME))

    def learn_speed(
        self, relative_step: float, now: datetime.datetime
    ) -> None:
        """Correct the announced speed by the step time over the mean.

        An engine whose requests pile up in spite of its fair share of work
        is slower than it announces.  The correction fades, so that an
        engine that has recovered is found out.
        """
        learned_at = self._speed_learned_at
        self._speed_learned_at = now
        if learned_at is None:
            return
        elapsed = min(now - learned_at, _LONGEST_LESSON)
        excess = min(max(0.0, relative_step - _SLOW_STEP), _SLOWEST_EXCESS)
        self.speed *= math.exp(-excess * (elapsed / _SLOWDOWN_TIME))
        self.speed += (1.0 - self.speed) * (elapsed / _RECOVERY_TIME)
        self.speed = max(self.speed, _LEAST_SPEED)

    def prefill_seconds(self, seconds_per_layer_token: float) -> float:
        """Return how long the waiting prompts will take."""
        layer_tokens = self.prompt_tokens * self.layers_per_request
        return layer_tokens * seconds_per_layer_token

    def _change(self, delta: _Delta) -> None:
        self._deltas.append(delta)
        self._add(delta, 1)
        if len(self._deltas) > _DELTAS_LIMIT:
            oldest = self._deltas.popleft()
            self._add(oldest, -1)
            self._reported_requests += oldest.requests
        self._estimate()

    def _smooth(self) -> None:
        reported = self._reported_requests * self.layers_per_request
        self.usual_reported_layers += _REPORT_SMOOTHING * (
            reported - self.usual_reported_layers
        )
        self.usual_own_layers += _REPORT_SMOOTHING * (
            self.own_layers - self.usual_own_layers
        )

    def _add(self, delta: _Delta, sign: int) -> None:
        self._recent_requests += sign * delta.requests
        self._recent_layers += sign * delta.layers
        self._recent_tokens += sign * delta.prompt_tokens

    def _estimate(self) -> None:
        reported = self._reported_requests
        layers = reported * self.layers_per_request + self._recent_layers
        requests = reported + self._recent_requests
        self.requests = max(requests, self.own_requests, 0)
        self.layers = max(layers, self.own_layers, 0.0)
        self.prompt_tokens = self._reported_tokens + self._recent_tokens


class LoadEstimator:
    """The load of every endpoint that an entry has heard of.

    A report tells all entries' work as it stood some time ago; what this
    entry dispatched or saw finish since then is added.  What the other
    entries did since is not known.
    """

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[model.EndpointId, EndpointLoad] = {}

    def observe(
        self, announcement: model.Announcement, now: datetime.datetime
    ) -> None:
        """Take in the load report of an announcement."""
        self.of(announcement).report(announcement, now)

    def of(self, announcement: model.Announcement) -> EndpointLoad:
        """Return the load of the announcing endpoint."""
        load = self._loads.get(announcement.endpoint_id)
        if load is None:
            held = announcement.layers.count if announcement.layers else 1
            load = EndpointLoad(held)
            self._loads[announcement.endpoint_id] = load
        return load

    def get(self, endpoint_id: model.EndpointId) -> EndpointLoad | None:
        """Return the load of an endpoint, if it was ever heard of."""
        return self._loads.get(endpoint_id)

    def forget(self, endpoint_id: model.EndpointId) -> None:
        """Drop an endpoint that is gone."""
        self._loads.pop(endpoint_id, None)
