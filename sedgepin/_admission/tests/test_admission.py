"""Fair share, deadlines and refusals at the door."""

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


def make_ticket(
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


def make_admission(
    settings: admission.AdmissionSettings = SETTINGS,
    capacity_tokens: int = CAPACITY_TOKENS,
) -> admission.AdmissionController:
    door = admission.AdmissionController(settings, START, random.Random(1))
    door.set_capacity(capacity_tokens, TOKENS_PER_SECOND, START)
    return door


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


class Door(stateful.RuleBasedStateMachine):
    """Requests that come, end and vanish while capacity changes."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START
        self.door = make_admission()
        self.capacity = CAPACITY_TOKENS
        self.tickets: dict[str, admission.AdmissionRequest] = {}
        self.waiting: set[str] = set()
        self.running: set[str] = set()
        self.decided: set[str] = set()

    def take(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            name = decision.request_id
            assert name in self.waiting, "decided twice, or after it left"
            self.waiting.discard(name)
            if isinstance(decision, admission.Admit):
                self.running.add(name)
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
            ticket = make_ticket(
                len(self.tickets),
                customer,
                cost_tokens,
                seconds,
                priority=priority,
                now=self.now,
            )
            self.tickets[ticket.request_id] = ticket
            self.waiting.add(ticket.request_id)
            self.take(self.door.submit(ticket, self.now))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), used=strategies.integers(0, 1500))
    def leave(self, data: strategies.DataObject, used: int) -> None:
        name = data.draw(strategies.sampled_from(sorted(self.running)))
        self.running.discard(name)
        self.take(self.door.finish(model.RequestId(name), used, self.now))

    @stateful.precondition(lambda self: self.running or self.waiting)
    @stateful.rule(data=strategies.data())
    def withdraw(self, data: strategies.DataObject) -> None:
        names = sorted(self.running | self.waiting)
        name = data.draw(strategies.sampled_from(names))
        self.running.discard(name)
        self.waiting.discard(name)
        self.take(self.door.cancel(model.RequestId(name), self.now))

    @stateful.rule(capacity=strategies.sampled_from((1000, 300, 2000, 0)))
    def set_capacity(self, capacity: int) -> None:
        self.capacity = capacity
        rate = float(capacity)
        self.take(self.door.set_capacity(capacity, rate, self.now))

    @stateful.rule(seconds=strategies.sampled_from((0.01, 0.1, 1, 5)))
    def time_passes(self, seconds: float) -> None:
        until = self.now + seconds * SECOND
        while True:
            wake_at = self.door.wake_at
            if wake_at is None or wake_at > until:
                break
            self.now = max(self.now, wake_at)
            self.take(self.door.tick(self.now))
        self.now = until

    @stateful.invariant()
    def work_conserving(self) -> None:
        used = self.door.in_flight_tokens
        assert used == sum(
            self.tickets[name].cost_tokens for name in self.running
        )
        if self.waiting:
            assert used >= self.capacity > 0

    @stateful.invariant()
    def bounded(self) -> None:
        assert len(self.waiting) == self.door.queued_requests
        assert len(self.waiting) <= SETTINGS.queued_requests
        queued = [self.tickets[name].customer for name in self.waiting]
        assert queued.count(CUSTOMERS[0]) <= 4

    @stateful.invariant()
    def nobody_waits_in_vain(self) -> None:
        for name in self.waiting:
            assert self.now <= self.tickets[name].latest_start + SECOND / 10


TestDoor = Door.TestCase


class Saturated:
    """Customers that always have requests waiting."""

    def __init__(self, weights: dict[str, float]) -> None:
        limits = {
            name: admission.CustomerLimits(weight=weight)
            for name, weight in weights.items()
        }
        settings = admission.AdmissionSettings(customers=limits)
        self.door = make_admission(settings, capacity_tokens=1)
        self.random = random.Random(3)
        self.tickets: dict[str, admission.AdmissionRequest] = {}
        self.served: collections.Counter[str] = collections.Counter()
        for name in weights:
            for _ in range(20):
                self.submit(model.CustomerId(name))

    def submit(self, customer: model.CustomerId) -> None:
        cost = self.random.randint(1, LARGEST_COST_TOKENS)
        ticket = make_ticket(len(self.tickets), customer, cost, 1e6)
        self.tickets[ticket.request_id] = ticket
        self.serve(self.door.submit(ticket, START))

    def serve(self, decisions: list[admission.Decision]) -> None:
        for name in admitted(decisions):
            self.running = name

    def run(self, rounds: int, stretch: dict[str, float]) -> None:
        for _ in range(rounds):
            ticket = self.tickets[self.running]
            used = ticket.cost_tokens * stretch.get(ticket.customer, 1.0)
            self.served[ticket.customer] += round(used)
            self.serve(self.door.finish(ticket.request_id, round(used), START))
            self.submit(ticket.customer)


class TestFairShare:
    def test_served_by_weight_whatever_the_estimates(self) -> None:
        weights = {"beja": 1.0, "ikeja": 2.0, "oyo": 4.0}
        for stretch in ({}, {"oyo": 3.0}, {"ikeja": 0.3, "beja": 2.0}):
            saturated = Saturated(weights)
            saturated.run(6000, stretch)
            shares = [
                saturated.served[name] / weight
                for name, weight in weights.items()
            ]
            # A few rounds of the largest request, of some hundred rounds.
            assert max(shares) - min(shares) < 8 * LARGEST_COST_TOKENS

    def test_small_customer_goes_before_a_long_queue(self) -> None:
        door = make_admission(admission.AdmissionSettings())
        for number in range(200):
            door.submit(make_ticket(number, CUSTOMERS[0]), START)
        assert door.submit(make_ticket(900, CUSTOMERS[1]), START) == []
        order = [
            name
            for number in range(6)
            for name in admitted(
                door.finish(model.RequestId(f"r{number}"), 100, START)
            )
        ]
        # At most the rest of one round of the other goes before it.
        assert "r900" in order

    def test_newcomer_goes_before_those_that_were_busy(self) -> None:
        saturated = Saturated({"beja": 1.0, "ikeja": 1.0})
        saturated.run(20, {})
        newcomer = make_ticket(9000, CUSTOMERS[2])
        saturated.door.submit(newcomer, START)
        running = model.RequestId(saturated.running)
        decisions = saturated.door.finish(running, 0, START)
        assert "r9000" in admitted(decisions)

    def test_debt_is_paid_before_the_next_turn(self) -> None:
        for idle_seconds, expected in ((0, False), (30, True)):
            saturated = Saturated({"beja": 1.0, "ikeja": 1.0})
            saturated.run(20, {})
            later = START + idle_seconds * SECOND
            door = saturated.door
            door.submit(make_ticket(9000, CUSTOMERS[2]), START)
            door.finish(model.RequestId(saturated.running), 0, START)
            decisions = door.finish(model.RequestId("r9000"), 5000, START)
            (running,) = admitted(decisions)
            door.submit(make_ticket(9001, CUSTOMERS[2], now=later), later)
            decisions = door.finish(model.RequestId(running), 600, later)
            assert (admitted(decisions) == ["r9001"]) is expected

    def test_coming_and_going_gains_nothing(self) -> None:
        door = make_admission(admission.AdmissionSettings(), 1)
        for number in range(250):
            ticket = make_ticket(number, CUSTOMERS[0], 100, 1e6)
            door.submit(ticket, START)
        now = START
        running = "r0"
        served: collections.Counter[bool] = collections.Counter()
        for burst in range(20):
            # A round's worth, sent as soon as the last of it has gone.
            names = set()
            for i in range(5):
                number = 1000 + burst * 5 + i
                ticket = make_ticket(number, CUSTOMERS[1], 100, 1e6)
                names.add(ticket.request_id)
                door.submit(ticket, now)
            while names:
                now += SECOND / 10
                decisions = door.finish(model.RequestId(running), 100, now)
                (running,) = admitted(decisions)
                served[running in names] += 1
                names.discard(model.RequestId(running))
        assert served[True] <= 1.25 * served[False]

    def test_idle_customers_are_forgotten(self) -> None:
        share = _fair_share.FairShare(SETTINGS)
        kept = share.queue_of(CUSTOMERS[0], START)
        share.push(kept, make_ticket(0), 1.0, START)
        share.queue_of(CUSTOMERS[1], START)
        share.forget_idle(START + SECOND)
        assert list(share.customers) == [CUSTOMERS[0]]
        assert share.take(START) == make_ticket(0)
        assert share.take(START) is None
        share.forget_idle(START + SECOND)
        assert not share.customers

    def test_priorities_inside_a_customer(self) -> None:
        door = make_admission()
        for number, priority in enumerate((0, 0, 0, 1, 2)):
            cost = CAPACITY_TOKENS
            ticket = make_ticket(number, cost_tokens=cost, priority=priority)
            door.submit(ticket, START)
        order = []
        running = "r0"
        for _ in range(4):
            decisions = door.finish(model.RequestId(running), 1000, START)
            (running,) = admitted(decisions)
            order.append(running)
        assert order == ["r4", "r3", "r1", "r2"]


class TestRefusals:
    def test_each_limit_has_its_failure(self) -> None:
        limits = admission.CustomerLimits(
            open_requests=1, tokens_per_second=10.0, burst_seconds=1
        )
        settings = admission.AdmissionSettings(
            customers={"oyo": limits, "beja": limits}
        )
        draining = make_admission(settings)
        draining.start_draining(START)
        open_limit = make_admission(settings)
        open_limit.submit(make_ticket(0, CUSTOMERS[2]), START)
        rate = make_admission(settings)
        rate.submit(make_ticket(0, CUSTOMERS[2]), START)
        rate.finish(model.RequestId("r0"), 100, START)
        table = (
            (draining, 600, admission.Draining),
            (make_admission(settings, 0), 600, admission.NoCapacity),
            (open_limit, 600, admission.TooManyOpenRequests),
            (rate, 600, admission.RateExceeded),
            (make_admission(settings), 0.5, admission.DeadlineCannotBeMet),
        )
        for door, seconds, failure in table:
            ticket = make_ticket(9, CUSTOMERS[2], seconds=seconds)
            refused = refusals(door.submit(ticket, START))
            assert type(refused["r9"]) is failure
        assert rate.submit(make_ticket(9, CUSTOMERS[2]), START + 9 * SECOND)

    def test_rate_counts_what_was_used(self) -> None:
        limits = admission.CustomerLimits(tokens_per_second=100.0)
        settings = admission.AdmissionSettings(customers={"oyo": limits})
        door = make_admission(settings, 10_000)
        for number in range(50):
            ticket = make_ticket(number, CUSTOMERS[2], 1000)
            assert admitted(door.submit(ticket, START))
            door.finish(ticket.request_id, 10, START)

    def test_the_one_over_its_share_is_pushed_out(self) -> None:
        settings = admission.AdmissionSettings(queued_requests=10)
        door = make_admission(settings, 1)
        door.submit(make_ticket(0), START)
        for number in range(1, 11):
            door.submit(make_ticket(number, CUSTOMERS[0]), START)
        refused = refusals(door.submit(make_ticket(50, CUSTOMERS[1]), START))
        assert [type(one) for one in refused.values()] == [admission.QueueFull]
        assert list(refused) == ["r10"]
        refused = refusals(door.submit(make_ticket(11, CUSTOMERS[0]), START))
        assert list(refused) == ["r11"]

    def test_queued_no_longer_than_the_share_of_the_deadline(self) -> None:
        # 8 s may be spent on waiting; half a second of work a request.
        for wait_share, fitting in ((1.0, 17), (0.5, 9), (0.25, 5)):
            settings = admission.AdmissionSettings(wait_share=wait_share)
            door = make_admission(settings, 1)
            for number in range(40):
                ticket = make_ticket(number, cost_tokens=500, seconds=9)
                door.submit(ticket, START)
            assert abs(door.queued_requests - fitting) <= 1

    def test_refused_at_once_when_capacity_falls(self) -> None:
        settings = admission.AdmissionSettings(wait_share=1.0)
        door = make_admission(settings, 1)
        for number in range(16):
            ticket = make_ticket(number, cost_tokens=500, seconds=9)
            assert not refusals(door.submit(ticket, START))
        before = door.queued_requests
        refused = refusals(door.set_capacity(1, TOKENS_PER_SECOND / 3, START))
        assert 0.6 * before < len(refused) < 0.7 * before
        kinds = {type(one) for one in refused.values()}
        assert kinds == {admission.DeadlineCannotBeMet}
        gone = door.set_capacity(0, 0.0, START)
        assert len(refusals(gone)) == before - len(refused)
        assert door.queued_requests == 0

    def test_waits_come_back_at_the_drain_rate_and_spread(self) -> None:
        settings = admission.AdmissionSettings(queued_requests=10)
        door = make_admission(settings, 1)
        waits = []
        for number in range(60):
            ticket = make_ticket(number, cost_tokens=500)
            for failure in refusals(door.submit(ticket, START)).values():
                waits.append(failure.retry_after.total_seconds())
        # Half a second of work each; all that were refused at one instant.
        assert len(waits) == 49
        assert len({round(wait, 3) for wait in waits}) == len(waits)
        assert max(waits) > 49 * 0.5
        soon = [wait for wait in waits if wait < min(waits) + 5]
        assert len(soon) <= 16

    def test_waits_are_spread_without_a_queue_too(self) -> None:
        door = make_admission(capacity_tokens=0)
        waits = {
            refusals(door.submit(make_ticket(number), START))[
                f"r{number}"
            ].retry_after
            for number in range(30)
        }
        assert len(waits) == 30

    def test_draining_lets_the_queue_run(self) -> None:
        door = make_admission(capacity_tokens=1)
        door.submit(make_ticket(0), START)
        door.submit(make_ticket(1), START)
        door.start_draining(START)
        assert admitted(door.finish(model.RequestId("r0"), 1, START)) == ["r1"]

    def test_one_identity_twice_is_an_error(self) -> None:
        door = make_admission()
        door.submit(make_ticket(0), START)
        try:
            door.submit(make_ticket(0), START)
        except admission.RequestAlreadyOpen:
            return
        raise AssertionError("two open requests of one identity")
