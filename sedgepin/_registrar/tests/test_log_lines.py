"""Tests that a control VM logs each of its events with its fields."""

import collections.abc
import datetime
import pathlib

import pytest

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _events
from sedgepin._registrar.tests import cluster as clusters
from sedgepin import errors
from sedgepin.tests import log_lines

_ENGINE = model.EndpointId("e")
_ENTRY = model.VmId("entry")
_Scenario = collections.abc.Callable[[clusters.Cluster], None]


def _start(cluster: clusters.Cluster) -> None:
    """Do nothing: a leader has been elected when the cluster starts."""


def _register_endpoint(cluster: clusters.Cluster) -> None:
    cluster.register(cluster.leader(), clusters.registration())


def _register_stray_endpoint(cluster: clusters.Cluster) -> None:
    leader = cluster.leader()
    cluster.publish_document(leader, clusters.model_document(7))
    cluster.run(0.1)
    cluster.register(leader, clusters.registration())
    stray = clusters.registration(
        endpoint_id=model.EndpointId("other"),
        service=model.ServiceName("unknown"),
        incarnation=2,
    )
    cluster.register(leader, stray)


def _publish(cluster: clusters.Cluster) -> None:
    cluster.publish(cluster.leader(), 7)


def _refuse_configuration(cluster: clusters.Cluster) -> None:
    cluster.dialect.refuses_documents = True
    cluster.publish(cluster.leader(), 7)


def _connect_entry(cluster: clusters.Cluster) -> None:
    cluster.connect_entry(cluster.leader())


def _disconnect_entry(cluster: clusters.Cluster) -> None:
    disconnected = protocol.PeerDisconnected(_ENTRY)
    cluster.handle(cluster.leader(), disconnected)


def _refuse_peer(cluster: clusters.Cluster) -> None:
    failure = errors.DocumentRefused("frame", ())
    refused = protocol.PeerRefused("127.0.0.1:1", failure)
    cluster.handle(cluster.leader(), refused)


def _fail_endpoint(cluster: clusters.Cluster) -> None:
    _register_endpoint(cluster)
    failed = protocol.EndpointFailed(_ENGINE, 1)
    arrived = protocol.PeerMessageReceived(_ENTRY, failed)
    cluster.handle(cluster.leader(), arrived)
    inspected = _events.EngineInspected(_ENGINE, 1, None, False, is_check=True)
    cluster.handle(cluster.leader(), inspected)


def _end_silent_endpoint(cluster: clusters.Cluster) -> None:
    _register_endpoint(cluster)
    failed = protocol.EndpointFailed(_ENGINE, 1)
    arrived = protocol.PeerMessageReceived(_ENTRY, failed)
    cluster.handle(cluster.leader(), arrived)
    for is_repeated in (False, True):
        inspected = _events.EngineInspected(
            _ENGINE, 1, None, False, not is_repeated, True, is_repeated
        )
        cluster.handle(cluster.leader(), inspected)


def _slow_engine_down(cluster: clusters.Cluster) -> None:
    _register_endpoint(cluster)
    report = _events.EngineReport(1, None, False, 0, 4.0)
    inspected = _events.EngineInspected(_ENGINE, 1, report, True)
    cluster.handle(cluster.leader(), inspected)


def _order_layers(cluster: clusters.Cluster) -> None:
    leader = cluster.leader()
    cluster.publish_document(leader, clusters.model_document(7))
    for number in range(20):
        registration = clusters.registration(
            endpoint_id=model.EndpointId(f"e{number}"),
            address=f"127.0.0.1:{number + 80}",
            accelerator="a100",
        )
        cluster.register(leader, registration)
    cluster.run(2.5)
    report = _events.EngineReport(1, None, False, 0)
    engine = model.EndpointId("e0")
    inspected = _events.EngineInspected(engine, 1, report, True)
    cluster.handle(leader, inspected)


def _refuse_order(cluster: clusters.Cluster) -> None:
    _order_layers(cluster)
    refused = _events.LayerOrderAnswered(
        model.EndpointId("e0"), 1, False, True
    )
    cluster.handle(cluster.leader(), refused)


def _notify(cluster: clusters.Cluster, notice: catalog.EndpointNotice) -> None:
    _register_endpoint(cluster)
    received = _events.NoticeReceived(_ENGINE, 1, notice)
    cluster.handle(cluster.leader(), received)


def _leave(cluster: clusters.Cluster) -> None:
    _notify(cluster, catalog.EndpointNotice(is_leaving=True))


def _pause(cluster: clusters.Cluster) -> None:
    pause = datetime.timedelta(seconds=1.5)
    _notify(cluster, catalog.EndpointNotice(pause=pause))


def _name_limit(cluster: clusters.Cluster) -> None:
    _notify(cluster, catalog.EndpointNotice(request_limit=8.1))


def _end_limit(cluster: clusters.Cluster) -> None:
    _name_limit(cluster)
    cluster.run(1)
    _notify(cluster, catalog.EndpointNotice())


def _name_limit_unreadably(cluster: clusters.Cluster) -> None:
    _notify(cluster, catalog.EndpointNotice(malformed_request_limit="inf"))


def _pause_unreadably(cluster: clusters.Cluster) -> None:
    _notify(cluster, catalog.EndpointNotice(malformed_pause="soon"))


def _fill_disk(cluster: clusters.Cluster) -> None:
    leader = cluster.leader()
    cluster.disks[leader].is_full = True
    cluster.publish(leader, 7)
    cluster.run(3)


def _free_disk(cluster: clusters.Cluster) -> None:
    _fill_disk(cluster)
    for disk in cluster.disks.values():
        disk.is_full = False
    cluster.run(1)


_SCENARIOS: dict[str, tuple[_Scenario, dict[str, object]]] = {
    "leader_changed": (_start, {"term": 1}),
    "endpoint_changed": (
        _register_endpoint,
        {"endpoint": "e", "state": "ready"},
    ),
    "disk_full": (_fill_disk, {}),
    "disk_has_room": (_free_disk, {"seconds": 3.0}),
    "log_suspended": (_fill_disk, {"was_leader": True, "term": 1}),
    "log_resumed": (_free_disk, {"term": 1}),
    "configuration_followed": (_publish, {"version": 7, "routes": 0}),
    "configuration_refused": (_refuse_configuration, {"version": 7}),
    "peer_connected": (_connect_entry, {"peer": "entry"}),
    "peer_disconnected": (_disconnect_entry, {"peer": "entry"}),
    "peer_refused": (_refuse_peer, {"address": "127.0.0.1:1"}),
    "endpoint_failed": (_fail_endpoint, {"endpoint": "e", "told_by": "entry"}),
    "endpoint_ended": (
        _end_silent_endpoint,
        {"endpoint": "e", "incarnation": 1},
    ),
    "endpoint_paced": (_slow_engine_down, {"slowness": 4.0, "before": 1.0}),
    "layers_ordered": (_order_layers, {"endpoint": "e0", "held": "none"}),
    "endpoint_leaving": (_leave, {"endpoint": "e", "incarnation": 1}),
    "endpoint_paused": (_pause, {"endpoint": "e", "milliseconds": 1500}),
    "pause_unreadable": (_pause_unreadably, {"value": "soon"}),
    "endpoint_limited": (
        _name_limit,
        {"endpoint": "e", "requests_per_second": 8.1},
    ),
    "endpoint_limit_ended": (_end_limit, {"endpoint": "e", "before": 8.1}),
    "limit_unreadable": (_name_limit_unreadably, {"value": "inf"}),
    "layers_order_refused": (_refuse_order, {"is_fenced": True}),
    "registration_ignored": (
        _register_stray_endpoint,
        {"endpoint": "other", "service": "unknown", "displaced": "e"},
    ),
}
# Logged by the daemon, not the reducer; covered by tests of whole processes.
_DAEMON_EVENTS = {
    "control_call_refused",
    "endpoint_suspected",
    "order_failed",
    "process_draining",
    "process_started",
    "process_stopped",
}


class TestLogLines:
    @pytest.mark.parametrize("name", list(_SCENARIOS))
    def test_event_is_logged_with_its_fields(self, name: str) -> None:
        scenario, expected = _SCENARIOS[name]
        cluster = clusters.Cluster()
        cluster.run(2)
        scenario(cluster)
        lines = [
            {field.name: field.value for field in line.fields}
            for line in cluster.log_lines
            if line.definition.name == name
        ]
        assert lines
        assert expected.items() <= lines[-1].items()

    def test_every_event_of_the_package_is_covered(self) -> None:
        package = pathlib.Path(__file__).parents[1]
        logged = log_lines.find_event_names(package)
        shared = package.parent / "_rate_limits"
        logged |= log_lines.find_event_names(shared)
        assert logged == _SCENARIOS.keys() | _DAEMON_EVENTS
