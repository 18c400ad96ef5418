"""A request that crashes endpoints, against a rack that dies."""

import collections.abc
import datetime
import itertools
import random

from sedgepin import _admission as admission
from sedgepin import _model as model

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
SECOND = datetime.timedelta(seconds=1)
STEP = datetime.timedelta(milliseconds=10)


def fingerprint(name: str) -> admission.Fingerprint:
    return admission.Fingerprint(model.CustomerId("beja"), name)


class Fleet:
    """Several VMs whose rumours travel one step late, and endpoints.

    ``crashers`` are the bodies that crash what runs them, ``crash_after``
    steps after they start.  A caller's copy is ``(vm, body)``.
    """

    def __init__(
        self,
        vms: int = 3,
        crashers: collections.abc.Iterable[str] = (),
        crash_after: int = 3,
        endpoints: int = 12,
    ) -> None:
        self.now = START
        self.vms = [
            admission.Quarantine(
                model.VmId(f"v{i}"), admission.QuarantineSettings()
            )
            for i in range(vms)
        ]
        self.vm_ids = [model.VmId(f"v{i}") for i in range(vms)]
        self.endpoints = [model.EndpointId(f"e{i}") for i in range(endpoints)]
        self.live = set(self.endpoints)
        self.crashers = set(crashers)
        self.crash_after = crash_after
        self.deaths: list[model.EndpointId] = []
        self.running: dict[model.RequestId, tuple[model.EndpointId, int]] = {}
        self.outcomes: dict[model.RequestId, str] = {}
        self.bodies: dict[model.RequestId, tuple[int, str]] = {}
        self.post: list[tuple[int, admission.Rumour]] = []
        self.trials: set[model.RequestId] = set()
        self._numbers = itertools.count()
        self._spread = itertools.count()

    def send(
        self, vm: int, body: str, endpoint: model.EndpointId | None = None
    ) -> model.RequestId:
        request_id = model.RequestId(f"r{next(self._numbers)}")
        self.bodies[request_id] = (vm, body)
        verdict = self.vms[vm].verdict(fingerprint(body), self.now)
        if verdict.is_err():
            self.outcomes[request_id] = type(verdict.unwrap_err()).__name__
        elif isinstance(verdict.unwrap(), admission.RunOnTrial):
            effects = self.vms[vm].hold_for_trial(
                request_id, fingerprint(body), self.now
            )
            self._perform(vm, effects)
        else:
            self._run(request_id, endpoint or self._any())
        return request_id

    def kill(self, *endpoints: model.EndpointId) -> None:
        for endpoint in endpoints:
            self.live.discard(endpoint)
            self.deaths.append(endpoint)
            lost = [
                request_id
                for request_id, run in self.running.items()
                if run[0] == endpoint
            ]
            for request_id in lost:
                del self.running[request_id]
            for vm, quarantine in enumerate(self.vms):
                aboard = tuple(
                    admission.InFlightRequest(
                        request_id,
                        fingerprint(self.bodies[request_id][1]),
                        True,
                    )
                    for request_id in lost
                    if self.bodies[request_id][0] == vm
                )
                died = admission.EndpointDied(
                    endpoint, model.Incarnation(1), aboard
                )
                self._perform(vm, quarantine.endpoint_died(died, self.now))

    def advance(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP
            arrived, self.post = self.post, []
            for vm, rumour in arrived:
                self._perform(vm, self.vms[vm].merge(rumour, self.now))
            for vm, quarantine in enumerate(self.vms):
                wake_at = quarantine.wake_at
                if wake_at is not None and wake_at <= self.now:
                    self._perform(vm, quarantine.tick(self.now))
                    wake_at = quarantine.wake_at
                    assert wake_at is None or wake_at > self.now
            self._work()

    def _work(self) -> None:
        for request_id, (endpoint, steps) in list(self.running.items()):
            if request_id not in self.running:
                continue
            vm, body = self.bodies[request_id]
            self.running[request_id] = (endpoint, steps + 1)
            if body in self.crashers and steps + 1 >= self.crash_after:
                self.kill(endpoint)
            elif steps + 1 == 40:
                effects = self.vms[vm].trial_survived(
                    fingerprint(body), self.now
                )
                self._perform(vm, effects)
                self.outcomes[request_id] = "answered"
                del self.running[request_id]

    def _perform(
        self, vm: int, effects: list[admission.QuarantineEffect]
    ) -> None:
        quarantine = self.vms[vm]
        for effect in effects:
            match effect:
                case admission.BroadcastRumour(rumour):
                    others = (i for i in range(len(self.vms)) if i != vm)
                    self.post += [(other, rumour) for other in others]
                case admission.ResumeAnywhere(request_id):
                    self.trials.discard(request_id)
                    self._run(request_id, self._any())
                case admission.StartTrial(request_id, suspect):
                    taken = quarantine.trial_endpoints(self.now)
                    free = admission.choose_trial_endpoints(
                        suspect,
                        self.vm_ids[vm],
                        self.vm_ids,
                        self.live,
                        taken,
                    )
                    if not free:
                        postponed = quarantine.postpone_trial(
                            request_id, suspect, self.now
                        )
                        self._perform(vm, postponed)
                        continue
                    placed = quarantine.trial_placed(
                        suspect, frozenset(free[:1]), self.now
                    )
                    self.trials.add(request_id)
                    self._perform(vm, placed)
                    self._run(request_id, free[0])
                case admission.CancelCopies(suspect):
                    self._recall(vm, suspect)
                case admission.AnswerQuarantined(request_id, failure):
                    assert failure.retry_after > datetime.timedelta()
                    self.outcomes[request_id] = type(failure).__name__

    def _recall(self, vm: int, suspect: admission.Fingerprint) -> None:
        for request_id in list(self.running):
            owner, body = self.bodies[request_id]
            if owner != vm or fingerprint(body) != suspect:
                continue
            if request_id in self.trials:
                continue
            del self.running[request_id]
            self._perform(
                vm, self.vms[vm].hold_for_trial(request_id, suspect, self.now)
            )

    def _run(
        self, request_id: model.RequestId, endpoint: model.EndpointId
    ) -> None:
        assert request_id not in self.running
        assert request_id not in self.outcomes
        self.running[request_id] = (endpoint, 0)

    def _any(self) -> model.EndpointId:
        live = sorted(self.live)
        return live[next(self._spread) % len(live)]


class TestCrashingRequest:
    def test_two_endpoints_lost_and_every_innocent_answered(self) -> None:
        fleet = Fleet(crashers={"bad"})
        innocent = [
            fleet.send(i % 3, f"good{i}", fleet.endpoints[0]) for i in range(8)
        ]
        bad = fleet.send(0, "bad", fleet.endpoints[0])
        fleet.advance(400)
        assert len(fleet.deaths) == 2
        assert fleet.outcomes[bad] == "RequestQuarantined"
        assert {fleet.outcomes[one] for one in innocent} == {"answered"}

    def test_resends_everywhere_get_the_final_answer_at_once(self) -> None:
        fleet = Fleet(crashers={"bad"})
        fleet.send(0, "bad")
        fleet.advance(4)
        early = [fleet.send(i % 3, "bad") for i in range(30)]
        fleet.advance(130)
        late = [fleet.send(i % 3, "bad") for i in range(30)]
        assert len(fleet.deaths) == 2
        assert {fleet.outcomes[one] for one in early} == {"RequestOnTrial"}
        assert {fleet.outcomes[one] for one in late} == {"RequestQuarantined"}

    def test_copies_aboard_one_endpoint_from_all_vms(self) -> None:
        fleet = Fleet(crashers={"bad"})
        copies = [
            fleet.send(vm, "bad", fleet.endpoints[0]) for vm in (0, 1, 2)
        ]
        fleet.advance(400)
        assert len(fleet.deaths) == 2
        assert {fleet.outcomes[one] for one in copies} == {
            "RequestQuarantined"
        }

    def test_copies_running_elsewhere_are_recalled(self) -> None:
        fleet = Fleet(crashers={"bad"}, crash_after=10)
        fleet.send(0, "bad", fleet.endpoints[0])
        fleet.advance(6)
        copies = [
            fleet.send(vm, "bad", fleet.endpoints[5 + vm]) for vm in (1, 2)
        ]
        fleet.advance(400)
        assert len(fleet.deaths) == 2
        assert {fleet.outcomes[one] for one in copies} == {
            "RequestQuarantined"
        }

    def test_two_suspects_on_one_endpoint_condemn_neither(self) -> None:
        fleet = Fleet(vms=1, endpoints=40)
        sent = [fleet.send(0, f"x{i}", fleet.endpoints[0]) for i in (0, 1)]
        fleet.kill(fleet.endpoints[0])
        fleet.advance(5)
        shared = fleet.running[sent[0]]
        fleet.running[sent[1]] = shared
        fleet.kill(shared[0])
        fleet.advance(400)
        assert {fleet.outcomes[one] for one in sent} == {"answered"}

    def test_claim_lost_after_the_trial_began(self) -> None:
        fleet = Fleet(vms=2)
        for vm in (0, 1):
            fleet.send(vm, "good", fleet.endpoints[0])
        fleet.kill(fleet.endpoints[0])
        claim_of_v0 = fleet.post[0][1]
        fleet.post = []
        fleet.advance(3)
        loser = fleet.vms[1]
        loser.merge(claim_of_v0, fleet.now)
        # It runs on, needs no waking, and clears the request for both.
        loser.tick(fleet.now + 60 * SECOND)
        assert loser.wake_at is None
        fleet.advance(60)
        assert set(fleet.outcomes.values()) == {"answered"}

    def test_two_at_the_same_time_do_not_excuse_each_other(self) -> None:
        fleet = Fleet(crashers={"bad1", "bad2"})
        fleet.send(0, "bad1", fleet.endpoints[0])
        fleet.send(1, "bad2", fleet.endpoints[1])
        innocent = [fleet.send(2, f"good{i}") for i in range(12)]
        fleet.advance(400)
        assert len(fleet.deaths) == 4
        assert {fleet.outcomes[one] for one in innocent} == {"answered"}

    def test_at_most_two_lost_in_any_mix(self) -> None:
        for seed in range(30):
            generator = random.Random(seed)
            vms = generator.choice((1, 3, 7))
            fleet = Fleet(
                vms,
                {"bad"},
                generator.randint(1, 35),
                generator.choice((12, 24, 40)),
            )
            innocent = [
                fleet.send(
                    generator.randrange(vms),
                    f"good{i}",
                    generator.choice(fleet.endpoints),
                )
                for i in range(generator.choice((5, 40, 120)))
            ]
            fleet.send(generator.randrange(vms), "bad")
            for _ in range(40):
                fleet.advance(generator.randint(1, 10))
                if fleet.deaths:
                    fleet.send(generator.randrange(vms), "bad")
            fleet.advance(400)
            assert len(fleet.deaths) == 2, seed
            outcomes = {fleet.outcomes[one] for one in innocent}
            assert outcomes == {"answered"}, seed

    def test_quarantine_ends(self) -> None:
        fleet = Fleet(crashers={"bad"})
        fleet.send(0, "bad")
        fleet.advance(150)
        refusal = fleet.vms[1].verdict(fingerprint("bad"), fleet.now)
        wait = refusal.unwrap_err().retry_after
        assert wait is not None
        after = fleet.now + wait
        assert fleet.vms[1].wake_at == after
        fleet.vms[1].tick(after)
        assert fleet.vms[1].wake_at is None
        verdict = fleet.vms[1].verdict(fingerprint("bad"), after)
        assert verdict.unwrap() == admission.RunNormally()


class TestRackDeath:
    def test_condemns_nobody(self) -> None:
        # The spans are the time over which a rack's endpoints are found
        # dead: at once, and slowly enough for requests to be hit again.
        for gap in (0, 1, 5, 15):
            fleet = Fleet(endpoints=24)
            sent = [
                fleet.send(i % 3, f"good{i}", fleet.endpoints[i % 24])
                for i in range(120)
            ]
            for endpoint in fleet.endpoints[:6]:
                fleet.kill(endpoint)
                fleet.advance(gap)
            fleet.advance(400)
            outcomes = {fleet.outcomes[one] for one in sent}
            assert outcomes == {"answered"}, gap

    def test_first_two_deaths_of_a_rack_are_one_request_s(self) -> None:
        fleet = Fleet(endpoints=24)
        sent = fleet.send(0, "good", fleet.endpoints[0])
        fleet.kill(fleet.endpoints[0])
        fleet.advance(3)
        fleet.kill(fleet.running[sent][0])
        fleet.advance(20)
        fleet.kill(fleet.endpoints[20], fleet.endpoints[21])
        fleet.advance(200)
        assert fleet.outcomes[sent] == "answered"

    def test_endpoint_dead_before_the_trial_counts_for_nothing(self) -> None:
        fleet = Fleet()
        fleet.send(0, "good", fleet.endpoints[0])
        fleet.kill(fleet.endpoints[0])
        aboard = admission.InFlightRequest(
            model.RequestId("r0"), fingerprint("good"), False
        )
        for i in (5, 6):
            fleet.vms[0].endpoint_died(
                admission.EndpointDied(
                    model.EndpointId(f"x{i}"), model.Incarnation(1), (aboard,)
                ),
                fleet.now + i * SECOND,
            )
        later = fleet.now + 9 * SECOND
        fleet.vms[0].tick(later)
        refusal = fleet.vms[0].verdict(fingerprint("good"), later)
        assert isinstance(refusal.unwrap_err(), admission.RequestOnTrial)


class TestRumour:
    def test_merges_alike_in_any_order_and_number(self) -> None:
        marks = [
            admission.DeathMark(
                admission.DeathId(
                    model.EndpointId(f"e{i}"), model.Incarnation(1)
                ),
                START + i * SECOND,
                bool(i % 2),
            )
            for i in range(3)
        ]
        suspect = fingerprint("bad")
        heard = [
            admission.Rumour(suspect, START + SECOND, (marks[0],)),
            admission.Rumour(
                suspect,
                START,
                (marks[1], marks[0].merged(marks[0])),
                frozenset({marks[0].death}),
                trial=admission.Trial(1, model.VmId("v1"), START),
            ),
            admission.Rumour(
                suspect,
                START + 2 * SECOND,
                (marks[2],),
                cleared=frozenset({marks[1].death}),
                trial=admission.Trial(1, model.VmId("v0"), START),
            ),
        ]
        results = set()
        for order in itertools.permutations(heard + heard[:1]):
            merged = order[0]
            for rumour in order[1:]:
                merged = merged.merged(rumour)
            results.add(merged)
        assert len(results) == 1
        trial = results.pop().trial
        assert trial is not None and trial.isolator == "v0"
