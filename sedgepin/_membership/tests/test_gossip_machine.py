"""Stateful test of membership under network and process faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sedgepin import _membership as membership
from sedgepin._membership.tests import network
from sedgepin import _model as model

_RATES = strategies.sampled_from((0.95, 1.0, 1.05))
# The guarantee is that an endpoint gets no new work later than 3 s after it
# leaves; by design it is 2.5 s of a clock that runs 5% slow.
_MAX_ELIGIBLE_AFTER_LEAVING = 2.65 * network.SECOND
_ENTRIES = strategies.integers(0, 3)
_INDICES = strategies.integers(0, 999)


class GossipMachine(stateful.RuleBasedStateMachine):
    """Four entry VMs, in a mesh or in a grid, and two endpoints."""

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
        self.highest_incarnations: dict[tuple[str, str], int] = {}

    @stateful.rule(seconds=strategies.sampled_from((0.05, 0.3, 1.0, 2.9)))
    def run(self, seconds: float) -> None:
        remaining = seconds
        while remaining > 0:
            self.net.run(min(remaining, 0.1))
            remaining -= 0.1
            self.check()

    @stateful.rule(holds_messages=strategies.booleans())
    def hold_messages(self, holds_messages: bool) -> None:
        self.net.holds_messages = holds_messages

    @stateful.rule(index=_INDICES, duplicates=strategies.booleans())
    def deliver_one(self, index: int, duplicates: bool) -> None:
        if self.net.in_transit:
            self.net.deliver(index % len(self.net.in_transit), duplicates)

    @stateful.rule(index=_INDICES)
    def lose_one(self, index: int) -> None:
        if self.net.in_transit:
            del self.net.in_transit[index % len(self.net.in_transit)]

    @stateful.rule(first=_ENTRIES, second=_ENTRIES, both=strategies.booleans())
    def break_link(self, first: int, second: int, both: bool) -> None:
        self.net.broken_links.add((f"e{first}", f"e{second}"))
        if both:
            self.net.broken_links.add((f"e{second}", f"e{first}"))

    @stateful.rule()
    def restore_links(self) -> None:
        self.net.broken_links.clear()

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
        """Read a backlog with messages from before and after a leaving."""
        self.net.holds_messages = False
        self.freeze(number)
        self.run(before)
        self.leave(endpoint)
        self.run(2.7)
        self.wake(number)

    @stateful.rule(number=_ENTRIES)
    def restart(self, number: int) -> None:
        self.net.restart(f"e{number}")
        for key in list(self.highest_incarnations):
            if key[0] == f"e{number}":
                del self.highest_incarnations[key]

    @stateful.rule(number=_ENTRIES)
    def restart_with_backlog(self, number: int) -> None:
        """Deliver messages for an incarnation to the following one."""
        inbox = self.net.entries[f"e{number}"].inbox
        self.restart(number)
        self.net.entries[f"e{number}"].inbox = inbox
        self.wake(number)

    @stateful.rule(number=strategies.integers(0, 1), entry=_ENTRIES)
    def move_endpoint(self, number: int, entry: int) -> None:
        self.net.endpoints[f"g{number}"].entry = f"e{entry}"

    @stateful.rule(number=strategies.integers(0, 1))
    def leave(self, number: int) -> None:
        self.net.leave(f"g{number}")

    @stateful.rule(number=strategies.integers(0, 1))
    def replace_endpoint(self, number: int) -> None:
        endpoint = self.net.endpoints[f"g{number}"]
        if endpoint.is_leaving:
            endpoint.is_leaving = False
            endpoint.incarnation += 1
            endpoint.sequence = 0
            endpoint.echo = ""

    @stateful.rule()
    def settle(self) -> None:
        """Without faults, announcing endpoints are eligible everywhere."""
        self.net.broken_links.clear()
        self.net.holds_messages = False
        for name in self.net.names:
            self.net.wake(name)
        self.net.run(6)
        for endpoint in self.net.endpoints.values():
            expected = [] if endpoint.is_leaving else list(self.net.names)
            assert self.net.eligible(endpoint.name) == expected

    @stateful.invariant()
    def check(self) -> None:
        for name, entry in self.net.entries.items():
            for announcement in entry.eligible(self.net.now):
                key = (
                    str(announcement.endpoint_id),
                    int(announcement.incarnation),
                )
                left_at = self.net.left_at.get(key, self.net.now)
                assert self.net.now - left_at < _MAX_ELIGIBLE_AFTER_LEAVING, (
                    name,
                    key,
                )
            for endpoint_id in self.net.endpoints:
                self._check_incarnation(name, endpoint_id)

    def _check_incarnation(self, name: str, endpoint_id: str) -> None:
        directory = self.net.entries[name].node.endpoints
        announcement = directory.find(model.EndpointId(endpoint_id))
        if announcement is None:
            return
        highest = self.highest_incarnations.get((name, endpoint_id), 0)
        assert announcement.incarnation >= highest
        self.highest_incarnations[name, endpoint_id] = int(
            announcement.incarnation
        )


TestGossipMachine = GossipMachine.TestCase
TestGossipMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
