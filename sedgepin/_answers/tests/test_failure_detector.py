"""Tests of failure detection: dead connections, dead endpoints, stalls."""

import collections.abc
import datetime

from sedgepin import _answers as answers
from sedgepin import _model as model

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
SECOND = datetime.timedelta(seconds=1)
REQUEST = model.RequestId("r1")
ENDPOINT = model.EndpointId("e1")

Probe = collections.abc.Callable[[float, int], answers.FailureDetectorEvent]


class Stream:
    """A failure detector driven by a fake clock, in steps of 10 ms.

    ``arrivals`` lists events with the second at which they arrive; ``probe``
    returns the result of each probe, which arrives 10 ms after its start.
    """

    def __init__(
        self,
        probe: Probe,
        arrivals: tuple[tuple[float, answers.FailureDetectorEvent], ...] = (),
        prefill: datetime.timedelta = SECOND,
    ) -> None:
        self.detector = answers.StreamFailureDetector(
            REQUEST, ENDPOINT, prefill, 0, START
        )
        self.probe = probe
        self.arrivals = list(arrivals)
        self.probes = 0

    def first_failure(
        self, limit_seconds: float
    ) -> tuple[float, answers.FailureDetectorEffect] | None:
        answered: list[answers.FailureDetectorEvent] = []
        for step in range(round(limit_seconds * 100)):
            seconds = step / 100
            now = START + datetime.timedelta(milliseconds=step * 10)
            events, answered = answered, []
            while self.arrivals and self.arrivals[0][0] <= seconds:
                events.append(self.arrivals.pop(0)[1])
            if now >= self.detector.wake_at:
                events.append(answers.TimerFired())
            for event in events:
                for effect in self.detector.handle(event, now):
                    if not isinstance(effect, answers.ProbeEndpoint):
                        return seconds, effect
                    self.probes += 1
                    answered.append(self.probe(seconds, effect.probe))
        return None


def failed(_seconds: float, probe: int) -> answers.FailureDetectorEvent:
    return answers.ProbeFailed(probe)


def reports_state(state: answers.StreamState, produced: int = 0) -> Probe:
    return lambda _seconds, probe: answers.ProbeSucceeded(
        probe, state, produced
    )


def tokens(
    count: int, every: float
) -> tuple[tuple[float, answers.FailureDetectorEvent], ...]:
    return tuple(
        (every * (i + 1), answers.TokenReceived(i + 1)) for i in range(count)
    )


class TestStreamFailureDetector:
    def test_stream_with_regular_tokens_is_never_probed(self) -> None:
        stream = Stream(failed, tokens(100, 0.2))
        assert stream.first_failure(19) is None
        assert stream.probes == 0

    def test_long_prefill_is_not_declared_failed(self) -> None:
        prefilling = reports_state(answers.StreamState.PREFILLING)
        heartbeats = tuple(
            (i / 2, answers.HeartbeatReceived()) for i in range(120)
        )
        assert Stream(prefilling).first_failure(60) is None
        assert Stream(failed, heartbeats).first_failure(59) is None

    def test_unreported_state_extends_time_before_connection_is_declared_dead(
        self,
    ) -> None:
        stream = Stream(reports_state(answers.StreamState.UNREPORTED))
        first_failure = stream.first_failure(60)
        assert first_failure is not None
        seconds, effect = first_failure
        assert seconds > 6
        assert isinstance(effect, answers.DeclareConnectionDead)

    def test_dead_connection_is_detected_once_endpoint_reports_tokens(
        self,
    ) -> None:
        def probe(seconds: float, number: int) -> answers.FailureDetectorEvent:
            produced = max(0, round((seconds - 3) / 0.074))
            state = answers.StreamState.PREFILLING
            if produced:
                state = answers.StreamState.PRODUCING
            return answers.ProbeSucceeded(number, state, produced)

        first_failure = Stream(probe).first_failure(60)
        assert first_failure is not None
        seconds, effect = first_failure
        assert isinstance(effect, answers.DeclareConnectionDead)
        assert 3 < seconds < 4

    def test_declared_failure_and_its_delay_in_the_middle_of_an_answer(
        self,
    ) -> None:
        states = answers.StreamState
        table = (
            (failed, answers.DeclareEndpointDead, 1.0),
            (
                reports_state(states.UNKNOWN),
                answers.DeclareConnectionDead,
                1.0,
            ),
            (
                reports_state(states.PRODUCING, 9),
                answers.DeclareConnectionDead,
                1.5,
            ),
            (
                reports_state(states.PRODUCING, 3),
                answers.DeclareStreamStalled,
                10.5,
            ),
        )
        for probe, expected, within in table:
            first_failure = Stream(probe, tokens(3, 0.1)).first_failure(60)
            assert first_failure is not None
            seconds, effect = first_failure
            assert isinstance(effect, expected)
            assert seconds - 0.3 <= within

    def test_probe_without_result_in_time_counts_as_failed(self) -> None:
        def result_of_earlier_probe(
            seconds: float, probe: int
        ) -> answers.FailureDetectorEvent:
            return answers.ProbeFailed(probe - 1)

        first_failure = Stream(
            result_of_earlier_probe, tokens(3, 0.1)
        ).first_failure(60)
        assert first_failure is not None
        assert isinstance(first_failure[1], answers.DeclareEndpointDead)
        assert first_failure[0] >= 1.8

    def test_missing_heartbeats_declare_endpoint_dead(self) -> None:
        heartbeats = tuple(
            (i / 4, answers.HeartbeatReceived()) for i in range(8)
        )
        first_failure = Stream(failed, heartbeats, 20 * SECOND).first_failure(
            60
        )
        assert first_failure is not None
        assert first_failure[0] < 3
        assert isinstance(first_failure[1], answers.DeclareEndpointDead)

    def test_token_within_grace_keeps_connection_alive(self) -> None:
        arrivals = (*tokens(3, 0.1), (0.9, answers.TokenReceived(4)))
        stream = Stream(
            reports_state(answers.StreamState.PRODUCING, 4), arrivals
        )
        assert stream.first_failure(1.2) is None
        assert stream.probes == 1

    def test_unreported_timeout_is_reset_by_each_token(self) -> None:
        # Each token arrives only after probes; then tokens stop.
        stream = Stream(
            reports_state(answers.StreamState.UNREPORTED),
            tokens(20, 1.2),
            5 * SECOND,
        )
        first_failure = stream.first_failure(60)
        assert first_failure is not None
        assert 24 < first_failure[0] < 24 + 5
        assert isinstance(first_failure[1], answers.DeclareConnectionDead)

    def test_no_effects_after_failure_was_declared(self) -> None:
        stream = Stream(failed)
        assert stream.first_failure(60) is not None
        late = answers.TokenReceived(1)
        assert stream.detector.handle(late, START + 90 * SECOND) == []
