"""Reducers of several VMs on one clock, with a network that can fail.

Everything is driven through the reducers' own interface: events in, effects
out.  The clock, the disks, the network and the endpoints are fakes.
"""

import collections
import collections.abc
import datetime
import heapq
import itertools
import random
import typing

import msgspec

from sedgepin import _consensus as consensus
from sedgepin import _control as control
from sedgepin import _entry as entry
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _release as release
from sedgepin import _state as state
from sedgepin import _storage as storage
from sedgepin import clock
from sedgepin import settings
from sedgepin.tests import fake_endpoints
from sedgepin.tests import fakes
from sedgepin.tests import processes

_HOP = datetime.timedelta(milliseconds=0.5)
_TICK = {"entry": 0.05, "control": 0.02}

FIRST_NOTE = processes.first_note()


class Simulation:
    """A whole system in one process."""

    def __init__(
        self,
        controls: int = 3,
        entries: int = 3,
        replicas: int = 2,
        seed: int = 1,
    ) -> None:
        self.clock = clock.ManualClock()
        self.fake_endpoints = fake_endpoints.FakeEndpoints(self)
        self.random = random.Random(seed)
        self.queue: list[typing.Any] = []
        self.counter = itertools.count()
        self.blocked_links: set[tuple[str, str]] = set()
        self.links: set[tuple[str, str]] = set()
        self.executions: collections.Counter[str] = collections.Counter()
        self.runs: list[tuple[str, int, int, tuple[typing.Any, ...]]] = []
        self.orders: list[tuple[str, release.Order, datetime.datetime]] = []
        self.vms: dict[str, fakes.Vm] = {}
        self.endpoints: dict[str, fakes.Endpoint] = {}
        self.pieces: list[tuple[str, model.TokenPiece]] = []
        self.produced: dict[tuple[str, int], int] = {}
        self.executed_requests: set[str] = set()
        self.note_numbers: dict[str, int] = {}
        self.note_regressions: list[tuple[str, int]] = []
        self.partitioned_at: dict[str, datetime.datetime] = {}
        self.wrong_resumptions: list[typing.Any] = []
        centres = processes.DATA_CENTRES
        for number in range(controls):
            self._add_vm(
                f"control-{number + 1}", "control", centres[number % 3]
            )
        for number in range(entries):
            self._add_vm(f"entry-{number + 1}", "entry", centres[number % 3])
        for first, end in processes.STAGES:
            for copy in range(replicas):
                self.add_endpoint(
                    f"engine-{first}-{copy}",
                    centres[copy % 3],
                    model.LayerRange(first, end),
                )
        self.add_endpoint("ledger", centres[0], None)
        for vm in self.vms.values():
            self.start(vm.name)

    @property
    def now(self) -> datetime.datetime:
        """Return the true time."""
        return self.clock.now()

    def run(self, duration: float) -> None:
        """Let time pass."""
        until = self.now + fakes.seconds(duration)
        while self.queue and self.queue[0][0] <= until:
            at, _order, act = heapq.heappop(self.queue)
            self.clock.advance(max(at - self.now, fakes.seconds(0)))
            act()
        self.clock.advance(until - self.now)

    def run_until(
        self,
        holds: collections.abc.Callable[[], bool],
        limit: float = 10.0,
    ) -> float:
        """Let time pass until ``holds``; return the seconds it took."""
        started = self.now
        while not holds():
            assert self.now - started < fakes.seconds(limit), "waited in vain"
            self.run(0.01)
        return (self.now - started).total_seconds()

    def start(self, name: str) -> None:
        """Start a process from what its disk holds."""
        vm = self.vms[name]
        vm.life += 1
        vm.is_frozen = False
        vm.backlog.clear()
        vm.callers = {}
        generator = random.Random(self.random.random())
        if vm.role == "control":
            vm.store = storage.LogStore(vm.disk, generator)
            found = vm.store.open().unwrap()
            vm.reducer = control.ControlReducer(
                self._settings(vm), found, generator, self.now
            )
        else:
            incarnation = model.Incarnation(vm.life * 1000)
            vm.reducer = entry.EntryReducer(
                self._settings(vm), incarnation, generator, self.now
            )
        self._tick(vm, vm.life)

    def kill(self, name: str) -> None:
        """Kill a process; what its disk had not synced is lost."""
        vm = self.vms[name]
        vm.reducer = None
        vm.life += 1
        vm.disk.crash(self.random)
        for link in [link for link in self.links if name in link]:
            self._drop_link(*link)

    def replace_disk(self, name: str) -> None:
        """Replace the disk of a process by an empty one."""
        self.vms[name].disk = storage.MemoryDisk()

    def freeze(self, name: str) -> None:
        """Stop a process; what is sent to it waits."""
        self.vms[name].is_frozen = True

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""
        vm = self.vms[name]
        vm.is_frozen = False
        waiting, vm.backlog = vm.backlog, []
        for act in waiting:
            act()

    def block_messages(
        self, first: str, second: str, bidirectional: bool = True
    ) -> None:
        """Lose all that ``first`` sends to ``second``."""
        self.blocked_links.add((first, second))
        self.partitioned_at[first] = self.now
        if bidirectional:
            self.blocked_links.add((second, first))

    def isolate_data_centre(self, data_centre: str) -> None:
        """Cut a data centre off from all others."""
        everyone: list[fakes.Vm | fakes.Endpoint] = []
        everyone += [*self.vms.values(), *self.endpoints.values()]
        inside = [
            one.name for one in everyone if one.data_centre == data_centre
        ]
        others = [
            one.name for one in everyone if one.data_centre != data_centre
        ]
        for first, second in itertools.product(inside, others):
            self.block_messages(first, second)

    def unblock_all(self) -> None:
        """End all cuts."""
        self.blocked_links.clear()

    def leader(self) -> str | None:
        """Return the control VM that leads and holds its lease."""
        for vm in self.vms.values():
            if vm.role == "control" and vm.reducer is not None:
                if vm.reducer.raft.holds_lease(self.now) and not vm.is_frozen:
                    return vm.name
        return None

    def control_vm_names(self) -> list[str]:
        """Return the control VMs."""
        return [vm.name for vm in self.vms.values() if vm.role == "control"]

    def note_number_in_force(self, name: str) -> int | None:
        """Return the note in force on an entry VM."""
        reducer = self.vms[name].reducer
        return (
            None if reducer is None else reducer.status(self.now).note_number
        )

    def publish(self, name: str, note: dict[str, typing.Any]) -> fakes.Caller:
        """Publish a note at a control VM."""
        parsed = release.parse_note(msgspec.json.encode(note)).unwrap()
        command = state.PublishNote(at=self.now, actor="op", note=parsed)
        exchange_id = next(self.counter)
        caller = fakes.Caller(self.now)
        self.vms[name].callers[exchange_id] = caller
        self.submit(name, control.OperatorProposed(exchange_id, command))
        return caller

    def start_and_publish(self) -> None:
        """Wait for a leader, publish the first note, wait for it."""
        self.run_until(lambda: self.leader() is not None)
        leader = self.leader()
        assert leader is not None
        self.publish(leader, FIRST_NOTE)
        entries = [vm.name for vm in self.vms.values() if vm.role == "entry"]
        self.run_until(
            lambda: all(self.note_number_in_force(one) == 1 for one in entries)
        )
        self.run(2.0)

    def send_prompt(
        self,
        name: str,
        prompt: str,
        tokens: int = 20,
        customer: str = "cooperative-1",
        allowed: float = 30.0,
    ) -> fakes.Caller:
        """Ask for an answer."""
        request_id = model.RequestId(f"r{next(self.counter)}")
        caller = fakes.Caller(self.now)
        self.vms[name].callers[request_id] = caller
        request = entry.GenerateRequest(
            request_id=request_id,
            customer=model.CustomerId(customer),
            service=model.ServiceName("assistant"),
            prompt=prompt,
            limit_tokens=tokens,
            priority=1,
            timeout=fakes.seconds(allowed),
            body_digest=prompt,
        )
        self.submit(name, entry.GenerateRequested(request))
        return caller

    def call_ledger(
        self, name: str, key: str, method: str = "POST", body: bytes = b"{}"
    ) -> fakes.Caller:
        """Call the plain service."""
        request_id = model.RequestId(f"r{next(self.counter)}")
        caller = fakes.Caller(self.now)
        self.vms[name].callers[request_id] = caller
        request = entry.ServiceRequest(
            request_id=request_id,
            customer=model.CustomerId("cooperative-1"),
            service=model.ServiceName("ledger"),
            method=method,
            path="/receipts",
            headers=(),
            body=body,
            body_digest=body.hex(),
            idempotency_key=key,
            priority=1,
            timeout=fakes.seconds(10),
        )
        self.submit(name, entry.ServiceCallRequested(request))
        return caller

    def submit(self, name: str, event: typing.Any) -> None:
        """Give a process an event, now or when it wakes."""
        vm = self.vms[name]
        if vm.reducer is None:
            return
        if vm.is_frozen:
            life = vm.life
            vm.backlog.append(
                lambda: self.submit(name, event) if vm.life == life else None
            )
            return
        for effect in vm.reducer.handle(event, self.now):
            self.apply_effect(vm, effect)

    def resend_all_pieces(self) -> None:
        """Let every piece so far come again, on every stream."""
        streams = {
            (name, piece.request_id, piece.attempt)
            for name, piece in self.pieces
        }
        for name, request_id, attempt in sorted(streams):
            for _name, piece in list(self.pieces):
                arrived = entry.PieceArrived(request_id, attempt, piece)
                self.submit(name, arrived)

    def schedule(
        self, delay: float, act: collections.abc.Callable[[], None]
    ) -> None:
        """Do something after a delay in seconds."""
        at = self.now + fakes.seconds(delay)
        heapq.heappush(self.queue, (at, next(self.counter), act))

    def add_endpoint(
        self, name: str, data_centre: str, layers: model.LayerRange | None
    ) -> fakes.Endpoint:
        """Add an endpoint that announces itself from now on."""
        endpoint = fakes.Endpoint(model.EndpointId(name), data_centre, layers)
        self.endpoints[name] = endpoint
        self.schedule(
            self.random.random() * 0.1,
            lambda: self.fake_endpoints.announce(endpoint),
        )
        return endpoint

    def start_leaving(self, name: str) -> None:
        """Let an endpoint start to leave."""
        self.endpoints[name].is_leaving = True

    def _add_vm(self, name: str, role: str, data_centre: str) -> None:
        self.vms[name] = fakes.Vm(name, role, data_centre)

    def _settings(self, vm: fakes.Vm) -> typing.Any:
        def peers(role: str) -> tuple[settings.Peer, ...]:
            return tuple(
                settings.Peer(
                    id=one.name,
                    address="127.0.0.1:1",
                    data_centre=one.data_centre,
                )
                for one in self.vms.values()
                if one.role == role
            )

        common: dict[str, typing.Any] = {
            "id": vm.name,
            "data_centre": vm.data_centre,
            "peer_listen": "127.0.0.1:1",
            "controls": peers("control"),
        }
        if vm.role == "control":
            return settings.ControlSettings(
                **common,
                operator_listen="127.0.0.1:1",
                data_folder="",
                operators=(),
            )
        customers = tuple(
            settings.Customer(id=f"cooperative-{n}", credential_sha256="")
            for n in (1, 2)
        )
        return settings.EntrySettings(
            **common,
            caller_listen="127.0.0.1:1",
            entries=peers("entry"),
            customers=customers,
        )

    def _tick(self, vm: fakes.Vm, life: int) -> None:
        if vm.life != life or vm.reducer is None:
            return
        self.schedule(_TICK[vm.role], lambda: self._tick(vm, life))
        if not vm.is_frozen:
            self._connect(vm)
            timer = control if vm.role == "control" else entry
            self.submit(vm.name, timer.TimerFired())
            self._watch_note(vm)

    def _watch_note(self, vm: fakes.Vm) -> None:
        """Note it when a VM that is ready follows an older note."""
        if vm.role != "entry" or not vm.reducer.is_ready:
            return
        number = vm.reducer.status(self.now).note_number
        if number < self.note_numbers.get(vm.name, 0):
            self.note_regressions.append((vm.name, number))
        self.note_numbers[vm.name] = number

    def _connect(self, vm: fakes.Vm) -> None:
        """Bring up and take down streams as the cuts allow."""
        for other in self.vms.values():
            link = (vm.name, other.name)
            wanted = (
                other.reducer is not None
                and other is not vm
                and link not in self.blocked_links
                and link[::-1] not in self.blocked_links
            )
            if wanted and link not in self.links and not other.is_frozen:
                for near, far in ((vm, other), (other, vm)):
                    self.links.add((near.name, far.name))
                    hello = protocol.Hello(
                        far.name,
                        far.role,
                        model.DataCentreId(far.data_centre),
                        model.Incarnation(far.life),
                    )
                    self.submit(near.name, protocol.PeerConnected(hello))

    def _drop_link(self, near: str, far: str) -> None:
        self.links.discard((near, far))
        self.submit(near, protocol.PeerDisconnected(model.VmId(far)))

    def apply_effect(self, vm: fakes.Vm, effect: typing.Any) -> None:
        """Carry out one effect of a process."""
        match effect:
            case control.SendMessage() | entry.SendMessage():
                self._send(vm, effect.recipient, effect.message)
            case consensus.Persist():
                assert vm.store is not None
                vm.store.append(
                    effect.hard_state, effect.truncate_from, effect.entries
                )
            case consensus.PersistSnapshot():
                assert vm.store is not None
                vm.store.save_snapshot(effect.snapshot, effect.entries)
            case control.AnswerOperator():
                self._hear(vm, effect.exchange_id, answer=effect.answer)
            case control.SendOrder():
                self.fake_endpoints.order(vm, effect.order)
            case entry.StartStream():
                life = vm.life
                self.schedule(
                    0.001,
                    lambda: self.fake_endpoints.prefill(vm, life, effect),
                )
            case entry.CancelStream():
                vm.cancelled.add((effect.request_id, effect.attempt))
            case entry.ProbeStages():
                self.schedule(
                    0.001, lambda: self.fake_endpoints.probe(vm, effect)
                )
            case entry.CallService():
                life = vm.life
                self.schedule(
                    0.001, lambda: self.fake_endpoints.call(vm, life, effect)
                )
            case entry.DeliverPieces():
                caller = vm.callers[effect.request_id]
                caller.texts.extend(effect.texts)
                caller.piece_times.append(self.now)
            case entry.EndAnswer():
                self._hear(vm, effect.request_id, ended=effect.finish_reason)
            case entry.AnswerCall():
                self._hear(vm, effect.request_id, answer=effect)
            case entry.RefuseCaller():
                self._hear(vm, effect.request_id, failure=effect.failure)

    def _hear(
        self, vm: fakes.Vm, key: typing.Any, **heard: typing.Any
    ) -> None:
        caller = vm.callers.get(key)
        if caller is None:
            return
        assert not caller.is_finished, "answered twice"
        caller.answered_at = self.now
        for name, value in heard.items():
            setattr(caller, name, value)

    def reaches(self, sender: str, recipient: str) -> bool:
        """Tell whether what one sends gets to the other."""
        return (sender, recipient) not in self.blocked_links

    def _send(self, vm: fakes.Vm, recipient: str, message: typing.Any) -> None:
        raw = protocol.encode_messages([message])
        target = self.vms.get(recipient)
        if target is None or not self.reaches(vm.name, recipient):
            return
        life = target.life
        (copied,) = protocol.decode_messages(raw[4:]).unwrap()
        arrived = protocol.PeerMessageReceived(vm.name, copied)

        def deliver() -> None:
            if target.life == life:
                self.submit(recipient, arrived)

        self.schedule(_HOP.total_seconds(), deliver)
