"""A state machine that breaks the network in any order."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sedgepin import _membership as membership
from sedgepin._membership.tests import network
from sedgepin import _model as model

_RATES = strategies.sampled_from((0.95, 1.0, 1.05))
# The promise is 3 s; by construction it is 2.5 s of a clock 5% too slow.
_PROMISE = 2.65 * network.SECOND
_ENTRIES = strategies.integers(0, 3)
_INDICES = strategies.integers(0, 999)


class GossipMachine(stateful.RuleBasedStateMachine):
    """Four entries and two endpoints, in a mesh or in a grid."""

    @stateful.initialize(
        rates=strategies.tuples(_RATES, _RATES, _RATES, _RATES),
        mesh_limit=strategies.sampled_from((1, 8)),
    )
    def set_up(self, rates: tuple[float, ...], mesh_limit: int) -> None:
        cfg = membership.MembershipSettings(mesh_limit_entries=mesh_limit)
        self.net = network.Network(rates, cfg)
        self.net.add("g0", "e0")
        self.net.add("g1", "e1")
        self.net.run(3)
        self.net.check = self.check
        self.highest: dict[tuple[str, str], int] = {}

    @stateful.rule(seconds=strategies.sampled_from((0.05, 0.3, 1.0, 2.9)))
    def run(self, seconds: float) -> None:
        remaining = seconds
        while remaining > 0:
            self.net.run(min(remaining, 0.1))
            remaining -= 0.1
            self.check()

    @stateful.rule(held=strategies.booleans())
    def hold(self, held: bool) -> None:
        self.net.is_held = held

    @stateful.rule(index=_INDICES, keeps=strategies.booleans())
    def deliver_one(self, index: int, keeps: bool) -> None:
        if self.net.flying:
            self.net.deliver(index % len(self.net.flying), keeps)

    @stateful.rule(index=_INDICES)
    def lose_one(self, index: int) -> None:
        if self.net.flying:
            del self.net.flying[index % len(self.net.flying)]

    @stateful.rule(first=_ENTRIES, second=_ENTRIES, both=strategies.booleans())
    def cut(self, first: int, second: int, both: bool) -> None:
        self.net.cuts.add((f"e{first}", f"e{second}"))
        if both:
            self.net.cuts.add((f"e{second}", f"e{first}"))

    @stateful.rule()
    def mend(self) -> None:
        self.net.cuts.clear()

    @stateful.rule(number=_ENTRIES)
    def freeze(self, number: int) -> None:
        self.net.entries[f"e{number}"].is_frozen = True

    @stateful.rule(number=_ENTRIES)
    def wake(self, number: int) -> None:
        self.net.wake(f"e{number}")

    @stateful.rule(
        number=_ENTRIES,
        endpoint=strategies.integers(0, 1),
        before=strategies.sampled_from((0.05, 0.3, 0.6, 1.2)),
    )
    def wake_after_leaving(
        self, number: int, endpoint: int, before: float
    ) -> None:
        """Read message by message what came before and after a leaving."""
        self.net.is_held = False
        self.freeze(number)
        self.run(before)
        self.leave(endpoint)
        self.run(2.7)
        self.wake(number)

    @stateful.rule(number=_ENTRIES)
    def restart(self, number: int) -> None:
        self.net.restart(f"e{number}")
        for key in list(self.highest):
            if key[0] == f"e{number}":
                del self.highest[key]

    @stateful.rule(number=_ENTRIES)
    def restart_with_backlog(self, number: int) -> None:
        """What another life of an entry was sent comes to the next."""
        inbox = self.net.entries[f"e{number}"].inbox
        self.restart(number)
        self.net.entries[f"e{number}"].inbox = inbox
        self.wake(number)

    @stateful.rule(number=strategies.integers(0, 1), entry=_ENTRIES)
    def move(self, number: int, entry: int) -> None:
        self.net.endpoints[f"g{number}"].entry = f"e{entry}"

    @stateful.rule(number=strategies.integers(0, 1))
    def leave(self, number: int) -> None:
        self.net.leave(f"g{number}")

    @stateful.rule(number=strategies.integers(0, 1))
    def replace(self, number: int) -> None:
        endpoint = self.net.endpoints[f"g{number}"]
        if endpoint.is_leaving:
            endpoint.is_leaving = False
            endpoint.incarnation += 1
            endpoint.sequence = 0
            endpoint.echo = ""

    @stateful.rule()
    def settle(self) -> None:
        """With everything mended, who announces is eligible everywhere."""
        self.net.cuts.clear()
        self.net.is_held = False
        for name in self.net.names:
            self.net.wake(name)
        self.net.run(6)
        for endpoint in self.net.endpoints.values():
            wanted = [] if endpoint.is_leaving else list(self.net.names)
            assert self.net.eligible(endpoint.name) == wanted

    @stateful.invariant()
    def check(self) -> None:
        for name, entry in self.net.entries.items():
            for found in entry.eligible(self.net.now):
                life = (str(found.endpoint_id), int(found.incarnation))
                left_at = self.net.left_at.get(life, self.net.now)
                assert self.net.now - left_at < _PROMISE, (name, life)
            for endpoint_id in self.net.endpoints:
                self._check_incarnation(name, endpoint_id)

    def _check_incarnation(self, name: str, endpoint_id: str) -> None:
        directory = self.net.entries[name].node.endpoints
        found = directory.find(model.EndpointId(endpoint_id))
        if found is None:
            return
        highest = self.highest.get((name, endpoint_id), 0)
        assert found.incarnation >= highest
        self.highest[name, endpoint_id] = int(found.incarnation)


TestGossipMachine = GossipMachine.TestCase
TestGossipMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
