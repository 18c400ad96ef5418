"""Tests of requests at a VM that drains.  Callers allow 4 s, see ``parts``."""

import collections.abc
import typing

import pytest

from sedgepin._gateway import _drain as _drain_module
from sedgepin._gateway import _durations
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import errors
from sedgepin import events

_Effects = list[_effects.GatewayEffect]
_LinkFailure = _events.LinkFailure
_Outcome = _events.AttemptOutcome
_PATHS = pytest.mark.parametrize("path", ["/draft/x", "/read/x", "/post/x"])


def _drain(
    gateway: parts.Gateway,
    milliseconds: float,
    estimated: float | None = None,
) -> _Effects:
    """Begin a drain that takes streams on an estimate for ``estimated`` ms."""
    if estimated is None:
        estimated = milliseconds
    return gateway.handle(
        _events.DrainRequested(
            parts.milliseconds(milliseconds), parts.milliseconds(estimated)
        )
    )


def _answer(gateway: parts.Gateway, path: str, *durations: float) -> None:
    """Let requests be answered that take so many milliseconds each."""
    for duration in durations:
        exchange_id, _ = gateway.send_request(path)
        gateway.now += parts.milliseconds(duration)
        gateway.end_attempt(exchange_id, _Outcome.ANSWERED)


def _failure(effects: _Effects) -> errors.Failure:
    return parts.get_effect(effects, _effects.FailExchange).failure


def _logged_failure(effects: _Effects) -> tuple[object, object]:
    """Return the code and whether the request is logged as possibly run."""
    (line,) = [
        effect.line
        for effect in effects
        if isinstance(effect, _effects.WriteLog)
        and effect.line.definition is events.REQUEST_FAILED
    ]
    fields = {field.name: field.value for field in line.fields}
    return fields["code"], fields["may_have_run"]


def _assert_refused(effects: _Effects) -> None:
    failure = _failure(effects)
    assert failure.code == "draining"
    assert failure.http_status == 503
    assert failure.outcome is errors.Outcome.NOT_RUN
    assert failure.retry_after is not None
    assert parts.has_no_effect(effects, _effects.StartAttempt)


def _held_at_the_start(gateway: parts.Gateway) -> None:
    gateway.reducer._state.table = None
    gateway.send_request("/post/x")


def _waiting_for_capacity(gateway: parts.Gateway) -> None:
    running: list[int] = []
    while True:
        exchange_id, effects = gateway.send_request("/draft/x", tokens=100)
        if not parts.has_no_effect(effects, _effects.FailExchange):
            break
        running.append(exchange_id)
    for _step in range(15):
        gateway.now += parts.milliseconds(100)
        gateway.end_attempt(running.pop(0), _Outcome.ANSWERED)
        running.append(gateway.send_request("/draft/x", tokens=100)[0])
    gateway.send_request("/draft/x", tokens=100)


def _waiting_for_a_permit(gateway: parts.Gateway) -> None:
    for name in ("ledger-1", "ledger-2"):
        endpoint_id = model.EndpointId(name)
        gateway.receive(protocol.EndpointLimited(endpoint_id, 1, 0.5))
    gateway.send_request("/post/x")


def _waiting_for_a_path(gateway: parts.Gateway) -> None:
    exchange_id, _ = gateway.send_request("/post/x")
    for _attempt in range(2):
        gateway.end_attempt(
            exchange_id, _Outcome.NOT_SENT, link_failure=_LinkFailure.DIRECT
        )


_WAITS = pytest.mark.parametrize(
    "wait",
    [
        _held_at_the_start,
        _waiting_for_capacity,
        _waiting_for_a_permit,
        _waiting_for_a_path,
    ],
)


class TestArrival:
    """``observed``: milliseconds of the answers before, the bound is 3 s."""

    @_PATHS
    @pytest.mark.parametrize(
        ("observed", "arrives_after", "is_sent"),
        [
            ([], 0, False),
            ([100], 0, True),
            ([100], 2800, True),
            ([100], 2950, False),
            ([2500, 100], 400, True),
            ([2500, 100], 600, False),
            ([3500, 100], 0, False),
        ],
    )
    def test_request_is_sent_only_if_it_can_end_before_the_stop(
        self,
        path: str,
        observed: list[float],
        arrives_after: float,
        is_sent: bool,
    ) -> None:
        gateway = parts.Gateway()
        _answer(gateway, path, *observed)
        _drain(gateway, 3000)
        gateway.now += parts.milliseconds(arrives_after)
        _, effects = gateway.send_request(path)
        if not is_sent:
            _assert_refused(effects)
            return
        start = parts.get_effect(effects, _effects.StartAttempt)
        left = parts.milliseconds(3000 - arrives_after)
        assert start.dispatch.time_left == left
        deadline = parts.get_effect(effects, _effects.SetDeadline)
        assert deadline.time_left == left

    @_PATHS
    def test_request_whose_own_deadline_comes_first_is_sent(
        self, path: str
    ) -> None:
        gateway = parts.Gateway()
        _drain(gateway, 4000)
        _, effects = gateway.send_request(path)
        start = parts.get_effect(effects, _effects.StartAttempt)
        assert start.dispatch.time_left == parts.milliseconds(4000)

    @pytest.mark.parametrize(
        ("tokens", "is_sent"), [(10, True), (50, True), (58, False)]
    )
    def test_long_stream_is_refused_after_short_ones(
        self, tokens: int, is_sent: bool
    ) -> None:
        """5 tokens took 100 ms and 500 ms; half of ``tokens`` are output."""
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x", tokens=10)
        gateway.now += parts.milliseconds(100)
        gateway.handle(_events.OutputStarted(exchange_id))
        gateway.now += parts.milliseconds(500)
        gateway.end_attempt(exchange_id, _Outcome.ANSWERED)
        _drain(gateway, 2800)
        _, effects = gateway.send_request("/draft/x", tokens=tokens)
        if is_sent:
            parts.get_effect(effects, _effects.StartAttempt)
        else:
            _assert_refused(effects)

    def test_durations_of_another_kind_do_not_count(self) -> None:
        gateway = parts.Gateway()
        _answer(gateway, "/read/x", 100)
        _drain(gateway, 3000)
        _assert_refused(gateway.send_request("/post/x")[1])

    def test_starting_vm_that_drains_holds_no_request(self) -> None:
        gateway = parts.Gateway(())
        gateway.reducer._state.table = None
        _drain(gateway, 7500)
        _, effects = gateway.send_request("/post/x")
        assert _failure(effects).http_status == 503

    def test_second_drain_request_does_not_move_the_end(self) -> None:
        gateway = parts.Gateway()
        _answer(gateway, "/post/x", 100)
        _drain(gateway, 1000)
        gateway.now += parts.milliseconds(950)
        _drain(gateway, 1000)
        _assert_refused(gateway.send_request("/post/x")[1])


class TestLateArrival:
    """Streams are taken on an estimate for 1 s; the bound is 3 s."""

    @pytest.mark.parametrize(
        ("path", "arrives_after", "is_sent"),
        [
            ("/draft/x", 999, True),
            ("/draft/x", 1000, False),
            ("/draft/x", 2500, False),
            ("/read/x", 2500, True),
            ("/post/x", 2500, True),
            ("/post/x", 2950, False),
        ],
    )
    def test_stream_that_could_be_cut_is_refused(
        self, path: str, arrives_after: float, is_sent: bool
    ) -> None:
        gateway = parts.Gateway()
        _answer(gateway, path, 100, 100)
        _drain(gateway, 3000, estimated=1000)
        gateway.now += parts.milliseconds(arrives_after)
        _, effects = gateway.send_request(path)
        if is_sent:
            parts.get_effect(effects, _effects.StartAttempt)
        else:
            _assert_refused(effects)

    def test_stream_whose_own_deadline_comes_first_is_sent(self) -> None:
        gateway = parts.Gateway()
        _drain(gateway, 7000, estimated=1000)
        gateway.now += parts.milliseconds(2900)
        _, effects = gateway.send_request("/draft/x")
        parts.get_effect(effects, _effects.StartAttempt)

    def test_stream_that_came_before_and_waits_is_sent(self) -> None:
        gateway = parts.Gateway()
        _answer(gateway, "/draft/x", 100)
        exchange_id, _ = gateway.send_request("/draft/x")
        _drain(gateway, 3000, estimated=1000)
        gateway.now += parts.milliseconds(1500)
        effects = gateway.end_attempt(exchange_id, _Outcome.NOT_RUN)
        parts.get_effect(effects, _effects.StartAttempt)


class TestEstimate:
    def test_one_slow_answer_among_many_does_not_refuse_streams(self) -> None:
        gateway = parts.Gateway()
        _answer(gateway, "/draft/x", 3200, 100, 100, 100)
        _drain(gateway, 3000)
        _, effects = gateway.send_request("/draft/x")
        parts.get_effect(effects, _effects.StartAttempt)

    @_PATHS
    def test_requests_of_a_service_that_turned_slow_are_refused(
        self, path: str
    ) -> None:
        """No slow answer has ended; ten have been open for longer."""
        gateway = parts.Gateway()
        _answer(gateway, path, *([100] * 5))
        for _request in range(10):
            gateway.send_request(path)
        gateway.now += parts.milliseconds(2000)
        _drain(gateway, 1900)
        _assert_refused(gateway.send_request(path)[1])

    def test_requests_that_ended_without_an_answer_count(self) -> None:
        gateway = parts.Gateway()
        _answer(gateway, "/post/x", *([100] * 5))
        for _request in range(5):
            exchange_id, _ = gateway.send_request("/post/x")
            gateway.now += parts.milliseconds(4000)
            gateway.handle(_events.DeadlineReached(exchange_id))
        _drain(gateway, 3000)
        _assert_refused(gateway.send_request("/post/x")[1])

    @_PATHS
    def test_callers_that_leave_at_once_do_not_push_out_what_is_known(
        self, path: str
    ) -> None:
        """How long a request took at least tells nothing below all others."""
        gateway = parts.Gateway()
        _answer(gateway, path, *([100] * 20))
        for _request in range(64):
            exchange_id, _ = gateway.send_request(path)
            gateway.now += parts.milliseconds(10)
            gateway.handle(_events.CallerDisconnected(exchange_id))
        _drain(gateway, 3500)
        _, effects = gateway.send_request(path)
        parts.get_effect(effects, _effects.StartAttempt)

    def test_open_requests_are_measured_once_for_all_sizes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Each tick decides on all that wait, while many are open."""
        measured: list[object] = []
        measure = _drain_module._measure

        def count(*arguments: typing.Any) -> _durations.Duration:
            measured.append(arguments)
            return measure(*arguments)

        gateway = parts.Gateway()
        _answer(gateway, "/draft/x", 100)
        for _request in range(10):
            gateway.send_request("/draft/x")
        gateway.now += parts.milliseconds(10)
        _drain(gateway, 3000)
        monkeypatch.setattr(_drain_module, "_measure", count)
        for tokens in range(10, 30, 2):
            gateway.send_request("/draft/x", tokens=tokens)
        assert len(measured) == 10

    def test_waiting_requests_of_many_sizes_do_not_hold_up_the_vm(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An estimate beside 500 open requests takes some 0.4 ms."""
        sizes: list[float] = []
        estimate = _durations.probability_of_end

        def count(
            known: list[_durations.Duration], tokens: float, *time: typing.Any
        ) -> float | None:
            sizes.append(tokens)
            return estimate(known, tokens, *time)

        gateway = parts.Gateway()
        _answer(gateway, "/draft/x", 100)
        _drain(gateway, 3000)
        monkeypatch.setattr(_durations, "probability_of_end", count)
        for tokens in range(10, 1010, 2):
            gateway.send_request("/draft/x", tokens=tokens)
        assert 10 < len(sizes) <= 64
        assert min(sizes) == pytest.approx(5, rel=0.05)
        assert max(sizes) == pytest.approx(504, rel=0.05)


class TestTimeToRetry:
    @pytest.mark.parametrize(
        ("entry_count", "stopping_count", "is_soon"),
        [(0, 0, True), (8, 0, True), (8, 6, True), (8, 7, False)],
    )
    def test_callers_return_when_a_vm_is_likely_to_serve_them(
        self, entry_count: int, stopping_count: int, is_soon: bool
    ) -> None:
        """``is_soon``: at another VM; else at this one, started again."""
        gateway = parts.Gateway()
        _drain(gateway, 2000, estimated=500)
        summed = protocol.LoadSummed(
            (), entry_count=entry_count, stopping_count=stopping_count
        )
        gateway.receive(summed)
        gateway.now += parts.milliseconds(1800)
        _, effects = gateway.send_request("/draft/x")
        retry_after = _failure(effects).retry_after
        assert retry_after is not None
        if is_soon:
            assert retry_after == parts.milliseconds(250)
        else:
            assert retry_after >= parts.milliseconds(1200)
            assert retry_after <= parts.milliseconds(3200)

    def test_time_to_retry_is_not_negative_when_a_stop_ends_late(self) -> None:
        """A process that was held, or a clock that was set, is late."""
        gateway = parts.Gateway()
        _drain(gateway, 2000, estimated=500)
        gateway.receive(
            protocol.LoadSummed((), entry_count=1, stopping_count=1)
        )
        gateway.now += parts.milliseconds(9000)
        _, effects = gateway.send_request("/draft/x")
        retry_after = _failure(effects).retry_after
        assert retry_after is not None
        assert retry_after >= parts.milliseconds(250)

    def test_callers_without_the_time_to_wait_return_soon(self) -> None:
        gateway = parts.Gateway()
        _drain(gateway, 3800, estimated=500)
        gateway.receive(
            protocol.LoadSummed((), entry_count=1, stopping_count=1)
        )
        gateway.now += parts.milliseconds(600)
        _, effects = gateway.send_request("/draft/x")
        failure = _failure(effects)
        assert failure.retry_after == parts.milliseconds(250)


class TestOthersThatServe:
    @pytest.mark.parametrize(
        ("entry_count", "stopping_count", "do_serve"),
        [(0, 0, False), (1, 1, False), (8, 6, True), (8, 7, False)],
    )
    def test_others_serve_if_enough_are_known_to(
        self, entry_count: int, stopping_count: int, do_serve: bool
    ) -> None:
        gateway = parts.Gateway()
        assert not gateway.reducer.do_others_serve
        summed = protocol.LoadSummed(
            (), entry_count=entry_count, stopping_count=stopping_count
        )
        gateway.receive(summed)
        assert gateway.reducer.do_others_serve == do_serve


class TestReport:
    def test_control_vms_learn_before_no_new_streams_are_taken(self) -> None:
        """By 0.75 s: then callers that others refuse now do not come here."""
        gateway = parts.Gateway()
        _drain(gateway, 7500, estimated=2600)
        reported: list[tuple[int, bool]] = []
        for tick in range(20):
            effects = gateway.advance(200)
            reported += [
                (tick, effect.message.is_stopping)
                for effect in effects
                if isinstance(effect, _effects.SendMessage)
                and isinstance(effect.message, protocol.LoadReported)
            ]
        assert {stops for _, stops in reported} == {False, True}
        first = next(tick for tick, stops in reported if stops)
        assert first == 9
        assert all(stops == (tick >= first) for tick, stops in reported)

    def test_control_vm_that_is_left_does_not_count_this_vm_as_serving(
        self,
    ) -> None:
        gateway = parts.Gateway()
        hello = protocol.Hello(
            model.VmId("control:2"),
            "control",
            parts.HOME,
            model.Incarnation(1),
        )
        gateway.handle(protocol.PeerConnected(hello))
        _drain(gateway, 7500, estimated=0)
        last: dict[model.VmId, bool] = {}
        for _tick in range(30):
            for effect in gateway.advance(200):
                if isinstance(effect, _effects.SendMessage) and isinstance(
                    effect.message, protocol.LoadReported
                ):
                    last[effect.recipient] = effect.message.is_stopping
        assert len(last) == 2
        assert all(last.values())


class TestWaitingRequests:
    @_WAITS
    def test_one_that_cannot_end_in_time_is_refused_at_once(
        self, wait: collections.abc.Callable[[parts.Gateway], None]
    ) -> None:
        gateway = parts.Gateway()
        wait(gateway)
        assert gateway.reducer.has_queued_requests
        _assert_refused(_drain(gateway, 50))
        assert not gateway.reducer.has_queued_requests

    def test_one_that_can_end_waits_on_and_is_sent(self) -> None:
        gateway = parts.Gateway()
        _waiting_for_a_path(gateway)
        assert parts.has_no_effect(
            _drain(gateway, 4000), _effects.FailExchange
        )
        forwarder = protocol.Forwarder(model.VmId("entry:2"), "a:1", "key")
        effects = gateway.receive(protocol.ForwardersOffered((forwarder,)))
        parts.get_effect(effects, _effects.StartAttempt)

    def test_one_that_nobody_ran_is_refused_as_not_run_at_the_end(
        self,
    ) -> None:
        """Its deadline may come before the tick that refuses what waits."""
        gateway = parts.Gateway()
        _answer(gateway, "/post/x", 1)
        _waiting_for_a_path(gateway)
        assert parts.has_no_effect(
            _drain(gateway, 3000), _effects.FailExchange
        )
        (exchange_id,) = gateway.reducer._state.awaiting_path
        gateway.now += parts.milliseconds(3000)
        effects = gateway.handle(_events.DeadlineReached(exchange_id))
        _assert_refused(effects)
        assert _logged_failure(effects) == ("draining", False)

    def test_one_that_waits_until_its_time_is_too_short_is_refused(
        self,
    ) -> None:
        gateway = parts.Gateway()
        _answer(gateway, "/post/x", 800)
        _waiting_for_a_permit(gateway)
        assert parts.has_no_effect(_drain(gateway, 900), _effects.FailExchange)
        _assert_refused(gateway.advance(150))


class TestSentRequests:
    @_PATHS
    def test_one_without_output_ends_as_unknown(self, path: str) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request(path)
        deadline = parts.get_effect(
            _drain(gateway, 3000), _effects.SetDeadline
        )
        assert deadline.time_left == parts.milliseconds(3000)
        gateway.now += parts.milliseconds(3000)
        effects = gateway.handle(_events.DeadlineReached(exchange_id))
        failure = _failure(effects)
        assert (failure.code, failure.http_status) == ("drain_ended", 504)
        assert failure.outcome is errors.Outcome.UNKNOWN
        assert failure.retry_after is None

    def test_stream_has_until_the_end_and_is_not_laid_on_its_caller(
        self,
    ) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x")
        gateway.handle(_events.OutputStarted(exchange_id))
        _drain(gateway, 3000)
        for _tick in range(29):
            effects = gateway.advance(100)
            assert parts.has_no_effect(effects, _effects.FailExchange)
        gateway.advance(100)
        effects = gateway.handle(_events.DeadlineReached(exchange_id))
        assert _failure(effects).code == "drain_ended"

    @pytest.mark.parametrize("has_output", [False, True])
    def test_one_that_a_stop_ends_is_not_logged_as_not_run(
        self, has_output: bool
    ) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x")
        if has_output:
            gateway.handle(_events.OutputStarted(exchange_id))
        _drain(gateway, 3000)
        gateway.now += parts.milliseconds(3000)
        effects = gateway.handle(_events.DeadlineReached(exchange_id))
        assert _logged_failure(effects) == ("drain_ended", True)

    def test_one_that_waits_when_a_stop_ends_it_is_logged_as_not_run(
        self,
    ) -> None:
        gateway = parts.Gateway()
        _waiting_for_capacity(gateway)
        effects = _drain(gateway, 100)
        assert _logged_failure(effects) == ("draining", False)

    def test_own_deadline_before_the_end_is_reported_as_such(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/post/x")
        effects = _drain(gateway, 7500)
        assert parts.has_no_effect(effects, _effects.SetDeadline)
        gateway.now += parts.milliseconds(4000)
        effects = gateway.handle(_events.DeadlineReached(exchange_id))
        assert _failure(effects).code == "deadline_passed"

    @pytest.mark.parametrize("outcome", [_Outcome.NOT_SENT, _Outcome.NOT_RUN])
    def test_one_that_nobody_ran_is_not_sent_again_too_late(
        self, outcome: _events.AttemptOutcome
    ) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/post/x")
        _drain(gateway, 3000)
        _assert_refused(gateway.end_attempt(exchange_id, outcome))

    def test_one_that_may_have_run_is_sent_again_where_it_may(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/read/x")
        _drain(gateway, 3000)
        effects = gateway.end_attempt(exchange_id, _Outcome.UNKNOWN)
        start = parts.get_effect(effects, _effects.StartAttempt)
        assert start.dispatch.time_left == parts.milliseconds(3000)

    def test_new_configuration_does_not_move_the_end(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/post/x")
        _drain(gateway, 3000)
        gateway.publish(2)
        gateway.advance(2900)
        _assert_refused(gateway.send_request("/post/x")[1])
        effects = gateway.end_attempt(exchange_id, _Outcome.ANSWERED)
        assert parts.has_no_effect(effects, _effects.FailExchange)
