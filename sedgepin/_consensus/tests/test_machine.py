"""A state machine that breaks a cluster in every way it can."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sedgepin import _consensus as consensus
from sedgepin._consensus.tests import cluster

_NAMES = strategies.integers(0, 4)
_RATES = strategies.sampled_from((0.975, 1.0, 1.025))


class LogMachine(stateful.RuleBasedStateMachine):
    """Its checks are those of ``Cluster``, after each effect."""

    @stateful.initialize(
        size=strategies.integers(3, 5),
        seed=strategies.integers(0, 2**32),
        rates=strategies.lists(_RATES, min_size=3, max_size=5),
    )
    def found(self, size: int, seed: int, rates: list[float]) -> None:
        self.cluster = cluster.Cluster(
            size,
            seed,
            rates,
            snapshot_after_entries=12,
            trailing_entries=3,
            snapshot_chunk_bytes=64,
        )
        self.cluster.elect()

    def _name(self, place: int) -> str:
        return f"vm-{place % len(self.cluster.vms)}"

    @stateful.rule(milliseconds=strategies.integers(1, 60))
    def run_shortly(self, milliseconds: int) -> None:
        self.cluster.run(milliseconds)

    @stateful.rule(milliseconds=strategies.integers(200, 1500))
    def run_long(self, milliseconds: int) -> None:
        self.cluster.run(milliseconds)

    @stateful.rule(count=strategies.integers(1, 9))
    def propose(self, count: int) -> None:
        for name, vm in self.cluster.vms.items():
            if vm.node and vm.node.is_leader:
                self.cluster.propose(name, count)

    @stateful.rule(place=_NAMES)
    def kill(self, place: int) -> None:
        self.cluster.kill(self._name(place))

    @stateful.rule(place=_NAMES, fuse=strategies.integers(0, 9))
    def kill_in_a_step(self, place: int, fuse: int) -> None:
        self.cluster.vms[self._name(place)].disk.fuse = fuse

    @stateful.rule(place=_NAMES)
    def restart(self, place: int) -> None:
        name = self._name(place)
        self.cluster.kill(name)
        self.cluster.start(name)

    @stateful.rule()
    def restart_all_dead(self) -> None:
        for name, vm in self.cluster.vms.items():
            if vm.node is None:
                self.cluster.start(name)

    @stateful.rule(place=_NAMES)
    def lose_disk(self, place: int) -> None:
        name = self._name(place)
        if self.cluster.may_lose_disk(name):
            self.cluster.kill(name)
            self.cluster.lose_disk(name)

    @stateful.rule(sender=_NAMES, recipient=_NAMES)
    def cut_one_way(self, sender: int, recipient: int) -> None:
        self.cluster.cuts.add((self._name(sender), self._name(recipient)))

    @stateful.rule(place=_NAMES)
    def isolate(self, place: int) -> None:
        self.cluster.isolate(self._name(place))

    @stateful.rule()
    def isolate_leader(self) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.isolate(leader.name)

    @stateful.rule(place=_NAMES, milliseconds=strategies.integers(50, 900))
    def part_from_leader(self, place: int, milliseconds: int) -> None:
        """Cut one link both ways; the others hear both of its ends."""
        leader = self.cluster.leader()
        if leader is not None:
            ends = (leader.name, self._name(place))
            self.cluster.cuts = {ends, (ends[1], ends[0])}
            self.cluster.run(milliseconds)

    @stateful.rule()
    def heal(self) -> None:
        self.cluster.cuts.clear()

    @stateful.rule(place=_NAMES)
    def freeze(self, place: int) -> None:
        self.cluster.vms[self._name(place)].is_frozen = True

    @stateful.rule()
    def freeze_leader(self) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            leader.is_frozen = True

    @stateful.rule()
    def wake_all(self) -> None:
        for name, vm in self.cluster.vms.items():
            if vm.is_frozen:
                self.cluster.wake(name)

    @stateful.rule(
        loss=strategies.sampled_from((0.0, 0.1, 0.3)),
        doubling=strategies.sampled_from((0.0, 0.3)),
        delay=strategies.sampled_from((500, 20_000, 400_000)),
    )
    def spoil_links(self, loss: float, doubling: float, delay: int) -> None:
        self.cluster.loss = loss
        self.cluster.doubling = doubling
        self.cluster.delay_microseconds = delay

    @stateful.rule(place=_NAMES)
    def transfer(self, place: int) -> None:
        leader = self.cluster.leader()
        target = self.cluster.vms[self._name(place)].name
        if leader is not None:
            event = consensus.LeadershipTransferRequested(target)
            self.cluster.give(leader.name, event)

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.settle()


LogMachine.TestCase.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=50
)
TestLogMachine = LogMachine.TestCase
