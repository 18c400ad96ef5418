"""Tests of the write coordinator of an entry VM."""

import datetime

import pytest

from sedgepin import _model as model
from sedgepin import _writes as writes
from sedgepin import clock

_REQUEST = model.RequestId("r1")
_SECOND = datetime.timedelta(seconds=1)
_ANSWER = writes.StoredAnswer(201, (), b"done")
_GRANTED = writes.ControlAnswered(_REQUEST, writes.WriteGranted())


class _EntryVm:
    """A write coordinator with a manual clock."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.coordinator = writes.WriteCoordinator(
            model.VmId("e1"), model.Incarnation(1)
        )

    def handle(self, event: writes.Event, after: float = 0) -> list[str]:
        """Advance the clock, handle an event and describe its effects."""
        self.clock.advance(after * _SECOND)
        effects = self.coordinator.handle(event, self.clock.now())
        return [text for effect in effects if (text := _describe(effect))]

    def request(self, request_id: model.RequestId = _REQUEST) -> list[str]:
        deadline = self.clock.now() + 10 * _SECOND
        return self.handle(
            writes.WriteRequested(
                request_id, model.CustomerId("c"), "k", b"d", deadline
            )
        )

    def changed(self, state: writes.WriteState) -> list[str]:
        reply = writes.WriteChanged(state)
        return self.handle(writes.ControlAnswered(_REQUEST, reply))


def _describe(effect: writes.Effect) -> str:
    match effect:
        case writes.ProposeCommand(_, command):
            return type(command).__name__
        case writes.AnswerCaller(_, writes.StoredAnswer()):
            return "answered"
        case writes.AnswerCaller(_, failure):
            assert isinstance(failure, writes.WriteFailure)
            return failure.code
        case writes.DispatchWrite():
            return "dispatch"
    return ""


class TestWriteCoordinator:
    """The effects of each event, from the request to the answer."""

    def test_answer_is_recorded_before_the_caller_gets_it(self) -> None:
        entry = _EntryVm()
        assert entry.request() == ["BeginWrite"]
        assert entry.handle(_GRANTED) == ["dispatch"]
        assert entry.handle(_GRANTED) == []
        answered = writes.EndpointAnswered(_REQUEST, _ANSWER)
        assert entry.handle(answered) == ["FinishWrite"]
        assert entry.handle(writes.TimerFired(), 1) == ["FinishWrite"]
        assert entry.changed(writes.WriteState.ABANDONED) == []
        assert entry.changed(writes.WriteState.FINISHED) == ["answered"]
        assert len(entry.coordinator) == 0

    @pytest.mark.parametrize(
        "event",
        [
            writes.EndpointConnectFailed(_REQUEST),
            writes.EndpointAnswered(_REQUEST, _ANSWER, True),
        ],
    )
    def test_write_that_did_not_run_is_abandoned(
        self, event: writes.Event
    ) -> None:
        entry = _EntryVm()
        entry.request()
        entry.handle(_GRANTED)
        assert entry.handle(event) == ["endpoint_not_reached", "AbandonWrite"]
        assert entry.handle(writes.TimerFired(), 1) == ["AbandonWrite"]
        assert entry.handle(_GRANTED) == []
        assert entry.changed(writes.WriteState.ABANDONED) == []
        assert len(entry.coordinator) == 0

    def test_failure_after_send_is_unknown_until_a_late_answer(self) -> None:
        entry = _EntryVm()
        entry.request()
        entry.handle(_GRANTED)
        failed = writes.EndpointFailedAfterSend(_REQUEST)
        assert entry.handle(failed) == ["outcome_unknown", "MarkWriteUnknown"]
        refused = writes.EndpointAnswered(_REQUEST, _ANSWER, True)
        assert entry.handle(refused) == []
        late = writes.EndpointAnswered(_REQUEST, _ANSWER)
        assert entry.handle(late) == ["FinishWrite"]
        assert entry.changed(writes.WriteState.UNKNOWN) == []
        assert entry.changed(writes.WriteState.FINISHED) == []
        assert len(entry.coordinator) == 0

    def test_unreachable_control_vms_refuse_new_writes_at_once(self) -> None:
        entry = _EntryVm()
        entry.request()
        entry.handle(writes.ControlUnreachable(_REQUEST))
        assert entry.handle(writes.TimerFired(), 0.5) == ["BeginWrite"]
        effects = entry.handle(writes.TimerFired(), 1.6)
        assert effects == ["control_unavailable", "AbandonWrite"]
        second_request = model.RequestId("r2")
        assert entry.request(second_request) == ["control_unavailable"]
        entry.changed(writes.WriteState.ABANDONED)
        assert entry.request(second_request) == ["BeginWrite"]

    def test_resend_polls_until_its_deadline(self) -> None:
        entry = _EntryVm()
        entry.request()
        holder = writes.WriteHolder(
            model.VmId("e2"), model.Incarnation(1), model.RequestId("other")
        )
        in_progress = writes.WriteInProgress(holder)
        assert (
            entry.handle(writes.ControlAnswered(_REQUEST, in_progress)) == []
        )
        assert entry.handle(writes.TimerFired(), 0.3) == ["BeginWrite"]
        entry.handle(writes.ControlAnswered(_REQUEST, in_progress))
        effects = entry.handle(writes.TimerFired(), 10)
        assert effects == ["write_in_progress", "AbandonWrite"]

    @pytest.mark.parametrize(
        ("reply", "expected"),
        [
            (writes.WriteFinished(_ANSWER), ["answered"]),
            (writes.WriteFinished(None), ["answer_not_kept"]),
            (
                writes.WriteRefused("idempotency_key_too_old"),
                ["idempotency_key_too_old"],
            ),
            (
                writes.WriteRefused("from a later release"),
                ["outcome_unknown", "AbandonWrite"],
            ),
        ],
    )
    def test_begin_reply_determines_the_answer(
        self, reply: writes.WriteReply, expected: list[str]
    ) -> None:
        entry = _EntryVm()
        entry.request()
        assert (
            entry.handle(writes.ControlAnswered(_REQUEST, reply)) == expected
        )

    def test_large_answer_reaches_the_caller_but_is_not_stored(self) -> None:
        entry = _EntryVm()
        entry.request()
        entry.handle(_GRANTED)
        large = writes.StoredAnswer(200, (), b"x" * 5000)
        event = writes.EndpointAnswered(_REQUEST, large)
        effects = entry.coordinator.handle(event, entry.clock.now())
        proposed = [
            effect.command
            for effect in effects
            if isinstance(effect, writes.ProposeCommand)
        ]
        assert isinstance(proposed[0], writes.FinishWrite)
        assert proposed[0].answer is None
        assert entry.changed(writes.WriteState.FINISHED) == ["answered"]

    def test_grant_after_the_deadline_is_abandoned(self) -> None:
        entry = _EntryVm()
        entry.request()
        effects = entry.handle(_GRANTED, 10)
        assert effects == ["control_unavailable", "AbandonWrite"]

    def test_deadline_while_dispatched_is_unknown_outcome(self) -> None:
        entry = _EntryVm()
        entry.request()
        entry.handle(_GRANTED)
        assert entry.handle(writes.TimerFired(), 10) == ["outcome_unknown"]
        answered = writes.EndpointAnswered(_REQUEST, _ANSWER)
        assert entry.handle(answered) == ["FinishWrite"]
