"""Tests of requests whose engines fall silent and go on."""

import msgspec

from sedgepin import _catalog as catalog
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_CANCELLED = _events.AttemptOutcome.CANCELLED
_ENGINES = (
    parts.make_registration("a", "model", parts.LOW),
    parts.make_registration("b", "model", parts.LOW),
    parts.make_registration("c", "model", parts.LOW),
    parts.make_registration("d", "model", parts.LOW),
    parts.make_registration("high", "model", parts.HIGH),
    parts.make_registration("spare-high", "model", parts.HIGH),
)


class _Stream:
    """A stream that runs, and the first engines that it was sent to."""

    def __init__(self, max_attempts: int, is_resumable: bool = True) -> None:
        self.gateway = parts.Gateway(_ENGINES)
        configuration = parts.make_configuration(2)
        draft, *others = configuration.routes
        draft = msgspec.structs.replace(
            draft, max_attempts=max_attempts, resumable=is_resumable
        )
        raw = catalog.encode(
            msgspec.structs.replace(configuration, routes=(draft, *others))
        )
        self.gateway.receive(protocol.ConfigurationPublished(2, True, raw))
        self.exchange_id, effects = self.gateway.send_request("/draft/x")
        self.engines: list[model.EndpointId] = []
        self.record(effects)

    def record(
        self, effects: list[_effects.GatewayEffect]
    ) -> list[_effects.GatewayEffect]:
        """Record where the stream is sent to, and end what is cancelled."""
        for effect in effects:
            if isinstance(effect, _effects.StartAttempt):
                self.engines.append(effect.dispatch.endpoint_id)
                self.gateway.handle(_events.OutputStarted(self.exchange_id))
            if isinstance(effect, _effects.CancelAttempt):
                ended = self.gateway.end_attempt(
                    self.exchange_id,
                    _CANCELLED,
                    endpoint_id=self.engines[-1],
                )
                return effects + self.record(ended)
        return effects

    def silence(self) -> list[_effects.GatewayEffect]:
        """Let the engine that runs the stream not answer an inspection."""
        self.gateway.handle(_events.StreamStalled(self.exchange_id))
        return self.record(
            self.gateway.handle(
                _events.StallsInspected(self.engines[-1], None)
            )
        )


class TestAttemptLimit:
    def test_stream_runs_on_no_more_engines_than_its_route_allows(
        self,
    ) -> None:
        for max_attempts in (1, 2, 3):
            stream = _Stream(max_attempts)
            for _ in range(4):
                effects = stream.silence()
                assert parts.has_no_effect(effects, _effects.FailExchange)
                stream.gateway.advance(50)
            assert len(stream.engines) == max_attempts
            assert len(set(stream.engines)) == max_attempts

    def test_lost_by_silence_counts(self) -> None:
        stream = _Stream(2)
        for _ in range(3):
            lost = protocol.EndpointLost(stream.engines[-1], 1, True)
            effects = stream.record(stream.gateway.receive(lost))
            assert parts.has_no_effect(effects, _effects.FailExchange)
        assert len(stream.engines) == 2

    def test_engine_that_has_ended_does_not_count(self) -> None:
        stream = _Stream(2)
        stream.silence()
        lost = protocol.EndpointLost(stream.engines[0], 1, has_ended=True)
        stream.gateway.receive(lost)
        stream.silence()
        assert len(stream.engines) == 3

    def test_engine_that_has_started_again_does_not_count(self) -> None:
        stream = _Stream(2)
        stream.silence()
        restarted = parts.make_registration(
            stream.engines[0], "model", None, incarnation=2, sequence=0
        )
        stream.gateway.receive(protocol.RegistrationsSeen((restarted,)))
        stream.silence()
        assert len(stream.engines) == 3

    def test_engine_that_goes_on_after_a_refused_connection_counts(
        self,
    ) -> None:
        stream = _Stream(2)
        stream.silence()
        first = stream.engines[0]
        stream.gateway.receive(protocol.EndpointLost(first, 1, has_ended=True))
        stream.gateway.advance(1000)
        stream.gateway.receive(protocol.RegistrationsSeen(heard=(first,)))
        stream.silence()
        assert len(stream.engines) == 2


class TestStreamThatMayNotMove:
    def test_it_waits_for_its_engine(self) -> None:
        stream = _Stream(2, is_resumable=False)
        effects = stream.silence()
        assert parts.has_no_effect(effects, _effects.FailExchange)
        assert len(stream.engines) == 1

    def test_it_waits_for_a_stage_that_cannot_be_replaced(self) -> None:
        stream = _Stream(1)
        refused = _events.Rerouted(stream.exchange_id, False, None)
        exchange = stream.gateway.reducer._state.exchanges[stream.exchange_id]
        exchange.is_rerouting = True
        effects = stream.record(stream.gateway.handle(refused))
        assert parts.has_no_effect(effects, _effects.FailExchange)
        assert len(stream.engines) == 1

    def test_it_ends_if_its_engine_has_ended(self) -> None:
        stream = _Stream(2, is_resumable=False)
        lost = protocol.EndpointLost(stream.engines[0], 1, has_ended=True)
        effects = stream.record(stream.gateway.receive(lost))
        parts.get_effect(effects, _effects.FailExchange)
