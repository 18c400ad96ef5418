"""Replays of loads that come faster than the engines bear.

Each test names the pattern that it replays; the figures are those of the
small engines in ``parts``: a cache of 1000 tokens on each of two copies.
"""

from sedgepin._gateway import _calls
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_Outcome = _events.AttemptOutcome


def _fill(gateway: parts.Gateway, tokens: int = 100) -> list[int]:
    """Send requests until no engine has room; return those that run."""
    running: list[int] = []
    for _request in range(100):
        one, effects = gateway.arrive("/draft/x", tokens=tokens)
        if parts.none(effects, _effects.StartAttempt):
            gateway.handle(_events.CallerDisconnected(one))
            return running
        running.append(one)
    raise AssertionError("the engines never filled up")


class TestBurst:
    """Twice as many requests at once as the caches hold."""

    def test_caches_are_filled_and_never_over_filled(self) -> None:
        gateway = parts.Gateway()
        running = _fill(gateway)
        assert 16 <= len(running) <= 20

    def test_turned_away_at_once_while_nothing_leaves(self) -> None:
        gateway = parts.Gateway()
        _fill(gateway)
        _, effects = gateway.arrive("/draft/x", tokens=100)
        failure = parts.only(effects, _effects.FailExchange).failure
        assert failure.http_status == 503
        assert failure.retry_after is not None

    def test_waits_while_others_leave_fast_enough(self) -> None:
        gateway = parts.Gateway()
        running = _fill(gateway)
        for _turn in range(15):
            gateway.now += parts.milliseconds(100)
            gateway.end(running.pop(0), _Outcome.ANSWERED)
            one, effects = gateway.arrive("/draft/x", tokens=100)
            parts.only(effects, _effects.StartAttempt)
            running.append(one)
        waiting, effects = gateway.arrive("/draft/x", tokens=100)
        assert parts.none(effects, _effects.FailExchange)
        effects = gateway.end(running.pop(0), _Outcome.ANSWERED)
        start = parts.only(effects, _effects.StartAttempt)
        assert start.exchange_id == waiting

    def test_refused_once_waiting_cannot_help(self) -> None:
        gateway = parts.Gateway()
        running = _fill(gateway)
        for _turn in range(15):
            gateway.now += parts.milliseconds(100)
            gateway.end(running.pop(0), _Outcome.ANSWERED)
            one, _ = gateway.arrive("/draft/x", tokens=100)
            running.append(one)
        waiting, _ = gateway.arrive("/draft/x", tokens=100)
        effects = gateway.advance(450)
        assert (
            parts.only(effects, _effects.FailExchange).exchange_id == waiting
        )


class _Busy:
    """A full gateway whose engines answer 10 requests a second."""

    def __init__(self) -> None:
        self.gateway = parts.Gateway()
        self._running = _fill(self.gateway)
        self.serve(20)
        while self._arrive() is None:
            continue

    def serve(self, turns: int) -> None:
        for _turn in range(turns):
            self.gateway.now += parts.milliseconds(100)
            self.gateway.end(self._running.pop(0), _Outcome.ANSWERED)
            one, _ = self.gateway.arrive("/draft/x", tokens=100)
            self._running.append(one)

    def calm_down(self) -> None:
        """Answer all that runs while nothing new comes."""
        while self._running:
            self.gateway.now += parts.milliseconds(100)
            self.gateway.end(self._running.pop(0), _Outcome.ANSWERED)
        self._running = _fill(self.gateway)

    def refusals(self, count: int) -> list[float]:
        """Return after which milliseconds refused callers may come back."""
        found: list[float] = []
        while len(found) < count:
            after = self._arrive()
            if after is not None:
                found.append(after)
        return found

    def _arrive(self) -> float | None:
        _, effects = self.gateway.arrive("/draft/x", tokens=100)
        if parts.none(effects, _effects.FailExchange):
            return None
        failure = parts.only(effects, _effects.FailExchange).failure
        assert failure.retry_after is not None
        return failure.retry_after.total_seconds() * 1000


class TestReturns:
    """Day ``callers``: most refusals were of callers that had come back.

    They had been told to come back within 2 s of a burst that lasted 5 s,
    and callers come back once.
    """

    def test_callers_return_one_after_the_other(self) -> None:
        times = _Busy().refusals(3)
        steps = [
            later - earlier
            for earlier, later in zip(times, times[1:], strict=False)
        ]
        assert all(step >= 100 for step in steps), times

    def test_nobody_is_told_to_wait_longer_than_callers_do(self) -> None:
        times = _Busy().refusals(60)
        # Callers wait up to a third of the time that they have left, 4 s.
        assert max(times) <= 4000 / 3
        assert times[-1] > 1000

    def test_later_refusals_are_told_shorter_times_again(self) -> None:
        busy = _Busy()
        busy.refusals(60)
        busy.calm_down()
        assert busy.refusals(1)[0] < 1000


class TestRefusalForMemory:
    """An engine that refuses because it is full is not taken for broken."""

    def test_full_engine_keeps_its_work(self) -> None:
        gateway = parts.Gateway()
        running = _fill(gateway)
        gateway.end(running[-1], _Outcome.NOT_RUN, faulty_address="high:80")
        fleet = gateway.reducer._state.fleet
        assert not fleet.is_suspected(model.EndpointId("high"), gateway.now)

    def test_the_same_engine_is_not_asked_again_at_once(self) -> None:
        """Seen on the grown fleet: four refusals within 30 ms."""
        gateway = parts.Gateway()
        one, effects = gateway.arrive("/draft/x")
        first = parts.only(effects, _effects.StartAttempt).dispatch
        effects = gateway.end(one, _Outcome.NOT_RUN)
        second = parts.only(effects, _effects.StartAttempt).dispatch
        assert {first.endpoint_id, second.endpoint_id} == {"low", "far-low"}

    def test_first_engine_that_refuses_is_used_again_soon(self) -> None:
        gateway = parts.Gateway()
        one, effects = gateway.arrive("/draft/x")
        gateway.end(one, _Outcome.NOT_RUN)
        fleet = gateway.reducer._state.fleet
        assert not fleet.is_suspected(model.EndpointId("low"), gateway.now)
        gateway.advance(300)
        _, effects = gateway.arrive("/draft/x")
        start = parts.only(effects, _effects.StartAttempt)
        assert start.dispatch.endpoint_id == "low"

    def test_when_every_first_engine_refuses_the_caller_is_told(self) -> None:
        gateway = parts.Gateway()
        one, _ = gateway.arrive("/draft/x")
        gateway.end(one, _Outcome.NOT_RUN)
        effects = gateway.end(one, _Outcome.NOT_RUN)
        failure = parts.only(effects, _effects.FailExchange).failure
        assert failure.http_status == 503
        assert failure.retry_after is not None

    def test_engine_whose_slots_are_taken_is_passed_over(self) -> None:
        gateway = parts.Gateway()
        marks = _calls.AnswerMetadata(
            None, True, False, running=8, waiting=1, slots=8
        )
        told = _events.EndpointLoadReported(model.EndpointId("low"), marks)
        gateway.handle(told)
        _, effects = gateway.arrive("/draft/x")
        start = parts.only(effects, _effects.StartAttempt)
        assert start.dispatch.endpoint_id == "far-low"

    def test_empty_engine_that_refuses_is_left_alone(self) -> None:
        gateway = parts.Gateway()
        one, _ = gateway.arrive("/draft/x")
        gateway.end(one, _Outcome.NOT_RUN, faulty_address="high:80")
        fleet = gateway.reducer._state.fleet
        assert fleet.is_suspected(model.EndpointId("high"), gateway.now)


class TestSlowEngines:
    """A slow third of the engines: work goes to the others."""

    def test_slow_engine_is_avoided_until_it_is_fast(self) -> None:
        gateway = parts.Gateway()
        low = model.EndpointId("low")
        for slowness, expected in ((12.0, "far-low"), (1.0, "low")):
            gateway.tell(protocol.EndpointPaced(low, 1, slowness))
            _, effects = gateway.arrive("/draft/x")
            start = parts.only(effects, _effects.StartAttempt)
            assert start.dispatch.endpoint_id == expected

    def test_slow_engine_is_better_than_none(self) -> None:
        gateway = parts.Gateway(parts.fleet()[:2])
        paced = protocol.EndpointPaced(model.EndpointId("low"), 1, 12.0)
        gateway.tell(paced)
        _, effects = gateway.arrive("/draft/x")
        parts.only(effects, _effects.StartAttempt)


class TestOtherEntries:
    """Load that other VMs put on the same engines counts as well."""

    def test_goes_where_the_others_are_not(self) -> None:
        gateway = parts.Gateway()
        loads = tuple(
            protocol.EndpointLoad(model.EndpointId(name), 9, 950)
            for name in ("low", "high")
        )
        gateway.tell(protocol.LoadSummed(loads))
        gateway.advance(200)
        _, effects = gateway.arrive("/draft/x", tokens=100)
        start = parts.only(effects, _effects.StartAttempt)
        assert start.dispatch.endpoint_id == "far-low"
