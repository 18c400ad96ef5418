"""Finds the requests that crash their endpoints, and stops them.

After the first death with a request aboard, one entry VM alone runs it, on
an endpoint that runs no other suspect.  After the second it is condemned:
every resend gets its final answer at once, on every VM that the rumour has
reached.
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
    """The reducer for suspects on one entry VM.

    Every request named in ``EndpointDied.in_flight`` gets exactly one of
    ``StartTrial``, ``ResumeAnywhere`` and ``AnswerQuarantined``, now or from a
    later call.  Call ``tick`` at ``wake_at``.
    """

    __slots__ = ("_vm_id", "_settings", "_cases", "_ledger")

    def __init__(
        self, vm_id: model.VmId, settings: _quarantine_types.QuarantineSettings
    ) -> None:
        self._vm_id = vm_id
        self._settings = settings
        self._cases: dict[_rumour.Fingerprint, _suspect.Suspect] = {}
        self._ledger = _attribution.DeathLedger()

    def trial_endpoints(
        self, now: datetime.datetime
    ) -> frozenset[model.EndpointId]:
        """Return the endpoints that run a suspect of any VM."""
        return frozenset().union(
            *(self._endpoints_of(case, now) for case in self._cases.values())
        )

    @property
    def rumours(self) -> list[_rumour.Rumour]:
        """Return all rumours, for gossip with a VM that missed some."""
        return [case.rumour for case in self._cases.values()]

    @property
    def wake_at(self) -> datetime.datetime | None:
        """Return when to call ``tick`` next."""
        instants = map(self._case_wakes_at, self._cases.values())
        return min(filter(None, instants), default=None)

    def verdict(
        self, fingerprint: _rumour.Fingerprint, now: datetime.datetime
    ) -> result.Result[
        _quarantine_types.QuarantineVerdict,
        _quarantine_types.QuarantineRefusal,
    ]:
        """Say at once what is to become of a new request."""
        case = self._cases.get(fingerprint)
        if case is None:
            return result.Ok(_quarantine_types.RunNormally())
        if now >= case.rumour.until:
            return result.Ok(_quarantine_types.RunNormally())
        if case.condemned:
            remaining = case.rumour.until - now
            return result.Err(_quarantine_types.RequestQuarantined(remaining))
        if case.awaits_judgement:
            return result.Err(self._judgement_pending(case, now))
        if not case.rumour.needs_trial:
            return result.Ok(_quarantine_types.RunNormally())
        if case.waiting or self._trial_holds(case, now):
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
        """Hold a request whose verdict was ``RunOnTrial``, or a recalled copy.

        It gets exactly one effect, as if it had been aboard.
        """
        case = self._cases.get(fingerprint)
        if case is None:
            return [_quarantine_types.ResumeAnywhere(request_id)]
        case.waiting.append(request_id)
        return self._advance(case, now)

    def endpoint_died(
        self, event: _quarantine_types.EndpointDied, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Take the death of an endpoint."""
        death = _rumour.DeathId(event.endpoint_id, event.incarnation)
        self._ledger.forget_deaths(now)
        self._ledger.record(death, now)
        for aboard in event.in_flight:
            self._note_death(aboard, death, now)
        return self._advance_all(now)

    def trial_placed(
        self,
        fingerprint: _rumour.Fingerprint,
        endpoints: frozenset[model.EndpointId],
        now: datetime.datetime,
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Note the endpoints, new to the request, that its trial is on."""
        case = self._cases.get(fingerprint)
        # The trial may have become needless in the same batch of effects.
        if case is None or case.on_trial is None:
            return []
        case.endpoints = endpoints
        self._extend_trial(case, now)
        return self._advance(case, now)

    def postpone_trial(
        self,
        request_id: model.RequestId,
        fingerprint: _rumour.Fingerprint,
        now: datetime.datetime,
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Note that no endpoint was free of suspects; try again soon."""
        case = self._cases.get(fingerprint)
        if case is None:
            return [_quarantine_types.ResumeAnywhere(request_id)]
        case.leave_trial()
        case.waiting.insert(0, request_id)
        case.starts_at = now + self._settings.settle_period
        return self._advance(case, now)

    def trial_survived(
        self, fingerprint: _rumour.Fingerprint, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Note that the request ran well past the point of its death."""
        case = self._cases.get(fingerprint)
        if case is None or case.on_trial is None:
            return []
        case.leave_trial()
        cleared = frozenset(mark.death for mark in case.rumour.deaths)
        self._change(case, case.rumour.with_changes(cleared=cleared))
        return self._advance(case, now)

    def request_ended(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Note that a request is over, or its caller gone.

        Where it ran to its end on trial, call ``trial_survived`` first.
        """
        effects: list[_quarantine_types.QuarantineEffect] = []
        for case in list(self._cases.values()):
            if request_id in case.waiting:
                case.waiting.remove(request_id)
            if case.on_trial == request_id:
                case.leave_trial()
                effects += self._end_trial(case, now)
        return effects

    def merge(
        self, rumour: _rumour.Rumour, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Take a rumour from another VM."""
        if now >= rumour.until:
            return []
        case = self._cases.setdefault(
            rumour.fingerprint, _suspect.Suspect(rumour)
        )
        is_news = self._ledger.tells_of_new_deaths(rumour)
        self._change(case, case.rumour.merged(rumour))
        case.shared = case.rumour
        if is_news:
            # A new death may make the deaths of others a larger loss.
            return self._advance_all(now)
        return self._advance(case, now)

    def tick(
        self, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        """Start trials and give verdicts that have become due."""
        self._ledger.forget_deaths(now)
        effects = self._advance_all(now)
        for fingerprint, case in list(self._cases.items()):
            idle = not case.waiting and case.on_trial is None
            if idle and now >= case.rumour.until:
                del self._cases[fingerprint]
                self._ledger.forget(fingerprint)
        return effects

    def _note_death(
        self,
        aboard: _quarantine_types.InFlightRequest,
        death: _rumour.DeathId,
        now: datetime.datetime,
    ) -> None:
        until = now + self._settings.suspicion_period
        fresh = _rumour.Rumour(aboard.fingerprint, until)
        case = self._cases.setdefault(
            aboard.fingerprint, _suspect.Suspect(fresh)
        )
        if now >= case.rumour.until:
            self._change(case, fresh)
        if case.on_trial == aboard.request_id:
            case.leave_trial()
        if aboard.request_id not in case.waiting:
            case.waiting.append(aboard.request_id)
        # An endpoint that may have been dead before it was given a suspect
        # says nothing about it.
        if case.rumour.effective and not aboard.endpoint_seen_alive:
            return
        mark = _rumour.DeathMark(death, now, aboard.endpoint_seen_alive)
        self._change(
            case,
            case.rumour.merged(fresh.with_changes(deaths=(mark,))),
        )

    def _advance_all(
        self, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        effects: list[_quarantine_types.QuarantineEffect] = []
        for case in list(self._cases.values()):
            effects += self._advance(case, now)
        return effects

    def _advance(
        self, case: _suspect.Suspect, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        effects = self._decide(case, now)
        if case.note_deaths():
            effects.append(
                _quarantine_types.CancelCopies(case.rumour.fingerprint)
            )
        if case.rumour != case.shared:
            case.shared = case.rumour
            effects.insert(0, _quarantine_types.BroadcastRumour(case.rumour))
        return effects

    def _decide(
        self, case: _suspect.Suspect, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        if case.condemned:
            return self._answer_waiting(case, now)
        if case.awaits_judgement:
            if now < self._judged_at(case):
                return []
            case.judged_death_at = case.last_death_at
        self._change(case, self._ledger.excused(case.rumour))
        if self._ledger.is_guilty(case.rumour):
            return self._condemn(case, now)
        if case.rumour.needs_trial:
            return self._advance_trial(case, now)
        return self._release(case)

    def _release(
        self, case: _suspect.Suspect
    ) -> list[_quarantine_types.QuarantineEffect]:
        case.leave_trial()
        released = case.waiting
        case.waiting = []
        return [
            _quarantine_types.ResumeAnywhere(request_id)
            for request_id in released
        ]

    def _change(self, case: _suspect.Suspect, rumour: _rumour.Rumour) -> None:
        case.rumour = rumour
        self._ledger.update(rumour)
        if not _attribution.has_two_deaths(rumour):
            case.condemned = False

    def _judged_at(self, case: _suspect.Suspect) -> datetime.datetime:
        return case.last_death_at + self._settings.judgement_period

    def _quarantined_until(self, case: _suspect.Suspect) -> datetime.datetime:
        return case.last_death_at + self._settings.quarantine_period

    def _judgement_pending(
        self, case: _suspect.Suspect, now: datetime.datetime
    ) -> _quarantine_types.RequestOnTrial:
        remaining = self._judged_at(case) - now
        return _quarantine_types.RequestOnTrial(
            max(remaining, self._settings.settle_period)
        )

    def _condemn(
        self, case: _suspect.Suspect, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        case.condemned = True
        case.leave_trial()
        until = max(case.rumour.until, self._quarantined_until(case))
        self._change(case, case.rumour.with_changes(until=until))
        effects = self._answer_waiting(case, now)
        for death in case.rumour.effective:
            effects += self._acquit_others(case, death, now)
        return effects

    def _acquit_others(
        self,
        guilty: _suspect.Suspect,
        death: _rumour.DeathId,
        now: datetime.datetime,
    ) -> list[_quarantine_types.QuarantineEffect]:
        effects: list[_quarantine_types.QuarantineEffect] = []
        for fingerprint in self._ledger.aboard(death):
            case = self._cases.get(fingerprint)
            if case is None or case is guilty or case.condemned:
                continue
            excused = case.rumour.with_changes(
                acquitted=case.rumour.acquitted | {death},
                cleared=case.rumour.cleared | {death},
            )
            self._change(case, excused)
            effects += self._advance(case, now)
        return effects

    def _answer_waiting(
        self, case: _suspect.Suspect, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        failure = _quarantine_types.RequestQuarantined(
            self._quarantined_until(case) - now
        )
        answered = case.waiting
        case.waiting = []
        return [
            _quarantine_types.AnswerQuarantined(request_id, failure)
            for request_id in answered
        ]

    def _advance_trial(
        self, case: _suspect.Suspect, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        trial = case.rumour.trial
        if case.on_trial is not None:
            self._renew_trial(case, now)
            return []
        if not case.waiting:
            return []
        if trial is None or now >= trial.until:
            self._claim_trial(case, now)
            return []
        if trial.isolator != self._vm_id or now < case.starts_at:
            return []
        case.on_trial = case.waiting.pop(0)
        return [
            _quarantine_types.StartTrial(
                case.on_trial, case.rumour.fingerprint
            )
        ]

    def _claim_trial(
        self, case: _suspect.Suspect, now: datetime.datetime
    ) -> None:
        number = case.rumour.trial.number if case.rumour.trial else 0
        until = now + self._settings.trial_period
        claim = _rumour.Trial(number + 1, self._vm_id, until)
        case.starts_at = now + self._settings.settle_period
        self._change(case, case.rumour.with_changes(trial=claim))

    def _renew_trial(
        self, case: _suspect.Suspect, now: datetime.datetime
    ) -> None:
        trial = case.rumour.trial
        if trial is not None and now >= self._renews_at(trial):
            self._extend_trial(case, now)

    def _extend_trial(
        self, case: _suspect.Suspect, now: datetime.datetime
    ) -> None:
        trial = case.rumour.trial
        if trial is None or trial.isolator != self._vm_id:
            return
        extended = msgspec.structs.replace(
            trial,
            until=now + self._settings.trial_period,
            endpoints=tuple(sorted(case.endpoints)),
        )
        self._change(case, case.rumour.with_changes(trial=extended))

    def _endpoints_of(
        self, case: _suspect.Suspect, now: datetime.datetime
    ) -> frozenset[model.EndpointId]:
        trial = case.rumour.trial
        if trial is None or trial.isolator == self._vm_id:
            return case.endpoints
        if case.condemned or not case.rumour.needs_trial or now >= trial.until:
            return case.endpoints
        return case.endpoints.union(trial.endpoints)

    def _renews_at(self, trial: _rumour.Trial) -> datetime.datetime:
        return trial.until - self._settings.trial_period / 2

    def _end_trial(
        self, case: _suspect.Suspect, now: datetime.datetime
    ) -> list[_quarantine_types.QuarantineEffect]:
        trial = case.rumour.trial
        if trial is not None and not case.waiting:
            # A claim that is over at once lets any VM make the next.
            released = _rumour.Trial(trial.number + 1, self._vm_id, now)
            self._change(case, case.rumour.with_changes(trial=released))
        return self._advance(case, now)

    def _trial_holds(
        self, case: _suspect.Suspect, now: datetime.datetime
    ) -> bool:
        trial = case.rumour.trial
        return trial is not None and now < trial.until

    def _case_wakes_at(
        self, case: _suspect.Suspect
    ) -> datetime.datetime | None:
        if case.awaits_judgement:
            return self._judged_at(case)
        trial = case.rumour.trial
        if trial is None:
            return case.rumour.until
        is_isolator = trial.isolator == self._vm_id
        if case.on_trial is not None:
            # A trial whose claim was lost runs on, but is not renewed.
            return self._renews_at(trial) if is_isolator else None
        if not case.waiting:
            return case.rumour.until
        return case.starts_at if is_isolator else trial.until
