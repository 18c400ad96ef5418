"""Holds back the prompts that share what crashes engines.

The quarantine of ``sedgepin._admission`` knows whole requests.  Prompts that
are not alike may share the start that crashes engines, and each of them would
end two more.
"""

import collections.abc
import datetime

from sedgepin import _admission as admission
from sedgepin import _crash_causes as crash_causes
from sedgepin._entry import _context
from sedgepin._entry import _effects
from sedgepin._entry import _open_answer
from sedgepin import _model as model
from sedgepin import _protocol as protocol

Effects = list[_effects.EntryEffect]


class HeldPrompts:
    """Reports deaths and answers to the other entry VMs, and their causes."""

    __slots__ = ("_context",)

    def __init__(self, context: _context.ReducerContext) -> None:
        self._context = context

    def find_failure(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> admission.PromptHeldBack | None:
        """Return why a request must not run, or ``None`` if it may."""
        tracker = self._context.crash_causes
        if not tracker.held_causes:
            return None
        cause = tracker.find_cause(answer.traits, now)
        if cause is None:
            return None
        return admission.PromptHeldBack(str(cause), cause.held_until - now)

    def record_death(
        self,
        endpoint_id: model.EndpointId,
        incarnation: model.Incarnation,
        in_flight: collections.abc.Iterable[_open_answer.OpenAnswer],
        now: datetime.datetime,
    ) -> Effects:
        """Record a death for the requests on it that had little output."""
        suspects = [answer for answer in in_flight if not answer.is_sustained]
        news = self._context.crash_causes.record_crash(
            crash_causes.Death(endpoint_id, incarnation),
            [
                crash_causes.SuspectRequest(
                    answer.request.body_digest, answer.traits
                )
                for answer in suspects
            ],
            not any(answer.failed_stream for answer in suspects),
            now,
        )
        return self._broadcast(news) + self._log_changes()

    def record_survival(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Record that a request does not crash its engines."""
        news = self._context.crash_causes.record_survival(answer.traits, now)
        return self._broadcast(news) + self._log_changes()

    def merge(
        self,
        evidence: collections.abc.Iterable[crash_causes.Evidence],
        now: datetime.datetime,
    ) -> Effects:
        """Merge the evidence of another entry VM."""
        received = tuple(evidence)
        known = set(received)
        fresh = self._context.crash_causes.merge(received, now)
        additions = tuple(item for item in fresh if item not in known)
        return self._broadcast(additions) + self._log_changes()

    def snapshot(self, peer_id: model.VmId) -> Effects:
        """Tell a peer that has connected what is known here."""
        evidence = self._context.crash_causes.snapshot()
        if not evidence:
            return []
        message = protocol.CrashesReported(evidence)
        return [_effects.SendMessage(peer_id, message)]

    def tick(self, now: datetime.datetime) -> Effects:
        """Free what has been held back long enough."""
        self._context.crash_causes.tick(now)
        return self._log_changes()

    def _broadcast(
        self, evidence: tuple[crash_causes.Evidence, ...]
    ) -> Effects:
        if not evidence:
            return []
        message = protocol.CrashesReported(evidence)
        return [
            _effects.SendMessage(model.VmId(peer.id), message)
            for peer in self._context.cfg.entries
            if peer.id != self._context.cfg.id
        ]

    def _log_changes(self) -> Effects:
        return [
            _effects.WriteLog(crash_causes.change_line(change))
            for change in self._context.crash_causes.take_changes()
        ]
