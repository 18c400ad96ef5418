"""A Raft cluster on manual clocks, memory disks and a faulty transport."""

import collections.abc
import datetime
import heapq
import random
import typing

import msgspec

from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _shell as shell
from sedgepin import _storage as storage
from sedgepin._storage.tests import full_disk
from sedgepin import clock

TICK_MICROSECONDS = 20_000
LINK_MICROSECONDS = 500
_CODEC = msgspec.msgpack.Decoder(consensus.RaftMessage)
_STATE = msgspec.msgpack.Decoder(list[bytes])


class PowerLoss(Exception):
    """The VM under test crashed in the middle of a step."""


class CrashingDisk(full_disk.FullDisk):
    """A disk whose VM crashes after ``steps_until_crash`` more steps.

    It can run full, too.  A step is a sync, a replacement of a file or an
    effect.
    """

    __slots__ = ("steps_until_crash",)

    def __init__(self) -> None:
        super().__init__()
        self.steps_until_crash: int | None = None

    def count_step(self) -> None:
        if self.steps_until_crash is not None:
            self.steps_until_crash -= 1
            if self.steps_until_crash < 0:
                raise PowerLoss

    def sync(self, name: str) -> None:
        self.count_step()
        super().sync(name)

    def replace(self, name: str, data: bytes) -> None:
        self.count_step()
        super().replace(name, data)


_Driver: typing.TypeAlias = shell.Driver[consensus.Event, consensus.Effect]


class Vm:
    """One VM: its disk, its clock and, while it runs, its Raft member."""

    def __init__(self, name: str, rate: float) -> None:
        self.name = model.VmId(name)
        self.rate = rate
        self.clock = clock.ManualClock()
        self.disk = CrashingDisk()
        self.node: consensus.RaftNode | None = None
        self.driver: _Driver | None = None
        self.store = storage.LogStore(self.disk)
        self.applied: list[bytes] = []
        self.is_frozen = False
        self.inbox: list[consensus.Event] = []

    @property
    def holds_lease(self) -> bool:
        return bool(self.node and self.node.holds_lease(self.clock.now()))


class Cluster:
    """Runs members, injects faults and checks the invariants of Raft.

    Times are simulated; ``rates`` are the rates of the VMs' clocks.
    """

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
            name: Vm(name, rates[index % len(rates)])
            for index, name in enumerate(names)
        }
        self.now_microseconds = 0
        self.blocked_links: set[tuple[str, str]] = set()
        self.loss_rate = self.duplication_rate = 0.0
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

    # Fault injection.

    def start(self, name: str) -> None:
        vm = self.vms[name]
        vm.disk.steps_until_crash = None
        vm.disk.is_full = False
        disk = storage.RetryingDisk(
            vm.disk, lambda _: None, lambda _: None, lambda _: None
        )
        disk.waits = False
        vm.store = storage.LogStore(disk, self.rng)
        recovered = vm.store.open().unwrap()
        cfg = consensus.RaftSettings(
            vm.name,
            tuple(other.name for other in self.vms.values()),
            **self.settings,  # type: ignore[arg-type]
        )
        vm.applied, vm.inbox, vm.is_frozen = [], [], False
        rng = random.Random(self.rng.random())
        vm.node = consensus.RaftNode(cfg, recovered, rng, vm.clock.now())
        vm.driver = shell.Driver(
            vm.node.handle,
            lambda effect: self._execute_step(vm, effect),
            vm.clock,
            postponement=shell.Postponement(
                storage.DiskFull,
                lambda _: consensus.StorageFilled(),
                consensus.StorageFreed,
            ),
        )

    def kill(self, name: str) -> None:
        self.vms[name].disk.crash(self.rng)
        self.vms[name].node = None

    def lose_disk(self, name: str) -> None:
        self.vms[name].disk = CrashingDisk()
        self.start(name)

    def may_lose_disk(self, name: str) -> bool:
        """Return whether every quorum survives the loss of this disk.

        That must hold for every configuration in any log, because one takes
        effect before it is committed.
        """
        recovered = {
            vm.name: self._recover_copy(vm) for vm in self.vms.values()
        }
        alive = {(vm_id, state.disk_id) for vm_id, state in recovered.items()}
        configurations = {self.configuration}
        for state in recovered.values():
            configurations |= {
                entry.configuration
                for entry in state.entries
                if entry.configuration and entry.index > self._configured_at
            }
        return bool(self.configuration.voters) and all(
            sum(
                (voter.vm_id, voter.disk_id) in alive and voter.vm_id != name
                for voter in configuration.voters
            )
            >= configuration.quorum
            for configuration in configurations
            if configuration.voters
        )

    @staticmethod
    def _recover_copy(vm: Vm) -> storage.RecoveredState:
        copy = storage.MemoryDisk()
        for file in vm.disk.names():
            copy.replace(file, vm.disk.read(file))
        return storage.LogStore(copy).open().unwrap()

    def isolate(self, name: str) -> None:
        for other in self.vms:
            self.blocked_links |= {(name, other), (other, name)}

    def unfreeze(self, name: str) -> None:
        vm = self.vms[name]
        vm.is_frozen = False
        events, vm.inbox = vm.inbox, []
        for event in events:
            self.handle(name, event)

    # Execution.

    def run(self, milliseconds: float) -> None:
        end = self.now_microseconds + int(milliseconds * 1000)
        while self._queue and self._queue[0][0] <= end:
            due_microseconds, _, sender, name, data = heapq.heappop(
                self._queue
            )
            self._advance(due_microseconds)
            if sender:
                self._deliver(sender, name, data)
                continue
            self._push(due_microseconds + TICK_MICROSECONDS, "", name, b"")
            if not self.vms[name].is_frozen:
                self.retry_writes(name)
                self.handle(name, consensus.TimerFired())
        self._advance(end)
        self.check_leases()

    def run_until(
        self,
        is_done: collections.abc.Callable[[], bool],
        limit_ms: float,
        step_ms: float = 1,
    ) -> float:
        """Run until ``is_done``; return the elapsed milliseconds."""
        start = self.now_microseconds
        while not is_done():
            self.run(step_ms)
            elapsed = (self.now_microseconds - start) / 1000
            assert elapsed < limit_ms, f"not done within {limit_ms} ms"
        return (self.now_microseconds - start) / 1000

    def handle(self, name: str, event: consensus.Event) -> None:
        vm = self.vms[name]
        if vm.node is None or vm.driver is None:
            return
        if vm.is_frozen:
            vm.inbox.append(event)
            return
        try:
            vm.driver.submit(event)
        except PowerLoss:
            self.kill(name)
        self.check_leases()

    def retry_writes(self, name: str) -> None:
        """Repeat the writes of a VM that wait for space."""
        vm = self.vms[name]
        if vm.node is None or vm.driver is None:
            return
        try:
            vm.driver.retry_postponed()
        except PowerLoss:
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
        self.handle(name, consensus.CommandsProposed(tuple(proposals)))

    def leader(self) -> Vm | None:
        for vm in self.vms.values():
            if vm.holds_lease and not vm.is_frozen:
                return vm
        return None

    def run_until_leader(self, limit_ms: float = 5000) -> Vm:
        """Run until a member holds the lease and return its VM."""
        self.run_until(lambda: self.leader() is not None, limit_ms)
        leader = self.leader()
        assert leader is not None
        return leader

    def heal_and_converge(self, limit_ms: float = 30_000) -> None:
        """Remove all faults and run until all members agree.

        No acknowledged command may be missing on any member.
        """
        self.blocked_links.clear()
        self.loss_rate = self.duplication_rate = 0.0
        self.delay_microseconds = LINK_MICROSECONDS
        for name, vm in self.vms.items():
            if vm.node is None:
                self.start(name)
            vm.disk.steps_until_crash = None
            vm.disk.is_full = False
            if vm.is_frozen:
                self.unfreeze(name)
        self.run_until(self._has_converged, limit_ms, step_ms=20)
        for vm in self.vms.values():
            assert set(self.acknowledged) <= set(vm.applied)

    # Invariants.

    def check_leases(self) -> None:
        holders = [vm for vm in self.vms.values() if vm.holds_lease]
        assert len(holders) <= 1, [vm.name for vm in holders]
        for holder in holders:
            max_round_duration = max(
                len(vm.applied) for vm in self.vms.values()
            )
            assert len(holder.applied) >= max_round_duration

    def _check_applied(self, vm: Vm) -> None:
        index = len(vm.applied) - 1
        committed = self.committed.setdefault(index, vm.applied[index])
        assert committed == vm.applied[index], (
            f"committed entry {index} differs"
        )

    def _has_converged(self) -> bool:
        nodes = [vm.node for vm in self.vms.values() if vm.node]
        voters = {voter.vm_id for voter in self.configuration.voters}
        return (
            self.leader() is not None
            and voters == set(self.vms)
            and not self.configuration.learners
            and len({node.commit_index for node in nodes}) == 1
            and len({len(vm.applied) for vm in self.vms.values()}) == 1
        )

    def _execute_step(self, vm: Vm, effect: consensus.Effect) -> None:
        if isinstance(effect, consensus.Persist | consensus.PersistSnapshot):
            assert vm.driver is not None
            assert not vm.driver.has_postponed, "a write overtakes another"
        vm.disk.count_step()
        self._execute(vm, effect)

    def _execute(self, vm: Vm, effect: consensus.Effect) -> None:
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
                for index, command in enumerate(vm.applied):
                    assert self.committed.get(index) == command
            case consensus.RequestSnapshot(index):
                state = msgspec.msgpack.encode(vm.applied)
                vm.inbox.append(consensus.SnapshotTaken(index, state))
            case consensus.NotifyLeaderChange(_, term, True):
                assert vm.node is not None
                leader = self.leaders.setdefault(term, vm.node.member_id)
                assert leader == vm.node.member_id, (
                    f"two leaders in term {term}"
                )
            case consensus.NotifyMemberChange(index, configuration, _):
                if index >= self._configured_at:
                    self._configured_at = index
                    self.configuration = configuration
            case consensus.RejectProposal():
                self.rejected.append(effect)

    def _send(self, sender: str, recipient: str, data: bytes) -> None:
        self.sent.append((sender, data))
        if self.rng.random() < self.loss_rate:
            return
        for _ in range(2 if self.rng.random() < self.duplication_rate else 1):
            delay = LINK_MICROSECONDS
            if self.delay_microseconds > LINK_MICROSECONDS:
                delay = self.rng.randrange(self.delay_microseconds)
            due_microseconds = self.now_microseconds + delay
            self._push(due_microseconds, sender, recipient, data)

    def _deliver(self, sender: str, recipient: str, data: bytes) -> None:
        if (
            sender,
            recipient,
        ) in self.blocked_links or recipient not in self.vms:
            return
        event = consensus.PeerMessageReceived(
            model.VmId(sender), _CODEC.decode(data)
        )
        self.handle(recipient, event)

    def _push(
        self, due_microseconds: int, sender: str, name: str, data: bytes
    ) -> None:
        self._sequence += 1
        entry = (due_microseconds, self._sequence, sender, name, data)
        heapq.heappush(self._queue, entry)

    def _advance(self, to_microseconds: int) -> None:
        elapsed = to_microseconds - self.now_microseconds
        self.now_microseconds = to_microseconds
        for vm in self.vms.values():
            step = datetime.timedelta(microseconds=elapsed * vm.rate)
            vm.clock.advance(step)
            if vm.inbox and not vm.is_frozen:
                self.unfreeze(vm.name)
