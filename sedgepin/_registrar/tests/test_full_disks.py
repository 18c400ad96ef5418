"""Tests of control VMs whose disks are full, one after another.

Operators go on to another VM if a call is refused or not answered.
"""

import random

import pytest

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar.tests import cluster as clusters

# The bound on a confirmation while the core is stable.
_CONFIRMATION_SECONDS = 4.0
_ANSWER_SECONDS = 1.0
_STEP_SECONDS = 0.05


class _Operator:
    """Publishes versions, each until it is confirmed, and reads them."""

    def __init__(self, cluster: clusters.Cluster, rng: random.Random) -> None:
        self.cluster = cluster
        self.version = 0
        self._rng = rng

    def publish(self) -> float:
        """Publish the next version; return the seconds to its confirmation."""
        self.version += 1
        started = self.cluster.now
        while not self._call():
            elapsed = (self.cluster.now - started).total_seconds()
            assert elapsed < 3 * _CONFIRMATION_SECONDS, self.version
        return (self.cluster.now - started).total_seconds()

    def _call(self) -> bool:
        cluster = self.cluster
        if not cluster.running:
            cluster.run(_STEP_SECONDS)
            return False
        vm_id = self._rng.choice(sorted(cluster.running))
        exchange_id = cluster.publish(vm_id, self.version)
        for _ in range(round(_ANSWER_SECONDS / _STEP_SECONDS)):
            if exchange_id in cluster.responses:
                break
            cluster.run(_STEP_SECONDS)
        answer = cluster.responses.get(exchange_id)
        if not isinstance(answer, _effects.Acknowledge):
            cluster.run(_STEP_SECONDS)
        return isinstance(answer, _effects.Acknowledge)

    def read(self, vm_id: model.VmId) -> int:
        """Return the version that a VM reads back."""
        exchange_id = self.cluster.read(vm_id, _events.ConfigurationRead)
        self.cluster.run(_ANSWER_SECONDS)
        answer = self.cluster.responses[exchange_id]
        assert isinstance(answer, _effects.RespondWithConfiguration), answer
        return catalog.decode(answer.document).version


class _Day:
    """Disks that are full in turn while an operator publishes."""

    def __init__(self, seeds: str, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = clusters.Cluster(seeds)
        self.cluster.run(2)
        self.operator = _Operator(self.cluster, self.rng)
        self.slowest_seconds = 0.0

    def publish_for(self, seconds: float) -> None:
        """Publish one version after another."""
        end = self.cluster.now.timestamp() + seconds
        while self.cluster.now.timestamp() < end:
            elapsed = self.operator.publish()
            self.slowest_seconds = max(self.slowest_seconds, elapsed)
            self.cluster.run(self.rng.choice((_STEP_SECONDS, 0.3)))

    def fill_disk(self, vm_id: model.VmId, restarts: bool = False) -> None:
        """Have a VM's disk full for a while, maybe around a restart."""
        disk = self.cluster.disks[vm_id]
        disk.is_full = True
        disk.syncs_fail_only = self.rng.random() < 0.3
        disk.truncation_fails = self.rng.random() < 0.3
        if restarts:
            self.publish_for(0.3)
            self.cluster.stop(vm_id)
            self.cluster.run(0.2)
            self.cluster.start(vm_id)
        self.publish_for(self.rng.choice((0.5, 1.5, 3.0, 8.0)))
        disk.is_full = False
        self.publish_for(self.rng.choice((0.5, 2.0, 3.0)))

    def victims(self) -> list[model.VmId]:
        order = list(self.cluster.seeds)
        self.rng.shuffle(order)
        return order


@pytest.mark.parametrize("seeds", ["abc", "abcde"])
class TestDisksThatAreFullInTurn:
    @pytest.mark.parametrize("seed", range(6))
    def test_changes_are_confirmed_in_time_and_kept(
        self, seeds: str, seed: int
    ) -> None:
        day = _Day(seeds, seed)
        day.publish_for(1)
        for vm_id in day.victims():
            day.fill_disk(vm_id)
            leaders = [
                leader
                for leader, reducer in day.cluster.running.items()
                if reducer.raft.is_leader
            ]
            day.fill_disk(day.rng.choice(leaders))
        assert day.slowest_seconds < _CONFIRMATION_SECONDS
        self._check_all_agree(day)

    @pytest.mark.parametrize("seed", range(4))
    def test_changes_are_confirmed_beside_restarts_on_full_disks(
        self, seeds: str, seed: int
    ) -> None:
        day = _Day(seeds, seed)
        day.publish_for(1)
        for vm_id in day.victims():
            day.fill_disk(vm_id, restarts=True)
        assert day.slowest_seconds < _CONFIRMATION_SECONDS
        self._check_all_agree(day)

    @pytest.mark.parametrize("seed", range(4))
    def test_changes_are_confirmed_after_a_cut_of_a_vm_with_a_full_disk(
        self, seeds: str, seed: int
    ) -> None:
        day = _Day(seeds, seed)
        day.publish_for(1)
        for vm_id in day.victims():
            day.cluster.disks[vm_id].is_full = True
            day.publish_for(0.5)
            day.cluster.isolate(vm_id)
            day.cluster.run(day.rng.choice((0.5, 3.0)))
            day.cluster.disks[vm_id].is_full = False
            day.cluster.run(day.rng.choice((0.0, 1.0)))
            day.cluster.cut_links.clear()
            day.cluster.run(1)
        day.slowest_seconds = 0.0
        day.publish_for(3)
        assert day.slowest_seconds < _CONFIRMATION_SECONDS
        self._check_all_agree(day)

    def _check_all_agree(self, day: _Day) -> None:
        """Check also after a loss of power of all VMs."""
        cluster, version = day.cluster, day.operator.version
        cluster.run(4)
        for vm_id in cluster.seeds:
            assert day.operator.read(vm_id) == version
            assert cluster.running[vm_id].raft.members.voters
        commits = {
            reducer.raft.commit_index for reducer in cluster.running.values()
        }
        assert len(commits) == 1
        voters = cluster.running[cluster.leader()].raft.members.voters
        assert {voter.vm_id for voter in voters} == set(cluster.seeds)
        for vm_id in cluster.seeds:
            cluster.stop(vm_id)
            cluster.disks[vm_id].lose_power()
        for vm_id in cluster.seeds:
            cluster.start(vm_id)
        cluster.run(4)
        for vm_id in cluster.seeds:
            assert day.operator.read(vm_id) == version


class TestVmWithFullDisk:
    def _start(self) -> tuple[clusters.Cluster, model.VmId]:
        cluster = clusters.Cluster()
        cluster.run(2)
        leader = cluster.leader()
        cluster.publish(leader, 1)
        cluster.run(0.2)
        return cluster, leader

    def test_another_vm_leads_before_an_election_timeout(self) -> None:
        cluster, leader = self._start()
        cluster.disks[leader].is_full = True
        cluster.publish(leader, 2)
        cluster.run(0.25)
        assert cluster.leader() != leader

    def test_open_change_is_answered_as_unknown_at_once(self) -> None:
        cluster, leader = self._start()
        cluster.disks[leader].is_full = True
        exchange_id = cluster.publish(leader, 2)
        answer = cluster.responses[exchange_id]
        assert isinstance(answer, _effects.RespondWithFailure)
        assert answer.failure.code == "fate_unknown"

    def test_changes_sent_to_it_are_confirmed(self) -> None:
        cluster, leader = self._start()
        cluster.disks[leader].is_full = True
        cluster.publish(leader, 2)
        cluster.run(1)
        exchange_id = cluster.publish(leader, 3)
        cluster.run(0.5)
        answer = cluster.responses[exchange_id]
        assert answer == _effects.Acknowledge(exchange_id)

    def test_it_does_not_acknowledge_entries_or_vote(self) -> None:
        cluster, leader = self._start()
        others = [vm_id for vm_id in cluster.seeds if vm_id != leader]
        cluster.stop(others[0])
        cluster.disks[others[1]].is_full = True
        exchange_id = cluster.publish(leader, 2)
        cluster.run(3)
        assert cluster.responses[exchange_id] != _effects.Acknowledge(
            exchange_id
        )
        assert not any(
            reducer.raft.holds_lease(cluster.now)
            for reducer in cluster.running.values()
        )

    def test_entries_are_told_to_use_another_vm(self) -> None:
        """Its own configuration may be out of date, though it has a leader."""
        cluster, leader = self._start()
        cluster.connect_entry(leader)
        cluster.disks[leader].is_full = True
        cluster.publish(leader, 2)
        cluster.run(1)
        assert cluster.running[leader].raft.leader_id is not None
        report = protocol.LoadReported(
            (protocol.EndpointLoad(model.EndpointId("e"), 1, 100),)
        )
        cluster.handle(
            leader, protocol.PeerMessageReceived(model.VmId("entry"), report)
        )
        cluster.run(0.9)
        sums = [
            message
            for message in cluster.entry_messages
            if isinstance(message, protocol.LoadSummed)
        ]
        assert sums
        assert not any(message.knows_leader for message in sums)


class TestOnlyControlVm:
    """A system with one control VM, which commits what it appends at once."""

    def test_entry_gets_no_configuration_that_a_restart_loses(self) -> None:
        cluster = clusters.Cluster("a")
        vm_id = model.VmId("a")
        cluster.run(2)
        cluster.publish(vm_id, 1)
        cluster.disks[vm_id].is_full = True
        cluster.publish(vm_id, 2)
        cluster.run(1)
        cluster.connect_entry(vm_id)
        cluster.run(1)
        cluster.stop(vm_id)
        cluster.disks[vm_id].is_full = False
        cluster.start(vm_id)
        cluster.run(3)
        ledger = cluster.running[vm_id]._configurations.ledger
        obeyed = [
            message.version
            for message in cluster.entry_messages
            if isinstance(message, protocol.ConfigurationPublished)
        ]
        assert max(obeyed, default=0) <= ledger.version
