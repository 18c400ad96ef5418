"""An emulator of engines that hold ranges of a model's layers.

It follows what the platform publishes of them: passes over all work that
waits, steps whose time grows with the requests and their context, prompts
read in chunks, memory by the layers held, the newest request preempted when
memory runs out.  Times are in milliseconds.

What it leaves out: the pairs of tokens within a prompt, and work that shares
links between data centres.
"""

import collections.abc
import dataclasses
import heapq
import itertools
import typing

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _placement as placement

# Tokens of a prompt that one pass reads at most (``chunk`` of the platform).
_CHUNK_TOKENS = 512
# Steps of a pass that includes writers (``stride``), and so the tokens in one
# event of a stream.
_STRIDE = 4
# One way between data centres, and from an engine to an entry VM.
_CROSSING_MS = 0.3
# How often a preempted job looks for room again.
_PREEMPTED_MS = 20.0
# Links between engines carry the activations of a token in this time.
_TRANSFER_MS = 0.002


class Timeline:
    """Calls to come, in order of their time.

    >>> timeline = Timeline()
    >>> timeline.at(5.0, print, "five")
    >>> timeline.run(until=10.0)
    five
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._numbers = itertools.count()
        self._calls: list[
            tuple[
                float,
                int,
                collections.abc.Callable[..., None],
                tuple[typing.Any, ...],
            ]
        ] = []

    def at(
        self,
        time: float,
        call: collections.abc.Callable[..., None],
        *values: typing.Any,
    ) -> None:
        """Call something at a time."""
        entry = (max(time, self.now), next(self._numbers), call, values)
        heapq.heappush(self._calls, entry)

    def after(
        self,
        delay: float,
        call: collections.abc.Callable[..., None],
        *values: typing.Any,
    ) -> None:
        """Call something after a while."""
        self.at(self.now + delay, call, *values)

    def run(self, until: float) -> None:
        """Make all calls up to a time."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call, values = heapq.heappop(self._calls)
            call(*values)
        self.now = until


class Listener(typing.Protocol):
    """Who is told what becomes of a job."""

    def refused(self, job: "Job") -> None:
        """Hear that a job was not run, for want of room or slots."""

    def produced(self, job: "Job") -> None:
        """Hear that one more event of a job is there."""

    def finished(self, job: "Job") -> None:
        """Hear that a job's last token is there."""


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One request on its pipeline."""

    number: int
    pipeline: model.Pipeline
    prompt_tokens: int
    answer_tokens: int
    listener: Listener
    made_tokens: int = 0
    read_tokens: int = 0
    is_over: bool = False
    # Raised when the job is preempted: older visits do not count any more.
    life: int = 0

    @property
    def context_tokens(self) -> int:
        """Return the tokens that the job has in the caches."""
        return self.read_tokens + self.made_tokens


@dataclasses.dataclass(slots=True, frozen=True)
class _Visit:
    """Work of a job for one stage: a chunk of its prompt, or some tokens."""

    job: Job
    stage: int
    read_tokens: int
    is_last_chunk: bool
    life: int


class Engine:
    """One engine: a queue of visits, worked off pass by pass."""

    def __init__(
        self,
        fleet: "EngineFleet",
        word: catalog.Registration,
        accelerator: catalog.AcceleratorProfile,
    ) -> None:
        self._fleet = fleet
        self.word = word
        self._accelerator = accelerator
        self.slowness = 1.0
        self._waiting: list[_Visit] = []
        self._is_busy = False
        # Tokens times layers of each job, in the order of their arrival.
        self._held: dict[Job, float] = {}
        self.first_jobs = 0
        layers = word.layers
        assert layers is not None
        room = placement.cache_capacity_tokens(
            fleet.profile, accelerator, layers.count
        )
        self._room = room * layers.count
        self.preempted = 0

    @property
    def fullness(self) -> float:
        """Return which share of its cache is taken."""
        return sum(self._held.values()) / self._room

    def has_room(self, job: Job, layer_count: int) -> bool:
        """Tell whether a job's prompt fits."""
        needed = (job.prompt_tokens + job.made_tokens) * layer_count
        return sum(self._held.values()) + needed <= self._room

    def visit(self, visit: _Visit) -> None:
        """Let work wait for the next pass."""
        self._waiting.append(visit)
        if not self._is_busy:
            self._is_busy = True
            self._fleet.timeline.after(0.0, self._start_pass)

    def forget(self, job: Job) -> None:
        """Free what a job holds."""
        self._held.pop(job, None)

    def _start_pass(self) -> None:
        visits = [
            one
            for one in self._waiting
            if not one.job.is_over and one.life == one.job.life
        ]
        self._waiting.clear()
        if not visits:
            self._is_busy = False
            return
        took = self._pass_milliseconds(visits) * self.slowness
        self._fleet.timeline.after(took, self._end_pass, visits)

    def _pass_milliseconds(self, visits: list[_Visit]) -> float:
        profile = self._fleet.profile
        step = 0.0
        per_job = 0.0
        read = 0.0
        for one in visits:
            count = one.job.pipeline.stages[one.stage].layers.count
            share = count / profile.layer_count
            if one.read_tokens:
                seconds = one.read_tokens / profile.read_tokens_per_second
                read += share * seconds * 1000
                continue
            step = max(step, _STRIDE * share * profile.step_milliseconds)
            context = one.job.context_tokens / 1000
            per_job += (
                _STRIDE
                * share
                * (
                    profile.sequence_milliseconds
                    + profile.context_milliseconds_per_thousand * context
                )
            )
        writing = (step + per_job) * self._accelerator.step_factor
        return writing + read * self._accelerator.read_factor

    def _end_pass(self, visits: list[_Visit]) -> None:
        for one in visits:
            if one.job.is_over or one.life != one.job.life:
                continue
            count = one.job.pipeline.stages[one.stage].layers.count
            grown = one.read_tokens or _STRIDE
            self._held[one.job] = self._held.get(one.job, 0.0) + grown * count
            self._fleet.go_on(one)
        self._make_room()
        if self._waiting:
            self._fleet.timeline.after(0.0, self._start_pass)
        else:
            self._is_busy = False

    def _make_room(self) -> None:
        """Preempt the newest jobs until what is held fits."""
        while sum(self._held.values()) > self._room and len(self._held) > 1:
            newest = next(reversed(self._held))
            self.preempted += 1
            self._fleet.preempt(newest)


class EngineFleet:
    """All engines, and the jobs that pass through them."""

    def __init__(
        self, timeline: Timeline, profile: catalog.EngineProfile
    ) -> None:
        self.timeline = timeline
        self.profile = profile
        self.engines: dict[model.EndpointId, Engine] = {}

    def add(self, word: catalog.Registration) -> Engine:
        """Add an engine that holds what its registration says."""
        accelerator = self.profile.accelerator(word.accelerator)
        assert accelerator is not None
        engine = Engine(self, word, accelerator)
        self.engines[word.endpoint_id] = engine
        return engine

    def start(self, job: Job) -> None:
        """Take a job in, or refuse it."""
        stages = job.pipeline.stages
        first = self.engines[stages[0].endpoint_id]
        if not self._fits(job) or first.first_jobs >= self.profile.slots:
            job.is_over = True
            job.listener.refused(job)
            return
        first.first_jobs += 1
        self._read(job)

    def cancel(self, job: Job) -> None:
        """End a job that nobody waits for any more."""
        if not job.is_over:
            self._end(job)

    def preempt(self, job: Job) -> None:
        """Let a job read all its tokens again."""
        job.life += 1
        job.read_tokens = 0
        for stage in job.pipeline.stages:
            self.engines[stage.endpoint_id].forget(job)
        self.timeline.after(_PREEMPTED_MS, self._read_again, job)

    def _read_again(self, job: Job) -> None:
        """Read a preempted job's tokens once there is room for them."""
        if job.is_over:
            return
        if self._fits(job):
            self._read(job)
        else:
            self.timeline.after(_PREEMPTED_MS, self._read_again, job)

    def _fits(self, job: Job) -> bool:
        return all(
            self.engines[one.endpoint_id].has_room(job, one.layers.count)
            for one in job.pipeline.stages
        )

    def go_on(self, visit: _Visit) -> None:
        """Bring a visit's work to the next stage, or a token to its end."""
        job = visit.job
        stages = job.pipeline.stages
        if visit.stage + 1 < len(stages):
            after = dataclasses.replace(visit, stage=visit.stage + 1)
            here = self.engines[stages[visit.stage].endpoint_id]
            there = self.engines[stages[visit.stage + 1].endpoint_id]
            # Chunks of one prompt must not overtake each other.
            tokens = _CHUNK_TOKENS if visit.read_tokens else _STRIDE
            delay = _TRANSFER_MS * tokens
            if here.word.data_centre != there.word.data_centre:
                delay += _CROSSING_MS
            self.timeline.after(delay, there.visit, after)
            return
        if visit.read_tokens and not visit.is_last_chunk:
            return
        if visit.read_tokens:
            job.read_tokens = job.prompt_tokens
        job.made_tokens += 1 if visit.read_tokens else _STRIDE
        job.listener.produced(job)
        if job.made_tokens >= job.answer_tokens:
            self._end(job)
            job.listener.finished(job)
            return
        again = _Visit(job, 0, 0, False, job.life)
        self.engines[stages[0].endpoint_id].visit(again)

    def _read(self, job: Job) -> None:
        left = job.prompt_tokens + job.made_tokens
        first = self.engines[job.pipeline.stages[0].endpoint_id]
        while left > 0:
            count = min(left, _CHUNK_TOKENS)
            left -= count
            first.visit(_Visit(job, 0, count, left == 0, job.life))

    def _end(self, job: Job) -> None:
        job.is_over = True
        stages = job.pipeline.stages
        self.engines[stages[0].endpoint_id].first_jobs -= 1
        for stage in stages:
            self.engines[stage.endpoint_id].forget(job)
