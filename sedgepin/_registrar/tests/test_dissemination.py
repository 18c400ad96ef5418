"""Tests of what control VMs learn of endpoints and tell their peers."""

import pytest

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar.tests import cluster as clusters


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
        wanted = protocol.PeerMessageReceived(
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
        cluster.register(model.VmId("a"), clusters.registration())
        told = [
            message
            for message in cluster.entry
            if isinstance(message, protocol.RegistrationsSeen)
            and message.changed == (clusters.registration(),)
        ]
        assert len(told) == copies


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
        arrived = protocol.PeerMessageReceived(
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
        cluster.register(model.VmId("a"), clusters.registration())
        draining = clusters.registration(
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
        cluster.register(model.VmId("b"), clusters.registration())
        known = cluster.up[model.VmId("a")].registry.find(
            model.EndpointId("e")
        )
        assert known is not None
        changes = [
            message.changed
            for message in cluster.entry
            if isinstance(message, protocol.RegistrationsSeen)
        ]
        assert (clusters.registration(),) in changes

    def test_isolated_vm_sends_a_leaving_endpoint_elsewhere(
        self, cluster: clusters.Cluster
    ) -> None:
        cut_off = model.VmId("c")
        cluster.register(cut_off, clusters.registration())
        cluster.isolate(cut_off)
        cluster.run(2)
        draining = clusters.registration(
            sequence=2, state=catalog.EndpointState.DRAINING
        )
        asked = cluster.register(cut_off, draining)
        assert isinstance(cluster.outcomes[asked], _effects.Refuse)

    def test_endpoint_is_lost_when_the_leader_finds_it_dead_too(
        self, cluster: clusters.Cluster
    ) -> None:
        leader = cluster.leader()
        cluster.listen(leader)
        cluster.register(leader, clusters.registration())
        failed = protocol.EndpointFailed(model.EndpointId("e"), 1)
        arrived = protocol.PeerMessageReceived(model.VmId("entry"), failed)
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
        cluster.register(leader, clusters.registration())
        failed = protocol.EndpointFailed(model.EndpointId("e"), 1)
        arrived = protocol.PeerMessageReceived(model.VmId("entry"), failed)
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
            word = clusters.registration(
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
        word = clusters.registration(
            endpoint_id=model.EndpointId("e0"),
            address="127.0.0.1:80",
            sequence=2,
        )
        engines.register(engines.leader(), word)
        registry = engines.up[engines.leader()].registry
        known = registry.find(model.EndpointId("e0"))
        assert known is not None and known.slowdown == 12.0

    def test_endpoints_without_a_model_are_not_asked(
        self, cluster: clusters.Cluster
    ) -> None:
        cluster.publish(cluster.leader(), 7)
        cluster.register(cluster.leader(), clusters.registration())
        cluster.run(2)
        assert self._asked(cluster) == []
