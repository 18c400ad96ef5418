"""Carrying out what the quarantine decides of crashing requests."""

import datetime

import result

from sedgepin import _admission as admission
from sedgepin._entry import _control_asks
from sedgepin._entry import _effects
from sedgepin._entry import _follow_ups
from sedgepin._entry import _generation
from sedgepin._entry import _open_answer
from sedgepin._entry import _resumption
from sedgepin._entry import _surroundings
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _state as state
from sedgepin import events

Effects = list[_effects.EntryEffect]


class Trials:
    """Runs suspects alone, resumes the acquitted, answers the condemned."""

    __slots__ = ("_around", "_asks", "_generation", "_resumption")

    def __init__(
        self,
        around: _surroundings.Surroundings,
        generation: _generation.Generation,
        resumption: _resumption.Resumption,
        asks: _control_asks.ControlAsks,
    ) -> None:
        self._around = around
        self._asks = asks
        self._generation = generation
        self._resumption = resumption

    def follow_up(self, now: datetime.datetime) -> Effects:
        """Tell the quarantine what the last event meant for suspects."""
        made: Effects = []
        while self._generation.follow_ups:
            told = self._tell_quarantine(
                self._generation.follow_ups.pop(0), now
            )
            made += self.carry_out(told, now)
        return made

    def merge_rumour(
        self, rumour: admission.Rumour, now: datetime.datetime
    ) -> Effects:
        """Take in what another VM tells of a suspect."""
        return self.carry_out(self._around.quarantine.merge(rumour, now), now)

    def carry_out(
        self,
        effects: list[admission.QuarantineEffect],
        now: datetime.datetime,
    ) -> Effects:
        """Carry out what the quarantine decided."""
        made: Effects = []
        for effect in effects:
            match effect:
                case admission.BroadcastRumour(rumour):
                    made += self._share(rumour)
                case admission.ResumeAnywhere(request_id):
                    made += self._resume_freely(request_id, now)
                case admission.StartTrial(request_id):
                    made += self._start_trial(request_id, now)
                case admission.AnswerQuarantined(request_id, failure):
                    made += self._condemn(request_id, failure, now)
                case admission.CancelCopies(fingerprint):
                    made += self._recall(fingerprint, now)
        return made

    def _tell_quarantine(
        self, follow_up: _follow_ups.FollowUp, now: datetime.datetime
    ) -> list[admission.QuarantineEffect]:
        quarantine = self._around.quarantine
        match follow_up:
            case _follow_ups.TrialDue(answer):
                return quarantine.hold_for_trial(
                    answer.request.request_id, answer.fingerprint, now
                )
            case _follow_ups.TrialOutrun(answer):
                answer.on_trial = False
                return quarantine.trial_survived(answer.fingerprint, now)
            case _follow_ups.RequestOver(request_id):
                return quarantine.request_ended(request_id, now)

    def _resume_freely(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> Effects:
        answer = self._generation.open.get(request_id)
        if answer is None:
            return []
        answer.on_trial = False
        if not answer.dispatched:
            if not answer.is_admitted:
                return []
            return self._generation.dispatch(answer, now)
        return self._resumption.resume(answer, frozenset(), True, now)

    def _start_trial(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> Effects:
        answer = self._generation.open.get(request_id)
        if answer is None:
            return []
        quarantine = self._around.quarantine
        answer.on_trial = True
        completion = answer.assembly.complete_at_limit()
        if completion is not None:
            return self._generation.finish(answer, completion, now)
        busy = quarantine.trial_endpoints(now)
        left_out = busy | self._not_for_trial(answer, busy, now)
        chosen = self._generation.choose(answer, left_out, now)
        if isinstance(chosen, result.Err):
            if not busy:
                failure = chosen.err_value
                return self._generation.give_up(answer, failure, now)
            postponed = quarantine.postpone_trial(
                request_id, answer.fingerprint, now
            )
            return self.carry_out(postponed, now)
        pipeline = chosen.ok_value
        placed = quarantine.trial_placed(
            answer.fingerprint, _new_endpoints(answer, pipeline), now
        )
        made = self.carry_out(placed, now)
        return made + self._generation.start(answer, pipeline, now)

    def _not_for_trial(
        self,
        answer: _open_answer.OpenAnswer,
        busy: frozenset[model.EndpointId],
        now: datetime.datetime,
    ) -> frozenset[model.EndpointId]:
        """Return the engines, new to the request, that other VMs try on.

        Each engine belongs to one VM for trials, so that two suspects never
        meet on one.
        """
        own_id = model.VmId(self._around.cfg.id)
        vm_ids = [model.VmId(peer.id) for peer in self._around.cfg.entries]
        groups: dict[model.LayerRange | None, list[model.EndpointId]] = {}
        for announced in self._around.eligible(now):
            if announced.model == answer.model.name:
                group = groups.setdefault(announced.layers, [])
                group.append(announced.endpoint_id)
        left_out: set[model.EndpointId] = set()
        for group in groups.values():
            free = admission.choose_trial_endpoints(
                answer.fingerprint, own_id, vm_ids or [own_id], group, busy
            )
            left_out.update(set(group) - set(free))
        return frozenset(left_out - answer.prefer)

    def _recall(
        self, fingerprint: admission.Fingerprint, now: datetime.datetime
    ) -> Effects:
        """Stop the copies of a suspect that are not on trial."""
        made: Effects = []
        for answer in list(self._generation.open.values()):
            if answer.fingerprint != fingerprint or answer.on_trial:
                continue
            if answer.silence is None:
                continue
            made += self._resumption.cancel(answer, now)
            answer.on_trial = True
            held = self._around.quarantine.hold_for_trial(
                answer.request.request_id, fingerprint, now
            )
            made += self.carry_out(held, now)
        return made

    def _condemn(
        self,
        request_id: model.RequestId,
        failure: admission.RequestQuarantined,
        now: datetime.datetime,
    ) -> Effects:
        answer = self._generation.open.get(request_id)
        if answer is None:
            return []
        line = events.REQUEST_QUARANTINED.line(
            fingerprint=answer.fingerprint.body_digest,
            customer=answer.fingerprint.customer,
        )
        made: Effects = [_effects.WriteLog(line)]
        made += self._record(answer, now)
        return made + self._generation.give_up(answer, failure, now)

    def _record(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Put a condemned request into the audit trail."""
        fingerprint = answer.fingerprint
        command = state.RecordEvent(
            at=now,
            actor=self._around.cfg.id,
            kind=state.AuditKind.REQUEST_QUARANTINED,
            subject=fingerprint.customer,
            detail=fingerprint.body_digest,
        )
        subject = f"quarantine {answer.request.request_id}"
        asked = self._asks.ask(subject, state.encode_command(command))
        if isinstance(asked, _control_asks.Asked):
            return [asked.effect]
        return []

    def _share(self, rumour: admission.Rumour) -> Effects:
        message = protocol.SuspectRumour(rumour)
        return [
            _effects.SendMessage(model.VmId(peer.id), message)
            for peer in self._around.cfg.entries
            if peer.id != self._around.cfg.id
        ]


def _new_endpoints(
    answer: _open_answer.OpenAnswer, pipeline: model.Pipeline
) -> frozenset[model.EndpointId]:
    """Return the endpoints of ``pipeline`` that the request is new to."""
    before = answer.assembly.pipeline
    known = frozenset(
        stage.endpoint_id for stage in (before.stages if before else ())
    )
    return frozenset(
        stage.endpoint_id
        for stage in pipeline.stages
        if stage.endpoint_id not in known
    )
