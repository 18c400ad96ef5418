"""Simulated callers, admission policies and endpoints (see ``_limits``)."""

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
CUSTOMER_COUNT = 10
TOKENS_PER_SECOND_PER_REQUEST = 200.0
CAPACITY_TOKENS = 10_000
# Requests cost 100 to 700 tokens, 400 on average, and run at 200 tokens a
# second each.  Longer requests run longer, so the requests that run at one
# instant cost 475 tokens on average: 21 of them fit into the capacity and
# together run at 4200 tokens a second.
RATE_TOKENS_PER_SECOND = 4_200.0
MEAN_COST_TOKENS = 400
DEADLINE = 20 * SECOND
FAIR_SHARE_RUN_SECONDS = 240.0


class AdmissionPolicy(typing.Protocol):
    """Decides which requests run, wait or are rejected."""

    @property
    def wake_at(self) -> datetime.datetime | None:
        """Return when to call ``tick`` next, if at all."""

    def submit(
        self, request: admission.AdmissionRequest, now: datetime.datetime
    ) -> list[admission.Decision]:
        """Submit a request; return the decisions that result."""

    def finish(
        self,
        request_id: model.RequestId,
        used_tokens: int,
        now: datetime.datetime,
    ) -> list[admission.Decision]:
        """Record the end of a running request; return new decisions."""

    def tick(self, now: datetime.datetime) -> list[admission.Decision]:
        """Return the decisions that are due at ``now``."""


class FifoAdmission:
    """Baseline: one queue in order of arrival that rejects no request."""

    def __init__(self, _seed: int = 0, capacity: int = CAPACITY_TOKENS):
        self.wake_at: datetime.datetime | None = None
        self._capacity = capacity
        self._in_flight = 0
        self._queue: collections.deque[admission.AdmissionRequest] = (
            collections.deque()
        )
        self._running: dict[model.RequestId, admission.AdmissionRequest] = {}

    def submit(
        self, request: admission.AdmissionRequest, now: datetime.datetime
    ) -> list[admission.Decision]:
        """Append the request to the queue."""
        self._queue.append(request)
        return self._admit_waiting()

    def finish(
        self,
        request_id: model.RequestId,
        used_tokens: int,
        now: datetime.datetime,
    ) -> list[admission.Decision]:
        """Free the capacity of a request and start the next ones."""
        self._in_flight -= self._running.pop(request_id).cost_tokens
        return self._admit_waiting()

    def tick(self, now: datetime.datetime) -> list[admission.Decision]:
        """Return no decisions: nothing in this queue depends on time."""
        return []

    def _admit_waiting(self) -> list[admission.Decision]:
        decisions: list[admission.Decision] = []
        while self._queue and self._in_flight < self._capacity:
            request = self._queue.popleft()
            self._running[request.request_id] = request
            self._in_flight += request.cost_tokens
            decisions.append(admission.Admit(request.request_id))
        return decisions


def make_controller(seed: int) -> admission.AdmissionController:
    """Return the project's admission controller, with its capacity set."""
    controller = admission.AdmissionController(
        admission.AdmissionSettings(), START, random.Random(seed)
    )
    controller.set_capacity(CAPACITY_TOKENS, RATE_TOKENS_PER_SECOND, START)
    return controller


def make_request(
    number: int,
    customer: str,
    cost_tokens: int,
    now: datetime.datetime = START,
    deadline: datetime.timedelta = 600 * SECOND,
) -> admission.AdmissionRequest:
    """Return an admission request with the service time of its cost."""
    service_time = cost_tokens / TOKENS_PER_SECOND_PER_REQUEST * SECOND
    return admission.AdmissionRequest(
        model.RequestId(str(number)),
        model.CustomerId(customer),
        0,
        cost_tokens,
        now + deadline,
        service_time,
    )


def admitted(
    decisions: typing.Iterable[admission.Decision],
) -> list[model.RequestId]:
    """Return the IDs of the admitted requests."""
    return [
        decision.request_id
        for decision in decisions
        if isinstance(decision, admission.Admit)
    ]


def percentile(values: typing.Iterable[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie.

    ``share`` is between 0 and 1; the result is 0 if there are no values.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class EventQueue:
    """Callbacks scheduled in simulated time."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._sequence_numbers = itertools.count()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []

    @property
    def now(self) -> datetime.datetime:
        """Return the simulated instant."""
        return START + self.seconds * SECOND

    def after(
        self, seconds: float, callback: typing.Callable[[], None]
    ) -> None:
        """Schedule ``callback`` after a delay in seconds."""
        at = self.seconds + seconds
        heapq.heappush(
            self._events, (at, next(self._sequence_numbers), callback)
        )

    def run(self, until_seconds: float) -> None:
        """Run all callbacks that are due by ``until_seconds``."""
        while self._events and self._events[0][0] <= until_seconds:
            self.seconds, _, callback = heapq.heappop(self._events)
            callback()


@dataclasses.dataclass(slots=True, frozen=True)
class FairShareResult:
    """Results of ``run_fair_share``.

    ``others_p95`` and ``others_refused`` cover all customers but the first:
    the 95th percentile of the seconds from arrival to answer, and the share
    of requests refused.  The other fields cover the refusals of all
    customers: the share refused on arrival, and the 95th percentile and
    maximum of the seconds from arrival to refusal.  Shares are from 0 to 1.
    """

    others_p95: float
    others_refused: float
    refused_immediately: float
    refusal_seconds_p95: float
    refusal_seconds_max: float


def run_fair_share(
    policy: AdmissionPolicy, factor: float, seed: int
) -> FairShareResult:
    """Simulate 10 customers that each send 0.8 of their fair share.

    If ``factor`` is above 1, the first customer sends ``factor`` times its
    fair share instead.
    """
    event_queue = EventQueue()
    rng = random.Random(seed)
    requests: dict[
        model.RequestId, tuple[admission.AdmissionRequest, float]
    ] = {}
    latencies: list[float] = []
    refusal_seconds: dict[bool, list[float]] = {True: [], False: []}
    sent: collections.Counter[bool] = collections.Counter()
    fair_rate = RATE_TOKENS_PER_SECOND / CUSTOMER_COUNT / MEAN_COST_TOKENS

    def apply_decisions(decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            request, sent_at = requests[decision.request_id]
            is_heavy = request.customer == "c0"
            if isinstance(decision, admission.Refuse):
                refusal_seconds[is_heavy].append(event_queue.seconds - sent_at)
                continue
            service_seconds = (
                request.cost_tokens / TOKENS_PER_SECOND_PER_REQUEST
            )
            if not is_heavy:
                latencies.append(
                    event_queue.seconds - sent_at + service_seconds
                )
            event_queue.after(
                service_seconds, functools.partial(finish, request)
            )

    def finish(request: admission.AdmissionRequest) -> None:
        apply_decisions(
            policy.finish(
                request.request_id, request.cost_tokens, event_queue.now
            )
        )

    def arrive(customer: str, rate: float) -> None:
        cost_tokens = rng.randint(100, 700)
        request = make_request(
            len(requests), customer, cost_tokens, event_queue.now, DEADLINE
        )
        requests[request.request_id] = (request, event_queue.seconds)
        sent[customer == "c0"] += 1
        apply_decisions(policy.submit(request, event_queue.now))
        interval = rng.expovariate(rate)
        event_queue.after(interval, lambda: arrive(customer, rate))

    def tick() -> None:
        apply_decisions(policy.tick(event_queue.now))
        event_queue.after(0.1, tick)

    for number in range(CUSTOMER_COUNT):
        rate = fair_rate * (factor if number == 0 and factor > 1 else 0.8)
        first_interval = rng.expovariate(rate)
        name = f"c{number}"
        event_queue.after(
            first_interval, functools.partial(arrive, name, rate)
        )
    tick()
    event_queue.run(FAIR_SHARE_RUN_SECONDS)
    all_refusal_seconds = refusal_seconds[True] + refusal_seconds[False]
    return FairShareResult(
        percentile(latencies, 0.95),
        len(refusal_seconds[False]) / sent[False],
        sum(seconds == 0 for seconds in all_refusal_seconds)
        / max(1, len(all_refusal_seconds)),
        percentile(all_refusal_seconds, 0.95),
        max(all_refusal_seconds, default=0.0),
    )


ENDPOINT_COUNT = 30
FAILED_ENDPOINT_COUNT = 10
SLOTS_PER_ENDPOINT = 8
SERVICE_SECONDS = 2.0
FAILURE_AT_SECONDS = 30.0
DETECTION_SECONDS = 1.0
REFUSED_CONNECTION_SECONDS = 0.05
ATTEMPT_TIMEOUT_SECONDS = 5.0
LOSS_RUN_SECONDS = 90.0
# Arrival rate of requests as a share of the capacity of all endpoints.
OFFERED_LOAD = 0.95
COST_TOKENS = 400
MAX_CALLER_RETRIES = 3
STABLE_WINDOW_SECONDS = 5


@dataclasses.dataclass(slots=True, frozen=True)
class LossResult:
    """Results of ``EndpointLoss``.

    ``dispatches`` and ``later_dispatches`` are mean dispatches per dispatched
    request: for requests that arrive from 2 s before the failure on, which
    includes most of those running when it happens, and for requests that
    arrive 5 s after it or later.  ``seconds_to_stable`` is the time from the
    failure until every later window of 5 s has at least 90% of the answers
    that the remaining endpoints can give.  ``goodput`` is the answer rate
    relative to the capacity of the remaining endpoints, from 5 s after the
    failure until 20 s, one deadline, before the end of the run.
    ``unanswered`` is the share of requests without an answer among the
    dispatched ones that arrive from 2 s before the failure on and whose
    deadline is within the run.
    """

    dispatches: float
    later_dispatches: float
    seconds_to_stable: float
    goodput: float
    unanswered: float


@dataclasses.dataclass(slots=True)
class _Request:
    admission_request: admission.AdmissionRequest
    arrived: float
    caller_retries: int
    dispatches: int = 0
    attempt: int = 0
    endpoint: int = -1
    admitted: bool = False
    answered: bool = False
    has_ended: bool = False
    failed: frozenset[model.EndpointId] = frozenset()


class EndpointLoss:
    """Simulates 30 endpoints at 95% load, 10 of which fail at once.

    An endpoint with more requests than slots slows down in proportion, and
    continues requests whose caller has given up.  Without limits, every
    request is dispatched on arrival and every failure and timeout is retried.
    With limits, a caller sends a refused or failed request again, up to 3
    times.
    """

    def __init__(self, seed: int, has_limits: bool) -> None:
        self.event_queue = EventQueue()
        self.rng = random.Random(seed)
        self.has_limits = has_limits
        self.load = [0] * ENDPOINT_COUNT
        self.dead: set[int] = set()
        self.detected_dead: set[int] = set()
        self.suspects: set[int] = set()
        self.requests: dict[model.RequestId, _Request] = {}
        self.answers: collections.Counter[int] = collections.Counter()
        self.budget = admission.RetryBudget(admission.RetrySettings(), START)
        self.controller = admission.AdmissionController(
            admission.AdmissionSettings(), START, random.Random(seed)
        )
        self._set_capacity()

    def run(self) -> LossResult:
        """Run the simulation and return its results."""
        self._submit_next()
        self._tick()
        self.event_queue.after(FAILURE_AT_SECONDS, self._fail_endpoints)
        self.event_queue.run(LOSS_RUN_SECONDS)
        sent = [
            request for request in self.requests.values() if request.dispatches
        ]
        requests_after_failure = [
            request
            for request in sent
            if request.arrived >= FAILURE_AT_SECONDS - 2
        ]
        settled_at = FAILURE_AT_SECONDS + STABLE_WINDOW_SECONDS
        settled_requests = [
            request for request in sent if request.arrived >= settled_at
        ]
        deadline_cutoff_seconds = LOSS_RUN_SECONDS - DEADLINE.total_seconds()
        requests_past_deadline = [
            request
            for request in requests_after_failure
            if request.arrived < deadline_cutoff_seconds
        ]
        return LossResult(
            _mean(request.dispatches for request in requests_after_failure),
            _mean(request.dispatches for request in settled_requests),
            self._seconds_to_stable(),
            self._goodput(settled_at, deadline_cutoff_seconds),
            _mean(not request.answered for request in requests_past_deadline),
        )

    def _capacity_per_second(self, endpoint_count: int) -> float:
        return endpoint_count * SLOTS_PER_ENDPOINT / SERVICE_SECONDS

    def _set_capacity(self) -> None:
        live_count = ENDPOINT_COUNT - len(self.detected_dead)
        decisions = self.controller.set_capacity(
            live_count * SLOTS_PER_ENDPOINT * COST_TOKENS,
            self._capacity_per_second(live_count) * COST_TOKENS,
            self.event_queue.now,
        )
        self._apply_decisions(decisions)

    def _submit_next(self) -> None:
        self._submit(0)
        rate = self._capacity_per_second(ENDPOINT_COUNT) * OFFERED_LOAD
        self.event_queue.after(self.rng.expovariate(rate), self._submit_next)

    def _submit(self, caller_retries: int) -> None:
        number = len(self.requests)
        customer = f"c{number % CUSTOMER_COUNT}"
        now = self.event_queue.now
        admission_request = make_request(
            number, customer, COST_TOKENS, now, DEADLINE
        )
        request = _Request(
            admission_request, self.event_queue.seconds, caller_retries
        )
        self.requests[admission_request.request_id] = request
        if self.has_limits:
            self._apply_decisions(
                self.controller.submit(admission_request, now)
            )
            return
        self._dispatch(request)

    def _apply_decisions(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            request = self.requests[decision.request_id]
            if isinstance(decision, admission.Admit):
                self._dispatch(request)
                continue
            request.has_ended = True
            self._retry_by_caller(request, decision.failure.retry_after)

    def _retry_by_caller(
        self, request: _Request, wait: datetime.timedelta
    ) -> None:
        if request.caller_retries >= MAX_CALLER_RETRIES:
            return
        caller_retries = request.caller_retries + 1
        self.event_queue.after(
            wait.total_seconds(), lambda: self._submit(caller_retries)
        )

    def _dispatch(self, request: _Request) -> None:
        request.dispatches += 1
        request.attempt += 1
        request.endpoint = self._choose_endpoint(request)
        attempt = request.attempt
        if request.endpoint in self.dead:
            self.event_queue.after(
                REFUSED_CONNECTION_SECONDS,
                lambda: self._handle_failure(request, attempt, False),
            )
            return
        endpoint = request.endpoint
        self.load[endpoint] += 1
        slowdown = max(1.0, self.load[endpoint] / SLOTS_PER_ENDPOINT)
        service_seconds = (
            SERVICE_SECONDS * slowdown * self.rng.uniform(0.8, 1.2)
        )
        self.event_queue.after(
            service_seconds,
            lambda: self._handle_completion(request, attempt, endpoint),
        )
        self.event_queue.after(
            ATTEMPT_TIMEOUT_SECONDS,
            lambda: self._handle_timeout(request, attempt),
        )

    def _choose_endpoint(self, request: _Request) -> int:
        candidates = [
            endpoint
            for endpoint in range(ENDPOINT_COUNT)
            if endpoint not in self.suspects
            and _endpoint_id(endpoint) not in request.failed
        ]
        # A failed endpoint has no load, so it is preferred until a request
        # fails on it.
        return min(
            candidates,
            key=lambda endpoint: (self.load[endpoint], self.rng.random()),
        )

    def _handle_completion(
        self, request: _Request, attempt: int, endpoint: int
    ) -> None:
        if endpoint in self.dead:
            return
        self.load[endpoint] -= 1
        if request.attempt != attempt or request.has_ended:
            return
        request.answered = True
        self.answers[int(self.event_queue.seconds)] += 1
        self.budget.record_success(_SERVICE, self.event_queue.now)
        self._finish_request(request)

    def _handle_timeout(self, request: _Request, attempt: int) -> None:
        if request.attempt != attempt or request.has_ended:
            return
        if self.has_limits and not self._may_retry(request, False):
            # The current attempt still makes progress, so let it finish.
            return
        self._dispatch(request)

    def _handle_failure(
        self, request: _Request, attempt: int, is_resumption: bool
    ) -> None:
        if request.attempt != attempt or request.has_ended:
            return
        self.suspects.add(request.endpoint)
        failed = _endpoint_id(request.endpoint)
        request.failed = request.failed | {failed}
        if not self.has_limits or self._may_retry(request, is_resumption):
            self._dispatch(request)
            return
        self._finish_request(request)
        self._retry_by_caller(request, SECOND)

    def _may_retry(self, request: _Request, is_resumption: bool) -> bool:
        retry_request = admission.RetryRequest(
            _SERVICE,
            True,
            is_resumption,
            request.failed,
            _endpoint_id(self._choose_endpoint(request)),
            is_resumption,
        )
        return self.budget.may_retry(
            retry_request, self.event_queue.now
        ).is_ok()

    def _finish_request(self, request: _Request) -> None:
        request.has_ended = True
        if self.has_limits:
            admission_request = request.admission_request
            self._apply_decisions(
                self.controller.finish(
                    admission_request.request_id,
                    admission_request.cost_tokens,
                    self.event_queue.now,
                )
            )

    def _fail_endpoints(self) -> None:
        self.dead = set(range(FAILED_ENDPOINT_COUNT))
        lost_requests = [
            request
            for request in self.requests.values()
            if not request.has_ended and request.endpoint in self.dead
        ]
        for endpoint in self.dead:
            self.load[endpoint] = 0
        self.event_queue.after(
            DETECTION_SECONDS, lambda: self._handle_detection(lost_requests)
        )

    def _handle_detection(self, lost_requests: list[_Request]) -> None:
        self.detected_dead = set(self.dead)
        self.suspects |= self.dead
        self._set_capacity()
        for request in lost_requests:
            self._handle_failure(request, request.attempt, True)

    def _tick(self) -> None:
        if self.has_limits:
            self._apply_decisions(self.controller.tick(self.event_queue.now))
        self.event_queue.after(0.1, self._tick)

    def _seconds_to_stable(self) -> float:
        live_count = ENDPOINT_COUNT - FAILED_ENDPOINT_COUNT
        required_answers = (
            0.9 * self._capacity_per_second(live_count) * STABLE_WINDOW_SECONDS
        )
        failure_second = int(FAILURE_AT_SECONDS)
        last_unstable = failure_second
        for second in range(
            failure_second, int(LOSS_RUN_SECONDS) - STABLE_WINDOW_SECONDS
        ):
            window = range(second, second + STABLE_WINDOW_SECONDS)
            if (
                sum(self.answers[answer_second] for answer_second in window)
                < required_answers
            ):
                last_unstable = second + 1
        return float(last_unstable - failure_second)

    def _goodput(self, first: float, end: float) -> float:
        answered = sum(
            count
            for second, count in self.answers.items()
            if first <= second < end
        )
        live_count = ENDPOINT_COUNT - FAILED_ENDPOINT_COUNT
        return answered / (end - first) / self._capacity_per_second(live_count)


_SERVICE = model.ServiceName("editors")


def _endpoint_id(number: int) -> model.EndpointId:
    return model.EndpointId(f"e{number}")


def _mean(values: typing.Iterable[float]) -> float:
    value_list = list(values)
    return sum(value_list) / len(value_list) if value_list else 0.0
