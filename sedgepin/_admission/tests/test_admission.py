"""Tests of admission control: fair sharing, deadlines and refusals."""

import collections
import collections.abc
import datetime
import random

from hypothesis import stateful
from hypothesis import strategies

from sedgepin import _admission as admission
from sedgepin._admission import _fair_share
from sedgepin import _model as model

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
SECOND = datetime.timedelta(seconds=1)
CUSTOMERS = tuple(model.CustomerId(name) for name in ("beja", "ikeja", "oyo"))
CAPACITY_TOKENS = 1000
TOKENS_PER_SECOND = 1000.0
LARGEST_COST_TOKENS = 600
SETTINGS = admission.AdmissionSettings(
    customers={
        "beja": admission.CustomerLimits(weight=2.0, queued_requests=4),
        "oyo": admission.CustomerLimits(open_requests=6),
    },
    queued_requests=6,
    quantum_tokens=100,
)


def make_request(
    number: int,
    customer: model.CustomerId = CUSTOMERS[0],
    cost_tokens: int = 100,
    seconds: float = 600,
    service_seconds: float = 1,
    priority: int = 0,
    now: datetime.datetime = START,
) -> admission.AdmissionRequest:
    return admission.AdmissionRequest(
        model.RequestId(f"r{number}"),
        customer,
        priority,
        cost_tokens,
        now + seconds * SECOND,
        service_seconds * SECOND,
    )


def make_controller(
    settings: admission.AdmissionSettings = SETTINGS,
    capacity_tokens: int = CAPACITY_TOKENS,
) -> admission.AdmissionController:
    controller = admission.AdmissionController(
        settings, START, random.Random(1)
    )
    controller.set_capacity(capacity_tokens, TOKENS_PER_SECOND, START)
    return controller


def refusals(
    decisions: collections.abc.Iterable[admission.Decision],
) -> dict[str, admission.NotAdmitted]:
    return {
        decision.request_id: decision.failure
        for decision in decisions
        if isinstance(decision, admission.Refuse)
    }


def admitted(
    decisions: collections.abc.Iterable[admission.Decision],
) -> list[str]:
    return [
        decision.request_id
        for decision in decisions
        if isinstance(decision, admission.Admit)
    ]


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Submits, finishes and cancels requests while capacity changes.

    Each request gets at most one decision, free capacity is used, queues stay
    within their limits and no request is queued past its latest start.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = START
        self.controller = make_controller()
        self.capacity = CAPACITY_TOKENS
        self.requests: dict[str, admission.AdmissionRequest] = {}
        self.waiting: set[str] = set()
        self.running: set[str] = set()
        self.decided: set[str] = set()

    def apply(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            request_id = decision.request_id
            assert request_id in self.waiting, (
                f"{request_id} was decided twice or after it ended"
            )
            self.waiting.discard(request_id)
            if isinstance(decision, admission.Admit):
                self.running.add(request_id)
                continue
            wait = decision.failure.retry_after
            assert wait >= SETTINGS.retry_after_floor
            assert wait <= SETTINGS.retry_after_ceiling * 2

    @stateful.rule(
        customer=strategies.sampled_from(CUSTOMERS),
        cost_tokens=strategies.integers(1, LARGEST_COST_TOKENS),
        seconds=strategies.sampled_from((0.5, 4, 60, 600)),
        priority=strategies.integers(0, 2),
        count=strategies.integers(1, 5),
    )
    def submit(
        self,
        customer: model.CustomerId,
        cost_tokens: int,
        seconds: float,
        priority: int,
        count: int,
    ) -> None:
        for _ in range(count):
            request = make_request(
                len(self.requests),
                customer,
                cost_tokens,
                seconds,
                priority=priority,
                now=self.now,
            )
            self.requests[request.request_id] = request
            self.waiting.add(request.request_id)
            self.apply(self.controller.submit(request, self.now))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), used=strategies.integers(0, 1500))
    def finish(self, data: strategies.DataObject, used: int) -> None:
        request_id = data.draw(strategies.sampled_from(sorted(self.running)))
        self.running.discard(request_id)
        self.apply(
            self.controller.finish(model.RequestId(request_id), used, self.now)
        )

    @stateful.precondition(lambda self: self.running or self.waiting)
    @stateful.rule(data=strategies.data())
    def cancel(self, data: strategies.DataObject) -> None:
        request_ids = sorted(self.running | self.waiting)
        request_id = data.draw(strategies.sampled_from(request_ids))
        self.running.discard(request_id)
        self.waiting.discard(request_id)
        self.apply(
            self.controller.cancel(model.RequestId(request_id), self.now)
        )

    @stateful.rule(capacity=strategies.sampled_from((1000, 300, 2000, 0)))
    def set_capacity(self, capacity: int) -> None:
        self.capacity = capacity
        rate = float(capacity)
        self.apply(self.controller.set_capacity(capacity, rate, self.now))

    @stateful.rule(seconds=strategies.sampled_from((0.01, 0.1, 1, 5)))
    def advance_time(self, seconds: float) -> None:
        until = self.now + seconds * SECOND
        while True:
            wake_at = self.controller.wake_at
            if wake_at is None or wake_at > until:
                break
            self.now = max(self.now, wake_at)
            self.apply(self.controller.tick(self.now))
        self.now = until

    @stateful.invariant()
    def capacity_is_used(self) -> None:
        used = self.controller.in_flight_tokens
        assert used == sum(
            self.requests[request_id].cost_tokens
            for request_id in self.running
        )
        if self.waiting:
            assert used >= self.capacity > 0

    @stateful.invariant()
    def queues_are_bounded(self) -> None:
        assert len(self.waiting) == self.controller.queued_requests
        assert len(self.waiting) <= SETTINGS.queued_requests
        queued = [
            self.requests[request_id].customer for request_id in self.waiting
        ]
        assert queued.count(CUSTOMERS[0]) <= 4

    @stateful.invariant()
    def no_request_waits_past_its_latest_start(self) -> None:
        for request_id in self.waiting:
            assert (
                self.now
                <= self.requests[request_id].latest_start + SECOND / 10
            )


TestAdmissionMachine = AdmissionMachine.TestCase


class SaturatedController:
    """A controller whose customers always have queued requests.

    ``served`` counts the tokens used by each customer.
    """

    def __init__(self, weights: dict[str, float]) -> None:
        limits = {
            name: admission.CustomerLimits(weight=weight)
            for name, weight in weights.items()
        }
        settings = admission.AdmissionSettings(customers=limits)
        self.controller = make_controller(settings, capacity_tokens=1)
        self.random = random.Random(3)
        self.requests: dict[str, admission.AdmissionRequest] = {}
        self.served: collections.Counter[str] = collections.Counter()
        for name in weights:
            for _ in range(20):
                self.submit(model.CustomerId(name))

    def submit(self, customer: model.CustomerId) -> None:
        cost = self.random.randint(1, LARGEST_COST_TOKENS)
        request = make_request(len(self.requests), customer, cost, 1e6)
        self.requests[request.request_id] = request
        self.start(self.controller.submit(request, START))

    def start(self, decisions: list[admission.Decision]) -> None:
        for name in admitted(decisions):
            self.running = name

    def run(self, request_count: int, usage_factors: dict[str, float]) -> None:
        for _ in range(request_count):
            request = self.requests[self.running]
            used = request.cost_tokens * usage_factors.get(
                request.customer, 1.0
            )
            self.served[request.customer] += round(used)
            self.start(
                self.controller.finish(request.request_id, round(used), START)
            )
            self.submit(request.customer)


class TestFairShare:
    def test_share_follows_weight_despite_wrong_estimates(self) -> None:
        weights = {"beja": 1.0, "ikeja": 2.0, "oyo": 4.0}
        for usage_factors in ({}, {"oyo": 3.0}, {"ikeja": 0.3, "beja": 2.0}):
            saturated = SaturatedController(weights)
            saturated.run(6000, usage_factors)
            shares = [
                saturated.served[name] / weight
                for name, weight in weights.items()
            ]
            # Some hundred rounds were run; shares may differ by a few rounds
            # of the largest request.
            assert max(shares) - min(shares) < 8 * LARGEST_COST_TOKENS

    def test_new_customer_runs_within_one_round_of_a_long_queue(self) -> None:
        controller = make_controller(admission.AdmissionSettings())
        for number in range(200):
            controller.submit(make_request(number, CUSTOMERS[0]), START)
        assert controller.submit(make_request(900, CUSTOMERS[1]), START) == []
        order = [
            name
            for number in range(6)
            for name in admitted(
                controller.finish(model.RequestId(f"r{number}"), 100, START)
            )
        ]
        # At most the rest of the other customer's round runs before it.
        assert "r900" in order

    def test_new_customer_runs_before_active_customers(self) -> None:
        saturated = SaturatedController({"beja": 1.0, "ikeja": 1.0})
        saturated.run(20, {})
        newcomer = make_request(9000, CUSTOMERS[2])
        saturated.controller.submit(newcomer, START)
        running = model.RequestId(saturated.running)
        decisions = saturated.controller.finish(running, 0, START)
        assert "r9000" in admitted(decisions)

    def test_customer_in_debt_waits_until_it_is_repaid(self) -> None:
        for idle_seconds, expected in ((0, False), (30, True)):
            saturated = SaturatedController({"beja": 1.0, "ikeja": 1.0})
            saturated.run(20, {})
            later = START + idle_seconds * SECOND
            controller = saturated.controller
            controller.submit(make_request(9000, CUSTOMERS[2]), START)
            controller.finish(model.RequestId(saturated.running), 0, START)
            decisions = controller.finish(
                model.RequestId("r9000"), 5000, START
            )
            (running,) = admitted(decisions)
            controller.submit(
                make_request(9001, CUSTOMERS[2], now=later), later
            )
            decisions = controller.finish(model.RequestId(running), 600, later)
            assert (admitted(decisions) == ["r9001"]) is expected

    def test_short_bursts_get_no_more_than_the_share(self) -> None:
        controller = make_controller(admission.AdmissionSettings(), 1)
        for number in range(250):
            request = make_request(number, CUSTOMERS[0], 100, 1e6)
            controller.submit(request, START)
        now = START
        running = "r0"
        served: collections.Counter[bool] = collections.Counter()
        for burst in range(20):
            # One round of requests, sent when the previous ones have run.
            names = set()
            for i in range(5):
                number = 1000 + burst * 5 + i
                request = make_request(number, CUSTOMERS[1], 100, 1e6)
                names.add(request.request_id)
                controller.submit(request, now)
            while names:
                now += SECOND / 10
                decisions = controller.finish(
                    model.RequestId(running), 100, now
                )
                (running,) = admitted(decisions)
                served[running in names] += 1
                names.discard(model.RequestId(running))
        assert served[True] <= 1.25 * served[False]

    def test_idle_customers_are_removed(self) -> None:
        scheduler = _fair_share.FairShareScheduler(SETTINGS)
        active = scheduler.queue_of(CUSTOMERS[0], START)
        scheduler.enqueue(active, make_request(0), 1.0, START)
        scheduler.queue_of(CUSTOMERS[1], START)
        scheduler.remove_idle(START + SECOND)
        assert list(scheduler.customers) == [CUSTOMERS[0]]
        assert scheduler.dequeue(START) == make_request(0)
        assert scheduler.dequeue(START) is None
        scheduler.remove_idle(START + SECOND)
        assert not scheduler.customers

    def test_higher_priority_runs_first_within_a_customer(self) -> None:
        controller = make_controller()
        for number, priority in enumerate((0, 0, 0, 1, 2)):
            cost = CAPACITY_TOKENS
            request = make_request(number, cost_tokens=cost, priority=priority)
            controller.submit(request, START)
        order = []
        running = "r0"
        for _ in range(4):
            decisions = controller.finish(
                model.RequestId(running), 1000, START
            )
            (running,) = admitted(decisions)
            order.append(running)
        assert order == ["r4", "r3", "r1", "r2"]


class TestRefusals:
    def test_each_exceeded_limit_returns_its_failure(self) -> None:
        limits = admission.CustomerLimits(
            open_requests=1, tokens_per_second=10.0, burst_seconds=1
        )
        settings = admission.AdmissionSettings(
            customers={"oyo": limits, "beja": limits}
        )
        draining = make_controller(settings)
        draining.start_draining(START)
        open_limit = make_controller(settings)
        open_limit.submit(make_request(0, CUSTOMERS[2]), START)
        rate = make_controller(settings)
        rate.submit(make_request(0, CUSTOMERS[2]), START)
        rate.finish(model.RequestId("r0"), 100, START)
        table = (
            (draining, 600, admission.Draining),
            (make_controller(settings, 0), 600, admission.NoCapacity),
            (open_limit, 600, admission.TooManyOpenRequests),
            (rate, 600, admission.RateExceeded),
            (make_controller(settings), 0.5, admission.DeadlineCannotBeMet),
        )
        for controller, seconds, failure in table:
            request = make_request(9, CUSTOMERS[2], seconds=seconds)
            refused = refusals(controller.submit(request, START))
            assert type(refused["r9"]) is failure
        assert rate.submit(make_request(9, CUSTOMERS[2]), START + 9 * SECOND)

    def test_rate_limit_charges_used_tokens_only(self) -> None:
        limits = admission.CustomerLimits(tokens_per_second=100.0)
        settings = admission.AdmissionSettings(customers={"oyo": limits})
        controller = make_controller(settings, 10_000)
        for number in range(50):
            request = make_request(number, CUSTOMERS[2], 1000)
            assert admitted(controller.submit(request, START))
            controller.finish(request.request_id, 10, START)

    def test_full_queue_drops_last_request_of_longest_queue(self) -> None:
        settings = admission.AdmissionSettings(queued_requests=10)
        controller = make_controller(settings, 1)
        controller.submit(make_request(0), START)
        for number in range(1, 11):
            controller.submit(make_request(number, CUSTOMERS[0]), START)
        refused = refusals(
            controller.submit(make_request(50, CUSTOMERS[1]), START)
        )
        assert [type(failure) for failure in refused.values()] == [
            admission.QueueFull
        ]
        assert list(refused) == ["r10"]
        refused = refusals(
            controller.submit(make_request(11, CUSTOMERS[0]), START)
        )
        assert list(refused) == ["r11"]

    def test_queued_wait_is_limited_to_wait_share_of_deadline(self) -> None:
        # 8 s remain before the latest start; each request takes 0.5 s.
        for wait_share, fitting in ((1.0, 17), (0.5, 9), (0.25, 5)):
            settings = admission.AdmissionSettings(wait_share=wait_share)
            controller = make_controller(settings, 1)
            for number in range(40):
                request = make_request(number, cost_tokens=500, seconds=9)
                controller.submit(request, START)
            assert abs(controller.queued_requests - fitting) <= 1

    def test_capacity_drop_refuses_late_requests_at_once(self) -> None:
        settings = admission.AdmissionSettings(wait_share=1.0)
        controller = make_controller(settings, 1)
        for number in range(16):
            request = make_request(number, cost_tokens=500, seconds=9)
            assert not refusals(controller.submit(request, START))
        before = controller.queued_requests
        refused = refusals(
            controller.set_capacity(1, TOKENS_PER_SECOND / 3, START)
        )
        assert 0.6 * before < len(refused) < 0.7 * before
        failures = {type(failure) for failure in refused.values()}
        assert failures == {admission.DeadlineCannotBeMet}
        decisions = controller.set_capacity(0, 0.0, START)
        assert len(refusals(decisions)) == before - len(refused)
        assert controller.queued_requests == 0

    def test_retry_delays_follow_processing_rate_with_jitter(self) -> None:
        settings = admission.AdmissionSettings(queued_requests=10)
        controller = make_controller(settings, 1)
        waits = []
        for number in range(60):
            request = make_request(number, cost_tokens=500)
            for failure in refusals(
                controller.submit(request, START)
            ).values():
                waits.append(failure.retry_after.total_seconds())
        # Each of the 49 refused requests takes 0.5 s of processing.
        assert len(waits) == 49
        assert len({round(wait, 3) for wait in waits}) == len(waits)
        assert max(waits) > 49 * 0.5
        soon = [wait for wait in waits if wait < min(waits) + 5]
        assert len(soon) <= 16

    def test_retry_delays_differ_without_capacity(self) -> None:
        controller = make_controller(capacity_tokens=0)
        waits = {
            refusals(controller.submit(make_request(number), START))[
                f"r{number}"
            ].retry_after
            for number in range(30)
        }
        assert len(waits) == 30

    def test_queued_requests_run_while_draining(self) -> None:
        controller = make_controller(capacity_tokens=1)
        controller.submit(make_request(0), START)
        controller.submit(make_request(1), START)
        controller.start_draining(START)
        assert admitted(
            controller.finish(model.RequestId("r0"), 1, START)
        ) == ["r1"]

    def test_duplicate_request_id_raises(self) -> None:
        controller = make_controller()
        controller.submit(make_request(0), START)
        try:
            controller.submit(make_request(0), START)
        except admission.RequestAlreadyOpen:
            return
        raise AssertionError("duplicate request id r0 was accepted")
