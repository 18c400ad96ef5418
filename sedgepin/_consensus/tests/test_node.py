"""Scripted failures of the replicated log."""

from sedgepin._consensus.tests import cluster


class TestTakeover:
    def test_leader_death_loses_nothing(self) -> None:
        several = cluster.Cluster(3)
        leader = several.elect().name
        several.propose(leader, 5)
        several.run(20)
        assert len(several.acknowledged) == 5
        several.kill(leader)
        successor = several.elect()
        assert successor.applied == several.acknowledged
        several.settle()

    def test_lost_disk_returns_as_new_member(self) -> None:
        several = cluster.Cluster(3)
        leader = several.elect().name
        several.propose(leader, 5)
        several.run(20)
        before = several.configuration
        several.kill(leader)
        several.lose_disk(leader)
        several.settle()
        assert len(set(before.voters) & set(several.configuration.voters)) == 2
