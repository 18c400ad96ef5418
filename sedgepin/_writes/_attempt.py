"""State machine of one write request on one entry VM."""

import dataclasses
import datetime
import enum

from sedgepin._writes import _events
from sedgepin._writes import _failures
from sedgepin._writes import _messages
from sedgepin._writes import _record

# Failures of the key itself: no record of this request can exist.
_KEY_FAILURES = (
    _failures.KeyFutureDated,
    _failures.KeyMalformed,
    _failures.KeyTooOld,
    _failures.UndatedKeysFull,
)


@dataclasses.dataclass(slots=True, frozen=True)
class CoordinatorSettings:
    """Timeouts and limits of a write coordinator.

    If a begin is not answered within ``begin_timeout``, the write is
    abandoned and the caller gets a failure at once.  Commands are resent
    after ``resend_interval``, which doubles with each resend up to
    ``max_resend_interval``.  While another request holds the write, its state
    is polled every ``poll_interval``.  Answers longer than
    ``answer_limit_bytes`` reach the caller but are not stored for resends;
    the lower of this limit and that of the replicated policy applies.
    """

    begin_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    resend_interval: datetime.timedelta = datetime.timedelta(milliseconds=400)
    max_resend_interval: datetime.timedelta = datetime.timedelta(seconds=5)
    poll_interval: datetime.timedelta = datetime.timedelta(milliseconds=250)
    answer_limit_bytes: int = 4096


class Phase(enum.Enum):
    """Phase of an attempt.

    ``BEGINNING`` waits for permission to dispatch, and ``POLLING`` for the
    end of a write that another request holds.  ``DISPATCHED`` waits for the
    endpoint.  ``FINISHING``, ``MARKING_UNKNOWN`` and ``ABANDONING`` wait until
    the outcome is recorded.
    """

    BEGINNING = "asking"
    POLLING = "waiting"
    DISPATCHED = "dispatched"
    FINISHING = "finishing"
    MARKING_UNKNOWN = "doubting"
    ABANDONING = "abandoning"
    DONE = "over"


# The state of the record once the change proposed in each phase is applied.
_PROPOSED_STATES = {
    Phase.FINISHING: _record.WriteState.FINISHED,
    Phase.MARKING_UNKNOWN: _record.WriteState.UNKNOWN,
    Phase.ABANDONING: _record.WriteState.ABANDONED,
}


class Attempt:
    """The write of one request.

    Each method handles one event and returns its effects.  The caller is
    answered at most once and the write is dispatched at most once.  ``due``
    is when to call ``timer_fired``.
    """

    __slots__ = (
        "_answer",
        "_begin_deadline",
        "_caller_waiting",
        "_holder",
        "_request",
        "_resend_interval",
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
        self._begin_deadline = request.deadline
        self._answer: _record.StoredAnswer | None = None
        self._caller_waiting = True
        self._resend_interval = settings.resend_interval
        self.phase = Phase.BEGINNING
        self.due: datetime.datetime | None = None

    def begin(self, now: datetime.datetime) -> list[_events.Effect]:
        """Ask the control VMs for permission to dispatch the write."""
        begin_deadline = now + self._settings.begin_timeout
        self._begin_deadline = min(begin_deadline, self._request.deadline)
        return self._enter_phase(Phase.BEGINNING, now)

    def control_answered(
        self, reply: _messages.WriteReply, now: datetime.datetime
    ) -> list[_events.Effect]:
        """Handle a reply of the control VMs.

        A reply that does not match the phase is a duplicate or arrived late,
        and is ignored.
        """
        if self.phase in (Phase.BEGINNING, Phase.POLLING):
            return self._handle_begin_reply(reply, now)
        proposed_state = _PROPOSED_STATES.get(self.phase)
        if proposed_state is None:
            return []
        match reply:
            case _messages.WriteChanged(state) if state is proposed_state:
                return self._complete()
            case _messages.WriteRefused() if _is_change_refused(reply):
                return self._complete()
        return []

    def endpoint_answered(
        self, event: _events.EndpointAnswered, now: datetime.datetime
    ) -> list[_events.Effect]:
        """Propose to record the answer.

        The caller gets it once it is recorded, or at the deadline.
        """
        if self.phase not in (Phase.DISPATCHED, Phase.MARKING_UNKNOWN):
            return []
        if event.refused_before_running:
            return self.connect_failed(now)
        self._answer = event.answer
        return self._enter_phase(Phase.FINISHING, now)

    def connect_failed(self, now: datetime.datetime) -> list[_events.Effect]:
        """Abandon the write: nothing was sent, or the endpoint refused it."""
        if self.phase is not Phase.DISPATCHED:
            return []
        return self._fail_and_abandon(_failures.EndpointNotReached(), now)

    def failed_after_send(
        self, now: datetime.datetime
    ) -> list[_events.Effect]:
        """Report an unknown outcome to the caller, and record it."""
        if self.phase is not Phase.DISPATCHED:
            return []
        effects = self._answer_caller(_failures.OutcomeUnknown())
        return effects + self._enter_phase(Phase.MARKING_UNKNOWN, now)

    def caller_disconnected(
        self, now: datetime.datetime
    ) -> list[_events.Effect]:
        """Abandon a write that was not dispatched; complete it otherwise."""
        self._caller_waiting = False
        if self.phase in (Phase.BEGINNING, Phase.POLLING):
            return self._enter_phase(Phase.ABANDONING, now)
        return []

    def timer_fired(self, now: datetime.datetime) -> list[_events.Effect]:
        """Resend the command, or answer the caller at its deadline."""
        if self.due is None or now < self.due:
            return []
        match self.phase:
            case Phase.BEGINNING if now >= self._begin_deadline:
                return self._fail_and_abandon(
                    _failures.ControlUnavailable(), now
                )
            case Phase.POLLING if now >= self._request.deadline:
                return self._fail_and_abandon(_failures.StillInProgress(), now)
            case Phase.DISPATCHED:
                self.due = None
                return self._answer_caller(_failures.OutcomeUnknown())
        effects: list[_events.Effect] = []
        past_deadline = now >= self._request.deadline
        if self.phase is Phase.FINISHING and past_deadline and self._answer:
            effects = self._answer_caller(self._answer)
        self._resend_interval = min(
            2 * self._resend_interval, self._settings.max_resend_interval
        )
        return effects + self._propose(now)

    def _handle_begin_reply(
        self, reply: _messages.WriteReply, now: datetime.datetime
    ) -> list[_events.Effect]:
        match reply:
            case _messages.WriteGranted():
                return self._handle_grant(now)
            case _messages.WriteFinished(answer):
                effects = self._answer_caller(
                    answer or _failures.AnswerNotKept()
                )
                return effects + self._complete()
            case _messages.WriteInProgress():
                self.phase = Phase.POLLING
                self._resend_interval = self._settings.poll_interval
                self.due = self._next_due(now)
                return []
            case _messages.WriteRefused():
                return self._handle_refusal(reply.failure(), now)
        return []

    def _handle_grant(self, now: datetime.datetime) -> list[_events.Effect]:
        if now >= self._request.deadline:
            return self._fail_and_abandon(_failures.ControlUnavailable(), now)
        self.phase = Phase.DISPATCHED
        self.due = self._request.deadline
        return [_events.DispatchWrite(self._request.request_id)]

    def _handle_refusal(
        self, failure: _failures.WriteFailure, now: datetime.datetime
    ) -> list[_events.Effect]:
        if isinstance(failure, _KEY_FAILURES):
            return self._answer_caller(failure) + self._complete()
        return self._fail_and_abandon(failure, now)

    def _fail_and_abandon(
        self, failure: _failures.WriteFailure, now: datetime.datetime
    ) -> list[_events.Effect]:
        """Answer the caller, and propose the abandon until it is recorded."""
        effects = self._answer_caller(failure)
        return effects + self._enter_phase(Phase.ABANDONING, now)

    def _complete(self) -> list[_events.Effect]:
        effects = self._answer_caller(self._answer) if self._answer else []
        self.phase = Phase.DONE
        self.due = None
        return effects

    def _answer_caller(
        self, answer: _record.StoredAnswer | _failures.WriteFailure
    ) -> list[_events.Effect]:
        if not self._caller_waiting:
            return []
        self._caller_waiting = False
        return [_events.AnswerCaller(self._request.request_id, answer)]

    def _enter_phase(
        self, phase: Phase, now: datetime.datetime
    ) -> list[_events.Effect]:
        self.phase = phase
        self._resend_interval = self._settings.resend_interval
        return self._propose(now)

    def _propose(self, now: datetime.datetime) -> list[_events.Effect]:
        self.due = self._next_due(now)
        command = self._command(now)
        return [_events.ProposeCommand(self._request.request_id, command)]

    def _storable_answer(self) -> _record.StoredAnswer | None:
        """Return the answer, or ``None`` if it is too large to be stored.

        The log need not replicate an answer that would not be stored.
        """
        answer = self._answer
        if answer is None:
            return None
        if answer.size_bytes > self._settings.answer_limit_bytes:
            return None
        return answer

    def _next_due(self, now: datetime.datetime) -> datetime.datetime:
        """Return when to resend, or the caller's deadline if earlier."""
        resend_at = now + self._resend_interval
        if not self._caller_waiting:
            return resend_at
        deadline = self._request.deadline
        if self.phase is Phase.BEGINNING:
            deadline = self._begin_deadline
        return min(resend_at, max(deadline, now))

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
                answer=self._storable_answer(),
            )
        if self.phase is Phase.ABANDONING:
            return _messages.AbandonWrite(
                at=now,
                actor=holder.vm_id,
                customer=request.customer,
                key=request.key,
                holder=holder,
            )
        if self.phase is Phase.MARKING_UNKNOWN:
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
    """Pass an event to its attempt and return the effects."""
    match event:
        case _events.ControlAnswered():
            return attempt.control_answered(event.reply, now)
        case _events.EndpointAnswered():
            return attempt.endpoint_answered(event, now)
        case _events.EndpointConnectFailed():
            return attempt.connect_failed(now)
        case _events.EndpointFailedAfterSend():
            return attempt.failed_after_send(now)
        case _events.CallerDisconnected():
            return attempt.caller_disconnected(now)
        case _events.ControlUnreachable():
            # The command may have been committed; the timer resends it.
            return []
