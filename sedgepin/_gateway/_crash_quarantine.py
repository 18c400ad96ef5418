"""Holds back the requests that crash endpoints, on all entry VMs.

Callers may send such a request, or others that share the harmful part of its
prompt, to any entry VM, and each would take another engine out of service.
"""

import collections.abc
import datetime

from sedgepin import _crash_causes as crash_causes
from sedgepin._gateway import _calls
from sedgepin._gateway import _control_connections
from sedgepin._gateway import _crash_attribution
from sedgepin._gateway import _dispatcher
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _exchange
from sedgepin._gateway import _shared_state
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import events

_Outcome = _events.AttemptOutcome


class CrashQuarantine:
    """Attributes losses of endpoints to requests, and shares the evidence."""

    __slots__ = (
        "_connections",
        "_dispatcher",
        "_ended_attempts",
        "_state",
    )

    def __init__(
        self,
        state: _shared_state.SharedState,
        connections: _control_connections.ControlConnections,
        dispatcher: _dispatcher.RequestDispatcher,
        heartbeat_timeout: datetime.timedelta,
    ) -> None:
        self._state = state
        self._connections = connections
        self._dispatcher = dispatcher
        self._ended_attempts = _crash_attribution.EndedAttempts(
            heartbeat_timeout
        )

    def record_attempt_end(
        self, event: _events.AttemptEnded, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Record an attempt that has just ended, before it is handled."""
        exchange = self._state.exchanges.get(event.exchange_id)
        if exchange is None or exchange.dispatch is None:
            return []
        if event.outcome is _Outcome.ANSWERED:
            has_run = exchange.dispatch.pipeline is None or exchange.has_output
            if event.is_success and has_run:
                return self._record_survival(exchange, now)
            return []
        is_lost = event.outcome in (_Outcome.UNKNOWN, _Outcome.CANCELLED)
        if not is_lost or exchange.is_sustained:
            return []
        effects: _shared_state.Effects = []
        for endpoint_id in exchange.endpoint_ids:
            effects += self._record_lost_attempt(exchange, endpoint_id, now)
        return effects

    def _record_lost_attempt(
        self,
        exchange: _exchange.Exchange,
        endpoint_id: model.EndpointId,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Record the attempt on one endpoint, which may be lost already."""
        record = self._state.fleet.registry.find(endpoint_id)
        if record is None or exchange.dispatch is None:
            return []
        current = record.registration.incarnation
        incarnation = current
        is_first = endpoint_id == exchange.dispatch.endpoint_id
        if is_first and exchange.dispatch.incarnation is not None:
            incarnation = exchange.dispatch.incarnation
        ended = _crash_attribution.EndedAttempt(
            exchange.request, incarnation, now
        )
        if incarnation < current or record.lost_at is not None:
            death = crash_causes.Death(endpoint_id, incarnation)
            return self._record_crash(death, True, [ended.request], now)
        self._ended_attempts.add(endpoint_id, ended)
        return []

    def record_loss(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        is_silent: bool,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Attribute the loss of an endpoint to the requests on it.

        Those on it now are counted, and those whose attempt has just failed.
        """
        ended = self._ended_attempts.take(endpoint_id, incarnation, now)
        requests = [attempt.request for attempt in ended] + [
            exchange.request
            for exchange in self._state.exchanges.values()
            if endpoint_id in exchange.endpoint_ids
            and not exchange.is_sustained
        ]
        death = crash_causes.Death(endpoint_id, incarnation)
        return self._record_crash(death, is_silent, requests, now)

    def record_recovery(
        self,
        deaths: collections.abc.Set[crash_causes.Death],
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Withdraw the losses of endpoints that were only silent."""
        if not deaths or not self._state.crash_causes.has_evidence:
            return []
        news = self._state.crash_causes.record_recovery(deaths, now)
        return self._send(news) + self._apply_changes(now)

    def record_sustained_output(
        self, exchange_id: int, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Record that a request does not crash its engine."""
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None:
            return []
        exchange.is_sustained = True
        return self._record_survival(exchange, now)

    def merge(
        self,
        evidence: collections.abc.Iterable[crash_causes.Evidence],
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Merge evidence of other VMs; report what they do not know."""
        received = tuple(evidence)
        fresh = self._state.crash_causes.merge(received, now)
        known = set(received)
        additions = tuple(item for item in fresh if item not in known)
        return self._send(additions) + self._apply_changes(now)

    def merge_witnessed(
        self,
        message: protocol.CrashWitnessed,
        sender: model.VmId,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Merge the report of an entry VM of an earlier version."""
        death = crash_causes.Death(message.endpoint_id, message.incarnation)
        mark = crash_causes.CrashMark(death, now, sender, message.fingerprint)
        trait = crash_causes.request_trait(message.fingerprint)
        return self.merge([crash_causes.Evidence(trait, (mark,))], now)

    def snapshot(self, recipient: model.VmId) -> _shared_state.Effects:
        """Tell a control VM that has connected what is known here."""
        evidence = self._state.crash_causes.snapshot()
        if not evidence:
            return []
        message = protocol.CrashesReported(evidence)
        return [_effects.SendMessage(recipient, message)]

    def tick(self, now: datetime.datetime) -> _shared_state.Effects:
        """Free what has been held back long enough, and forget old crashes."""
        self._ended_attempts.remove_expired(now)
        self._state.crash_causes.tick(now)
        return self._apply_changes(now)

    def _record_survival(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        tracker = self._state.crash_causes
        traits: collections.abc.Iterable[crash_causes.Trait]
        if tracker.has_evidence:
            traits = exchange.request.traits
        else:
            # Saves the hash of the whole request.
            traits = map(
                crash_causes.part_trait, exchange.request.shared_parts
            )
        news = tracker.record_survival(traits, now)
        return self._send(news) + self._apply_changes(now)

    def _record_crash(
        self,
        death: crash_causes.Death,
        is_silent: bool,
        requests: list[_calls.CallerRequest],
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        # A retry may be on the endpoint on which the attempt before it failed.
        requests = list(
            {request.request_id: request for request in requests}.values()
        )
        if not requests:
            return []
        suspects = [request.as_suspect() for request in requests]
        news = self._state.crash_causes.record_crash(
            death, suspects, is_silent, now
        )
        effects = [_log_attribution(death, requests)]
        return effects + self._send(news) + self._apply_changes(now)

    def _send(
        self, evidence: tuple[crash_causes.Evidence, ...]
    ) -> _shared_state.Effects:
        """Send evidence to the control VMs, which pass it on."""
        if not evidence:
            return []
        message = protocol.CrashesReported(evidence)
        return [
            _effects.SendMessage(vm_id, message)
            for vm_id in sorted(self._connections.connected)
        ]

    def _apply_changes(self, now: datetime.datetime) -> _shared_state.Effects:
        """Log the causes that changed, and stop the requests they hold."""
        changes = self._state.crash_causes.take_changes()
        effects: _shared_state.Effects = [
            _shared_state.log(crash_causes.change_line(change))
            for change in changes
        ]
        if any(change.is_held for change in changes):
            effects += self._dispatcher.enforce_causes(now)
        return effects


def _log_attribution(
    death: crash_causes.Death, requests: list[_calls.CallerRequest]
) -> _effects.GatewayEffect:
    parts = {part for request in requests for part in request.shared_parts}
    line = events.CRASH_ATTRIBUTED.line(
        endpoint=death.endpoint_id,
        incarnation=death.incarnation,
        requests=",".join(request.request_id for request in requests),
        fingerprints=",".join(
            sorted({request.fingerprint for request in requests})
        ),
        parts=",".join(sorted(parts)),
    )
    return _shared_state.log(line)
