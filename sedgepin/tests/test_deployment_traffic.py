"""Tests of how much the VMs of a deployment send each other.

A day of 200 machines did not end: each change, heartbeat and connection of an
entry VM was sent by every control VM to every entry VM.
"""

import collections

import msgspec
import pytest

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin.tests import deployment

_SIZES = (50, 100, 200, 320)
_LEAVING = catalog.EndpointState.DRAINING


@pytest.fixture(params=_SIZES, scope="module")
def steady(request: pytest.FixtureRequest) -> deployment.Deployment:
    """Return a deployment that has settled."""
    fleet = deployment.Deployment(request.param)
    fleet.run(2)
    fleet.publish(1)
    fleet.run(4)
    return fleet


def _count(
    fleet: deployment.Deployment, seconds: float
) -> collections.Counter[str]:
    fleet.counts.clear()
    fleet.run(seconds)
    return fleet.counts


class TestSteadyState:
    def test_messages_of_an_entry_vm_do_not_grow_with_the_fleet(
        self, steady: deployment.Deployment
    ) -> None:
        """Each control VM sent all heartbeats, and was asked each second."""
        counts = _count(steady, 2)
        raft_messages = counts["RaftCarried"]
        per_entry = (counts.total() - raft_messages) / len(steady.entries) / 2
        # Five loads, 2.5 batches of heartbeats and 2.5 load reports, a third
        # of a poll with its answer; control VMs among themselves 200.
        assert per_entry <= 11 + 250 / len(steady.entries)

    def test_entry_vms_are_connected_to_two_control_vms(
        self, steady: deployment.Deployment
    ) -> None:
        for vm_id in steady.entries:
            connected = steady.connected_controls(vm_id)
            assert len(connected) == 2
            number = int(vm_id.rpartition(":")[2])
            assert model.VmId(f"control:{number % 5}") in connected

    def test_spares_are_spread_over_the_control_vms(
        self, steady: deployment.Deployment
    ) -> None:
        connections = collections.Counter(
            control
            for vm_id in steady.entries
            for control in steady.connected_controls(vm_id)
        )
        mean = 2 * len(steady.entries) / 5
        assert all(count < 1.6 * mean for count in connections.values())

    def test_load_of_the_whole_fleet_reaches_every_entry_vm(
        self, steady: deployment.Deployment
    ) -> None:
        steady.run(0.5)
        for reducer in steady.entries.values():
            budget = reducer._state.retry_budget
            assert budget._entry_count == len(steady.entries)


class TestChanges:
    def test_change_of_an_endpoint_is_sent_twice_to_an_entry_vm_at_most(
        self, steady: deployment.Deployment
    ) -> None:
        registration = steady.endpoints[0]
        quiet = _count(steady, 1)["RegistrationsSeen"]
        changed = msgspec.structs.replace(
            registration, sequence=registration.sequence + 1, state=_LEAVING
        )
        steady.endpoints[0] = changed
        steady.counts.clear()
        steady.register(model.VmId("control:4"), changed)
        during = steady.counts["RegistrationsSeen"]
        assert during <= 2 * len(steady.entries) + 4
        for reducer in steady.entries.values():
            record = reducer._state.fleet.registry.find(
                registration.endpoint_id
            )
            assert record is not None
            assert record.registration.state is _LEAVING
        assert quiet > 0

    def test_configuration_is_in_force_everywhere_within_half_a_second(
        self, steady: deployment.Deployment
    ) -> None:
        (version,) = steady.versions()
        steady.publish(version + 1)
        steady.run(0.5)
        assert steady.versions() == {version + 1: len(steady.entries)}


class TestStart:
    @pytest.mark.parametrize("entry_count", _SIZES)
    def test_lists_of_control_vms_grow_with_the_fleet_only(
        self, entry_count: int
    ) -> None:
        """Before: each entry VM that connected made one for every peer."""
        fleet = deployment.Deployment(entry_count)
        fleet.run(5)
        assert fleet.counts["ControlsKnown"] <= 20 * entry_count + 100


class TestRegistration:
    def test_endpoints_that_register_together_are_sent_together(self) -> None:
        """Each registration was a message to every VM."""
        fleet = deployment.Deployment(50, endpoint_count=1000)
        fleet.run(2.4)
        # Of each of five control VMs 20 times a second, twice to an entry VM,
        # in the 1.2 s in which endpoints register; and the heartbeats.
        batches = 5 * 2 * 24 + 5 * 2 * 6
        assert fleet.counts["RegistrationsSeen"] <= 50 * batches
        known = [
            sum(1 for _record in reducer._state.fleet.registry)
            for reducer in fleet.entries.values()
        ]
        assert min(known) == 1000


class TestFailures:
    @pytest.fixture
    def fleet(self) -> deployment.Deployment:
        fleet = deployment.Deployment(40)
        fleet.run(2)
        fleet.publish(1)
        fleet.run(3)
        return fleet

    def test_entry_vms_replace_a_control_vm_that_stops(
        self, fleet: deployment.Deployment
    ) -> None:
        lost = model.VmId("control:3")
        fleet.stop(lost)
        fleet.run(3)
        fleet.publish(2)
        fleet.run(0.5)
        assert fleet.versions() == {2: 40}
        for vm_id in fleet.entries:
            assert len(fleet.connected_controls(vm_id)) >= 2
        fleet.stopped.clear()
        fleet.run(12)
        for vm_id in fleet.entries:
            number = int(vm_id.rpartition(":")[2])
            local = model.VmId(f"control:{number % 5}")
            assert local in fleet.connected_controls(vm_id)
            assert len(fleet.connected_controls(vm_id)) == 2

    def test_entry_vms_leave_control_vms_that_know_no_leader(
        self, fleet: deployment.Deployment
    ) -> None:
        """Two control VMs are cut off, also the two of some entry VMs."""
        isolated = {model.VmId("control:3"), model.VmId("control:4")}
        fleet.cut(*isolated, apart_from=set(fleet.controls) - isolated)
        fleet.run(3)
        fleet.publish(2)
        fleet.run(1)
        assert fleet.versions() == {2: 40}

    def test_restarted_entry_vm_gets_a_confirmed_configuration(
        self, fleet: deployment.Deployment
    ) -> None:
        """It is connected to the seeds only, none of which may lead."""
        for number in range(40):
            fleet.start_entry(number)
        fleet.run(0.5)
        assert fleet.versions() == {1: 40}
