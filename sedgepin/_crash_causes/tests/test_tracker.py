"""Tests of the evidence that VMs exchange and of what they hold back."""

import datetime
import itertools
import random

import msgspec
import pytest

from sedgepin import _crash_causes as crash_causes
from sedgepin import _model as model

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_SECOND = datetime.timedelta(seconds=1)


class _Vm:
    """A VM's tracker, with a clock and a count of crashes of its own."""

    def __init__(self, name: str = "vm") -> None:
        self.now = _START
        self._name = name
        self.tracker = crash_causes.CrashCauseTracker(model.VmId(name), _START)
        self._numbers = itertools.count(1)

    def wait(self, seconds: float) -> None:
        self.now += seconds * _SECOND
        self.tracker.tick(self.now)

    def crash(
        self,
        *requests: str,
        name: str | None = None,
        is_silent: bool = False,
        pause: float = 0.5,
    ) -> tuple[crash_causes.Evidence, ...]:
        """Lose an endpoint under requests, each a string of its parts."""
        self.wait(pause)
        number = next(self._numbers)
        suspects = [
            crash_causes.SuspectRequest(
                f"{self._name}-{number}-{index}", _traits(parts)
            )
            for index, parts in enumerate(requests)
        ]
        death = crash_causes.Death(
            model.EndpointId(name or f"{self._name}-{number}"), 1
        )
        return self.tracker.record_crash(death, suspects, is_silent, self.now)

    def answer(self, parts: str) -> tuple[crash_causes.Evidence, ...]:
        return self.tracker.record_survival(_traits(parts), self.now)

    def holds(self, parts: str) -> bool:
        return self.tracker.find_cause(_traits(parts), self.now) is not None


def _traits(parts: str) -> frozenset[crash_causes.Trait]:
    return frozenset(map(crash_causes.part_trait, parts))


def _causes(vm: _Vm) -> list[str]:
    return [str(cause) for cause in vm.tracker.held_causes]


class TestHolding:
    def test_part_is_held_back_after_three_crashes(self) -> None:
        vm = _Vm()
        for _crash in range(2):
            vm.crash("sp")
            assert not vm.holds("sp")
        vm.answer("s")
        vm.crash("sp")
        assert _causes(vm) == ["part:p"]
        assert vm.holds("pq") and not vm.holds("sq")

    @pytest.mark.parametrize("count", [0, 1, 10, 60])
    def test_sound_requests_on_the_same_engines_stay_free(
        self, count: int
    ) -> None:
        """Each shares the first part and one of five others."""
        vm = _Vm()
        rng = random.Random(count)
        for part in "abcde":
            vm.answer("s" + part)
        for _crash in range(5):
            beside = ["s" + rng.choice("abcde") for _number in range(count)]
            vm.crash("spa", *beside)
        assert _causes(vm) == ["part:p"]
        assert not any(vm.holds("s" + part) for part in "abcde")

    def test_parts_never_answered_are_told_apart_by_their_crashes(
        self,
    ) -> None:
        """No request has been answered yet, as at the start of a day."""
        vm = _Vm()
        for part in "abcabc":
            vm.crash("p" + part)
        assert _causes(vm) == ["part:p"]
        assert not vm.holds("a")

    def test_parts_that_always_come_together_are_held_only_together(
        self,
    ) -> None:
        vm = _Vm()
        for _crash in range(3):
            vm.crash("pq")
        assert _causes(vm) == ["part:p+part:q"]
        assert vm.holds("pq") and not vm.holds("q")
        vm.answer("q")
        assert _causes(vm) == ["part:p"]

    def test_parts_of_different_requests_are_told_apart_by_one_more_crash(
        self,
    ) -> None:
        vm = _Vm()
        for _crash in range(3):
            vm.crash("p", "q")
        assert _causes(vm) == []
        vm.crash("p")
        assert _causes(vm) == ["part:p"]

    def test_parts_of_different_requests_are_all_held_back_in_the_end(
        self,
    ) -> None:
        vm = _Vm()
        for _crash in range(4):
            vm.crash("p", "q")
        assert vm.holds("p") and vm.holds("q")

    def test_two_parts_that_crash_engines_are_both_found(self) -> None:
        vm = _Vm()
        vm.answer("s")
        for part in "pqpqpq":
            vm.crash("s" + part)
        assert sorted(_causes(vm)) == ["part:p", "part:q"]

    def test_one_request_alone_does_not_incriminate_a_part(self) -> None:
        """A request may run into several losses that it has not caused."""
        vm = _Vm()
        request = crash_causes.SuspectRequest("r", _traits("p"))
        for number in range(5):
            vm.wait(1)
            death = crash_causes.Death(model.EndpointId(f"e{number}"), 1)
            vm.tracker.record_crash(death, [request], False, vm.now)
        assert not vm.holds("p")

    def test_repeated_request_is_held_back(self) -> None:
        vm = _Vm()
        traits = frozenset((crash_causes.request_trait("f"),))
        request = crash_causes.SuspectRequest("r", traits)
        for number in range(3):
            assert vm.tracker.find_cause(traits, vm.now) is None
            vm.wait(1)
            death = crash_causes.Death(model.EndpointId(f"e{number}"), 1)
            vm.tracker.record_crash(death, [request], False, vm.now)
        assert vm.tracker.find_cause(traits, vm.now) is not None


class TestOtherTrouble:
    def test_request_on_a_long_pipeline_that_is_lost_is_not_held_back(
        self,
    ) -> None:
        """A VM may know no other request on the engines of a rack."""
        vm = _Vm()
        traits = frozenset((crash_causes.request_trait("r"),))
        for number in range(5):
            vm.wait(0.03)
            suspect = crash_causes.SuspectRequest("r", traits)
            death = crash_causes.Death(model.EndpointId(f"e{number}"), 1)
            vm.tracker.record_crash(death, [suspect], False, vm.now)
        assert _causes(vm) == []

    def test_rack_that_is_lost_at_once_holds_nothing_back(self) -> None:
        vm = _Vm()
        for number in range(8):
            vm.crash(*("p" if number % 2 else "q"), pause=0.01)
        assert _causes(vm) == []

    def test_endpoints_that_fall_silent_together_hold_nothing_back(
        self,
    ) -> None:
        """They are found one after the other."""
        vm = _Vm()
        for _loss in range(8):
            vm.crash("p", "p", is_silent=True, pause=0.3)
        assert _causes(vm) == []

    def test_silent_crashes_that_go_on_are_held_back(self) -> None:
        vm = _Vm()
        for _crash in range(3):
            vm.crash("p", is_silent=True, pause=2.1)
        assert vm.holds("p")

    def test_part_that_is_answered_in_between_is_not_held_back(self) -> None:
        vm = _Vm()
        for _crash in range(20):
            vm.crash("p")
            vm.answer("p")
        assert _causes(vm) == []

    def test_part_answered_lately_needs_more_crashes(self) -> None:
        vm = _Vm()
        vm.answer("p")
        for _crash in range(5):
            vm.crash("p")
        assert not vm.holds("p")
        vm.crash("p")
        assert vm.holds("p")


class TestRelease:
    def test_part_is_free_at_once_when_it_is_answered(self) -> None:
        vm = _Vm()
        for _crash in range(5):
            vm.crash("p")
        vm.tracker.take_changes()
        vm.answer("p")
        assert not vm.holds("p")
        (change,) = vm.tracker.take_changes()
        assert not change.is_held
        assert change.reason == "a request with part:p was answered"

    def test_part_is_free_once_silent_endpoints_are_heard_again(
        self,
    ) -> None:
        vm = _Vm()
        deaths = {
            mark.death
            for name in "abcd"
            for item in vm.crash("sp", name=name, is_silent=True, pause=3)
            for mark in item.marks
        }
        vm.answer("s")
        assert vm.holds("sp")
        assert vm.tracker.record_recovery(deaths, vm.now)
        assert not vm.holds("sp")
        # They end after all.
        for name in "abcd":
            vm.crash("sp", name=name, pause=3)
        assert vm.holds("sp")

    def test_crash_is_not_withdrawn_if_its_end_is_proven(self) -> None:
        vm = _Vm()
        deaths = {
            mark.death
            for name in "abc"
            for item in vm.crash("sp", name=name, is_silent=False)
            for mark in item.marks
        }
        assert not vm.tracker.record_recovery(deaths, vm.now)

    @pytest.mark.parametrize(("crashes", "seconds"), [(3, 60), (5, 600)])
    def test_part_is_free_after_a_time(
        self, crashes: int, seconds: float
    ) -> None:
        vm = _Vm()
        for _crash in range(crashes):
            vm.crash("p")
        vm.wait(seconds - 1)
        assert vm.holds("p")
        vm.wait(1)
        assert not vm.holds("p")

    def test_part_tried_again_is_held_back_after_one_crash(self) -> None:
        vm = _Vm()
        for _crash in range(3):
            vm.crash("p")
        vm.wait(61)
        assert not vm.holds("p")
        vm.crash("p")
        assert vm.holds("p")
        vm.wait(61)
        vm.crash("p")
        vm.wait(300)
        assert vm.holds("p")

    def test_part_wrongly_suspected_is_free_when_the_cause_is_known(
        self,
    ) -> None:
        vm = _Vm()
        for _crash in range(3):
            vm.crash("pq")
        vm.crash("p")
        assert _causes(vm) == ["part:p"]
        assert not vm.holds("q")


class TestMerging:
    def _news(self) -> list[crash_causes.Evidence]:
        """Return what three VMs report on a part and on a sound one."""
        vms = [_Vm(f"vm{number}") for number in range(3)]
        news: list[crash_causes.Evidence] = []
        for number, vm in enumerate(vms):
            news += vm.crash("sp", name=f"e{number}", pause=number + 1.0)
            news += vm.answer("s")
        return news

    def test_order_and_repetition_make_no_difference(self) -> None:
        outcomes = set()
        for seed in range(20):
            news = self._news() * 2
            random.Random(seed).shuffle(news)
            vm = _Vm()
            vm.wait(4)
            for item in news:
                vm.tracker.merge((item,), vm.now)
            outcomes.add(tuple(_causes(vm)))
        assert outcomes == {("part:p",)}

    def test_withdrawal_may_come_before_the_loss(self) -> None:
        vm = _Vm("a")
        losses = [
            item
            for name in "abcd"
            for item in vm.crash("sp", name=name, is_silent=True, pause=3)
        ]
        deaths = {mark.death for item in losses for mark in item.marks}
        withdrawals = vm.tracker.record_recovery(deaths, vm.now)
        other = _Vm("b")
        other.now = vm.now
        other.tracker.merge(withdrawals, vm.now)
        other.tracker.merge(losses, vm.now)
        assert not other.holds("sp")
        assert other.tracker.snapshot() == ()

    def test_known_evidence_is_not_passed_on(self) -> None:
        vm = _Vm()
        vm.wait(4)
        news = self._news()
        assert vm.tracker.merge(news, vm.now)
        assert vm.tracker.merge(news, vm.now) == ()

    def test_vm_that_starts_later_learns_what_is_held_back(self) -> None:
        vm, late = _Vm(), _Vm()
        for _crash in range(3):
            vm.crash("p")
        late.wait(4)
        late.tracker.merge(vm.tracker.snapshot(), late.now)
        assert late.holds("p")

    def test_vm_that_has_seen_answers_vouches_for_a_part(self) -> None:
        first, second = _Vm("a"), _Vm("b")
        second.answer("s")
        second.wait(1)
        fresh = second.tracker.merge(first.crash("s"), second.now)
        assert [item.is_sound for item in fresh] == [True]

    def test_evidence_survives_the_wire(self) -> None:
        news = tuple(self._news())
        raw = msgspec.msgpack.encode(news)
        decoded = msgspec.msgpack.decode(
            raw, type=tuple[crash_causes.Evidence, ...]
        )
        assert decoded == news


class TestBounds:
    def test_flood_of_fresh_parts_leaves_the_cause_in_force(self) -> None:
        vm = _Vm()
        for _crash in range(3):
            vm.crash("p")
        for flood in range(200):
            fresh = [chr(1000 + flood * 60 + number) for number in range(60)]
            vm.crash(*fresh, pause=0.01)
        assert vm.holds("p")
        assert len(vm.tracker._evidence) <= 2048
        assert len(vm.tracker.snapshot()) <= 512

    def test_flood_of_answered_parts_is_forgotten(self) -> None:
        vm = _Vm()
        for number in range(100_000):
            trait = crash_causes.part_trait(str(number))
            vm.tracker.record_survival((trait,), vm.now)
        assert len(vm.tracker._sound_parts) <= 4096

    def test_many_crashes_of_one_part_keep_the_latest(self) -> None:
        vm = _Vm()
        for _crash in range(100):
            vm.crash("p")
        (item,) = vm.tracker._evidence.values()
        assert len(item.marks) <= 16
        assert item.marks[-1].at == vm.now


class TestSuspicion:
    @pytest.mark.parametrize(
        ("crashes", "expected"), [(0, False), (1, False), (2, True)]
    )
    def test_part_is_suspected_after_two_crashes(
        self, crashes: int, expected: bool
    ) -> None:
        vm = _Vm()
        for _crash in range(crashes):
            vm.crash("p")
        request = crash_causes.SuspectRequest("r", _traits("p"))
        assert vm.tracker.is_suspected(request) is expected

    def test_request_is_not_suspected_for_its_own_losses(self) -> None:
        """Several engines of its pipeline may be lost, as with a zone."""
        vm = _Vm()
        request = crash_causes.SuspectRequest("r", _traits("p"))
        for number in range(4):
            vm.wait(0.3)
            death = crash_causes.Death(model.EndpointId(f"e{number}"), 1)
            vm.tracker.record_crash(death, [request], True, vm.now)
        assert not vm.tracker.is_suspected(request)

    def test_losses_at_one_time_make_no_suspect(self) -> None:
        vm = _Vm()
        for _loss in range(4):
            vm.crash("p", pause=0.01)
        request = crash_causes.SuspectRequest("r", _traits("p"))
        assert not vm.tracker.is_suspected(request)
