"""Handles attempts that end early, fall silent or exceed their deadline."""

import datetime

from sedgepin import _admission as admission
from sedgepin import _answers as answers
from sedgepin._entry import _context
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin._entry import _generation
from sedgepin._entry import _held_prompts
from sedgepin._entry import _open_answer
from sedgepin._entry import _refusals
from sedgepin._entry import _resumption
from sedgepin._entry import _silent_deaths
from sedgepin._entry import _stage_reports
from sedgepin._entry import _stream_paths
from sedgepin._entry import _trials
from sedgepin import _membership as membership
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import events

Effects = list[_effects.EntryEffect]


class FailureHandler:
    """Finds out what failed, and resumes the answers that ran on it.

    A broken stream does not show whether an endpoint or only a connection
    died.  Before any endpoint is marked as failed, the stages are probed on
    new connections, which a dead process refuses at once.
    """

    __slots__ = (
        "_context",
        "_held_prompts",
        "_generation",
        "_resumption",
        "_silent_deaths",
        "_stream_paths",
        "_trials",
    )

    def __init__(
        self,
        context: _context.ReducerContext,
        generation: _generation.Generation,
        resumption: _resumption.Resumption,
        trials: _trials.TrialRunner,
        held_prompts: _held_prompts.HeldPrompts,
    ) -> None:
        self._held_prompts = held_prompts
        self._context = context
        self._generation = generation
        self._resumption = resumption
        self._silent_deaths = _silent_deaths.SilentDeaths(
            context.gossip.endpoints
        )
        self._stream_paths = _stream_paths.StreamPaths(context)
        self._trials = trials

    def handle_stream_ended(
        self, event: _events.StreamEnded, now: datetime.datetime
    ) -> Effects:
        """Finish an answer at its end marker, or resume it.

        It is resumed if the engine's token count does not match the tokens
        received.
        """
        answer = self._find_answer(event.request_id, event.attempt)
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

    def handle_stream_failed(
        self, event: _events.StreamFailed, now: datetime.datetime
    ) -> Effects:
        """Choose what follows an attempt that ended early.

        After a crash the stages are probed first.  A refused request fails;
        one that a busy or unreachable engine did not run is retried.
        """
        answer = self._find_answer(event.request_id, event.attempt)
        if answer is None or answer.failed_stream is not None:
            return []
        line = events.ATTEMPT_FAILED.line(
            request=event.request_id,
            attempt=event.attempt,
            endpoint=event.at_fault,
            code=event.failure.detail(),
        )
        effects: Effects = [_effects.WriteLog(line)]
        answer.assembly.close_attempt(event.attempt, now)
        completion = answer.assembly.complete_at_limit()
        if completion is not None:
            return effects + self._generation.finish(answer, completion, now)
        if event.crashed:
            answer.failed_stream = event
            return effects + self._stream_paths.start_probe(answer, now)
        if event.link_failure is not None:
            return effects + self._handle_not_sent(answer, event, now)
        if isinstance(event.failure, _failures.EndpointRefused):
            # Any engine would refuse the request, so the endpoint is not
            # marked as failed.
            return effects + self._generation.fail_request(
                answer, event.failure, now
            )
        if not isinstance(event.failure, _failures.EndpointBusy):
            effects += self._mark_failed(event.at_fault, now)
        answer.excluded_endpoints |= {event.at_fault}
        return effects + self._resumption.retry_not_run(answer, now)

    def _handle_not_sent(
        self,
        answer: _open_answer.OpenAnswer,
        event: _events.StreamFailed,
        now: datetime.datetime,
    ) -> Effects:
        """Take another path to the pipeline, or another pipeline."""
        is_blamed, effects = self._stream_paths.record_failure(
            answer, event, now
        )
        if not is_blamed and self._stream_paths.can_detour(answer, now):
            return effects + self._resumption.take_detour(answer, now)
        if is_blamed:
            effects += self._mark_failed(event.at_fault, now)
        answer.excluded_endpoints |= {event.at_fault}
        return effects + self._resumption.retry_not_run(answer, now)

    def handle_probe_answered(
        self, event: _events.ProbeAnswered, now: datetime.datetime
    ) -> Effects:
        """Evaluate the stages' reports on a failed or silent attempt."""
        answer = self._find_answer(event.request_id, event.attempt)
        if answer is None or event.probe != answer.probe:
            return []
        is_unsure, effects = self._stream_paths.review_reports(
            answer, event, now
        )
        if is_unsure:
            return effects + self._stream_paths.take_detour(answer, now)
        if answer.failed_stream is not None:
            return effects + self._diagnose_failure(answer, event, now)
        return effects + self._diagnose_silence(answer, event, now)

    def resume_waiting(self, now: datetime.datetime) -> Effects:
        """Continue what has waited for a forwarder, if the wait is over."""
        effects = self._generation.resume_waiting(now)
        for request_id, probe in self._stream_paths.take_waiting():
            answer = self._generation.open_answers.get(request_id)
            if answer is not None and answer.probe == probe:
                effects += self._stream_paths.continue_probe(answer, now)
        return effects

    def tick(self, now: datetime.datetime) -> Effects:
        """Check for silent streams, expired deadlines and due trials."""
        effects = self.resume_waiting(now)
        for answer in list(self._generation.open_answers.values()):
            if answer.request.request_id not in self._generation.open_answers:
                continue
            if now >= answer.deadline:
                effects += self._time_out(answer, now)
                continue
            if answer.awaits_engine:
                effects += self._resumption.try_again(answer, now)
                continue
            detector = answer.failure_detector
            if (
                detector is None
                or answer.failed_stream
                or now < detector.wake_at
            ):
                continue
            for effect in detector.handle(answers.TimerFired(), now):
                effects += self._apply_effect(answer, effect, now)
        for death in self._silent_deaths.take_disproved(now):
            effects += self._trials.apply_effects(
                self._context.quarantine.death_disproved(death, now), now
            )
        wake_at = self._context.quarantine.wake_at
        if wake_at is not None and now >= wake_at:
            effects += self._trials.apply_effects(
                self._context.quarantine.tick(now), now
            )
        return effects

    def _find_answer(
        self, request_id: model.RequestId, attempt: int
    ) -> _open_answer.OpenAnswer | None:
        answer = self._generation.open_answers.get(request_id)
        if answer is None or answer.assembly.attempt != attempt:
            return None
        return answer

    def _diagnose_failure(
        self,
        answer: _open_answer.OpenAnswer,
        event: _events.ProbeAnswered,
        now: datetime.datetime,
    ) -> Effects:
        """Distinguish a dead endpoint from a dead connection."""
        failed_stream = answer.failed_stream
        assert failed_stream is not None
        dead = [
            report.endpoint_id
            for report in event.reports
            if self._has_died(report)
        ]
        if dead:
            return self._declare_dead(dead, now)
        at_fault = frozenset((failed_stream.at_fault,))
        if self._stream_paths.may_have_lost_path(answer):
            at_fault = frozenset()
        return self._resumption.resume(answer, at_fault, True, now)

    def _has_died(self, report: _events.StageReport) -> bool:
        if report.state is None:
            return not self._stream_paths.is_unknown(report)
        announcement = self._context.gossip.endpoints.find(report.endpoint_id)
        if announcement is None or report.incarnation is None:
            return False
        return report.incarnation > announcement.incarnation

    def _diagnose_silence(
        self,
        answer: _open_answer.OpenAnswer,
        event: _events.ProbeAnswered,
        now: datetime.datetime,
    ) -> Effects:
        detector = answer.failure_detector
        if detector is None:
            return []
        previous, answer.stalled_stages = (
            answer.stalled_stages,
            _stage_reports.find_stalled_stages(event.reports),
        )
        if answer.stalled_stages and answer.stalled_stages == previous:
            return self._resumption.resume(
                answer, answer.stalled_stages, True, now
            )
        effects: Effects = []
        combined = _stage_reports.combine_reports(event, answer.failure_probe)
        for effect in detector.handle(combined, now):
            if isinstance(effect, answers.DeclareEndpointDead):
                dead = [
                    report.endpoint_id
                    for report in event.reports
                    if report.state is None
                ]
                effects += self._declare_dead(dead, now)
            else:
                effects += self._apply_effect(answer, effect, now)
        return effects

    def _apply_effect(
        self,
        answer: _open_answer.OpenAnswer,
        effect: answers.FailureDetectorEffect,
        now: datetime.datetime,
    ) -> Effects:
        match effect:
            case answers.ProbeEndpoint():
                answer.failure_probe = effect.probe
                return self._stream_paths.start_probe(answer, now)
            case answers.DeclareEndpointDead(endpoint_id):
                return self._declare_dead([endpoint_id], now)
            case answers.DeclareConnectionDead():
                # Connects to the same engines again, because their caches
                # are warm, unless such a retry has already produced nothing.
                if answer.retry_produced_nothing:
                    answer.deprioritize_pipeline()
                return self._resumption.resume(answer, frozenset(), True, now)
            case answers.DeclareStreamStalled():
                answer.deprioritize_pipeline()
                return self._resumption.resume(answer, frozenset(), True, now)

    def _declare_dead(
        self, dead: list[model.EndpointId], now: datetime.datetime
    ) -> Effects:
        """Mark endpoints as failed, and cancel the attempts that used them.

        The quarantine then decides whether each request is resumed at once,
        run in an isolated trial or rejected.
        """
        effects: Effects = []
        for endpoint_id in dead:
            effects += self._declare_endpoint_dead(endpoint_id, now)
        return effects

    def _declare_endpoint_dead(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> Effects:
        announcement = self._context.gossip.endpoints.find(endpoint_id)
        incarnation = model.Incarnation(0)
        if announcement is not None:
            incarnation = announcement.incarnation
        effects = self._mark_failed(endpoint_id, now)
        in_flight = []
        on_endpoint = [
            answer
            for answer in self._generation.open_answers.values()
            if answer.runs_on(endpoint_id)
        ]
        # A process that ends breaks its streams.
        is_silent = not any(answer.failed_stream for answer in on_endpoint)
        if is_silent:
            self._silent_deaths.record(endpoint_id, incarnation, now)
        effects += self._held_prompts.record_death(
            endpoint_id, incarnation, on_endpoint, now
        )
        for answer in on_endpoint:
            in_flight.append(_in_flight_request(answer))
            effects += self._resumption.cancel(answer, now)
            if is_silent:
                answer.deprioritized |= {endpoint_id}
            else:
                answer.excluded_endpoints |= {endpoint_id}
            answer.preferred_endpoints = _surviving_endpoints(
                answer, endpoint_id
            )
        death = admission.EndpointDied(
            endpoint_id, incarnation, tuple(in_flight), is_silent
        )
        quarantine_effects = self._context.quarantine.endpoint_died(death, now)
        effects += self._trials.apply_effects(quarantine_effects, now)
        return effects + self.enforce_causes(now)

    def enforce_causes(self, now: datetime.datetime) -> Effects:
        """End the requests that may crash an engine, as is known now.

        One whose output goes on is no danger.
        """
        effects: Effects = []
        for answer in list(self._generation.open_answers.values()):
            failure = self._held_prompts.find_failure(answer, now)
            if failure is not None and not answer.is_sustained:
                effects += self._generation.fail_request(answer, failure, now)
        return effects

    def _mark_failed(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> Effects:
        failed = membership.EndpointFailed(endpoint_id)
        line = events.ENDPOINT_SUSPECTED.line(
            endpoint=endpoint_id, failure="not reached"
        )
        effects: Effects = [_effects.WriteLog(line)]
        for effect in self._context.gossip.handle(failed, now):
            if isinstance(effect, membership.SendGossip):
                effects.append(
                    _effects.SendMessage(
                        effect.recipient,
                        protocol.GossipCarried(effect.frame),
                    )
                )
        return effects

    def _time_out(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        if not answer.dispatched:
            failure = _refusals.deadline_before_start()
            return self._generation.fail_request(answer, failure, now)
        timeout = _failures.RequestTimedOut()
        return self._generation.fail_request(answer, timeout, now)


def _in_flight_request(
    answer: _open_answer.OpenAnswer,
) -> admission.InFlightRequest:
    """Describe a request that a dead endpoint ran, for the quarantine.

    The endpoint was certainly alive after it got the request if the attempt
    produced a token or its stream reported a crash.
    """
    has_produced = answer.assembly.next_position > answer.resume_position
    has_crashed = (
        answer.failed_stream is not None and answer.failed_stream.crashed
    )
    return admission.InFlightRequest(
        answer.request.request_id,
        answer.fingerprint,
        has_produced or has_crashed,
    )


def _surviving_endpoints(
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
