"""Finds the requests that crash their endpoints, and stops them.

After the first death with a request aboard, one entry VM alone runs it, on
an endpoint that runs no other suspect.  After the second it is condemned:
every resend gets its final answer at once, on every VM that the rumour has
reached.
"""

import dataclasses
import datetime
import typing

import msgspec
import result

from sedgepin._admission import _attribution
from sedgepin._admission import _rumour
from sedgepin import _model as model
from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class RequestQuarantined(errors.Failure):
    """A request that two endpoints died running.

    Its earlier copies were run, so nothing is claimed of the outcome.
    """

    code: typing.ClassVar[str] = "request_quarantined"
    title: typing.ClassVar[str] = "Endpoints died running this request"
    http_status: typing.ClassVar[int] = 422
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    remaining: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return how long the request stays quarantined."""
        return self.remaining


@dataclasses.dataclass(slots=True, frozen=True)
class RequestOnTrial(errors.Failure):
    """A copy of a request that is being run alone after a death.

    This copy was not dispatched; the one on trial was.
    """

    code: typing.ClassVar[str] = "request_on_trial"
    title: typing.ClassVar[str] = "A copy of this request is being run alone"
    http_status: typing.ClassVar[int] = 409
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    remaining: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta:
        """Return when the trial is expected to be over."""
        return self.remaining


class QuarantineSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """How long suspicion and quarantine last.

    ``settle_period`` is what a claim to a trial is given to reach the other
    VMs before the trial starts.  ``judgement_period`` is how long after a
    second death the verdict waits for signs of a larger loss.
    """

    suspicion_period: datetime.timedelta = datetime.timedelta(minutes=1)
    quarantine_period: datetime.timedelta = datetime.timedelta(minutes=10)
    trial_period: datetime.timedelta = datetime.timedelta(seconds=10)
    settle_period: datetime.timedelta = datetime.timedelta(milliseconds=20)
    judgement_period: datetime.timedelta = datetime.timedelta(seconds=1)
    retry_after_trial: datetime.timedelta = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, frozen=True)
class Aboard:
    """One request that an endpoint was running as it died.

    ``endpoint_seen_alive`` tells that the endpoint gave a sign of life
    after it was given the request: a byte, or a fresh connection accepted.
    """

    request_id: model.RequestId
    fingerprint: _rumour.Fingerprint
    endpoint_seen_alive: bool


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointDied:
    """An endpoint died; ``aboard`` lists this VM's requests on it."""

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation
    aboard: tuple[Aboard, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class ShareRumour:
    """Push the rumour to the other VMs at once, and gossip it."""

    rumour: _rumour.Rumour


@dataclasses.dataclass(slots=True, frozen=True)
class ResumeFreely:
    """Resume the request on any endpoint."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class StartTrial:
    """Resume the request away from ``Quarantine.endpoints_on_trial``.

    Use a fresh connection for each stage that is new to the request, and
    call ``place_trial`` with those endpoints, or ``postpone_trial``.
    """

    request_id: model.RequestId
    fingerprint: _rumour.Fingerprint


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerQuarantined:
    """Give the request its final answer now."""

    request_id: model.RequestId
    failure: RequestQuarantined


QuarantineEffect = ShareRumour | ResumeFreely | StartTrial | AnswerQuarantined


@dataclasses.dataclass(slots=True, frozen=True)
class RunFreely:
    """Nothing is held against the request."""


@dataclasses.dataclass(slots=True, frozen=True)
class RunOnTrial:
    """Hand the request to ``enter_trial`` in place of dispatching it."""


QuarantineVerdict = RunFreely | RunOnTrial
QuarantineRefusal = RequestQuarantined | RequestOnTrial


class _Case:
    """One suspect: what is known of it, and its copies on this VM."""

    __slots__ = (
        "rumour",
        "shared",
        "waiting",
        "on_trial",
        "endpoints",
        "starts_at",
        "condemned",
    )

    def __init__(self, rumour: _rumour.Rumour) -> None:
        self.rumour = rumour
        self.shared: _rumour.Rumour | None = None
        self.waiting: list[model.RequestId] = []
        self.on_trial: model.RequestId | None = None
        self.endpoints: frozenset[model.EndpointId] = frozenset()
        self.starts_at = rumour.until
        self.condemned = False

    def leave_trial(self) -> None:
        self.on_trial = None
        self.endpoints = frozenset()


class Quarantine:
    """The reducer for suspects on one entry VM.

    Every request named in ``EndpointDied.aboard`` gets exactly one of
    ``StartTrial``, ``ResumeFreely`` and ``AnswerQuarantined``, now or from a
    later call.  Call ``tick`` at ``wake_at``.
    """

    __slots__ = ("_vm_id", "_settings", "_cases", "_ledger")

    def __init__(
        self, vm_id: model.VmId, settings: QuarantineSettings
    ) -> None:
        self._vm_id = vm_id
        self._settings = settings
        self._cases: dict[_rumour.Fingerprint, _Case] = {}
        self._ledger = _attribution.DeathLedger()

    @property
    def endpoints_on_trial(self) -> frozenset[model.EndpointId]:
        """Return the endpoints that run a suspect of this VM now."""
        return frozenset().union(
            *(case.endpoints for case in self._cases.values())
        )

    @property
    def rumours(self) -> list[_rumour.Rumour]:
        """Return all rumours, for gossip with a VM that missed some."""
        return [case.rumour for case in self._cases.values()]

    @property
    def wake_at(self) -> datetime.datetime | None:
        """Return when to call ``tick`` next."""
        instants = map(self._case_wakes_at, self._cases.values())
        return min(
            (instant for instant in instants if instant is not None),
            default=None,
        )

    def verdict(
        self, fingerprint: _rumour.Fingerprint, now: datetime.datetime
    ) -> result.Result[QuarantineVerdict, QuarantineRefusal]:
        """Say at once what is to become of a new request."""
        case = self._cases.get(fingerprint)
        if case is None:
            return result.Ok(RunFreely())
        if case.condemned or self._is_guilty(case):
            return self._refusal(case, now)
        if now >= case.rumour.until or not case.rumour.needs_trial:
            return result.Ok(RunFreely())
        if case.waiting or self._trial_holds(case, now):
            return result.Err(RequestOnTrial(self._settings.retry_after_trial))
        return result.Ok(RunOnTrial())

    def enter_trial(
        self,
        request_id: model.RequestId,
        fingerprint: _rumour.Fingerprint,
        now: datetime.datetime,
    ) -> list[QuarantineEffect]:
        """Queue a new request whose verdict was ``RunOnTrial``."""
        case = self._cases.get(fingerprint)
        if case is None:
            return [ResumeFreely(request_id)]
        case.waiting.append(request_id)
        return self._advance(case, now)

    def endpoint_died(
        self, event: EndpointDied, now: datetime.datetime
    ) -> list[QuarantineEffect]:
        """Take the death of an endpoint."""
        death = _rumour.DeathId(event.endpoint_id, event.incarnation)
        self._ledger.record(death, now)
        for aboard in event.aboard:
            self._note_death(aboard, death, now)
        return self._advance_all(now)

    def place_trial(
        self,
        fingerprint: _rumour.Fingerprint,
        endpoints: frozenset[model.EndpointId],
    ) -> None:
        """Note the endpoints, new to the request, that its trial is on."""
        self._cases[fingerprint].endpoints = endpoints

    def postpone_trial(
        self, fingerprint: _rumour.Fingerprint, now: datetime.datetime
    ) -> None:
        """Note that no endpoint was free of suspects; try again soon."""
        case = self._cases[fingerprint]
        if case.on_trial is not None:
            case.waiting.insert(0, case.on_trial)
        case.leave_trial()
        case.starts_at = now + self._settings.settle_period

    def trial_survived(
        self, fingerprint: _rumour.Fingerprint, now: datetime.datetime
    ) -> list[QuarantineEffect]:
        """Note that the request ran well past the point of its death."""
        case = self._cases.get(fingerprint)
        if case is None or case.on_trial is None:
            return []
        case.leave_trial()
        cleared = case.rumour.cleared.union(case.rumour.effective)
        case.rumour = case.rumour.with_changes(cleared=cleared)
        return self._advance(case, now)

    def leave(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> list[QuarantineEffect]:
        """Note that a request is over, or its caller gone."""
        effects: list[QuarantineEffect] = []
        for case in list(self._cases.values()):
            if request_id in case.waiting:
                case.waiting.remove(request_id)
            if case.on_trial == request_id:
                case.leave_trial()
                effects += self._end_trial(case, now)
        return effects

    def merge(
        self, rumour: _rumour.Rumour, now: datetime.datetime
    ) -> list[QuarantineEffect]:
        """Take a rumour from another VM."""
        if now >= rumour.until:
            return []
        case = self._cases.setdefault(rumour.fingerprint, _Case(rumour))
        case.rumour = case.rumour.merged(rumour)
        case.shared = case.rumour
        self._ledger.record_marks(case.rumour)
        return self._advance_all(now)

    def tick(self, now: datetime.datetime) -> list[QuarantineEffect]:
        """Start trials and give verdicts that have become due."""
        self._ledger.forget(now)
        effects = self._advance_all(now)
        for fingerprint, case in list(self._cases.items()):
            idle = not case.waiting and case.on_trial is None
            if idle and now >= case.rumour.until:
                del self._cases[fingerprint]
        return effects

    def _note_death(
        self, aboard: Aboard, death: _rumour.DeathId, now: datetime.datetime
    ) -> None:
        until = now + self._settings.suspicion_period
        fresh = _rumour.Rumour(aboard.fingerprint, until)
        case = self._cases.setdefault(aboard.fingerprint, _Case(fresh))
        if now >= case.rumour.until:
            case.rumour = fresh
            case.condemned = False
        if case.on_trial == aboard.request_id:
            case.leave_trial()
        if aboard.request_id not in case.waiting:
            case.waiting.append(aboard.request_id)
        # An endpoint that may have been dead before it was given a suspect
        # says nothing about it.
        if case.rumour.effective and not aboard.endpoint_seen_alive:
            return
        mark = _rumour.DeathMark(death, now, aboard.endpoint_seen_alive)
        case.rumour = case.rumour.merged(
            fresh.with_changes(deaths=(mark,)),
        )
        self._ledger.record_marks(case.rumour)

    def _advance_all(self, now: datetime.datetime) -> list[QuarantineEffect]:
        effects: list[QuarantineEffect] = []
        for case in list(self._cases.values()):
            effects += self._advance(case, now)
        return effects

    def _advance(
        self, case: _Case, now: datetime.datetime
    ) -> list[QuarantineEffect]:
        self._excuse_larger_loss(case)
        effects = self._judge(case, now)
        if case.rumour != case.shared:
            case.shared = case.rumour
            effects.insert(0, ShareRumour(case.rumour))
        return effects

    def _judge(
        self, case: _Case, now: datetime.datetime
    ) -> list[QuarantineEffect]:
        if case.condemned:
            return self._answer_waiting(case, now)
        if self._is_guilty(case):
            if now < self._judged_at(case):
                return []
            return self._condemn(case, now)
        if case.rumour.needs_trial:
            return self._advance_trial(case, now)
        released = case.waiting
        case.waiting = []
        return [ResumeFreely(request_id) for request_id in released]

    def _is_guilty(self, case: _Case) -> bool:
        if not _attribution.has_two_deaths(case.rumour):
            return False
        return any(
            mark.proven and self._is_sole_claimant(case, mark.death)
            for mark in case.rumour.effective.values()
        )

    def _is_sole_claimant(self, case: _Case, death: _rumour.DeathId) -> bool:
        return not any(
            fingerprint != case.rumour.fingerprint
            and self._claims(fingerprint, death)
            for fingerprint in self._ledger.aboard(death)
        )

    def _claims(
        self, fingerprint: _rumour.Fingerprint, death: _rumour.DeathId
    ) -> bool:
        other = self._cases.get(fingerprint)
        if other is None or death not in other.rumour.effective:
            return False
        return _attribution.has_two_deaths(other.rumour)

    def _excuse_larger_loss(self, case: _Case) -> None:
        excused = frozenset(
            mark.death
            for mark in case.rumour.effective.values()
            if self._is_larger_loss(case, mark)
        )
        if not excused:
            return
        if _attribution.has_two_deaths(case.rumour):
            acquitted = case.rumour.acquitted | excused
            case.rumour = case.rumour.with_changes(acquitted=acquitted)
            return
        # One death still counts towards a pair, so that several requests
        # that crash endpoints at once do not excuse each other for ever.
        cleared = case.rumour.cleared | excused
        case.rumour = case.rumour.with_changes(cleared=cleared)

    def _is_larger_loss(self, case: _Case, mark: _rumour.DeathMark) -> bool:
        near = self._ledger.near(mark)
        if len(near) + 1 < _attribution.CORRELATED_DEATHS:
            return False
        return any(
            death not in case.rumour.effective
            and self._is_sole_claimant(case, death)
            for death in near
        )

    def _judged_at(self, case: _Case) -> datetime.datetime:
        return self._last_death_at(case) + self._settings.judgement_period

    def _quarantined_until(self, case: _Case) -> datetime.datetime:
        return self._last_death_at(case) + self._settings.quarantine_period

    def _last_death_at(self, case: _Case) -> datetime.datetime:
        return max(mark.at for mark in case.rumour.effective.values())

    def _refusal(
        self, case: _Case, now: datetime.datetime
    ) -> result.Result[QuarantineVerdict, QuarantineRefusal]:
        until = self._quarantined_until(case)
        if now >= until:
            return result.Ok(RunFreely())
        judged_at = self._judged_at(case)
        if now < judged_at:
            return result.Err(RequestOnTrial(judged_at - now))
        return result.Err(RequestQuarantined(until - now))

    def _condemn(
        self, case: _Case, now: datetime.datetime
    ) -> list[QuarantineEffect]:
        case.condemned = True
        case.leave_trial()
        until = max(case.rumour.until, self._quarantined_until(case))
        case.rumour = case.rumour.with_changes(until=until)
        effects = self._answer_waiting(case, now)
        for death in case.rumour.effective:
            effects += self._acquit_others(case, death, now)
        return effects

    def _acquit_others(
        self, guilty: _Case, death: _rumour.DeathId, now: datetime.datetime
    ) -> list[QuarantineEffect]:
        effects: list[QuarantineEffect] = []
        for fingerprint in self._ledger.aboard(death):
            case = self._cases.get(fingerprint)
            if case is None or case is guilty or case.condemned:
                continue
            acquitted = case.rumour.acquitted | {death}
            case.rumour = case.rumour.with_changes(acquitted=acquitted)
            effects += self._advance(case, now)
        return effects

    def _answer_waiting(
        self, case: _Case, now: datetime.datetime
    ) -> list[QuarantineEffect]:
        failure = RequestQuarantined(self._quarantined_until(case) - now)
        answered = case.waiting
        case.waiting = []
        return [
            AnswerQuarantined(request_id, failure) for request_id in answered
        ]

    def _advance_trial(
        self, case: _Case, now: datetime.datetime
    ) -> list[QuarantineEffect]:
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
        return [StartTrial(case.on_trial, case.rumour.fingerprint)]

    def _claim_trial(self, case: _Case, now: datetime.datetime) -> None:
        number = case.rumour.trial.number if case.rumour.trial else 0
        until = now + self._settings.trial_period
        claim = _rumour.Trial(number + 1, self._vm_id, until)
        case.starts_at = now + self._settings.settle_period
        case.rumour = case.rumour.with_changes(trial=claim)

    def _renew_trial(self, case: _Case, now: datetime.datetime) -> None:
        trial = case.rumour.trial
        if trial is None or now < self._renews_at(trial):
            return
        until = now + self._settings.trial_period
        renewed = _rumour.Trial(trial.number, trial.isolator, until)
        case.rumour = case.rumour.with_changes(trial=renewed)

    def _renews_at(self, trial: _rumour.Trial) -> datetime.datetime:
        return trial.until - self._settings.trial_period / 2

    def _end_trial(
        self, case: _Case, now: datetime.datetime
    ) -> list[QuarantineEffect]:
        trial = case.rumour.trial
        if trial is not None and not case.waiting:
            # A claim that is over at once lets any VM make the next.
            released = _rumour.Trial(trial.number + 1, self._vm_id, now)
            case.rumour = case.rumour.with_changes(trial=released)
        return self._advance(case, now)

    def _trial_holds(self, case: _Case, now: datetime.datetime) -> bool:
        trial = case.rumour.trial
        return trial is not None and now < trial.until

    def _case_wakes_at(self, case: _Case) -> datetime.datetime | None:
        if not case.condemned and self._is_guilty(case):
            return self._judged_at(case)
        trial = case.rumour.trial
        if trial is None:
            return None
        if case.on_trial is not None:
            return self._renews_at(trial)
        if not case.waiting:
            return None
        if trial.isolator == self._vm_id:
            return case.starts_at
        return trial.until
