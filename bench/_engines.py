"""A discrete-event simulation of engines with continuous batching.

To keep runs short, each simulated decode job stands for several consecutive
tokens of a request (``Scenario.tokens_per_job``), and accounts for the
compute, step overhead and link time of all of them.
"""

import collections
import collections.abc
import dataclasses
import datetime
import heapq
import math
import random

from bench import _policies
from bench import _scenario
from sedgepin import _model as model
from sedgepin import _routing


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """The results of a run after its warm-up.

    ``tokens_per_second`` counts tokens that passed through all layers,
    prompt tokens included.
    """

    tokens_per_second: float
    first_token_seconds: list[float]


class _Request:
    """A request and its progress through its pipeline."""

    __slots__ = (
        "arrived_at",
        "entry",
        "generated_tokens",
        "path_stages",
        "answer_tokens",
        "request_number",
        "prefill_tokens",
        "routing_request",
    )

    def __init__(
        self,
        request_number: int,
        entry: int,
        routing_request: _routing.RoutingRequest,
        answer_tokens: int,
        arrived_at: float,
    ) -> None:
        self.request_number = request_number
        self.entry = entry
        self.routing_request = routing_request
        self.arrived_at = arrived_at
        self.generated_tokens = 0
        self.answer_tokens = answer_tokens
        self.path_stages: list[tuple[_Engine, int]] = []
        self.prefill_tokens: list[int] = []


class _Engine:
    """An engine that runs all queued jobs in one batch step."""

    __slots__ = (
        "announcement_count",
        "prefix_cache",
        "cache_sequence",
        "cache_events",
        "load_history",
        "running_requests",
        "running_layers",
        "spec",
        "batch",
        "queue",
        "queued_prompt_tokens",
    )

    def __init__(self, spec: _scenario.EngineSpec) -> None:
        self.spec = spec
        self.queue: list[tuple[_Request, int, int]] = []
        self.batch: list[tuple[_Request, int, int]] = []
        self.running_requests = 0
        self.running_layers = 0
        self.queued_prompt_tokens = 0
        self.announcement_count = 0
        self.load_history: collections.deque[tuple[float, int, int]] = (
            collections.deque([(-math.inf, 0, 0)])
        )
        self.prefix_cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.cache_sequence = 0
        self.cache_events: list[model.CacheEvent] = [
            model.CacheEvent(0, snapshot=True)
        ]

    def record_load(self, at: float) -> None:
        """Record the load at an instant, for delayed load reports."""
        self.load_history.append(
            (at, self.running_requests, self.queued_prompt_tokens)
        )

    def load_at(self, at: float) -> tuple[int, int]:
        """Return running requests and queued prompt tokens at an instant.

        Instants must not decrease: older history is dropped.
        """
        while len(self.load_history) > 1 and self.load_history[1][0] <= at:
            self.load_history.popleft()
        return self.load_history[0][1], self.load_history[0][2]

    def cache_prefix(self, prefix: str, limit: int) -> None:
        """Cache a prefix; evict the least recently used above ``limit``."""
        was_cached = prefix in self.prefix_cache
        self.prefix_cache[prefix] = None
        self.prefix_cache.move_to_end(prefix)
        if was_cached:
            return
        removed: tuple[str, ...] = ()
        if len(self.prefix_cache) > limit:
            oldest, _ = self.prefix_cache.popitem(last=False)
            removed = (oldest,)
        self.cache_sequence += 1
        self.cache_events.append(
            model.CacheEvent(
                self.cache_sequence, added=(prefix,), removed=removed
            )
        )


class Simulation:
    """Runs a scenario with one policy for each entry VM.

    Requests arrive at random at ``arrivals_per_second``.  If it is ``None``,
    each entry VM keeps its share of the outstanding requests in flight.
    """

    def __init__(
        self,
        scenario: _scenario.Scenario,
        policies: collections.abc.Sequence[_policies.Policy],
        rng: random.Random,
        arrivals_per_second: float | None = None,
    ) -> None:
        self._scenario = scenario
        self._policies = policies
        self._rng = rng
        self._arrivals_per_second = arrivals_per_second
        self._engines = [_Engine(spec) for spec in scenario.engines]
        self._engines_by_name = {
            engine.spec.name: engine for engine in self._engines
        }
        self._announcements = [
            [self._make_announcement(engine, 0.0) for engine in self._engines]
            for _ in policies
        ]
        self._events: list[
            tuple[
                float,
                int,
                collections.abc.Callable[..., None],
                tuple[object, ...],
            ]
        ] = []
        self._event_count = 0
        self._request_count = 0
        self._now = 0.0
        self._processed_tokens: list[tuple[float, int]] = []
        self._first_token_waits: list[tuple[float, float]] = []

    def run(self, warm_up_seconds: float, seconds: float) -> Outcome:
        """Simulate the warm-up, then measure the next ``seconds``."""
        self._start()
        end = warm_up_seconds + seconds
        while self._events and self._events[0][0] <= end:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        processed_tokens = sum(
            tokens
            for at, tokens in self._processed_tokens
            if at >= warm_up_seconds
        )
        waits = [
            wait
            for at, wait in self._first_token_waits
            if at >= warm_up_seconds
        ]
        return Outcome(processed_tokens / seconds, waits)

    def _schedule(
        self,
        delay: float,
        action: collections.abc.Callable[..., None],
        *arguments: object,
    ) -> None:
        self._event_count += 1
        at = self._now + delay
        heapq.heappush(
            self._events, (at, self._event_count, action, arguments)
        )

    def _start(self) -> None:
        for entry, policy in enumerate(self._policies):
            for announcement in self._announcements[entry]:
                policy.observe(announcement, _scenario.START)
        for engine in self._engines:
            delay = self._rng.random() * self._scenario.report_seconds
            self._schedule(delay, self._announce, engine)
        if self._arrivals_per_second is not None:
            self._schedule(0.0, self._arrive)
            return
        scenario = self._scenario
        tokens = scenario.outstanding_tokens
        for index in range(int(tokens / scenario.tokens_per_request)):
            entry = index % len(self._policies)
            delay = self._rng.random() * scenario.start_seconds
            self._schedule(delay, self._dispatch, entry)

    def _arrive(self) -> None:
        assert self._arrivals_per_second is not None
        self._dispatch(self._rng.randrange(len(self._policies)))
        self._schedule(
            self._rng.expovariate(self._arrivals_per_second), self._arrive
        )

    def _current_time(self) -> datetime.datetime:
        return _scenario.START + _scenario.timedelta(self._now)

    def _make_announcement(
        self, engine: _Engine, at: float
    ) -> model.Announcement:
        lag = self._scenario.report_lag_seconds
        running_requests, queued_tokens = engine.load_at(at - lag)
        engine.announcement_count += 1
        cache_events = tuple(engine.cache_events)
        engine.cache_events.clear()
        return _scenario.make_announcement(
            engine.spec,
            engine.announcement_count,
            running_requests,
            queued_tokens,
            lag,
            cache_events,
        )

    def _announce(self, engine: _Engine) -> None:
        announcement = self._make_announcement(engine, self._now)
        index = self._engines.index(engine)
        for entry in range(len(self._policies)):
            self._schedule(
                self._rng.random() * 0.1,
                self._receive_announcement,
                entry,
                index,
                announcement,
            )
        self._schedule(self._scenario.report_seconds, self._announce, engine)

    def _receive_announcement(
        self, entry: int, index: int, announcement: model.Announcement
    ) -> None:
        self._announcements[entry][index] = announcement
        self._policies[entry].observe(announcement, self._current_time())

    def _dispatch(self, entry: int) -> None:
        self._request_count += 1
        routing_request = self._make_request(self._request_count)
        answer_tokens = self._draw_length(self._scenario.generated_tokens)
        request = _Request(
            self._request_count,
            entry,
            routing_request,
            answer_tokens,
            self._now,
        )
        pipeline = self._policies[entry].choose(
            routing_request,
            self._announcements[entry],
            self._scenario.layer_count,
            self._current_time(),
        )
        cached_tokens = math.inf
        for stage in pipeline.stages:
            engine = self._engines_by_name[stage.endpoint_id]
            layers = stage.layers.count
            request.path_stages.append((engine, layers))
        for engine, _ in reversed(request.path_stages):
            cached_tokens = min(
                cached_tokens, self._cached_tokens(engine, routing_request)
            )
            request.prefill_tokens.append(
                int(routing_request.prompt_tokens - cached_tokens)
            )
        request.prefill_tokens.reverse()
        self._start_prompt(request, 0)

    def _make_request(self, request_number: int) -> _routing.RoutingRequest:
        hashes: tuple[str, ...] = ()
        if self._scenario.shared_prefixes:
            skew = self._rng.random() ** 2
            hashes = (f"p{int(skew * self._scenario.shared_prefixes)}",)
        request_id = model.RequestId(str(request_number))
        prompt_tokens = self._draw_length(self._scenario.prompt_tokens)
        return _scenario.make_request(
            self._scenario, request_id, prompt_tokens, hashes
        )

    def _draw_length(self, mean: int) -> int:
        spread = self._scenario.length_spread
        return max(1, round(mean * self._rng.uniform(1 - spread, 1 + spread)))

    def _cached_tokens(
        self, engine: _Engine, routing_request: _routing.RoutingRequest
    ) -> int:
        if (
            routing_request.prefix_hashes
            and routing_request.prefix_hashes[0] in engine.prefix_cache
        ):
            return _policies.PREFIX_BLOCK_TOKENS
        return 0

    def _start_prompt(self, request: _Request, stage: int) -> None:
        """Queue a request's prompt at a stage and count the request there."""
        engine = request.path_stages[stage][0]
        engine.running_requests += 1
        engine.running_layers += request.path_stages[stage][1]
        engine.queued_prompt_tokens += request.prefill_tokens[stage]
        engine.record_load(self._now)
        self._enqueue(request, stage, request.prefill_tokens[stage])

    def _enqueue(self, request: _Request, stage: int, tokens: int) -> None:
        engine = request.path_stages[stage][0]
        engine.queue.append((request, stage, tokens))
        if not engine.batch:
            self._start_batch(engine)

    def _start_batch(self, engine: _Engine) -> None:
        engine.batch = engine.queue
        engine.queue = []
        layer_tokens = 0
        for request, stage, tokens in engine.batch:
            layer_tokens += request.path_stages[stage][1] * tokens
        scenario = self._scenario
        seconds = layer_tokens / engine.spec.layer_tokens_per_second
        cached_layer_tokens = (
            engine.running_layers * scenario.tokens_per_request
        )
        excess_layer_tokens = (
            cached_layer_tokens - engine.spec.resident_layer_tokens
        )
        if excess_layer_tokens > 0:
            seconds *= 1.0 + excess_layer_tokens / cached_layer_tokens * (
                scenario.paging_factor - 1.0
            )
        min_seconds = scenario.step_seconds * scenario.tokens_per_job
        self._schedule(max(seconds, min_seconds), self._finish_batch, engine)

    def _finish_batch(self, engine: _Engine) -> None:
        finished_batch = engine.batch
        engine.batch = []
        for request, stage, _ in finished_batch:
            self._advance(request, stage)
        if engine.queue and not engine.batch:
            self._start_batch(engine)

    def _advance(self, request: _Request, stage: int) -> None:
        engine = request.path_stages[stage][0]
        prefilling = request.generated_tokens == 0
        if prefilling:
            engine.queued_prompt_tokens -= request.prefill_tokens[stage]
            for prefix in request.routing_request.prefix_hashes:
                engine.cache_prefix(prefix, self._scenario.cached_prefixes)
        if stage + 1 < len(request.path_stages):
            following = request.path_stages[stage + 1][0]
            link = self._link_seconds(engine, following)
            if prefilling:
                self._schedule(link, self._start_prompt, request, stage + 1)
                return
            tokens = self._scenario.tokens_per_job
            self._schedule(
                link * tokens, self._enqueue, request, stage + 1, tokens
            )
            return
        self._generate_tokens(request, engine)

    def _generate_tokens(self, request: _Request, last: _Engine) -> None:
        tokens = self._scenario.tokens_per_job
        if request.generated_tokens == 0:
            waited = self._now - request.arrived_at
            self._first_token_waits.append((request.arrived_at, waited))
            request.generated_tokens = 1
            self._processed_tokens.append(
                (self._now, request.routing_request.prompt_tokens)
            )
        else:
            request.generated_tokens += tokens
            self._processed_tokens.append((self._now, tokens))
        if request.generated_tokens >= request.answer_tokens:
            self._finish(request)
            return
        link = self._link_seconds(last, request.path_stages[0][0])
        self._schedule(link * tokens, self._enqueue, request, 0, tokens)

    def _finish(self, request: _Request) -> None:
        for engine, layers in request.path_stages:
            engine.running_requests -= 1
            engine.running_layers -= layers
            engine.record_load(self._now)
        self._policies[request.entry].finish(
            request.routing_request,
            request.generated_tokens,
            self._current_time(),
        )
        if self._arrivals_per_second is None:
            self._dispatch(request.entry)

    def _link_seconds(self, source: _Engine, target: _Engine) -> float:
        places = (source.spec.data_centre, target.spec.data_centre)
        return self._scenario.one_way_seconds[places]
