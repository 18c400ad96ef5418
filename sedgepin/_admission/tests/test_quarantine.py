"""Tests of the quarantine: crashing requests and correlated failures."""

import collections.abc
import datetime
import itertools
import random

from sedgepin import _admission as admission
from sedgepin import _model as model

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
SECOND = datetime.timedelta(seconds=1)
STEP = datetime.timedelta(milliseconds=10)


def make_fingerprint(name: str) -> admission.Fingerprint:
    return admission.Fingerprint(model.CustomerId("beja"), name)


class SimulatedFleet:
    """Entry VMs and endpoints, simulated in steps of 10 ms.

    Rumours arrive one step after they are sent.  A request with one of
    ``crashing_bodies`` crashes its endpoint ``crash_after`` steps after it
    starts.  ``bodies`` holds the VM and the body of each request.
    """

    def __init__(
        self,
        vms: int = 3,
        crashing_bodies: collections.abc.Iterable[str] = (),
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
        self.crashing_bodies = set(crashing_bodies)
        self.crash_after = crash_after
        self.deaths: list[model.EndpointId] = []
        self.running: dict[model.RequestId, tuple[model.EndpointId, int]] = {}
        self.outcomes: dict[model.RequestId, str] = {}
        self.bodies: dict[model.RequestId, tuple[int, str]] = {}
        self.rumours_in_transit: list[tuple[int, admission.Rumour]] = []
        self.trials: set[model.RequestId] = set()
        self._numbers = itertools.count()
        self._spread = itertools.count()

    def send(
        self, vm: int, body: str, endpoint: model.EndpointId | None = None
    ) -> model.RequestId:
        request_id = model.RequestId(f"r{next(self._numbers)}")
        self.bodies[request_id] = (vm, body)
        decision = self.vms[vm].check(make_fingerprint(body), self.now)
        if decision.is_err():
            self.outcomes[request_id] = type(decision.unwrap_err()).__name__
        elif isinstance(decision.unwrap(), admission.RunOnTrial):
            effects = self.vms[vm].hold_for_trial(
                request_id, make_fingerprint(body), self.now
            )
            self._apply(vm, effects)
        else:
            self._run(request_id, endpoint or self._next_endpoint())
        return request_id

    def kill(self, *endpoints: model.EndpointId) -> None:
        for endpoint in endpoints:
            self.live.discard(endpoint)
            self.deaths.append(endpoint)
            request_ids = [
                request_id
                for request_id, run in self.running.items()
                if run[0] == endpoint
            ]
            for request_id in request_ids:
                del self.running[request_id]
            for vm, quarantine in enumerate(self.vms):
                in_flight = tuple(
                    admission.InFlightRequest(
                        request_id,
                        make_fingerprint(self.bodies[request_id][1]),
                        True,
                    )
                    for request_id in request_ids
                    if self.bodies[request_id][0] == vm
                )
                event = admission.EndpointDied(
                    endpoint, model.Incarnation(1), in_flight
                )
                self._apply(vm, quarantine.endpoint_died(event, self.now))

    def advance(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP
            delivered, self.rumours_in_transit = self.rumours_in_transit, []
            for vm, rumour in delivered:
                self._apply(vm, self.vms[vm].merge(rumour, self.now))
            for vm, quarantine in enumerate(self.vms):
                wake_at = quarantine.wake_at
                if wake_at is not None and wake_at <= self.now:
                    self._apply(vm, quarantine.tick(self.now))
                    wake_at = quarantine.wake_at
                    assert wake_at is None or wake_at > self.now
            self._run_step()

    def _run_step(self) -> None:
        for request_id, (endpoint, steps) in list(self.running.items()):
            if request_id not in self.running:
                continue
            vm, body = self.bodies[request_id]
            self.running[request_id] = (endpoint, steps + 1)
            if body in self.crashing_bodies and steps + 1 >= self.crash_after:
                self.kill(endpoint)
            elif steps + 1 == 40:
                effects = self.vms[vm].trial_survived(
                    make_fingerprint(body), self.now
                )
                self._apply(vm, effects)
                self.outcomes[request_id] = "answered"
                del self.running[request_id]

    def _apply(
        self, vm: int, effects: list[admission.QuarantineEffect]
    ) -> None:
        quarantine = self.vms[vm]
        for effect in effects:
            match effect:
                case admission.BroadcastRumour(rumour):
                    others = (i for i in range(len(self.vms)) if i != vm)
                    self.rumours_in_transit += [
                        (other, rumour) for other in others
                    ]
                case admission.ResumeAnywhere(request_id):
                    self.trials.discard(request_id)
                    self._run(request_id, self._next_endpoint())
                case admission.StartTrial(request_id, suspect):
                    in_use = quarantine.trial_endpoints(self.now)
                    free = admission.choose_trial_endpoints(
                        suspect,
                        self.vm_ids[vm],
                        self.vm_ids,
                        self.live,
                        in_use,
                    )
                    if not free:
                        postponed = quarantine.postpone_trial(
                            request_id, suspect, self.now
                        )
                        self._apply(vm, postponed)
                        continue
                    placed = quarantine.trial_placed(
                        suspect, frozenset(free[:1]), self.now
                    )
                    self.trials.add(request_id)
                    self._apply(vm, placed)
                    self._run(request_id, free[0])
                case admission.CancelCopies(suspect):
                    self._cancel_copies(vm, suspect)
                case admission.AnswerQuarantined(request_id, failure):
                    assert failure.retry_after > datetime.timedelta()
                    self.outcomes[request_id] = type(failure).__name__

    def _cancel_copies(self, vm: int, suspect: admission.Fingerprint) -> None:
        for request_id in list(self.running):
            owner, body = self.bodies[request_id]
            if owner != vm or make_fingerprint(body) != suspect:
                continue
            if request_id in self.trials:
                continue
            del self.running[request_id]
            self._apply(
                vm, self.vms[vm].hold_for_trial(request_id, suspect, self.now)
            )

    def _run(
        self, request_id: model.RequestId, endpoint: model.EndpointId
    ) -> None:
        assert request_id not in self.running
        assert request_id not in self.outcomes
        self.running[request_id] = (endpoint, 0)

    def _next_endpoint(self) -> model.EndpointId:
        live = sorted(self.live)
        return live[next(self._spread) % len(live)]


class TestCrashingRequest:
    def test_crashing_request_costs_two_endpoints_and_others_complete(
        self,
    ) -> None:
        fleet = SimulatedFleet(crashing_bodies={"bad"})
        other_requests = [
            fleet.send(i % 3, f"good{i}", fleet.endpoints[0]) for i in range(8)
        ]
        bad = fleet.send(0, "bad", fleet.endpoints[0])
        fleet.advance(400)
        assert len(fleet.deaths) == 2
        assert fleet.outcomes[bad] == "RequestQuarantined"
        assert {
            fleet.outcomes[request_id] for request_id in other_requests
        } == {"answered"}

    def test_resends_on_any_vm_are_refused_at_once(self) -> None:
        fleet = SimulatedFleet(crashing_bodies={"bad"})
        fleet.send(0, "bad")
        fleet.advance(4)
        early = [fleet.send(i % 3, "bad") for i in range(30)]
        fleet.advance(130)
        late = [fleet.send(i % 3, "bad") for i in range(30)]
        assert len(fleet.deaths) == 2
        assert {fleet.outcomes[request_id] for request_id in early} == {
            "RequestOnTrial"
        }
        assert {fleet.outcomes[request_id] for request_id in late} == {
            "RequestQuarantined"
        }

    def test_copies_of_all_vms_on_one_endpoint_are_quarantined(self) -> None:
        fleet = SimulatedFleet(crashing_bodies={"bad"})
        copies = [
            fleet.send(vm, "bad", fleet.endpoints[0]) for vm in (0, 1, 2)
        ]
        fleet.advance(400)
        assert len(fleet.deaths) == 2
        assert {fleet.outcomes[request_id] for request_id in copies} == {
            "RequestQuarantined"
        }

    def test_running_copies_on_other_endpoints_are_cancelled(self) -> None:
        fleet = SimulatedFleet(crashing_bodies={"bad"}, crash_after=10)
        fleet.send(0, "bad", fleet.endpoints[0])
        fleet.advance(6)
        copies = [
            fleet.send(vm, "bad", fleet.endpoints[5 + vm]) for vm in (1, 2)
        ]
        fleet.advance(400)
        assert len(fleet.deaths) == 2
        assert {fleet.outcomes[request_id] for request_id in copies} == {
            "RequestQuarantined"
        }

    def test_two_suspects_on_one_dead_endpoint_are_not_quarantined(
        self,
    ) -> None:
        fleet = SimulatedFleet(vms=1, endpoints=40)
        request_ids = [
            fleet.send(0, f"x{i}", fleet.endpoints[0]) for i in (0, 1)
        ]
        fleet.kill(fleet.endpoints[0])
        fleet.advance(5)
        shared = fleet.running[request_ids[0]]
        fleet.running[request_ids[1]] = shared
        fleet.kill(shared[0])
        fleet.advance(400)
        assert {fleet.outcomes[request_id] for request_id in request_ids} == {
            "answered"
        }

    def test_trial_completes_after_its_claim_is_lost(self) -> None:
        fleet = SimulatedFleet(vms=2)
        for vm in (0, 1):
            fleet.send(vm, "good", fleet.endpoints[0])
        fleet.kill(fleet.endpoints[0])
        claim_of_v0 = fleet.rumours_in_transit[0][1]
        fleet.rumours_in_transit = []
        fleet.advance(3)
        losing_vm = fleet.vms[1]
        losing_vm.merge(claim_of_v0, fleet.now)
        # The trial continues without timers and clears the request for both.
        losing_vm.tick(fleet.now + 60 * SECOND)
        assert losing_vm.wake_at is None
        fleet.advance(60)
        assert set(fleet.outcomes.values()) == {"answered"}

    def test_simultaneous_crashing_requests_do_not_acquit_each_other(
        self,
    ) -> None:
        fleet = SimulatedFleet(crashing_bodies={"bad1", "bad2"})
        fleet.send(0, "bad1", fleet.endpoints[0])
        fleet.send(1, "bad2", fleet.endpoints[1])
        other_requests = [fleet.send(2, f"good{i}") for i in range(12)]
        fleet.advance(400)
        assert len(fleet.deaths) == 4
        assert {
            fleet.outcomes[request_id] for request_id in other_requests
        } == {"answered"}

    def test_crashing_request_costs_two_endpoints_in_random_fleets(
        self,
    ) -> None:
        for seed in range(30):
            generator = random.Random(seed)
            vms = generator.choice((1, 3, 7))
            fleet = SimulatedFleet(
                vms,
                {"bad"},
                generator.randint(1, 35),
                generator.choice((12, 24, 40)),
            )
            other_requests = [
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
            outcomes = {
                fleet.outcomes[request_id] for request_id in other_requests
            }
            assert outcomes == {"answered"}, seed

    def test_quarantine_expires(self) -> None:
        fleet = SimulatedFleet(crashing_bodies={"bad"})
        fleet.send(0, "bad")
        fleet.advance(150)
        refusal = fleet.vms[1].check(make_fingerprint("bad"), fleet.now)
        wait = refusal.unwrap_err().retry_after
        assert wait is not None
        after = fleet.now + wait
        assert fleet.vms[1].wake_at == after
        fleet.vms[1].tick(after)
        assert fleet.vms[1].wake_at is None
        decision = fleet.vms[1].check(make_fingerprint("bad"), after)
        assert decision.unwrap() == admission.RunNormally()


class TestCorrelatedFailure:
    def test_rack_loss_quarantines_no_request(self) -> None:
        # Steps between the detected deaths of a rack's endpoints.  With 0 all
        # die at once; with more, resumed requests can lose a second endpoint.
        for gap in (0, 1, 5, 15):
            fleet = SimulatedFleet(endpoints=24)
            request_ids = [
                fleet.send(i % 3, f"good{i}", fleet.endpoints[i % 24])
                for i in range(120)
            ]
            for endpoint in fleet.endpoints[:6]:
                fleet.kill(endpoint)
                fleet.advance(gap)
            fleet.advance(400)
            outcomes = {
                fleet.outcomes[request_id] for request_id in request_ids
            }
            assert outcomes == {"answered"}, gap

    def test_request_in_flight_at_first_two_rack_deaths_completes(
        self,
    ) -> None:
        fleet = SimulatedFleet(endpoints=24)
        request_ids = fleet.send(0, "good", fleet.endpoints[0])
        fleet.kill(fleet.endpoints[0])
        fleet.advance(3)
        fleet.kill(fleet.running[request_ids][0])
        fleet.advance(20)
        fleet.kill(fleet.endpoints[20], fleet.endpoints[21])
        fleet.advance(200)
        assert fleet.outcomes[request_ids] == "answered"

    def test_death_of_endpoint_not_seen_alive_is_not_counted(self) -> None:
        fleet = SimulatedFleet()
        fleet.send(0, "good", fleet.endpoints[0])
        fleet.kill(fleet.endpoints[0])
        in_flight = admission.InFlightRequest(
            model.RequestId("r0"), make_fingerprint("good"), False
        )
        for i in (5, 6):
            fleet.vms[0].endpoint_died(
                admission.EndpointDied(
                    model.EndpointId(f"x{i}"),
                    model.Incarnation(1),
                    (in_flight,),
                ),
                fleet.now + i * SECOND,
            )
        later = fleet.now + 9 * SECOND
        fleet.vms[0].tick(later)
        refusal = fleet.vms[0].check(make_fingerprint("good"), later)
        assert isinstance(refusal.unwrap_err(), admission.RequestOnTrial)


class TestRumour:
    def test_merge_is_independent_of_order_and_repetition(self) -> None:
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
        suspect = make_fingerprint("bad")
        rumours = [
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
        for order in itertools.permutations(rumours + rumours[:1]):
            merged = order[0]
            for rumour in order[1:]:
                merged = merged.merged(rumour)
            results.add(merged)
        assert len(results) == 1
        trial = results.pop().trial
        assert trial is not None and trial.isolator == "v0"
