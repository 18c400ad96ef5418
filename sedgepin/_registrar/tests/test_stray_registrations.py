"""Tests of registrations of other writers, which name no endpoint to use."""

import typing

import pytest

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar.tests import cluster as clusters

_SOUND = model.EndpointId("e")
_OTHER = model.EndpointId("other")
_UNKNOWN = model.ServiceName("unknown")


def _ready(cluster: clusters.Cluster) -> set[tuple[str, str]]:
    """Return the ids and services of the ready endpoints of each VM."""
    return {
        (record.registration.endpoint_id, record.registration.service)
        for reducer in cluster.running.values()
        for record in reducer.registry
        if record.registration.state is catalog.EndpointState.READY
    }


class TestStrayRegistrations:
    """The others hold, whatever a stray registration says.

    One that named a sound engine's address took its service away (issue 40).
    """

    @pytest.mark.parametrize(
        "changes",
        [
            {"endpoint_id": _OTHER, "incarnation": 2},
            {"endpoint_id": _OTHER, "incarnation": 2**62},
            {"sequence": 2**62},
            {"incarnation": 2},
        ],
    )
    def test_unknown_service_displaces_no_endpoint(
        self, cluster: clusters.Cluster, changes: dict[str, typing.Any]
    ) -> None:
        leader = cluster.leader()
        home = min(set(cluster.seeds) - {leader})
        cluster.publish_document(leader, clusters.model_document(1))
        cluster.run(0.5)
        cluster.register(home, clusters.registration())
        cluster.run(0.5)
        stray = clusters.registration(service=_UNKNOWN, **changes)
        for vm_id in cluster.seeds:
            exchange_id = cluster.register(vm_id, stray)
            response = cluster.responses[exchange_id]
            assert isinstance(response, _effects.Acknowledge)
        cluster.register(home, clusters.registration(sequence=2))
        cluster.run(0.5)
        assert _ready(cluster) == {(_SOUND, "s")}

    @pytest.mark.parametrize("has_left", [False, True])
    @pytest.mark.parametrize("endpoint_id", [_SOUND, _OTHER])
    def test_unknown_service_keeps_no_restarted_endpoint_out(
        self,
        cluster: clusters.Cluster,
        endpoint_id: model.EndpointId,
        has_left: bool,
    ) -> None:
        """The stray one comes while the endpoint is away (soak, 946103)."""
        leader = cluster.leader()
        cluster.publish_document(leader, clusters.model_document(1))
        cluster.run(0.5)
        cluster.register(leader, clusters.registration())
        cluster.run(0.5)
        if has_left:
            cluster.handle(leader, _events.EndpointLeft(0, _SOUND))
        cluster.run(8.0)
        assert not has_left or _ready(cluster) == set()
        stray = clusters.registration(
            endpoint_id=endpoint_id, service=_UNKNOWN, incarnation=2**62
        )
        cluster.register(leader, stray)
        cluster.run(2.0)
        cluster.register(leader, clusters.registration(incarnation=2))
        cluster.run(0.5)
        assert _ready(cluster) == {(_SOUND, "s")}
        for reducer in cluster.running.values():
            record = reducer.registry.find(_SOUND)
            assert record is not None
            assert record.registration.incarnation == 2

    def test_service_that_is_configured_later_gets_its_endpoint(
        self, cluster: clusters.Cluster
    ) -> None:
        """An address may be assigned to another service's endpoint."""
        leader = cluster.leader()
        cluster.register(leader, clusters.registration(service=_UNKNOWN))
        cluster.publish_document(leader, clusters.model_document(1))
        cluster.run(0.5)
        moved = clusters.registration(endpoint_id=_OTHER, incarnation=2)
        cluster.register(leader, moved)
        cluster.run(0.5)
        assert _ready(cluster) == {(_OTHER, "s")}

    def test_vm_without_a_configuration_displaces_no_endpoint(
        self, cluster: clusters.Cluster
    ) -> None:
        """One that has just started may have the endpoints only."""
        leader = cluster.leader()
        cluster.register(leader, clusters.registration())
        stray = clusters.registration(
            endpoint_id=_OTHER, service=_UNKNOWN, incarnation=2
        )
        cluster.register(leader, stray)
        restarted = clusters.registration(incarnation=3)
        cluster.register(leader, restarted)
        cluster.run(0.5)
        assert _ready(cluster) == {(_SOUND, "s")}
        record = cluster.running[leader].registry.find(_SOUND)
        assert record is not None
        assert record.registration.incarnation == 3
