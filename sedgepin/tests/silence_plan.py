"""What happens on a day of ``silence_day``, and what came of it."""

import collections.abc
import dataclasses
import datetime
import itertools
import math
import random

from sedgepin._gateway import _calls
from sedgepin import _model as model
from sedgepin import _web as web
from sedgepin.tests import silence_routes

SPANS = (0.3, 1.0, 1.5, 3.0)
_STARTS = (1.0, 3.5, 7.0, 11.0)
_RACK_ENGINES = 8
_TURNS_SHARE = 0.1
_AGAIN_GAP_SECONDS = 0.7
# The failure of a caller that has left.
LEFT = "caller_left"
_MICROSECOND = 1e-6


@dataclasses.dataclass(slots=True, frozen=True)
class Silence:
    """Engines that say and handle nothing for a while, then go on."""

    at: float
    seconds: float
    engines: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Crash:
    """The end of an engine's process, or of its machine."""

    at: float
    engine: int
    with_machine: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """What happens on a day; times are seconds after the day's start.

    Engines with even numbers run the first layers, and two numbers in
    sequence have the same kind of accelerator, each second pair another.  The
    numbers of the plain endpoints follow.  A
    silent engine begins ``begun_share`` of the requests that it accepted and
    whose connections were closed before it went on.  An answer that is not a
    stream takes as long as ``whole_answer_events`` events.  A caller leaves
    after ``patience_seconds`` without the next event of a stream.  A first
    engine refuses what exceeds ``slots`` requests, unless it is silent.
    """

    entry_count: int = 7
    control_count: int = 3
    data_centre_count: int = 3
    engine_pairs: int = 12
    plain_endpoints: int = 0
    kinds: tuple[silence_routes.Kind, ...] = silence_routes.MODEL_KINDS
    seconds: float = 16.0
    per_second: float = 60.0
    max_attempts: int = 2
    silences: tuple[Silence, ...] = ()
    crashes: tuple[Crash, ...] = ()
    begun_share: float = 0.5
    whole_answer_events: int = 2
    patience_seconds: float | None = None
    request_tokens: int = 10
    slots: int | None = None
    seed: int = 1


def one_engine(plan: Plan) -> tuple[Silence, ...]:
    """Return silences of a first engine each, far apart."""
    rng = random.Random(plan.seed)
    return _apart([(2 * rng.randrange(plan.engine_pairs),) for _ in SPANS])


def same_again(plan: Plan) -> tuple[Silence, ...]:
    """Return silences of one first engine, again and again."""
    engine = 2 * random.Random(plan.seed).randrange(plan.engine_pairs)
    spans = [seconds for _ in range(2) for seconds in SPANS]
    return _one_by_one([(engine,)] * len(spans), spans, _AGAIN_GAP_SECONDS)


def in_turn(plan: Plan) -> tuple[Silence, ...]:
    """Return silences of a tenth of the engines, one after the other."""
    engines = random.Random(plan.seed).sample(
        range(2 * plan.engine_pairs),
        max(3, round(2 * plan.engine_pairs * _TURNS_SHARE)),
    )
    turns = [(engine,) for engine in engines] * len(SPANS)
    spans = [seconds for seconds in SPANS for _ in engines]
    return _one_by_one(turns, spans, 0.0)


def first_engines_in_turn(plan: Plan) -> tuple[Silence, ...]:
    """Return silences of the first engines, a third of them at a time.

    Requests that are moved meet the next silence.  Plain endpoints are first
    ones too.
    """
    plain_from = 2 * plan.engine_pairs
    engines = list(range(0, plain_from, 2))
    engines += range(plain_from, plain_from + plan.plain_endpoints)
    random.Random(plan.seed).shuffle(engines)
    thirds = [tuple(engines[number::3]) for number in range(3)]
    return _one_by_one(thirds * 4, [1.0, 0.3, 1.5] * 4, 0.0)


def rack(plan: Plan) -> tuple[Silence, ...]:
    """Return silences of the engines of a rack at once."""
    return _apart([_rack_of(plan)] * len(SPANS))


def one_accelerator(plan: Plan) -> tuple[Silence, ...]:
    """Return silences of all engines with one kind of accelerator."""
    engines = tuple(
        number
        for number in range(2 * plan.engine_pairs)
        if number // 2 % 2 == 0
    )
    return _apart([engines] * len(SPANS))


def _rack_of(plan: Plan) -> tuple[int, ...]:
    first = random.Random(plan.seed).randrange(
        max(1, 2 * plan.engine_pairs - _RACK_ENGINES)
    )
    return tuple(range(first, first + _RACK_ENGINES))


def _apart(
    turns: collections.abc.Sequence[tuple[int, ...]],
) -> tuple[Silence, ...]:
    return tuple(
        Silence(at, seconds, engines)
        for at, seconds, engines in zip(_STARTS, SPANS, turns, strict=True)
    )


def _one_by_one(
    turns: collections.abc.Sequence[tuple[int, ...]],
    spans: list[float],
    gap: float,
) -> tuple[Silence, ...]:
    silences: list[Silence] = []
    at = _STARTS[0]
    for engines, seconds in zip(turns, spans, strict=True):
        silences.append(Silence(at, seconds, engines))
        at += seconds + gap
    return tuple(silences)


def crashes_beside(plan: Plan) -> tuple[Crash, ...]:
    """Return crashes during the silences of ``rack``.

    Two engines that are sound crash each time, one of them with its machine,
    and one that is silent.
    """
    rng = random.Random(plan.seed)
    silent = _rack_of(plan)
    sound = [
        number
        for number in range(2 * plan.engine_pairs)
        if number not in silent
    ]
    crashed = iter(rng.sample(sound, 2 * len(_STARTS)))
    crashes: list[Crash] = []
    for start, number in zip(_STARTS, silent, strict=False):
        crashes.append(Crash(start + 0.2, next(crashed)))
        crashes.append(Crash(start + 0.2, next(crashed), with_machine=True))
        crashes.append(Crash(start + 0.25, number))
    return tuple(crashes)


@dataclasses.dataclass(slots=True, eq=False)
class CallerAttempt:
    """One attempt of a caller, and what came of it.

    ``request`` is the number of the caller's first attempt.  ``reached`` are
    the first engines that it was sent to and that accepted it.  ``position``
    is the last event that the caller has, and ``is_in_order`` tells whether
    each followed the one before.  ``tokens`` is the size of the request.
    """

    number: int
    request: int
    kind: silence_routes.Kind
    sent_at: float
    tokens: int = 10
    deadline: float = math.inf
    reached: set[model.EndpointId] = dataclasses.field(default_factory=set)
    position: int = 0
    first_output_at: float | None = None
    last_output_at: float | None = None
    is_in_order: bool = True
    answer_count: int = 0
    answered_at: float | None = None
    failure_code: str | None = None

    def make_request(self) -> _calls.CallerRequest:
        """Return the request that is sent."""
        path = f"/{self.kind.value}/{self.number}"
        return _calls.CallerRequest(
            request_id=f"r{self.number}",
            host="one.example",
            path=path,
            message=web.Request(b"POST", path.encode(), ()),
            time_left=datetime.timedelta(
                seconds=silence_routes.TIME_LEFT_SECONDS
            ),
            api_key="key",
            usage=self._usage(),
        )

    def _usage(self) -> _calls.TokenUsage | None:
        if self.kind.is_plain:
            return None
        half = self.tokens // 2
        return _calls.TokenUsage(half, self.tokens - half)

    @property
    def is_first(self) -> bool:
        """Whether the caller sent it for the first time."""
        return self.number == self.request

    @property
    def is_served(self) -> bool:
        """Whether the caller got the whole answer."""
        return self.answered_at is not None and self.failure_code is None


class DayRecord:
    """What happened on a day, and the figures that the rules judge.

    ``ended_at`` tells when engines really ended, and ``runs`` on which
    engines each caller's request began.  ``found_by_kind`` are the seconds
    from a crash until each request on the engine was moved or failed.
    """

    __slots__ = (
        "_plan",
        "attempts",
        "ended_at",
        "found_by_kind",
        "runs",
    )

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self.attempts: list[CallerAttempt] = []
        self.ended_at: dict[model.EndpointId, float] = {}
        self.runs: dict[int, list[model.EndpointId]] = {}
        self.found_by_kind: dict[silence_routes.Kind, list[float]] = {
            kind: [] for kind in silence_routes.Kind
        }

    @property
    def found_after(self) -> list[float]:
        """Return the seconds until each request left a crashed engine."""
        return list(itertools.chain(*self.found_by_kind.values()))

    def of_kind(self, kind: silence_routes.Kind) -> list[CallerAttempt]:
        """Return the attempts of a kind."""
        return [item for item in self.attempts if item.kind is kind]

    def engine_count(self, attempt: CallerAttempt) -> int:
        """Return on how many engines an attempt was, but those that ended."""
        end = attempt.answered_at
        return sum(
            endpoint_id not in self.ended_at
            or (end is not None and self.ended_at[endpoint_id] > end)
            for endpoint_id in attempt.reached
        )

    def on_too_many(self) -> list[CallerAttempt]:
        """Return the attempts on more engines than their route allows."""
        return [
            attempt
            for attempt in self.attempts
            if self.engine_count(attempt) > self._plan.max_attempts
        ]

    def run_twice(self) -> list[CallerAttempt]:
        """Return the requests that ran again but may run only once."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.is_first
            and not attempt.kind.is_repeatable
            and len(self.runs.get(attempt.number, ())) > 1
        ]

    def not_answered_once(self) -> list[CallerAttempt]:
        """Return the attempts without an answer, or with several."""
        return [item for item in self.attempts if item.answer_count != 1]

    def cut_streams(self) -> list[CallerAttempt]:
        """Return the streams that were cut though their engines were up.

        A caller that leaves, and a deadline, cut none.
        """
        return [
            attempt
            for attempt in self.attempts
            if attempt.kind.is_stream
            and attempt.position
            and attempt.failure_code not in (None, LEFT)
            and not attempt.reached.intersection(self.ended_at)
            and attempt.answered_at is not None
            and attempt.answered_at < attempt.deadline - _MICROSECOND
        ]

    def out_of_order(self) -> list[CallerAttempt]:
        """Return the streams with an event that did not follow the last."""
        return [item for item in self.attempts if not item.is_in_order]

    def first_tries(self) -> list[CallerAttempt]:
        """Return the first tries sent from 1 s before a silence to its end."""
        spans = [
            (silence.at - 1.0, silence.at + silence.seconds)
            for silence in self._plan.silences
        ]
        return [
            attempt
            for attempt in self.attempts
            if attempt.is_first
            and any(start <= attempt.sent_at < end for start, end in spans)
        ]

    def served_share(self) -> float:
        """Return which share of the first tries in silences was served."""
        sent = self.first_tries()
        return sum(item.is_served for item in sent) / max(1, len(sent))

    def seconds_to_output(self) -> list[float]:
        """Return how long the first tries in silences waited for output."""
        return [
            attempt.first_output_at - attempt.sent_at
            for attempt in self.first_tries()
            if attempt.first_output_at is not None
        ]
