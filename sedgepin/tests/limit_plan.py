"""What happens on a day of ``limit_day``, and what came of it."""

import collections
import collections.abc
import dataclasses
import itertools
import math

from sedgepin import _model as model
from sedgepin.tests import silence_routes

WINDOW_SECONDS = 4.0
# What the rule allows beyond what an engine names.
_RULE_FACTOR = 1.5
_RULE_REQUESTS = 5
# Fewer counts of a window are a matter of rounding.
_ROUNDING_REQUESTS = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Limit:
    """A limit that engines name for a while, or what replaces it."""

    start: float
    end: float
    engines: tuple[int, ...]
    per_second: float


@dataclasses.dataclass(slots=True, frozen=True)
class VmFault:
    """A VM that is not there for a while, or that is cut off."""

    start: float
    end: float
    vm_id: model.VmId


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """What happens on a day; times are seconds after the day's start.

    Engines with even numbers run the first layers, and the numbers of the
    plain endpoints follow.  ``busy_share`` of the requests go to one entry
    VM, another one each ``turn_seconds``.  ``restarts`` are entry VMs by
    their numbers, ``frozen`` and ``isolated`` VMs of either role; those that
    are isolated reach no other VM.  ``engine_restarts`` are second and engine.
    """

    entry_count: int = 7
    control_count: int = 3
    data_centre_count: int = 3
    engine_pairs: int = 12
    plain_endpoints: int = 0
    kinds: tuple[silence_routes.Kind, ...] = (
        silence_routes.Kind.RESUMABLE,
        silence_routes.Kind.STREAM,
    )
    seconds: float = 16.0
    per_second: float = 60.0
    limits: tuple[Limit, ...] = ()
    busy_share: float = 0.0
    turn_seconds: float = 5.0
    restarts: tuple[tuple[float, int], ...] = ()
    frozen: tuple[VmFault, ...] = ()
    isolated: tuple[VmFault, ...] = ()
    engine_restarts: tuple[tuple[float, int], ...] = ()
    refused_share: float = 0.0
    answer_seconds: float = 0.4
    seed: int = 1


@dataclasses.dataclass(slots=True, eq=False)
class CallerAttempt:
    """One attempt of a caller, and what came of it."""

    number: int
    kind: silence_routes.Kind
    vm_id: model.VmId
    sent_at: float
    is_first: bool
    answered_at: float | None = None
    failure_code: str | None = None
    retry_after: float | None = None
    is_lost: bool = False
    first_dispatched_at: float | None = None

    @property
    def is_served(self) -> bool:
        """Whether the caller got the whole answer."""
        return self.answered_at is not None and self.failure_code is None


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request that reached an engine."""

    at: float
    vm_id: model.VmId
    engine: int
    endpoint_id: model.EndpointId


@dataclasses.dataclass(slots=True, frozen=True)
class Window:
    """What an engine got in 4 s in which it named a limit."""

    start: float
    engine: int
    count: int
    per_second: float

    @property
    def ratio(self) -> float:
        """What it got, as a multiple of what it named.

        One request more is in a window at times even if they come evenly.
        """
        counted = max(0, self.count - _ROUNDING_REQUESTS)
        named = self.per_second * WINDOW_SECONDS
        if not named:
            return math.inf if self.count else 0.0
        return counted / named

    @property
    def breaks_rule(self) -> bool:
        """Whether it got more than the platform's rule allows."""
        named = self.per_second * WINDOW_SECONDS
        return self.count > _RULE_FACTOR * named + _RULE_REQUESTS


class DayRecord:
    """What happened on a day, and the figures that are judged.

    ``heard_at`` tells when the first answer that named each limit reached a
    VM.  ``faults`` are times and VMs that a fault of the plan hit.
    """

    __slots__ = ("_plan", "arrivals", "attempts", "faults", "heard_at")

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self.attempts: list[CallerAttempt] = []
        self.arrivals: list[Arrival] = []
        self.heard_at: dict[tuple[int, Limit], float] = {}
        self.faults: list[VmFault] = []

    def windows(
        self, settle_seconds: float, vm_ids: set[model.VmId] | None = None
    ) -> collections.abc.Iterator[Window]:
        """Return the fullest windows, each with an arrival at its start.

        They begin ``settle_seconds`` after a limit was first heard, and end
        with it or with the engine.
        """
        by_engine: dict[int, list[Arrival]] = collections.defaultdict(list)
        for arrival in self.arrivals:
            if vm_ids is None or arrival.vm_id in vm_ids:
                by_engine[arrival.engine].append(arrival)
        for (engine, limit), heard_at in self.heard_at.items():
            times = [
                arrival.at
                for arrival in by_engine[engine]
                if heard_at + settle_seconds <= arrival.at < limit.end
            ]
            for number, start in enumerate(times):
                count = sum(
                    at < start + WINDOW_SECONDS for at in times[number:]
                )
                yield Window(start, engine, count, limit.per_second)

    def used_share(self, settle_seconds: float = 0.5) -> float:
        """Return the share of what engines named that they got.

        Only of those with a limit that was heard in time, over all its time.
        """
        named = got = 0.0
        for (engine, limit), heard_at in self.heard_at.items():
            start = heard_at + settle_seconds
            named += limit.per_second * max(0.0, limit.end - start)
            got += sum(
                arrival.engine == engine and start <= arrival.at < limit.end
                for arrival in self.arrivals
            )
        return got / named if named else 1.0

    def first_tries(
        self, start: float = 0.0, end: float = math.inf
    ) -> list[CallerAttempt]:
        """Return the first tries of callers in a span."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.is_first
            and start <= attempt.sent_at < end
            and not attempt.is_lost
        ]

    def served_share(self, start: float = 0.0, end: float = math.inf) -> float:
        """Return which share of the first tries in a span was served."""
        sent = self.first_tries(start, end)
        return sum(item.is_served for item in sent) / max(1, len(sent))

    def refusal_seconds(self) -> list[float]:
        """Return how long the attempts that were refused were held."""
        return [
            attempt.answered_at - attempt.sent_at
            for attempt in self.attempts
            if attempt.failure_code is not None
            and attempt.answered_at is not None
        ]

    def most_in_a_second(self, engine: int, start: float, end: float) -> int:
        """Return the most requests that an engine got in any second."""
        times = [
            arrival.at
            for arrival in self.arrivals
            if arrival.engine == engine and start <= arrival.at < end
        ]
        return max(
            (
                sum(at < first + 1.0 for at in times[number:])
                for number, first in enumerate(times)
            ),
            default=0,
        )


def first_engines(plan: Plan, share: float) -> tuple[int, ...]:
    """Return a share of the engines that run the first layers."""
    numbers = range(0, 2 * plan.engine_pairs, 2)
    return tuple(itertools.islice(numbers, round(len(numbers) * share)))


def plain_endpoints(plan: Plan) -> tuple[int, ...]:
    """Return the plain endpoints."""
    first = 2 * plan.engine_pairs
    return tuple(range(first, first + plan.plain_endpoints))
