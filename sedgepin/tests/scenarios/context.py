"""What a scenario plays on, and the names it gives to what is there."""

import dataclasses
import typing

from sedgepin.tests import fakes
from sedgepin.tests import simulation as simulations


@dataclasses.dataclass
class ScenarioContext:
    """A world and the names that a scenario gives to what is in it."""

    simulation: simulations.Simulation
    names: dict[str, typing.Any] = dataclasses.field(default_factory=dict)

    def vm(self, name: str) -> str:
        """Return the VM that a scenario calls by a role or by its name."""
        if name == "the leader":
            leader = self.simulation.leader()
            assert leader is not None
            self.names["the old leader"] = leader
            return leader
        if name == "another control VM":
            leader = self.simulation.leader()
            return next(
                vm.name
                for vm in self.simulation.vms.values()
                if vm.role == "control"
                and vm.reducer is not None
                and vm.name != leader
            )
        return str(self.names.get(name, name))

    def caller(self, name: str) -> fakes.Caller:
        """Return what a caller has heard."""
        caller = self.names[name]
        assert isinstance(caller, fakes.Caller)
        return caller

    def running(self, role: str) -> list[str]:
        """Return the VMs of a role that run."""
        return [
            vm.name
            for vm in self.simulation.vms.values()
            if vm.role == role and vm.reducer is not None and not vm.is_frozen
        ]
