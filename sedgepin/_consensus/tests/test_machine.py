"""Stateful test of a Raft cluster under random faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sedgepin import _consensus as consensus
from sedgepin._consensus.tests import cluster

_VM_INDICES = strategies.integers(0, 4)
_RATES = strategies.sampled_from((0.975, 1.0, 1.025))


class RaftClusterMachine(stateful.RuleBasedStateMachine):
    """Injects faults; ``Cluster`` checks the invariants after each event."""

    @stateful.initialize(
        size=strategies.integers(3, 5),
        seed=strategies.integers(0, 2**32),
        rates=strategies.lists(_RATES, min_size=3, max_size=5),
    )
    def start_cluster(self, size: int, seed: int, rates: list[float]) -> None:
        self.cluster = cluster.Cluster(
            size,
            seed,
            rates,
            snapshot_after_entries=12,
            trailing_entries=3,
            snapshot_chunk_bytes=64,
        )
        self.cluster.run_until_leader()

    def _name(self, vm_index: int) -> str:
        return f"vm-{vm_index % len(self.cluster.vms)}"

    @stateful.rule(milliseconds=strategies.integers(1, 60))
    def run_briefly(self, milliseconds: int) -> None:
        self.cluster.run(milliseconds)

    @stateful.rule(milliseconds=strategies.integers(200, 1500))
    def run_long(self, milliseconds: int) -> None:
        self.cluster.run(milliseconds)

    @stateful.rule(count=strategies.integers(1, 9))
    def propose(self, count: int) -> None:
        for name, vm in self.cluster.vms.items():
            if vm.node and vm.node.is_leader:
                self.cluster.propose(name, count)

    @stateful.rule(vm_index=_VM_INDICES)
    def kill(self, vm_index: int) -> None:
        self.cluster.kill(self._name(vm_index))

    @stateful.rule(
        vm_index=_VM_INDICES, steps_until_crash=strategies.integers(0, 9)
    )
    def kill_mid_step(self, vm_index: int, steps_until_crash: int) -> None:
        self.cluster.vms[
            self._name(vm_index)
        ].disk.steps_until_crash = steps_until_crash

    @stateful.rule(vm_index=_VM_INDICES)
    def restart(self, vm_index: int) -> None:
        name = self._name(vm_index)
        self.cluster.kill(name)
        self.cluster.start(name)

    @stateful.rule()
    def restart_all_dead(self) -> None:
        for name, vm in self.cluster.vms.items():
            if vm.node is None:
                self.cluster.start(name)

    @stateful.rule(
        vm_index=_VM_INDICES,
        syncs_fail_only=strategies.booleans(),
        truncation_fails=strategies.booleans(),
    )
    def fill_disk(
        self, vm_index: int, syncs_fail_only: bool, truncation_fails: bool
    ) -> None:
        vm = self.cluster.vms[self._name(vm_index)]
        vm.disk.is_full = True
        vm.disk.syncs_fail_only = syncs_fail_only
        vm.disk.truncation_fails = truncation_fails

    @stateful.rule(count=strategies.integers(0, 9))
    def fill_disk_of_leader(self, count: int) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            leader.disk.is_full = True
            self.cluster.propose(leader.name, count)

    @stateful.rule(vm_index=_VM_INDICES)
    def free_disk(self, vm_index: int) -> None:
        self.cluster.vms[self._name(vm_index)].disk.is_full = False

    @stateful.rule(vm_index=_VM_INDICES)
    def lose_disk(self, vm_index: int) -> None:
        name = self._name(vm_index)
        if self.cluster.may_lose_disk(name):
            self.cluster.kill(name)
            self.cluster.lose_disk(name)

    @stateful.rule(sender=_VM_INDICES, recipient=_VM_INDICES)
    def cut_one_way(self, sender: int, recipient: int) -> None:
        self.cluster.blocked_links.add(
            (self._name(sender), self._name(recipient))
        )

    @stateful.rule(vm_index=_VM_INDICES)
    def isolate(self, vm_index: int) -> None:
        self.cluster.isolate(self._name(vm_index))

    @stateful.rule()
    def isolate_leader(self) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.isolate(leader.name)

    @stateful.rule(
        vm_index=_VM_INDICES, milliseconds=strategies.integers(50, 900)
    )
    def cut_link_to_leader(self, vm_index: int, milliseconds: int) -> None:
        """Cut the link from the leader to one VM; others still reach both."""
        leader = self.cluster.leader()
        if leader is not None:
            ends = (leader.name, self._name(vm_index))
            self.cluster.blocked_links = {ends, (ends[1], ends[0])}
            self.cluster.run(milliseconds)

    @stateful.rule()
    def heal(self) -> None:
        self.cluster.blocked_links.clear()

    @stateful.rule(vm_index=_VM_INDICES)
    def freeze(self, vm_index: int) -> None:
        self.cluster.vms[self._name(vm_index)].is_frozen = True

    @stateful.rule()
    def freeze_leader(self) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            leader.is_frozen = True

    @stateful.rule()
    def unfreeze_all(self) -> None:
        for name, vm in self.cluster.vms.items():
            if vm.is_frozen:
                self.cluster.unfreeze(name)

    @stateful.rule(
        loss_rate=strategies.sampled_from((0.0, 0.1, 0.3)),
        duplication_rate=strategies.sampled_from((0.0, 0.3)),
        delay=strategies.sampled_from((500, 20_000, 400_000)),
    )
    def degrade_links(
        self, loss_rate: float, duplication_rate: float, delay: int
    ) -> None:
        self.cluster.loss_rate = loss_rate
        self.cluster.duplication_rate = duplication_rate
        self.cluster.delay_microseconds = delay

    @stateful.rule(vm_index=_VM_INDICES)
    def transfer(self, vm_index: int) -> None:
        leader = self.cluster.leader()
        target = self.cluster.vms[self._name(vm_index)].name
        if leader is not None:
            event = consensus.LeadershipTransferRequested(target)
            self.cluster.handle(leader.name, event)

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.heal_and_converge()


RaftClusterMachine.TestCase.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=50
)
TestRaftClusterMachine = RaftClusterMachine.TestCase
