"""Tests of requests to engines that have named a limit."""

import datetime

import pytest

from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_Outcome = _events.AttemptOutcome
_LOW = model.EndpointId("low")
_FAR_LOW = model.EndpointId("far-low")
_FAR_HIGH = model.EndpointId("far-high")
_LEDGERS = (model.EndpointId("ledger-1"), model.EndpointId("ledger-2"))
_WAIT_MILLISECONDS = 2000

_Effects = list[_effects.GatewayEffect]


def _limit(
    gateway: parts.Gateway,
    *endpoint_ids: model.EndpointId,
    figure: float | None = 0.5,
) -> None:
    for endpoint_id in endpoint_ids:
        gateway.receive(protocol.EndpointLimited(endpoint_id, 1, figure))


def _fill(gateway: parts.Gateway, *endpoint_ids: model.EndpointId) -> None:
    loads = tuple(
        protocol.EndpointLoad(endpoint_id, 9, 1000)
        for endpoint_id in endpoint_ids
    )
    gateway.receive(protocol.LoadSummed(loads))


def _asked(effects: _Effects) -> list[protocol.PermitAsked]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, _effects.SendMessage)
        and isinstance(effect.message, protocol.PermitAsked)
    ]


def _answer(
    gateway: parts.Gateway, asked: protocol.PermitAsked, is_granted: bool
) -> _Effects:
    return gateway.receive(
        protocol.PermitAnswered(
            asked.endpoint_id,
            asked.incarnation,
            asked.ask_id,
            is_granted,
            0 if is_granted else _WAIT_MILLISECONDS,
        )
    )


def _returned(effects: _Effects) -> list[model.EndpointId]:
    return [
        effect.message.endpoint_id
        for effect in effects
        if isinstance(effect, _effects.SendMessage)
        and isinstance(effect.message, protocol.PermitReturned)
    ]


def _started(effects: _Effects) -> list[model.EndpointId]:
    return [
        effect.dispatch.endpoint_id
        for effect in effects
        if isinstance(effect, _effects.StartAttempt)
    ]


class TestPermits:
    def test_request_is_sent_with_a_permit_only(self) -> None:
        gateway = parts.Gateway()
        _limit(gateway, _LOW)
        _, effects = gateway.send_request("/draft/x")
        assert _started(effects) == []
        (asked,) = _asked(effects)
        assert (asked.endpoint_id, asked.requests_per_second) == (_LOW, 0.5)
        assert _started(_answer(gateway, asked, True)) == [_LOW]

    def test_denied_request_goes_to_another_engine_at_once(self) -> None:
        gateway = parts.Gateway()
        _limit(gateway, _LOW)
        _, effects = gateway.send_request("/draft/x")
        (asked,) = _asked(effects)
        assert _started(_answer(gateway, asked, False)) == [_FAR_LOW]
        # The next ones do not ask in vain.
        _, effects = gateway.send_request("/draft/x")
        assert _started(effects) == [_FAR_LOW]

    def test_limited_engine_stays_a_later_stage(self) -> None:
        gateway = parts.Gateway()
        _limit(gateway, model.EndpointId("high"), figure=0.0)
        _, effects = gateway.send_request("/draft/x")
        (start,) = (
            effect
            for effect in effects
            if isinstance(effect, _effects.StartAttempt)
        )
        assert start.dispatch.pipeline is not None
        stages = start.dispatch.pipeline.stages
        assert [stage.endpoint_id for stage in stages] == ["low", "high"]

    def test_pipeline_across_data_centres_if_none_has_room(self) -> None:
        """The first engine of one is limited, another engine is full."""
        gateway = parts.Gateway()
        _limit(gateway, _LOW)
        _fill(gateway, _FAR_HIGH)
        _, effects = gateway.send_request("/draft/x")
        effects = _answer(gateway, _asked(effects)[0], False)
        start = parts.get_effect(effects, _effects.StartAttempt)
        assert start.dispatch.pipeline is not None
        stages = start.dispatch.pipeline.stages
        assert [stage.endpoint_id for stage in stages] == ["far-low", "high"]

    def test_permit_of_a_request_that_has_left_is_returned(self) -> None:
        gateway = parts.Gateway()
        _limit(gateway, _LOW)
        exchange_id, effects = gateway.send_request("/draft/x")
        (asked,) = _asked(effects)
        gateway.handle(_events.CallerDisconnected(exchange_id))
        effects = _answer(gateway, asked, True)
        assert _started(effects) == []
        assert _returned(effects) == [_LOW]

    def test_each_retry_needs_a_permit(self) -> None:
        gateway = parts.Gateway()
        _limit(gateway, *_LEDGERS)
        exchange_id, effects = gateway.send_request("/read/x")
        (first,) = _asked(effects)
        assert len(_started(_answer(gateway, first, True))) == 1
        effects = gateway.end_attempt(exchange_id, _Outcome.UNKNOWN)
        assert _started(effects) == []
        (second,) = _asked(effects)
        assert second.endpoint_id != first.endpoint_id

    def test_end_of_a_limit_needs_no_permit(self) -> None:
        gateway = parts.Gateway()
        _limit(gateway, _LOW)
        _limit(gateway, _LOW, figure=None)
        _, effects = gateway.send_request("/draft/x")
        assert _started(effects) == [_LOW]

    def test_limited_engine_is_not_suspected(self) -> None:
        gateway = parts.Gateway()
        _limit(gateway, _LOW)
        _, effects = gateway.send_request("/draft/x")
        _answer(gateway, _asked(effects)[0], False)
        fleet = gateway.reducer._state.fleet
        assert not fleet.is_suspected(_LOW, gateway.now)
        assert fleet.is_usable(_LOW, gateway.now)


class TestNoRoom:
    """All first engines, or all endpoints of a service, are limited."""

    def _send(
        self, gateway: parts.Gateway, path: str
    ) -> tuple[int, list[protocol.PermitAsked], _Effects]:
        """Send a request, and deny what it asks for at once."""
        exchange_id, effects = gateway.send_request(path)
        all_effects = list(effects)
        waiting: list[protocol.PermitAsked] = []
        asks = _asked(effects)
        while asks:
            asked = asks.pop(0)
            if asked.max_wait_milliseconds:
                waiting.append(asked)
                continue
            effects = _answer(gateway, asked, False)
            all_effects += effects
            asks += _asked(effects)
        return exchange_id, waiting, all_effects

    @pytest.mark.parametrize(
        ("path", "limited"),
        [("/draft/x", (_LOW, _FAR_LOW)), ("/post/x", _LEDGERS)],
    )
    def test_refused_at_once_with_a_time_that_holds(
        self, path: str, limited: tuple[model.EndpointId, ...]
    ) -> None:
        gateway = parts.Gateway()
        _limit(gateway, *limited)
        _, waiting, effects = self._send(gateway, path)
        # Nothing is free within the time that the request may wait.
        assert waiting == []
        failed = parts.get_effect(effects, _effects.FailExchange)
        assert failed.failure.http_status == 503
        retry_after = failed.failure.retry_after
        assert retry_after is not None
        assert datetime.timedelta(seconds=1) < retry_after
        assert retry_after <= datetime.timedelta(seconds=2)

    @pytest.mark.parametrize(
        ("path", "limited"),
        [("/draft/x", (_LOW, _FAR_LOW)), ("/post/x", _LEDGERS)],
    )
    def test_request_waits_for_a_permit_that_is_free_in_time(
        self, path: str, limited: tuple[model.EndpointId, ...]
    ) -> None:
        gateway = parts.Gateway()
        _limit(gateway, *limited, figure=20.0)
        _, effects = gateway.send_request(path)
        for _ in limited:
            (asked,) = _asked(effects)
            denied = protocol.PermitAnswered(
                asked.endpoint_id, 1, asked.ask_id, False, 120
            )
            effects = gateway.receive(denied)
        (asked,) = _asked(effects)
        assert 300 < asked.max_wait_milliseconds <= 400
        gateway.advance(100)
        assert _started(_answer(gateway, asked, True)) == [asked.endpoint_id]

    def test_waiting_request_takes_another_engine_that_is_free(self) -> None:
        gateway = parts.Gateway()
        _limit(gateway, _LOW, _FAR_LOW, figure=20.0)
        _, effects = gateway.send_request("/draft/x")
        for _ in range(2):
            (asked,) = _asked(effects)
            denied = protocol.PermitAnswered(
                asked.endpoint_id, 1, asked.ask_id, False, 120
            )
            effects = gateway.receive(denied)
        (asked,) = _asked(effects)
        other = ({_LOW, _FAR_LOW} - {asked.endpoint_id}).pop()
        _limit(gateway, other, figure=None)
        assert _started(gateway.advance(20)) == [other]
        # What is granted later is not used.
        assert _returned(_answer(gateway, asked, True)) == [asked.endpoint_id]

    def test_stream_that_has_started_waits_for_its_turn(self) -> None:
        gateway = parts.Gateway()
        exchange_id, _ = gateway.send_request("/draft/x")
        gateway.handle(_events.OutputStarted(exchange_id))
        _limit(gateway, _LOW, _FAR_LOW, figure=1.0)
        effects = gateway.end_attempt(
            exchange_id, _Outcome.UNKNOWN, position=3
        )
        (asked,) = _asked(effects)
        assert asked.priority == -1
        effects = _answer(gateway, asked, False)
        assert parts.has_no_effect(effects, _effects.FailExchange)

    def test_late_permit_does_not_send_a_request_twice(self) -> None:
        """It waited for a permit, and then for a path as well."""
        gateway = parts.Gateway()
        _limit(gateway, *_LEDGERS)
        _, effects = gateway.send_request("/read/x")
        (asked,) = _asked(effects)
        state = gateway.reducer._state
        exchange = state.exchanges[asked.ask_id]
        state.awaiting_path[asked.ask_id] = exchange
        assert len(_started(_answer(gateway, asked, True))) == 1
        _limit(gateway, *_LEDGERS, figure=None)
        assert _started(gateway.advance(50)) == []

    @pytest.mark.parametrize("path", ["/post/x", "/draft/x"])
    def test_departures_are_not_kept_for_ever(self, path: str) -> None:
        gateway = parts.Gateway()
        for _ in range(100):
            exchange_id, _ = gateway.send_request(path)
            gateway.end_attempt(exchange_id, _Outcome.ANSWERED)
            gateway.now += datetime.timedelta(seconds=1)
            heard = tuple(
                registration.endpoint_id
                for registration in parts.make_registrations()
            )
            gateway.receive(protocol.RegistrationsSeen(heard=heard))
        for queue in gateway.reducer._state.queues:
            assert len(queue._departures) < 10

    def test_request_that_waits_for_a_permit_holds_up_no_other(self) -> None:
        """Behind it, a VM with few answers expected a wait of 4 s."""
        gateway = parts.Gateway()
        _limit(gateway, _LOW, _FAR_LOW, figure=20.0)
        _, effects = gateway.send_request("/draft/x")
        for _ in range(2):
            (asked,) = _asked(effects)
            denied = protocol.PermitAnswered(
                asked.endpoint_id, 1, asked.ask_id, False, 120
            )
            effects = gateway.receive(denied)
        assert _asked(effects)[0].max_wait_milliseconds
        _, effects = gateway.send_request("/draft/x")
        assert parts.has_no_effect(effects, _effects.FailExchange)
        assert _asked(effects)[0].max_wait_milliseconds

    def test_request_asks_few_of_many_busy_endpoints(self) -> None:
        gateway = parts.Gateway(
            tuple(
                parts.make_registration(f"ledger-{number}", "ledger")
                for number in range(40)
            )
        )
        for number in range(40):
            _limit(gateway, model.EndpointId(f"ledger-{number}"))
        _, effects = gateway.send_request("/post/x")
        asks = _asked(effects)
        asked_count = 0
        while asks:
            asked_count += 1
            effects = _answer(gateway, asks.pop(), False)
            asks += _asked(effects)
        assert asked_count <= 8
        parts.get_effect(effects, _effects.FailExchange)


class TestConnectionLimit:
    """An endpoint accepts so many connections from all VMs together."""

    def _load(self, gateway: parts.Gateway, *running: int) -> None:
        loads = tuple(
            protocol.EndpointLoad(endpoint_id, count, 0)
            for endpoint_id, count in zip(_LEDGERS, running, strict=True)
        )
        gateway.receive(protocol.LoadSummed(loads))

    @pytest.mark.parametrize("path", ["/read/x", "/post/x"])
    def test_endpoint_that_others_have_filled_gets_no_request(
        self, path: str
    ) -> None:
        gateway = parts.Gateway()
        self._load(gateway, 8, 0)
        for _ in range(4):
            _, effects = gateway.send_request(path)
            assert _started(effects) == [_LEDGERS[1]]

    def test_request_is_refused_as_not_run_while_all_are_full(self) -> None:
        gateway = parts.Gateway()
        self._load(gateway, 8, 8)
        _, effects = gateway.send_request("/post/x")
        failed = parts.get_effect(effects, _effects.FailExchange)
        assert failed.failure.http_status == 503
        assert failed.failure.retry_after is not None
        self._load(gateway, 7, 8)
        _, effects = gateway.send_request("/post/x")
        assert _started(effects) == [_LEDGERS[0]]

    def test_own_requests_count_at_once(self) -> None:
        gateway = parts.Gateway()
        self._load(gateway, 7, 8)
        assert _started(gateway.send_request("/post/x")[1])
        assert _started(gateway.send_request("/post/x")[1]) == []


class TestWithoutControlVms:
    def test_an_equal_share_is_sent_and_the_rest_refused(self) -> None:
        gateway = parts.Gateway()
        gateway.receive(protocol.LoadSummed((), entry_count=4))
        _limit(gateway, *_LEDGERS, figure=8.0)
        gateway.handle(protocol.PeerDisconnected(model.VmId("control:1")))
        gateway.advance(50)
        started = 0
        for _ in range(70):
            gateway.advance(50)
            started += len(_started(gateway.send_request("/post/x")[1]))
        # 3.5 s at 2 a second for each of two endpoints.
        assert 12 <= started <= 14
