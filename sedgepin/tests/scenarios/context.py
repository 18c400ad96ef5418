"""State that the steps of a scenario share."""

import dataclasses
import typing

from sedgepin.tests import fakes
from sedgepin.tests import simulation as simulations


@dataclasses.dataclass
class ScenarioContext:
    """A simulation, and the callers, VMs and times that steps have named."""

    simulation: simulations.Simulation
    bindings: dict[str, typing.Any] = dataclasses.field(default_factory=dict)

    def vm(self, name: str) -> str:
        """Return the name of a VM given by name or, for example, "the leader".

        "the leader" is also bound to "the old leader" for later steps.
        """
        if name == "the leader":
            leader = self.simulation.leader()
            assert leader is not None
            self.bindings["the old leader"] = leader
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
        return str(self.bindings.get(name, name))

    def caller(self, name: str) -> fakes.Caller:
        """Return the caller or operator that an earlier step named."""
        caller = self.bindings[name]
        assert isinstance(caller, fakes.Caller)
        return caller

    def running_vms(self, role: str) -> list[str]:
        """Return the names of the VMs of a role that run and aren't frozen."""
        return [
            vm.name
            for vm in self.simulation.vms.values()
            if vm.role == role and vm.reducer is not None and not vm.is_frozen
        ]
