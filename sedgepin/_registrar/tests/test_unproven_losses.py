"""Tests of endpoints that are silent for a second, as control VMs see them."""

import datetime

import pytest

from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin._placement.tests import test_plan
from sedgepin import _protocol as protocol
from sedgepin._registrar import _daemon
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar.tests import cluster as clusters
from sedgepin import _web as web
from sedgepin import errors

_ENTRY = model.VmId("entry")
_ENGINE = model.EndpointId("e")


def _report_failed(
    cluster: clusters.Cluster, endpoint_id: model.EndpointId
) -> None:
    """Let the entry VM report a silent endpoint to the leader."""
    failed = protocol.EndpointFailed(endpoint_id, 1)
    arrived = protocol.PeerMessageReceived(_ENTRY, failed)
    cluster.handle(cluster.leader(), arrived)


def _lost(cluster: clusters.Cluster) -> list[protocol.EndpointLost]:
    return [
        message
        for message in cluster.entry_messages
        if isinstance(message, protocol.EndpointLost)
    ]


class TestCheck:
    def test_inspection_from_before_the_report_is_no_check(
        self, cluster: clusters.Cluster
    ) -> None:
        """An engine then has its full time to answer the check."""
        leader = cluster.leader()
        cluster.publish_document(leader, clusters.model_document(7))
        cluster.connect_entry(leader)
        cluster.register(leader, clusters.registration())
        while not cluster.engine_calls:
            cluster.run(0.05)
        _report_failed(cluster, _ENGINE)
        assert len(cluster.engine_calls) == 2
        before = _events.EngineInspected(_ENGINE, 1, None, False, True)
        cluster.handle(leader, before)
        cluster.run(0.1)
        assert _lost(cluster) == []
        check = _events.EngineInspected(_ENGINE, 1, None, False, True, True)
        cluster.handle(leader, check)
        cluster.run(0.1)
        assert _lost(cluster) == [protocol.EndpointLost(_ENGINE, 1, True)]

    @pytest.mark.parametrize(
        "failure",
        [
            web.ConnectFailed("e", "OSError"),
            web.ConnectFailed("e", "ConnectionResetError"),
        ],
    )
    def test_only_a_refusal_proves_an_end(
        self, failure: web.ConnectFailed
    ) -> None:
        """An ``OSError`` may be an unreachable network, or no free socket."""
        assert not _daemon._is_refusal(failure)

    @pytest.mark.parametrize(
        ("failure", "has_answered"),
        [
            (None, True),
            (web.AnswerBroken("e", "BrokenResourceError"), True),
            (web.AnswerBroken("e", "", is_timeout=True), False),
            (web.AnswerBroken("e", "", is_timeout=True, has_data=True), True),
            (web.ConnectFailed("e", "ConnectionResetError"), True),
            (web.ConnectFailed("e", "ConnectionRefusedError"), False),
            (web.ConnectFailed("e", "TooSlowError"), False),
            (web.ConnectFailed("e", "OSError"), False),
        ],
    )
    def test_any_byte_or_a_reset_is_an_answer(
        self, failure: errors.Failure | None, has_answered: bool
    ) -> None:
        assert _daemon._has_answered(failure) is has_answered

    def test_refused_connection_proves_an_end(self) -> None:
        refused = web.ConnectFailed("e", "ConnectionRefusedError")
        assert _daemon._is_refusal(refused)


class TestNewPeers:
    def test_lost_endpoint_is_not_told_as_a_live_one(
        self, cluster: clusters.Cluster
    ) -> None:
        leader = cluster.leader()
        cluster.register(leader, clusters.registration())
        _report_failed(cluster, _ENGINE)
        inspected = _events.EngineInspected(
            _ENGINE, 1, None, False, is_check=True
        )
        cluster.handle(leader, inspected)
        cluster.run(2)
        cluster.connect_entry(leader)
        cluster.run(0.1)
        told = [
            registration
            for message in cluster.entry_messages
            if isinstance(message, protocol.RegistrationsSeen)
            for registration in message.changed
        ]
        assert told == [] or _lost(cluster) != []

    def test_lost_endpoint_is_told_to_be_used_once_heard(
        self, cluster: clusters.Cluster
    ) -> None:
        leader = cluster.leader()
        cluster.register(leader, clusters.registration())
        _report_failed(cluster, _ENGINE)
        inspected = _events.EngineInspected(
            _ENGINE, 1, None, False, is_check=True
        )
        cluster.handle(leader, inspected)
        cluster.connect_entry(leader)
        cluster.run(0.1)
        told = [
            registration
            for message in cluster.entry_messages
            if isinstance(message, protocol.RegistrationsSeen)
            for registration in message.lost
        ]
        assert told == [clusters.registration()]


class _Engines:
    """Engines that hold the planned layers and answer each call at once."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.cluster = cluster
        self.silent: set[model.EndpointId] = set()
        self.ended: set[model.EndpointId] = set()
        self.orders: list[_effects.OrderLayers] = []
        self._sequence = 1
        self._beat_at = cluster.now
        engines = test_plan.make_engines()
        plan = placement.plan(engines, test_plan.make_profile())
        self.registrations = {
            engine.endpoint_id: clusters.registration(
                endpoint_id=engine.endpoint_id,
                address=f"{engine.endpoint_id}:80",
                data_centre=engine.data_centre,
                accelerator=engine.accelerator.name,
                layers=plan.get(engine.endpoint_id),
            )
            for engine in engines
        }
        leader = cluster.leader()
        cluster.publish_document(leader, clusters.model_document(7))
        cluster.connect_entry(leader)
        self.run(4)

    def run(self, seconds: float) -> None:
        end = self.cluster.now + datetime.timedelta(seconds=seconds)
        while self.cluster.now < end:
            if self.cluster.now >= self._beat_at:
                self._send_heartbeats()
            self.cluster.run(0.05)
            calls, self.cluster.engine_calls = self.cluster.engine_calls, []
            for call in calls:
                self._answer(call)

    def _send_heartbeats(self) -> None:
        self._beat_at += datetime.timedelta(milliseconds=1200)
        for endpoint_id, registration in self.registrations.items():
            if endpoint_id not in self.silent | self.ended:
                self.cluster.register(self.cluster.leader(), registration)

    def _answer(self, call: _effects.RegistrarEffect) -> None:
        leader = self.cluster.leader()
        if isinstance(call, _effects.OrderLayers):
            self.orders.append(call)
            accepted = _events.LayerOrderAnswered(
                call.endpoint_id, 1, True, False
            )
            self.cluster.handle(leader, accepted)
        elif isinstance(call, _effects.InspectEngine):
            held = self.registrations[call.endpoint_id].layers
            report = _events.EngineReport(1, held, False, 0)
            inspected = _events.EngineInspected(
                call.endpoint_id, 1, report, True, is_check=call.is_check
            )
            if call.endpoint_id in self.silent | self.ended:
                is_silent = call.endpoint_id in self.silent
                inspected = _events.EngineInspected(
                    call.endpoint_id, 1, None, False, is_silent, call.is_check
                )
            self.cluster.handle(leader, inspected)


class TestLayersOfASilentEngine:
    def test_they_are_not_given_to_others(
        self, cluster: clusters.Cluster
    ) -> None:
        engines = _Engines(cluster)
        assert engines.orders == []
        endpoint_id = model.EndpointId("one-a100-0")
        assert engines.registrations[endpoint_id].layers is not None
        engines.silent = {endpoint_id}
        _report_failed(cluster, endpoint_id)
        engines.run(1)
        engines.silent.clear()
        engines.run(4)
        ordered = {
            f"{order.endpoint_id} {order.layers.first}-{order.layers.end}"
            for order in engines.orders
        }
        assert sorted(ordered) == []

    def test_they_are_given_to_others_once_it_has_ended(
        self, cluster: clusters.Cluster
    ) -> None:
        engines = _Engines(cluster)
        endpoint_id = model.EndpointId("one-a100-0")
        engines.ended = {endpoint_id}
        _report_failed(cluster, endpoint_id)
        engines.run(0.35)
        assert engines.orders != []

    def test_they_are_given_to_others_after_the_heartbeat_timeout(
        self, cluster: clusters.Cluster
    ) -> None:
        engines = _Engines(cluster)
        endpoint_id = model.EndpointId("one-a100-0")
        engines.silent = {endpoint_id}
        _report_failed(cluster, endpoint_id)
        engines.run(4.5)
        assert engines.orders != []
