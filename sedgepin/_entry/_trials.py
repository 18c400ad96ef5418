"""Carries out the quarantine's decisions on requests that crash engines."""

import datetime

import result

from sedgepin import _admission as admission
from sedgepin._entry import _command_client
from sedgepin._entry import _context
from sedgepin._entry import _effects
from sedgepin._entry import _generation
from sedgepin._entry import _open_answer
from sedgepin._entry import _quarantine_updates
from sedgepin._entry import _resumption
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _state as state
from sedgepin import events

Effects = list[_effects.EntryEffect]


class TrialRunner:
    """Runs the isolated trials of suspect requests.

    Cleared requests are resumed; quarantined ones get their final failure.
    """

    __slots__ = ("_command_client", "_context", "_generation", "_resumption")

    def __init__(
        self,
        context: _context.ReducerContext,
        generation: _generation.Generation,
        resumption: _resumption.Resumption,
        command_client: _command_client.CommandClient,
    ) -> None:
        self._context = context
        self._command_client = command_client
        self._generation = generation
        self._resumption = resumption

    def apply_quarantine_updates(self, now: datetime.datetime) -> Effects:
        """Pass the updates of the last event to the quarantine.

        Carrying out the quarantine's effects may add further updates, which
        are applied too.
        """
        effects: Effects = []
        while self._generation.quarantine_updates:
            quarantine_effects = self._update_quarantine(
                self._generation.quarantine_updates.pop(0), now
            )
            effects += self.apply_effects(quarantine_effects, now)
        return effects

    def merge_rumour(
        self, rumour: admission.Rumour, now: datetime.datetime
    ) -> Effects:
        """Merge another VM's rumour of a suspect request."""
        return self.apply_effects(
            self._context.quarantine.merge(rumour, now), now
        )

    def apply_effects(
        self,
        quarantine_effects: list[admission.QuarantineEffect],
        now: datetime.datetime,
    ) -> Effects:
        """Carry out the effects that the quarantine returned."""
        effects: Effects = []
        for effect in quarantine_effects:
            match effect:
                case admission.BroadcastRumour(rumour):
                    effects += self._broadcast_rumour(rumour)
                case admission.ResumeAnywhere(request_id):
                    effects += self._resume_anywhere(request_id, now)
                case admission.StartTrial(request_id):
                    effects += self._start_trial(request_id, now)
                case admission.AnswerQuarantined(request_id, failure):
                    effects += self._quarantine_request(
                        request_id, failure, now
                    )
                case admission.CancelCopies(fingerprint):
                    effects += self._cancel_copies(fingerprint, now)
        return effects

    def _update_quarantine(
        self,
        update: _quarantine_updates.QuarantineUpdate,
        now: datetime.datetime,
    ) -> list[admission.QuarantineEffect]:
        quarantine = self._context.quarantine
        match update:
            case _quarantine_updates.TrialReady(answer):
                return quarantine.hold_for_trial(
                    answer.request.request_id, answer.fingerprint, now
                )
            case _quarantine_updates.TrialPassed(answer):
                answer.on_trial = False
                return quarantine.trial_survived(answer.fingerprint, now)
            case _quarantine_updates.RequestClosed(request_id):
                return quarantine.request_ended(request_id, now)

    def _resume_anywhere(
        self, request_id: model.RequestId, now: datetime.datetime
    ) -> Effects:
        answer = self._generation.open_answers.get(request_id)
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
        answer = self._generation.open_answers.get(request_id)
        if answer is None:
            return []
        quarantine = self._context.quarantine
        answer.on_trial = True
        completion = answer.assembly.complete_at_limit()
        if completion is not None:
            return self._generation.finish(answer, completion, now)
        refusal = self._generation.find_refusal(answer, now)
        if refusal is not None:
            return self._generation.fail_request(answer, refusal, now)
        busy = quarantine.trial_endpoints(now)
        excluded = busy | self._reserved_for_others(answer, busy, now)
        chosen = self._generation.choose(answer, excluded, now)
        if isinstance(chosen, result.Err):
            failure = chosen.err_value
            if not busy and not answer.may_await_engine(failure):
                return self._generation.fail_request(answer, failure, now)
            postpone_effects = quarantine.postpone_trial(
                request_id, answer.fingerprint, now
            )
            return self.apply_effects(postpone_effects, now)
        pipeline = chosen.ok_value
        placement_effects = quarantine.trial_placed(
            answer.fingerprint, _new_endpoints(answer, pipeline), now
        )
        effects = self.apply_effects(placement_effects, now)
        return effects + self._generation.start(answer, pipeline, now)

    def _reserved_for_others(
        self,
        answer: _open_answer.OpenAnswer,
        busy: frozenset[model.EndpointId],
        now: datetime.datetime,
    ) -> frozenset[model.EndpointId]:
        """Return the engines that other VMs use for trials.

        For trials each engine belongs to one entry VM, so that two suspects
        never run on the same engine.  Engines that the request already used
        are not excluded.  Those that it should not use again don't count as
        this VM's: there would be none for the trial if all had been silent.
        """
        avoided = answer.excluded_endpoints | answer.deprioritized
        own_id = model.VmId(self._context.cfg.id)
        vm_ids = [model.VmId(peer.id) for peer in self._context.cfg.entries]
        groups: dict[model.LayerRange | None, list[model.EndpointId]] = {}
        for announcement in self._context.eligible(now):
            is_avoided = announcement.endpoint_id in avoided
            if announcement.model == answer.model.name and not is_avoided:
                group = groups.setdefault(announcement.layers, [])
                group.append(announcement.endpoint_id)
        excluded: set[model.EndpointId] = set()
        for group in groups.values():
            free = admission.choose_trial_endpoints(
                answer.fingerprint, own_id, vm_ids or [own_id], group, busy
            )
            excluded.update(set(group) - set(free))
        return frozenset(excluded - answer.preferred_endpoints)

    def _cancel_copies(
        self, fingerprint: admission.Fingerprint, now: datetime.datetime
    ) -> Effects:
        """Cancel the copies of a suspect that are not on trial.

        Each of them is then held until its trial can run.
        """
        effects: Effects = []
        for answer in list(self._generation.open_answers.values()):
            if answer.fingerprint != fingerprint or answer.on_trial:
                continue
            is_waiting = answer.awaited_pipeline is not None
            if answer.failure_detector is None and not is_waiting:
                continue
            effects += self._resumption.cancel(answer, now)
            answer.on_trial = True
            quarantine_effects = self._context.quarantine.hold_for_trial(
                answer.request.request_id, fingerprint, now
            )
            effects += self.apply_effects(quarantine_effects, now)
        return effects

    def _quarantine_request(
        self,
        request_id: model.RequestId,
        failure: admission.RequestQuarantined,
        now: datetime.datetime,
    ) -> Effects:
        answer = self._generation.open_answers.get(request_id)
        if answer is None:
            return []
        line = events.REQUEST_QUARANTINED.line(
            fingerprint=answer.fingerprint.body_digest,
            customer=answer.fingerprint.customer,
        )
        effects: Effects = [_effects.WriteLog(line)]
        effects += self._record_audit_event(answer, now)
        return effects + self._generation.fail_request(answer, failure, now)

    def _record_audit_event(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Add the quarantined request to the audit trail.

        The command is not retried; the record is missing if no control VM
        commits it.
        """
        fingerprint = answer.fingerprint
        command = state.RecordEvent(
            at=now,
            actor=self._context.cfg.id,
            kind=state.AuditKind.REQUEST_QUARANTINED,
            subject=fingerprint.customer,
            detail=fingerprint.body_digest,
        )
        subject = f"quarantine {answer.request.request_id}"
        progress = self._command_client.send(
            subject, state.encode_command(command)
        )
        if isinstance(progress, _command_client.CommandSent):
            return [progress.effect]
        return []

    def _broadcast_rumour(self, rumour: admission.Rumour) -> Effects:
        message = protocol.SuspectRumour(rumour)
        return [
            _effects.SendMessage(model.VmId(peer.id), message)
            for peer in self._context.cfg.entries
            if peer.id != self._context.cfg.id
        ]


def _new_endpoints(
    answer: _open_answer.OpenAnswer, pipeline: model.Pipeline
) -> frozenset[model.EndpointId]:
    """Return the endpoints of ``pipeline`` not in the previous pipeline."""
    previous = answer.assembly.pipeline
    previous_ids = frozenset(
        stage.endpoint_id for stage in (previous.stages if previous else ())
    )
    return frozenset(
        stage.endpoint_id
        for stage in pipeline.stages
        if stage.endpoint_id not in previous_ids
    )
