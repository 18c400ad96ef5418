"""A line for each change of belief: every kind that a registrar logs."""

import collections.abc
import pathlib

import pytest

from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _events
from sedgepin._registrar.tests import cluster as clusters
from sedgepin import errors
from sedgepin.tests import log_lines

_ENGINE = model.EndpointId("e")
_ENTRY = model.VmId("entry")
_Scene = collections.abc.Callable[[clusters.Cluster], None]


def _nothing(cluster: clusters.Cluster) -> None:
    """Leave it at the start, in which a leader was elected."""


def _register(cluster: clusters.Cluster) -> None:
    cluster.register(cluster.leader(), clusters.registration())


def _follow(cluster: clusters.Cluster) -> None:
    cluster.publish(cluster.leader(), 7)


def _refuse_a_configuration(cluster: clusters.Cluster) -> None:
    cluster.dialect.refuses_documents = True
    cluster.publish(cluster.leader(), 7)


def _listen(cluster: clusters.Cluster) -> None:
    cluster.listen(cluster.leader())


def _stop_listening(cluster: clusters.Cluster) -> None:
    gone = protocol.PeerDisconnected(_ENTRY)
    cluster.handle(cluster.leader(), gone)


def _refuse_a_peer(cluster: clusters.Cluster) -> None:
    failure = errors.DocumentRefused("frame", ())
    refused = protocol.PeerRefused("127.0.0.1:1", failure)
    cluster.handle(cluster.leader(), refused)


def _lose(cluster: clusters.Cluster) -> None:
    _register(cluster)
    failed = protocol.EndpointFailed(_ENGINE, 1)
    arrived = protocol.PeerMessageReceived(_ENTRY, failed)
    cluster.handle(cluster.leader(), arrived)
    inspected = _events.EngineInspected(_ENGINE, 1, None, False)
    cluster.handle(cluster.leader(), inspected)


def _slow_down(cluster: clusters.Cluster) -> None:
    _register(cluster)
    report = _events.EngineReport(1, None, False, 0, 4.0)
    inspected = _events.EngineInspected(_ENGINE, 1, report, True)
    cluster.handle(cluster.leader(), inspected)


def _order(cluster: clusters.Cluster) -> None:
    leader = cluster.leader()
    cluster.publish_document(leader, clusters.model_document(7))
    for number in range(20):
        word = clusters.registration(
            endpoint_id=model.EndpointId(f"e{number}"),
            address=f"127.0.0.1:{number + 80}",
            accelerator="a100",
        )
        cluster.register(leader, word)
    cluster.run(2.5)
    report = _events.EngineReport(1, None, False, 0)
    engine = model.EndpointId("e0")
    inspected = _events.EngineInspected(engine, 1, report, True)
    cluster.handle(leader, inspected)


def _refuse_an_order(cluster: clusters.Cluster) -> None:
    _order(cluster)
    refused = _events.LayerOrderAnswered(
        model.EndpointId("e0"), 1, False, True
    )
    cluster.handle(cluster.leader(), refused)


_SCENES: dict[str, tuple[_Scene, dict[str, object]]] = {
    "leader_changed": (_nothing, {"term": 1}),
    "endpoint_changed": (_register, {"endpoint": "e", "state": "ready"}),
    "configuration_followed": (_follow, {"version": 7, "routes": 0}),
    "configuration_refused": (_refuse_a_configuration, {"version": 7}),
    "peer_connected": (_listen, {"peer": "entry"}),
    "peer_disconnected": (_stop_listening, {"peer": "entry"}),
    "peer_refused": (_refuse_a_peer, {"address": "127.0.0.1:1"}),
    "endpoint_failed": (_lose, {"endpoint": "e", "told_by": "entry"}),
    "endpoint_paced": (_slow_down, {"slowness": 4.0, "before": 1.0}),
    "layers_ordered": (_order, {"endpoint": "e0", "held": "none"}),
    "layers_order_refused": (_refuse_an_order, {"is_fenced": True}),
}
# Written by the daemon; the tests of processes see them.
_OF_THE_DAEMON = {
    "control_call_refused",
    "disk_full",
    "disk_has_room",
    "endpoint_suspected",
    "log_refused",
    "order_failed",
    "process_draining",
    "process_started",
    "process_stopped",
}


class TestLines:
    @pytest.mark.parametrize("name", list(_SCENES))
    def test_change_is_logged_with_what_decided_it(self, name: str) -> None:
        scene, expected = _SCENES[name]
        cluster = clusters.Cluster()
        cluster.run(2)
        scene(cluster)
        lines = [
            {one.name: one.value for one in line.fields}
            for line in cluster.lines
            if line.definition.name == name
        ]
        assert lines
        assert expected.items() <= lines[-1].items()

    def test_no_kind_is_left_out(self) -> None:
        package = pathlib.Path(__file__).parents[1]
        named = log_lines.kinds_named_in(package)
        assert named == _SCENES.keys() | _OF_THE_DAEMON
