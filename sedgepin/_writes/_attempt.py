"""One caller's write on its way through one entry VM."""

import dataclasses
import datetime
import enum

from sedgepin._writes import _events
from sedgepin._writes import _failures
from sedgepin._writes import _messages
from sedgepin._writes import _record

# Refusals of a key as such: no record of this request can come of them.
_KEY_REFUSALS = (
    _failures.KeyFutureDated,
    _failures.KeyMalformed,
    _failures.KeyTooOld,
    _failures.UndatedKeysFull,
)


@dataclasses.dataclass(slots=True, frozen=True)
class CoordinatorSettings:
    """The pace of a write coordinator.

    A begin that is not answered within ``begin_timeout`` is given up and the
    caller told at once.  Commands are sent again after ``resend_interval``,
    then at twice the time before, up to ``max_resend_interval``.  A resend
    asks how the write stands every ``poll_interval``.  Answers longer than
    ``answer_limit_bytes`` reach their caller but are not kept for resends;
    the replicated policy has such a limit too, and the lower one counts.
    """

    begin_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    resend_interval: datetime.timedelta = datetime.timedelta(milliseconds=400)
    max_resend_interval: datetime.timedelta = datetime.timedelta(seconds=5)
    poll_interval: datetime.timedelta = datetime.timedelta(milliseconds=250)
    answer_limit_bytes: int = 4096


class Phase(enum.Enum):
    """How far an attempt has come."""

    ASKING = "asking"
    WAITING = "waiting"
    DISPATCHED = "dispatched"
    FINISHING = "finishing"
    DOUBTING = "doubting"
    ABANDONING = "abandoning"
    OVER = "over"


# What the change proposed in each phase makes of the record.
_STATE_ASKED_FOR = {
    Phase.FINISHING: _record.WriteState.FINISHED,
    Phase.DOUBTING: _record.WriteState.UNKNOWN,
    Phase.ABANDONING: _record.WriteState.ABANDONED,
}


class Attempt:
    """One request's write: what was asked, what is known, what is due.

    Each method takes one event and returns the effects it calls for.  The
    caller is answered once at most; a write is dispatched once at most.
    """

    __slots__ = (
        "_answer",
        "_asking_ends_at",
        "_caller_waits",
        "_holder",
        "_interval",
        "_request",
        "_settings",
        "due",
        "phase",
    )

    def __init__(
        self,
        request: _events.WriteRequested,
        holder: _record.WriteHolder,
        settings: CoordinatorSettings,
    ) -> None:
        self._request = request
        self._holder = holder
        self._settings = settings
        self._asking_ends_at = request.deadline
        self._answer: _record.StoredAnswer | None = None
        self._caller_waits = True
        self._interval = settings.resend_interval
        self.phase = Phase.ASKING
        self.due: datetime.datetime | None = None

    def begin(self, now: datetime.datetime) -> list[_events.Effect]:
        """Ask for permission."""
        ends_at = now + self._settings.begin_timeout
        self._asking_ends_at = min(ends_at, self._request.deadline)
        return self._ask(Phase.ASKING, now)

    def control_answered(
        self, reply: _messages.WriteReply, now: datetime.datetime
    ) -> list[_events.Effect]:
        """Go on from what the control VMs said.

        A reply that does not fit the phase is an old one, sent twice or
        overtaken, and is passed over.
        """
        if self.phase in (Phase.ASKING, Phase.WAITING):
            return self._begin_answered(reply, now)
        asked_for = _STATE_ASKED_FOR.get(self.phase)
        if asked_for is None:
            return []
        match reply:
            case _messages.WriteChanged(state) if state is asked_for:
                return self._end()
            case _messages.WriteRefused() if _is_change_refused(reply):
                return self._end()
        return []

    def endpoint_answered(
        self, event: _events.EndpointAnswered, now: datetime.datetime
    ) -> list[_events.Effect]:
        """Record the answer before the caller hears it."""
        if self.phase not in (Phase.DISPATCHED, Phase.DOUBTING):
            return []
        if event.refused_before_running:
            return self.connect_failed(now)
        self._answer = event.answer
        return self._ask(Phase.FINISHING, now)

    def connect_failed(self, now: datetime.datetime) -> list[_events.Effect]:
        """Give the write up: nothing was sent, or it was not taken."""
        if self.phase is not Phase.DISPATCHED:
            return []
        return self._give_up(_failures.EndpointNotReached(), now)

    def failed_after_bytes(
        self, now: datetime.datetime
    ) -> list[_events.Effect]:
        """Tell the caller that nobody knows, and make it known."""
        if self.phase is not Phase.DISPATCHED:
            return []
        told = self._tell(_failures.OutcomeUnknown())
        return told + self._ask(Phase.DOUBTING, now)

    def caller_disconnected(
        self, now: datetime.datetime
    ) -> list[_events.Effect]:
        """Give up what was not dispatched; carry the rest to its end."""
        self._caller_waits = False
        if self.phase in (Phase.ASKING, Phase.WAITING):
            return self._ask(Phase.ABANDONING, now)
        return []

    def timer_fired(self, now: datetime.datetime) -> list[_events.Effect]:
        """Ask again, or tell the caller that its time is over."""
        if self.due is None or now < self.due:
            return []
        match self.phase:
            case Phase.ASKING if now >= self._asking_ends_at:
                return self._give_up(_failures.ControlUnavailable(), now)
            case Phase.WAITING if now >= self._request.deadline:
                return self._give_up(_failures.StillInProgress(), now)
            case Phase.DISPATCHED:
                self.due = None
                return self._tell(_failures.OutcomeUnknown())
        told: list[_events.Effect] = []
        late = now >= self._request.deadline
        if self.phase is Phase.FINISHING and late and self._answer:
            told = self._tell(self._answer)
        self._interval = min(
            2 * self._interval, self._settings.max_resend_interval
        )
        return told + self._propose(now)

    def _begin_answered(
        self, reply: _messages.WriteReply, now: datetime.datetime
    ) -> list[_events.Effect]:
        match reply:
            case _messages.WriteGranted():
                return self._granted(now)
            case _messages.WriteFinished(answer):
                told = self._tell(answer or _failures.AnswerNotKept())
                return told + self._end()
            case _messages.WriteInProgress():
                self.phase = Phase.WAITING
                self._interval = self._settings.poll_interval
                self.due = self._due(now)
                return []
            case _messages.WriteRefused():
                return self._refused(reply.failure(), now)
        return []

    def _granted(self, now: datetime.datetime) -> list[_events.Effect]:
        if now >= self._request.deadline:
            return self._give_up(_failures.ControlUnavailable(), now)
        self.phase = Phase.DISPATCHED
        self.due = self._request.deadline
        return [_events.DispatchWrite(self._request.request_id)]

    def _refused(
        self, failure: _failures.WriteFailure, now: datetime.datetime
    ) -> list[_events.Effect]:
        if isinstance(failure, _KEY_REFUSALS):
            return self._tell(failure) + self._end()
        return self._give_up(failure, now)

    def _give_up(
        self, failure: _failures.WriteFailure, now: datetime.datetime
    ) -> list[_events.Effect]:
        """Answer at once, and abandon until the record says so."""
        told = self._tell(failure)
        return told + self._ask(Phase.ABANDONING, now)

    def _end(self) -> list[_events.Effect]:
        told = self._tell(self._answer) if self._answer else []
        self.phase = Phase.OVER
        self.due = None
        return told

    def _tell(
        self, answer: _record.StoredAnswer | _failures.WriteFailure
    ) -> list[_events.Effect]:
        if not self._caller_waits:
            return []
        self._caller_waits = False
        return [_events.AnswerCaller(self._request.request_id, answer)]

    def _ask(
        self, phase: Phase, now: datetime.datetime
    ) -> list[_events.Effect]:
        self.phase = phase
        self._interval = self._settings.resend_interval
        return self._propose(now)

    def _propose(self, now: datetime.datetime) -> list[_events.Effect]:
        self.due = self._due(now)
        command = self._command(now)
        return [_events.ProposeCommand(self._request.request_id, command)]

    def _answer_to_keep(self) -> _record.StoredAnswer | None:
        """Leave a large answer out: the log would carry it for nothing."""
        answer = self._answer
        if answer is None:
            return None
        if answer.size_bytes > self._settings.answer_limit_bytes:
            return None
        return answer

    def _due(self, now: datetime.datetime) -> datetime.datetime:
        """Return when to ask again, or sooner to answer the caller."""
        ask_at = now + self._interval
        if not self._caller_waits:
            return ask_at
        deadline = self._request.deadline
        if self.phase is Phase.ASKING:
            deadline = self._asking_ends_at
        return min(ask_at, max(deadline, now))

    def _command(self, now: datetime.datetime) -> _messages.WriteCommand:
        request = self._request
        holder = self._holder
        if self.phase is Phase.FINISHING:
            return _messages.FinishWrite(
                at=now,
                actor=holder.vm_id,
                customer=request.customer,
                key=request.key,
                holder=holder,
                answer=self._answer_to_keep(),
            )
        if self.phase is Phase.ABANDONING:
            return _messages.AbandonWrite(
                at=now,
                actor=holder.vm_id,
                customer=request.customer,
                key=request.key,
                holder=holder,
            )
        if self.phase is Phase.DOUBTING:
            return _messages.MarkWriteUnknown(
                at=now,
                actor=holder.vm_id,
                customer=request.customer,
                key=request.key,
                holder=holder,
            )
        return _messages.BeginWrite(
            at=now,
            actor=holder.vm_id,
            customer=request.customer,
            key=request.key,
            holder=holder,
            digest=request.digest,
        )


def _is_change_refused(reply: _messages.WriteRefused) -> bool:
    return isinstance(reply.failure(), _failures.ChangeRefused)


def handle(
    attempt: Attempt, event: _events.AttemptEvent, now: datetime.datetime
) -> list[_events.Effect]:
    """Return what an event of one attempt calls for."""
    match event:
        case _events.ControlAnswered():
            return attempt.control_answered(event.reply, now)
        case _events.EndpointAnswered():
            return attempt.endpoint_answered(event, now)
        case _events.EndpointConnectFailed():
            return attempt.connect_failed(now)
        case _events.EndpointFailedAfterSend():
            return attempt.failed_after_bytes(now)
        case _events.CallerDisconnected():
            return attempt.caller_disconnected(now)
        case _events.ControlUnreachable():
            # The timer asks again; the command may have been committed.
            return []
