"""Cancels attempts and resumes answers after the delivered tokens."""

import datetime

import result

from sedgepin import _admission as admission
from sedgepin import _answers as answers
from sedgepin._entry import _context
from sedgepin._entry import _effects
from sedgepin._entry import _generation
from sedgepin._entry import _open_answer
from sedgepin import _model as model

Effects = list[_effects.EntryEffect]


class Resumption:
    """Replaces a failed attempt with the next one, within the retry budget."""

    __slots__ = ("_context", "_generation", "_policy")

    def __init__(
        self,
        context: _context.ReducerContext,
        generation: _generation.Generation,
    ) -> None:
        self._context = context
        self._generation = generation
        self._policy = answers.ImportOrPrefill()

    def cancel(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Cancel the current attempt; tokens that still arrive are dropped."""
        attempt = answer.assembly.attempt
        answer.assembly.close_attempt(attempt, now)
        answer.failure_detector = None
        answer.awaited_pipeline = None
        answer.awaits_engine = False
        answer.failed_stream = None
        request_id = answer.request.request_id
        return [_effects.CancelStream(request_id, attempt)]

    def resume(
        self,
        answer: _open_answer.OpenAnswer,
        excluded: frozenset[model.EndpointId],
        after_death: bool,
        now: datetime.datetime,
    ) -> Effects:
        """Start an attempt that continues after the delivered tokens.

        Endpoints in ``excluded`` are excluded from all further attempts.
        ``after_death`` is true if an endpoint or connection died or stalled;
        the attempt then does not count against the retry budget.  An answer
        that reached its token limit is finished instead.
        """
        effects = self.cancel(answer, now)
        completion = answer.assembly.complete_at_limit()
        if completion is not None:
            return effects + self._generation.finish(answer, completion, now)
        answer.excluded_endpoints |= excluded
        answer.detours = 0
        pipeline = answer.assembly.pipeline
        assert pipeline is not None
        failed_attempt = answers.FailedAttempt(
            pipeline,
            answer.assembly.attempt,
            answer.excluded_endpoints,
            answer.prompt_tokens,
        )
        planned = self._policy.plan(
            failed_attempt, answer.assembly.resume_point
        )
        if isinstance(planned, result.Err):
            return effects + self._generation.fail_request(
                answer, planned.err_value, now
            )
        plan = planned.ok_value
        answer.preferred_endpoints = frozenset(
            stage.endpoint_id for stage in plan.preferred_stages
        )
        return effects + self._dispatch_again(answer, after_death, True, now)

    def retry_not_run(
        self,
        answer: _open_answer.OpenAnswer,
        now: datetime.datetime,
    ) -> Effects:
        """Try another pipeline after one on which nothing was run."""
        cancelled = self.cancel(answer, now)
        answer.detours = 0
        return cancelled + self._dispatch_again(answer, False, False, now)

    def take_detour(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Try the same pipeline over another path; nothing was sent to it.

        It does not count against the retry budget, as no engine got more.
        """
        pipeline = answer.assembly.pipeline
        assert pipeline is not None
        cancelled = self.cancel(answer, now)
        answer.detours += 1
        return cancelled + self._generation.start(answer, pipeline, now)

    def try_again(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Go on with an answer that waits for an engine, if there is one."""
        answer.awaits_engine = False
        return self._dispatch_again(answer, True, True, now)

    def _dispatch_again(
        self,
        answer: _open_answer.OpenAnswer,
        after_death: bool,
        may_have_run: bool,
        now: datetime.datetime,
    ) -> Effects:
        chosen = self._generation.choose(answer, frozenset(), now)
        if isinstance(chosen, result.Err):
            if answer.may_await_engine(chosen.err_value):
                answer.awaits_engine = True
                return []
            return self._generation.fail_request(answer, chosen.err_value, now)
        pipeline = chosen.ok_value
        retry = admission.RetryRequest(
            service=answer.request.service,
            idempotent=True,
            may_have_run=may_have_run,
            failed_endpoints=answer.excluded_endpoints,
            target=pipeline.stages[0].endpoint_id,
            resumes_after_death=after_death,
        )
        allowed = self._context.retries.may_retry(retry, now)
        if isinstance(allowed, result.Err):
            return self._generation.fail_request(
                answer, allowed.err_value, now
            )
        return self._generation.start(answer, pipeline, now)
