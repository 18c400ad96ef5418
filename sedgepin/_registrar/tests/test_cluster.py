"""Tests of configurations and endpoints over several control VMs."""

import pytest

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar.tests import cluster as clusters

_READ = _events.ConfigurationRead


def _registration(**changes: object) -> catalog.Registration:
    values: dict[str, object] = {
        "endpoint_id": model.EndpointId("e"),
        "incarnation": 1,
        "sequence": 1,
        "service": model.ServiceName("s"),
        "address": "127.0.0.1:80",
        "data_centre": model.DataCentreId("dc"),
        "state": catalog.EndpointState.READY,
    }
    return catalog.Registration(**{**values, **changes})  # type: ignore


@pytest.fixture
def cluster() -> clusters.Cluster:
    made = clusters.Cluster()
    made.run(2)
    return made


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


class TestPublication:
    """With 66 entries and 6 control VMs every byte is sent 396 times."""

    def _published(
        self, cluster: clusters.Cluster
    ) -> list[protocol.ConfigurationPublished]:
        return [
            message
            for message in cluster.entry
            if isinstance(message, protocol.ConfigurationPublished)
        ]

    def test_entry_of_the_same_data_centre_is_sent_the_whole(
        self, cluster: clusters.Cluster
    ) -> None:
        cluster.listen(cluster.leader())
        cluster.publish(cluster.leader(), 7)
        cluster.run(0.2)
        last = self._published(cluster)[-1]
        assert (last.version, last.confirmed) == (7, True)
        assert catalog.decode(last.configuration).version == 7

    def test_entry_of_another_data_centre_is_told_of_the_version(
        self, cluster: clusters.Cluster
    ) -> None:
        cluster.listen(cluster.leader(), "far")
        cluster.publish(cluster.leader(), 7)
        cluster.run(0.2)
        last = self._published(cluster)[-1]
        assert (last.version, last.configuration) == (7, b"")

    def test_entry_of_another_data_centre_is_sent_what_it_asks_for(
        self, cluster: clusters.Cluster
    ) -> None:
        leader = cluster.leader()
        cluster.listen(leader, "far")
        cluster.publish(leader, 7)
        cluster.run(0.2)
        wanted = protocol.PeerMessageArrived(
            model.VmId("entry"), protocol.ConfigurationWanted(-1)
        )
        cluster.handle(leader, wanted)
        cluster.run(0.1)
        last = self._published(cluster)[-1]
        assert catalog.decode(last.configuration).version == 7

    @pytest.mark.parametrize(
        ("data_centre", "copies"), [("dc", 3), ("far", 1)]
    )
    def test_change_is_passed_on_within_a_data_centre_only(
        self, cluster: clusters.Cluster, data_centre: str, copies: int
    ) -> None:
        for one in cluster.seeds:
            cluster.listen(one, data_centre)
        cluster.register(model.VmId("a"), _registration())
        told = [
            message
            for message in cluster.entry
            if isinstance(message, protocol.RegistrationsSeen)
            and message.changed == (_registration(),)
        ]
        assert len(told) == copies


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


class TestLoad:
    def _sums(self, cluster: clusters.Cluster) -> int:
        return sum(
            isinstance(message, protocol.LoadSummed)
            for message in cluster.entry
        )

    def test_entry_that_reports_elsewhere_is_sent_no_sums(
        self, cluster: clusters.Cluster
    ) -> None:
        """Seen under load: old sums and new ones came by turns."""
        cluster.listen(model.VmId("a"))
        loads = (protocol.EndpointLoad(model.EndpointId("e"), 1, 100),)
        arrived = protocol.PeerMessageArrived(
            model.VmId("entry"), protocol.LoadReported(loads)
        )
        cluster.handle(model.VmId("a"), arrived)
        cluster.run(0.9)
        assert self._sums(cluster) >= 3
        cluster.run(0.3)
        before = self._sums(cluster)
        cluster.run(2)
        assert self._sums(cluster) == before


class TestEndpoints:
    def test_entries_hear_of_a_leaving_endpoint_before_it_does(
        self, cluster: clusters.Cluster
    ) -> None:
        cluster.listen(model.VmId("a"))
        cluster.register(model.VmId("a"), _registration())
        draining = _registration(
            sequence=2, state=catalog.EndpointState.DRAINING
        )
        asked = cluster.register(model.VmId("a"), draining)
        assert isinstance(cluster.outcomes[asked], _effects.Acknowledge)
        changes = [
            word
            for message in cluster.entry
            if isinstance(message, protocol.RegistrationsSeen)
            for word in message.changed
        ]
        assert changes[-1] == draining

    def test_heard_at_another_vm(self, cluster: clusters.Cluster) -> None:
        cluster.listen(model.VmId("a"))
        cluster.register(model.VmId("b"), _registration())
        known = cluster.up[model.VmId("a")].registry.find(
            model.EndpointId("e")
        )
        assert known is not None
        changes = [
            message.changed
            for message in cluster.entry
            if isinstance(message, protocol.RegistrationsSeen)
        ]
        assert (_registration(),) in changes

    def test_isolated_vm_sends_a_leaving_endpoint_elsewhere(
        self, cluster: clusters.Cluster
    ) -> None:
        cut_off = model.VmId("c")
        cluster.register(cut_off, _registration())
        cluster.isolate(cut_off)
        cluster.run(2)
        draining = _registration(
            sequence=2, state=catalog.EndpointState.DRAINING
        )
        asked = cluster.register(cut_off, draining)
        assert isinstance(cluster.outcomes[asked], _effects.Refuse)

    def test_endpoint_is_lost_when_the_leader_finds_it_dead_too(
        self, cluster: clusters.Cluster
    ) -> None:
        leader = cluster.leader()
        cluster.listen(leader)
        cluster.register(leader, _registration())
        failed = protocol.EndpointFailed(model.EndpointId("e"), 1)
        arrived = protocol.PeerMessageArrived(model.VmId("entry"), failed)
        cluster.handle(leader, arrived)
        cluster.handle(leader, arrived)
        checks = [
            one
            for one in cluster.engine_calls
            if isinstance(one, _effects.InspectEngine)
        ]
        assert len(checks) == 1
        inspected = _events.EngineInspected(
            model.EndpointId("e"), 1, None, False
        )
        cluster.handle(leader, inspected)
        cluster.run(0.1)
        assert protocol.EndpointLost(model.EndpointId("e"), 1) in cluster.entry

    def test_plain_service_without_a_report_is_alive(
        self, cluster: clusters.Cluster
    ) -> None:
        leader = cluster.leader()
        cluster.listen(leader)
        cluster.register(leader, _registration())
        failed = protocol.EndpointFailed(model.EndpointId("e"), 1)
        arrived = protocol.PeerMessageArrived(model.VmId("entry"), failed)
        cluster.handle(leader, arrived)
        inspected = _events.EngineInspected(
            model.EndpointId("e"), 1, None, True
        )
        cluster.handle(leader, inspected)
        cluster.run(0.1)
        assert not any(
            isinstance(message, protocol.EndpointLost)
            for message in cluster.entry
        )


class TestReports:
    """The leader asks engines how fast they are, and tells everyone."""

    @pytest.fixture
    def engines(self, cluster: clusters.Cluster) -> clusters.Cluster:
        leader = cluster.leader()
        cluster.publish_document(leader, clusters.model_document(7))
        cluster.listen(leader)
        for number in range(40):
            word = _registration(
                endpoint_id=model.EndpointId(f"e{number}"),
                address=f"127.0.0.1:{number + 80}",
            )
            cluster.register(leader, word)
        cluster.engine_calls.clear()
        return cluster

    def _asked(self, cluster: clusters.Cluster) -> list[str]:
        return [
            one.endpoint_id
            for one in cluster.engine_calls
            if isinstance(one, _effects.InspectEngine)
        ]

    def _report(self, cluster: clusters.Cluster, slowness: float) -> None:
        report = _events.EngineReport(1, None, False, 0, slowness)
        inspected = _events.EngineInspected(
            model.EndpointId("e0"), 1, report, True
        )
        cluster.handle(cluster.leader(), inspected)
        cluster.run(0.05)

    def _told(self, cluster: clusters.Cluster) -> list[protocol.EndpointPaced]:
        return [
            one
            for one in cluster.entry
            if isinstance(one, protocol.EndpointPaced)
        ]

    def test_each_engine_is_asked_once_a_second_and_not_at_once(
        self, engines: clusters.Cluster
    ) -> None:
        engines.run(0.05)
        assert 0 < len(self._asked(engines)) <= 4
        engines.run(0.95)
        asked = self._asked(engines)
        assert len(set(asked)) == 40
        engines.run(1)
        assert len(self._asked(engines)) <= 84

    def test_slow_engine_is_told_of_once(
        self, engines: clusters.Cluster
    ) -> None:
        self._report(engines, 12.0)
        self._report(engines, 12.5)
        paced = protocol.EndpointPaced(model.EndpointId("e0"), 1, 12.0)
        assert self._told(engines) == [paced]
        self._report(engines, 1.0)
        assert self._told(engines)[-1].slowness == 1.0

    @pytest.mark.parametrize("reported", [0.0, -3.0, 0.4])
    def test_no_engine_is_taken_to_be_faster_than_its_kind(
        self, engines: clusters.Cluster, reported: float
    ) -> None:
        self._report(engines, reported)
        assert self._told(engines) == []

    def test_entry_that_comes_later_hears_of_it(
        self, engines: clusters.Cluster
    ) -> None:
        self._report(engines, 12.0)
        engines.entry.clear()
        engines.listen(engines.leader())
        engines.run(0.05)
        assert [one.slowness for one in self._told(engines)] == [12.0]

    def test_its_heartbeats_do_not_make_it_fast(
        self, engines: clusters.Cluster
    ) -> None:
        self._report(engines, 12.0)
        word = _registration(
            endpoint_id=model.EndpointId("e0"),
            address="127.0.0.1:80",
            sequence=2,
        )
        engines.register(engines.leader(), word)
        registry = engines.up[engines.leader()].registry
        known = registry.find(model.EndpointId("e0"))
        assert known is not None and known.slowness == 12.0

    def test_endpoints_without_a_model_are_not_asked(
        self, cluster: clusters.Cluster
    ) -> None:
        cluster.publish(cluster.leader(), 7)
        cluster.register(cluster.leader(), _registration())
        cluster.run(2)
        assert self._asked(cluster) == []
