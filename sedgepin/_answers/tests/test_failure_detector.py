"""Silent connections, silent endpoints and long prefills."""

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
    """One stream driven on a fake clock, in steps of 10 ms.

    ``signs`` gives the events that arrive, by their second; ``probe``
    answers each probe, 10 ms after it was asked.
    """

    def __init__(
        self,
        probe: Probe,
        signs: tuple[tuple[float, answers.FailureDetectorEvent], ...] = (),
        prefill: datetime.timedelta = SECOND,
    ) -> None:
        self.watch = answers.StreamFailureDetector(
            REQUEST, ENDPOINT, prefill, 0, START
        )
        self.probe = probe
        self.signs = list(signs)
        self.probes = 0

    def verdict(
        self, limit_seconds: float
    ) -> tuple[float, answers.FailureDetectorEffect] | None:
        answered: list[answers.FailureDetectorEvent] = []
        for step in range(round(limit_seconds * 100)):
            seconds = step / 100
            now = START + datetime.timedelta(milliseconds=step * 10)
            events, answered = answered, []
            while self.signs and self.signs[0][0] <= seconds:
                events.append(self.signs.pop(0)[1])
            if now >= self.watch.wake_at:
                events.append(answers.TimerFired())
            for event in events:
                for effect in self.watch.handle(event, now):
                    if not isinstance(effect, answers.ProbeEndpoint):
                        return seconds, effect
                    self.probes += 1
                    answered.append(self.probe(seconds, effect.probe))
        return None


def failed(_seconds: float, probe: int) -> answers.FailureDetectorEvent:
    return answers.ProbeFailed(probe)


def says(state: answers.StreamState, produced: int = 0) -> Probe:
    return lambda _seconds, probe: answers.ProbeSucceeded(
        probe, state, produced
    )


def tokens(
    count: int, every: float
) -> tuple[tuple[float, answers.FailureDetectorEvent], ...]:
    return tuple(
        (every * (i + 1), answers.TokenReceived(i + 1)) for i in range(count)
    )


class TestSilenceWatch:
    def test_steady_stream_is_never_probed(self) -> None:
        stream = Stream(failed, tokens(100, 0.2))
        assert stream.verdict(19) is None
        assert stream.probes == 0

    def test_long_prefill_is_not_cut(self) -> None:
        prefilling = says(answers.StreamState.PREFILLING)
        beats = tuple((i / 2, answers.HeartbeatReceived()) for i in range(120))
        assert Stream(prefilling).verdict(60) is None
        assert Stream(failed, beats).verdict(59) is None

    def test_endpoint_that_cannot_tell_gets_more_time(self) -> None:
        stream = Stream(says(answers.StreamState.UNREPORTED))
        verdict = stream.verdict(60)
        assert verdict is not None
        seconds, effect = verdict
        assert seconds > 6
        assert isinstance(effect, answers.DeclareConnectionDead)

    def test_dead_connection_found_after_tokens_were_made(self) -> None:
        def probe(seconds: float, number: int) -> answers.FailureDetectorEvent:
            produced = max(0, round((seconds - 3) / 0.074))
            state = answers.StreamState.PREFILLING
            if produced:
                state = answers.StreamState.PRODUCING
            return answers.ProbeSucceeded(number, state, produced)

        verdict = Stream(probe).verdict(60)
        assert verdict is not None
        seconds, effect = verdict
        assert isinstance(effect, answers.DeclareConnectionDead)
        assert 3 < seconds < 4

    def test_verdicts_in_the_middle_of_an_answer(self) -> None:
        states = answers.StreamState
        table = (
            (failed, answers.DeclareEndpointDead, 1.0),
            (says(states.UNKNOWN), answers.DeclareConnectionDead, 1.0),
            (says(states.PRODUCING, 9), answers.DeclareConnectionDead, 1.5),
            (says(states.PRODUCING, 3), answers.DeclareStreamStalled, 10.5),
        )
        for probe, expected, within in table:
            verdict = Stream(probe, tokens(3, 0.1)).verdict(60)
            assert verdict is not None
            seconds, effect = verdict
            assert isinstance(effect, expected)
            assert seconds - 0.3 <= within

    def test_probe_without_an_answer_is_a_failed_one(self) -> None:
        def silent(seconds: float, probe: int) -> answers.FailureDetectorEvent:
            return answers.ProbeFailed(probe - 1)

        verdict = Stream(silent, tokens(3, 0.1)).verdict(60)
        assert verdict is not None
        assert isinstance(verdict[1], answers.DeclareEndpointDead)
        assert verdict[0] >= 1.8

    def test_heartbeats_that_stop(self) -> None:
        beats = tuple((i / 4, answers.HeartbeatReceived()) for i in range(8))
        verdict = Stream(failed, beats, 20 * SECOND).verdict(60)
        assert verdict is not None
        assert verdict[0] < 3
        assert isinstance(verdict[1], answers.DeclareEndpointDead)

    def test_token_in_flight_saves_the_connection(self) -> None:
        signs = (*tokens(3, 0.1), (0.9, answers.TokenReceived(4)))
        stream = Stream(says(answers.StreamState.PRODUCING, 4), signs)
        assert stream.verdict(1.2) is None
        assert stream.probes == 1

    def test_patience_does_not_grow_over_a_stream(self) -> None:
        # Slow tokens, each of them waited for, and then no more.
        stream = Stream(
            says(answers.StreamState.UNREPORTED), tokens(20, 1.2), 5 * SECOND
        )
        verdict = stream.verdict(60)
        assert verdict is not None
        assert 24 < verdict[0] < 24 + 5
        assert isinstance(verdict[1], answers.DeclareConnectionDead)

    def test_nothing_after_the_verdict(self) -> None:
        stream = Stream(failed)
        assert stream.verdict(60) is not None
        late = answers.TokenReceived(1)
        assert stream.watch.handle(late, START + 90 * SECOND) == []
