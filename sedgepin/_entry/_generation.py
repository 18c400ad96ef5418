"""Answers of model services, from the caller's request to the last token."""

import collections.abc
import dataclasses
import datetime

import result

from sedgepin import _admission as admission
from sedgepin import _answers as answers
from sedgepin._entry import _admission_controllers
from sedgepin._entry import _context
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin._entry import _held_prompts
from sedgepin._entry import _lateness
from sedgepin._entry import _open_answer
from sedgepin._entry import _paths
from sedgepin._entry import _permits
from sedgepin._entry import _quarantine_updates
from sedgepin._entry import _refusals
from sedgepin import _model as model
from sedgepin import _rate_limits as rate_limits
from sedgepin import _release as release
from sedgepin import _routing as routing
from sedgepin import errors
from sedgepin import events

Effects = list[_effects.EntryEffect]

# Service time assumed for a model that has not answered yet: the time of one
# token.
_INITIAL_ANSWER_SECONDS = 0.02
_ANSWER_SECONDS_WEIGHT = 0.1
_AT_ONCE = datetime.timedelta()
# How many random halves of the deprioritized engines are excluded in turn.
_RANDOM_EXCLUSIONS = 8


class Generation:
    """Manages all open answers of this VM.

    ``_failure_handler.FailureHandler`` decides what follows a failed attempt
    and calls ``start``, ``finish`` and ``fail_request``.  After each event,
    ``_trials.TrialRunner`` processes ``quarantine_updates``.
    """

    __slots__ = (
        "_admission_controllers",
        "_context",
        "_held_prompts",
        "_mean_answer_seconds",
        "_waiting_answers",
        "open_answers",
        "quarantine_updates",
    )

    def __init__(
        self,
        context: _context.ReducerContext,
        controllers: _admission_controllers.AdmissionControllers,
        held_prompts: _held_prompts.HeldPrompts,
    ) -> None:
        self._context = context
        self._held_prompts = held_prompts
        self._admission_controllers = controllers
        self._mean_answer_seconds: dict[model.ModelName, float] = {}
        self.open_answers: dict[model.RequestId, _open_answer.OpenAnswer] = {}
        self._waiting_answers: list[model.RequestId] = []
        self.quarantine_updates: list[
            _quarantine_updates.QuarantineUpdate
        ] = []

    def handle_request(
        self, request: _events.GenerateRequest, now: datetime.datetime
    ) -> Effects:
        """Submit a caller's request to admission, or refuse it."""
        created = self._create_answer(request, now)
        if isinstance(created, result.Err):
            return _refusals.refuse_and_log(
                self._context, request, created.err_value, now
            )
        answer = created.ok_value
        decision = self._context.quarantine.check(answer.fingerprint, now)
        if isinstance(decision, result.Err):
            return _refusals.refuse_and_log(
                self._context, request, decision.err_value, now
            )
        held_back = self._held_prompts.find_failure(answer, now)
        if held_back is not None:
            return _refusals.refuse_and_log(
                self._context, request, held_back, now
            )
        self.open_answers[request.request_id] = answer
        if isinstance(decision.ok_value, admission.RunOnTrial):
            answer.on_trial = True
        return self._submit(answer, now)

    def apply_decisions(
        self,
        decisions: collections.abc.Iterable[admission.Decision],
        now: datetime.datetime,
    ) -> Effects:
        """Carry out the decisions of an admission controller."""
        effects: Effects = []
        for decision in decisions:
            answer = self.open_answers.get(decision.request_id)
            if answer is None:
                continue
            if isinstance(decision, admission.Refuse):
                del self.open_answers[decision.request_id]
                effects += _refusals.refuse_and_log(
                    self._context, answer.request, decision.failure, now
                )
                continue
            answer.is_admitted = True
            if answer.on_trial:
                self.quarantine_updates.append(
                    _quarantine_updates.TrialReady(answer)
                )
            else:
                effects += self.dispatch(answer, now)
        return effects

    def dispatch(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Start the next attempt, or fail the request.

        It fails without a pipeline, or if it may crash engines.
        """
        chosen = self.choose(answer, frozenset(), now)
        if isinstance(chosen, result.Err):
            return self.fail_request(answer, chosen.err_value, now)
        return self.start(answer, chosen.ok_value, now)

    def find_refusal(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> errors.Failure | None:
        """Return why no attempt may follow on any pipeline, if so.

        The limit holds for all attempts, whatever ended those before: an
        engine that refused or fell silent has had the request, too.
        """
        attempts = answer.assembly.attempt
        if attempts >= answers.MAX_ATTEMPTS:
            return answers.AttemptsExhausted(
                attempts, answer.assembly.next_position
            )
        if answer.is_sustained:
            return None
        return self._held_prompts.find_failure(answer, now)

    def choose(
        self,
        answer: _open_answer.OpenAnswer,
        excluded: frozenset[model.EndpointId],
        now: datetime.datetime,
    ) -> result.Result[model.Pipeline, errors.Failure]:
        """Choose a pipeline of one version, the one in force if possible.

        Deprioritized engines are used only if no other pipeline is possible.
        A request that ``find_refusal`` refuses gets none.
        """
        refusal = self.find_refusal(answer, now)
        if refusal is not None:
            return result.Err(refusal)
        may_ask = answer.denied_permits < _permits.MAX_DENIED
        at_once = _AT_ONCE if may_ask else None
        chosen = self._choose_softly(answer, excluded, at_once, now)
        if chosen.is_ok():
            return chosen
        wait = self._context.permits.max_wait(answer.deadline, now)
        if may_ask and wait > _AT_ONCE:
            after_wait = self._choose_softly(answer, excluded, wait, now)
            if after_wait.is_ok():
                return after_wait
        blocked = self._blocked(answer, wait, now)
        if blocked:
            return result.Err(_failures.endpoints_limited(blocked, now))
        return chosen

    def _choose_softly(
        self,
        answer: _open_answer.OpenAnswer,
        excluded: frozenset[model.EndpointId],
        permit_wait: datetime.timedelta | None,
        now: datetime.datetime,
    ) -> result.Result[model.Pipeline, errors.Failure]:
        """Choose a pipeline whose first engine has a permit in time.

        Without ``permit_wait``, one that needs none.
        """
        answer.permit_wait = permit_wait
        for deprioritized in self._soft_exclusions(answer):
            chosen = self._choose(answer, excluded | deprioritized, now)
            if chosen.is_ok():
                return chosen
        return self._choose(answer, excluded, now)

    def _blocked(
        self,
        answer: _open_answer.OpenAnswer,
        wait: datetime.timedelta,
        now: datetime.datetime,
    ) -> dict[model.EndpointId, datetime.datetime]:
        """Return the model's first engines that have no permit in time."""
        first_engines = tuple(
            announcement
            for announcement in self._context.eligible(now)
            if announcement.model == answer.model.name
            and announcement.layers is not None
            and announcement.layers.first == 0
        )
        return self._context.permits.blocked(first_engines, wait, now)

    def _soft_exclusions(
        self, answer: _open_answer.OpenAnswer
    ) -> collections.abc.Iterator[frozenset[model.EndpointId]]:
        """Yield sets of deprioritized engines to exclude: all, then halves.

        Excluding a random half mixes the engines of different stalled
        attempts, until one mix contains no hanging engine.
        """
        if not answer.deprioritized:
            return
        yield answer.deprioritized
        engine_ids = sorted(answer.deprioritized)
        for _ in range(_RANDOM_EXCLUSIONS):
            half = self._context.generator.sample(
                engine_ids, len(engine_ids) // 2
            )
            yield frozenset(half)

    def _choose(
        self,
        answer: _open_answer.OpenAnswer,
        excluded: frozenset[model.EndpointId],
        now: datetime.datetime,
    ) -> result.Result[model.Pipeline, errors.Failure]:
        eligible = self._context.eligible(now)
        not_first = frozenset(
            self._context.permits.blocked(eligible, answer.permit_wait, now)
        )
        first_failure: (
            result.Result[model.Pipeline, routing.NoPipeline] | None
        ) = None
        for version in _candidate_versions(answer.model, eligible):
            routing_request = answer.routing_request(version)
            routing_request = dataclasses.replace(
                routing_request,
                excluded_endpoints=routing_request.excluded_endpoints
                | excluded,
                not_first=not_first,
            )
            chosen = self._context.router.choose_pipeline(
                routing_request, eligible, answer.model.layer_count, now
            )
            if chosen.is_ok():
                answer.version = version
                return chosen
            first_failure = first_failure or chosen
        assert first_failure is not None
        return first_failure

    def start(
        self,
        answer: _open_answer.OpenAnswer,
        pipeline: model.Pipeline,
        now: datetime.datetime,
        has_permit: bool = False,
    ) -> Effects:
        """Start the next attempt on ``pipeline``.

        It may have to wait for a forwarder to the first engine, or for a
        permit, for a moment.
        """
        request = answer.request
        first = pipeline.stages[0]
        if not has_permit:
            permission = self._obtain_permit(answer, first.endpoint_id, now)
            if permission is rate_limits.Permission.ASKED:
                answer.awaited_pipeline = pipeline
                return []
            if permission is rate_limits.Permission.DENIED:
                return self.start_elsewhere(answer, pipeline, now)
        path = (first.endpoint_id, first.address, answer.detours > 0, now)
        if self._context.paths.must_wait(*path):
            answer.awaited_pipeline = pipeline
            self._waiting_answers.append(request.request_id)
            return []
        answer.awaited_pipeline = None
        answer.forwarder = self._context.paths.choose_forwarder(*path)
        router = self._context.router
        routing_request = answer.routing_request(answer.version)
        attempt = answer.assembly.start_attempt(pipeline, now)
        router.record_dispatch(
            request.request_id, pipeline, routing_request, now
        )
        prefill = dataclasses.replace(routing_request, expected_tokens=1)
        answer.failure_detector = answers.StreamFailureDetector(
            request.request_id,
            pipeline.stages[0].endpoint_id,
            router.predict_duration(prefill, pipeline, now),
            answer.assembly.next_position,
            now,
        )
        answer.dispatched = True
        answer.denied_permits = 0
        answer.stalled_stages = frozenset()
        answer.dispatched_at = answer.dispatched_at or now
        answer.failed_stream = None
        resume_point = answer.assembly.resume_point
        answer.resume_position = resume_point.next_position
        start_stream = _effects.StartStream(
            request_id=request.request_id,
            attempt=attempt,
            pipeline=pipeline,
            model=answer.model.name,
            version=answer.version,
            prompt=request.prompt,
            delivered=resume_point.delivered,
            position=resume_point.next_position,
            limit_tokens=request.limit_tokens,
            priority=request.priority,
            forwarder=answer.forwarder,
        )
        effects: Effects = [start_stream, _effects.CountMetric("attempts")]
        effects += _paths.log_forwarded(
            request.request_id, attempt, first.endpoint_id, answer.forwarder
        )
        if attempt > 1:
            line = events.ANSWER_RESUMED.line(
                request=request.request_id,
                attempt=attempt,
                position=resume_point.next_position,
            )
            effects.append(_effects.WriteLog(line))
        return effects

    def _obtain_permit(
        self,
        answer: _open_answer.OpenAnswer,
        endpoint_id: model.EndpointId,
        now: datetime.datetime,
    ) -> rate_limits.Permission:
        announcement = self._context.gossip.endpoints.find(endpoint_id)
        if announcement is None:
            return rate_limits.Permission.GRANTED
        # Streams that have started come before any other request.
        has_output = answer.assembly.next_position > 0
        return self._context.permits.obtain(
            answer.request.request_id,
            endpoint_id,
            announcement.incarnation,
            answer.permit_wait or _AT_ONCE,
            -1 if has_output else answer.request.priority,
            now,
        )

    def handle_permit(
        self,
        answer: _open_answer.OpenAnswer,
        endpoint_id: model.EndpointId,
        is_granted: bool,
        now: datetime.datetime,
    ) -> Effects | None:
        """Start the attempt that waits for a permit, or look elsewhere.

        Return ``None`` if a permit is not used.
        """
        pipeline = answer.awaited_pipeline
        if pipeline is None or pipeline.stages[0].endpoint_id != endpoint_id:
            return None if is_granted else []
        if not is_granted:
            return self.start_elsewhere(answer, pipeline, now)
        answer.awaited_pipeline = None
        return self.start(answer, pipeline, now, has_permit=True)

    def start_elsewhere(
        self,
        answer: _open_answer.OpenAnswer,
        pipeline: model.Pipeline,
        now: datetime.datetime,
    ) -> Effects:
        """Look for another pipeline for an attempt that got no permit.

        A trial stays on its own, whose engines no other trial uses.
        """
        answer.denied_permits += 1
        if answer.on_trial:
            answer.awaited_pipeline = pipeline
            self._waiting_answers.append(answer.request.request_id)
            return []
        answer.awaited_pipeline = None
        return self.dispatch(answer, now)

    def resume_waiting(self, now: datetime.datetime) -> Effects:
        """Start the attempts whose wait for a forwarder is over."""
        waiting, self._waiting_answers = self._waiting_answers, []
        effects: Effects = []
        for request_id in waiting:
            answer = self.open_answers.get(request_id)
            if answer is not None and answer.awaited_pipeline is not None:
                effects += self.start(answer, answer.awaited_pipeline, now)
        return effects

    def handle_piece(
        self, event: _events.PieceReceived, now: datetime.datetime
    ) -> Effects:
        """Add a token to its answer, and deliver the tokens in order.

        Tokens of earlier attempts are dropped.
        """
        answer = self.open_answers.get(event.request_id)
        if answer is None or event.attempt != answer.assembly.attempt:
            return [_effects.CountMetric("pieces_late")]
        effects = self._record_reached(answer, now)
        accepted = answer.assembly.accept(event.piece, now)
        if isinstance(accepted, result.Err):
            line = events.PIECE_DROPPED.line(
                request=event.request_id, code=accepted.err_value.reason.value
            )
            metric = _effects.CountMetric("pieces_dropped")
            return [*effects, _effects.WriteLog(line), metric]
        pieces = accepted.ok_value
        if not pieces:
            return effects
        return effects + self._deliver(answer, pieces, now)

    def handle_heartbeat(
        self, event: _events.EngineHeartbeatReceived, now: datetime.datetime
    ) -> Effects:
        """Pass an engine's heartbeat to the stream's failure detector."""
        answer = self.open_answers.get(event.request_id)
        if answer is None or event.attempt != answer.assembly.attempt:
            return []
        if answer.failure_detector is not None:
            answer.failure_detector.handle(answers.HeartbeatReceived(), now)
        return []

    def finish(
        self,
        answer: _open_answer.OpenAnswer,
        completion: answers.AnswerComplete,
        now: datetime.datetime,
    ) -> Effects:
        """End the caller's complete answer and close the request."""
        request = answer.request
        self._context.retries.record_success(request.service, now)
        self._record_answer_time(answer, now)
        self._context.levels.count_served(
            request.customer, request.service, now
        )
        effects: Effects = [
            _effects.EndAnswer(
                request.request_id, completion.finish_reason.value
            ),
            _effects.CountMetric("answers_whole"),
            _effects.RecordDuration("answer", now - answer.received_at),
        ]
        effects += self._held_prompts.record_survival(answer, now)
        return effects + self.close(answer, True, now)

    def fail_request(
        self,
        answer: _open_answer.OpenAnswer,
        failure: errors.Failure,
        now: datetime.datetime,
    ) -> Effects:
        """Send the caller its final failure and close the request.

        A request that was dispatched may have run, so it never ends with the
        outcome "not run".
        """
        final_failure = failure
        is_not_run = failure.outcome is errors.Outcome.NOT_RUN
        if answer.dispatched and is_not_run:
            final_failure = _failures.AnswerInterrupted(failure.detail())
        request = answer.request
        refusal = _refusals.refuse_and_log(
            self._context, request, final_failure, now
        )
        return refusal + self.close(answer, False, now)

    def end_all(self, now: datetime.datetime) -> Effects:
        """End all requests, as this VM stops.

        Those that wait come first, so that none takes a place that is freed.
        """
        answers_by_place = sorted(
            self.open_answers.values(),
            key=lambda answer: (answer.is_admitted, answer.dispatched),
        )
        effects: Effects = []
        for answer in answers_by_place:
            failure = _refusals.at_end_of_grace(answer.dispatched)
            effects += self.fail_request(answer, failure, now)
        return effects

    def close(
        self,
        answer: _open_answer.OpenAnswer,
        succeeded: bool,
        now: datetime.datetime,
    ) -> Effects:
        """Remove a request and admit requests that waited for capacity."""
        request_id = answer.request.request_id
        del self.open_answers[request_id]
        self._context.permits.cancel(request_id)
        if succeeded and answer.on_trial:
            self.quarantine_updates.append(
                _quarantine_updates.TrialPassed(answer)
            )
        self.quarantine_updates.append(
            _quarantine_updates.RequestClosed(request_id)
        )
        effects: Effects = []
        if answer.dispatched and not succeeded:
            attempt = answer.assembly.attempt
            effects.append(_effects.CancelStream(request_id, attempt))
        self._context.router.finish_dispatch(
            request_id, answer.assembly.next_position, succeeded, now
        )
        controller = self._admission_controllers.of_model(
            answer.model.name, now
        )
        if answer.is_admitted:
            decisions = controller.finish(request_id, answer.used_tokens, now)
        else:
            decisions = controller.cancel(request_id, now)
        return effects + self.apply_decisions(decisions, now)

    def _create_answer(
        self, request: _events.GenerateRequest, now: datetime.datetime
    ) -> result.Result[_open_answer.OpenAnswer, errors.Failure]:
        fleet = self._context.follower.fleet
        if fleet is None:
            return result.Err(_failures.NotReady())
        service = fleet.find_service(request.service)
        if service is None:
            return result.Err(_failures.ServiceUnknown(request.service))
        served_model = fleet.find_model(service.model or "")
        if (
            service.kind is not release.ServiceKind.MODEL
            or served_model is None
        ):
            return result.Err(_failures.WrongKindOfService())
        timeout = _refusals.effective_timeout(
            self._context, service, request.timeout
        )
        return result.Ok(
            _open_answer.OpenAnswer(
                request, service, served_model, now + timeout, now
            )
        )

    def _submit(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        name = answer.model.name
        seconds = self._mean_answer_seconds.get(name, _INITIAL_ANSWER_SECONDS)
        admission_request = admission.AdmissionRequest(
            request_id=answer.request.request_id,
            customer=answer.request.customer,
            priority=answer.request.priority,
            cost_tokens=answer.cost_tokens,
            deadline=answer.deadline,
            predicted_service=datetime.timedelta(seconds=seconds),
        )
        controller = self._admission_controllers.of_model(name, now)
        return self.apply_decisions(
            controller.submit(admission_request, now), now
        )

    def _deliver(
        self,
        answer: _open_answer.OpenAnswer,
        pieces: tuple[model.TokenPiece, ...],
        now: datetime.datetime,
    ) -> Effects:
        request_id = answer.request.request_id
        self._context.router.record_progress(request_id, len(pieces))
        if answer.failure_detector is not None:
            position = answer.assembly.next_position
            answer.failure_detector.handle(
                answers.TokenReceived(position), now
            )
        texts = tuple(piece.text for piece in pieces)
        effects: Effects = [_effects.DeliverPieces(request_id, texts)]
        if pieces[0].position == 0:
            latency = now - answer.received_at
            effects.append(_effects.RecordDuration("first_token", latency))
            effects += _lateness.check_first_token(self._context, answer, now)
        completion = answer.assembly.completion
        if completion is not None:
            return effects + self.finish(answer, completion, now)
        if answer.is_sustained and not answer.has_survived:
            answer.has_survived = True
            effects += self._held_prompts.record_survival(answer, now)
        if answer.has_passed_trial:
            self.quarantine_updates.append(
                _quarantine_updates.TrialPassed(answer)
            )
        return effects

    def handle_caller_disconnected(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Close a request whose caller has disconnected.

        If it has waited for its first token too long, that is counted.
        """
        effects: Effects = []
        if answer.assembly.next_position == 0:
            effects = _lateness.check_first_token(self._context, answer, now)
        return effects + self.close(answer, False, now)

    def check_pauses(self, now: datetime.datetime) -> Effects:
        """Count the pauses of answers that have become late."""
        return _lateness.check_pauses(
            self._context, self.open_answers.values(), now
        )

    def waiting(self) -> collections.abc.Iterator[tuple[str, str]]:
        """Yield customer and service of each request with no attempt."""
        for answer in self.open_answers.values():
            if answer.failure_detector is None:
                yield answer.request.customer, answer.request.service

    def _record_reached(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        pipeline = answer.assembly.pipeline
        if pipeline is None:
            return []
        return self._context.paths.record_reached(
            pipeline.stages[0].endpoint_id, answer.forwarder, now
        )

    def _record_answer_time(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> None:
        """Update the moving average of the model's answer duration."""
        if answer.dispatched_at is None:
            return
        seconds = (now - answer.dispatched_at).total_seconds()
        name = answer.model.name
        mean = self._mean_answer_seconds.get(name, seconds)
        self._mean_answer_seconds[name] = mean + _ANSWER_SECONDS_WEIGHT * (
            seconds - mean
        )


def _candidate_versions(
    served_model: release.Model,
    eligible: collections.abc.Iterable[model.Announcement],
) -> list[str]:
    """Return the versions to try: the one in force, then other running ones.

    While engines load a new version, others still run the old one.  A
    pipeline never mixes two versions.
    """
    running = {
        announcement.model_version
        for announcement in eligible
        if announcement.model == served_model.name
    }
    return [served_model.version, *sorted(running - {served_model.version})]
