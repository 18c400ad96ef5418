"""Tests of the entry VM's side of writes."""

import datetime

import pytest

from sedgepin import _model as model
from sedgepin import _writes as writes
from sedgepin import clock

_REQUEST = model.RequestId("r1")
_SECOND = datetime.timedelta(seconds=1)
_ANSWER = writes.StoredAnswer(201, (), b"done")
_GRANTED = writes.ControlAnswered(_REQUEST, writes.WriteGranted())


class _Entry:
    """A coordinator and its clock."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.coordinator = writes.WriteCoordinator(
            model.VmId("e1"), model.Incarnation(1)
        )

    def on(self, event: writes.Event, after: float = 0) -> list[str]:
        """Return what an event called for, each in a word or two."""
        self.clock.advance(after * _SECOND)
        effects = self.coordinator.handle(event, self.clock.now())
        return [word for effect in effects if (word := _word(effect))]

    def request(self, request_id: model.RequestId = _REQUEST) -> list[str]:
        deadline = self.clock.now() + 10 * _SECOND
        return self.on(
            writes.WriteRequested(
                request_id, model.CustomerId("c"), "k", b"d", deadline
            )
        )

    def changed(self, state: writes.WriteState) -> list[str]:
        reply = writes.WriteChanged(state)
        return self.on(writes.ControlAnswered(_REQUEST, reply))


def _word(effect: writes.Effect) -> str:
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
    """What each event calls for, in turn."""

    def test_answer_is_recorded_before_it_is_heard(self) -> None:
        entry = _Entry()
        assert entry.request() == ["BeginWrite"]
        assert entry.on(_GRANTED) == ["dispatch"]
        assert entry.on(_GRANTED) == []
        answered = writes.EndpointAnswered(_REQUEST, _ANSWER)
        assert entry.on(answered) == ["FinishWrite"]
        assert entry.on(writes.TimerFired(), 1) == ["FinishWrite"]
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
    def test_not_run_is_abandoned(self, event: writes.Event) -> None:
        entry = _Entry()
        entry.request()
        entry.on(_GRANTED)
        assert entry.on(event) == ["endpoint_not_reached", "AbandonWrite"]
        assert entry.on(writes.TimerFired(), 1) == ["AbandonWrite"]
        assert entry.on(_GRANTED) == []
        assert entry.changed(writes.WriteState.ABANDONED) == []
        assert len(entry.coordinator) == 0

    def test_sent_and_failed_is_unknown_until_an_answer_comes(self) -> None:
        entry = _Entry()
        entry.request()
        entry.on(_GRANTED)
        failed = writes.EndpointFailedAfterSend(_REQUEST)
        assert entry.on(failed) == ["outcome_unknown", "MarkWriteUnknown"]
        refused = writes.EndpointAnswered(_REQUEST, _ANSWER, True)
        assert entry.on(refused) == []
        late = writes.EndpointAnswered(_REQUEST, _ANSWER)
        assert entry.on(late) == ["FinishWrite"]
        assert entry.changed(writes.WriteState.UNKNOWN) == []
        assert entry.changed(writes.WriteState.FINISHED) == []
        assert len(entry.coordinator) == 0

    def test_a_cut_off_entry_refuses_at_once(self) -> None:
        entry = _Entry()
        entry.request()
        entry.on(writes.ControlUnreachable(_REQUEST))
        assert entry.on(writes.TimerFired(), 0.5) == ["BeginWrite"]
        told = entry.on(writes.TimerFired(), 1.6)
        assert told == ["control_unavailable", "AbandonWrite"]
        again = model.RequestId("r2")
        assert entry.request(again) == ["control_unavailable"]
        entry.changed(writes.WriteState.ABANDONED)
        assert entry.request(again) == ["BeginWrite"]

    def test_a_resend_waits_and_is_told(self) -> None:
        entry = _Entry()
        entry.request()
        holder = writes.WriteHolder(
            model.VmId("e2"), model.Incarnation(1), model.RequestId("other")
        )
        waiting = writes.WriteInProgress(holder)
        assert entry.on(writes.ControlAnswered(_REQUEST, waiting)) == []
        assert entry.on(writes.TimerFired(), 0.3) == ["BeginWrite"]
        entry.on(writes.ControlAnswered(_REQUEST, waiting))
        told = entry.on(writes.TimerFired(), 10)
        assert told == ["write_in_progress", "AbandonWrite"]

    @pytest.mark.parametrize(
        ("reply", "told"),
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
    def test_what_the_record_says(
        self, reply: writes.WriteReply, told: list[str]
    ) -> None:
        entry = _Entry()
        entry.request()
        assert entry.on(writes.ControlAnswered(_REQUEST, reply)) == told

    def test_a_large_answer_is_heard_but_not_proposed(self) -> None:
        entry = _Entry()
        entry.request()
        entry.on(_GRANTED)
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

    def test_a_grant_after_the_deadline_is_given_back(self) -> None:
        entry = _Entry()
        entry.request()
        told = entry.on(_GRANTED, 10)
        assert told == ["control_unavailable", "AbandonWrite"]

    def test_a_deadline_while_running_is_unknown(self) -> None:
        entry = _Entry()
        entry.request()
        entry.on(_GRANTED)
        assert entry.on(writes.TimerFired(), 10) == ["outcome_unknown"]
        answered = writes.EndpointAnswered(_REQUEST, _ANSWER)
        assert entry.on(answered) == ["FinishWrite"]
