"""Ending an attempt, and going on where the delivered tokens end."""

import datetime

import result

from sedgepin import _admission as admission
from sedgepin import _answers as answers
from sedgepin._entry import _effects
from sedgepin._entry import _generation
from sedgepin._entry import _open_answer
from sedgepin._entry import _surroundings
from sedgepin import _model as model

Effects = list[_effects.EntryEffect]


class Resumption:
    """Follows a lost attempt by the next one."""

    __slots__ = ("_around", "_generation", "_policy")

    def __init__(
        self,
        around: _surroundings.Surroundings,
        generation: _generation.Generation,
    ) -> None:
        self._around = around
        self._generation = generation
        self._policy = answers.ImportOrPrefill()

    def cancel(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Stop the attempt under way; what still comes of it is dropped."""
        attempt = answer.assembly.attempt
        answer.assembly.close_attempt(attempt, now)
        answer.silence = None
        answer.lost = None
        request_id = answer.request.request_id
        return [_effects.CancelStream(request_id, attempt)]

    def resume(
        self,
        answer: _open_answer.OpenAnswer,
        avoid: frozenset[model.EndpointId],
        after_death: bool,
        now: datetime.datetime,
    ) -> Effects:
        """Go on where the delivered tokens end."""
        made = self.cancel(answer, now)
        completion = answer.assembly.complete_at_limit()
        if completion is not None:
            return made + self._generation.finish(answer, completion, now)
        answer.avoid |= avoid
        pipeline = answer.assembly.pipeline
        assert pipeline is not None
        loss = answers.FailedAttempt(
            pipeline,
            answer.assembly.attempt,
            answer.avoid,
            answer.prompt_tokens,
        )
        planned = self._policy.plan(loss, answer.assembly.resume_point)
        if isinstance(planned, result.Err):
            return made + self._generation.give_up(
                answer, planned.err_value, now
            )
        plan = planned.ok_value
        answer.prefer = frozenset(
            stage.endpoint_id for stage in plan.preferred_stages
        )
        return made + self._dispatch_again(answer, after_death, True, now)

    def retry_unrun(
        self,
        answer: _open_answer.OpenAnswer,
        now: datetime.datetime,
    ) -> Effects:
        """Try another pipeline after one that nothing was run on."""
        cancelled = self.cancel(answer, now)
        return cancelled + self._dispatch_again(answer, False, False, now)

    def _dispatch_again(
        self,
        answer: _open_answer.OpenAnswer,
        after_death: bool,
        may_have_run: bool,
        now: datetime.datetime,
    ) -> Effects:
        chosen = self._generation.choose(answer, frozenset(), now)
        if isinstance(chosen, result.Err):
            return self._generation.give_up(answer, chosen.err_value, now)
        pipeline = chosen.ok_value
        wish = admission.RetryRequest(
            service=answer.request.service,
            idempotent=True,
            may_have_run=may_have_run,
            failed_endpoints=answer.avoid,
            target=pipeline.stages[0].endpoint_id,
            resumes_after_death=after_death,
        )
        allowed = self._around.retries.may_retry(wish, now)
        if isinstance(allowed, result.Err):
            return self._generation.give_up(answer, allowed.err_value, now)
        return self._generation.start(answer, pipeline, now)
