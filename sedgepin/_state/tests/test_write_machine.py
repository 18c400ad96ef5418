"""Stateful test of at-most-once writes with entry VMs and control state.

Each message is a separate step, so that a crash or freeze may occur before
or after any of them.  Messages may be lost, duplicated, delayed and
reordered.
"""

import collections.abc
import dataclasses
import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sedgepin import _model as model
from sedgepin import _state as state
from sedgepin import _writes as writes
from sedgepin import clock
from sedgepin import errors

_CUSTOMER = model.CustomerId("jendouba")
_START = datetime.datetime(2026, 10, 3, tzinfo=datetime.timezone.utc)
_DATED_KEY = f"{int(_START.timestamp())}-receipt"
_KEYS = (_DATED_KEY, "receipt-without-date")
_ENTRIES = ("e1", "e2")
_DISPATCH_OUTCOMES = ("cut", "run", "refuse", "unsent", "lost", "run")
_PICKS = st.integers(min_value=0, max_value=10_000)
_SECOND = datetime.timedelta(seconds=1)
_POLICY = writes.WritePolicy(retention=60 * _SECOND, answer_limit_bytes=64)


@dataclasses.dataclass(slots=True, frozen=True)
class _Message:
    """A command, a reply, a dispatch or its outcome in transit."""

    vm_id: str
    incarnation: int
    request_id: model.RequestId
    body: object


class _Entry:
    """One incarnation of an entry VM, with its pending effects."""

    def __init__(self, vm_id: str, incarnation: int) -> None:
        self.vm_id = model.VmId(vm_id)
        self.incarnation = model.Incarnation(incarnation)
        self.coordinator = writes.WriteCoordinator(
            self.vm_id, self.incarnation
        )
        self.outbox: list[writes.Effect] = []
        self.timer: datetime.datetime | None = None
        self.is_frozen = False
        self.waiting: set[model.RequestId] = set()


class WriteMachine(stateful.RuleBasedStateMachine):
    """Entry VMs, control state and endpoints under random faults."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock.ManualClock(_START)
        self.control = state.ControlState()
        self.entries = {vm_id: _Entry(vm_id, 1) for vm_id in _ENTRIES}
        self.keys: dict[model.RequestId, str] = {}
        self.commands: list[_Message] = []
        self.replies: list[_Message] = []
        self.dispatches: list[_Message] = []
        self.outcomes: list[_Message] = []
        self.runs_by_key: dict[str, list[model.RequestId]] = {}
        self.not_run: set[model.RequestId] = set()
        self.answers_by_key: dict[str, set[writes.StoredAnswer]] = {}
        self.apply(
            state.ConfigureWrites(at=_START, actor="test", policy=_POLICY)
        )
        for entry in self.entries.values():
            self.register(entry)

    # The parts of the system.

    def apply(self, command: state.Command) -> state.Reply:
        stamped = state.stamp(command, self.clock.now())
        return self.control.apply(self.control.applied_index + 1, stamped)

    def register(self, entry: _Entry) -> None:
        command = state.RegisterVm(
            at=_START,
            actor=entry.vm_id,
            vm_id=entry.vm_id,
            incarnation=entry.incarnation,
            data_centre=model.DataCentreId("beja"),
            roles=("entry",),
            address="127.0.0.1:1",
        )
        assert isinstance(self.apply(command), state.Recorded)

    def handle(self, entry: _Entry, event: writes.Event) -> None:
        for effect in entry.coordinator.handle(event, self.clock.now()):
            if isinstance(effect, writes.StartTimer):
                entry.timer = effect.due
            else:
                entry.outbox.append(effect)

    def handle_message(self, message: _Message, event: writes.Event) -> None:
        entry = self.entries[message.vm_id]
        if entry.incarnation == message.incarnation:
            self.handle(entry, event)

    def can_receive(self, message: _Message) -> bool:
        entry = self.entries[message.vm_id]
        return not entry.is_frozen or entry.incarnation != message.incarnation

    def execute(self, entry: _Entry, effect: writes.Effect) -> None:
        match effect:
            case writes.AnswerCaller(request_id, answer):
                assert request_id in entry.waiting, (
                    f"{request_id} was answered twice"
                )
                entry.waiting.remove(request_id)
                self.record_answer(request_id, answer)
            case writes.ProposeCommand(request_id, command):
                self.commands.append(self.message(entry, request_id, command))
            case writes.DispatchWrite(request_id):
                self.dispatches.append(self.message(entry, request_id, None))

    def message(
        self, entry: _Entry, request_id: model.RequestId, body: object
    ) -> _Message:
        return _Message(entry.vm_id, entry.incarnation, request_id, body)

    def record_answer(
        self,
        request_id: model.RequestId,
        answer: writes.StoredAnswer | writes.WriteFailure,
    ) -> None:
        key = self.keys[request_id]
        if isinstance(answer, writes.StoredAnswer):
            self.answers_by_key.setdefault(key, set()).add(answer)
        elif answer.outcome is errors.Outcome.NOT_RUN:
            self.not_run.add(request_id)
        elif answer.outcome is errors.Outcome.RAN:
            assert self.runs_by_key.get(key), (
                f"{request_id} was reported as run, but {key} has not run"
            )

    def answer_of(self, request_id: model.RequestId) -> writes.StoredAnswer:
        # From r10 on, answers exceed ``answer_limit_bytes``.
        large = b"x" * 100 * (len(request_id) > 2)
        return writes.StoredAnswer(201, (), request_id.encode() + large)

    def send_to_control(self, message: _Message) -> None:
        assert isinstance(message.body, writes.WriteCommand)
        reply = None
        if isinstance(message.body, writes.BeginWrite):
            reply = self.control.peek(message.body)
        if reply is None:
            reply = self.apply(message.body)
        self.replies.append(dataclasses.replace(message, body=reply))

    def run_write(self, message: _Message) -> None:
        key = self.keys[message.request_id]
        self.runs_by_key.setdefault(key, []).append(message.request_id)
        answer = self.answer_of(message.request_id)
        event = writes.EndpointAnswered(message.request_id, answer)
        self.outcomes.append(dataclasses.replace(message, body=event))

    # Requests, deliveries and faults.

    @stateful.rule(
        vm_id=st.sampled_from(_ENTRIES),
        key=st.sampled_from(_KEYS),
        timeout_seconds=st.integers(min_value=1, max_value=8),
        steps=st.integers(min_value=0, max_value=10),
        outcome=st.sampled_from(_DISPATCH_OUTCOMES),
    )
    def request(
        self,
        vm_id: str,
        key: str,
        timeout_seconds: int,
        steps: int,
        outcome: str,
    ) -> None:
        """Send or repeat a write and run some steps without faults."""
        entry = self.entries[vm_id]
        if entry.is_frozen:
            return
        request_id = model.RequestId(f"r{len(self.keys)}")
        self.keys[request_id] = key
        entry.waiting.add(request_id)
        deadline = self.clock.now() + timeout_seconds * _SECOND
        event = writes.WriteRequested(
            request_id, _CUSTOMER, key, b"digest", deadline
        )
        self.handle(entry, event)
        self.advance(vm_id, steps, outcome=outcome)

    @stateful.rule(
        vm_id=st.sampled_from(_ENTRIES),
        steps=st.integers(min_value=1, max_value=10),
        is_duplicated=st.booleans(),
        outcome=st.sampled_from(_DISPATCH_OUTCOMES),
    )
    def advance(
        self,
        vm_id: str,
        steps: int,
        is_duplicated: bool = False,
        outcome: str = "run",
    ) -> None:
        """Run the next steps of an entry, one message each."""
        for _ in range(steps):
            if not self.entries[vm_id].is_frozen:
                self.advance_one_step(vm_id, is_duplicated, outcome)

    def advance_one_step(
        self, vm_id: str, is_duplicated: bool, outcome: str
    ) -> None:
        """Run the next effect of an entry, or deliver a message of it."""
        entry = self.entries[vm_id]
        if entry.outbox:
            return self.execute(entry, entry.outbox.pop(0))
        waiting: list[
            tuple[list[_Message], collections.abc.Callable[[int], None]]
        ] = [
            (
                self.outcomes,
                lambda position: self.deliver_outcome(position, False),
            ),
            (
                self.replies,
                lambda position: self.deliver_reply(position, is_duplicated),
            ),
            (
                self.commands,
                lambda position: self.deliver_command(position, False),
            ),
            (
                self.dispatches,
                lambda position: self.finish_dispatch(position, outcome),
            ),
        ]
        for queue, deliver in waiting:
            for position, message in enumerate(queue):
                if message.vm_id == vm_id:
                    return deliver(position)

    @stateful.precondition(lambda self: self.commands)
    @stateful.rule(pick=_PICKS, is_duplicated=st.booleans())
    def deliver_command(self, pick: int, is_duplicated: bool) -> None:
        """Commit a command; leave a duplicate in transit if asked to."""
        position = pick % len(self.commands)
        self.send_to_control(self.commands[position])
        if not is_duplicated:
            del self.commands[position]

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(pick=_PICKS, is_duplicated=st.booleans())
    def deliver_reply(self, pick: int, is_duplicated: bool) -> None:
        """Deliver a reply to its entry; leave a duplicate if asked to."""
        position = pick % len(self.replies)
        message = self.replies[position]
        if not self.can_receive(message):
            return
        if not is_duplicated:
            del self.replies[position]
        reply = message.body
        assert isinstance(reply, writes.WriteReply)
        event = writes.ControlAnswered(message.request_id, reply)
        self.handle_message(message, event)

    @stateful.precondition(lambda self: self.commands or self.replies)
    @stateful.rule(pick=_PICKS, is_noticed=st.booleans())
    def lose_message(self, pick: int, is_noticed: bool) -> None:
        """Lose a command or a reply; the entry may notice it."""
        queue = self.commands or self.replies
        message = queue.pop(pick % len(queue))
        if is_noticed and self.can_receive(message):
            event = writes.ControlUnreachable(message.request_id)
            self.handle_message(message, event)

    @stateful.precondition(lambda self: self.dispatches)
    @stateful.rule(
        pick=_PICKS,
        outcome=st.sampled_from(_DISPATCH_OUTCOMES),
    )
    def finish_dispatch(self, pick: int, outcome: str) -> None:
        """Let the endpoint run the write or fail with ``outcome``.

        After a cut connection the call may still reach the endpoint later.
        """
        position = pick % len(self.dispatches)
        message = self.dispatches[position]
        request_id = message.request_id
        event: writes.Event = writes.EndpointFailedAfterSend(request_id)
        if outcome != "cut":
            del self.dispatches[position]
        if outcome == "run":
            return self.run_write(message)
        if outcome == "refuse":
            answer = writes.StoredAnswer(503)
            event = writes.EndpointAnswered(request_id, answer, True)
        if outcome == "unsent":
            event = writes.EndpointConnectFailed(request_id)
        self.outcomes.append(dataclasses.replace(message, body=event))

    @stateful.precondition(lambda self: self.outcomes)
    @stateful.rule(pick=_PICKS, is_connection_cut=st.booleans())
    def deliver_outcome(self, pick: int, is_connection_cut: bool) -> None:
        """Deliver an endpoint's answer to its entry, or lose it."""
        message = self.outcomes[pick % len(self.outcomes)]
        if not self.can_receive(message):
            return
        self.outcomes.remove(message)
        event = message.body
        assert isinstance(event, writes.AttemptEvent)
        if is_connection_cut and isinstance(event, writes.EndpointAnswered):
            event = writes.EndpointFailedAfterSend(message.request_id)
        self.handle_message(message, event)

    @stateful.rule(
        milliseconds=st.sampled_from([50, 300, 700, 2100, 9000, 130_000])
    )
    def pass_time(self, milliseconds: int) -> None:
        """Advance the clock and fire the timers of entries not frozen."""
        self.clock.advance(datetime.timedelta(milliseconds=milliseconds))
        for entry in self.entries.values():
            self.fire_timer(entry)

    def fire_timer(self, entry: _Entry) -> None:
        is_due = entry.timer is not None and entry.timer <= self.clock.now()
        if is_due and not entry.is_frozen:
            entry.timer = None
            self.handle(entry, writes.TimerFired())

    @stateful.rule(vm_id=st.sampled_from(_ENTRIES))
    def disconnect_caller(self, vm_id: str) -> None:
        """Close the connection of a caller that waits for its answer."""
        entry = self.entries[vm_id]
        if entry.is_frozen or not entry.waiting:
            return
        request_id = min(entry.waiting)
        is_answered = any(
            isinstance(effect, writes.AnswerCaller)
            and effect.request_id == request_id
            for effect in entry.outbox
        )
        if is_answered:
            return
        entry.waiting.remove(request_id)
        self.handle(entry, writes.CallerDisconnected(request_id))

    @stateful.precondition(lambda self: not self.frozen_entries())
    @stateful.rule(
        vm_id=st.sampled_from(_ENTRIES), is_declared_lost=st.booleans()
    )
    def freeze(self, vm_id: str, is_declared_lost: bool) -> None:
        """Freeze an entry; it may then be declared lost."""
        entry = self.entries[vm_id]
        entry.is_frozen = True
        if not is_declared_lost:
            return
        self.apply(
            state.DeclareVmLost(
                at=_START,
                actor="leader",
                vm_id=entry.vm_id,
                incarnation=entry.incarnation,
            )
        )

    @stateful.precondition(lambda self: self.frozen_entries())
    @stateful.rule()
    def unfreeze(self) -> None:
        """Resume frozen entries where they stopped."""
        for entry in self.frozen_entries():
            entry.is_frozen = False
            self.fire_timer(entry)

    def frozen_entries(self) -> list[_Entry]:
        return [entry for entry in self.entries.values() if entry.is_frozen]

    @stateful.rule(vm_id=st.sampled_from(_ENTRIES))
    def crash(self, vm_id: str) -> None:
        """Restart an entry, losing its memory and pending effects."""
        entry = _Entry(vm_id, self.entries[vm_id].incarnation + 1)
        self.entries[vm_id] = entry
        self.register(entry)

    @stateful.rule()
    def restart_control(self) -> None:
        """Reload the control state from a snapshot."""
        self.control = state.ControlState.load(self.control.dump()).unwrap()

    # Invariants.

    @stateful.invariant()
    def each_key_runs_at_most_once(self) -> None:
        """No key runs twice."""
        assert all(len(runs) <= 1 for runs in self.runs_by_key.values())

    @stateful.invariant()
    def not_run_requests_never_run(self) -> None:
        """A request answered as not run has not run and never will."""
        for runs in self.runs_by_key.values():
            assert not self.not_run.intersection(runs)

    @stateful.invariant()
    def answers_never_change(self) -> None:
        """All callers with the same key get the answer of its only run."""
        for key, answers in self.answers_by_key.items():
            assert answers == {self.answer_of(self.runs_by_key[key][0])}

    def teardown(self) -> None:
        """Once faults end, all callers are answered and all attempts end."""
        for entry in self.entries.values():
            entry.is_frozen = False
        for _ in range(40):
            self.deliver_everything()
            self.clock.advance(_SECOND)
        for entry in self.entries.values():
            assert not entry.waiting, f"unanswered requests: {entry.waiting}"
            assert not len(entry.coordinator), (
                f"{len(entry.coordinator)} attempts did not end"
            )
        self.each_key_runs_at_most_once()
        self.not_run_requests_never_run()
        self.answers_never_change()
        for key in _KEYS:
            self.check_key_is_not_held(key)

    def check_key_is_not_held(self, key: str) -> None:
        """Check that no lost write holds the key and blocks its callers."""
        begin = writes.BeginWrite(
            at=self.clock.now(),
            actor="test",
            customer=_CUSTOMER,
            key=key,
            holder=writes.WriteHolder(
                model.VmId("e9"), model.Incarnation(1), model.RequestId("last")
            ),
            digest=b"digest",
        )
        reply = self.apply(begin)
        assert not isinstance(reply, writes.WriteInProgress)

    def deliver_everything(self) -> None:
        """Run all pending effects and deliver all messages, without faults."""
        for message in self.dispatches:
            self.run_write(message)
        self.dispatches.clear()
        for entry in self.entries.values():
            self.fire_timer(entry)
            while entry.outbox:
                self.execute(entry, entry.outbox.pop(0))
        while self.outcomes:
            self.deliver_outcome(0, False)
        while self.commands:
            self.deliver_command(0, False)
        while self.replies:
            self.deliver_reply(0, False)


TestWriteMachine = WriteMachine.TestCase
TestWriteMachine.settings = hypothesis.settings(
    max_examples=250, stateful_step_count=40
)
