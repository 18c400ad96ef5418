"""Writes under way: what the coordinator wants done, carried out."""

import abc
import datetime

from sedgepin._entry import _control_asks
from sedgepin._entry import _effects
from sedgepin import _model as model
from sedgepin import _state as state
from sedgepin import _writes as writes

Effects = list[_effects.EntryEffect]


class WriteHost(abc.ABC):
    """Whoever holds the calls that the writes belong to."""

    @abc.abstractmethod
    def dispatch_write(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> Effects:
        """Send the call to one endpoint, once."""

    @abc.abstractmethod
    def answer_write(
        self,
        request_id: model.RequestId,
        answer: writes.StoredAnswer | writes.WriteFailure,
        now: datetime.datetime,
    ) -> Effects:
        """Tell the caller how its call ended."""


class _Coordinated:
    """A write coordinator and when it is due."""

    __slots__ = ("due", "writes")

    def __init__(self, coordinator: writes.WriteCoordinator) -> None:
        self.writes = coordinator
        self.due: datetime.datetime | None = None


class WriteCalls:
    """The write coordinators of this VM: one for each of its lives."""

    __slots__ = ("_asks", "_coordinators", "_host", "_vm_id")

    def __init__(
        self,
        vm_id: model.VmId,
        incarnation: model.Incarnation,
        asks: _control_asks.ControlAsks,
        host: WriteHost,
    ) -> None:
        self._vm_id = vm_id
        self._asks = asks
        self._host = host
        self._coordinators: list[_Coordinated] = []
        self.change_incarnation(incarnation)

    @property
    def are_settled(self) -> bool:
        """Tell whether every write's record says how it ended."""
        return not any(len(one.writes) for one in self._coordinators)

    def change_incarnation(self, incarnation: model.Incarnation) -> None:
        """Begin new writes under another incarnation.

        Those under way are settled under the one that they began with.
        """
        self._coordinators = [
            one for one in self._coordinators if len(one.writes)
        ]
        self._coordinators.append(
            _Coordinated(writes.WriteCoordinator(self._vm_id, incarnation))
        )

    def control_progress(
        self, progress: _control_asks.Progress, now: datetime.datetime
    ) -> Effects:
        """Take in what became of a command about a write."""
        match progress:
            case _control_asks.Asked(effect):
                return [effect]
            case _control_asks.Unreachable(subject):
                unreachable = writes.ControlUnreachable(
                    model.RequestId(subject)
                )
                return self.drive(unreachable, now)
            case _control_asks.Replied(subject, raw):
                reply = state.decode_reply(raw).unwrap_or(None)
                if not isinstance(reply, writes.WriteReply):
                    return []
                told = writes.ControlAnswered(model.RequestId(subject), reply)
                return self.drive(told, now)

    def tick(self, now: datetime.datetime) -> Effects:
        """Drive the writes that are due."""
        made: Effects = []
        for coordinated in self._coordinators:
            if coordinated.due is not None and now >= coordinated.due:
                coordinated.due = None
                made += self._run(coordinated, writes.TimerFired(), now)
        return made

    def drive(
        self,
        event: writes.WriteRequested | writes.AttemptEvent,
        now: datetime.datetime,
    ) -> Effects:
        """Give an event to the coordinator that it concerns."""
        newest = self._coordinators[-1]
        if isinstance(event, writes.WriteRequested):
            return self._run(newest, event, now)
        made: Effects = []
        for coordinated in tuple(self._coordinators):
            made += self._run(coordinated, event, now)
        return made

    def _run(
        self,
        coordinated: _Coordinated,
        event: writes.Event,
        now: datetime.datetime,
    ) -> Effects:
        made: Effects = []
        for effect in coordinated.writes.handle(event, now):
            match effect:
                case writes.ProposeCommand(request_id, command):
                    raw = state.encode_command(command)
                    progress = self._asks.ask(request_id, raw)
                    made += self.control_progress(progress, now)
                case writes.DispatchWrite(request_id):
                    made += self._host.dispatch_write(request_id, now)
                case writes.AnswerCaller(request_id, answer):
                    made += self._host.answer_write(request_id, answer, now)
                case writes.StartTimer(due):
                    coordinated.due = due
        return made
