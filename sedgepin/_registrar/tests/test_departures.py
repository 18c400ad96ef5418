"""Tests of endpoints that deregister, at any control VM."""

import pytest

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar.tests import cluster as clusters

_ENDPOINT = model.EndpointId("e")


def _state(
    cluster: clusters.Cluster, vm_id: model.VmId
) -> catalog.EndpointState | None:
    record = cluster.running[vm_id].registry.find(_ENDPOINT)
    return None if record is None else record.registration.state


def _told_to_entry(cluster: clusters.Cluster) -> bool:
    gone = catalog.EndpointState.GONE
    return any(
        isinstance(message, protocol.RegistrationsSeen)
        and any(changed.state is gone for changed in message.changed)
        for message in cluster.entry_messages
    )


class TestDepartures:
    """A DELETE stops the work wherever it arrives (review/3, DRAIN)."""

    @pytest.mark.parametrize("check_ins", [1, 2, 9])
    @pytest.mark.parametrize("where", ["same", "other", "follower"])
    def test_every_vm_learns_of_it_before_the_acknowledgement(
        self, cluster: clusters.Cluster, check_ins: int, where: str
    ) -> None:
        leader = cluster.leader()
        followers = sorted(set(cluster.seeds) - {leader})
        home = followers[0]
        at = {"same": home, "other": leader, "follower": followers[1]}[where]
        for vm_id in cluster.seeds:
            cluster.connect_entry(vm_id)
        for sequence in range(1, check_ins + 1):
            cluster.register(home, clusters.registration(sequence=sequence))
            cluster.run(1.2)
        cluster.entry_messages.clear()
        cluster.handle(at, _events.EndpointLeft(77, _ENDPOINT))
        assert isinstance(cluster.responses[77], _effects.Acknowledge)
        cluster.run(0.05)
        for vm_id in cluster.seeds:
            assert _state(cluster, vm_id) is catalog.EndpointState.GONE
        assert _told_to_entry(cluster)
        late = clusters.registration(sequence=check_ins + 1)
        cluster.register(home, late)
        cluster.run(1.2)
        for vm_id in cluster.seeds:
            assert _state(cluster, vm_id) is catalog.EndpointState.GONE

    def test_vm_that_does_not_know_the_endpoint_passes_it_on(
        self, cluster: clusters.Cluster
    ) -> None:
        leader = cluster.leader()
        home, stranger = sorted(set(cluster.seeds) - {leader})
        cluster.cut_links.add(frozenset((home, stranger)))
        cluster.register(home, clusters.registration())
        cluster.run(0.1)
        cluster.cut_links.clear()
        assert _state(cluster, stranger) is None
        cluster.connect_entry(home)
        cluster.entry_messages.clear()
        cluster.handle(stranger, _events.EndpointLeft(77, _ENDPOINT))
        assert isinstance(cluster.responses[77], _effects.Acknowledge)
        cluster.run(0.05)
        assert _state(cluster, home) is catalog.EndpointState.GONE
        assert _told_to_entry(cluster)

    def test_restarted_endpoint_is_used_again(
        self, cluster: clusters.Cluster
    ) -> None:
        home, other, _third = cluster.seeds
        cluster.register(home, clusters.registration(sequence=5))
        cluster.handle(other, _events.EndpointLeft(77, _ENDPOINT))
        cluster.run(0.1)
        cluster.register(
            home, clusters.registration(incarnation=2, sequence=1)
        )
        cluster.run(0.1)
        for vm_id in cluster.seeds:
            assert _state(cluster, vm_id) is catalog.EndpointState.READY
