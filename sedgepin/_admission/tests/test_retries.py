"""Tests of the retry budget."""

import datetime

from sedgepin import _admission as admission
from sedgepin import _model as model
from sedgepin import errors

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
SECOND = datetime.timedelta(seconds=1)
GATE = model.ServiceName("gate")
LEDGER = model.ServiceName("ledger")


def make_retry(
    service: model.ServiceName = GATE,
    idempotent: bool = True,
    may_have_run: bool = True,
    target: str = "e2",
    resumes: bool = False,
) -> admission.RetryRequest:
    return admission.RetryRequest(
        service,
        idempotent,
        may_have_run,
        frozenset({model.EndpointId("e1")}),
        model.EndpointId(target),
        resumes,
    )


def count_allowed_retries(
    budget: admission.RetryBudget,
    service: model.ServiceName,
    now: datetime.datetime = START,
) -> int:
    allowed = 0
    while budget.may_retry(make_retry(service), now).is_ok():
        allowed += 1
    return allowed


class TestRetryBudget:
    def test_unsafe_retries_are_refused(self) -> None:
        reasons = admission.RetryRefusalReason
        cases = (
            (make_retry(idempotent=False), reasons.MAY_HAVE_RUN),
            (make_retry(idempotent=False, resumes=True), reasons.MAY_HAVE_RUN),
            (make_retry(target="e1"), reasons.SAME_ENDPOINT),
            (make_retry(target="e1", resumes=True), reasons.SAME_ENDPOINT),
        )
        budget = admission.RetryBudget(admission.RetrySettings(), START)
        for retry, reason in cases:
            refused = budget.may_retry(retry, START).unwrap_err()
            assert refused.reason == reason
            assert refused.outcome == errors.Outcome.UNKNOWN
        not_run = make_retry(idempotent=False, may_have_run=False)
        assert budget.may_retry(not_run, START).is_ok()

    def test_budget_is_a_tenth_of_successes_plus_reserve(self) -> None:
        settings = admission.RetrySettings(budget_limit=1000)
        budget = admission.RetryBudget(settings, START)
        assert count_allowed_retries(budget, GATE) == 3
        for _ in range(2000):
            budget.record_success(GATE, START)
        assert 199 <= count_allowed_retries(budget, GATE) <= 201
        assert count_allowed_retries(budget, GATE, START + 60 * SECOND) == 3

    def test_services_have_separate_budgets(self) -> None:
        budget = admission.RetryBudget(admission.RetrySettings(), START)
        for _ in range(200):
            budget.record_success(LEDGER, START)
        assert count_allowed_retries(budget, GATE) == 3
        assert count_allowed_retries(budget, LEDGER) >= 19

    def test_resumption_after_endpoint_death_is_not_charged(self) -> None:
        budget = admission.RetryBudget(admission.RetrySettings(), START)
        for _ in range(100):
            resumed = budget.may_retry(make_retry(resumes=True), START)
            assert resumed.is_ok()
        assert count_allowed_retries(budget, GATE) == 3
        refused = budget.may_retry(make_retry(), START).unwrap_err()
        assert refused.retry_after == 5 * SECOND
