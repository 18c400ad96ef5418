"""Tests of endpoints that are silent for a second, as control VMs see them."""

import datetime

import pytest

from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin._placement.tests import test_plan
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects
from sedgepin._registrar import _engine_calls
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
        assert not _engine_calls._is_refusal(failure)

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
        assert _engine_calls._has_answered(failure) is has_answered

    def test_refused_connection_proves_an_end(self) -> None:
        refused = web.ConnectFailed("e", "ConnectionRefusedError")
        assert _engine_calls._is_refusal(refused)


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


class TestSilentLoss:
    """The leader looks for the proof that the first check did not bring."""

    def _lose(self, cluster: clusters.Cluster, count: int = 1) -> None:
        """Let engines be lost by silence."""
        leader = cluster.leader()
        cluster.connect_entry(leader)
        for number in range(count):
            endpoint_id = model.EndpointId(f"e{number}")
            registration = clusters.registration(
                endpoint_id=endpoint_id, address=f"{endpoint_id}:80"
            )
            cluster.register(leader, registration)
            _report_failed(cluster, endpoint_id)
        assert len(self._checks(cluster, False)) == count
        assert len(_lost(cluster)) == count

    def _checks(
        self, cluster: clusters.Cluster, is_refused: bool
    ) -> list[model.EndpointId]:
        """Fail the checks that were sent; return what they were sent to."""
        checks = [
            call
            for call in cluster.engine_calls
            if isinstance(call, _effects.InspectEngine) and call.is_check
        ]
        cluster.engine_calls.clear()
        for check in checks:
            inspected = _events.EngineInspected(
                check.endpoint_id,
                check.incarnation,
                None,
                False,
                not is_refused,
                check.is_check,
                check.is_repeated,
            )
            cluster.handle(cluster.leader(), inspected)
        cluster.run(0.05)
        return [check.endpoint_id for check in checks]

    def test_its_end_is_told_when_it_refuses_a_later_check(
        self, cluster: clusters.Cluster
    ) -> None:
        self._lose(cluster)
        cluster.run(0.5)
        assert self._checks(cluster, False) == ["e0"]
        cluster.run(1.1)
        assert self._checks(cluster, True) == ["e0"]
        proven = protocol.EndpointLost(model.EndpointId("e0"), 1, False, True)
        # From the leader, and nothing after it.
        assert _lost(cluster)[1:] == [proven]
        for reducer in cluster.running.values():
            assert reducer.registry.has_ended(model.EndpointId("e0"), 1)
        cluster.run(3)
        assert self._checks(cluster, True) == []

    def test_one_that_is_heard_is_alive_and_not_checked(
        self, cluster: clusters.Cluster
    ) -> None:
        self._lose(cluster)
        cluster.run(1.1)
        late_check = cluster.engine_calls[-1]
        assert isinstance(late_check, _effects.InspectEngine)
        registration = clusters.registration(
            endpoint_id=model.EndpointId("e0"), address="e0:80"
        )
        cluster.register(cluster.leader(), registration)
        # What a check found before that is outdated.
        for is_refused in (False, True):
            cluster.engine_calls = [late_check]
            assert self._checks(cluster, is_refused) == ["e0"]
        cluster.run(3)
        assert self._checks(cluster, True) == []
        assert len(_lost(cluster)) == 1
        record = cluster.running[cluster.leader()].registry.find(
            model.EndpointId("e0")
        )
        assert record is not None and record.lost_at is None

    def test_silent_check_does_not_put_off_its_return(
        self, cluster: clusters.Cluster
    ) -> None:
        self._lose(cluster)
        for _ in range(2):
            cluster.run(0.5)
            assert self._checks(cluster, False) == ["e0"]
            cluster.run(0.4)
        registration = clusters.registration(
            endpoint_id=model.EndpointId("e0"), address="e0:80"
        )
        cluster.register(cluster.leader(), registration)
        record = cluster.running[cluster.leader()].registry.find(
            model.EndpointId("e0")
        )
        assert record is not None and record.lost_at is None

    def test_rack_costs_a_call_a_second_for_each_until_they_expire(
        self, cluster: clusters.Cluster
    ) -> None:
        self._lose(cluster, 40)
        call_count = 0
        for _second in range(58):
            cluster.run(0.95)
            calls = self._checks(cluster, False)
            assert len(calls) == len(set(calls)) <= 40
            call_count += len(calls)
        assert call_count > 40 * 50
        cluster.run(5)
        cluster.engine_calls.clear()
        cluster.run(5)
        assert self._checks(cluster, False) == []

    def test_next_leader_checks_it(self, cluster: clusters.Cluster) -> None:
        self._lose(cluster)
        cluster.stop(cluster.leader())
        cluster.run(3)
        assert "e0" in self._checks(cluster, False)


class _Engines:
    """Engines that hold the planned layers and answer each call at once."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.cluster = cluster
        self.silent: set[model.EndpointId] = set()
        self.ended: set[model.EndpointId] = set()
        self.orders: list[_effects.OrderLayers] = []
        self._sequence = 1
        self._beat_at = cluster.now
        # The results of checks that time out, and when they do.
        self._timeouts: list[
            tuple[datetime.datetime, _events.EngineInspected]
        ] = []
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
            for timeout in list(self._timeouts):
                if timeout[0] <= self.cluster.now:
                    self._timeouts.remove(timeout)
                    self.cluster.handle(self.cluster.leader(), timeout[1])

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
                call.endpoint_id,
                1,
                report,
                True,
                is_check=call.is_check,
                is_repeated=call.is_repeated,
            )
            if call.endpoint_id in self.silent | self.ended:
                is_silent = call.endpoint_id in self.silent
                inspected = _events.EngineInspected(
                    call.endpoint_id,
                    1,
                    None,
                    False,
                    is_silent,
                    call.is_check,
                    call.is_repeated,
                )
                if is_silent:
                    at = self.cluster.now + datetime.timedelta(seconds=1)
                    self._timeouts.append((at, inspected))
                    return
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

    def test_they_are_given_to_others_after_a_second_silent_check(
        self, cluster: clusters.Cluster
    ) -> None:
        engines = _Engines(cluster)
        endpoint_id = model.EndpointId("one-a100-0")
        engines.silent = {endpoint_id}
        _report_failed(cluster, endpoint_id)
        engines.run(2.6)
        assert engines.orders != []
