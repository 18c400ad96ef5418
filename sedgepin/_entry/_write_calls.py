"""Runs the write coordinators and carries out their effects."""

import abc
import datetime

from sedgepin._entry import _command_client
from sedgepin._entry import _effects
from sedgepin import _model as model
from sedgepin import _state as state
from sedgepin import _writes as writes

Effects = list[_effects.EntryEffect]


class WriteCallHandler(abc.ABC):
    """Sends and answers the calls that the writes belong to."""

    @abc.abstractmethod
    def dispatch_write(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> Effects:
        """Send the call to one endpoint; called at most once per write."""

    @abc.abstractmethod
    def answer_write(
        self,
        request_id: model.RequestId,
        answer: writes.StoredAnswer | writes.WriteFailure,
        now: datetime.datetime,
    ) -> Effects:
        """Send the caller the outcome of its call and close the call."""


class _ScheduledCoordinator:
    """A write coordinator and the time at which its timer fires."""

    __slots__ = ("coordinator", "due")

    def __init__(self, coordinator: writes.WriteCoordinator) -> None:
        self.coordinator = coordinator
        self.due: datetime.datetime | None = None


class WriteCalls:
    """The write coordinators of this VM, one for each incarnation.

    New writes go to the newest one; older ones are kept until their writes
    are settled.
    """

    __slots__ = ("_command_client", "_coordinators", "_handler", "_vm_id")

    def __init__(
        self,
        vm_id: model.VmId,
        incarnation: model.Incarnation,
        command_client: _command_client.CommandClient,
        handler: WriteCallHandler,
    ) -> None:
        self._vm_id = vm_id
        self._command_client = command_client
        self._handler = handler
        self._coordinators: list[_ScheduledCoordinator] = []
        self.change_incarnation(incarnation)

    @property
    def are_settled(self) -> bool:
        """Return whether the record of every write states its outcome."""
        return not any(
            len(scheduled.coordinator) for scheduled in self._coordinators
        )

    def change_incarnation(self, incarnation: model.Incarnation) -> None:
        """Begin new writes under another incarnation.

        Writes under way are settled under the incarnation that they began
        with.
        """
        self._coordinators = [
            scheduled
            for scheduled in self._coordinators
            if len(scheduled.coordinator)
        ]
        self._coordinators.append(
            _ScheduledCoordinator(
                writes.WriteCoordinator(self._vm_id, incarnation)
            )
        )

    def handle_progress(
        self, progress: _command_client.CommandProgress, now: datetime.datetime
    ) -> Effects:
        """Pass the progress of a write's command to its coordinator.

        Replies to commands that do not concern writes are ignored.
        """
        match progress:
            case _command_client.CommandSent(effect):
                return [effect]
            case _command_client.CommandUnconfirmed(subject):
                unreachable = writes.ControlUnreachable(
                    model.RequestId(subject)
                )
                return self.handle(unreachable, now)
            case _command_client.CommandCommitted(subject, raw):
                reply = state.decode_reply(raw).unwrap_or(None)
                if not isinstance(reply, writes.WriteReply):
                    return []
                answered = writes.ControlAnswered(
                    model.RequestId(subject), reply
                )
                return self.handle(answered, now)

    def tick(self, now: datetime.datetime) -> Effects:
        """Run the coordinators whose timer is due."""
        effects: Effects = []
        for scheduled in self._coordinators:
            if scheduled.due is not None and now >= scheduled.due:
                scheduled.due = None
                effects += self._run(scheduled, writes.TimerFired(), now)
        return effects

    def handle(
        self,
        event: writes.WriteRequested | writes.AttemptEvent,
        now: datetime.datetime,
    ) -> Effects:
        """Pass an event to the coordinators and carry out their effects.

        A new write goes to the newest coordinator.  Other events go to all:
        only the one that knows the request returns effects, but each tracks
        whether the control VMs are reachable.
        """
        newest = self._coordinators[-1]
        if isinstance(event, writes.WriteRequested):
            return self._run(newest, event, now)
        effects: Effects = []
        for scheduled in tuple(self._coordinators):
            effects += self._run(scheduled, event, now)
        return effects

    def _run(
        self,
        scheduled: _ScheduledCoordinator,
        event: writes.Event,
        now: datetime.datetime,
    ) -> Effects:
        effects: Effects = []
        for effect in scheduled.coordinator.handle(event, now):
            match effect:
                case writes.ProposeCommand(request_id, command):
                    raw = state.encode_command(command)
                    progress = self._command_client.send(request_id, raw)
                    effects += self.handle_progress(progress, now)
                case writes.DispatchWrite(request_id):
                    effects += self._handler.dispatch_write(request_id, now)
                case writes.AnswerCaller(request_id, answer):
                    effects += self._handler.answer_write(
                        request_id, answer, now
                    )
                case writes.StartTimer(due):
                    scheduled.due = due
        return effects
