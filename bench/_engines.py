"""A small discrete-event model of engines that batch continuously.

For the benches only.  One simulated decode job stands for some consecutive
tokens of a request, with all their compute, step overhead and link time, so
that a run stays short.
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
    """What a run achieved after its warm-up."""

    tokens_per_second: float
    first_token_seconds: list[float]


class _Request:
    """A request on its way round its pipeline."""

    __slots__ = (
        "arrived_at",
        "entry",
        "generated",
        "legs",
        "length",
        "number",
        "prefill",
        "work",
    )

    def __init__(
        self,
        number: int,
        entry: int,
        work: _routing.RoutingRequest,
        length: int,
        at: float,
    ) -> None:
        self.number = number
        self.entry = entry
        self.work = work
        self.arrived_at = at
        self.generated = 0
        self.length = length
        self.legs: list[tuple[_Engine, int]] = []
        self.prefill: list[int] = []


class _Engine:
    """An engine that runs all waiting jobs in one batch step."""

    __slots__ = (
        "announced",
        "cache",
        "cache_sequence",
        "changes",
        "history",
        "resident",
        "resident_layers",
        "spec",
        "stepping",
        "waiting",
        "waiting_prompts",
    )

    def __init__(self, spec: _scenario.EngineSpec) -> None:
        self.spec = spec
        self.waiting: list[tuple[_Request, int, int]] = []
        self.stepping: list[tuple[_Request, int, int]] = []
        self.resident = 0
        self.resident_layers = 0
        self.waiting_prompts = 0
        self.announced = 0
        self.history: collections.deque[tuple[float, int, int]] = (
            collections.deque([(-math.inf, 0, 0)])
        )
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.cache_sequence = 0
        self.changes: list[model.CacheEvent] = [
            model.CacheEvent(0, snapshot=True)
        ]

    def note(self, at: float) -> None:
        """Remember the load for later reports."""
        self.history.append((at, self.resident, self.waiting_prompts))

    def load_before(self, at: float) -> tuple[int, int]:
        """Return residents and waiting prompt tokens as of an instant."""
        while len(self.history) > 1 and self.history[1][0] <= at:
            self.history.popleft()
        return self.history[0][1], self.history[0][2]

    def remember(self, prefix: str, limit: int) -> None:
        """Cache a prefix; the one used longest ago goes."""
        known = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if known:
            return
        removed: tuple[str, ...] = ()
        if len(self.cache) > limit:
            oldest, _ = self.cache.popitem(last=False)
            removed = (oldest,)
        self.cache_sequence += 1
        self.changes.append(
            model.CacheEvent(
                self.cache_sequence, added=(prefix,), removed=removed
            )
        )


class Simulation:
    """Runs a scenario under one policy per entry.

    With ``arrivals_per_second`` requests arrive at random; without, each
    entry keeps its share of the outstanding requests in flight.
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
        self._arrivals = arrivals_per_second
        self._engines = [_Engine(spec) for spec in scenario.engines]
        self._by_name = {one.spec.name: one for one in self._engines}
        self._announced = [
            [self._announcement(one, 0.0) for one in self._engines]
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
        self._sequence = 0
        self._numbers = 0
        self._now = 0.0
        self._passed: list[tuple[float, int]] = []
        self._first_tokens: list[tuple[float, float]] = []

    def run(self, warm_up_seconds: float, seconds: float) -> Outcome:
        """Run, and count the tokens that pass all layers after warm-up."""
        self._begin()
        end = warm_up_seconds + seconds
        while self._events and self._events[0][0] <= end:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        passed = sum(
            tokens for at, tokens in self._passed if at >= warm_up_seconds
        )
        waits = [
            wait for at, wait in self._first_tokens if at >= warm_up_seconds
        ]
        return Outcome(passed / seconds, waits)

    def _at(
        self,
        delay: float,
        action: collections.abc.Callable[..., None],
        *arguments: object,
    ) -> None:
        self._sequence += 1
        at = self._now + delay
        heapq.heappush(self._events, (at, self._sequence, action, arguments))

    def _begin(self) -> None:
        for entry, policy in enumerate(self._policies):
            for announcement in self._announced[entry]:
                policy.observe(announcement, _scenario.START)
        for engine in self._engines:
            delay = self._rng.random() * self._scenario.report_seconds
            self._at(delay, self._report, engine)
        if self._arrivals is not None:
            self._at(0.0, self._arrive)
            return
        scenario = self._scenario
        tokens = scenario.outstanding_tokens
        for number in range(int(tokens / scenario.tokens_per_request)):
            entry = number % len(self._policies)
            delay = self._rng.random() * scenario.start_seconds
            self._at(delay, self._dispatch, entry)

    def _arrive(self) -> None:
        assert self._arrivals is not None
        self._dispatch(self._rng.randrange(len(self._policies)))
        self._at(self._rng.expovariate(self._arrivals), self._arrive)

    def _instant(self) -> datetime.datetime:
        return _scenario.START + _scenario.timedelta(self._now)

    def _announcement(self, engine: _Engine, at: float) -> model.Announcement:
        lag = self._scenario.report_lag_seconds
        resident, waiting = engine.load_before(at - lag)
        engine.announced += 1
        changes = tuple(engine.changes)
        engine.changes.clear()
        return _scenario.announcement(
            engine.spec, engine.announced, resident, waiting, lag, changes
        )

    def _report(self, engine: _Engine) -> None:
        announced = self._announcement(engine, self._now)
        index = self._engines.index(engine)
        for entry in range(len(self._policies)):
            self._at(
                self._rng.random() * 0.1,
                self._hear,
                entry,
                index,
                announced,
            )
        self._at(self._scenario.report_seconds, self._report, engine)

    def _hear(
        self, entry: int, index: int, announcement: model.Announcement
    ) -> None:
        self._announced[entry][index] = announcement
        self._policies[entry].observe(announcement, self._instant())

    def _dispatch(self, entry: int) -> None:
        self._numbers += 1
        asked = self._work(self._numbers)
        length = self._length(self._scenario.generated_tokens)
        request = _Request(self._numbers, entry, asked, length, self._now)
        pipeline = self._policies[entry].choose(
            asked,
            self._announced[entry],
            self._scenario.layer_count,
            self._instant(),
        )
        held = math.inf
        for stage in pipeline.stages:
            engine = self._by_name[stage.endpoint_id]
            layers = stage.layers.count
            request.legs.append((engine, layers))
        for engine, _ in reversed(request.legs):
            held = min(held, self._cached_tokens(engine, asked))
            request.prefill.append(int(asked.prompt_tokens - held))
        request.prefill.reverse()
        self._join(request, 0)

    def _work(self, number: int) -> _routing.RoutingRequest:
        hashes: tuple[str, ...] = ()
        if self._scenario.shared_prefixes:
            skew = self._rng.random() ** 2
            hashes = (f"p{int(skew * self._scenario.shared_prefixes)}",)
        request_id = model.RequestId(str(number))
        prompt_tokens = self._length(self._scenario.prompt_tokens)
        return _scenario.work(
            self._scenario, request_id, prompt_tokens, hashes
        )

    def _length(self, mean: int) -> int:
        spread = self._scenario.length_spread
        return max(1, round(mean * self._rng.uniform(1 - spread, 1 + spread)))

    def _cached_tokens(
        self, engine: _Engine, asked: _routing.RoutingRequest
    ) -> int:
        if asked.prefix_hashes and asked.prefix_hashes[0] in engine.cache:
            return _policies.PREFIX_BLOCK_TOKENS
        return 0

    def _join(self, request: _Request, stage: int) -> None:
        """Bring a request's prompt to a stage."""
        engine = request.legs[stage][0]
        engine.resident += 1
        engine.resident_layers += request.legs[stage][1]
        engine.waiting_prompts += request.prefill[stage]
        engine.note(self._now)
        self._enqueue(request, stage, request.prefill[stage])

    def _enqueue(self, request: _Request, stage: int, tokens: int) -> None:
        engine = request.legs[stage][0]
        engine.waiting.append((request, stage, tokens))
        if not engine.stepping:
            self._step(engine)

    def _step(self, engine: _Engine) -> None:
        engine.stepping = engine.waiting
        engine.waiting = []
        layer_tokens = 0
        for request, stage, tokens in engine.stepping:
            layer_tokens += request.legs[stage][1] * tokens
        scenario = self._scenario
        seconds = layer_tokens / engine.spec.layer_tokens_per_second
        resident = engine.resident_layers * scenario.tokens_per_request
        over = resident - engine.spec.resident_layer_tokens
        if over > 0:
            seconds *= 1.0 + over / resident * (scenario.paging_factor - 1.0)
        least = scenario.step_seconds * scenario.tokens_per_job
        self._at(max(seconds, least), self._end_step, engine)

    def _end_step(self, engine: _Engine) -> None:
        ended = engine.stepping
        engine.stepping = []
        for request, stage, _ in ended:
            self._advance(request, stage)
        if engine.waiting and not engine.stepping:
            self._step(engine)

    def _advance(self, request: _Request, stage: int) -> None:
        engine = request.legs[stage][0]
        prefilling = request.generated == 0
        if prefilling:
            engine.waiting_prompts -= request.prefill[stage]
            for prefix in request.work.prefix_hashes:
                engine.remember(prefix, self._scenario.cached_prefixes)
        if stage + 1 < len(request.legs):
            following = request.legs[stage + 1][0]
            link = self._link(engine, following)
            if prefilling:
                self._at(link, self._join, request, stage + 1)
                return
            tokens = self._scenario.tokens_per_job
            self._at(link * tokens, self._enqueue, request, stage + 1, tokens)
            return
        self._generate(request, engine)

    def _generate(self, request: _Request, last: _Engine) -> None:
        tokens = self._scenario.tokens_per_job
        if request.generated == 0:
            waited = self._now - request.arrived_at
            self._first_tokens.append((request.arrived_at, waited))
            request.generated = 1
            self._passed.append((self._now, request.work.prompt_tokens))
        else:
            request.generated += tokens
            self._passed.append((self._now, tokens))
        if request.generated >= request.length:
            self._finish(request)
            return
        link = self._link(last, request.legs[0][0])
        self._at(link * tokens, self._enqueue, request, 0, tokens)

    def _finish(self, request: _Request) -> None:
        for engine, layers in request.legs:
            engine.resident -= 1
            engine.resident_layers -= layers
            engine.note(self._now)
        self._policies[request.entry].leave(
            request.work, request.generated, self._instant()
        )
        if self._arrivals is None:
            self._dispatch(request.entry)

    def _link(self, source: _Engine, target: _Engine) -> float:
        places = (source.spec.data_centre, target.spec.data_centre)
        return self._scenario.one_way_seconds[places]
