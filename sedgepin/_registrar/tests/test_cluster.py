"""Tests of configurations and members over several control VMs."""

import pytest

from sedgepin import _model as model
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar.tests import cluster as clusters

_READ = _events.ConfigurationRead


class TestConfiguration:
    @pytest.mark.parametrize("written_at", "abc")
    @pytest.mark.parametrize("read_at", "abc")
    def test_written_and_read_at_any_vm(
        self, cluster: clusters.Cluster, written_at: str, read_at: str
    ) -> None:
        written = cluster.publish(model.VmId(written_at), 7)
        cluster.run(0.2)
        assert isinstance(cluster.outcomes[written], _effects.Acknowledge)
        read = cluster.ask(model.VmId(read_at), _READ)
        cluster.run(0.3)
        shown = cluster.outcomes[read]
        assert isinstance(shown, _effects.ShowConfiguration)
        assert shown.document == clusters.document(7)

    def test_lower_version_is_acknowledged_and_changes_nothing(
        self, cluster: clusters.Cluster
    ) -> None:
        cluster.publish(cluster.leader(), 7)
        late = cluster.publish(cluster.leader(), 6)
        read = cluster.ask(cluster.leader(), _READ)
        cluster.run(0.2)
        assert isinstance(cluster.outcomes[late], _effects.Acknowledge)
        shown = cluster.outcomes[read]
        assert isinstance(shown, _effects.ShowConfiguration)
        assert shown.document == clusters.document(7)

    def test_isolated_vm_neither_writes_nor_reads(
        self, cluster: clusters.Cluster
    ) -> None:
        cluster.publish(cluster.leader(), 7)
        cut_off = cluster.leader()
        cluster.isolate(cut_off)
        cluster.run(2)
        for asked in (
            cluster.ask(cut_off, _READ),
            cluster.publish(cut_off, 8),
        ):
            cluster.run(1.2)
            refused = cluster.outcomes[asked]
            assert isinstance(refused, _effects.Refuse)
            assert refused.failure.http_status in (503, 504)
        assert cluster.leader() != cut_off

    def test_survives_the_loss_of_a_disk_and_of_all_power(
        self, cluster: clusters.Cluster
    ) -> None:
        written = cluster.publish(cluster.leader(), 7)
        cluster.run(0.1)
        assert isinstance(cluster.outcomes[written], _effects.Acknowledge)
        for one in cluster.seeds:
            cluster.stop(one, loses_disk=one == "b")
        for one in cluster.seeds:
            cluster.start(one)
        cluster.run(5)
        for one in cluster.seeds:
            read = cluster.ask(one, _READ)
            cluster.run(0.3)
            shown = cluster.outcomes[read]
            assert isinstance(shown, _effects.ShowConfiguration)
            assert shown.document == clusters.document(7)

    def test_vm_without_a_disk_founds_no_second_system(
        self, cluster: clusters.Cluster
    ) -> None:
        cluster.publish(cluster.leader(), 7)
        for one in cluster.seeds:
            cluster.stop(one, loses_disk=True)
        for one in cluster.seeds:
            cluster.start(one)
        cluster.run(5)
        read = cluster.ask(model.VmId("a"), _READ)
        cluster.run(1.2)
        assert isinstance(cluster.outcomes[read], _effects.Refuse)


class TestSnapshot:
    def test_state_that_is_restored_is_in_force_and_shown(
        self, cluster: clusters.Cluster
    ) -> None:
        leader = cluster.leader()
        cluster.publish(leader, 7)
        cluster.run(0.2)
        state = cluster.up[leader]._configurations.ledger.dump()
        other = clusters.Cluster()
        other.run(2)
        restored = other.up[other.leader()]._configurations
        restored.restore(state, other.now)
        assert restored.table is not None
        assert restored.table.configuration.version == 7
        read = other.ask(other.leader(), _READ)
        shown = other.outcomes[read]
        assert isinstance(shown, _effects.ShowConfiguration)
        assert shown.document == clusters.document(7)


class TestMembers:
    def test_newcomer_takes_the_place_of_a_vm_that_is_gone(
        self, cluster: clusters.Cluster
    ) -> None:
        cluster.publish(cluster.leader(), 7)
        gone = cluster.leader()
        cluster.stop(gone, loses_disk=True)
        newcomer = model.VmId("d")
        cluster.start(newcomer)
        cluster.run(15)
        members = cluster.up[cluster.leader()].raft.members
        voters = {one.vm_id for one in members.voters}
        assert voters == {*cluster.seeds, newcomer} - {gone}
        read = cluster.ask(newcomer, _READ)
        cluster.run(0.3)
        shown = cluster.outcomes[read]
        assert isinstance(shown, _effects.ShowConfiguration)

    def test_a_disk_may_be_lost_soon_after_a_replacement(
        self, cluster: clusters.Cluster
    ) -> None:
        """Day file ``control``: nobody led after the second loss."""
        cluster.publish(cluster.leader(), 7)
        gone = cluster.leader()
        cluster.stop(gone, loses_disk=True)
        cluster.run(1)
        cluster.start(model.VmId("d"))
        cluster.run(5)
        second = cluster.leader()
        cluster.stop(second, loses_disk=True)
        cluster.start(second)
        cluster.run(4)
        read = cluster.ask(cluster.leader(), _READ)
        cluster.run(0.3)
        shown = cluster.outcomes[read]
        assert isinstance(shown, _effects.ShowConfiguration)

    def test_vm_that_was_replaced_comes_back(
        self, cluster: clusters.Cluster
    ) -> None:
        gone = cluster.leader()
        cluster.stop(gone)
        cluster.start(model.VmId("d"))
        cluster.run(15)
        cluster.start(gone)
        cluster.run(5)
        members = cluster.up[cluster.leader()].raft.members
        assert gone in {one.vm_id for one in members.voters}
