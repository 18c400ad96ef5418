"""Answers from models: from the caller's request to its last token."""

import collections.abc
import dataclasses
import datetime

import result

from sedgepin import _admission as admission
from sedgepin import _answers as answers
from sedgepin._entry import _doors
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin._entry import _follow_ups
from sedgepin._entry import _open_answer
from sedgepin._entry import _refusals
from sedgepin._entry import _surroundings
from sedgepin import _model as model
from sedgepin import _release as release
from sedgepin import _routing as routing
from sedgepin import errors
from sedgepin import events

Effects = list[_effects.EntryEffect]

# Until a model has answered once, a token is taken to need this long.
_TOKEN_SECONDS_FIRST = 0.02
_TOKEN_SECONDS_WEIGHT = 0.1
_MIXES_TRIED = 8


class Generation:
    """All answers under way on this VM.

    What to do when an attempt is lost is decided in ``_losses.Losses``,
    which calls ``start``, ``finish`` and ``give_up`` here, and takes up what
    ``follow_ups`` lists after each event.
    """

    __slots__ = ("_around", "_doors", "_token_seconds", "follow_ups", "open")

    def __init__(
        self, around: _surroundings.Surroundings, doors: _doors.Doors
    ) -> None:
        self._around = around
        self._doors = doors
        self._token_seconds: dict[model.ModelName, float] = {}
        self.open: dict[model.RequestId, _open_answer.OpenAnswer] = {}
        self.follow_ups: list[_follow_ups.FollowUp] = []

    def request(
        self, request: _events.GenerateRequest, now: datetime.datetime
    ) -> Effects:
        """Take in a caller's request."""
        opened = self._open(request, now)
        if isinstance(opened, result.Err):
            return _refusals.refuse_and_log(
                request.request_id, request.customer, opened.err_value
            )
        answer = opened.ok_value
        verdict = self._around.quarantine.verdict(answer.fingerprint, now)
        if isinstance(verdict, result.Err):
            return _refusals.refuse_and_log(
                request.request_id, request.customer, verdict.err_value
            )
        self.open[request.request_id] = answer
        if isinstance(verdict.ok_value, admission.RunOnTrial):
            answer.on_trial = True
        return self._submit(answer, now)

    def decide(
        self,
        decisions: collections.abc.Iterable[admission.Decision],
        now: datetime.datetime,
    ) -> Effects:
        """Carry out what a door decided."""
        made: Effects = []
        for decision in decisions:
            answer = self.open.get(decision.request_id)
            if answer is None:
                continue
            if isinstance(decision, admission.Refuse):
                del self.open[decision.request_id]
                made += _refusals.refuse_and_log(
                    decision.request_id,
                    answer.request.customer,
                    decision.failure,
                )
                continue
            answer.is_admitted = True
            if answer.on_trial:
                self.follow_ups.append(_follow_ups.TrialDue(answer))
            else:
                made += self.dispatch(answer, now)
        return made

    def dispatch(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Start the next attempt, or give the request up."""
        chosen = self.choose(answer, frozenset(), now)
        if isinstance(chosen, result.Err):
            return self.give_up(answer, chosen.err_value, now)
        return self.start(answer, chosen.ok_value, now)

    def choose(
        self,
        answer: _open_answer.OpenAnswer,
        avoid: frozenset[model.EndpointId],
        now: datetime.datetime,
    ) -> result.Result[model.Pipeline, errors.Failure]:
        """Choose a pipeline of one version, the one in force if possible.

        Doubted engines are taken only where there are no others.
        """
        for doubted in self._doubts(answer):
            chosen = self._choose(answer, avoid | doubted, now)
            if chosen.is_ok():
                return chosen
        return self._choose(answer, avoid, now)

    def _doubts(
        self, answer: _open_answer.OpenAnswer
    ) -> collections.abc.Iterator[frozenset[model.EndpointId]]:
        """Yield sets of doubted engines to leave out: all, then some.

        Leaving out some at random mixes the engines of the attempts that
        fell silent, until one mix has none that hangs.
        """
        if not answer.doubted:
            return
        yield answer.doubted
        names = sorted(answer.doubted)
        for _ in range(_MIXES_TRIED):
            half = self._around.generator.sample(names, len(names) // 2)
            yield frozenset(half)

    def _choose(
        self,
        answer: _open_answer.OpenAnswer,
        avoid: frozenset[model.EndpointId],
        now: datetime.datetime,
    ) -> result.Result[model.Pipeline, errors.Failure]:
        eligible = self._around.eligible(now)
        chosen: result.Result[model.Pipeline, routing.NoPipeline] | None = None
        for version in _versions(answer.model, eligible):
            work = answer.work(version)
            work = dataclasses.replace(
                work, excluded_endpoints=work.excluded_endpoints | avoid
            )
            found = self._around.router.choose_pipeline(
                work, eligible, answer.model.layer_count, now
            )
            if found.is_ok():
                answer.version = version
                return found
            chosen = chosen or found
        assert chosen is not None
        return chosen

    def start(
        self,
        answer: _open_answer.OpenAnswer,
        pipeline: model.Pipeline,
        now: datetime.datetime,
    ) -> Effects:
        """Start the next attempt on ``pipeline``."""
        request = answer.request
        router = self._around.router
        work = answer.work(answer.version)
        attempt = answer.assembly.start_attempt(pipeline, now)
        router.record_dispatch(request.request_id, pipeline, work, now)
        prefill = dataclasses.replace(work, expected_tokens=1)
        answer.silence = answers.StreamFailureDetector(
            request.request_id,
            pipeline.stages[0].endpoint_id,
            router.predict_duration(prefill, pipeline, now),
            answer.assembly.next_position,
            now,
        )
        answer.dispatched = True
        answer.stuck = frozenset()
        answer.dispatched_at = answer.dispatched_at or now
        answer.lost = None
        point = answer.assembly.resume_point
        answer.resumed_at = point.next_position
        started = _effects.StartStream(
            request_id=request.request_id,
            attempt=attempt,
            pipeline=pipeline,
            model=answer.model.name,
            version=answer.version,
            prompt=request.prompt,
            delivered=point.delivered,
            position=point.next_position,
            limit_tokens=request.limit_tokens,
            priority=request.priority,
        )
        made: Effects = [started, _effects.CountMetric("attempts")]
        if attempt > 1:
            line = events.ANSWER_RESUMED.line(
                request=request.request_id,
                attempt=attempt,
                position=point.next_position,
            )
            made.append(_effects.WriteLog(line))
        return made

    def piece(
        self, event: _events.PieceArrived, now: datetime.datetime
    ) -> Effects:
        """Take in a token."""
        answer = self.open.get(event.request_id)
        if answer is None or event.attempt != answer.assembly.attempt:
            return [_effects.CountMetric("pieces_late")]
        taken = answer.assembly.accept(event.piece, now)
        if isinstance(taken, result.Err):
            line = events.PIECE_DROPPED.line(
                request=event.request_id, code=taken.err_value.reason.value
            )
            dropped = _effects.CountMetric("pieces_dropped")
            return [_effects.WriteLog(line), dropped]
        pieces = taken.ok_value
        if not pieces:
            return []
        return self._delivered(answer, pieces, now)

    def heartbeat(
        self, event: _events.EngineHeartbeatArrived, now: datetime.datetime
    ) -> Effects:
        """Note that an engine is still at work."""
        answer = self.open.get(event.request_id)
        if answer is None or event.attempt != answer.assembly.attempt:
            return []
        if answer.silence is not None:
            answer.silence.handle(answers.HeartbeatReceived(), now)
        return []

    def finish(
        self,
        answer: _open_answer.OpenAnswer,
        completion: answers.AnswerComplete,
        now: datetime.datetime,
    ) -> Effects:
        """Tell the caller that its answer is whole."""
        request = answer.request
        self._around.retries.record_success(request.service, now)
        self._learn_speed(answer, now)
        made: Effects = [
            _effects.EndAnswer(
                request.request_id, completion.finish_reason.value
            ),
            _effects.CountMetric("answers_whole"),
            _effects.TimeMetric("answer", now - answer.asked_at),
        ]
        return made + self.close(answer, True, now)

    def give_up(
        self,
        answer: _open_answer.OpenAnswer,
        failure: errors.Failure,
        now: datetime.datetime,
    ) -> Effects:
        """Give the caller its final failure, at once."""
        told = failure
        is_not_run = failure.outcome is errors.Outcome.NOT_RUN
        if answer.dispatched and is_not_run:
            told = _failures.AnswerInterrupted(failure.detail())
        request = answer.request
        refused = _refusals.refuse_and_log(
            request.request_id, request.customer, told
        )
        return refused + self.close(answer, False, now)

    def close(
        self,
        answer: _open_answer.OpenAnswer,
        succeeded: bool,
        now: datetime.datetime,
    ) -> Effects:
        """Forget a request; let in whoever waited for its place."""
        request_id = answer.request.request_id
        del self.open[request_id]
        if succeeded and answer.on_trial:
            self.follow_ups.append(_follow_ups.TrialOutrun(answer))
        self.follow_ups.append(_follow_ups.RequestOver(request_id))
        made: Effects = []
        if answer.dispatched and not succeeded:
            attempt = answer.assembly.attempt
            made.append(_effects.CancelStream(request_id, attempt))
        self._around.router.finish_dispatch(
            request_id, answer.assembly.next_position, succeeded, now
        )
        door = self._doors.of_model(answer.model.name, now)
        if answer.is_admitted:
            decisions = door.finish(request_id, answer.used_tokens, now)
        else:
            decisions = door.cancel(request_id, now)
        return made + self.decide(decisions, now)

    def _open(
        self, request: _events.GenerateRequest, now: datetime.datetime
    ) -> result.Result[_open_answer.OpenAnswer, errors.Failure]:
        fleet = self._around.follower.fleet
        if fleet is None:
            return result.Err(_failures.NotReady())
        service = fleet.find_service(request.service)
        if service is None:
            return result.Err(_failures.ServiceUnknown(request.service))
        served = fleet.find_model(service.model or "")
        if service.kind is not release.ServiceKind.MODEL or served is None:
            return result.Err(_failures.WrongKindOfService())
        allowed = _refusals.allowed_time(
            self._around, service, request.timeout
        )
        return result.Ok(
            _open_answer.OpenAnswer(
                request, service, served, now + allowed, now
            )
        )

    def _submit(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        name = answer.model.name
        seconds = self._token_seconds.get(name, _TOKEN_SECONDS_FIRST)
        ticket = admission.AdmissionRequest(
            request_id=answer.request.request_id,
            customer=answer.request.customer,
            priority=answer.request.priority,
            cost_tokens=answer.cost_tokens,
            deadline=answer.deadline,
            predicted_service=datetime.timedelta(seconds=seconds),
        )
        door = self._doors.of_model(name, now)
        return self.decide(door.submit(ticket, now), now)

    def _delivered(
        self,
        answer: _open_answer.OpenAnswer,
        pieces: tuple[model.TokenPiece, ...],
        now: datetime.datetime,
    ) -> Effects:
        request_id = answer.request.request_id
        self._around.router.record_progress(request_id, len(pieces))
        if answer.silence is not None:
            position = answer.assembly.next_position
            answer.silence.handle(answers.TokenReceived(position), now)
        texts = tuple(piece.text for piece in pieces)
        made: Effects = [_effects.DeliverPieces(request_id, texts)]
        if pieces[0].position == 0:
            waited = now - answer.asked_at
            made.append(_effects.TimeMetric("first_token", waited))
        completion = answer.assembly.completion
        if completion is not None:
            return made + self.finish(answer, completion, now)
        if answer.may_be_cleared:
            self.follow_ups.append(_follow_ups.TrialOutrun(answer))
        return made

    def _learn_speed(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> None:
        """Keep a running mean of how long an answer takes."""
        if answer.dispatched_at is None:
            return
        took = (now - answer.dispatched_at).total_seconds()
        name = answer.model.name
        known = self._token_seconds.get(name, took)
        self._token_seconds[name] = known + _TOKEN_SECONDS_WEIGHT * (
            took - known
        )


def _versions(
    served: release.Model,
    eligible: collections.abc.Iterable[model.Announcement],
) -> list[str]:
    """Return the versions to try: the one in force, then any that run.

    While a new version is being loaded the engines still run the old one;
    a pipeline never mixes two.
    """
    running = {
        announced.model_version
        for announced in eligible
        if announced.model == served.name
    }
    return [served.version, *sorted(running - {served.version})]
