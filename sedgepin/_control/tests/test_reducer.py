"""Tests of the control reducer that the scenarios don't cover."""

import msgspec

from sedgepin import _control as control
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _release as release
from sedgepin import _state as state
from sedgepin import _writes as writes
from sedgepin.tests import fakes
from sedgepin.tests import processes
from sedgepin.tests import simulation


def _refusals(
    system: simulation.Simulation, command: state.Command
) -> list[str]:
    """Send the leader a command of entry-1; return the refusals' codes."""
    leader = system.leader()
    assert leader is not None
    command_asked = protocol.CommandAsked(1, state.encode_command(command))
    received = protocol.PeerMessageReceived(
        model.VmId("entry-1"), command_asked
    )
    effects = system.vms[leader].reducer.handle(received, system.now)
    return [
        effect.message.refusal.code
        for effect in effects
        if isinstance(effect, control.SendMessage)
        and isinstance(effect.message, protocol.CommandAnswered)
        and effect.message.refusal is not None
    ]


class TestCommandsOfPeers:
    """An entry VM may propose only commands about its own writes."""

    def test_note_is_refused(self) -> None:
        system = simulation.Simulation()
        system.start_and_publish()
        note = {**processes.first_note(), "number": 2, "note_id": "x"}
        parsed = release.parse_note(msgspec.json.encode(note)).unwrap()
        command = state.PublishNote(at=system.now, actor="amel", note=parsed)
        assert _refusals(system, command) == ["command_not_allowed"]

    def test_only_commands_of_own_writes_are_accepted(self) -> None:
        system = simulation.Simulation()
        system.start_and_publish()
        refusals = []
        for holder_vm in ("entry-1", "entry-2"):
            holder = writes.WriteHolder(
                model.VmId(holder_vm),
                model.Incarnation(1000),
                model.RequestId("r"),
            )
            command = writes.BeginWrite(
                at=system.now,
                actor="x",
                customer=model.CustomerId("c"),
                key="1767225600-k",
                holder=holder,
                digest=b"d",
            )
            refusals.append(_refusals(system, command))
        assert refusals == [[], ["command_not_allowed"]]


class TestRetention:
    """The leader applies its retention setting for write records."""

    def test_configured_retention_is_applied(self) -> None:
        system = simulation.Simulation()
        system.start_and_publish()
        leader = system.leader()
        assert leader is not None
        policy = system.vms[leader].reducer.state.write_policy
        assert policy.retention == fakes.seconds(24 * 3600)


class TestConfirmation:
    """Only a leader that holds its lease sends a fleet as confirmed."""

    def test_isolated_leader_sends_unconfirmed_fleet(self) -> None:
        system = simulation.Simulation()
        system.start_and_publish()
        leader = system.leader()
        assert leader is not None
        assert self._is_confirmed(system, leader)
        for other in system.control_vm_names():
            system.block_messages(leader, other)
        system.run(1.0)
        assert not self._is_confirmed(system, leader)

    def _is_confirmed(self, system: simulation.Simulation, name: str) -> bool:
        fleet_wanted = protocol.FleetWanted(-1)
        received = protocol.PeerMessageReceived(
            model.VmId("entry-1"), fleet_wanted
        )
        effects = system.vms[name].reducer.handle(received, system.now)
        (published,) = [
            effect.message
            for effect in effects
            if isinstance(effect, control.SendMessage)
            and isinstance(effect.message, protocol.FleetPublished)
        ]
        return bool(published.confirmed)
