"""What happens when an attempt at an answer is lost."""

import datetime

from sedgepin import _admission as admission
from sedgepin import _answers as answers
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin._entry import _generation
from sedgepin._entry import _open_answer
from sedgepin._entry import _refusals
from sedgepin._entry import _resumption
from sedgepin._entry import _surroundings
from sedgepin._entry import _trials
from sedgepin import _membership as membership
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import events

Effects = list[_effects.EntryEffect]

# Shorter than the silence watch's own, so that the stages' answers, which
# name the one that is dead, come first.
_PROBE_TIMEOUT = datetime.timedelta(milliseconds=400)


class Losses:
    """Finds out what was lost, and resumes what was running on it.

    A broken stream alone does not say whether an endpoint died or only a
    connection.  The stages are asked on fresh connections, which a dead
    process refuses at once, before anything is held against anyone.
    """

    __slots__ = ("_around", "_generation", "_resumption", "_trials")

    def __init__(
        self,
        around: _surroundings.Surroundings,
        generation: _generation.Generation,
        resumption: _resumption.Resumption,
        trials: _trials.Trials,
    ) -> None:
        self._around = around
        self._generation = generation
        self._resumption = resumption
        self._trials = trials

    def stream_ended(
        self, event: _events.StreamEnded, now: datetime.datetime
    ) -> Effects:
        """Take in the end marker of an attempt."""
        answer = self._current(event.request_id, event.attempt)
        if answer is None:
            return []
        try:
            reason = answers.FinishReason(event.finish_reason)
        except ValueError:
            reason = answers.FinishReason.STOP
        ended = answer.assembly.accept_end(
            event.attempt, event.token_count, reason
        )
        if ended.is_ok() and answer.assembly.completion is not None:
            completion = answer.assembly.completion
            return self._generation.finish(answer, completion, now)
        return self._resumption.resume(answer, frozenset(), False, now)

    def stream_failed(
        self, event: _events.StreamFailed, now: datetime.datetime
    ) -> Effects:
        """Take in that an attempt ended early."""
        answer = self._current(event.request_id, event.attempt)
        if answer is None or answer.lost is not None:
            return []
        line = events.ATTEMPT_FAILED.line(
            request=event.request_id,
            attempt=event.attempt,
            endpoint=event.at_fault,
            code=event.failure.detail(),
        )
        made: Effects = [_effects.WriteLog(line)]
        answer.assembly.close_attempt(event.attempt, now)
        completion = answer.assembly.complete_at_limit()
        if completion is not None:
            return made + self._generation.finish(answer, completion, now)
        if event.crashed:
            answer.lost = event
            return [*made, self._probe(answer)]
        if isinstance(event.failure, _failures.EndpointRefused):
            # Another engine would say the same; the endpoint is well.
            return made + self._generation.give_up(answer, event.failure, now)
        if not isinstance(event.failure, _failures.EndpointBusy):
            made += self._mark_failed(event.at_fault, now)
        answer.avoid |= {event.at_fault}
        return made + self._resumption.retry_unrun(answer, now)

    def probe_answered(
        self, event: _events.ProbeAnswered, now: datetime.datetime
    ) -> Effects:
        """Take in what the stages of an attempt said."""
        answer = self._current(event.request_id, event.attempt)
        if answer is None or event.probe != answer.probe:
            return []
        if answer.lost is not None:
            return self._judge_loss(answer, event, now)
        return self._judge_silence(answer, event, now)

    def tick(self, now: datetime.datetime) -> Effects:
        """Look for silent streams and requests whose time is over."""
        made: Effects = []
        for answer in list(self._generation.open.values()):
            if answer.request.request_id not in self._generation.open:
                continue
            if now >= answer.deadline:
                made += self._time_out(answer, now)
                continue
            watch = answer.silence
            if watch is None or answer.lost or now < watch.wake_at:
                continue
            for effect in watch.handle(answers.TimerFired(), now):
                made += self._carry_out(answer, effect, now)
        wake_at = self._around.quarantine.wake_at
        if wake_at is not None and now >= wake_at:
            made += self._trials.carry_out(
                self._around.quarantine.tick(now), now
            )
        return made

    def _current(
        self, request_id: model.RequestId, attempt: int
    ) -> _open_answer.OpenAnswer | None:
        answer = self._generation.open.get(request_id)
        if answer is None or answer.assembly.attempt != attempt:
            return None
        return answer

    def _probe(self, answer: _open_answer.OpenAnswer) -> _effects.ProbeStages:
        pipeline = answer.assembly.pipeline
        assert pipeline is not None
        answer.probe += 1
        return _effects.ProbeStages(
            answer.request.request_id,
            answer.assembly.attempt,
            answer.probe,
            pipeline.stages,
            _PROBE_TIMEOUT,
        )

    def _judge_loss(
        self,
        answer: _open_answer.OpenAnswer,
        event: _events.ProbeAnswered,
        now: datetime.datetime,
    ) -> Effects:
        """Tell a dead endpoint from a dead connection."""
        lost = answer.lost
        assert lost is not None
        dead = [
            report.endpoint_id
            for report in event.reports
            if self._has_died(report)
        ]
        if dead:
            return self._bury(dead, now)
        return self._resumption.resume(
            answer, frozenset((lost.at_fault,)), True, now
        )

    def _has_died(self, report: _events.StageReport) -> bool:
        if report.state is None:
            return True
        known = self._around.gossip.endpoints.find(report.endpoint_id)
        if known is None or report.incarnation is None:
            return False
        return report.incarnation > known.incarnation

    def _judge_silence(
        self,
        answer: _open_answer.OpenAnswer,
        event: _events.ProbeAnswered,
        now: datetime.datetime,
    ) -> Effects:
        watch = answer.silence
        if watch is None:
            return []
        before, answer.stuck = answer.stuck, _stuck(event.reports)
        if answer.stuck and answer.stuck == before:
            return self._resumption.resume(answer, answer.stuck, True, now)
        made: Effects = []
        heard = _combined(event, answer.silence_probe)
        for effect in watch.handle(heard, now):
            if isinstance(effect, answers.DeclareEndpointDead):
                dead = [
                    report.endpoint_id
                    for report in event.reports
                    if report.state is None
                ]
                made += self._bury(dead, now)
            else:
                made += self._carry_out(answer, effect, now)
        return made

    def _carry_out(
        self,
        answer: _open_answer.OpenAnswer,
        effect: answers.FailureDetectorEffect,
        now: datetime.datetime,
    ) -> Effects:
        match effect:
            case answers.ProbeEndpoint():
                answer.silence_probe = effect.probe
                return [self._probe(answer)]
            case answers.DeclareEndpointDead(endpoint_id):
                return self._bury([endpoint_id], now)
            case answers.DeclareConnectionDead():
                # A fresh connection to the same engines, whose caches are
                # warm, unless that has been tried.
                if answer.has_tried_afresh:
                    answer.doubt_pipeline()
                return self._resumption.resume(answer, frozenset(), True, now)
            case answers.DeclareStreamStalled():
                answer.doubt_pipeline()
                return self._resumption.resume(answer, frozenset(), True, now)

    def _bury(
        self, dead: list[model.EndpointId], now: datetime.datetime
    ) -> Effects:
        """Take endpoints out of use, and resume what ran on them."""
        made: Effects = []
        for endpoint_id in dead:
            made += self._bury_one(endpoint_id, now)
        return made

    def _bury_one(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> Effects:
        announced = self._around.gossip.endpoints.find(endpoint_id)
        incarnation = model.Incarnation(0)
        if announced is not None:
            incarnation = announced.incarnation
        made = self._mark_failed(endpoint_id, now)
        aboard = []
        for answer in list(self._generation.open.values()):
            if not answer.runs_on(endpoint_id):
                continue
            aboard.append(_aboard(answer))
            made += self._resumption.cancel(answer, now)
            answer.avoid |= {endpoint_id}
            answer.prefer = _survivors(answer, endpoint_id)
        died = admission.EndpointDied(endpoint_id, incarnation, tuple(aboard))
        decided = self._around.quarantine.endpoint_died(died, now)
        return made + self._trials.carry_out(decided, now)

    def _mark_failed(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> Effects:
        failed = membership.EndpointFailed(endpoint_id)
        line = events.ENDPOINT_SUSPECTED.line(
            endpoint=endpoint_id, failure="not reached"
        )
        made: Effects = [_effects.WriteLog(line)]
        for effect in self._around.gossip.handle(failed, now):
            if isinstance(effect, membership.SendGossip):
                made.append(
                    _effects.SendMessage(
                        effect.recipient,
                        protocol.GossipCarried(effect.frame),
                    )
                )
        return made

    def _time_out(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        if not answer.dispatched:
            failure = _refusals.never_started()
            return self._generation.give_up(answer, failure, now)
        timed_out = _failures.RequestTimedOut()
        return self._generation.give_up(answer, timed_out, now)


def _combined(
    event: _events.ProbeAnswered, probe: int
) -> answers.ProbeSucceeded | answers.ProbeFailed:
    """Return what all stages say together.

    A later stage that does not know the attempt may not have been given it
    yet, or its connection to the stage before went silent: that is not told.
    """
    states = [report.state for report in event.reports]
    first = states[0]
    if first is None or None in states:
        return answers.ProbeFailed(probe)
    state = first
    if answers.StreamState.PRODUCING in states:
        state = answers.StreamState.PRODUCING
    elif first is not answers.StreamState.PREFILLING:
        state = first
    elif answers.StreamState.UNKNOWN in states:
        state = answers.StreamState.UNREPORTED
    produced = max(report.produced for report in event.reports)
    return answers.ProbeSucceeded(probe, state, produced)


def _stuck(
    reports: tuple[_events.StageReport, ...],
) -> frozenset[model.EndpointId]:
    """Return the stages that hold tokens back, as far as the stages say.

    A stage that received more than it let go hangs; where more left a stage
    than came to the next, what was between them is lost.  During prefill a
    stage rightly holds the prompt.
    """
    found = set()
    for report, following in zip(reports, (*reports[1:], None)):
        if report.state is not answers.StreamState.PRODUCING:
            continue
        if report.received is not None and report.received > report.produced:
            found.add(report.endpoint_id)
        if following is None or following.received is None:
            continue
        if following.state is answers.StreamState.PREFILLING:
            continue
        if report.produced > following.received:
            found.add(following.endpoint_id)
    return frozenset(found)


def _aboard(answer: _open_answer.OpenAnswer) -> admission.InFlightRequest:
    seen = answer.assembly.next_position > answer.resumed_at
    reported = answer.lost is not None and answer.lost.crashed
    return admission.InFlightRequest(
        answer.request.request_id, answer.fingerprint, seen or reported
    )


def _survivors(
    answer: _open_answer.OpenAnswer, dead: model.EndpointId
) -> frozenset[model.EndpointId]:
    pipeline = answer.assembly.pipeline
    if pipeline is None:
        return frozenset()
    return frozenset(
        stage.endpoint_id
        for stage in pipeline.stages
        if stage.endpoint_id != dead
    )
