"""Quarantine of requests that crash their endpoints.

After the first death of an endpoint that was running it, a request becomes a
suspect: one entry VM alone runs it, on an endpoint that runs no other
suspect.  After the second death it is quarantined: every VM that has received
the rumour answers resends with a final failure at once.
"""

import datetime

import msgspec
import result

from sedgepin._admission import _attribution
from sedgepin._admission import _quarantine_types
from sedgepin._admission import _rumour
from sedgepin._admission import _suspect
from sedgepin import _model as model


class Quarantine:
    """Tracks suspects on one entry VM, as a reducer.

    Every request in ``EndpointDied.in_flight`` gets exactly one
    ``StartTrial``, ``ResumeAnywhere`` or ``AnswerQuarantined`` effect, from
    this call or a later one.  Call ``tick`` at ``wake_at``.
    """

    __slots__ = ("_vm_id", "_settings", "_suspects", "_deaths")

    def __init__(
        self, vm_id: model.VmId, settings: _quarantine_types.QuarantineSettings
    ) -> None:
        self._vm_id = vm_id
        self._settings = settings
        self._suspects: dict[_rumour.Fingerprint, _suspect.Suspect] = {}
        self._deaths = _attribution.DeathTracker()

    def trial_endpoints(
        self, now: datetime.datetime
    ) -> frozenset[model.EndpointId]:
        """Return the endpoints that run the trial of a suspect on any VM."""
        return frozenset().union(
            *(
                self._trial_endpoints_of(suspect, now)
                for suspect in self._suspects.values()
            )
        )

    @property
    def rumours(self) -> list[_rumour.Rumour]:
        """Return all rumours, for gossip with VMs that lack some."""
        return [suspect.rumour for suspect in self._suspects.values()]

    @property
    def wake_at(self) -> datetime.datetime | None:
        """Return when to call ``tick``, or ``None`` if nothing is pending."""
        instants = map(self._suspect_wake_at, self._suspects.values())
        return min(filter(None, instants), default=None)

    def check(
        self, fingerprint: _rumour.Fingerprint, now: datetime.datetime
    ) -> result.Result[
        _quarantine_types.QuarantineDecision,
        _quarantine_types.QuarantineRefusal,
    ]:
        """Return how to run a new request, or why to refuse it."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return result.Ok(_quarantine_types.RunNormally())
        if now >= suspect.rumour.until:
            return result.Ok(_quarantine_types.RunNormally())
        if suspect.quarantined:
            remaining = suspect.rumour.until - now
            return result.Err(_quarantine_types.RequestQuarantined(remaining))
        if suspect.awaits_verdict:
            return result.Err(self._verdict_pending(suspect, now))
        if not suspect.rumour.needs_trial:
            return result.Ok(_quarantine_types.RunNormally())
        if suspect.waiting or self._is_trial_claimed(suspect, now):
            return result.Err(
                _quarantine_types.RequestOnTrial(
                    self._settings.retry_after_trial
                )
            )
        return result.Ok(_quarantine_types.RunOnTrial())

    def hold_for_trial(
        self,
        request_id: model.RequestId,
        fingerprint: _rumour.Fingerprint,
        now: datetime.datetime,
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Hold a request that must run on trial, or a cancelled copy.

        It gets exactly one effect, as a request in ``EndpointDied`` does.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return [_quarantine_types.ResumeAnywhere(request_id)]
        suspect.waiting.append(request_id)
        return self._advance(suspect, now)

    def endpoint_died(
        self, event: _quarantine_types.EndpointDied, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Record the death of an endpoint against its requests in flight."""
        death = _rumour.DeathId(event.endpoint_id, event.incarnation)
        self._deaths.remove_expired_deaths(now)
        self._deaths.record(death, now)
        for request in event.in_flight:
            self._record_death(request, death, event.is_silent, now)
        return self._advance_all(now)

    def death_disproved(
        self, death: _rumour.DeathId, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Discount the death of an endpoint that was silent and goes on."""
        effects: list[_quarantine_types.QuarantineEffect] = []
        for suspect in list(self._suspects.values()):
            rumour = suspect.rumour
            if death not in rumour.counted_deaths:
                continue
            discounted = rumour.with_changes(
                disproved=rumour.disproved | {death},
                cleared=rumour.cleared | {death},
            )
            self._set_rumour(suspect, discounted)
            effects += self._advance(suspect, now)
        return effects

    def trial_placed(
        self,
        fingerprint: _rumour.Fingerprint,
        endpoints: frozenset[model.EndpointId],
        now: datetime.datetime,
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Record the trial's endpoints that never ran the request before."""
        suspect = self._suspects.get(fingerprint)
        # An earlier effect of the same batch may have ended the trial.
        if suspect is None or suspect.trial_request_id is None:
            return []
        suspect.endpoints = endpoints
        self._extend_trial(suspect, now)
        return self._advance(suspect, now)

    def postpone_trial(
        self,
        request_id: model.RequestId,
        fingerprint: _rumour.Fingerprint,
        now: datetime.datetime,
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Retry the trial later because no endpoint is free of suspects."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return [_quarantine_types.ResumeAnywhere(request_id)]
        suspect.end_trial()
        suspect.waiting.insert(0, request_id)
        suspect.trial_starts_at = now + self._settings.settle_period
        return self._advance(suspect, now)

    def trial_survived(
        self, fingerprint: _rumour.Fingerprint, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Clear the suspect: it ran past the point where endpoints died.

        Call it after ``TRIAL_MARGIN_TOKENS`` more tokens, or when the
        request has ended.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.trial_request_id is None:
            return []
        suspect.end_trial()
        cleared = frozenset(mark.death for mark in suspect.rumour.deaths)
        self._set_rumour(suspect, suspect.rumour.with_changes(cleared=cleared))
        return self._advance(suspect, now)

    def request_ended(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Remove a request that has ended or whose caller disconnected.

        If it completed while on trial, call ``trial_survived`` first.
        """
        effects: list[_quarantine_types.QuarantineEffect] = []
        for suspect in list(self._suspects.values()):
            if request_id in suspect.waiting:
                suspect.waiting.remove(request_id)
            if suspect.trial_request_id == request_id:
                suspect.end_trial()
                effects += self._end_trial(suspect, now)
        return effects

    def merge(
        self, rumour: _rumour.Rumour, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Merge a rumour received from another VM; ignore expired ones."""
        if now >= rumour.until:
            return []
        suspect = self._suspects.setdefault(
            rumour.fingerprint, _suspect.Suspect(rumour)
        )
        has_new_deaths = self._deaths.has_new_deaths(rumour)
        self._set_rumour(suspect, suspect.rumour.merged(rumour))
        suspect.broadcast_rumour = suspect.rumour
        if has_new_deaths:
            # A new death can make deaths of other suspects part of a
            # correlated failure.
            return self._advance_all(now)
        return self._advance(suspect, now)

    def tick(
        self, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Start trials and decide verdicts that are due."""
        self._deaths.remove_expired_deaths(now)
        effects = self._advance_all(now)
        for fingerprint, suspect in list(self._suspects.items()):
            idle = not suspect.waiting and suspect.trial_request_id is None
            if idle and now >= suspect.rumour.until:
                del self._suspects[fingerprint]
                self._deaths.remove(fingerprint)
        return effects

    def _record_death(
        self,
        request: _quarantine_types.InFlightRequest,
        death: _rumour.DeathId,
        is_silent: bool,
        now: datetime.datetime,
    ) -> None:
        until = now + self._settings.suspicion_period
        new_rumour = _rumour.Rumour(request.fingerprint, until)
        suspect = self._suspects.setdefault(
            request.fingerprint, _suspect.Suspect(new_rumour)
        )
        if now >= suspect.rumour.until:
            self._set_rumour(suspect, new_rumour)
        if suspect.trial_request_id == request.request_id:
            suspect.end_trial()
        if request.request_id not in suspect.waiting:
            suspect.waiting.append(request.request_id)
        # The endpoint may have died before it received the request, so its
        # death is no further evidence.
        if suspect.rumour.counted_deaths and not request.endpoint_seen_alive:
            return
        mark = _rumour.DeathMark(
            death, now, request.endpoint_seen_alive, is_silent
        )
        self._set_rumour(
            suspect,
            suspect.rumour.merged(new_rumour.with_changes(deaths=(mark,))),
        )

    def _advance_all(
        self, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        effects: list[_quarantine_types.QuarantineEffect] = []
        for suspect in list(self._suspects.values()):
            effects += self._advance(suspect, now)
        return effects

    def _advance(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        effects = self._decide(suspect, now)
        if suspect.record_deaths():
            effects.append(
                _quarantine_types.CancelCopies(suspect.rumour.fingerprint)
            )
        if suspect.rumour != suspect.broadcast_rumour:
            suspect.broadcast_rumour = suspect.rumour
            effects.insert(
                0, _quarantine_types.BroadcastRumour(suspect.rumour)
            )
        return effects

    def _decide(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        suspect.awaits_silent = False
        if suspect.quarantined:
            return self._answer_waiting(suspect, now)
        if suspect.awaits_verdict:
            if now < self._verdict_due_at(suspect):
                return []
        self._set_rumour(
            suspect, self._deaths.without_correlated_deaths(suspect.rumour)
        )
        is_open = self._may_be_disproved(suspect, now)
        if suspect.awaits_verdict:
            suspect.awaits_silent = is_open
            if is_open:
                return []
            suspect.decided_death_at = suspect.last_death_at
        if not is_open and self._deaths.causes_crashes(suspect.rumour):
            return self._start_quarantine(suspect, now)
        if suspect.rumour.needs_trial:
            return self._advance_trial(suspect, now)
        return self._resume_waiting(suspect)

    def _resume_waiting(
        self, suspect: _suspect.Suspect
    ) -> list[_quarantine_types.QuarantineEffect]:
        suspect.end_trial()
        resumed = suspect.waiting
        suspect.waiting = []
        return [
            _quarantine_types.ResumeAnywhere(request_id)
            for request_id in resumed
        ]

    def _set_rumour(
        self, suspect: _suspect.Suspect, rumour: _rumour.Rumour
    ) -> None:
        suspect.rumour = rumour
        self._deaths.update(rumour)
        # Acquitted deaths do not count, so a merged rumour can end the
        # quarantine.
        if not _attribution.has_enough_deaths(rumour):
            suspect.quarantined = False

    def _verdict_due_at(self, suspect: _suspect.Suspect) -> datetime.datetime:
        if suspect.awaits_silent:
            return self._silence_ends_at(suspect)
        return suspect.last_death_at + self._settings.judgement_period

    def _silence_ends_at(self, suspect: _suspect.Suspect) -> datetime.datetime:
        """Return until when an endpoint that is silent may go on."""
        return max(
            mark.at + self._settings.silence_period
            for mark in suspect.rumour.counted_deaths.values()
            if mark.is_silent
        )

    def _may_be_disproved(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> bool:
        """Return whether a quarantine would rest on a recent silence."""
        counted = suspect.rumour.counted_deaths.values()
        return (
            any(mark.is_silent for mark in counted)
            and now < self._silence_ends_at(suspect)
            and self._deaths.causes_crashes(suspect.rumour)
        )

    def _quarantined_until(
        self, suspect: _suspect.Suspect
    ) -> datetime.datetime:
        return suspect.last_death_at + self._settings.quarantine_period

    def _verdict_pending(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> _quarantine_types.RequestOnTrial:
        remaining = self._verdict_due_at(suspect) - now
        return _quarantine_types.RequestOnTrial(
            max(remaining, self._settings.settle_period)
        )

    def _start_quarantine(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        suspect.quarantined = True
        suspect.end_trial()
        until = max(suspect.rumour.until, self._quarantined_until(suspect))
        self._set_rumour(suspect, suspect.rumour.with_changes(until=until))
        effects = self._answer_waiting(suspect, now)
        for death in suspect.rumour.counted_deaths:
            effects += self._acquit_other_suspects(suspect, death, now)
        return effects

    def _acquit_other_suspects(
        self,
        crashing: _suspect.Suspect,
        death: _rumour.DeathId,
        now: datetime.datetime,
    ) -> list[_quarantine_types.QuarantineEffect]:
        effects: list[_quarantine_types.QuarantineEffect] = []
        for fingerprint in self._deaths.requests_in_flight(death):
            suspect = self._suspects.get(fingerprint)
            if suspect is None or suspect is crashing or suspect.quarantined:
                continue
            acquitted = suspect.rumour.with_changes(
                acquitted=suspect.rumour.acquitted | {death},
                cleared=suspect.rumour.cleared | {death},
            )
            self._set_rumour(suspect, acquitted)
            effects += self._advance(suspect, now)
        return effects

    def _answer_waiting(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        failure = _quarantine_types.RequestQuarantined(
            self._quarantined_until(suspect) - now
        )
        answered = suspect.waiting
        suspect.waiting = []
        return [
            _quarantine_types.AnswerQuarantined(request_id, failure)
            for request_id in answered
        ]

    def _advance_trial(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        trial = suspect.rumour.trial
        if suspect.trial_request_id is not None:
            self._renew_trial(suspect, now)
            return []
        if not suspect.waiting:
            return []
        if trial is None or now >= trial.until:
            self._claim_trial(suspect, now)
            return []
        if trial.isolator != self._vm_id or now < suspect.trial_starts_at:
            return []
        suspect.trial_request_id = suspect.waiting.pop(0)
        return [
            _quarantine_types.StartTrial(
                suspect.trial_request_id, suspect.rumour.fingerprint
            )
        ]

    def _claim_trial(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> None:
        number = suspect.rumour.trial.number if suspect.rumour.trial else 0
        until = now + self._settings.trial_period
        claim = _rumour.Trial(number + 1, self._vm_id, until)
        suspect.trial_starts_at = now + self._settings.settle_period
        self._set_rumour(suspect, suspect.rumour.with_changes(trial=claim))

    def _renew_trial(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> None:
        trial = suspect.rumour.trial
        if trial is not None and now >= self._renews_at(trial):
            self._extend_trial(suspect, now)

    def _extend_trial(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> None:
        trial = suspect.rumour.trial
        if trial is None or trial.isolator != self._vm_id:
            return
        extended = msgspec.structs.replace(
            trial,
            until=now + self._settings.trial_period,
            endpoints=tuple(sorted(suspect.endpoints)),
        )
        self._set_rumour(suspect, suspect.rumour.with_changes(trial=extended))

    def _trial_endpoints_of(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> frozenset[model.EndpointId]:
        trial = suspect.rumour.trial
        if trial is None or trial.isolator == self._vm_id:
            return suspect.endpoints
        if (
            suspect.quarantined
            or not suspect.rumour.needs_trial
            or now >= trial.until
        ):
            return suspect.endpoints
        return suspect.endpoints.union(trial.endpoints)

    def _renews_at(self, trial: _rumour.Trial) -> datetime.datetime:
        return trial.until - self._settings.trial_period / 2

    def _end_trial(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        trial = suspect.rumour.trial
        if trial is not None and not suspect.waiting:
            # A claim that expires immediately lets any VM claim next.
            released = _rumour.Trial(trial.number + 1, self._vm_id, now)
            self._set_rumour(
                suspect, suspect.rumour.with_changes(trial=released)
            )
        return self._advance(suspect, now)

    def _is_trial_claimed(
        self, suspect: _suspect.Suspect, now: datetime.datetime
    ) -> bool:
        trial = suspect.rumour.trial
        return trial is not None and now < trial.until

    def _suspect_wake_at(
        self, suspect: _suspect.Suspect
    ) -> datetime.datetime | None:
        if suspect.awaits_verdict:
            return self._verdict_due_at(suspect)
        trial = suspect.rumour.trial
        if trial is None:
            return suspect.rumour.until
        is_isolator = trial.isolator == self._vm_id
        if suspect.trial_request_id is not None:
            # A VM that lost its claim completes its trial but does not
            # renew the claim.
            return self._renews_at(trial) if is_isolator else None
        if not suspect.waiting:
            return suspect.rumour.until
        return suspect.trial_starts_at if is_isolator else trial.until
