"""A day of callers before gateways and emulated engines.

The gateways are the product's reducers on a clock of their own; only bytes,
sockets and control VMs are left out.  The load is summed as control VMs do.
"""

import datetime
import functools
import random

from bench import _emulated_callers
from bench import _emulated_engines
from sedgepin import _catalog as catalog
from sedgepin import _gateway as gateway
from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin import _protocol as protocol
from sedgepin import _registrar as registrar
from sedgepin import _web as web

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_SERVICE = model.ServiceName("model")
_CONTROL = model.VmId("control:1")
_TICK_MS = 50.0
_SUM_MS = 200.0
# One way from a caller to an entry VM.
_CALLER_MS = 3.0
# Callers come back this often.
_RETRIES = 1


class _Attempt(_emulated_engines.Listener):
    """One attempt of a caller at one entry VM."""

    def __init__(
        self,
        entry: "_Entry",
        outcome: _emulated_callers.Outcome,
        answer_tokens: int,
        number: int,
    ) -> None:
        self.entry = entry
        self.outcome = outcome
        self.answer_tokens = answer_tokens
        self.number = number
        self.job: _emulated_engines.Job | None = None
        self._has_begun = False

    def refused(self, job: _emulated_engines.Job) -> None:
        """Tell the gateway that the engines did not run it."""
        self.entry.end(self, gateway.AttemptOutcome.NOT_RUN)

    def produced(self, job: _emulated_engines.Job) -> None:
        """Note when an event reached the caller."""
        now = self.entry.timeline.now + _CALLER_MS
        outcome = self.outcome
        if outcome.first_at is None:
            outcome.first_at = now
        else:
            pause = now - outcome.last_at
            outcome.longest_pause = max(outcome.longest_pause, pause)
        outcome.last_at = now
        if not self._has_begun:
            self._has_begun = True
            self.entry.give(gateway.OutputStarted(self.number))

    def finished(self, job: _emulated_engines.Job) -> None:
        """Note that the answer is whole."""
        self.outcome.is_complete = True
        self.entry.end(self, gateway.AttemptOutcome.ANSWERED)


class _Entry:
    """One entry VM: a gateway's reducer, and who carries out its effects."""

    def __init__(
        self, emulation: "Emulation", number: int, place: model.DataCentreId
    ) -> None:
        cfg = gateway.GatewaySettings(
            vm_id=model.VmId(f"entry:{number}"),
            data_centre=place,
            listen="",
            ready_listen="",
            controls=(_CONTROL,),
            retries=gateway.RetrySettings(
                0.2, 198, datetime.timedelta(seconds=10)
            ),
            heartbeat_interval=datetime.timedelta(hours=1),
            grace_period=datetime.timedelta(seconds=8),
        )
        rng = random.Random(emulation.day.seed * 1000 + number)
        self.place = place
        self.timeline = emulation.timeline
        self._emulation = emulation
        self._reducer = gateway.GatewayReducer(cfg, rng, _START)
        self._attempts: dict[int, _Attempt] = {}
        self.reported: protocol.LoadReported | None = None

    def give(self, event: gateway.GatewayEvent) -> None:
        """Give the reducer an event and carry out what it asks."""
        span = datetime.timedelta(milliseconds=self.timeline.now)
        for effect in self._reducer.handle(event, _START + span):
            match effect:
                case gateway.SendMessage(_, protocol.LoadReported() as load):
                    self.reported = load
                case gateway.StartAttempt():
                    self._start(effect)
                case gateway.CancelAttempt(exchange_id):
                    self._cancel(exchange_id)
                case gateway.FailExchange(exchange_id, failure):
                    attempt = self._attempts.pop(exchange_id)
                    self._emulation.failed(attempt, failure.retry_after)

    def arrive(self, attempt: _Attempt) -> None:
        """Let a request arrive."""
        day = self._emulation.day
        self._attempts[attempt.number] = attempt
        usage = gateway.TokenUsage(
            day.prompt_tokens, day.answer_tokens[1], attempt.answer_tokens
        )
        request = gateway.CallerRequest(
            request_id=f"r{attempt.number}",
            host="emulated",
            path="/draft/",
            message=web.Request(b"POST", b"/draft/", ()),
            time_left=datetime.timedelta(milliseconds=day.time_left_ms),
            usage=usage,
        )
        self.give(gateway.RequestArrived(attempt.number, request))

    def end(self, attempt: _Attempt, outcome: gateway.AttemptOutcome) -> None:
        """Tell the reducer how an attempt ended."""
        if outcome is gateway.AttemptOutcome.ANSWERED:
            self._attempts.pop(attempt.number, None)
        self.give(gateway.AttemptEnded(attempt.number, outcome, ""))

    def _start(self, effect: gateway.StartAttempt) -> None:
        attempt = self._attempts[effect.exchange_id]
        pipeline = effect.dispatch.pipeline
        assert pipeline is not None
        day = self._emulation.day
        attempt.job = _emulated_engines.Job(
            attempt.number,
            pipeline,
            day.prompt_tokens,
            attempt.answer_tokens,
            attempt,
        )
        self.timeline.after(0.5, self._emulation.fleet.start, attempt.job)

    def _cancel(self, exchange_id: int) -> None:
        attempt = self._attempts.get(exchange_id)
        if attempt is not None and attempt.job is not None:
            self._emulation.fleet.cancel(attempt.job)
            self.end(attempt, gateway.AttemptOutcome.CANCELLED)


class Emulation:
    """Plays a day."""

    def __init__(
        self, day: _emulated_callers.Day, profile: catalog.EngineProfile
    ) -> None:
        self.day = day
        self.timeline = _emulated_engines.Timeline()
        self.fleet = _emulated_engines.EngineFleet(self.timeline, profile)
        self.outcomes: list[_emulated_callers.Outcome] = []
        self._rng = random.Random(day.seed)
        self._next_number = 0
        self._sums = registrar.LoadAggregator(_START)
        places = list(day.cards)
        self._entries = [
            _Entry(self, number, model.DataCentreId(places[number % 3]))
            for number in range(day.entries)
        ]
        words = self._place(profile)
        self._introduce(words, profile)

    def run(self) -> list[_emulated_callers.Outcome]:
        """Play the day to its end, and return what callers got."""
        end = self.day.seconds * 1000
        for place, rate in self.day.rates.items():
            self._arrive(place, rate, end)
        for entry in self._entries:
            self.timeline.after(
                self._rng.random() * _TICK_MS, self._tick, entry
            )
        self.timeline.after(_SUM_MS, self._sum)
        if self.day.slow is not None:
            self._slow_down(self.day.slow)
        self.timeline.run(end + self.day.time_left_ms)
        return self.outcomes

    def failed(
        self, attempt: _Attempt, retry_after: datetime.timedelta | None
    ) -> None:
        """Let a refused caller come back, as often as callers do."""
        outcome = attempt.outcome
        outcome.refusals += 1
        if retry_after is None or outcome.refusals > _RETRIES:
            return
        delay = retry_after.total_seconds() * 1000 + 2 * _CALLER_MS
        self.timeline.after(
            delay,
            self._send,
            attempt.entry.place,
            outcome,
            attempt.answer_tokens,
        )

    def _place(
        self, profile: catalog.EngineProfile
    ) -> list[catalog.Registration]:
        engines = [
            placement.Engine(
                model.EndpointId(f"{place}-{kind.name}-{number}"),
                model.DataCentreId(place),
                kind,
            )
            for place, counts in self.day.cards.items()
            for kind, count in zip(profile.accelerators, counts, strict=True)
            for number in range(count)
        ]
        plan = placement.plan(engines, profile)
        return [
            catalog.Registration(
                endpoint_id=one.endpoint_id,
                incarnation=1,
                sequence=1,
                service=_SERVICE,
                address=f"{one.endpoint_id}:80",
                data_centre=one.data_centre,
                state=catalog.EndpointState.READY,
                slots=profile.slots,
                layers=plan[one.endpoint_id],
                accelerator=one.accelerator.name,
            )
            for one in engines
            if one.endpoint_id in plan
        ]

    def _introduce(
        self,
        words: list[catalog.Registration],
        profile: catalog.EngineProfile,
    ) -> None:
        """Tell every gateway of the engines and of the configuration."""
        for word in words:
            self.fleet.add(word)
        target = datetime.timedelta(milliseconds=self.day.target_ms)
        route = catalog.Route(
            name="draft",
            host="emulated",
            path_prefix="/draft/",
            kind=catalog.RetrySemantics.STREAM,
            timeout=datetime.timedelta(milliseconds=self.day.time_left_ms),
            first_output_target=target,
            targets=(catalog.Target(_SERVICE, 1.0),),
            max_attempts=2,
            resumable=True,
        )
        service = catalog.Service(_SERVICE, "/", 1000, profile)
        configuration = catalog.Configuration(1, (route,), (service,))
        told: tuple[protocol.PeerMessage, ...] = (
            protocol.RegistrationsSeen(tuple(words)),
            protocol.ConfigurationPublished(
                1, True, catalog.encode(configuration)
            ),
            protocol.ControlsKnown((_CONTROL,), len(self._entries)),
        )
        hello = protocol.Hello(
            _CONTROL, "control", model.DataCentreId(""), model.Incarnation(1)
        )
        for entry in self._entries:
            entry.give(protocol.PeerConnected(hello))
            for message in told:
                entry.give(protocol.PeerMessageReceived(_CONTROL, message))

    def _arrive(self, place: str, rate: float, end: float) -> None:
        """Send one request, and the next one after a random while."""
        factor = 1.0
        for span in self.day.bursts:
            if span.covers(self.timeline.now):
                factor = span.factor
        pause = self._rng.expovariate(rate * factor / 1000)
        if self.timeline.now + pause >= end:
            return
        self.timeline.after(pause, self._arrive, place, rate, end)
        if self.timeline.now > 0:
            outcome = _emulated_callers.Outcome(self.timeline.now)
            self.outcomes.append(outcome)
            tokens = self._rng.randint(*self.day.answer_tokens)
            self._send(model.DataCentreId(place), outcome, tokens)

    def _send(
        self,
        place: model.DataCentreId,
        outcome: _emulated_callers.Outcome,
        answer_tokens: int,
    ) -> None:
        near = [one for one in self._entries if one.place == place]
        entry = self._rng.choice(near or self._entries)
        self._next_number += 1
        attempt = _Attempt(entry, outcome, answer_tokens, self._next_number)
        self.timeline.after(_CALLER_MS, entry.arrive, attempt)

    def _tick(self, entry: _Entry) -> None:
        entry.give(gateway.TimerFired())
        self.timeline.after(_TICK_MS, self._tick, entry)

    def _sum(self) -> None:
        """Send every gateway the sum of the last reports."""
        self.timeline.after(_SUM_MS, self._sum)
        silent = self.day.silent
        if silent is not None and silent.covers(self.timeline.now):
            return
        span = datetime.timedelta(milliseconds=self.timeline.now)
        for number, entry in enumerate(self._entries):
            if entry.reported is not None:
                sender = model.VmId(str(number))
                self._sums.record_report(sender, entry.reported, _START + span)
        for effect in self._sums.tick(_START + span):
            if isinstance(effect, registrar.SendMessage):
                entry = self._entries[int(effect.recipient)]
                arrived = protocol.PeerMessageReceived(
                    _CONTROL, effect.message
                )
                entry.give(arrived)

    def _slow_down(self, span: _emulated_callers.Span) -> None:
        engines = list(self.fleet.engines.values())
        count = int(len(engines) * self.day.slow_share)
        for engine in self._rng.sample(engines, count):
            for time, factor in ((span.start, span.factor), (span.end, 1.0)):
                call = functools.partial(setattr, engine, "slowness", factor)
                self.timeline.at(time, call)
                if self.day.is_slowness_told:
                    # Reports are asked for once a second.
                    told_at = time + self._rng.uniform(200, 1200)
                    self.timeline.at(told_at, self._tell, engine, factor)

    def _tell(self, engine: _emulated_engines.Engine, factor: float) -> None:
        message = protocol.EndpointPaced(
            engine.word.endpoint_id, engine.word.incarnation, factor
        )
        for entry in self._entries:
            entry.give(protocol.PeerMessageReceived(_CONTROL, message))
