"""Several members on manual clocks, memory disks and a faulty transport."""

import collections.abc
import datetime
import heapq
import random

import msgspec

from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _storage as storage
from sedgepin import clock

TICK_MICROSECONDS = 20_000
LINK_MICROSECONDS = 500
_CODEC = msgspec.msgpack.Decoder(consensus.RaftMessage)
_STATE = msgspec.msgpack.Decoder(list[bytes])


class PowerLost(Exception):
    """The VM under test went down in the middle of a step."""


class FusedDisk(storage.MemoryDisk):
    """A disk whose VM goes down before the sync or effect that is set."""

    __slots__ = ("fuse",)

    def __init__(self) -> None:
        super().__init__()
        self.fuse: int | None = None

    def burn(self) -> None:
        if self.fuse is not None:
            self.fuse -= 1
            if self.fuse < 0:
                raise PowerLost

    def sync(self, name: str) -> None:
        self.burn()
        super().sync(name)

    def replace(self, name: str, data: bytes) -> None:
        self.burn()
        super().replace(name, data)


class Vm:
    """One VM: its disk, its clock and, while it runs, its member."""

    def __init__(self, name: str, rate: float) -> None:
        self.name = model.VmId(name)
        self.rate = rate
        self.clock = clock.ManualClock()
        self.disk = FusedDisk()
        self.node: consensus.RaftNode | None = None
        self.store = storage.LogStore(self.disk)
        self.applied: list[bytes] = []
        self.is_frozen = False
        self.inbox: list[consensus.Event] = []

    @property
    def holds_lease(self) -> bool:
        return bool(self.node and self.node.holds_lease(self.clock.now()))


class Cluster:
    """Runs the members, breaks things, and checks what must always hold."""

    def __init__(
        self,
        size: int,
        seed: int = 1,
        rates: collections.abc.Sequence[float] = (1.0,),
        **settings: int,
    ) -> None:
        self.rng = random.Random(seed)
        self.settings = settings
        names = [f"vm-{number}" for number in range(size)]
        self.vms = {
            name: Vm(name, rates[place % len(rates)])
            for place, name in enumerate(names)
        }
        self.now_microseconds = 0
        self.cuts: set[tuple[str, str]] = set()
        self.loss = self.doubling = 0.0
        self.delay_microseconds = LINK_MICROSECONDS
        self.leaders: dict[int, storage.MemberId] = {}
        self.committed: dict[int, bytes] = {}
        self.acknowledged: list[bytes] = []
        self.rejected: list[consensus.RejectProposal] = []
        self.configuration = storage.Configuration()
        self.sent: list[tuple[str, bytes]] = []
        self._configured_at = 0
        self._proposed: dict[int, bytes] = {}
        self._queue: list[tuple[int, int, str, str, bytes]] = []
        self._sequence = 0
        for name in names:
            self.start(name)
            self._push(self.rng.randrange(TICK_MICROSECONDS), "", name, b"")

    # Breaking things.

    def start(self, name: str) -> None:
        vm = self.vms[name]
        vm.disk.fuse = None
        vm.store = storage.LogStore(vm.disk, self.rng)
        found = vm.store.open().unwrap()
        cfg = consensus.RaftSettings(
            vm.name,
            tuple(other.name for other in self.vms.values()),
            **self.settings,  # type: ignore[arg-type]
        )
        vm.applied, vm.inbox, vm.is_frozen = [], [], False
        rng = random.Random(self.rng.random())
        vm.node = consensus.RaftNode(cfg, found, rng, vm.clock.now())

    def kill(self, name: str) -> None:
        self.vms[name].disk.crash(self.rng)
        self.vms[name].node = None

    def lose_disk(self, name: str) -> None:
        self.vms[name].disk = FusedDisk()
        self.start(name)

    def may_lose_disk(self, name: str) -> bool:
        """Tell whether a majority of disks lives on without this one.

        It must in every configuration in effect anywhere: one that is not
        committed yet counts from the moment it is in a log.
        """
        found = {vm.name: self._found_on(vm) for vm in self.vms.values()}
        alive = {(vm_id, on.disk_id) for vm_id, on in found.items()}
        configurations = {self.configuration}
        for on in found.values():
            configurations |= {
                entry.configuration
                for entry in on.entries
                if entry.configuration and entry.index > self._configured_at
            }
        return bool(self.configuration.voters) and all(
            sum(
                (one.vm_id, one.disk_id) in alive and one.vm_id != name
                for one in configuration.voters
            )
            >= configuration.quorum
            for configuration in configurations
            if configuration.voters
        )

    @staticmethod
    def _found_on(vm: Vm) -> storage.RecoveredState:
        copy = storage.MemoryDisk()
        for file in vm.disk.names():
            copy.replace(file, vm.disk.read(file))
        return storage.LogStore(copy).open().unwrap()

    def isolate(self, name: str) -> None:
        for other in self.vms:
            self.cuts |= {(name, other), (other, name)}

    def wake(self, name: str) -> None:
        vm = self.vms[name]
        vm.is_frozen = False
        waiting, vm.inbox = vm.inbox, []
        for event in waiting:
            self.give(name, event)

    # Running.

    def run(self, milliseconds: float) -> None:
        end = self.now_microseconds + int(milliseconds * 1000)
        while self._queue and self._queue[0][0] <= end:
            due, _, sender, name, data = heapq.heappop(self._queue)
            self._advance(due)
            if sender:
                self._deliver(sender, name, data)
                continue
            self._push(due + TICK_MICROSECONDS, "", name, b"")
            if not self.vms[name].is_frozen:
                self.give(name, consensus.TimerFired())
        self._advance(end)
        self.check_leases()

    def run_until(
        self,
        is_done: collections.abc.Callable[[], bool],
        limit_ms: float,
        step_ms: float = 1,
    ) -> float:
        """Run until done; return how many milliseconds it took."""
        start = self.now_microseconds
        while not is_done():
            self.run(step_ms)
            elapsed = (self.now_microseconds - start) / 1000
            assert elapsed < limit_ms, "not done in time"
        return (self.now_microseconds - start) / 1000

    def give(self, name: str, event: consensus.Event) -> None:
        vm = self.vms[name]
        if vm.node is None:
            return
        if vm.is_frozen:
            vm.inbox.append(event)
            return
        try:
            for effect in vm.node.handle(event, vm.clock.now()):
                vm.disk.burn()
                self._carry_out(vm, effect)
        except PowerLost:
            self.kill(name)
        self.check_leases()

    def propose(self, name: str, count: int = 1) -> None:
        proposals = []
        for _ in range(count):
            number = len(self._proposed)
            self._proposed[number] = b"%d" % number
            proposals.append(
                consensus.Proposal(number, self._proposed[number])
            )
        self.give(name, consensus.CommandsProposed(tuple(proposals)))

    def leader(self) -> Vm | None:
        for vm in self.vms.values():
            if vm.holds_lease and not vm.is_frozen:
                return vm
        return None

    def elect(self, limit_ms: float = 5000) -> Vm:
        """Run until some member holds the lease."""
        self.run_until(lambda: self.leader() is not None, limit_ms)
        found = self.leader()
        assert found is not None
        return found

    def settle(self, limit_ms: float = 30_000) -> None:
        """Mend everything; all must agree and nothing acknowledged lost."""
        self.cuts.clear()
        self.loss = self.doubling = 0.0
        self.delay_microseconds = LINK_MICROSECONDS
        for name, vm in self.vms.items():
            if vm.node is None:
                self.start(name)
            vm.disk.fuse = None
            if vm.is_frozen:
                self.wake(name)
        self.run_until(self._is_settled, limit_ms, step_ms=20)
        for vm in self.vms.values():
            assert set(self.acknowledged) <= set(vm.applied)

    # What must always hold.

    def check_leases(self) -> None:
        holders = [vm for vm in self.vms.values() if vm.holds_lease]
        assert len(holders) <= 1, [vm.name for vm in holders]
        for holder in holders:
            max_round_duration = max(
                len(vm.applied) for vm in self.vms.values()
            )
            assert len(holder.applied) >= max_round_duration

    def _check_applied(self, vm: Vm) -> None:
        place = len(vm.applied) - 1
        known = self.committed.setdefault(place, vm.applied[place])
        assert known == vm.applied[place], "committed entries differ"

    def _is_settled(self) -> bool:
        nodes = [vm.node for vm in self.vms.values() if vm.node]
        voters = {voter.vm_id for voter in self.configuration.voters}
        return (
            self.leader() is not None
            and voters == set(self.vms)
            and not self.configuration.learners
            and len({node.commit_index for node in nodes}) == 1
            and len({len(vm.applied) for vm in self.vms.values()}) == 1
        )

    def _carry_out(self, vm: Vm, effect: consensus.Effect) -> None:
        match effect:
            case consensus.Persist(hard_state, truncate_from, entries):
                vm.store.append(hard_state, truncate_from, entries)
            case consensus.PersistSnapshot(snapshot, entries):
                vm.store.save_snapshot(snapshot, entries)
            case consensus.SendMessage(recipient, message):
                self._send(vm.name, recipient, msgspec.msgpack.encode(message))
            case consensus.ApplyEntry(_, _, command, proposal_id):
                vm.applied.append(command)
                self._check_applied(vm)
                if proposal_id is not None:
                    self.acknowledged.append(command)
            case consensus.RestoreSnapshot(_, state):
                vm.applied = _STATE.decode(state)
                for place, command in enumerate(vm.applied):
                    assert self.committed.get(place) == command
            case consensus.RequestSnapshot(index):
                state = msgspec.msgpack.encode(vm.applied)
                vm.inbox.append(consensus.SnapshotTaken(index, state))
            case consensus.NotifyLeaderChange(_, term, True):
                assert vm.node is not None
                leader = self.leaders.setdefault(term, vm.node.member_id)
                assert leader == vm.node.member_id, "two leaders in a term"
            case consensus.NotifyMemberChange(index, configuration, _):
                if index >= self._configured_at:
                    self._configured_at = index
                    self.configuration = configuration
            case consensus.RejectProposal():
                self.rejected.append(effect)

    def _send(self, sender: str, recipient: str, data: bytes) -> None:
        self.sent.append((sender, data))
        if self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.doubling else 1):
            delay = LINK_MICROSECONDS
            if self.delay_microseconds > LINK_MICROSECONDS:
                delay = self.rng.randrange(self.delay_microseconds)
            due = self.now_microseconds + delay
            self._push(due, sender, recipient, data)

    def _deliver(self, sender: str, recipient: str, data: bytes) -> None:
        if (sender, recipient) in self.cuts or recipient not in self.vms:
            return
        event = consensus.PeerMessageArrived(
            model.VmId(sender), _CODEC.decode(data)
        )
        self.give(recipient, event)

    def _push(self, due: int, sender: str, name: str, data: bytes) -> None:
        self._sequence += 1
        entry = (due, self._sequence, sender, name, data)
        heapq.heappush(self._queue, entry)

    def _advance(self, to_microseconds: int) -> None:
        elapsed = to_microseconds - self.now_microseconds
        self.now_microseconds = to_microseconds
        for vm in self.vms.values():
            step = datetime.timedelta(microseconds=elapsed * vm.rate)
            vm.clock.advance(step)
            if vm.inbox and not vm.is_frozen:
                self.wake(vm.name)
