"""Simulated callers, doors and endpoints for the bench of the limits."""

import collections
import dataclasses
import datetime
import functools
import heapq
import itertools
import random
import typing

from sedgepin import _admission as admission
from sedgepin import _model as model

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
SECOND = datetime.timedelta(seconds=1)
CUSTOMERS = 10
TOKENS_PER_SECOND_EACH = 200.0
CAPACITY_TOKENS = 10_000
# Requests of 100 to 700 tokens at 200 tokens a second each: of those that
# run at one instant the mean cost is 475, so 21 fit into the capacity.
RATE_TOKENS_PER_SECOND = 4_200.0
MEAN_COST_TOKENS = 400
DEADLINE = 20 * SECOND
SHARE_RUN_SECONDS = 240.0


class Door(typing.Protocol):
    """What decides who runs."""

    @property
    def wake_at(self) -> datetime.datetime | None:
        """Return when to call ``tick``."""

    def submit(
        self, ticket: admission.AdmissionRequest, now: datetime.datetime
    ) -> list[admission.Decision]:
        """Take a request."""

    def finish(
        self,
        request_id: model.RequestId,
        used_tokens: int,
        now: datetime.datetime,
    ) -> list[admission.Decision]:
        """End a request."""

    def tick(self, now: datetime.datetime) -> list[admission.Decision]:
        """Let time pass."""


class FifoDoor:
    """Baseline: one queue for all, in order of arrival, refusing nobody."""

    def __init__(self, _seed: int = 0, capacity: int = CAPACITY_TOKENS):
        self.wake_at: datetime.datetime | None = None
        self._capacity = capacity
        self._in_flight = 0
        self._queue: collections.deque[admission.AdmissionRequest] = (
            collections.deque()
        )
        self._running: dict[model.RequestId, admission.AdmissionRequest] = {}

    def submit(
        self, ticket: admission.AdmissionRequest, now: datetime.datetime
    ) -> list[admission.Decision]:
        """Put the request last."""
        self._queue.append(ticket)
        return self._pump()

    def finish(
        self,
        request_id: model.RequestId,
        used_tokens: int,
        now: datetime.datetime,
    ) -> list[admission.Decision]:
        """Start the next."""
        self._in_flight -= self._running.pop(request_id).cost_tokens
        return self._pump()

    def tick(self, now: datetime.datetime) -> list[admission.Decision]:
        """Do nothing."""
        return []

    def _pump(self) -> list[admission.Decision]:
        decisions: list[admission.Decision] = []
        while self._queue and self._in_flight < self._capacity:
            ticket = self._queue.popleft()
            self._running[ticket.request_id] = ticket
            self._in_flight += ticket.cost_tokens
            decisions.append(admission.Admit(ticket.request_id))
        return decisions


def make_admission(seed: int) -> admission.AdmissionController:
    """Return the door that is measured."""
    door = admission.AdmissionController(
        admission.AdmissionSettings(), START, random.Random(seed)
    )
    door.set_capacity(CAPACITY_TOKENS, RATE_TOKENS_PER_SECOND, START)
    return door


def make_ticket(
    number: int,
    customer: str,
    cost_tokens: int,
    now: datetime.datetime = START,
    deadline: datetime.timedelta = 600 * SECOND,
) -> admission.AdmissionRequest:
    """Return a request of one customer."""
    service = cost_tokens / TOKENS_PER_SECOND_EACH * SECOND
    return admission.AdmissionRequest(
        model.RequestId(str(number)),
        model.CustomerId(customer),
        0,
        cost_tokens,
        now + deadline,
        service,
    )


def admitted(
    decisions: typing.Iterable[admission.Decision],
) -> list[model.RequestId]:
    """Return who may run."""
    return [
        decision.request_id
        for decision in decisions
        if isinstance(decision, admission.Admit)
    ]


def percentile(values: typing.Iterable[float], share: float) -> float:
    """Return the value below which ``share`` of all lie; 0 for none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Agenda:
    """Callbacks in simulated time."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, typing.Callable[[], None]]] = []

    @property
    def now(self) -> datetime.datetime:
        """Return the simulated instant."""
        return START + self.seconds * SECOND

    def after(self, seconds: float, act: typing.Callable[[], None]) -> None:
        """Call ``act`` later."""
        at = self.seconds + seconds
        heapq.heappush(self._heap, (at, next(self._order), act))

    def run(self, until_seconds: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until_seconds:
            self.seconds, _, act = heapq.heappop(self._heap)
            act()


@dataclasses.dataclass(slots=True, frozen=True)
class ShareRun:
    """What the customers met."""

    others_p95: float
    others_refused: float
    refused_at_once: float
    refusal_seconds_p95: float
    refusal_seconds_max: float


def run_share(door: Door, factor: float, seed: int) -> ShareRun:
    """Let 10 customers send 0.8 of their share, and one of them more.

    With ``factor`` above 1 the first customer sends that many shares.
    """
    agenda = Agenda()
    generator = random.Random(seed)
    tickets: dict[
        model.RequestId, tuple[admission.AdmissionRequest, float]
    ] = {}
    waits: list[float] = []
    refusals: dict[bool, list[float]] = {True: [], False: []}
    sent: collections.Counter[bool] = collections.Counter()
    share = RATE_TOKENS_PER_SECOND / CUSTOMERS / MEAN_COST_TOKENS

    def perform(decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            ticket, at = tickets[decision.request_id]
            heavy = ticket.customer == "c0"
            if isinstance(decision, admission.Refuse):
                refusals[heavy].append(agenda.seconds - at)
                continue
            service = ticket.cost_tokens / TOKENS_PER_SECOND_EACH
            if not heavy:
                waits.append(agenda.seconds - at + service)
            agenda.after(service, functools.partial(finish, ticket))

    def finish(ticket: admission.AdmissionRequest) -> None:
        perform(door.finish(ticket.request_id, ticket.cost_tokens, agenda.now))

    def arrive(customer: str, rate: float) -> None:
        cost = generator.randint(100, 700)
        ticket = make_ticket(
            len(tickets), customer, cost, agenda.now, DEADLINE
        )
        tickets[ticket.request_id] = (ticket, agenda.seconds)
        sent[customer == "c0"] += 1
        perform(door.submit(ticket, agenda.now))
        again = generator.expovariate(rate)
        agenda.after(again, lambda: arrive(customer, rate))

    def tick() -> None:
        perform(door.tick(agenda.now))
        agenda.after(0.1, tick)

    for number in range(CUSTOMERS):
        rate = share * (factor if number == 0 and factor > 1 else 0.8)
        first = generator.expovariate(rate)
        name = f"c{number}"
        agenda.after(first, functools.partial(arrive, name, rate))
    tick()
    agenda.run(SHARE_RUN_SECONDS)
    every = refusals[True] + refusals[False]
    return ShareRun(
        percentile(waits, 0.95),
        len(refusals[False]) / sent[False],
        sum(wait == 0 for wait in every) / max(1, len(every)),
        percentile(every, 0.95),
        max(every, default=0.0),
    )


ENDPOINTS = 30
ENDPOINTS_LOST = 10
SLOTS = 8
SERVICE_SECONDS = 2.0
DEATH_AT_SECONDS = 30.0
DETECTION_SECONDS = 1.0
REFUSED_CONNECTION_SECONDS = 0.05
ATTEMPT_TIMEOUT_SECONDS = 5.0
LOSS_RUN_SECONDS = 90.0
FULL_LOAD = 0.95
COST_TOKENS = 400
CALLER_RESENDS = 3
SETTLING_SECONDS = 5


@dataclasses.dataclass(slots=True, frozen=True)
class LossRun:
    """How a fleet came through the loss of a third of its endpoints."""

    dispatches: float
    later: float
    seconds_to_stable: float
    goodput: float
    cut_off: float


@dataclasses.dataclass(slots=True)
class _Request:
    ticket: admission.AdmissionRequest
    arrived: float
    resends: int
    dispatches: int = 0
    attempt: int = 0
    endpoint: int = -1
    admitted: bool = False
    answered: bool = False
    over: bool = False
    failed: frozenset[model.EndpointId] = frozenset()


class EndpointLoss:
    """Thirty endpoints at full load, of which ten die at once.

    An endpoint with more work than slots is slower by that factor, and goes
    on with work whose caller has given up.  Without limits every request is
    dispatched as it comes and every failure and timeout is retried.
    """

    def __init__(self, seed: int, limited: bool) -> None:
        self.agenda = Agenda()
        self.generator = random.Random(seed)
        self.limited = limited
        self.load = [0] * ENDPOINTS
        self.dead: set[int] = set()
        self.known_dead: set[int] = set()
        self.suspects: set[int] = set()
        self.requests: dict[model.RequestId, _Request] = {}
        self.answers: collections.Counter[int] = collections.Counter()
        self.budget = admission.RetryBudget(admission.RetrySettings(), START)
        self.door = admission.AdmissionController(
            admission.AdmissionSettings(), START, random.Random(seed)
        )
        self._set_capacity()

    def run(self) -> LossRun:
        """Run to the end and return what came of it."""
        self._arrive()
        self._tick()
        self.agenda.after(DEATH_AT_SECONDS, self._kill)
        self.agenda.run(LOSS_RUN_SECONDS)
        sent = [one for one in self.requests.values() if one.dispatches]
        after = [one for one in sent if one.arrived >= DEATH_AT_SECONDS - 2]
        settled = DEATH_AT_SECONDS + SETTLING_SECONDS
        later = [one for one in sent if one.arrived >= settled]
        due = LOSS_RUN_SECONDS - DEADLINE.total_seconds()
        late = [one for one in after if one.arrived < due]
        return LossRun(
            _mean(one.dispatches for one in after),
            _mean(one.dispatches for one in later),
            self._seconds_to_stable(),
            self._goodput(settled, due),
            _mean(not one.answered for one in late),
        )

    def _capacity_per_second(self, endpoints: int) -> float:
        return endpoints * SLOTS / SERVICE_SECONDS

    def _set_capacity(self) -> None:
        live = ENDPOINTS - len(self.known_dead)
        decisions = self.door.set_capacity(
            live * SLOTS * COST_TOKENS,
            self._capacity_per_second(live) * COST_TOKENS,
            self.agenda.now,
        )
        self._perform(decisions)

    def _arrive(self) -> None:
        self._submit(0)
        rate = self._capacity_per_second(ENDPOINTS) * FULL_LOAD
        self.agenda.after(self.generator.expovariate(rate), self._arrive)

    def _submit(self, resends: int) -> None:
        number = len(self.requests)
        customer = f"c{number % CUSTOMERS}"
        now = self.agenda.now
        ticket = make_ticket(number, customer, COST_TOKENS, now, DEADLINE)
        request = _Request(ticket, self.agenda.seconds, resends)
        self.requests[ticket.request_id] = request
        if self.limited:
            self._perform(self.door.submit(ticket, now))
            return
        self._dispatch(request)

    def _perform(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            request = self.requests[decision.request_id]
            if isinstance(decision, admission.Admit):
                self._dispatch(request)
                continue
            request.over = True
            self._resend(request, decision.failure.retry_after)

    def _resend(self, request: _Request, wait: datetime.timedelta) -> None:
        if request.resends >= CALLER_RESENDS:
            return
        resends = request.resends + 1
        self.agenda.after(wait.total_seconds(), lambda: self._submit(resends))

    def _dispatch(self, request: _Request) -> None:
        request.dispatches += 1
        request.attempt += 1
        request.endpoint = self._choose(request)
        attempt = request.attempt
        if request.endpoint in self.dead:
            self.agenda.after(
                REFUSED_CONNECTION_SECONDS,
                lambda: self._failed(request, attempt, False),
            )
            return
        endpoint = request.endpoint
        self.load[endpoint] += 1
        slower = max(1.0, self.load[endpoint] / SLOTS)
        service = SERVICE_SECONDS * slower * self.generator.uniform(0.8, 1.2)
        self.agenda.after(
            service, lambda: self._finished(request, attempt, endpoint)
        )
        self.agenda.after(
            ATTEMPT_TIMEOUT_SECONDS, lambda: self._timed_out(request, attempt)
        )

    def _choose(self, request: _Request) -> int:
        live = [
            endpoint
            for endpoint in range(ENDPOINTS)
            if endpoint not in self.suspects
            and _endpoint_id(endpoint) not in request.failed
        ]
        # A dead endpoint that nothing has failed on yet looks idle.
        return min(
            live, key=lambda one: (self.load[one], self.generator.random())
        )

    def _finished(
        self, request: _Request, attempt: int, endpoint: int
    ) -> None:
        if endpoint in self.dead:
            return
        self.load[endpoint] -= 1
        if request.attempt != attempt or request.over:
            return
        request.answered = True
        self.answers[int(self.agenda.seconds)] += 1
        self.budget.record_success(_SERVICE, self.agenda.now)
        self._leave(request)

    def _timed_out(self, request: _Request, attempt: int) -> None:
        if request.attempt != attempt or request.over:
            return
        if self.limited and not self._may_retry(request, False):
            # It makes progress, so it is left to finish.
            return
        self._dispatch(request)

    def _failed(self, request: _Request, attempt: int, resumes: bool) -> None:
        if request.attempt != attempt or request.over:
            return
        self.suspects.add(request.endpoint)
        failed = _endpoint_id(request.endpoint)
        request.failed = request.failed | {failed}
        if not self.limited or self._may_retry(request, resumes):
            self._dispatch(request)
            return
        self._leave(request)
        self._resend(request, SECOND)

    def _may_retry(self, request: _Request, resumes: bool) -> bool:
        wish = admission.RetryRequest(
            _SERVICE,
            True,
            resumes,
            request.failed,
            _endpoint_id(self._choose(request)),
            resumes,
        )
        return self.budget.may_retry(wish, self.agenda.now).is_ok()

    def _leave(self, request: _Request) -> None:
        request.over = True
        if self.limited:
            ticket = request.ticket
            self._perform(
                self.door.finish(
                    ticket.request_id, ticket.cost_tokens, self.agenda.now
                )
            )

    def _kill(self) -> None:
        self.dead = set(range(ENDPOINTS_LOST))
        lost = [
            request
            for request in self.requests.values()
            if not request.over and request.endpoint in self.dead
        ]
        for endpoint in self.dead:
            self.load[endpoint] = 0
        self.agenda.after(DETECTION_SECONDS, lambda: self._detected(lost))

    def _detected(self, lost: list[_Request]) -> None:
        self.known_dead = set(self.dead)
        self.suspects |= self.dead
        self._set_capacity()
        for request in lost:
            self._failed(request, request.attempt, True)

    def _tick(self) -> None:
        if self.limited:
            self._perform(self.door.tick(self.agenda.now))
        self.agenda.after(0.1, self._tick)

    def _seconds_to_stable(self) -> float:
        live = ENDPOINTS - ENDPOINTS_LOST
        wanted = 0.9 * self._capacity_per_second(live) * SETTLING_SECONDS
        first = int(DEATH_AT_SECONDS)
        last_bad = first
        for second in range(first, int(LOSS_RUN_SECONDS) - SETTLING_SECONDS):
            window = range(second, second + SETTLING_SECONDS)
            if sum(self.answers[one] for one in window) < wanted:
                last_bad = second + 1
        return float(last_bad - first)

    def _goodput(self, first: float, end: float) -> float:
        answered = sum(
            count
            for second, count in self.answers.items()
            if first <= second < end
        )
        live = ENDPOINTS - ENDPOINTS_LOST
        return answered / (end - first) / self._capacity_per_second(live)


_SERVICE = model.ServiceName("editors")


def _endpoint_id(number: int) -> model.EndpointId:
    return model.EndpointId(f"e{number}")


def _mean(values: typing.Iterable[float]) -> float:
    listed = list(values)
    return sum(listed) / len(listed) if listed else 0.0
